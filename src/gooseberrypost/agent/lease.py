"""Lease that makes one agent process the authority over its server."""

from __future__ import annotations

import asyncio
import json
import random
import time
from typing import TYPE_CHECKING, Any, Final

from mode import Service
from result import Err, Ok, Result

from gooseberrypost.agent.log import log_decision
from gooseberrypost.errors import Failure
from gooseberrypost.stores.keyvalue import (
    Conflict,
    KeyValueStore,
    KeyValueUnknown,
    LeaseLost,
    Versioned,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from gooseberrypost.identity import ProcessId
    from gooseberrypost.settings.agent import AgentSettings

RETRY_MS: Final = 1_000
JITTER: Final = 0.2
"""Share by which a renewal interval is shortened at random."""
MARGIN: Final = 0.1
"""Share of the lease kept back for an order on its way and clock drift."""


def boot_time_ms() -> int:
    """Monotonic milliseconds that include time in which the VM slept."""
    return int(time.clock_gettime(time.CLOCK_BOOTTIME) * 1_000)


class AgentLease(Service):
    """Holds ``agents/<server>`` and counts its epochs.

    The epoch is kept under ``agents/<server>/epoch``, which outlives leases.
    A key that another process holds is left alone until its lease has lapsed,
    because that process orders until then.
    """

    def __init__(
        self,
        cfg: AgentSettings,
        me: ProcessId,
        store: KeyValueStore | None,
        rng: random.Random,
        clock_ms: Callable[[], int] = boot_time_ms,
    ) -> None:
        super().__init__()
        self._cfg = cfg
        self._me = me
        self._store = store
        self._rng = rng
        self._clock_ms = clock_ms
        self._key = f"agents/{cfg.name}"
        self._lease = 0
        self._valid_until_ms = 0
        self.epoch = 0
        """Epoch of the lease that was last held."""
        self.fencing = 0
        """Highest fencing token that this server was ordered with."""
        self._epoch_version = 0

    def remaining_ms(self) -> int:
        """Time for which orders may be given; 0 without a valid lease."""
        return max(0, self._valid_until_ms - self._clock_ms())

    async def refresh(self) -> Result[None, Failure]:
        """Renew the lease, or acquire it when it is not held."""
        if self._store is None:
            return Err(LeaseLost("no key-value service is configured"))
        if not self._lease:
            return await self._acquire(self._store)
        asked_ms = self._clock_ms()
        renewed = await self._store.keep_alive(self._lease)
        if isinstance(renewed, Ok):
            self._extend(asked_ms)
        elif isinstance(renewed.err_value, LeaseLost):
            self._drop()
        return renewed

    async def record_fencing(self, fencing: int) -> None:
        """Keep a fencing token for the agents that follow this one.

        Without it a new agent would obey orders of an old plan. A failure is
        not fatal: the token is kept with the next order.
        """
        if self._store is None or fencing <= self.fencing:
            return
        self.fencing = fencing
        written = await self._write(
            self._store,
            f"{self._key}/epoch",
            self._holder(self.epoch),
            self._epoch_version,
        )
        if isinstance(written, Ok):
            self._epoch_version = written.ok_value

    async def on_stop(self) -> None:
        """Give the lease up, so that a successor need not wait."""
        if self._store is not None and self._lease:
            lease, self._lease = self._lease, 0
            self._valid_until_ms = 0
            await self._store.revoke_lease(lease)

    async def _acquire(self, store: KeyValueStore) -> Result[None, Failure]:
        held = await store.get(self._key)
        if isinstance(held, Err):
            return held
        if held.ok_value.version:
            return Err(Conflict(f"{self._key} is held by another process"))
        epoch = await self._next_epoch(store)
        if isinstance(epoch, Err):
            return epoch
        asked_ms = self._clock_ms()
        lease = await store.grant_lease(self._cfg.lease_ms)
        if isinstance(lease, Err):
            return lease
        written = await self._write(
            store,
            self._key,
            self._holder(epoch.ok_value),
            0,
            lease.ok_value,
        )
        if isinstance(written, Err):
            await store.revoke_lease(lease.ok_value)
            return written
        self._lease = lease.ok_value
        self.epoch = epoch.ok_value
        self._extend(asked_ms)
        log_decision("lease", key=self._key, epoch=self.epoch)
        return Ok(None)

    async def _next_epoch(self, store: KeyValueStore) -> Result[int, Failure]:
        key = f"{self._key}/epoch"
        current = await store.get(key)
        if isinstance(current, Err):
            return current
        found: Versioned = current.ok_value
        epoch = _number_in(found.value, "epoch") + 1
        self.fencing = max(self.fencing, _number_in(found.value, "fencing"))
        written = await self._write(
            store, key, self._holder(epoch), found.version
        )
        self._epoch_version = written.unwrap_or(0)
        return written.map(lambda _: epoch)

    async def _write(
        self,
        store: KeyValueStore,
        key: str,
        value: str,
        expect_version: int,
        lease: int = 0,
    ) -> Result[int, Failure]:
        """Compare and swap; a lost answer is settled by reading back."""
        written = await store.put(key, value, expect_version, lease)
        if isinstance(written, Ok) or not isinstance(
            written.err_value, KeyValueUnknown
        ):
            return written
        found = await store.get(key)
        if isinstance(found, Ok) and found.ok_value.value == value:
            return Ok(found.ok_value.version)
        return written

    def _holder(self, epoch: int) -> str:
        document: dict[str, Any] = {
            "address": self._cfg.internal_address,
            "epoch": epoch,
            "fencing": self.fencing,
            "incarnation": self._me.incarnation,
        }
        return json.dumps(document, sort_keys=True)

    def _extend(self, asked_ms: int) -> None:
        # The service counts from a moment after the question was sent.
        usable_ms = int(self._cfg.lease_ms * (1 - MARGIN))
        self._valid_until_ms = asked_ms + usable_ms

    def _drop(self) -> None:
        log_decision("lease_lost", key=self._key, epoch=self.epoch)
        self._lease = 0
        self._valid_until_ms = 0

    @Service.task
    async def _keep(self) -> None:
        while self._store is not None and not self.should_stop:
            refreshed = await self.refresh()
            interval_ms = (
                self._cfg.lease_renewal_ms
                if isinstance(refreshed, Ok)
                else min(RETRY_MS, self._cfg.lease_renewal_ms)
            )
            interval_ms *= 1 - JITTER * self._rng.random()
            await asyncio.sleep(interval_ms / 1_000)


def _number_in(value: str, name: str) -> int:
    try:
        return int(json.loads(value)[name])
    except (ValueError, KeyError, TypeError):
        return 0
