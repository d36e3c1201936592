"""Warm-up: long shared prefixes that no engine has cached yet.

A request with a long cold prefix misses its first-token target, so admission
refuses it, so the prefix is never computed and every request with it is
refused for ever. Serving one of them late puts the prefix into a cache.
"""

from __future__ import annotations

from typing import Final

WINDOW_MS: Final = 60_000
"""Refusals of one prefix are counted together within this time."""
MIN_REFUSALS: Final = 2
"""Refusals after which a prefix counts as shared by several requests."""
REPEAT_MS: Final = 5_000
"""Time for the cache event of a warm-up to arrive before the next one."""
MAX_PRESSURE: Final = 0.95
"""Occupancy from which slots are kept for requests in time."""
MAX_PREFIXES: Final = 10_000


class ColdPrefixes:
    """Refused prefixes of one service at one entry.

    >>> cold = ColdPrefixes()
    >>> cold.wants(7, now_ms=0, pressure=0.5)
    False
    >>> cold.wants(7, now_ms=100, pressure=0.5)
    True
    >>> cold.wants(7, now_ms=200, pressure=0.5)
    False
    """

    __slots__ = ("_refused",)

    def __init__(self) -> None:
        self._refused: dict[int, tuple[int, int]] = {}

    def wants(self, prefix: int, now_ms: int, pressure: float) -> bool:
        """Count a refusal for time; whether to serve the request late."""
        count, since_ms = self._refused.pop(prefix, (0, now_ms))
        if now_ms - since_ms > WINDOW_MS:
            count, since_ms = 0, now_ms
        count += 1
        due = count >= MIN_REFUSALS and now_ms >= since_ms
        if due and pressure < MAX_PRESSURE:
            # Refusals before the cache event arrives do not count.
            self._refused[prefix] = (0, now_ms + REPEAT_MS)
            return True
        self._refused[prefix] = (count, since_ms)
        if len(self._refused) > MAX_PREFIXES:
            del self._refused[next(iter(self._refused))]
        return False
