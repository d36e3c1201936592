"""Which accounts have used more than their share of the capacity.

>>> shares = FairShares(lambda account: 2.0, now_s=lambda: 0.0)
>>> shares.record("desk")
>>> shares.is_over("desk")
False
>>> for _ in range(20):
...     shares.record("desk")
>>> shares.is_over("desk")
True
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

OVER_SHARE: Final = 1.5
"""Relative use from which on an account ranks after the others.

It is coarse, so that due times decide among accounts of ordinary load.
"""
BACK_WITHIN_SHARE: Final = 1.25
"""Relative use below which the account ranks with the others again.

Without a distance, an account would change its place with every answer.
"""
PRIOR_REQUESTS: Final = 4.0
"""Requests at the usual rate that are assumed of each account."""
RECENT_S: Final = 8.0
"""Time after which a request weighs a third; that of a quota's window."""
MIN_RELATIVE_USE: Final = 0.01
MAX_TRACKED_ACCOUNTS: Final = 10_000
"""Accounts whose recent requests are counted."""
OPEN_ACCOUNT: Final = "(open)"
"""Account of all requests on open routes that name none."""


def share_account(account: str, *, has_accounts: bool) -> str:
    """Return the account that a request counts for in the order of queues.

    Empty if the configuration has no accounts. Only an open route admits a
    request without one otherwise.
    """
    return (account or OPEN_ACCOUNT) if has_accounts else ""


class FairShares:
    """Tells the accounts over their share, by their relative use.

    ``relative_use`` is the recent use of an account over all gateways and by
    its weight, relative to the mean of the accounts in use. That of an
    account with few requests is mostly chance, so it counts in the proportion
    in which this gateway has recent requests of the account.
    """

    __slots__ = ("_now_s", "_over", "_recent", "relative_use")

    def __init__(
        self,
        relative_use: Callable[[str], float],
        now_s: Callable[[], float],
    ) -> None:
        self.relative_use = relative_use
        self._now_s = now_s
        self._over: set[str] = set()
        self._recent: dict[str, tuple[float, float]] = {}
        """Recent requests of each account, and the time of the last one."""

    def record(self, account: str) -> None:
        """Record a request of an account at this gateway."""
        if not account:
            return
        recent = self._recent_requests(account)
        if len(self._recent) >= MAX_TRACKED_ACCOUNTS:
            # The accounts with recent requests are counted again at once.
            self._recent.clear()
            self._over.clear()
        self._recent[account] = recent + 1, self._now_s()

    def is_over(self, account: str) -> bool:
        """Whether an account ranks after those within their share."""
        recent = self._recent_requests(account)
        usual = recent / max(self.relative_use(account), MIN_RELATIVE_USE)
        relative = (recent + PRIOR_REQUESTS) / (usual + PRIOR_REQUESTS)
        limit = BACK_WITHIN_SHARE if account in self._over else OVER_SHARE
        if relative > limit:
            self._over.add(account)
            return True
        self._over.discard(account)
        return False

    def _recent_requests(self, account: str) -> float:
        """Return the requests of an account, older ones weighing less."""
        recent, at_s = self._recent.get(account, (0.0, 0.0))
        return recent * math.exp((at_s - self._now_s()) / RECENT_S)
