"""Order of the generations that wait at one gateway, and its log."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from absl import logging

from gooseberrypost.logs import LineLimit, format_fields
from gooseberrypost.policy.queueorder import queue_order, queue_rank_ms

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from gooseberrypost.gateway.reserver import PendingReservation
    from gooseberrypost.policy.fairshare import FairShares

DEFERRED_LOG_INTERVAL_S: Final = 1.0
"""Interval between two lines about requests deferred for their share."""


def count_waiting(queue: Iterable[PendingReservation], now_s: float) -> int:
    """Count the generations whose objective has not passed yet.

    Those for which an engine has been asked count as runs there instead.
    """
    return sum(
        now_s < pending.first_event_due_s and not pending.is_reserving
        for pending in queue
    )


def scaled_to_peers(queued_at_peers: int, before: int, waiting: int) -> int:
    """Estimate the generations at peers that are served before another.

    Peers report only how many wait, so the share of this gateway's queue that
    is served ``before`` it stands for theirs.

    >>> scaled_to_peers(10, before=4, waiting=4)
    10
    >>> scaled_to_peers(10, before=1, waiting=3)
    5
    """
    if before >= waiting:
        return queued_at_peers
    return round(queued_at_peers * (before + 1) / (waiting + 1))


class DeferralLog:
    """Logs requests that rank behind others for their account's share."""

    __slots__ = ("_limit", "_shares")

    def __init__(self, shares: FairShares, now_s: Callable[[], float]) -> None:
        self._shares = shares
        self._limit = LineLimit(DEFERRED_LOG_INTERVAL_S, now_s)

    def record(self, request: str, account: str) -> None:
        """Count a request that may wait, and log it if deferred."""
        self._shares.record(account)
        if not account or not self._shares.is_over(account):
            return
        if not self._limit.admit():
            return
        use = self._shares.relative_use(account)
        fields = [
            ("event", "share_deferred"),
            ("request", request),
            ("account", account),
            ("relative_use", round(use, 2)),
            ("omitted", self._limit.omitted),
        ]
        logging.info("%s", format_fields(fields))


class GenerationOrder:
    """Orders queued generations by the present time and shares.

    ``first_event_delay_s`` predicts the time from a reservation to the first
    event, by service.
    """

    __slots__ = ("_first_event_delay_s", "_now_s", "_shares")

    def __init__(
        self,
        shares: FairShares,
        now_s: Callable[[], float],
        first_event_delay_s: Callable[[str], float],
    ) -> None:
        self._shares = shares
        self._now_s = now_s
        self._first_event_delay_s = first_event_delay_s

    def ordered(
        self, waiting: Collection[PendingReservation]
    ) -> list[PendingReservation]:
        """Return generations in their order, the head first."""
        delay_s = max(
            (self._first_event_delay_s(one.service) for one in waiting),
            default=0.0,
        )
        return queue_order(
            waiting, self._now_s(), delay_s, self._shares.is_over
        )

    def before(
        self,
        pending: PendingReservation,
        waiting: Collection[PendingReservation],
    ) -> list[PendingReservation]:
        """Return those that are served before a generation, if it waits.

        Without accounts these are all, as one due later may be served before
        one that has become late.
        """
        if not pending.account:
            return list(waiting)
        others = [one for one in waiting if one is not pending]
        ordered = self.ordered([*others, pending])
        return ordered[: ordered.index(pending)]

    def place_rank_ms(
        self,
        pending: PendingReservation,
        waiting: Iterable[PendingReservation],
    ) -> int:
        """Return the rank of the place that the first of ``waiting`` has.

        Within an account another one may be due before it.
        """
        if not pending.account:
            return self._rank_ms(pending)
        return min(map(self._rank_ms, waiting))

    def _rank_ms(self, pending: PendingReservation) -> int:
        return queue_rank_ms(
            pending,
            self._now_s(),
            self._first_event_delay_s(pending.service),
            self._shares.is_over,
        )

    def head_ranks_ms(
        self, waiting: Collection[PendingReservation]
    ) -> dict[str, int]:
        """Return the rank of the first generation of each service."""
        ranks_ms: dict[str, int] = {}
        for pending in self.ordered(waiting):
            service = pending.service
            if service not in ranks_ms:
                ranks_ms[service] = self.place_rank_ms(
                    pending, (one for one in waiting if one.service == service)
                )
        return ranks_ms
