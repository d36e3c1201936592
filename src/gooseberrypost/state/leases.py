"""Lease from its holder's point of view, by the holder's monotonic clock.

The holder counts the time to live from before it sent the renewal and
subtracts a margin. It therefore stops relying on the lease before the grantor
lets the lease lapse.

>>> lease = HeldLease(ttl_ms=15_000)
>>> lease.renewed(sent_ms=1_000)
>>> lease.is_held(now_ms=14_499), lease.is_held(now_ms=14_500)
(True, False)
"""

from __future__ import annotations

from typing import Final

CLOCK_RATE_MARGIN: Final = 0.1
"""Share of the time to live subtracted for differing clock rates."""


class HeldLease:
    """Holder's view of its lease; times in milliseconds."""

    __slots__ = ("_held_until_ms", "ttl_ms")

    def __init__(self, ttl_ms: int) -> None:
        self.ttl_ms = ttl_ms
        self._held_until_ms: int | None = None

    def renewed(self, sent_ms: int) -> None:
        """Extend the lease after a confirmed renewal sent at ``sent_ms``.

        A confirmation that arrives late never shortens the lease.
        """
        until_ms = sent_ms + int(self.ttl_ms * (1 - CLOCK_RATE_MARGIN))
        if self._held_until_ms is None or until_ms > self._held_until_ms:
            self._held_until_ms = until_ms

    def lost(self) -> None:
        """Treat the lease as lost until the next confirmed renewal."""
        self._held_until_ms = None

    def is_held(self, now_ms: int) -> bool:
        """Whether the lease is certain not to have lapsed at the grantor."""
        return self._held_until_ms is not None and now_ms < self._held_until_ms

    def remaining_ms(self, now_ms: int) -> int:
        """Time for which the lease may still be relied on; 0: not held."""
        return max(0, (self._held_until_ms or now_ms) - now_ms)
