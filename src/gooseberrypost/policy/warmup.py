"""Prefix warm-up: serves a request late to cache its long shared prefix.

A request with a long uncached prefix misses its first-token target, so
admission control refuses it. Without a warm-up the prefix would never be
computed, and every request with it would be refused.
"""

from __future__ import annotations

from typing import Final

WINDOW_MS: Final = 60_000
"""Time within which refusals of one prefix are counted together, in ms."""
MIN_REFUSALS: Final = 2
"""Refusals after which a prefix counts as shared by several requests."""
WARMUP_INTERVAL_MS: Final = 5_000
"""Shortest time between two warm-ups of a prefix, in ms.

The cache event of the first warm-up arrives within this time.
"""
MAX_OCCUPANCY: Final = 0.95
"""Occupancy of the decode engines from which no prefix is warmed up.

The remaining slots are kept for requests that can meet their targets.
"""
MAX_PREFIXES: Final = 10_000
"""Prefixes tracked; the one refused least recently is dropped first."""


class ColdPrefixes:
    """Uncached prefixes of refused requests of one service at one entry.

    >>> cold = ColdPrefixes()
    >>> cold.should_warm_up(7, now_ms=0, occupancy=0.5)
    False
    >>> cold.should_warm_up(7, now_ms=100, occupancy=0.5)
    True
    >>> cold.should_warm_up(7, now_ms=200, occupancy=0.5)
    False
    """

    __slots__ = ("_refused",)

    def __init__(self) -> None:
        self._refused: dict[int, tuple[int, int]] = {}

    def should_warm_up(
        self, prefix: int, now_ms: int, occupancy: float
    ) -> bool:
        """Count a refused request; returns whether to serve it late instead.

        The request would miss its first-token target. Serving it late puts its
        prefix into a cache.
        """
        count, since_ms = self._refused.pop(prefix, (0, now_ms))
        if now_ms - since_ms > WINDOW_MS:
            count, since_ms = 0, now_ms
        count += 1
        warm_up_due = count >= MIN_REFUSALS and now_ms >= since_ms
        if warm_up_due and occupancy < MAX_OCCUPANCY:
            # No further warm-up before the cache event is expected.
            self._refused[prefix] = (0, now_ms + WARMUP_INTERVAL_MS)
            return True
        self._refused[prefix] = (count, since_ms)
        if len(self._refused) > MAX_PREFIXES:
            del self._refused[next(iter(self._refused))]
        return False
