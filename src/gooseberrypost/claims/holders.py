"""Finds holders of claims that are lost but never had a session here.

The owner of a shard notices a lost entry by the end of its session. After a
takeover the log names holders that may have died with the former owner, or
before it; without a probe their claims would run until the deadline.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

from result import Err, Ok

from gooseberrypost.errors import PeerUnreachable
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from gooseberrypost.wire.channel import ChannelPool

PROBE_TIMEOUT_MS: Final = 1_000
MAX_SILENT_PROBES: Final = 3
"""An entry that accepts connections and answers nothing is paused."""


class Holder(NamedTuple):
    """A process that holds claims, as written in the log.

    >>> Holder.parse("e1/7/10.0.0.1:900")
    Holder(name='e1', incarnation=7, address='10.0.0.1:900')
    >>> str(Holder.parse("e1/7"))
    'e1/7/'
    """

    name: str
    incarnation: int
    address: str
    """Internal ``host:port``; empty if the process takes no connections."""

    @classmethod
    def parse(cls, text: str) -> Holder:
        """Parse the textual form; a missing part is empty or 0."""
        name, _, rest = text.partition("/")
        incarnation, _, address = rest.partition("/")
        number = int(incarnation) if incarnation.isdecimal() else 0
        return cls(name, number, address)

    def __str__(self) -> str:
        return f"{self.name}/{self.incarnation}/{self.address}"


class HolderProbes:
    """Asks holders whether they still are the process that claimed."""

    def __init__(self, pool: ChannelPool) -> None:
        self._pool = pool
        self._silent: dict[str, int] = {}

    async def is_lost(self, text: str) -> bool:
        """Probe a holder; it is lost when gone, replaced or silent."""
        holder = Holder.parse(text)
        if not holder.address:
            return False
        reply = await self._pool.request(
            holder.address, idl.StatusRequest(), PROBE_TIMEOUT_MS
        )
        match reply:
            case Ok(status) if isinstance(status, idl.Status):
                self._silent.pop(text, None)
                return status.incarnation != holder.incarnation
            case Err(PeerUnreachable()):
                self._silent.pop(text, None)
                return True
        self._silent[text] = self._silent.get(text, 0) + 1
        if self._silent[text] < MAX_SILENT_PROBES:
            return False
        del self._silent[text]
        return True
