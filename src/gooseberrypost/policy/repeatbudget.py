"""Budget of repeated sends that all gateways share without talking.

The bound holds for the sum over all gateways: in each window a service gets
no more repeats than a share of its requests and a fixed allowance. Each
gateway keeps to the share of its own requests and to its part of the
allowance.

>>> budget = RepeatBudget(ratio=0.2, allowance=1.0, window_s=10.0)
>>> budget.take(0.0), budget.take(0.1), budget.take(10.2)
(True, False, True)
"""

from __future__ import annotations

from collections import deque
from typing import Final

SAFETY: Final = 0.8
"""Share of the bound that is used; windows here and at the judge differ."""


class RepeatBudget:
    """Counts the requests and repeats of one service in a sliding window."""

    __slots__ = ("_ratio", "_repeats", "_requests", "_window_s", "allowance")

    def __init__(
        self, ratio: float, allowance: float, window_s: float
    ) -> None:
        self._ratio = ratio
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()
        self.allowance = allowance
        """Repeats that this gateway may make whatever its requests are."""

    def note_request(self, now_s: float) -> None:
        """Count a request of a client."""
        self._requests.append(now_s)
        self._expire(now_s)

    def take(self, now_s: float, share: float = 1.0) -> bool:
        """Count a repeat if it fits, and return whether it does.

        ``share`` is the part of the budget that this kind of repeat may use.
        """
        self._expire(now_s)
        allowed = self._ratio * len(self._requests) + self.allowance
        allowed *= share
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now_s)
        return True

    def _expire(self, now_s: float) -> None:
        for times in (self._requests, self._repeats):
            while times and times[0] <= now_s - self._window_s:
                times.popleft()
