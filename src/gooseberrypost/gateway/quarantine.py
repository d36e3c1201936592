"""Quarantine of content under which backend servers crash.

A repetition of a request is a new attempt of a client, which may come to any
gateway. Each gateway therefore reports which content it lost in a crash, and
all of them draw the same conclusions from the reports of all. The conclusions
are also kept in the store, as every gateway may be restarted.
"""

from __future__ import annotations

import asyncio
import time
from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from absl import logging
from mode import Service

from gooseberrypost.errors import Failure, Quarantined
from gooseberrypost.gateway.tasks import keep_running
from gooseberrypost.policy.quarantine import (
    CONVICTION_RETENTION_MS,
    MIN_CRASHES_WITHOUT_ISOLATION,
    Evidence,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gooseberrypost.gateway.context import GatewayContext
    from gooseberrypost.gateway.model import Server

REPORT_S: Final = 3.0
"""Time for which load notices repeat a report, as datagrams may be lost."""
MAX_NOTICE_CONVICTIONS: Final = 64
"""Convictions in a load notice, which is one datagram; the store has all."""
MAX_ENDED_SERVERS: Final = 64
"""Crashed servers to which late losses are still attributed."""
SAVE_RETRY_S: Final = 0.5
EXPIRY_INTERVAL_S: Final = 5.0


class ConvictionNotSaved(Failure):
    """The store did not take a change to the saved convictions."""

    code = "conviction_not_saved"


class ConvictionStore(ABC):
    """Convictions that outlast the gateways."""

    @abstractmethod
    async def save(self, content: str, convicted_ms: int) -> None:
        """Write a conviction; raises ``ConvictionNotSaved``."""

    @abstractmethod
    async def remove(self, content: str) -> None:
        """Remove a conviction; raises ``ConvictionNotSaved``."""


@dataclass(slots=True)
class CrashReport:
    """What one gateway knows of the crash of a server."""

    server: str
    """Identity of the server."""
    lost: set[str] = field(default_factory=set)
    """Content that was running."""
    cleared: set[str] = field(default_factory=set)
    """Content that a server has answered, so that it was not the cause."""


class Quarantine:
    """Evidence of this gateway and its peers, and the verdicts from it."""

    __slots__ = (
        "_ctx",
        "_ended",
        "_losses",
        "_reported_s",
        "_reports",
        "changed",
        "evidence",
        "unsaved",
    )

    def __init__(self, ctx: GatewayContext) -> None:
        self._ctx = ctx
        self.evidence = Evidence(MIN_CRASHES_WITHOUT_ISOLATION)
        self.changed = asyncio.Event()
        """Set when there are changes in ``unsaved``."""
        self.unsaved: dict[str, int | None] = {}
        """Time of conviction by content, None to remove a conviction."""
        self._losses: dict[str, set[str]] = {}
        """Content lost at each server that is being checked."""
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
        """Whether an answer may clear any content."""
        return self.evidence.has_suspects or bool(
            self._ctx.directory.convictions
        )

    def check(self, content: str) -> None:
        """Raise ``Quarantined`` if servers crash under this content."""
        convicted_ms = self.evidence.convicted.get(content)
        if convicted_ms is None:
            convicted_ms = self._ctx.directory.convictions.get(content)
        if convicted_ms is None:
            return
        left_ms = convicted_ms + CONVICTION_RETENTION_MS - _wall_ms()
        if left_ms > 0:
            raise Quarantined(
                "servers crashed under this request", retry_after_ms=left_ms
            )

    def record_loss(self, server: Server, content: str) -> None:
        """Record a lost answer, which may show that the server crashed."""
        identity = server.identity
        if identity in self._ended:
            self._report(identity, {content})
            return
        is_being_checked = identity in self._losses
        self._losses.setdefault(identity, set()).add(content)
        if not is_being_checked:
            self._ctx.spawn(self._check_server(server))

    async def _check_server(self, server: Server) -> None:
        has_ended = False
        try:
            has_ended = await self._ctx.transport.has_ended(server)
        finally:
            lost = self._losses.pop(server.identity)
        if not has_ended:
            return
        self._ended[server.identity] = None
        if len(self._ended) > MAX_ENDED_SERVERS:
            del self._ended[next(iter(self._ended))]
        self._report(server.identity, lost)

    def record_answer(self, content: str) -> None:
        """Record a complete answer, which clears its content."""
        for server in self.evidence.exonerate(content, _wall_ms()):
            report = self._own_report(server)
            report.lost.discard(content)
            report.cleared.add(content)
        self._withdraw(content)

    def _report(self, server: str, lost: set[str]) -> None:
        convicted = set(self.evidence.convicted)
        if not self.evidence.report(server, lost, _wall_ms()):
            return
        self._own_report(server).lost |= lost
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
        """Return the own reports that load notices are to carry."""
        since_s = self._ctx.now_s() - REPORT_S
        return [
            report
            for server, report in self._reports.items()
            if self._reported_s[server] >= since_s
        ]

    def newest_convictions(self) -> list[tuple[str, int]]:
        """Return the convictions that load notices are to carry."""
        convictions = self.evidence.convicted.items()
        by_age = sorted(convictions, key=lambda item: item[1], reverse=True)
        return by_age[:MAX_NOTICE_CONVICTIONS]

    def apply_reports(self, reports: Iterable[CrashReport]) -> None:
        """Add the reports of another gateway to the evidence."""
        convicted = set(self.evidence.convicted)
        now_ms = _wall_ms()
        for report in reports:
            self.evidence.report(report.server, report.lost, now_ms)
            for content in report.cleared:
                self.evidence.clear(report.server, content, now_ms)
        self._conclude(convicted)

    def apply_convictions(self, convictions: dict[str, int]) -> None:
        """Adopt the convictions of another gateway."""
        for content, convicted_ms in convictions.items():
            if self.evidence.convict(content, convicted_ms):
                logging.info("event=quarantine_adopted content=%s", content)

    def release(self, content: str) -> None:
        """Drop all evidence against content that left the store."""
        self.evidence.exonerate(content, _wall_ms())
        logging.info("event=quarantine_ended content=%s", content)

    def _conclude(self, before: set[str]) -> None:
        """Log and save the convictions that were not there before."""
        for content in self.evidence.convicted.keys() - before:
            logging.warning("event=quarantined content=%s", content)
            self._ctx.metrics.count("quarantined_total")
            # The gateways that lost the request write it to the store.
            if any(content in r.lost for r in self._reports.values()):
                self.unsaved[content] = self.evidence.convicted[content]
                self.changed.set()
            self._ctx.notify_loads_changed()

    def _withdraw(self, content: str) -> None:
        if content in self._ctx.directory.convictions:
            self.unsaved[content] = None
            self.changed.set()

    def expire(self) -> None:
        """Drop what is too old to count."""
        self.evidence.expire(_wall_ms())
        since_s = self._ctx.now_s() - REPORT_S
        for server, reported_s in list(self._reported_s.items()):
            if reported_s < since_s:
                del self._reports[server], self._reported_s[server]


class ConvictionKeeper(Service):
    """Writes convictions to the store and adopts those that are there."""

    def __init__(self, ctx: GatewayContext, store: ConvictionStore) -> None:
        super().__init__()
        self._ctx = ctx
        self._store = store
        self._stored: set[str] = set()
        """Convictions in the store, as last seen."""

    async def on_started(self) -> None:
        """Keep the convictions until the service stops."""
        metrics = self._ctx.metrics
        self.add_future(keep_running(self, self._save_changes, metrics))
        self.add_future(keep_running(self, self._follow_store, metrics))
        self.add_future(keep_running(self, self._expire, metrics))

    async def _save_changes(self) -> None:
        quarantine = self._ctx.quarantine
        while not self.should_stop:
            await quarantine.changed.wait()
            quarantine.changed.clear()
            try:
                await self._save(quarantine.unsaved)
            except ConvictionNotSaved as failure:
                logging.warning(
                    "event=conviction_not_saved detail=%r", failure.detail
                )
                await self.sleep(SAVE_RETRY_S)
                quarantine.changed.set()

    async def _save(self, unsaved: dict[str, int | None]) -> None:
        for content, convicted_ms in list(unsaved.items()):
            if convicted_ms is None:
                await self._store.remove(content)
            else:
                await self._store.save(content, convicted_ms)
            if unsaved.get(content) == convicted_ms:
                del unsaved[content]

    async def _follow_store(self) -> None:
        directory = self._ctx.directory
        while not self.should_stop:
            self._apply_stored(directory.convictions)
            await directory.changed()

    def _apply_stored(self, stored: dict[str, int]) -> None:
        quarantine = self._ctx.quarantine
        quarantine.apply_convictions(stored)
        for content in self._stored - stored.keys():
            quarantine.release(content)
        self._stored = set(stored)

    async def _expire(self) -> None:
        while not self.should_stop:
            await self.sleep(EXPIRY_INTERVAL_S)
            self._ctx.quarantine.expire()
            self._remove_expired()

    def _remove_expired(self) -> None:
        """Remove expired convictions from the store, at one gateway."""
        directory = self._ctx.directory
        if self._ctx.settings.name != min(directory.gateways, default=""):
            return
        oldest_ms = _wall_ms() - CONVICTION_RETENTION_MS
        for content, convicted_ms in directory.convictions.items():
            if convicted_ms < oldest_ms:
                self._ctx.quarantine.unsaved[content] = None
                self._ctx.quarantine.changed.set()


def _wall_ms() -> int:
    return round(1_000 * time.time())
