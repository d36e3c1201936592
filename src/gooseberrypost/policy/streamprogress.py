"""Detects streams that make no progress, by their complete events.

Bytes that complete no event are no progress: an engine in trouble may send a
few of them now and then. How long a pause may last follows from the route's
objective for the gap between events and from the pauses of earlier streams,
so that a slow engine is not taken for a stalled one.

>>> idle_s = idle_timeout_s(gap_objective_s=0.3, usual_pause_s=0.1)
>>> progress = StreamProgress(now_s=0.0, idle_s=idle_s, first_event_s=0.2)
>>> round(progress.until_check_s(0.5), 3)
0.45
>>> progress.record_event(0.6)
>>> round(progress.until_check_s(0.7), 3), progress.silence_s(0.7) < 0.2
(0.65, True)

A delay of the event loop that reads the stream is no silence of its engine:

>>> progress.exclude(0.5)
>>> round(progress.until_check_s(1.0), 3)
0.85
"""

from __future__ import annotations

from typing import Final

IDLE_GAP_FACTOR: Final = 2.5
"""Multiple of the gap objective after which a stream counts as stalled."""
USUAL_PAUSE_FACTOR: Final = 4.0
"""Multiple of the usual longest pause that a sound stream does not exceed."""
DEFAULT_GAP_OBJECTIVE_S: Final = 1.0
"""Gap objective that is assumed for a route without one."""


def idle_timeout_s(gap_objective_s: float, usual_pause_s: float) -> float:
    """Return the time without an event after which a stream has stalled.

    ``usual_pause_s`` is the mean of the longest pauses of earlier streams, 0
    if there were none.
    """
    return max(
        IDLE_GAP_FACTOR * (gap_objective_s or DEFAULT_GAP_OBJECTIVE_S),
        USUAL_PAUSE_FACTOR * usual_pause_s,
    )


class StreamProgress:
    """Times of a stream's events, and when to check it for a stall."""

    __slots__ = (
        "_check_at_s",
        "_idle_s",
        "_last_event_s",
        "_waits_for_first",
        "longest_pause_s",
    )

    def __init__(
        self, now_s: float, idle_s: float, first_event_s: float
    ) -> None:
        self._idle_s = idle_s
        self._last_event_s = now_s
        self._waits_for_first = True
        self.longest_pause_s = 0.0
        """Longest time between two events so far."""
        self._check_at_s = now_s + idle_s + first_event_s

    def record_event(self, now_s: float) -> None:
        """Record that at least one complete event has arrived."""
        if not self._waits_for_first:
            pause_s = now_s - self._last_event_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self._waits_for_first = False
        self._last_event_s = now_s
        self._check_at_s = now_s + self._idle_s

    def until_check_s(self, now_s: float) -> float:
        """Return the time until the stream is due for a check."""
        return max(0.0, self._check_at_s - now_s)

    def silence_s(self, now_s: float) -> float:
        """Return the time since the last event, or since the start."""
        return now_s - self._last_event_s

    def exclude(self, late_s: float) -> None:
        """Leave out a time in which this process itself did not run."""
        self._last_event_s += late_s
        self._check_at_s += late_s

    def postpone_check(self, now_s: float) -> None:
        """Wait for another idle timeout before the next check."""
        self._check_at_s = now_s + self._idle_s
