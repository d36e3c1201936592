"""Virtual clock: runs callbacks in order of their time, in milliseconds."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class VirtualClock:
    """Event queue; events at the same time run in the order of creation."""

    __slots__ = ("_events", "_numbers", "now")

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    @property
    def now_ms(self) -> int:
        """Time as the decisions take it, in whole milliseconds."""
        return int(self.now)

    def at(self, time: float, callback: Callable[[], None]) -> None:
        """Run a callback at a time; a time in the past means now."""
        when = max(time, self.now)
        heapq.heappush(self._events, (when, next(self._numbers), callback))

    def after(self, delay: float, callback: Callable[[], None]) -> None:
        """Run a callback after a delay in ms."""
        self.at(self.now + delay, callback)

    def run(self, until: float) -> None:
        """Run events up to and including a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = until


class SharedWork:
    """Jobs that progress together, such as a batch or flows on a link.

    Each job advances by ``speed(number of jobs)`` units per ms.
    """

    __slots__ = (
        "_clock",
        "_done",
        "_epoch",
        "_heap",
        "_jobs",
        "_progress",
        "_speed",
        "_updated",
        "factor",
    )

    def __init__(
        self, clock: VirtualClock, speed: Callable[[int], float]
    ) -> None:
        self._clock = clock
        self._speed = speed
        self._jobs: dict[int, float] = {}
        self._done: dict[int, Callable[[], None]] = {}
        self._heap: list[tuple[float, int]] = []
        self._progress = 0.0
        self._updated = 0.0
        self._epoch = 0
        self.factor = 1.0

    def __len__(self) -> int:
        return len(self._jobs)

    def add(
        self, number: int, amount: float, done: Callable[[], None]
    ) -> None:
        """Start a job of an amount; ``done`` is called when it ends."""
        self._advance()
        end = self._progress + amount
        self._jobs[number] = end
        self._done[number] = done
        heapq.heappush(self._heap, (end, number))
        self._schedule()

    def remaining(self, number: int) -> float:
        """Amount that a job still has to do; 0 for an unknown job."""
        self._advance()
        return max(0.0, self._jobs.get(number, 0.0) - self._progress)

    def remove(self, number: int) -> bool:
        """Stop a job; returns whether it was running."""
        if number not in self._jobs:
            return False
        self._advance()
        del self._jobs[number]
        del self._done[number]
        self._schedule()
        return True

    def set_factor(self, factor: float) -> None:
        """Change the speed of every job; 0 stops them."""
        self._advance()
        self.factor = factor
        self._schedule()

    def _rate(self) -> float:
        return self._speed(len(self._jobs)) * self.factor

    def _advance(self) -> None:
        if self._jobs:
            elapsed = self._clock.now - self._updated
            self._progress += elapsed * self._rate()
        self._updated = self._clock.now

    def _schedule(self) -> None:
        self._epoch += 1
        while self._heap and self._jobs.get(self._heap[0][1]) is None:
            heapq.heappop(self._heap)
        rate = self._rate() if self._jobs else 0.0
        if not self._heap or rate <= 0:
            return
        epoch = self._epoch
        delay = max(0.0, (self._heap[0][0] - self._progress) / rate)
        self._clock.after(delay, lambda: self._finish(epoch))

    def _finish(self, epoch: int) -> None:
        if epoch != self._epoch:
            return
        self._advance()
        end, number = heapq.heappop(self._heap)
        self._progress = max(self._progress, end)
        del self._jobs[number]
        done = self._done.pop(number)
        self._schedule()
        done()
