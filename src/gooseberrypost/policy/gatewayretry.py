"""Retry budget of a service, divided among gateways without coordination.

The limit applies to the sum over all gateways: in each window, a service
receives no more retries than a share of its requests plus a fixed allowance.
Each gateway applies the share to its own requests and uses its part of the
allowance.

>>> budget = GatewayRetryBudget(ratio=0.2, allowance=1.0, window_s=10.0)
>>> [budget.try_spend(now_s) for now_s in (0.0, 0.1, 10.2)]
[True, False, True]

Retries of answers with a server error are stopped while they do not help:

>>> breaker = RetryBreaker(probe_interval_s=1.0)
>>> for now_s in (0.0, 0.1, 0.2, 0.3):
...     breaker.record(succeeded=False)
>>> [breaker.allows(now_s) for now_s in (0.4, 0.5, 1.5)]
[True, False, True]
"""

from __future__ import annotations

from collections import deque
from contextlib import suppress
from typing import Final

BUDGET_UTILIZATION: Final = 0.8
"""Share of the limit that gateways use.

The rest covers windows that are not aligned with those of the observer that
checks the limit.
"""


class GatewayRetryBudget:
    """One gateway's retry budget for a service, over a sliding window."""

    __slots__ = ("_ratio", "_requests", "_retries", "_window_s", "allowance")

    def __init__(
        self, ratio: float, allowance: float, window_s: float
    ) -> None:
        self._ratio = ratio
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()
        self.allowance = allowance
        """Retries allowed in a window regardless of the number of requests."""

    def record_request(self, now_s: float) -> None:
        """Count a request of a client."""
        self._requests.append(now_s)
        self._expire(now_s)

    def try_spend(self, now_s: float, share: float = 1.0) -> bool:
        """Count a retry if the budget allows it, and return whether it does.

        ``share`` is the part of the budget that this kind of retry may use.
        """
        if not self.can_spend(now_s, share):
            return False
        self.spend(now_s)
        return True

    def can_spend(self, now_s: float, share: float = 1.0) -> bool:
        """Whether ``try_spend`` would succeed."""
        self._expire(now_s)
        allowed = self._ratio * len(self._requests) + self.allowance
        return len(self._retries) + 1 <= share * allowed

    def spend(self, now_s: float) -> None:
        """Count a retry that is sent in any case."""
        self._retries.append(now_s)

    def refund(self, spent_s: float) -> None:
        """Take back a retry that was counted at ``spent_s`` and not sent."""
        with suppress(ValueError):
            self._retries.remove(spent_s)

    def _expire(self, now_s: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now_s - self._window_s:
                times.popleft()


RETRY_SUCCESS_WEIGHT: Final = 0.2
"""Weight of the newest retry in the share of successful retries."""
MIN_RETRY_SUCCESS: Final = 0.5
"""Share of successful retries below which only probes are sent."""
PROBES_PER_WINDOW: Final = 10
"""Retries in a budget window that test whether retries help again."""


class RetryBreaker:
    """Stops retries of server errors while other servers fail as well.

    In an outage of a whole service every retry fails like the first attempt
    and only adds load. A request that fails wherever it runs has the same
    effect on a smaller scale.
    """

    __slots__ = ("_next_probe_s", "_probe_interval_s", "_success_share")

    def __init__(self, probe_interval_s: float) -> None:
        self._probe_interval_s = probe_interval_s
        self._success_share = 1.0
        """Moving average over the retries; 1 for a retry that helped."""
        self._next_probe_s = float("-inf")

    def allows(self, now_s: float) -> bool:
        """Whether a retry may be sent; counts it as a probe if need be."""
        if self._success_share >= MIN_RETRY_SUCCESS:
            return True
        if now_s < self._next_probe_s:
            return False
        self._next_probe_s = now_s + self._probe_interval_s
        return True

    def record(self, *, succeeded: bool) -> None:
        """Record whether a retry got a better answer than the first try."""
        self._success_share += RETRY_SUCCESS_WEIGHT * (
            succeeded - self._success_share
        )
