"""Probes of claim holders that have no session with the shard's owner.

The owner of a shard detects the loss of an entry by the end of its session.
After a takeover the replayed log names holders that may have died with or
before the former owner and never had a session with the new one. Without
probes their claims would stay running until their deadlines.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

from result import Err, Ok

from gooseberrypost.errors import PeerUnreachable
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from gooseberrypost.wire.channel import ChannelPool

PROBE_TIMEOUT_MS: Final = 1_000
MAX_UNANSWERED_PROBES: Final = 3
"""Consecutive probes without a reply after which a holder is lost.

An entry that accepts connections but does not reply is paused.
"""


class Holder(NamedTuple):
    """A process that holds claims, in the form written to the shard log.

    >>> Holder.parse("e1/7/10.0.0.1:900")
    Holder(name='e1', incarnation=7, address='10.0.0.1:900')
    >>> str(Holder.parse("e1/7"))
    'e1/7/'
    """

    name: str
    incarnation: int
    address: str
    """Internal ``host:port``; empty if the process does not listen."""

    @classmethod
    def parse(cls, text: str) -> Holder:
        """Parse the text form; a missing part is empty or 0."""
        name, _, rest = text.partition("/")
        incarnation, _, address = rest.partition("/")
        number = int(incarnation) if incarnation.isdecimal() else 0
        return cls(name, number, address)

    def __str__(self) -> str:
        return f"{self.name}/{self.incarnation}/{self.address}"


class HolderProber:
    """Checks whether the process that made a claim still runs."""

    def __init__(self, pool: ChannelPool) -> None:
        self._pool = pool
        self._unanswered: dict[str, int] = {}

    async def is_lost(self, text: str) -> bool:
        """Probe a holder.

        It is lost if it is unreachable, if another incarnation replies, or
        if it left ``MAX_UNANSWERED_PROBES`` consecutive probes unanswered. A
        holder without an address cannot be probed and is not lost.
        """
        holder = Holder.parse(text)
        if not holder.address:
            return False
        reply = await self._pool.request(
            holder.address, idl.StatusRequest(), PROBE_TIMEOUT_MS
        )
        match reply:
            case Ok(status) if isinstance(status, idl.Status):
                self._unanswered.pop(text, None)
                return status.incarnation != holder.incarnation
            case Err(PeerUnreachable()):
                self._unanswered.pop(text, None)
                return True
        self._unanswered[text] = self._unanswered.get(text, 0) + 1
        if self._unanswered[text] < MAX_UNANSWERED_PROBES:
            return False
        del self._unanswered[text]
        return True
