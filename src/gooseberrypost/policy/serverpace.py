"""Pace of servers relative to the usual pace of their service.

A server of pace 2 answers in half of the usual time. Each gateway compares
its own answers with what it expects, and reports the pace of each server with
the number of recent answers behind it; the reports of all gateways are
averaged by that number.

The pace and the cost of requests are learned from the same answers, which
leave a common factor open. The paces that a gateway observes are therefore
scaled to agree on average with what the others report on the same servers, and
to a geometric mean of 1 where there are no reports.

>>> paces = ServerPaces()
>>> for n in range(40):
...     paces.record("desk", "a@1", 50.0, 100.0, n / 10)
...     paces.record("desk", "b@1", 50.0, 25.0, n / 10)
>>> [round(paces.of(name, 4.0), 1) for name in ("a@1", "b@1", "c@1")]
[0.5, 1.9, 1.0]
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

MAX_ANSWERS: Final = 24
"""Recent answers that count at most for one server at one gateway.

An estimate follows a change within about as many answers.
"""
MEMORY_S: Final = 20.0
"""Time in which the weight of answers falls to 1/e."""
PRIOR_ANSWERS: Final = 1.0
"""Answers that the usual pace counts for."""
DEVIATION_WEIGHT: Final = 1 / 16
"""Weight of an answer in the mean deviation."""
MAX_DEVIATIONS: Final = 2.0
"""Multiple of the mean deviation up to which an answer moves an estimate."""
INITIAL_DEVIATION: Final = 0.4
"""Deviation of the logarithm of a time that is assumed at first."""
MIN_DEVIATION: Final = 0.05
MAX_LOG_PACE: Final = math.log(16)
"""Bound of the logarithm of a pace, also of those that others report."""
SCALE_INTERVAL_S: Final = 0.1
"""Interval at which the paces of a service are scaled anew."""
ANCHOR_SHARE: Final = 0.98
"""Share of the others' mean that own paces are scaled to.

The rest draws the mean to 1, as nothing else holds the common factor.
"""
MAX_ANCHOR_ANSWERS: Final = 4.0
"""Answers of one server that count at most for the scale.

Otherwise it would follow the server that gets the most requests.
"""
SCALE_COST_S: Final = 0.000_5
"""Part of that interval for each server, which bounds its share of a core."""
MAX_REPORTS: Final = 32
"""Servers whose pace a notice names; those furthest from 1 come first."""
REPORTED_DIGITS: Final = 2
"""Decimal places of a reported pace.

Most reports then equal the last one, and need not be added up again.
"""
MIN_REPORTED_LOG_PACE: Final = 0.05
"""Deviation from the usual pace below which an idle server is left out."""


class PaceReport(NamedTuple):
    """Pace of a server as one gateway has observed it."""

    pace: float
    answers: float
    """Recent answers behind it."""


class _Observed:
    """Own estimate of one server."""

    __slots__ = ("answers", "deviation", "log_pace", "seen_s")

    def __init__(self) -> None:
        self.answers = 0.0
        self.log_pace = 0.0
        self.deviation = INITIAL_DEVIATION
        self.seen_s = 0.0

    def weight(self, now_s: float) -> float:
        """Return the number of recent answers."""
        return self.answers * math.exp((self.seen_s - now_s) / MEMORY_S)

    def record(self, log_pace: float, now_s: float) -> None:
        """Move the estimate, by a bounded step for a single answer."""
        self.answers = min(self.weight(now_s) + 1, MAX_ANSWERS)
        self.seen_s = now_s
        if self.answers <= 1:
            self.log_pace = log_pace
            return
        step = log_pace - self.log_pace
        bound = MAX_DEVIATIONS * self.deviation
        # The bound grows with the deviation, so a change is followed.
        excess = min(abs(step), 2 * bound) - self.deviation
        self.deviation = max(
            self.deviation + DEVIATION_WEIGHT * excess, MIN_DEVIATION
        )
        self.log_pace += min(max(step, -bound), bound) / self.answers


class _Reports:
    """Sum of what other gateways report on one server."""

    __slots__ = ("answers", "total")

    def __init__(self) -> None:
        self.answers = 0.0
        self.total = 0.0
        """Logarithms of the paces, each times its answers."""


class _Scaled:
    """Paces of a service's servers, as they were scaled last."""

    __slots__ = ("due_s", "offset", "paces")

    def __init__(self) -> None:
        self.due_s = float("-inf")
        self.offset = 0.0
        """Subtracted from own logarithms before they are reported."""
        self.paces: dict[str, float] = {}


