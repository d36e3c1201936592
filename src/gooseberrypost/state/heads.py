"""Head record of a claim shard, and the keys of its values.

>>> Head.parse(Head("e1", "127.0.0.1:7000", 5, epoch=2).text()).unwrap().epoch
2
"""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass

from result import Err, Ok, Result

from gooseberrypost.state.segments import InvalidSegment


@dataclass(slots=True, frozen=True)
class Head:
    """Record ``claims/<shard>/head``."""

    name: str = ""
    """Name of the owning entry; empty when the shard was released."""
    address: str = ""
    incarnation: int = 0
    epoch: int = 0
    segment: int = 0
    """First segment that a successor replays."""
    renewal: int = 0
    """Raised by an owner whose lease lapsed and was granted again."""

    @classmethod
    def parse(cls, text: str) -> Result[Head, InvalidSegment]:
        """Parse a stored value; an empty one is a shard never owned."""
        try:
            return Ok(cls(**json.loads(text)) if text else cls())
        except (ValueError, TypeError) as exc:
            return Err(InvalidSegment(f"head: {exc!r}"))

    def text(self) -> str:
        """Value to store."""
        return json.dumps(asdict(self), sort_keys=True)


def head_key(shard: int) -> str:
    """Key of the record that names the owner."""
    return f"claims/{shard}/head"


def segment_key(shard: int, number: int) -> str:
    """Key of one segment of the log."""
    return f"claims/{shard}/log/{number}"


def lease_key(name: str, incarnation: int) -> str:
    """Key, bound to its lease, that shows an owning entry to be alive.

    The incarnation is part of the key, so that a successor of the same name
    does not hide that the lease of a paused process still runs.
    """
    return f"claims/owners/{name}/{incarnation}"
