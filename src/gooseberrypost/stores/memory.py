"""Key-value store in memory, for embedding and tests, with fault switches."""

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
LEASE_CHECK_MS: Final = 100

T = TypeVar("T")


class _Item(NamedTuple):
    value: str
    version: int
    lease: int
    absent: bool = False
    """A deleted key; its version is the one of the deletion."""


class _Lease(NamedTuple):
    ttl_ms: int
    lapses_ms: int


class InMemoryKeyValueStore(KeyValueStore):
    """The interface of the service over a dictionary.

    ``clock`` returns milliseconds and decides when leases lapse. A version is
    drawn from one counter, so that a key deleted and written again never
    repeats one.
    """

    def __init__(self, clock: Callable[[], int]) -> None:
        self.down = False
        """Refuse every call, and end the waiting watches."""
        self.slow_ms = 0
        """Delay before a call takes effect."""
        self.lose_answers = 0
        """Number of coming writes whose answer is lost after the effect."""
        self.calls: Counter[str] = Counter()
        """Calls by name; a waiting watch counts as one."""
        self._clock = clock
        self._items: dict[str, _Item] = {}
        self._leases: dict[int, _Lease] = {}
        self._counter = 0
        self._changed = asyncio.Event()

    @property
    def total_calls(self) -> int:
        """Calls of every kind."""
        return self.calls.total()

    async def get(self, key: str) -> Result[Versioned, Failure]:
        """Read a key."""
        if failure := await self._enter("get"):
            return Err(failure)
        return Ok(self._read(key))

    async def put(
        self, key: str, value: str, expect_version: int, lease: int = 0
    ) -> Result[int, Failure]:
        """Write a key by compare-and-swap."""
        if failure := await self._enter("put"):
            return Err(failure)
        size = len(value.encode())
        if size > MAX_VALUE_BYTES:
            return Err(ValueTooLarge(f"{size} bytes exceed {MAX_VALUE_BYTES}"))
        if lease != NO_LEASE and lease not in self._leases:
            return Err(LeaseLost(f"lease {lease}"))
        if failure := self._conflict(key, expect_version):
            return Err(failure)
        self._counter += 1
        self._items[key] = _Item(value, self._counter, lease)
        self.wake()
        return self._answer(self._counter)

    async def delete(
        self, key: str, expect_version: int
    ) -> Result[None, Failure]:
        """Delete a key by compare-and-swap."""
        if failure := await self._enter("delete"):
            return Err(failure)
        if failure := self._conflict(key, expect_version):
            return Err(failure)
        if key in self._items:
            self._remove(key)
        return self._answer(None)

    async def grant_lease(self, ttl_ms: int) -> Result[int, Failure]:
        """Create a lease."""
        if failure := await self._enter("lease/grant"):
            return Err(failure)
        self._counter += 1
        self._leases[self._counter] = _Lease(ttl_ms, self._clock() + ttl_ms)
        return self._answer(self._counter)

    async def keep_alive(self, lease: int) -> Result[None, Failure]:
        """Renew a lease."""
        if failure := await self._enter("lease/keepalive"):
            return Err(failure)
        held = self._leases.get(lease)
        if held is None:
            return Err(LeaseLost(f"lease {lease}"))
        lapses_ms = self._clock() + held.ttl_ms
        self._leases[lease] = _Lease(held.ttl_ms, lapses_ms)
        return self._answer(None)

    async def revoke_lease(self, lease: int) -> Result[None, Failure]:
        """End a lease."""
        if failure := await self._enter("lease/revoke"):
            return Err(failure)
        self._end_lease(lease)
        return self._answer(None)

    async def watch(
        self, key: str, after_version: int, wait_ms: int
    ) -> Result[Versioned, Failure]:
        """Wait for a change of a key."""
        if failure := await self._enter("watch"):
            return Err(failure)
        loop = asyncio.get_running_loop()
        until_s = loop.time() + wait_ms / 1_000
        while True:
            if self.down:
                return Err(KeyValueUnavailable("switched off"))
            self._lapse_leases()
            left_s = until_s - loop.time()
            if self._newer(key, after_version) or left_s <= 0:
                return Ok(self._read(key))
            await self._wait(left_s)

    async def close(self) -> None:
        """Hold nothing, so do nothing."""

    def wake(self) -> None:
        """Let the waiting watches look again, as after a switch changed."""
        self._changed.set()
        self._changed = asyncio.Event()

    def set_down(self, down: bool) -> None:
        """Start or end an outage."""
        self.down = down
        self.wake()

    async def _wait(self, left_s: float) -> None:
        # Leases lapse by the clock, which wakes nobody.
        if self._leases:
            left_s = min(left_s, LEASE_CHECK_MS / 1_000)
        try:
            async with asyncio.timeout(left_s):
                await self._changed.wait()
        except TimeoutError:
            return

    async def _enter(self, name: str) -> Failure | None:
        self.calls[name] += 1
        if self.slow_ms:
            await asyncio.sleep(self.slow_ms / 1_000)
        if self.down:
            return KeyValueUnavailable("switched off")
        self._lapse_leases()
        return None

    def _answer(self, value: T) -> Result[T, Failure]:
        if self.lose_answers:
            self.lose_answers -= 1
            return Err(KeyValueUnknown("the answer was lost"))
        return Ok(value)

    def _read(self, key: str) -> Versioned:
        item = self._items.get(key)
        if item is None or item.absent:
            return Versioned("", 0)
        return Versioned(item.value, item.version)

    def _newer(self, key: str, after_version: int) -> bool:
        item = self._items.get(key)
        if item is None or (item.absent and after_version == 0):
            return False
        return item.version > after_version

    def _conflict(self, key: str, expect_version: int) -> Conflict | None:
        version = self._read(key).version
        if version == expect_version:
            return None
        return Conflict(f"{key} has version {version}, not {expect_version}")

    def _remove(self, key: str) -> None:
        self._counter += 1
        self._items[key] = _Item("", self._counter, NO_LEASE, absent=True)
        self.wake()

    def _end_lease(self, lease: int) -> None:
        if self._leases.pop(lease, None) is None:
            return
        for key, item in list(self._items.items()):
            if item.lease == lease:
                self._remove(key)

    def _lapse_leases(self) -> None:
        now_ms = self._clock()
        for number, lease in list(self._leases.items()):
            if lease.lapses_ms <= now_ms:
                self._end_lease(number)
