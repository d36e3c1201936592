"""In-memory key-value store with switches for its faults."""

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


class Shared:
    """What all clients of the service see."""

    def __init__(self):
        self.values: dict[str, Versioned] = {}
        self.bound: dict[str, int] = {}
        self.leases: dict[int, tuple[float, int]] = {}
        self.numbers = itertools.count(1)
        self.versions = itertools.count(1)
        self.down = False
        self.writes = 0

    def expire(self):
        now = asyncio.get_running_loop().time()
        for lease, (until, _) in list(self.leases.items()):
            if until <= now:
                self.end(lease)

    def end(self, lease):
        self.leases.pop(lease, None)
        for key, bound in list(self.bound.items()):
            if bound == lease:
                del self.bound[key], self.values[key]


class FakeStore(KeyValueStore):
    """One process's client; ``cut_off`` affects this client only."""

    def __init__(self, shared):
        self.shared = shared
        self.cut_off = False
        self.slow_s = 0.0
        self.lose_answers = 0
        """Next writes whose answer is lost after the write."""

    async def _reach(self):
        await asyncio.sleep(self.slow_s)
        self.shared.expire()
        return not (self.shared.down or self.cut_off)

    async def get(self, key):
        if not await self._reach():
            return Err(KeyValueUnavailable(key))
        return Ok(self.shared.values.get(key, Versioned("", 0)))

    async def put(self, key, value, expect_version, lease=0):
        if not await self._reach():
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
            self.shared.bound[key] = lease
        if self.lose_answers:
            self.lose_answers -= 1
            return Err(KeyValueUnknown(key))
        return Ok(written.version)

    async def delete(self, key, expect_version):
        if not await self._reach():
            return Err(KeyValueUnavailable(key))
        found = self.shared.values.get(key, Versioned("", 0))
        if found.version != expect_version:
            return Err(Conflict(key))
        self.shared.values.pop(key, None)
        return Ok(None)

    async def grant_lease(self, ttl_ms):
        if not await self._reach():
            return Err(KeyValueUnavailable("lease"))
        lease = next(self.shared.numbers)
        now = asyncio.get_running_loop().time()
        self.shared.leases[lease] = (now + ttl_ms / 1_000, ttl_ms)
        return Ok(lease)

    async def keep_alive(self, lease):
        if not await self._reach():
            return Err(KeyValueUnavailable("lease"))
        if lease not in self.shared.leases:
            return Err(LeaseLost("lease"))
        _, ttl_ms = self.shared.leases[lease]
        now = asyncio.get_running_loop().time()
        self.shared.leases[lease] = (now + ttl_ms / 1_000, ttl_ms)
        return Ok(None)

    async def revoke_lease(self, lease):
        if not await self._reach():
            return Err(KeyValueUnavailable("lease"))
        self.shared.end(lease)
        return Ok(None)

    async def watch(self, key, after_version, wait_ms):
        return await self.get(key)

    async def close(self):
        pass
