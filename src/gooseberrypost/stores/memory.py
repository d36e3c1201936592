"""In-memory key-value store with fault injection, for embedding and tests."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING, Final, NamedTuple, TypeVar

from result import Err, Ok, Result

from gooseberrypost.stores.keyvalue import (
    Conflict,
    KeyValueStore,
    KeyValueUnavailable,
    KeyValueUnknown,
    LeaseLost,
    ValueTooLarge,
    Versioned,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from gooseberrypost.errors import Failure

MAX_VALUE_BYTES: Final = 1_000_000
NO_LEASE: Final = 0
LEASE_CHECK_INTERVAL_MS: Final = 100

T = TypeVar("T")


class _Item(NamedTuple):
    value: str
    version: int
    lease: int
    deleted: bool = False
    """Tombstone of a deleted key; ``version`` is that of the deletion."""


class _Lease(NamedTuple):
    ttl_ms: int
    expires_at_ms: int


class InMemoryKeyValueStore(KeyValueStore):
    """Implementation of the interface with a dictionary.

    ``clock`` returns milliseconds and determines when leases expire. Versions
    of all keys come from one counter, so that a key that is deleted and
    written again never gets a version a second time.
    """

    def __init__(self, clock: Callable[[], int]) -> None:
        self.down = False
        """Whether every call, including pending watches, fails."""
        self.slow_ms = 0
        """Delay in milliseconds before a call takes effect."""
        self.lose_answers = 0
        """Number of next writes that take effect but lose their response."""
        self.calls: Counter[str] = Counter()
        """Number of calls by name; a pending watch counts as one call."""
        self._clock = clock
        self._items: dict[str, _Item] = {}
        self._leases: dict[int, _Lease] = {}
        self._counter = 0
        self._changed = asyncio.Event()

    @property
    def total_calls(self) -> int:
        """Number of calls of all names."""
        return self.calls.total()

    async def get(self, key: str) -> Result[Versioned, Failure]:
        """Read a key."""
        if failure := await self._begin_call("get"):
            return Err(failure)
        return Ok(self._read(key))

    async def put(
        self, key: str, value: str, expect_version: int, lease: int = 0
    ) -> Result[int, Failure]:
        """Write a key by compare-and-swap."""
        if failure := await self._begin_call("put"):
            return Err(failure)
        size = len(value.encode())
        if size > MAX_VALUE_BYTES:
            return Err(ValueTooLarge(f"{size} bytes exceed {MAX_VALUE_BYTES}"))
        if lease != NO_LEASE and lease not in self._leases:
            return Err(LeaseLost(f"lease {lease}"))
        if failure := self._check_version(key, expect_version):
            return Err(failure)
        self._counter += 1
        self._items[key] = _Item(value, self._counter, lease)
        self.wake_watches()
        return self._reply(self._counter)

    async def delete(
        self, key: str, expect_version: int
    ) -> Result[None, Failure]:
        """Delete a key by compare-and-swap."""
        if failure := await self._begin_call("delete"):
            return Err(failure)
        if failure := self._check_version(key, expect_version):
            return Err(failure)
        if key in self._items:
            self._remove(key)
        return self._reply(None)

    async def grant_lease(self, ttl_ms: int) -> Result[int, Failure]:
        """Create a lease."""
        if failure := await self._begin_call("lease/grant"):
            return Err(failure)
        self._counter += 1
        self._leases[self._counter] = _Lease(ttl_ms, self._clock() + ttl_ms)
        return self._reply(self._counter)

    async def keep_alive(self, lease: int) -> Result[None, Failure]:
        """Renew a lease."""
        if failure := await self._begin_call("lease/keepalive"):
            return Err(failure)
        current = self._leases.get(lease)
        if current is None:
            return Err(LeaseLost(f"lease {lease}"))
        expires_at_ms = self._clock() + current.ttl_ms
        self._leases[lease] = _Lease(current.ttl_ms, expires_at_ms)
        return self._reply(None)

    async def revoke_lease(self, lease: int) -> Result[None, Failure]:
        """Revoke a lease and delete the keys bound to it."""
        if failure := await self._begin_call("lease/revoke"):
            return Err(failure)
        self._end_lease(lease)
        return self._reply(None)

    async def watch(
        self, key: str, after_version: int, wait_ms: int
    ) -> Result[Versioned, Failure]:
        """Wait up to ``wait_ms`` for a change of a key."""
        if failure := await self._begin_call("watch"):
            return Err(failure)
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + wait_ms / 1_000
        while True:
            if self.down:
                return Err(KeyValueUnavailable("simulated outage"))
            self._expire_leases()
            remaining_s = deadline_s - loop.time()
            if self._has_newer(key, after_version) or remaining_s <= 0:
                return Ok(self._read(key))
            await self._wait(remaining_s)

    async def close(self) -> None:
        """Do nothing; the store has no connections."""

    def wake_watches(self) -> None:
        """Make pending watches check again for changes and injected faults."""
        self._changed.set()
        self._changed = asyncio.Event()

    def set_down(self, down: bool) -> None:
        """Start or end a simulated outage."""
        self.down = down
        self.wake_watches()

    async def _wait(self, remaining_s: float) -> None:
        # The clock does not wake watches when a lease expires, so they check
        # for expired leases periodically.
        if self._leases:
            remaining_s = min(remaining_s, LEASE_CHECK_INTERVAL_MS / 1_000)
        try:
            async with asyncio.timeout(remaining_s):
                await self._changed.wait()
        except TimeoutError:
            return

    async def _begin_call(self, name: str) -> Failure | None:
        self.calls[name] += 1
        if self.slow_ms:
            await asyncio.sleep(self.slow_ms / 1_000)
        if self.down:
            return KeyValueUnavailable("simulated outage")
        self._expire_leases()
        return None

    def _reply(self, value: T) -> Result[T, Failure]:
        if self.lose_answers:
            self.lose_answers -= 1
            return Err(KeyValueUnknown("the response was lost"))
        return Ok(value)

    def _read(self, key: str) -> Versioned:
        item = self._items.get(key)
        if item is None or item.deleted:
            return Versioned("", 0)
        return Versioned(item.value, item.version)

    def _has_newer(self, key: str, after_version: int) -> bool:
        item = self._items.get(key)
        if item is None or (item.deleted and after_version == 0):
            return False
        return item.version > after_version

    def _check_version(self, key: str, expect_version: int) -> Conflict | None:
        version = self._read(key).version
        if version == expect_version:
            return None
        return Conflict(f"{key} has version {version}, not {expect_version}")

    def _remove(self, key: str) -> None:
        self._counter += 1
        self._items[key] = _Item("", self._counter, NO_LEASE, deleted=True)
        self.wake_watches()

    def _end_lease(self, lease: int) -> None:
        if self._leases.pop(lease, None) is None:
            return
        for key, item in list(self._items.items()):
            if item.lease == lease:
                self._remove(key)

    def _expire_leases(self) -> None:
        now_ms = self._clock()
        for number, lease in list(self._leases.items()):
            if lease.expires_at_ms <= now_ms:
                self._end_lease(number)
