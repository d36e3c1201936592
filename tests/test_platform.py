"""Key-value clients, in memory and over HTTP against a fake service."""

from __future__ import annotations

import asyncio

import pytest

from gooseberrypost.stores.http import HttpKeyValueStore
from gooseberrypost.stores.keyvalue import (
    Conflict,
    KeyValueUnavailable,
    KeyValueUnknown,
    LeaseLost,
    ValueTooLarge,
    Versioned,
)
from gooseberrypost.stores.memory import InMemoryKeyValueStore
from tests.standins.keyvalue import KeyValueService, serving


class Clock:
    def __init__(self):
        self.now_ms = 0

    def __call__(self):
        return self.now_ms


async def wait_until(condition):
    while not condition():  # noqa: ASYNC110
        await asyncio.sleep(0)


async def with_memory_store(check):
    clock = Clock()
    memory = InMemoryKeyValueStore(clock)
    await check(memory, memory, clock)


async def with_http_store(check):
    clock = Clock()
    memory = InMemoryKeyValueStore(clock)
    async with serving(KeyValueService(memory).application()) as address:
        store = HttpKeyValueStore.from_addresses([address])
        try:
            await check(store, memory, clock)
        finally:
            await store.close()


both_stores = pytest.mark.parametrize(
    "run_check", [with_memory_store, with_http_store]
)


@both_stores
def test_compare_and_swap(run_check):
    """Guards against lost updates, also after a delete."""

    async def check(store, memory, clock):
        assert (await store.get("k")).unwrap() == Versioned("", 0)
        first = (await store.put("k", "é", 0)).unwrap()
        conflicting = await store.put("k", "b", 0)
        assert isinstance(conflicting.unwrap_err(), Conflict)
        assert (await store.get("k")).unwrap() == Versioned("é", first)
        assert (await store.delete("k", first)).is_ok()
        assert (await store.put("k", "c", 0)).unwrap() > first
        large = await store.put("l", "x" * 1_000_001, 0)
        assert isinstance(large.unwrap_err(), ValueTooLarge)

    asyncio.run(run_check(check))


@both_stores
def test_a_lost_response_is_unknown_and_an_outage_is_unavailable(run_check):
    """Guards against reporting a write that took effect as not executed."""

    async def check(store, memory, clock):
        memory.lose_answers = 1
        unanswered = await store.put("k", "a", 0)
        assert isinstance(unanswered.unwrap_err(), KeyValueUnknown)
        assert (await store.get("k")).unwrap().value == "a"
        memory.set_down(True)
        down = await store.put("k", "b", 1)
        assert isinstance(down.unwrap_err(), KeyValueUnavailable)
        memory.set_down(False)
        assert (await store.get("k")).unwrap().value == "a"

    asyncio.run(run_check(check))


@both_stores
def test_an_expired_lease_deletes_its_keys(run_check):
    """Guards against a key that outlives the lease of its holder."""

    async def check(store, memory, clock):
        lease = (await store.grant_lease(1_000)).unwrap()
        version = (await store.put("k", "a", 0, lease)).unwrap()
        clock.now_ms = 900
        assert (await store.keep_alive(lease)).is_ok()
        clock.now_ms = 1_800
        assert (await store.get("k")).unwrap().version == version
        watch = asyncio.create_task(store.watch("k", version, 5_000))
        clock.now_ms = 1_900
        assert (await watch).unwrap() == Versioned("", 0)
        expired = await store.keep_alive(lease)
        assert isinstance(expired.unwrap_err(), LeaseLost)

    asyncio.run(run_check(check))


@both_stores
def test_a_watch_waits_and_counts_as_one_call(run_check):
    """Guards against polling and against a watch that misses a change."""

    async def check(store, memory, clock):
        watch = asyncio.create_task(store.watch("k", 0, 5_000))
        async with asyncio.timeout(5):
            await wait_until(lambda: memory.calls["watch"])
        (await store.put("k", "a", 0)).unwrap()
        assert (await watch).unwrap().value == "a"
        same = await store.watch("k", 1, 1)
        assert same.unwrap().version == 1
        assert memory.total_calls == 3

    asyncio.run(run_check(check))


def test_a_refused_connection_is_unavailable_and_a_timeout_is_unknown():
    """Guards against treating a write without response as not executed."""

    async def run():
        memory = InMemoryKeyValueStore(Clock())
        async with serving(KeyValueService(memory).application()) as address:
            memory.slow_ms = 5_000
            store = HttpKeyValueStore([address], timeout_ms=50)
            unanswered = await store.put("k", "a", 0)
            assert isinstance(unanswered.unwrap_err(), KeyValueUnknown)
            read = await store.get("k")
            assert isinstance(read.unwrap_err(), KeyValueUnavailable)
        refused = await store.put("k", "a", 0)
        assert isinstance(refused.unwrap_err(), KeyValueUnavailable)
        await store.close()

    asyncio.run(run())
