"""Expected work of requests, learned from answers.

Work is counted in ms of a server of usual pace. Requests that look alike share
a key; a key that has few answers leans on its route, and the route on its
service.

>>> costs = RequestCosts()
>>> key = cost_key("desk", "r", "GET", "users/17", 900)
>>> key == cost_key("desk", "r", "GET", "users/23", 600)
True
>>> costs.expected_ms(key) is None
True
>>> costs.record(key, 80.0, now_s=0.0)
>>> costs.expected_ms(cost_key("desk", "r", "PUT", "else", 0))
80.0
"""

from __future__ import annotations

import math
import re
from typing import Final

MAX_KEYS: Final = 2_000
"""Keys that are kept; one takes some 600 bytes, all together 1.2 MB."""
KEY_RETENTION_S: Final = 600.0
"""Time after its last answer for which a key is kept."""
MAX_PATH_CHARACTERS: Final = 96
"""Characters of a path that distinguish requests."""
MIN_WEIGHT: Final = 1 / 64
"""Weight of an answer in the mean of a key that has many.

A mean follows a change of the cost within some hundred answers.
"""
PARENT_ANSWERS: Final = 2.0
"""Answers that the estimate of the next wider key counts for."""
BUCKETS: Final = 32
BUCKETS_PER_DOUBLING: Final = 2
"""Resolution of a distribution: each bucket is 41 % wider than the last.

32 of them reach from 1 ms to 65 s in 32 bytes. A HDR histogram of two digits
takes some KB, which 2,000 keys would make more than 10 MB.
"""
MAX_BUCKET_COUNT: Final = 255
"""Count at which all counts of a distribution are halved."""
MAX_SAMPLE_RATIO: Final = 20.0
"""Multiple of the mean above which a single answer counts no more.

A stalled server would otherwise decide the cost of its requests.
"""
MIN_CAPPED_ANSWERS: Final = 4
"""Answers from which on a mean bounds the next one."""

_VARIABLE: Final = re.compile(
    # A run of hexadecimal digits with a decimal one, or a long run of
    # letters; each run is scanned once, whatever its length.
    r"(?<![a-fA-F])(?:[a-fA-F]{8,}+(?!\d)|[a-fA-F]*+\d[0-9a-fA-F]*+)"
)

CostKey = tuple[str, str, str, str, int]
"""Service, route, method, folded path and doublings of the body size."""


def fold_path(path: str) -> str:
    """Return a path with its variable parts replaced.

    >>> fold_path("users/1234/files/3f2a9c41d0")
    'users/#/files/#'
    """
    return _VARIABLE.sub("#", path[:MAX_PATH_CHARACTERS])


def cost_key(
    service: str, route: str, method: str, path: str, body_bytes: int
) -> CostKey:
    """Return the key of a request; ``path`` is that below the prefix."""
    return service, route, method, fold_path(path), body_bytes.bit_length()


class CostDistribution:
    """Costs of the requests of one key, with a decaying memory."""

    __slots__ = ("answers", "counts", "mean_ms", "seen_s")

    def __init__(self) -> None:
        self.answers = 0
        """Answers recorded."""
        self.mean_ms = 0.0
        self.counts = bytearray(BUCKETS)
        """Recent answers by the logarithm of their cost."""
        self.seen_s = 0.0

    def record(self, cost_ms: float, now_s: float) -> None:
        """Record the cost of a request that was answered."""
        bucket = _bucket(cost_ms)
        if self.counts[bucket] == MAX_BUCKET_COUNT:
            self.counts = bytearray(count // 2 for count in self.counts)
        self.counts[bucket] += 1
        if self.answers >= MIN_CAPPED_ANSWERS:
            cost_ms = min(cost_ms, MAX_SAMPLE_RATIO * self.mean_ms)
        self.answers += 1
        weight = max(MIN_WEIGHT, 1 / self.answers)
        self.mean_ms += weight * (cost_ms - self.mean_ms)
        self.seen_s = now_s

    def quantile_ms(self, share: float) -> float:
        """Return the cost that a share of the requests does not exceed."""
        needed = share * sum(self.counts)
        seen = 0
        for bucket, count in enumerate(self.counts):
            seen += count
            if count and seen >= needed:
                return 2 ** ((bucket + 0.5) / BUCKETS_PER_DOUBLING)
        return 0.0


class RequestCosts:
    """Costs by key, route and service of one gateway."""

    __slots__ = ("_known",)

    def __init__(self) -> None:
        self._known: dict[tuple[str | int, ...], CostDistribution] = {}
        """By key, (service, route) and (service,), least recent first."""

    def __len__(self) -> int:
        return len(self._known)

    def expected_ms(self, key: CostKey) -> float | None:
        """Return the mean cost of a request; None before any answer."""
        known = self._known
        service = known.get(key[:1])
        if service is None:
            return None
        expected_ms = service.mean_ms
        for level in (key[:2], key):
            costs = known.get(level)
            if costs is not None:
                answers = costs.answers
                expected_ms = (
                    answers * costs.mean_ms + PARENT_ANSWERS * expected_ms
                ) / (answers + PARENT_ANSWERS)
        return expected_ms

    def usual_ms(self, service: str) -> float | None:
        """Return the mean cost of a service's requests, None if unknown."""
        costs = self._known.get((service,))
        return None if costs is None else costs.mean_ms

    def quantile_ms(self, key: CostKey, share: float) -> float | None:
        """Return a quantile of the cost of a key, or of the next wider one.

        None before any answer.
        """
        for level in (key, key[:2], key[:1]):
            costs = self._known.get(level)
            if costs is not None and costs.answers >= PARENT_ANSWERS:
                return costs.quantile_ms(share)
        return None

    def spread(self, service: str) -> float:
        """Return the 90 % quantile over the 10 % one; 1 if unknown."""
        costs = self._known.get((service,))
        if costs is None:
            return 1.0
        return costs.quantile_ms(0.9) / costs.quantile_ms(0.1)

    def record(self, key: CostKey, cost_ms: float, now_s: float) -> None:
        """Record the cost of a request that was answered."""
        known = self._known
        for level in (key, key[:2], key[:1]):
            costs = known.pop(level, None) or CostDistribution()
            costs.record(cost_ms, now_s)
            known[level] = costs
        self._evict(now_s)

    def _evict(self, now_s: float) -> None:
        """Drop what was not seen for long, and the oldest beyond the limit."""
        known = self._known
        while known:
            oldest = next(iter(known))
            is_stale = now_s - known[oldest].seen_s > KEY_RETENTION_S
            if not is_stale and len(known) <= MAX_KEYS:
                return
            del known[oldest]


def _bucket(cost_ms: float) -> int:
    if cost_ms <= 1.0:
        return 0
    return min(int(BUCKETS_PER_DOUBLING * math.log2(cost_ms)), BUCKETS - 1)
