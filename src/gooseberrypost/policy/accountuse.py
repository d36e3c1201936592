"""Use of client accounts: what notices report of it, and how it compares.

>>> ranking = UseRanking()
>>> ranking.set_weights({"desk": 10.0, "booth": 10.0}, now_s=0.0)
>>> ranking.record("desk", 30.0, now_s=0.0)
>>> ranking.record("booth", 10.0, now_s=0.0)
>>> ranking.relative("desk", 0.0), ranking.relative("idle", 0.0)
(0.8571428571428571, 1.0)
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from gooseberrypost.policy.limits import DecayedSum
from gooseberrypost.policy.sharedlimit import to_ms

if TYPE_CHECKING:
    from collections.abc import Mapping

RECENT_S: Final = 1.0
"""Time that a recent sum covers at least; it covers less than twice that."""
IDLE_USE: Final = 0.05
"""Share of the mean use below which an account is inactive."""
SWEEP_S: Final = 5.0
"""Interval at which inactive accounts are dropped."""


@dataclass(slots=True, frozen=True)
class Refused:
    """Requests that were just refused, of the most urgent priority."""

    cost: float
    priority: int


@dataclass(slots=True, frozen=True)
class AccountUse:
    """What one gateway reports of the use of an account."""

    account: str
    admitted: float
    """Cumulative cost admitted by the gateway, less what was refunded."""
    level: float | None
    """Level of the account's bucket; None if the gateway does not know it."""
    counted_ms: int
    """Time for which the gateway has counted."""
    refused: Refused | None = None
    """What the gateway has just refused; None if there is nothing."""


@dataclass(slots=True, frozen=True)
class AccountsNotice:
    """Reports of one load notice on the use of accounts."""

    incarnation: int
    """Random number of one start of the sender."""
    uses: tuple[AccountUse, ...] = ()


class RecentSum:
    """Sum over the last ``RECENT_S``, kept as two parts of that length."""

    __slots__ = ("_before", "_current", "_started_s")

    def __init__(self) -> None:
        self._before = 0.0
        self._current = 0.0
        self._started_s = float("-inf")

    def add(self, amount: float, now_s: float) -> None:
        """Add an amount."""
        self._advance(now_s)
        self._current += amount

    def total(self, now_s: float) -> float:
        """Return the sum of one to two ``RECENT_S``."""
        self._advance(now_s)
        return max(0.0, self._before + self._current)

    def per_s(self, now_s: float) -> float:
        """Return the mean rate over the time covered."""
        total = self.total(now_s)
        return total / (RECENT_S + max(0.0, now_s - self._started_s))

    def _advance(self, now_s: float) -> None:
        age_s = now_s - self._started_s
        if age_s < RECENT_S:
            return
        self._before = self._current if age_s < 2 * RECENT_S else 0.0
        self._current = 0.0
        self._started_s = now_s


class UseRanking:
    """Recent use of accounts over all gateways, relative to their weights."""

    __slots__ = ("_swept_s", "_total", "_use", "_weights")

    def __init__(self) -> None:
        self._weights: Mapping[str, float] = {}
        self._use: dict[str, DecayedSum] = {}
        """Use of the active accounts, in cost by weight."""
        self._total = DecayedSum()
        self._swept_s = float("-inf")

    def set_weights(self, weights: Mapping[str, float], now_s: float) -> None:
        """Apply new weights; accounts without one are dropped."""
        now_ms = to_ms(now_s)
        for account, use in list(self._use.items()):
            before = use.at(now_ms)
            weight = weights.get(account)
            if weight is None:
                del self._use[account]
                change = -before
            else:
                change = before * (self._weights[account] / weight - 1)
                use.add(change, now_ms)
            self._total.add(change, now_ms)
        self._weights = weights

    def record(self, account: str, cost: float, now_s: float) -> None:
        """Record use; the cost is negative if it is refunded."""
        weight = self._weights.get(account)
        if weight is None:
            return
        now_ms = to_ms(now_s)
        if now_s - self._swept_s > SWEEP_S:
            self._sweep(now_s)
        use = self._use.get(account)
        amount = cost / weight
        if use is None:
            # An account that returns begins at the mean: it gets no credit
            # for the time without use.
            amount += self._mean(now_ms)
            use = self._use[account] = DecayedSum()
        use.add(amount, now_ms)
        self._total.add(amount, now_ms)

    def relative(self, account: str, now_s: float) -> float:
        """Return the use relative to the mean of the active accounts."""
        use, now_ms = self._use.get(account), to_ms(now_s)
        mean = self._mean(now_ms)
        return 1.0 if use is None or mean <= 0 else use.at(now_ms) / mean

    def _mean(self, now_ms: int) -> float:
        return self._total.at(now_ms) / max(1, len(self._use))

    def _sweep(self, now_s: float) -> None:
        """Drop inactive accounts, and sum up again without rounding errors."""
        self._swept_s, now_ms = now_s, to_ms(now_s)
        least = IDLE_USE * self._mean(now_ms)
        self._use = {
            account: use
            for account, use in self._use.items()
            if use.at(now_ms) > least
        }
        self._total = DecayedSum()
        for use in self._use.values():
            self._total.add(use.at(now_ms), now_ms)
