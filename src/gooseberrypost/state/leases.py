"""Belief of a lease holder about its lease, on the holder's monotonic clock.

The holder counts from the moment before it sent the renewal and keeps a
margin, so that its belief ends before the grantor lets the lease lapse.

>>> lease = HeldLease(ttl_ms=15_000)
>>> lease.renewed(sent_ms=1_000)
>>> lease.is_held(now_ms=14_499), lease.is_held(now_ms=14_500)
(True, False)
"""

from __future__ import annotations

from typing import Final

CLOCK_MARGIN: Final = 0.1
"""Share of the time to live kept for clocks that run at unequal rates."""


class HeldLease:
    """Lease as its holder may rely on it; times in milliseconds."""

    __slots__ = ("_held_until_ms", "ttl_ms")

    def __init__(self, ttl_ms: int) -> None:
        self.ttl_ms = ttl_ms
        self._held_until_ms: int | None = None

    def renewed(self, sent_ms: int) -> None:
        """Note a confirmed renewal that was sent at ``sent_ms``.

        An answer that arrives late never shortens a newer belief.
        """
        until_ms = sent_ms + int(self.ttl_ms * (1 - CLOCK_MARGIN))
        if self._held_until_ms is None or until_ms > self._held_until_ms:
            self._held_until_ms = until_ms

    def lost(self) -> None:
        """Stop relying on the lease until it is granted again."""
        self._held_until_ms = None

    def is_held(self, now_ms: int) -> bool:
        """Whether the grantor cannot have let the lease lapse yet."""
        return self._held_until_ms is not None and now_ms < self._held_until_ms

    def left_ms(self, now_ms: int) -> int:
        """Time for which the lease may still be relied on; 0: lost."""
        return max(0, (self._held_until_ms or now_ms) - now_ms)
