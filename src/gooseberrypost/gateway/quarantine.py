"""Quarantine of content under which backend servers crash.

A repetition of a request is a new attempt of a client, which may come to any
gateway. Each gateway therefore reports which content it lost in a crash, and
all of them draw the same conclusions from the reports of all. The conclusions
are also kept in the store, as every gateway may be restarted.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from absl import logging

from gooseberrypost.errors import Quarantined
from gooseberrypost.gateway.transport import ProcessState
from gooseberrypost.policy.quarantine import (
    CONVICTION_RETENTION_MS,
    KEY_SEPARATOR,
    MAX_CRASHES,
    MIN_CRASHES_WITHOUT_ISOLATION,
    SUSPECT_RETENTION_MS,
    Evidence,
    find_key,
)
from gooseberrypost.policy.suspects import Suspect

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gooseberrypost.gateway.context import GatewayContext
    from gooseberrypost.gateway.model import Server

SETTLING_S: Final = 0.35
"""Time in which the reports of all gateways on a crash arrive.

It exceeds the interval of load notices, of which one may be lost.
"""
SETTLING_MARGIN_S: Final = 0.02
"""Covers the rounding of clocks."""
REPORT_S: Final = 3.0
"""Time for which load notices repeat a report, as datagrams may be lost."""
MAX_NOTICE_DIGESTS: Final = 512
"""Digests of reports in a load notice, which is one datagram.

They take 20 KB of the 64 KB that it may hold.
"""
MAX_NOTICE_CONVICTIONS: Final = 64
"""Convictions in a load notice, which is one datagram; the store has all."""
CRASH_CHECK_TIMEOUT_S: Final = 0.25
"""Timeout of the call by which a crash is told from a lost connection."""
CRASH_CHECK_INTERVAL_S: Final = 0.25
"""Pause between two such calls, and between two looks at the registration."""
CRASH_CHECK_HEARTBEATS: Final = 8
"""Heartbeats for which a server without an answer is asked.

