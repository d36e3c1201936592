"""Rate limit that all gateways keep together, without a coordinator.

Each gateway has a token bucket of the whole limit. It takes from the bucket
what it admits itself and what the others report to have admitted, as
cumulative counts in their load notices. All buckets thus follow the same sum,
and any gateway may use the whole limit.

>>> shared = SharedBucket(rate_per_s=2.0, burst=4.0, now_s=0.0)
>>> shared.debit(3.0, now_s=0.0)
>>> report = PeerReport(count=1.0, age_s=0.5)
>>> shared.record_peer("gateway-2", report, now_s=0.5, counted_since_s=0.0)
1.0
>>> shared.level(0.5), shared.wait_s(2.0, 0.5)
(1.0, 0.5)
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from gooseberrypost.policy.limits import TokenBucket

RESTART_MARGIN_S: Final = 1.0
"""Tolerated difference in delay between two notices of one sender.

A count that began later than this after the previous notice is a new one.
"""


@dataclass(slots=True, frozen=True)
class PeerReport:
    """Cumulative count of one gateway, as in its load notice."""

    count: float
    """Cost admitted since the gateway began to count."""
    age_s: float
    """Time since then."""
    incarnation: int | None = None
    """Start of the sender; None if its notices do not tell.

    Within one incarnation a count falls when something is refunded. Without
    the incarnation a lower count stands for a restart.
    """


class PeerCounts:
    """Tells what is new in the cumulative counts of other gateways."""

    __slots__ = ("_last",)

    def __init__(self) -> None:
        self._last: dict[str, tuple[PeerReport, float]] = {}
        """Newest report of each gateway and its arrival time."""

    def record_peer(
        self,
        gateway: str,
        report: PeerReport,
        now_s: float,
        counted_since_s: float,
    ) -> float:
        """Return what a gateway has admitted since its previous report.

        What it admitted before this gateway began to count is left out.
        Negative if more was refunded than admitted.
        """
        last = self._last.get(gateway)
        self._last[gateway] = report, now_s
        since_s = now_s - report.age_s
        if last is None or last[1] < counted_since_s:
            return report.count if since_s >= counted_since_s else 0.0
        before, received_s = last
        if (
            report.incarnation != before.incarnation
            or report.age_s < before.age_s
            or since_s > received_s + RESTART_MARGIN_S
            or (report.incarnation is None and report.count < before.count)
        ):
            return report.count
        return report.count - before.count

    def drop_peers_before(self, oldest_s: float) -> None:
        """Forget gateways without a report since a time."""
        self._last = {
            gateway: last
            for gateway, last in self._last.items()
            if last[1] >= oldest_s
        }


class SharedBucket:
    """Token bucket that follows the sum over all gateways."""

    __slots__ = ("_bucket", "_peers")

    def __init__(
        self,
        rate_per_s: float,
        burst: float,
        now_s: float,
        min_burst: float = 1.0,
    ) -> None:
        self._bucket = TokenBucket(rate_per_s, burst, to_ms(now_s), min_burst)
        self._peers = PeerCounts()

    @property
    def burst(self) -> float:
        """Number of tokens of the full bucket."""
        return self._bucket.burst

    def set_rate(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Change rate and burst, or use only a share of them.

        A share is used while notices of other gateways are missing, whose
        requests cannot be counted.
        """
        self._bucket.set_rate(rate_per_s, burst, to_ms(now_s))

    def debit(self, cost: float, now_s: float) -> None:
        """Take tokens, also those that the bucket does not have."""
        self._bucket.debit(cost, to_ms(now_s))

    def refund(self, cost: float, now_s: float) -> None:
        """Return tokens whose request was not run."""
        self._bucket.level(to_ms(now_s))
        self._bucket.refund(cost)

    def record_peer(
        self,
        gateway: str,
        report: PeerReport,
        now_s: float,
        counted_since_s: float,
    ) -> float:
        """Take what another gateway has admitted; returns how much."""
        new = self._peers.record_peer(gateway, report, now_s, counted_since_s)
        if new < 0:
            self.refund(-new, now_s)
        elif new:
            self.debit(new, now_s)
        return new

    def drop_peers_before(self, oldest_s: float) -> None:
        """Forget gateways without a report since a time."""
        self._peers.drop_peers_before(oldest_s)

    def level(self, now_s: float) -> float:
        """Return the number of tokens; negative in debt."""
        return self._bucket.level(to_ms(now_s))

    def take_over(self, level: float, now_s: float) -> None:
        """Adopt the level that another gateway reports."""
        self._bucket.set_level(level, to_ms(now_s))

    def wait_s(self, cost: float, now_s: float) -> float:
        """Return the time until tokens for a cost are available."""
        return self._bucket.wait_ms(to_ms(now_s), cost) / 1_000


def to_ms(time_s: float) -> int:
    """Return a time in the unit of token buckets."""
    return round(1_000 * time_s)
