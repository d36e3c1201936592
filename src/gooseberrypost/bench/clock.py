"""Virtual clock of the discrete-event simulation, in milliseconds."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class VirtualClock:
    """Event queue; events due at the same time run in scheduling order."""

    __slots__ = ("_events", "_sequence", "now")

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    @property
    def now_ms(self) -> int:
        """Current time in whole milliseconds, as the policies expect it."""
        return int(self.now)

    def call_at(self, time_ms: float, callback: Callable[[], None]) -> None:
        """Schedule a callback; a time in the past is treated as now."""
        when_ms = max(time_ms, self.now)
        heapq.heappush(self._events, (when_ms, next(self._sequence), callback))

    def call_later(
        self, delay_ms: float, callback: Callable[[], None]
    ) -> None:
        """Schedule a callback after a delay in ms."""
        self.call_at(self.now + delay_ms, callback)

    def run(self, until_ms: float) -> None:
        """Run all events due up to and including a time."""
        while self._events and self._events[0][0] <= until_ms:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = until_ms


class ProcessorSharing:
    """Processor-sharing server, such as a decode batch or a network link.

    All jobs progress at the same rate: ``rate_per_job(number of jobs)`` units
    per ms, times ``speed_factor``.
    """

    __slots__ = (
        "_callbacks",
        "_clock",
        "_epoch",
        "_heap",
        "_jobs",
        "_progress",
        "_rate_per_job",
        "_updated_ms",
        "speed_factor",
    )

    def __init__(
        self, clock: VirtualClock, rate_per_job: Callable[[int], float]
    ) -> None:
        self._clock = clock
        self._rate_per_job = rate_per_job
        self._jobs: dict[int, float] = {}
        self._callbacks: dict[int, Callable[[], None]] = {}
        self._heap: list[tuple[float, int]] = []
        self._progress = 0.0
        self._updated_ms = 0.0
        self._epoch = 0
        self.speed_factor = 1.0

    def __len__(self) -> int:
        return len(self._jobs)

    def add(
        self, job_id: int, amount: float, done: Callable[[], None]
    ) -> None:
        """Start a job of an amount of work; ``done`` is called at its end."""
        self._advance()
        end = self._progress + amount
        self._jobs[job_id] = end
        self._callbacks[job_id] = done
        heapq.heappush(self._heap, (end, job_id))
        self._schedule()

    def remaining(self, job_id: int) -> float:
        """Return the work left of a job; 0 for an unknown job."""
        self._advance()
        return max(0.0, self._jobs.get(job_id, 0.0) - self._progress)

    def remove(self, job_id: int) -> bool:
        """Stop a job; returns whether it was running."""
        if job_id not in self._jobs:
            return False
        self._advance()
        del self._jobs[job_id]
        del self._callbacks[job_id]
        self._schedule()
        return True

    def set_speed_factor(self, speed_factor: float) -> None:
        """Scale the rate of all jobs; 0 stops them."""
        self._advance()
        self.speed_factor = speed_factor
        self._schedule()

    def _rate(self) -> float:
        return self._rate_per_job(len(self._jobs)) * self.speed_factor

    def _advance(self) -> None:
        if self._jobs:
            elapsed_ms = self._clock.now - self._updated_ms
            self._progress += elapsed_ms * self._rate()
        self._updated_ms = self._clock.now

    def _schedule(self) -> None:
        self._epoch += 1
        while self._heap and self._jobs.get(self._heap[0][1]) is None:
            heapq.heappop(self._heap)
        rate = self._rate() if self._jobs else 0.0
        if not self._heap or rate <= 0:
            return
        epoch = self._epoch
        delay_ms = max(0.0, (self._heap[0][0] - self._progress) / rate)
        self._clock.call_later(delay_ms, lambda: self._finish(epoch))

    def _finish(self, epoch: int) -> None:
        if epoch != self._epoch:
            return
        self._advance()
        end, job_id = heapq.heappop(self._heap)
        self._progress = max(self._progress, end)
        del self._jobs[job_id]
        done = self._callbacks.pop(job_id)
        self._schedule()
        done()
