"""Token bucket that returns the time to wait; the caller passes the clock."""

from __future__ import annotations


class TokenBucket:
    """Allows ``rate_per_s`` tokens on average and ``burst`` at once.

    >>> bucket = TokenBucket(rate_per_s=100, burst=50)
    >>> bucket.take(50, now_ms=0), bucket.take(10, now_ms=0)
    (0, 100)
    """

    __slots__ = ("_burst_ms", "_full_at_ms", "_max_wait_ms", "_rate_per_s")

    def __init__(
        self,
        rate_per_s: float,
        burst: float,
        max_wait_ms: float = float("inf"),
    ) -> None:
        self._rate_per_s = rate_per_s
        self._burst_ms = burst * 1_000 / rate_per_s
        self._max_wait_ms = max_wait_ms
        """Longest wait; debt beyond it is forgiven."""
        # Time at which the bucket is full again, possibly in the future.
        self._full_at_ms = 0.0

    def take(self, amount: float, now_ms: int) -> int:
        """Take tokens and return the milliseconds to wait before using them.

        The bucket may go into debt, so the tokens are always taken.
        """
        self._full_at_ms = max(self._full_at_ms, float(now_ms))
        self._full_at_ms += amount * 1_000 / self._rate_per_s
        last_ms = now_ms + self._burst_ms + self._max_wait_ms
        self._full_at_ms = min(self._full_at_ms, last_ms)
        return max(0, round(self._full_at_ms - now_ms - self._burst_ms))
