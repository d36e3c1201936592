"""Convictions in the store, which outlast the gateways.

A gateway writes what its quarantine concludes and adopts what others wrote.
"""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Final

from absl import logging
from mode import Service

from gooseberrypost.errors import Failure
from gooseberrypost.gateway.quarantine import wall_ms
from gooseberrypost.gateway.tasks import keep_running
from gooseberrypost.policy.quarantine import CONVICTION_RETENTION_MS

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from gooseberrypost.gateway.context import GatewayContext
    from gooseberrypost.gateway.quarantine import CrashRecord

SAVE_RETRY_S: Final = 0.5
"""Time before a change that the store did not take is written again."""
EXPIRY_INTERVAL_S: Final = 5.0
REWRITE_SPREAD_S: Final = 0.5
"""Time over which gateways spread what they write to a restored store."""


class ConvictionNotSaved(Failure):
    """The store did not take a change to convictions or crash reports."""

    code = "conviction_not_saved"


class ConvictionStore(ABC):
    """Convictions and crash reports that outlast the gateways."""

    @abstractmethod
    async def save(self, key: str, at_ms: int) -> None:
        """Write a conviction; raises ``ConvictionNotSaved``.

        A negative time withdraws it.
        """

    @abstractmethod
    async def remove(self, key: str) -> None:
        """Remove a conviction; raises ``ConvictionNotSaved``."""

    @abstractmethod
    async def save_crashes(self, records: Mapping[str, CrashRecord]) -> None:
        """Write crash reports by key; raises ``ConvictionNotSaved``."""

    @abstractmethod
    async def remove_crashes(self, keys: Collection[str]) -> None:
        """Remove crash reports; raises ``ConvictionNotSaved``."""


class ConvictionKeeper(Service):
    """Writes convictions to the store and adopts those that are there."""

    def __init__(self, ctx: GatewayContext, store: ConvictionStore) -> None:
        super().__init__()
        self._ctx = ctx
        self._store = store
        self._stored: set[str] = set()
        """Convictions in the store, as last seen."""
        self._withdrawn: set[str] = set()
        """Withdrawn ones, as last seen."""
        self._era = 0
        """Era of the store in which they were seen."""

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
        for key, at_ms in list(unsaved.items()):
            if at_ms is None:
                await self._store.remove(key)
            else:
                await self._store.save(key, at_ms)
            if unsaved.get(key) == at_ms:
                del unsaved[key]

    async def _follow_store(self) -> None:
        directory = self._ctx.directory
        while not self.should_stop:
            self._apply_stored()
            await directory.changed()

    def _apply_stored(self) -> None:
        directory, quarantine = self._ctx.directory, self._ctx.quarantine
        if directory.era != self._era:
            self._era = directory.era
            # A conviction that an older copy lacks was lost, not removed, and
            # one that it lists may have been withdrawn since.
            self._stored.clear()
            self._withdrawn = set(self._outdated_withdrawals())
            self._ctx.spawn(self._write_again())
        stored = directory.convictions
        for key in directory.withdrawn.keys() - self._withdrawn:
            quarantine.withdraw(key)
        self._withdrawn = set(directory.withdrawn)
        quarantine.apply_convictions(stored)
        # An operator removes a key. Gateways withdraw a conviction without
        # that, as others may remain from the same evidence.
        for key in self._stored - stored.keys() - directory.withdrawn.keys():
            quarantine.release(key)
        self._stored = set(stored)

    def _outdated_withdrawals(self) -> list[str]:
        """Return stored withdrawals that are older than a conviction here."""
        convicted = self._ctx.quarantine.evidence.convicted
        return [
            key
            for key, withdrawn_ms in self._ctx.directory.withdrawn.items()
            if convicted.get(key, 0) > withdrawn_ms
        ]

    async def _write_again(self) -> None:
        """Write what a restored store has lost, unless another one has."""
        await asyncio.sleep(self._ctx.rng.uniform(0, REWRITE_SPREAD_S))
        directory, quarantine = self._ctx.directory, self._ctx.quarantine
        evidence = quarantine.evidence
        lost = {
            key: at_ms
            for key, at_ms in evidence.convicted.items()
            if key not in directory.convictions
        }
        lost |= {
            key: -released_ms
            for key, released_ms in evidence.released.items()
            if directory.convictions.get(key, released_ms) < released_ms
        }
        if lost:
            logging.info("event=quarantine_rewritten keys=%d", len(lost))
            quarantine.unsaved.update(lost)
            quarantine.changed.set()

    async def _expire(self) -> None:
        while not self.should_stop:
            await self.sleep(EXPIRY_INTERVAL_S)
            self._ctx.quarantine.expire()
            self._remove_expired()

    def _remove_expired(self) -> None:
        """Remove expired keys from the store, at one gateway."""
        directory = self._ctx.directory
        if self._ctx.settings.name != min(directory.gateways, default=""):
            return
        oldest_ms = wall_ms() - CONVICTION_RETENTION_MS
        for key, at_ms in (
            directory.convictions | directory.withdrawn
        ).items():
            if at_ms < oldest_ms:
                self._ctx.quarantine.unsaved[key] = None
                self._ctx.quarantine.changed.set()
