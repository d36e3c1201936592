"""Token bucket that returns the time to wait; the caller passes the clock."""

from __future__ import annotations


class TokenBucket:
    """Allows ``rate_per_s`` tokens on average and ``burst`` at once.

    >>> bucket = TokenBucket(rate_per_s=100, burst=50)
    >>> bucket.take(50, now_ms=0), bucket.take(10, now_ms=0)
    (0, 100)
    """

    __slots__ = ("_burst", "_full_at_ms", "_rate_per_s")

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        # Time at which the bucket is full again, possibly in the future.
        self._full_at_ms = 0.0

    def take(self, amount: float, now_ms: int) -> int:
        """Take tokens and return the milliseconds to wait before using them.

        The bucket may go into debt, so the tokens are always taken.
        """
        self._full_at_ms = max(self._full_at_ms, float(now_ms))
        self._full_at_ms += amount * 1_000 / self._rate_per_s
        burst_ms = self._burst * 1_000 / self._rate_per_s
        return max(0, round(self._full_at_ms - now_ms - burst_ms))
