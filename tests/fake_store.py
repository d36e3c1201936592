"""In-memory key-value store with fault injection."""

from __future__ import annotations

import asyncio
import itertools

from result import Err, Ok

from gooseberrypost.stores.keyvalue import (
    Conflict,
    KeyValueStore,
    KeyValueUnavailable,
    KeyValueUnknown,
    LeaseLost,
    Versioned,
)


class SharedState:
    """State of the key-value service, shared by all its clients."""

    def __init__(self):
        self.values: dict[str, Versioned] = {}
        self.key_leases: dict[str, int] = {}
        self.leases: dict[int, tuple[float, int]] = {}
        self.lease_ids = itertools.count(1)
        self.versions = itertools.count(1)
        self.down = False
        self.writes = 0

    def expire_leases(self):
        now = asyncio.get_running_loop().time()
        for lease, (expires_at, _) in list(self.leases.items()):
            if expires_at <= now:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key, key_lease in list(self.key_leases.items()):
            if key_lease == lease:
                del self.key_leases[key], self.values[key]


class FakeStore(KeyValueStore):
    """Client of one process.

    ``is_partitioned`` cuts only this client off from the service.
    """

    def __init__(self, shared):
        self.shared = shared
        self.is_partitioned = False
        self.delay_s = 0.0
        self.lose_answers = 0
        """Number of next writes that take effect and whose answer is lost."""

    async def _is_reachable(self):
        await asyncio.sleep(self.delay_s)
        self.shared.expire_leases()
        return not (self.shared.down or self.is_partitioned)

    async def get(self, key):
        if not await self._is_reachable():
            return Err(KeyValueUnavailable(key))
        return Ok(self.shared.values.get(key, Versioned("", 0)))

    async def put(self, key, value, expect_version, lease=0):
        if not await self._is_reachable():
            return Err(KeyValueUnavailable(key))
        found = self.shared.values.get(key, Versioned("", 0))
        if found.version != expect_version:
            return Err(Conflict(key))
        if lease and lease not in self.shared.leases:
            return Err(LeaseLost(key))
        self.shared.writes += 1
        written = Versioned(value, next(self.shared.versions))
        self.shared.values[key] = written
        if lease:
            self.shared.key_leases[key] = lease
        if self.lose_answers:
            self.lose_answers -= 1
            return Err(KeyValueUnknown(key))
        return Ok(written.version)

    async def delete(self, key, expect_version):
        if not await self._is_reachable():
            return Err(KeyValueUnavailable(key))
        found = self.shared.values.get(key, Versioned("", 0))
        if found.version != expect_version:
            return Err(Conflict(key))
        self.shared.values.pop(key, None)
        return Ok(None)

    async def grant_lease(self, ttl_ms):
        if not await self._is_reachable():
            return Err(KeyValueUnavailable("lease"))
        lease = next(self.shared.lease_ids)
        now = asyncio.get_running_loop().time()
        self.shared.leases[lease] = (now + ttl_ms / 1_000, ttl_ms)
        return Ok(lease)

    async def keep_alive(self, lease):
        if not await self._is_reachable():
            return Err(KeyValueUnavailable("lease"))
        if lease not in self.shared.leases:
            return Err(LeaseLost("lease"))
        _, ttl_ms = self.shared.leases[lease]
        now = asyncio.get_running_loop().time()
        self.shared.leases[lease] = (now + ttl_ms / 1_000, ttl_ms)
        return Ok(None)

    async def revoke_lease(self, lease):
        if not await self._is_reachable():
            return Err(KeyValueUnavailable("lease"))
        self.shared.end_lease(lease)
        return Ok(None)

    async def watch(self, key, after_version, wait_ms):
        return await self.get(key)

    async def close(self):
        pass
