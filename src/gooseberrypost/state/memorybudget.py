"""Memory budget of a process for what its clients send and receive.

Bytes are taken before they are held and given back when they go. Where the
budget is exhausted, holders are shed in a fixed order: those without
progress, bodies that are slowest relative to their size, and requests that
have not started. Whoever needs the bytes is refused if it ranks first itself.

>>> budget = MemoryBudget(total_bytes=100)
>>> with budget.lease() as lease:
...     lease.take(Use.BODY, 80), lease.take(Use.ANSWER, 30)
(True, False)
>>> budget.used_bytes
0
"""

from __future__ import annotations

import sys
from collections import deque
from contextlib import contextmanager
from typing import TYPE_CHECKING, Final

from gooseberrypost.state.memoryuse import USES, Use

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from gooseberrypost.state.memoryuse import Holder

BUDGET_SHARE: Final = 0.4
"""Share of the memory beyond that at rest which the budget counts.

The rest is for what it does not count: copies while a body is joined,
connections, requests that wait on them, and memory that the allocator does not
return. With a share of 0.5 a crowd took 41 MB within a budget of 21 MB.
"""
MIN_BUDGET_BYTES: Final = 17 * 1024 * 1024
"""Smallest derived budget.

Beside the reserve it has room for a body and an answer of the largest size.
"""
COVERED_BYTES: Final = 16 * 1024
"""Size up to which a body and an answer are part of their request.

Counting them on their own would be two of three calls of a plain request.
"""
SMALL_BYTES: Final = 64 * 1024
"""Bytes of a use that a lease may take from the reserve.

Ordinary requests and answers are smaller. They are served while large answers
wait for memory.
"""
RESERVE_PARTS: Final = 4
"""The reserve is one part of so many of the budget."""
DEFAULT_BUDGET_BYTES: Final = 32 * 1024 * 1024
"""Budget of a process whose settings do not state its memory."""


class Lease:
    """Bytes of a budget that one request or connection holds."""

    __slots__ = ("_budget", "_held", "holder", "is_closed")

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._held = [0] * len(Use)
        self.holder: Holder | None = None
        """Decides whether the lease may be shed; None: it is kept."""
        self.is_closed = False

    @property
    def held_bytes(self) -> int:
        """Bytes held for all uses."""
        return sum(self._held)

    def held(self, use: Use) -> int:
        """Return the bytes held for a use."""
        return self._held[use]

    def take(self, use: Use, size: int) -> bool:
        """Take bytes, at the cost of holders that rank before this one.

        Returns False if they do not fit or if the lease was shed.
        """
        return self._budget.take(self, use, size)

    def give(self, use: Use, size: int) -> None:
        """Give back some of the bytes held for a use."""
        self._budget.give(self, use, size)

    def wait(
        self, use: Use, size: int, on_granted: Callable[[], None]
    ) -> Waiter:
        """Take bytes as soon as they fit, in the order of the calls."""
        return self._budget.wait(self, use, size, on_granted)

    def stop_waiting(self, waiter: Waiter) -> None:
        """Wait no more; bytes that were granted stay with the lease."""
        self._budget.stop_waiting(waiter)

    def add(self, use: Use, size: int) -> None:
        """Count bytes that the budget has granted or taken back."""
        self._held[use] += size

    def close(self) -> None:
        """Give back everything; later calls have no effect."""
        self._budget.close(self)


class Waiter:
    """Bytes that a lease waits for."""

    __slots__ = ("is_granted", "lease", "on_granted", "size", "use")

    def __init__(
        self,
        lease: Lease,
        use: Use,
        size: int,
        on_granted: Callable[[], None],
    ) -> None:
        self.lease = lease
        self.use = use
        self.size = size
        self.on_granted = on_granted
        self.is_granted = False


