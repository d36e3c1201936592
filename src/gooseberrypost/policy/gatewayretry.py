"""Retry budget of a service, divided among gateways without coordination.

The limit applies to the sum over all gateways: in each window, a service
receives no more retries than a share of its requests plus a fixed allowance.
Each gateway applies the share to its own requests and uses its part of the
allowance.

>>> budget = GatewayRetryBudget(ratio=0.2, allowance=1.0, window_s=10.0)
>>> [budget.try_spend(now_s) for now_s in (0.0, 0.1, 10.2)]
[True, False, True]
"""

from __future__ import annotations

from collections import deque
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
        self._expire(now_s)
        allowed = self._ratio * len(self._requests) + self.allowance
        allowed *= share
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now_s)
        return True

    def _expire(self, now_s: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now_s - self._window_s:
                times.popleft()
