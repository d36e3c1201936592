"""Refused requests of one account: what they wait for, and when they return.

>>> from gooseberrypost.policy.accountuse import Refused
>>> refusals = Refusals()
>>> refusals.record(cost=3.0, priority=0, now_s=0.0)
>>> refusals.record_peer("gateway-2", Refused(2.0, priority=1), now_s=0.1)
>>> refusals.held(0, 0.2), refusals.held(1, 0.2), refusals.held(2, 0.2)
(0.0, 3.0, 5.0)
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from gooseberrypost.policy.accountuse import RecentSum, Refused

if TYPE_CHECKING:
    import random

MAX_RETRY_AFTER_S: Final = 10.0
"""Latest time to which refused requests are spread."""
PEER_HOLD_S: Final = 1.0
"""Time for which a refusal at another gateway counts after its notice."""


class Refusals:
    """Recent refusals of one account, at this gateway and the others."""

    __slots__ = ("_booked_until_s", "_by_peer", "_own")

    def __init__(self) -> None:
        self._own: dict[int, RecentSum] = {}
        """Cost of the requests just refused here, by priority."""
        self._by_peer: dict[str, tuple[Refused, float]] = {}
        """The same at other gateways, and the time of the notice."""
        self._booked_until_s = float("-inf")
        """Time up to which refused requests were told to return."""

    def record(self, cost: float, priority: int, now_s: float) -> None:
        """Record a refusal at this gateway."""
        self._own.setdefault(priority, RecentSum()).add(cost, now_s)

    def record_peer(
        self, gateway: str, refused: Refused | None, now_s: float
    ) -> None:
        """Record what another gateway has just refused."""
        if refused is not None:
            self._by_peer[gateway] = refused, now_s
        elif self._by_peer:
            self._by_peer.pop(gateway, None)

    def most_urgent(self, now_s: float) -> Refused | None:
        """Return what other gateways are to hold tokens for."""
        for priority, refused in sorted(self._own.items()):
            cost = refused.total(now_s)
            if cost > 0:
                return Refused(cost, priority)
        return None

    def held(self, priority: int, now_s: float) -> float:
        """Return the cost of the more urgent requests just refused."""
        held = 0.0
        for other, own in self._own.items():
            if other < priority:
                held += own.total(now_s)
        for refused, received_s in self._by_peer.values():
            is_recent = now_s - received_s < PEER_HOLD_S
            if is_recent and refused.priority < priority:
                held += refused.cost
        return held

    def book(
        self,
        wait_s: float,
        slot_s: float,
        rng: random.Random,
        now_s: float,
    ) -> float:
        """Return after which time a request is to come again.

        ``wait_s`` is the time until it fits, and ``slot_s`` the time in which
        the tokens that it needs are refilled for the clients of this gateway.
        Each refused request gets the slot after those refused before it.
        """
        start_s = max(now_s + wait_s, self._booked_until_s)
        if start_s + slot_s <= now_s + MAX_RETRY_AFTER_S:
            self._booked_until_s = start_s + slot_s
            return start_s - now_s + rng.random() * slot_s
        # The queue is longer than clients wait, so they share it at random.
        return rng.uniform(wait_s, max(wait_s, MAX_RETRY_AFTER_S))