class MemoryBudget:
    """Counts the bytes that the clients of a process make it hold."""

    __slots__ = (
        "_caps",
        "_leases",
        "_reserve_bytes",
        "_small_bytes",
        "_used",
        "_waiters",
        "total_bytes",
        "used_bytes",
    )

    def __init__(
        self,
        total_bytes: int,
        caps: dict[Use, int] | None = None,
        small_bytes: int = 0,
    ) -> None:
        self.total_bytes = total_bytes
        self._small_bytes = small_bytes
        """Bytes of a use that a lease may take from the reserve."""
        self._reserve_bytes = total_bytes // RESERVE_PARTS * bool(small_bytes)
        self._caps = caps or {}
        """Most bytes of a use; it may be bounded by the total alone."""
        self.used_bytes = 0
        """Bytes taken for all uses."""
        self._used = [0] * len(Use)
        self._leases: set[Lease] = set()
        self._waiters: deque[Waiter] = deque()

    @classmethod
    def of_process(
        cls,
        configured_bytes: int,
        memory_bytes: int,
        rest_bytes: int,
        caps: dict[Use, int] | None = None,
    ) -> MemoryBudget:
        """Return the budget of a process by its memory and that at rest.

        A configured size of 0 derives it; a memory of 0 is unknown.
        """
        if configured_bytes:
            return cls(configured_bytes, caps, SMALL_BYTES)
        if not memory_bytes:
            return cls(DEFAULT_BUDGET_BYTES, caps, SMALL_BYTES)
        derived = int(BUDGET_SHARE * (memory_bytes - rest_bytes))
        return cls(max(derived, MIN_BUDGET_BYTES), caps, SMALL_BYTES)

    def used(self, use: Use) -> int:
        """Return the bytes taken for a use."""
        return self._used[use]

    def open(self) -> Lease:
        """Return a lease that its owner closes."""
        lease = Lease(self)
        self._leases.add(lease)
        return lease

    @contextmanager
    def lease(self) -> Iterator[Lease]:
        """Hold bytes for the duration of the context."""
        lease = self.open()
        try:
            yield lease
        finally:
            lease.close()

    @contextmanager
    def lease_for_task(self) -> Iterator[Lease]:
        """Hold bytes that a task closes which the context creates last.

        They are released here only if the context fails.
        """
        lease = self.open()
        try:
            yield lease
        except BaseException:
            lease.close()
            raise

    def take(self, lease: Lease, use: Use, size: int) -> bool:
        """Take bytes for a lease, shedding others where that is needed."""
        if lease.is_closed:
            return False
        # Answers that wait come first: their requests have run.
        if self._waiters and not self._is_small(lease, use, size):
            return False
        if not self._fits(lease, use, size) and not self._shed_until_fits(
            lease, use, size
        ):
            return False
        self._grant(lease, use, size)
        return True

    def give(self, lease: Lease, use: Use, size: int) -> None:
        """Take back bytes of a lease, at most those that it holds."""
        size = min(size, lease.held(use))
        self._grant(lease, use, -size)
        if self._waiters:
            self._serve_waiters()

    def wait(
        self,
        lease: Lease,
        use: Use,
        size: int,
        on_granted: Callable[[], None],
    ) -> Waiter:
        """Queue a lease for bytes; ``on_granted`` is called with them."""
        waiter = Waiter(lease, use, size, on_granted)
        if lease.is_closed:
            return waiter
        self._waiters.append(waiter)
        self._serve_waiters()
        if not waiter.is_granted and self._waiters[0] is waiter:
            self._shed_until_fits(lease, use, size)
            self._serve_waiters()
        return waiter

    def stop_waiting(self, waiter: Waiter) -> None:
        """Remove a waiter; bytes that it was granted stay with its lease."""
        if not waiter.is_granted and waiter in self._waiters:
            self._waiters.remove(waiter)
            self._serve_waiters()

    def close(self, lease: Lease) -> None:
        """Take back all bytes of a lease."""
        if lease.is_closed:
            return
        lease.is_closed = True
        self._leases.discard(lease)
        for use in USES:
            if held := lease.held(use):
                self._grant(lease, use, -held)
        if self._waiters:
            self._waiters = deque(
                waiter for waiter in self._waiters if waiter.lease is not lease
            )
            self._serve_waiters()

    def _is_small(self, lease: Lease, use: Use, size: int) -> bool:
        return lease.held(use) + size <= self._small_bytes

    def _limit(self, lease: Lease, use: Use, size: int) -> int:
        """Return the bytes that may be used after taking some."""
        if self._is_small(lease, use, size):
            return self.total_bytes
        return self.total_bytes - self._reserve_bytes

    def _fits(self, lease: Lease, use: Use, size: int) -> bool:
        limit = self._limit(lease, use, size)
        return self.used_bytes + size <= limit and self._fits_cap(use, size)

    def _fits_cap(self, use: Use, size: int) -> bool:
        cap = self._caps.get(use)
        return cap is None or self._used[use] + size <= cap

    def _grant(self, lease: Lease, use: Use, size: int) -> None:
        self.used_bytes += size
        self._used[use] += size
        lease.add(use, size)

    def _shed_until_fits(self, lease: Lease, use: Use, size: int) -> bool:
        """Shed holders that rank before a lease until its bytes fit."""
        is_possible = size <= self._limit(lease, use, size)
        if not is_possible or not self._fits_cap(use, size):
            return False
        for victim in self._shed_order():
            if victim is lease:
                return False
            holder = victim.holder
            victim.close()
            if holder is not None:
                holder.shed()
            if self._fits(lease, use, size):
                return True
        return False

    def _shed_order(self) -> list[Lease]:
        ranked = []
        for number, lease in enumerate(self._leases):
            if lease.holder is None:
                continue
            rank = lease.holder.shed_rank()
            if rank is not None:
                ranked.append((rank, number, lease))
        return [lease for _, _, lease in sorted(ranked, key=lambda x: x[:2])]

    def _serve_waiters(self) -> None:
        while self._waiters:
            waiter = self._waiters[0]
            if not self._fits(waiter.lease, waiter.use, waiter.size):
                return
            self._waiters.popleft()
            self._grant(waiter.lease, waiter.use, waiter.size)
            waiter.is_granted = True
            waiter.on_granted()


UNBOUNDED: Final = MemoryBudget(sys.maxsize).open()
"""Lease of requests that no budget bounds."""