A crashed server is back within some seconds, as another instance.
"""
MAX_ENDED_SERVERS: Final = 64
"""Crashed servers to which late losses are still attributed."""


@dataclass(slots=True, frozen=True)
class Content:
    """What crashes are counted against: a request and parts of its prompt."""

    request: str
    """Digest, equal for each repetition of the request."""
    parts: frozenset[str] = frozenset()
    """Digests of the parts that other requests may share."""

    @property
    def digests(self) -> frozenset[str]:
        """Digests of the request and of the parts."""
        return self.parts | {self.request}


@dataclass(slots=True)
class CrashReport:
    """What one gateway knows of the crash of a server."""

    server: str
    """Identity of the server."""
    lost: dict[str, Suspect] = field(default_factory=dict)
    """Requests that were running, by digest."""
    cleared: set[str] = field(default_factory=set)
    """Digests of what servers have answered, which was not the cause."""

    def shortened(self, digests: int) -> CrashReport:
        """Return as much of the report as fits into a number of digests.

        The likely causes come first: requests whose answers had not begun.
        """
        short = CrashReport(self.server)
        by_likelihood = sorted(
            self.lost.items(), key=lambda item: item[1].has_begun
        )
        for request, suspect in by_likelihood:
            digests -= 1 + len(suspect.parts)
            if digests < 0:
                return short
            short.lost[request] = suspect
        short.cleared.update(sorted(self.cleared)[:digests])
        return short

    @property
    def size(self) -> int:
        """Number of digests in the report."""
        lost = sum(1 + len(suspect.parts) for suspect in self.lost.values())
        return lost + len(self.cleared)


@dataclass(slots=True, frozen=True)
class CrashRecord:
    """A saved crash report."""

    report: CrashReport
    at_ms: int
    """Wall-clock time in ms at which the report was first saved."""


class Quarantine:
    """Evidence of this gateway and its peers, and the verdicts from it."""

    __slots__ = (
        "_ctx",
        "_ended",
        "_losses",
        "_reported_s",
        "_reports",
        "_unchecked",
        "changed",
        "evidence",
        "reports_changed",
        "unsaved",
        "unsaved_reports",
    )

    def __init__(self, ctx: GatewayContext) -> None:
        self._ctx = ctx
        self.evidence = Evidence(
            MIN_CRASHES_WITHOUT_ISOLATION, round(1_000 * SETTLING_S)
        )
        self.changed = asyncio.Event()
        """Set when there are changes in ``unsaved``."""
        self.unsaved: dict[str, int | None] = {}
        """Time of conviction by key.

        It is negative to withdraw a conviction, and None to remove its key.
        """
        self.reports_changed = asyncio.Event()
        """Set when there are servers in ``unsaved_reports``."""
        self.unsaved_reports: set[str] = set()
        """Servers of which an own report has changed."""
        self._losses: dict[str, dict[str, Suspect]] = {}
        """Requests lost at each server that is being checked."""
        self._unchecked: set[str] = set()
        """Those of these servers that lost a request since the last call."""
        self._ended: dict[str, None] = {}
        """Servers that were found to have ended, oldest first."""
        self._reports: dict[str, CrashReport] = {}
        """Own reports, by server."""
        self._reported_s: dict[str, float] = {}
        """Time of the last change to each of these."""

    @property
    def is_active(self) -> bool:
        """Whether any content is in quarantine."""
        self._ctx.loads.refresh()
        return bool(self.evidence.convicted or self._ctx.directory.convictions)

    @property
    def has_evidence(self) -> bool:
        """Whether an answer may clear a request."""
        return self.evidence.has_suspects

    def check(self, content: Content) -> None:
        """Raise ``Quarantined`` if servers crash under this content."""
        digests = content.digests
        convicted = self.evidence.convicted
        key = find_key(convicted, digests)
        if key is None:
            convicted = self._ctx.directory.convictions
            key = find_key(convicted, digests)
        if key is None:
            return
        left_ms = convicted[key] + CONVICTION_RETENTION_MS - wall_ms()
        if left_ms > 0:
            raise Quarantined(
                f"servers crashed under {key}", retry_after_ms=left_ms
            )

    def record_loss(
        self, server: Server, content: Content, *, has_begun: bool
    ) -> None:
        """Record a lost answer, which may show that the server crashed.

        ``has_begun`` tells whether a part of the answer had arrived.
        """
        identity = server.identity
        lost = {content.request: Suspect(content.parts, has_begun)}
        if identity in self._ended:
            self._report(identity, lost)
        elif identity in self._losses:
            self._losses[identity] |= lost
            self._unchecked.add(identity)
        else:
            self._losses[identity] = lost
            self._ctx.spawn(self._check_server(server))

    async def _check_server(self, server: Server) -> None:
        state = ProcessState.UNKNOWN
        try:
            state = await self._find_process_state(server)
        finally:
            lost = self._losses.pop(server.identity)
            self._unchecked.discard(server.identity)
        logging.info(
            "event=crash_checked server=%s process=%s lost=%s",
            server.identity,
            state,
            ",".join(sorted(lost)),
        )
        if state is not ProcessState.ENDED:
            return
        self._ended[server.identity] = None
        if len(self._ended) > MAX_ENDED_SERVERS:
            del self._ended[next(iter(self._ended))]
        self._report(server.identity, lost)

    async def _find_process_state(self, server: Server) -> ProcessState:
        """Ask a server until it answers, and its registration thereafter.

        The link to it may be cut. One that answers may have started again
        under its instance, of which its registration tells.
        """
        ctx, identity = self._ctx, server.identity
        cfg = ctx.settings
        state, until_s = ProcessState.UNKNOWN, 0.0
        self._unchecked.add(identity)
        while True:
            if identity in self._unchecked:
                self._unchecked.discard(identity)
                state = ProcessState.UNKNOWN
                ask_s = CRASH_CHECK_HEARTBEATS * cfg.heartbeat_ms / 1_000
                until_s = ctx.now_s() + ask_s
            if state is ProcessState.UNKNOWN:
                state = await ctx.transport.process_state(
                    server, CRASH_CHECK_TIMEOUT_S
                )
                if state is ProcessState.RUNNING:
                    until_s = ctx.now_s() + cfg.propagation_ms / 1_000
            if ctx.directory.servers.has_restarted(server):
                state = ProcessState.ENDED
            if state is ProcessState.ENDED or ctx.now_s() >= until_s:
                return state
            await asyncio.sleep(CRASH_CHECK_INTERVAL_S)

    def record_answer(self, content: Content) -> None:
        """Record a complete answer, which clears its content."""
        convicted = set(self.evidence.convicted)
        self.evidence.record_answer(content.request, content.parts, wall_ms())
        self._conclude(convicted, saves_changes=True)

    def _report(self, server: str, lost: dict[str, Suspect]) -> None:
        convicted = set(self.evidence.convicted)
        if not self.evidence.report(server, lost, wall_ms()):
            return
        self._evaluate_when_settled()
        self._own_report(server).lost |= lost
        self._save_report(server)
        logging.warning(
            "event=crash_reported server=%s lost=%s",
            server,
            ",".join(sorted(lost)),
        )
        self._ctx.metrics.count("crashes_reported_total")
        self._conclude(convicted)

    def _own_report(self, server: str) -> CrashReport:
        report = self._reports.setdefault(server, CrashReport(server))
        self._reported_s[server] = self._ctx.now_s()
        self._ctx.notify_loads_changed()
        return report

    def recent_reports(self) -> list[CrashReport]:
        """Return the own reports that a load notice is to carry."""
        since_s = self._ctx.now_s() - REPORT_S
        newest = sorted(
            (reported_s, server)
            for server, reported_s in self._reported_s.items()
            if reported_s >= since_s
        )
        reports, free = [], MAX_NOTICE_DIGESTS
        for _, server in reversed(newest):
            report = self._reports[server].shortened(free)
            reports.append(report)
            free -= report.size
        return reports

    def own_report(self, server: str) -> CrashReport | None:
        """Return what this gateway lost in a crash, and what is cleared.

        None if it lost nothing there.
        """
        report = self._reports.get(server)
        if report is None or not report.lost:
            return None
        known = {
            digest
            for request, suspect in report.lost.items()
            for digest in (request, *suspect.parts)
        }
        cleared = self.evidence.cleared(server) & known
        return CrashReport(server, dict(report.lost), set(cleared))

    def newest_convictions(self) -> list[tuple[str, int]]:
        """Return the convictions that load notices are to carry."""
        convictions = self.evidence.convicted.items()
        by_age = sorted(convictions, key=lambda item: item[1], reverse=True)
        return by_age[:MAX_NOTICE_CONVICTIONS]

    def apply_reports(self, reports: Iterable[CrashReport]) -> None:
        """Add the reports of another gateway to the evidence."""
        convicted = set(self.evidence.convicted)
        now_ms = wall_ms()
        for report in reports:
            if self.evidence.report(report.server, report.lost, now_ms):
                logging.info(
                    "event=crash_received server=%s lost=%s",
                    report.server,
                    ",".join(sorted(report.lost)),
                )
                self._evaluate_when_settled()
            self.evidence.clear(report.server, report.cleared, now_ms)
            self._save_report(report.server)
        self._conclude(convicted)

    def apply_convictions(self, convictions: dict[str, int]) -> None:
        """Adopt the convictions of another gateway or of the store."""
        for key, convicted_ms in convictions.items():
            if self.evidence.convict(key, convicted_ms):
                logging.info("event=quarantine_adopted content=%s", key)

    def withdraw(self, key: str) -> None:
        """End a conviction that another gateway has withdrawn."""
        if self.evidence.withdraw(key, wall_ms()):
            logging.info("event=quarantine_ended content=%s", key)

    def release(self, key: str) -> None:
        """Drop all evidence behind a conviction that left the store."""
        convicted = set(self.evidence.convicted)
        for digest in key.split(KEY_SEPARATOR):
            self.evidence.exonerate(digest, wall_ms())
        self._conclude(convicted)

    def _evaluate_when_settled(self) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(SETTLING_S + SETTLING_MARGIN_S, self._evaluate)

    def _evaluate(self) -> None:
        convicted = set(self.evidence.convicted)
        self.evidence.evaluate(wall_ms())
        self._conclude(convicted)

    def _conclude(
        self, before: set[str], *, saves_changes: bool = False
    ) -> None:
        """Pass on what changed in the evidence and in its convictions.

        Of all gateways only those write a change to the store that lost a
        request or, with ``saves_changes``, saw the answer that led to it.
        """
        for server, digest in self.evidence.take_clearances():
            logging.info(
                "event=crash_cleared server=%s content=%s", server, digest
            )
            self._own_report(server).cleared.add(digest)
            self._save_report(server)
        after = self.evidence.convicted
        for key in before - after.keys():
            logging.info("event=quarantine_ended content=%s", key)
            if saves_changes:
                self._save(key, -wall_ms())
        for key in after.keys() - before:
            logging.warning("event=quarantined content=%s", key)
            self._ctx.metrics.count("quarantined_total")
            self._ctx.notify_loads_changed()
            if self._has_lost(key) or saves_changes:
                self._save(key, after[key])

    def _has_lost(self, key: str) -> bool:
        """Whether this gateway has recently lost a request of a key."""
        return any(
            find_key([key], {request, *suspect.parts})
            for report in self._reports.values()
            for request, suspect in report.lost.items()
        )

    def _save_report(self, server: str) -> None:
        report = self._reports.get(server)
        if report is not None and report.lost:
            self.unsaved_reports.add(server)
            self.reports_changed.set()

    def _save(self, key: str, at_ms: int | None) -> None:
        self.unsaved[key] = at_ms
        self.changed.set()

    def expire(self) -> None:
        """Drop what is too old to count."""
        # A clock that was set back may have kept a crash from settling.
        self._evaluate()
        self.evidence.expire(wall_ms())
        now_s = self._ctx.now_s()
        newest = sorted(
            self._reported_s, key=lambda s: self._reported_s[s], reverse=True
        )
        for index, server in enumerate(newest):
            age_s = now_s - self._reported_s[server]
            # Reports of lost requests are kept, as clearances are added to
            # what the store has of them.
            kept_s = REPORT_S
            if self._reports[server].lost:
                kept_s = SUSPECT_RETENTION_MS / 1_000
            if index >= MAX_CRASHES or age_s > kept_s:
                del self._reports[server], self._reported_s[server]


def wall_ms() -> int:
    """Return the time of day in ms."""
    return round(1_000 * time.time())
