"""Lease that gives one agent process the authority to order its server."""

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
from gooseberrypost.strictjson import parse_json

if TYPE_CHECKING:
    from collections.abc import Callable

    from gooseberrypost.identity import ProcessId
    from gooseberrypost.settings.agent import AgentSettings

RETRY_INTERVAL_MS: Final = 1_000
"""Longest interval between attempts to renew or acquire after a failure."""
RENEWAL_JITTER: Final = 0.2
"""Largest fraction by which an interval is shortened at random."""
SAFETY_MARGIN: Final = 0.1
"""Fraction of the lease that allows for orders in flight and clock drift."""


def boot_time_ms() -> int:
    """Monotonic time in ms that also counts while the VM is suspended."""
    return int(time.clock_gettime(time.CLOCK_BOOTTIME) * 1_000)


class AgentLease(Service):
    """Holds the key ``agents/<server>`` under a lease and counts its epochs.

    Each lease has a higher epoch than the leases before it. The epoch is also
    stored under ``agents/<server>/epoch``, a key that outlives leases. The
    key of another process is not overwritten before that process's lease has
    expired, because the process may give orders until then.
    """

    def __init__(
        self,
        cfg: AgentSettings,
        process_id: ProcessId,
        store: KeyValueStore | None,
        rng: random.Random,
        clock_ms: Callable[[], int] = boot_time_ms,
    ) -> None:
        super().__init__()
        self._cfg = cfg
        self._process_id = process_id
        self._store = store
        self._rng = rng
        self._clock_ms = clock_ms
        self._key = f"agents/{cfg.name}"
        self._lease_id = 0
        self._valid_until_ms = 0
        self.epoch = 0
        """Epoch of the most recently acquired lease; 0 before the first."""
        self.fencing = 0
        """Highest fencing token of any order to this server."""
        self._epoch_key_version = 0

    def remaining_ms(self) -> int:
        """Time left in which orders may be given; 0 without a valid lease."""
        return max(0, self._valid_until_ms - self._clock_ms())

    async def refresh(self) -> Result[None, Failure]:
        """Renew the lease, or acquire one if none is held."""
        if self._store is None:
            return Err(LeaseLost("no key-value service is configured"))
        if not self._lease_id:
            return await self._acquire(self._store)
        requested_ms = self._clock_ms()
        renewed = await self._store.keep_alive(self._lease_id)
        if isinstance(renewed, Ok):
            self._extend_validity(requested_ms)
        elif isinstance(renewed.err_value, LeaseLost):
            self._mark_lost()
        return renewed

    async def record_fencing(self, fencing: int) -> None:
        """Store a fencing token for later agent processes.

        Without it a new process would accept orders from an older
        configuration version. A failed write is not fatal: a later order
        stores its token.
        """
        if self._store is None or fencing <= self.fencing:
            return
        self.fencing = fencing
        written = await self._write(
            self._store,
            f"{self._key}/epoch",
            self._document(self.epoch),
            self._epoch_key_version,
        )
        if isinstance(written, Ok):
            self._epoch_key_version = written.ok_value

    async def on_stop(self) -> None:
        """Revoke the lease, so that a successor can acquire it at once."""
        if self._store is not None and self._lease_id:
            lease, self._lease_id = self._lease_id, 0
            self._valid_until_ms = 0
            await self._store.revoke_lease(lease)

    async def _acquire(self, store: KeyValueStore) -> Result[None, Failure]:
        current = await store.get(self._key)
        if isinstance(current, Err):
            return current
        if current.ok_value.version:
            return Err(Conflict(f"{self._key} is held by another process"))
        epoch = await self._next_epoch(store)
        if isinstance(epoch, Err):
            return epoch
        requested_ms = self._clock_ms()
        lease = await store.grant_lease(self._cfg.lease_ms)
        if isinstance(lease, Err):
            return lease
        written = await self._write(
            store,
            self._key,
            self._document(epoch.ok_value),
            0,
            lease.ok_value,
        )
        if isinstance(written, Err):
            await store.revoke_lease(lease.ok_value)
            return written
        self._lease_id = lease.ok_value
        self.epoch = epoch.ok_value
        self._extend_validity(requested_ms)
        log_decision("lease", key=self._key, epoch=self.epoch)
        return Ok(None)

    async def _next_epoch(self, store: KeyValueStore) -> Result[int, Failure]:
        key = f"{self._key}/epoch"
        current = await store.get(key)
        if isinstance(current, Err):
            return current
        found: Versioned = current.ok_value
        # A store that was restored from an older copy may have lost the epoch
        # of the last lease.
        epoch = max(_int_field(found.value, "epoch"), self.epoch) + 1
        self.fencing = max(self.fencing, _int_field(found.value, "fencing"))
        written = await self._write(
            store, key, self._document(epoch), found.version
        )
        self._epoch_key_version = written.unwrap_or(0)
        return written.map(lambda _: epoch)

    async def _write(
        self,
        store: KeyValueStore,
        key: str,
        value: str,
        expect_version: int,
        lease: int = 0,
    ) -> Result[int, Failure]:
        """Compare and swap; read the key again if the reply was lost."""
        written = await store.put(key, value, expect_version, lease)
        if isinstance(written, Ok) or not isinstance(
            written.err_value, KeyValueUnknown
        ):
            return written
        found = await store.get(key)
        if isinstance(found, Ok) and found.ok_value.value == value:
            return Ok(found.ok_value.version)
        return written

    def _document(self, epoch: int) -> str:
        document: dict[str, Any] = {
            "address": self._cfg.internal_address,
            "epoch": epoch,
            "fencing": self.fencing,
            "incarnation": self._process_id.incarnation,
        }
        return json.dumps(document, sort_keys=True)

    def _extend_validity(self, requested_ms: int) -> None:
        # The validity counts from before the request was sent. The service
        # counts from the receipt of the request, so the lease cannot expire
        # there before it does here.
        usable_ms = int(self._cfg.lease_ms * (1 - SAFETY_MARGIN))
        self._valid_until_ms = requested_ms + usable_ms

    def _mark_lost(self) -> None:
        log_decision("lease_lost", key=self._key, epoch=self.epoch)
        self._lease_id = 0
        self._valid_until_ms = 0

    @Service.task
    async def _renew_periodically(self) -> None:
        while self._store is not None and not self.should_stop:
            refreshed = await self.refresh()
            interval_ms = (
                self._cfg.lease_renewal_ms
                if isinstance(refreshed, Ok)
                else min(RETRY_INTERVAL_MS, self._cfg.lease_renewal_ms)
            )
            interval_ms *= 1 - RENEWAL_JITTER * self._rng.random()
            await asyncio.sleep(interval_ms / 1_000)


def _int_field(value: str, name: str) -> int:
    try:
        return int(parse_json(value)[name])
    except (ValueError, KeyError, TypeError):
        return 0
