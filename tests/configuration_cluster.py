"""Configuration controllers on loopback addresses, for tests and benchmarks.

``python -m tests.configuration_cluster`` prints how many pull intervals a
change takes to reach all of them, and the rate of calls to the key-value
service.
"""

from __future__ import annotations

import asyncio
import random
from contextlib import AsyncExitStack, asynccontextmanager
from typing import NamedTuple

from gooseberrypost.blackboard import Blackboard
from gooseberrypost.configsync.apply import Applier
from gooseberrypost.configsync.controller import ConfigurationController
from gooseberrypost.configsync.push import push_to_all
from gooseberrypost.state.configuration import Configuration
from gooseberrypost.state.records import AccountRecord
from gooseberrypost.stores.memory import InMemoryKeyValueStore
from gooseberrypost.wire.channel import ChannelPool
from gooseberrypost.wire.dispatch import Dispatcher
from gooseberrypost.wire.listener import Listener
from gooseberrypost.wire.messages import idl
from tests.standins.keyvalue import monotonic_ms

OPERATOR = idl.Hello(
    process_kind="operator", name="op", incarnation=1, zone="", address=""
)


class Process(NamedTuple):
    controller: ConfigurationController
    section: Configuration
    address: str
    pool: ChannelPool


def hello(index, kind="entry"):
    return idl.Hello(
        process_kind=kind,
        name=f"p{index}",
        incarnation=index + 1,
        zone=f"z{index % 4}",
        address="",
    )


async def start_process(
    stack, index, listener, dispatcher, peers, store, pull_ms
):
    """Start a controller whose listener is already bound."""
    kind = "entry" if index < 12 else "agent"
    pool = ChannelPool(hello(index, kind))
    board = Blackboard()
    controller = ConfigurationController(
        board,
        pool,
        peers,
        store,
        rng=random.Random(index),
        pull_interval_ms=pull_ms,
    )
    controller.register(dispatcher)
    await controller.start()
    stack.push_async_callback(pool.close)
    stack.push_async_callback(controller.stop)
    section = board.read(Configuration)
    return Process(controller, section, listener.address, pool)


@asynccontextmanager
async def run_processes(count, store, pull_ms):
    """Run processes; the first 12 are entries and the others agents."""
    async with AsyncExitStack() as stack:
        listeners = []
        for _ in range(count):
            dispatcher = Dispatcher()
            serving_listener = Listener.serving("127.0.0.1:0", dispatcher)
            listener = await stack.enter_async_context(serving_listener)
            listeners.append((listener, dispatcher))
        addresses = [listener.address for listener, _ in listeners]
        pending_starts = [
            start_process(
                stack,
                index,
                *listeners[index],
                [address for n, address in enumerate(addresses) if n != index],
                store,
                pull_ms,
            )
            for index in range(count)
        ]
        yield list(await asyncio.gather(*pending_starts))


async def wait_for_version(processes, version):
    """Wait until every process has applied at least this version."""
    for process in processes:
        while process.section.version < version:
            await process.section.changed()


async def apply_change(store, apply_id, burst):
    """Apply a change to the store and return the resulting document."""
    record = AccountRecord("a", burst=burst)
    applied = await Applier(store).apply({"account/a": record}, apply_id)
    return applied.unwrap().document


async def measure_propagation(count, pull_ms, rounds, down):
    """Measure how long changes take to reach all processes.

    Returns the time of each change in pull intervals, the key-value calls per
    change and the key-value calls per second. With ``down``, the key-value
    service is unavailable while each change propagates.
    """
    store = InMemoryKeyValueStore(monotonic_ms)
    clock = asyncio.get_running_loop().time
    pool = ChannelPool(OPERATOR)
    intervals = []
    async with run_processes(count, store, pull_ms) as processes:
        peers = [process.address for process in processes[:2]]
        await asyncio.sleep(4 * pull_ms / 1_000)
        first_calls, started_at = store.total_calls, clock()
        for number in range(rounds):
            document = await apply_change(store, f"apply-{number}", number + 1)
            store.set_down(down)
            assert await push_to_all(pool, peers, document) == len(peers)
            pushed_at = clock()
            await wait_for_version(processes, document.version)
            intervals.append((clock() - pushed_at) * 1_000 / pull_ms)
            store.set_down(False)
        calls = (store.total_calls - first_calls) / rounds
        rate = (store.total_calls - first_calls) / (clock() - started_at)
        await pool.close()
    return intervals, calls, rate


async def main():
    for down in (False, True):
        intervals, calls, rate = await measure_propagation(40, 400, 8, down)
        print(
            f"processes=40 service_down={down} rounds={len(intervals)} "
            f"mean={sum(intervals) / len(intervals):.2f} "
            f"max={max(intervals):.2f} "
            f"pull intervals; key-value calls per change={calls:.1f}, "
            f"per second={rate:.2f}"
        )


if __name__ == "__main__":
    asyncio.run(main())
