"""Many configuration controllers over loopback, for tests and figures.

``python -m tests.fleet`` prints how long a change takes to reach all of them,
in pull intervals, and the calls per second to the key-value service.
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


async def start(stack, index, listener, dispatcher, peers, store, pull_ms):
    """Start one controller behind a listener that is bound already."""
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
async def fleet(count, store, pull_ms):
    """Run processes of which the first twelve are entries."""
    async with AsyncExitStack() as stack:
        bound = []
        for _ in range(count):
            dispatcher = Dispatcher()
            serving = Listener.serving("127.0.0.1:0", dispatcher)
            listener = await stack.enter_async_context(serving)
            bound.append((listener, dispatcher))
        addresses = [listener.address for listener, _ in bound]
        starts = [
            start(
                stack,
                index,
                *bound[index],
                [a for n, a in enumerate(addresses) if n != index],
                store,
                pull_ms,
            )
            for index in range(count)
        ]
        yield list(await asyncio.gather(*starts))


async def everywhere(processes, version):
    """Wait until the version is in force in every process."""
    for process in processes:
        while process.section.version < version:
            await process.section.changed()


async def change(store, apply_id, burst):
    """Accept one change and return its newest document."""
    record = AccountRecord("a", burst=burst)
    applied = await Applier(store).apply({"account/a": record}, apply_id)
    return applied.unwrap().document


async def spread(count, pull_ms, rounds, down):
    """Pull intervals that each of several changes took to reach all."""
    store = InMemoryKeyValueStore(monotonic_ms)
    clock = asyncio.get_running_loop().time
    pool = ChannelPool(OPERATOR)
    took = []
    async with fleet(count, store, pull_ms) as processes:
        peers = [process.address for process in processes[:2]]
        await asyncio.sleep(4 * pull_ms / 1_000)
        first, began = store.total_calls, clock()
        for number in range(rounds):
            document = await change(store, f"apply-{number}", number + 1)
            store.set_down(down)
            assert await push_to_all(pool, peers, document) == len(peers)
            started = clock()
            await everywhere(processes, document.version)
            took.append((clock() - started) * 1_000 / pull_ms)
            store.set_down(False)
        calls = (store.total_calls - first) / rounds
        rate = (store.total_calls - first) / (clock() - began)
        await pool.close()
    return took, calls, rate


async def main():
    for down in (False, True):
        took, calls, rate = await spread(40, 400, 8, down)
        print(
            f"processes=40 service_down={down} rounds={len(took)} "
            f"mean={sum(took) / len(took):.2f} max={max(took):.2f} "
            f"pull intervals; key-value calls per change={calls:.1f}, "
            f"per second={rate:.2f}"
        )


if __name__ == "__main__":
    asyncio.run(main())
