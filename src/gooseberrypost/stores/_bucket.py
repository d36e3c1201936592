"""Token bucket that says how long to wait; it reads no clock itself."""

from __future__ import annotations


class TokenBucket:
    """Allows ``rate_per_s`` on average and ``burst`` at once.

    >>> bucket = TokenBucket(rate_per_s=100, burst=50)
    >>> bucket.take(50, now_ms=0), bucket.take(10, now_ms=0)
    (0, 100)
    """

    __slots__ = ("_burst", "_free_at_ms", "_rate_per_s")

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        # Time at which the bucket is full again; it may lie in the future.
        self._free_at_ms = 0.0

    def take(self, amount: float, now_ms: int) -> int:
        """Take tokens and return the wait in milliseconds before their use."""
        self._free_at_ms = max(self._free_at_ms, float(now_ms))
        self._free_at_ms += amount * 1_000 / self._rate_per_s
        full_ms = self._burst * 1_000 / self._rate_per_s
        return max(0, round(self._free_at_ms - now_ms - full_ms))
