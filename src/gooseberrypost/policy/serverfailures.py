"""Recent share of refusals and errors of servers.

>>> failures = ServerFailures()
>>> for n in range(8):
...     failures.record("a@1", has_failed=True, now_s=n / 10)
>>> failures.share("a@1", 1.0) > 0.4 > failures.share("b@1", 1.0)
True
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

WEIGHT: Final = 0.1
"""Weight of the latest answer; a share follows a change in ten answers."""
MEMORY_S: Final = 10.0
"""Time in which a share falls to 1/e without further answers."""


class ServerFailures:
    """Share of failed requests by server identity."""

    __slots__ = ("_shares",)

    def __init__(self) -> None:
        self._shares: dict[str, tuple[float, float]] = {}
        """Share and time of the last answer; none for a share of 0."""

    def record(self, identity: str, *, has_failed: bool, now_s: float) -> None:
        """Record the outcome of a request."""
        share = self.share(identity, now_s)
        if has_failed or share:
            share += WEIGHT * (has_failed - share)
            self._shares[identity] = share, now_s

    def share(self, identity: str, now_s: float) -> float:
        """Return the recent share of failed requests."""
        known = self._shares.get(identity)
        if known is None:
            return 0.0
        share, seen_s = known
        return share * math.exp((seen_s - now_s) / MEMORY_S)

    def retain(self, identities: Iterable[str]) -> None:
        """Drop all other servers."""
        for identity in self._shares.keys() - set(identities):
            del self._shares[identity]