class ServerPaces:
    """Paces of server incarnations over all gateways."""

    __slots__ = (
        "_own",
        "_own_reports",
        "_peers",
        "_reports",
        "_reports_due_s",
        "_scaled",
        "_services",
        "_unusual",
    )

    def __init__(self) -> None:
        self._own: dict[str, dict[str, _Observed]] = {}
        """Own estimates by service and server identity."""
        self._peers: dict[str, dict[str, tuple[PaceReport, float, float]]] = {}
        """Report, its logarithm and answers by server, for each gateway."""
        self._reports: dict[str, _Reports] = {}
        self._scaled: dict[str, _Scaled] = {}
        """By service; servers known from reports only are under ``""``."""
        self._services: dict[str, str] = {}
        """Service of each server that has answered this gateway."""
        self._own_reports: dict[str, PaceReport] = {}
        """Own reports as they were computed last."""
        self._unusual: list[str] = []
        """Servers of other than usual pace, the furthest from it first."""
        self._reports_due_s = float("-inf")

    def record(
        self,
        service: str,
        identity: str,
        expected_ms: float,
        took_ms: float,
        now_s: float,
    ) -> None:
        """Record a time that was expected at usual pace, and its actual."""
        if expected_ms <= 0 or took_ms <= 0:
            return
        own = self._own.setdefault(service, {})
        observed = own.get(identity)
        if observed is None:
            observed = own[identity] = _Observed()
            self._services[identity] = service
        log_pace = math.log(expected_ms / took_ms)
        observed.record(_bounded(log_pace), now_s)

    def of(self, identity: str, now_s: float) -> float:
        """Return the pace of a server; 1 if nothing is known of it."""
        service = self._services.get(identity, "")
        scaled = self._scaled.get(service)
        if scaled is None:
            scaled = self._scaled[service] = _Scaled()
        if now_s >= scaled.due_s:
            self._scale(service, scaled, now_s)
        pace = scaled.paces.get(identity)
        if pace is None:
            reports = self._reports.get(identity)
            if reports is None:
                return 1.0
            pace = scaled.paces[identity] = math.exp(
                reports.total / (reports.answers + PRIOR_ANSWERS)
            )
        return pace

    def update_peer(
        self, gateway: str, reports: Mapping[str, PaceReport]
    ) -> None:
        """Replace what a gateway reports; most notices change little."""
        known = self._peers.get(gateway)
        if known is None:
            if not reports:
                return
            known = self._peers[gateway] = {}
        for identity in known.keys() - reports.keys():
            _, log_pace, answers = known.pop(identity)
            self._add(identity, log_pace, -answers)
        for identity, report in reports.items():
            before = known.get(identity)
            if before is not None:
                if before[0] == report:
                    continue
                self._add(identity, before[1], -before[2])
            log_pace = _bounded(math.log(report.pace))
            answers = min(report.answers, MAX_ANSWERS)
            known[identity] = report, log_pace, answers
            self._add(identity, log_pace, answers)
        if not known:
            del self._peers[gateway]

    def reports(
        self, busy: Iterable[str], now_s: float
    ) -> dict[str, PaceReport]:
        """Return the reports for the next notice.

        Servers that are ``busy`` are listed if they have recent answers, and
        others of another pace than usual, up to ``MAX_REPORTS`` in all.
        """
        if now_s >= self._reports_due_s:
            self._update_reports(now_s)
        current = self._own_reports
        found = {
            identity: current[identity]
            for identity in busy
            if identity in current
        }
        for identity in self._unusual:
            if len(found) >= MAX_REPORTS:
                break
            found[identity] = current[identity]
        return found

    def _update_reports(self, now_s: float) -> None:
        """Compute the reports on all servers with recent answers."""
        current, unusual = {}, []
        for service, own in self._own.items():
            offset = self._scaled_offset(service)
            for identity, observed in own.items():
                answers = round(observed.weight(now_s))
                if not answers:
                    continue
                log_pace = _bounded(observed.log_pace - offset)
                pace = round(math.exp(log_pace), REPORTED_DIGITS)
                current[identity] = PaceReport(pace, answers)
                if abs(log_pace) >= MIN_REPORTED_LOG_PACE:
                    unusual.append((-abs(log_pace), identity))
        unusual.sort()
        self._own_reports = current
        self._unusual = [identity for _, identity in unusual[:MAX_REPORTS]]
        self._reports_due_s = now_s + max(
            SCALE_INTERVAL_S, SCALE_COST_S * len(current)
        )

    def retain(self, identities: Iterable[str]) -> None:
        """Drop the paces of servers that have left or restarted."""
        kept = set(identities)
        for identity in self._services.keys() - kept:
            del self._own[self._services.pop(identity)][identity]

    def _scaled_offset(self, service: str) -> float:
        scaled = self._scaled.get(service)
        return scaled.offset if scaled is not None else 0.0

    def _add(self, identity: str, log_pace: float, answers: float) -> None:
        """Add a report to the sum for its server, or take it out."""
        sums = self._reports.get(identity)
        if sums is None:
            sums = self._reports[identity] = _Reports()
        sums.answers += answers
        sums.total += answers * log_pace
        if sums.answers < PRIOR_ANSWERS / 1_000:
            del self._reports[identity]

    def _scale(self, service: str, scaled: _Scaled, now_s: float) -> None:
        """Combine own and reported paces."""
        own = self._own.get(service, {})
        weights = {
            identity: observed.weight(now_s)
            for identity, observed in own.items()
        }
        scaled.offset = self._own_offset(own, weights)
        logs = {}
        for identity in own.keys() | scaled.paces.keys():
            total = answers = 0.0
            if identity in own:
                answers = weights[identity]
                total = answers * (own[identity].log_pace - scaled.offset)
            reports = self._reports.get(identity)
            if reports is not None:
                answers += reports.answers
                total += reports.total
            if answers:
                logs[identity] = total / (answers + PRIOR_ANSWERS)
        scaled.paces = {
            identity: math.exp(log_pace) for identity, log_pace in logs.items()
        }
        scaled.due_s = now_s + max(SCALE_INTERVAL_S, SCALE_COST_S * len(logs))

    def _own_offset(
        self, own: Mapping[str, _Observed], weights: Mapping[str, float]
    ) -> float:
        """Return the mean excess of own logarithms over those of others."""
        total = answers = 0.0
        for identity, observed in own.items():
            weight = min(weights[identity], MAX_ANCHOR_ANSWERS)
            reports = self._reports.get(identity)
            usual = (
                ANCHOR_SHARE * reports.total / reports.answers
                if reports is not None
                else 0.0
            )
            total += weight * (observed.log_pace - usual)
            answers += weight
        return total / answers if answers else 0.0


def _bounded(log_pace: float) -> float:
    return min(max(log_pace, -MAX_LOG_PACE), MAX_LOG_PACE)
