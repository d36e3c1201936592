"""Segments of a claim shard's log.

A segment is stored as a header line and one JSON line for each batch.

>>> segment = Segment(epoch=3).with_batch("3.1", [LogRecord("claim", "k", 1)])
>>> Segment.parse(segment.text()).unwrap() == segment
True
>>> segment.has_batch("3.1"), segment.sealed(4).sealed_by
(True, 4)
"""

from __future__ import annotations

import json
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any, Final, NamedTuple

from result import Err, Ok, Result

from gooseberrypost.errors import Failure
from gooseberrypost.strictjson import InvalidField, parse_json

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

CLAIM: Final = "claim"
RENEW: Final = "renew"
COMPLETE: Final = "complete"
ABANDON: Final = "abandon"


class InvalidSegment(Failure):
    """A segment or head value in the key-value service is malformed."""

    code = "invalid_segment"


class LogRecord(NamedTuple):
    """State transition of a claim that the shard's next owner replays."""

    kind: str
    key: str
    attempt: int
    digest: str = ""
    """Content digest in hexadecimal digits; ``claim`` only."""
    holder: str = ""
    """Entry that runs the attempt; ``claim`` only."""
    idempotent: bool = False
    remaining_ms: int = 0
    """Time left until the deadline when the record was created."""
    not_run: bool = False
    """The attempt is proven not to have run; ``abandon`` only."""

    @classmethod
    def parse(cls, elements: Any) -> LogRecord:
        """Build a record from its elements; raises ``ValueError``.

        Elements that a later version has appended are skipped.
        """
        if not isinstance(elements, list):
            raise InvalidField(f"{type(elements).__name__} is no record")
        known = elements[: len(_ELEMENT_TYPES)]
        types = [type(element) for element in known]
        if (
            len(known) < REQUIRED_ELEMENTS
            or types != _ELEMENT_TYPES[: len(known)]
        ):
            raise InvalidField(f"record {elements!r:.80}")
        record = cls(*known)
        bytes.fromhex(record.digest)
        return record


REQUIRED_ELEMENTS: Final = len(LogRecord._fields) - len(
    LogRecord._field_defaults
)
_ELEMENT_TYPES: Final = [str, str, int, str, str, bool, int, bool]


@dataclass(slots=True, frozen=True)
class Segment:
    """One stored value of the log; immutable, so a write can be repeated."""

    epoch: int
    """Epoch in which the segment was created."""
    sealed_by: int = 0
    """Epoch in which the segment was sealed; 0: open for appends."""
    lines: tuple[str, ...] = ()

    @classmethod
    def parse(cls, text: str) -> Result[Segment, InvalidSegment]:
        """Parse a stored value, including its records."""
        header, *lines = text.splitlines() or [""]
        try:
            epoch, sealed_by, *_ = parse_json(header)
            if type(epoch) is not int or type(sealed_by) is not int:
                raise InvalidField(f"header {header:.80}")
            for line in lines:
                _, records, *_ = parse_json(line)
                for record in records:
                    LogRecord.parse(record)
        except (ValueError, TypeError) as exc:
            return Err(InvalidSegment(f"segment: {exc!r}"))
        return Ok(cls(epoch, sealed_by, tuple(lines)))

    def text(self) -> str:
        """Serialise to the value to store."""
        header = json.dumps([self.epoch, self.sealed_by])
        return "\n".join((header, *self.lines))

    def size_bytes(self) -> int:
        """Size of the stored value in bytes, with an allowance for the header.

        The text is ASCII, so its length in characters is its size.
        """
        return 24 + sum(len(line) + 1 for line in self.lines)

    def with_batch(self, batch: str, records: Sequence[LogRecord]) -> Segment:
        """Return a copy with a batch; its id must be unique in the shard."""
        line = json.dumps([batch, records], separators=(",", ":"))
        return replace(self, lines=(*self.lines, line))

    def has_batch(self, batch: str) -> bool:
        """Whether the segment holds the batch with this id."""
        start = f"[{json.dumps(batch)},"
        return any(line.startswith(start) for line in self.lines)

    def sealed(self, epoch: int) -> Segment:
        """Return a copy that ``epoch`` has closed for appends."""
        return replace(self, sealed_by=epoch)

    def records(self) -> Iterator[LogRecord]:
        """Return all records in append order."""
        for line in self.lines:
            elements: Any
            for elements in parse_json(line)[1]:
                yield LogRecord.parse(elements)
