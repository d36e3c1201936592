"""Lease of an owning entry: one for all its shards, renewed in time."""

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
    """Keeps ``claims/owners/<name>/<incarnation>`` alive."""

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
        self._lease = 0
        self._is_affirmed = False
        """The lease key and every head were written under this lease."""

    async def renew(
        self, reaffirm: Callable[[], Awaitable[Result[None, Failure]]]
    ) -> Result[None, Failure]:
        """Renew, or get a new lease when the old one lapsed.

        A new lease counts only after ``reaffirm`` has written every head
        again: a successor may have seen the lease lapse and be about to
        write the head.
        """
        sent_ms = self._clock_ms()
        alive = await self._keep_alive()
        if isinstance(alive, Err):
            return alive
        if not self._is_affirmed:
            affirmed = await self._affirm(reaffirm)
            if isinstance(affirmed, Err):
                return affirmed
            self._is_affirmed = True
        self.held.renewed(sent_ms)
        return Ok(None)

    async def revoke(self) -> None:
        """End the lease, so that successors need not wait for its lapse."""
        self.held.lost()
        if self._lease:
            await self._store.revoke_lease(self._lease)
            self._lease = 0
            self._is_affirmed = False

    async def _keep_alive(self) -> Result[None, Failure]:
        """Renew the lease, or get a new one when there is none.

        A lease whose heads could not be written is kept for the next try. A
        second lease on the same key could delete it when the first lapses.
        """
        if self._lease:
            renewed = await self._store.keep_alive(self._lease)
            if not isinstance(renewed.err(), LeaseLost):
                return renewed
            self._lease = 0
            self._is_affirmed = False
            self.held.lost()
        granted = await self._store.grant_lease(self.held.ttl_ms)
        if isinstance(granted, Err):
            return granted
        self._lease = granted.ok_value
        return Ok(None)

    async def _affirm(
        self, reaffirm: Callable[[], Awaitable[Result[None, Failure]]]
    ) -> Result[None, Failure]:
        bound = await self._bind(self._lease)
        if isinstance(bound, Err):
            return bound
        return await reaffirm()

    async def _bind(self, lease: int) -> Result[None, Failure]:
        """Write the key under the new lease over what a former try left."""
        found = await self._store.get(self._key)
        if isinstance(found, Err):
            return found
        text = str(lease)
        written = await self._store.put(
            self._key, text, found.ok_value.version, lease
        )
        if isinstance(written, Ok):
            return Ok(None)
        if not isinstance(written.err_value, KeyValueUnknown):
            return written
        read = await self._store.get(self._key)
        if isinstance(read, Ok) and read.ok_value.value == text:
            return Ok(None)
        return written
