"""Notes of when each shard's log left a segment behind."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from gooseberrypost.claims.shard import HeldShard


class SegmentNote(NamedTuple):
    """Segment that a shard wrote to at some time."""

    at_ms: int
    shard: int
    epoch: int
    segment: int


class TrimNotes:
    """Finds segments whose claims have ended and are forgotten.

    A segment left behind two retention times ago holds no such claim: a
    deadline is at most one retention time, and an ended claim is kept for
    another.
    """

    def __init__(self, retention_ms: int) -> None:
        self._keep_ms = 2 * retention_ms
        self._notes: deque[SegmentNote] = deque()

    def note(self, shard: HeldShard, now_ms: int) -> None:
        """Remember the segment that a shard writes to now."""
        log = shard.log
        noted = SegmentNote(now_ms, log.shard, log.epoch, log.segment_number)
        self._notes.append(noted)

    def due(self, now_ms: int) -> list[SegmentNote]:
        """Remove and return the notes that are old enough to act on."""
        found = []
        while self._notes and now_ms - self._notes[0].at_ms >= self._keep_ms:
            found.append(self._notes.popleft())
        return found
