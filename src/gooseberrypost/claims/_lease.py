"""Lease of a shard owner in the key-value service.

An entry has one lease, which covers all shards that it owns.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from gooseberrypost.state.heads import lease_key
from gooseberrypost.state.leases import HeldLease
from gooseberrypost.stores.keyvalue import KeyValueUnknown, LeaseLost

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from gooseberrypost.errors import Failure
    from gooseberrypost.stores.keyvalue import KeyValueStore


class OwnerLease:
    """Renews the lease behind ``claims/owners/<name>/<incarnation>``."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        ttl_ms: int,
        store: KeyValueStore,
        clock_ms: Callable[[], int],
    ) -> None:
        self.held = HeldLease(ttl_ms)
        self._key = lease_key(name, incarnation)
        self._store = store
        self._clock_ms = clock_ms
        self._lease_id = 0
        self._has_written_keys = False
        """The lease key and every shard head were written under this lease."""

    async def renew(
        self, rewrite_heads: Callable[[], Awaitable[Result[None, Failure]]]
    ) -> Result[None, Failure]:
        """Renew the lease, or acquire a new one if it has lapsed.

        A new lease is relied on only after ``rewrite_heads`` has written the
        head of every owned shard again: a successor may have detected that
        the old lease has lapsed and be about to write a head itself.
        """
        sent_ms = self._clock_ms()
        alive = await self._keep_alive()
        if isinstance(alive, Err):
            return alive
        if not self._has_written_keys:
            written = await self._write_keys(rewrite_heads)
            if isinstance(written, Err):
                return written
            self._has_written_keys = True
        self.held.renewed(sent_ms)
        return Ok(None)

    async def revoke(self) -> None:
        """Revoke the lease, so that successors need not wait for its lapse."""
        self.held.lost()
        if self._lease_id:
            await self._store.revoke_lease(self._lease_id)
            self._lease_id = 0
            self._has_written_keys = False

    async def _keep_alive(self) -> Result[None, Failure]:
        """Renew the lease, or acquire a new one if there is none.

        A lease under which the heads could not be written is kept for the
        next attempt. If a second lease were acquired, the first one could
        delete the lease key, which both use, when it lapses.
        """
        if self._lease_id:
            renewed = await self._store.keep_alive(self._lease_id)
            if not isinstance(renewed.err(), LeaseLost):
                return renewed
            self._lease_id = 0
            self._has_written_keys = False
            self.held.lost()
        granted = await self._store.grant_lease(self.held.ttl_ms)
        if isinstance(granted, Err):
            return granted
        self._lease_id = granted.ok_value
        return Ok(None)

    async def _write_keys(
        self, rewrite_heads: Callable[[], Awaitable[Result[None, Failure]]]
    ) -> Result[None, Failure]:
        bound = await self._write_lease_key(self._lease_id)
        if isinstance(bound, Err):
            return bound
        return await rewrite_heads()

    async def _write_lease_key(self, lease_id: int) -> Result[None, Failure]:
        """Bind the lease key to a lease.

        An earlier attempt may have left a value, which is overwritten.
        """
        found = await self._store.get(self._key)
        if isinstance(found, Err):
            return found
        text = str(lease_id)
        written = await self._store.put(
            self._key, text, found.ok_value.version, lease_id
        )
        if isinstance(written, Ok):
            return Ok(None)
        if not isinstance(written.err_value, KeyValueUnknown):
            return written
        read = await self._store.get(self._key)
        if isinstance(read, Ok) and read.ok_value.value == text:
            return Ok(None)
        return written
