"""A key-value service that comes back with an older configuration."""

from __future__ import annotations

import asyncio
import random

from gooseberrypost.configsync.apply import Applier
from gooseberrypost.state.configuration import HEAD_KEY
from gooseberrypost.state.document import parse_head
from gooseberrypost.state.records import AccountRecord
from gooseberrypost.stores.memory import InMemoryKeyValueStore
from tests.configuration_cluster import run_processes
from tests.standins.keyvalue import monotonic_ms


class RestorableStore(InMemoryKeyValueStore):
    def copy(self):
        return dict(self._items), self._counter

    async def restore(self, copy):
        """Be away for a moment and come back from a copy."""
        self.down = True
        self.wake_watches()
        await asyncio.sleep(0.1)
        self._items, self._counter = dict(copy[0]), copy[1]
        self.down = False


async def apply(store, name: str) -> int:
    """Apply an account and return the version that has it."""
    record = AccountRecord(name)
    applier = Applier(store, rng=random.Random(1))
    applied = await applier.apply({f"account/{name}": record}, f"id-{name}")
    return applied.unwrap().version


async def until(condition, wait_s: float = 8.0):
    end_s = asyncio.get_running_loop().time() + wait_s
    while not await condition():
        assert asyncio.get_running_loop().time() < end_s
        await asyncio.sleep(0.02)


async def wait_for(processes, *names: str):
    """Wait until all processes have the accounts."""

    async def have_all() -> bool:
        return all(
            f"account/{name}" in process.section.records
            for process in processes
            for name in names
        )

    await until(have_all)


def run_with_a_lost_change(work):
    """Lose the account ``lost`` in the store after all processes have it."""

    async def run():
        store = RestorableStore(monotonic_ms)
        async with run_processes(4, store, 100) as processes:
            await apply(store, "kept")
            await wait_for(processes, "kept")
            copy = store.copy()
            await apply(store, "lost")
            await wait_for(processes, "lost")
            await store.restore(copy)
            await work(store, processes)

    asyncio.run(run())


def test_a_lost_change_is_written_again():
    """Guards against a confirmed change that only running processes have."""

    async def work(store, processes):
        async def is_stored() -> bool:
            read = (await store.get(HEAD_KEY)).unwrap()
            return "account/lost" in parse_head(read.value).unwrap().entries

        await until(is_stored)
        await wait_for(processes, "kept", "lost")

    run_with_a_lost_change(work)


def test_a_change_with_a_repeated_version_is_in_force():
    """Guards against ignoring a change for the version that it got again."""

    async def work(store, processes):
        await apply(store, "new")
        await wait_for(processes, "kept", "lost", "new")

    run_with_a_lost_change(work)
