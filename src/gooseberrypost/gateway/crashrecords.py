"""Crash reports in the store, so that gateways count crashes together.

Load notices pass reports on within milliseconds, but a gateway that is cut off
from the others, stands still or starts again misses them.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from absl import logging
from mode import Service

from gooseberrypost.gateway.convictions import (
    EXPIRY_INTERVAL_S,
    REWRITE_SPREAD_S,
    SAVE_RETRY_S,
    ConvictionNotSaved,
)
from gooseberrypost.gateway.quarantine import CrashRecord, wall_ms
from gooseberrypost.gateway.tasks import keep_running
from gooseberrypost.identity import content_digest
from gooseberrypost.policy.quarantine import SUSPECT_RETENTION_MS

if TYPE_CHECKING:
    from gooseberrypost.gateway.context import GatewayContext
    from gooseberrypost.gateway.convictions import ConvictionStore

SAVE_INTERVAL_S: Final = 0.2
"""Time in which further reports and clearances share one write."""
SAVE_BATCH: Final = 32
"""Records in one transaction."""


class CrashKeeper(Service):
    """Saves the reports of this gateway and counts those of the others."""

    def __init__(self, ctx: GatewayContext, store: ConvictionStore) -> None:
        super().__init__()
        self._ctx = ctx
        self._store = store
        self._saved: dict[str, CrashRecord] = {}
        """Own records as last written, by key."""
        self._counted: dict[str, CrashRecord] = {}
        """Records as last seen in the store, by key."""
        self._era = 0
        """Era of the store in which they were seen."""

    async def on_started(self) -> None:
        """Keep the records until the service stops."""
        metrics = self._ctx.metrics
        self.add_future(keep_running(self, self._save_reports, metrics))
        self.add_future(keep_running(self, self._follow_store, metrics))
        self.add_future(keep_running(self, self._remove_expired, metrics))

    async def _save_reports(self) -> None:
        quarantine = self._ctx.quarantine
        while not self.should_stop:
            await quarantine.reports_changed.wait()
            quarantine.reports_changed.clear()
            wait_s = SAVE_INTERVAL_S
            try:
                await self._save(quarantine.unsaved_reports)
            except ConvictionNotSaved as failure:
                logging.warning(
                    "event=crash_reports_not_saved servers=%d detail=%r",
                    len(quarantine.unsaved_reports),
                    failure.detail,
                )
                wait_s = SAVE_RETRY_S
                quarantine.reports_changed.set()
            await self.sleep(wait_s)

    async def _save(self, unsaved: set[str]) -> None:
        while unsaved:
            servers = sorted(unsaved)[:SAVE_BATCH]
            unsaved.difference_update(servers)
            records = self._changed_records(servers)
            if not records:
                continue
            try:
                await self._store.save_crashes(records)
            except ConvictionNotSaved:
                unsaved.update(servers)
                raise
            self._saved |= records

    def _changed_records(self, servers: list[str]) -> dict[str, CrashRecord]:
        """Return the own records that the store does not have, by key."""
        quarantine, records = self._ctx.quarantine, {}
        for server in servers:
            report = quarantine.own_report(server)
            if report is None:
                continue
            key = self._key(server)
            saved = self._saved.get(key)
            if saved is None or saved.report != report:
                at_ms = wall_ms() if saved is None else saved.at_ms
                records[key] = CrashRecord(report, at_ms)
        return records

    def _key(self, server: str) -> str:
        name = self._ctx.settings.name
        return content_digest(f"crash {name}", server.encode()).hex()

    async def _follow_store(self) -> None:
        directory = self._ctx.directory
        while not self.should_stop:
            self._count_stored()
            await directory.changed()

    def _count_stored(self) -> None:
        directory = self._ctx.directory
        if directory.era != self._era:
            if self._era:
                self._ctx.spawn(self._save_again())
            self._era = directory.era
        stored = dict(directory.crashes)
        news = [
            record.report
            for key, record in stored.items()
            if self._counted.get(key) != record and key not in self._saved
        ]
        self._counted = stored
        if news:
            self._ctx.quarantine.apply_reports(news)

    async def _save_again(self) -> None:
        """Write the own records again that a restored store has lost."""
        await asyncio.sleep(self._ctx.rng.uniform(0, REWRITE_SPREAD_S))
        stored = self._ctx.directory.crashes
        quarantine = self._ctx.quarantine
        for key, record in list(self._saved.items()):
            if stored.get(key) != record:
                del self._saved[key]
                quarantine.unsaved_reports.add(record.report.server)
        quarantine.reports_changed.set()

    async def _remove_expired(self) -> None:
        """Remove what is too old to count, from the store at one gateway."""
        while not self.should_stop:
            await self.sleep(EXPIRY_INTERVAL_S)
            directory, now_ms = self._ctx.directory, wall_ms()
            self._saved = {
                key: record
                for key, record in self._saved.items()
                if not _is_expired(record, now_ms)
            }
            if self._ctx.settings.name != min(directory.gateways, default=""):
                continue
            expired = [
                key
                for key, record in directory.crashes.items()
                if _is_expired(record, now_ms)
            ]
            try:
                await self._store.remove_crashes(expired[:SAVE_BATCH])
            except ConvictionNotSaved as failure:
                logging.info(
                    "event=crash_reports_not_removed detail=%r", failure.detail
                )


def _is_expired(record: CrashRecord, now_ms: int) -> bool:
    """Whether a record is too old, or further ahead than a clock may be."""
    return abs(now_ms - record.at_ms) >= SUSPECT_RETENTION_MS
