"""Schedule by which old segments of the shard logs are deleted."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from gooseberrypost.claims.shard import OwnedShard


class SegmentObservation(NamedTuple):
    """Segment to which a shard appended at a given time."""

    observed_at_ms: int
    shard: int
    epoch: int
    segment: int


class TrimSchedule:
    """Finds the segments that hold no record of a retained claim.

    Segments before one that was current two retention periods ago can be
    deleted: the deadline of a claim is at most one retention period away,
    and an ended claim is retained for another.
    """

    def __init__(self, retention_ms: int) -> None:
        self._min_age_ms = 2 * retention_ms
        self._observations: deque[SegmentObservation] = deque()

    def observe(self, shard: OwnedShard, now_ms: int) -> None:
        """Record the current segment of a shard's log."""
        log = shard.log
        observation = SegmentObservation(
            now_ms, log.shard, log.epoch, log.segment_number
        )
        self._observations.append(observation)

    def take_due(self, now_ms: int) -> list[SegmentObservation]:
        """Remove and return the observations of the required age."""
        due = []
        while (
            self._observations
            and now_ms - self._observations[0].observed_at_ms
            >= self._min_age_ms
        ):
            due.append(self._observations.popleft())
        return due
