"""Head record of a claim shard, and the shard's keys in the key-value service.

>>> head = ShardHead("e1", "127.0.0.1:7000", 5, epoch=2)
>>> ShardHead.parse(head.text()).unwrap().epoch
2
"""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, fields
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from gooseberrypost.state.segments import InvalidSegment
from gooseberrypost.strictjson import InvalidField, parse_json

if TYPE_CHECKING:
    from dataclasses import Field


@dataclass(slots=True, frozen=True)
class ShardHead:
    """Owner, epoch and log start of a shard; at ``claims/<shard>/head``."""

    name: str = ""
    """Name of the entry that owns the shard; empty once released."""
    address: str = ""
    incarnation: int = 0
    epoch: int = 0
    segment: int = 0
    """Number of the first log segment that a successor replays."""
    renewal: int = 0
    """Incremented by an owner that regained a lapsed lease."""

    @classmethod
    def parse(cls, text: str) -> Result[ShardHead, InvalidSegment]:
        """Parse a stored value; empty text: the shard had no owner yet.

        Fields of later versions are skipped.
        """
        try:
            document = parse_json(text) if text else {}
            if not isinstance(document, dict):
                raise InvalidField(f"{type(document).__name__} is no object")
            known = {
                field.name: _checked(field, document[field.name])
                for field in fields(cls)
                if field.name in document
            }
            return Ok(cls(**known))
        except ValueError as exc:
            return Err(InvalidSegment(f"head: {exc!r}"))

    def text(self) -> str:
        """Serialise to the value to store."""
        return json.dumps(asdict(self), sort_keys=True)


def _checked(field: Field[Any], value: Any) -> Any:
    """Return the value of a field; raises ``InvalidField``."""
    if type(value) is not type(field.default) or value < field.default:
        raise InvalidField(f"{field.name} is {value!r:.40}")
    return value


def head_key(shard: int) -> str:
    """Key of a shard's head record."""
    return f"claims/{shard}/head"


def segment_key(shard: int, number: int) -> str:
    """Key of a segment of a shard's log."""
    return f"claims/{shard}/log/{number}"


def lease_key(name: str, incarnation: int) -> str:
    """Key that exists for as long as an owner holds its lease.

    The incarnation is part of the key. Otherwise a restarted process of the
    same name would hide that its paused predecessor still holds a lease.
    """
    return f"claims/owners/{name}/{incarnation}"
