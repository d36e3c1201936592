"""First contact of a process that starts: bytes and CPU by peers."""

from __future__ import annotations

import asyncio
import tempfile
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Final

from scripts.capacity.deployment import CountingRelay
from scripts.capacity.fit import report
from scripts.capacity.records import document
from scripts.capacity.usage import Usage
from tests.configuration_cluster import hello
from tests.scenarios.processes import Process, reserve_address
from tests.standins.keyvalue import KeyValueService, monotonic_ms, serving

from gooseberrypost.blackboard import Blackboard
from gooseberrypost.configsync.controller import ConfigurationController
from gooseberrypost.state.configuration import Configuration
from gooseberrypost.state.document import format_document
from gooseberrypost.stores.memory import InMemoryKeyValueStore
from gooseberrypost.wire.channel import ChannelPool
from gooseberrypost.wire.dispatch import Dispatcher
from gooseberrypost.wire.listener import Listener

STARTED: Final = "event=configuration_started"
POLL_S: Final = 0.05
LIMIT_S: Final = 60


async def measure(quick: bool) -> None:
    """Print the cost of one start against the number of peers."""
    records = 1_200 if quick else 9_600
    sizes = [4, 8, 16] if quick else [30, 60, 120]
    print(f"# start: a real agent, {records} records; sizes are its peers")
    found = [await _start(records, size) for size in sizes]
    report("start.peer_bytes", "bytes", sizes, [f[0] for f in found])
    report("start.cpu", "CPU s", sizes, [f[1] for f in found])
    report("start.private_mb", "MB", sizes, [f[2] for f in found])


async def _start(records: int, peers: int) -> tuple[float, float, float]:
    text = format_document(document(records)).unwrap()
    store = InMemoryKeyValueStore(monotonic_ms)
    await store.put("config/head", text, 0)
    async with AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        relays = [await _peer(stack, index, store) for index in range(peers)]
        app = KeyValueService(store).application()
        address = await stack.enter_async_context(serving(app))
        process = Process(
            "agent",
            {
                "name": "starter",
                "vm": "vm-starter",
                "zone": "a",
                "service": "service-1",
                "internal_address": reserve_address(stack),
                "backend": {
                    "kind": "model",
                    "address": reserve_address(stack),
                },
                "peers": [relay.address for relay in relays],
                "key_value_addresses": [address],
            },
            Path(folder),
        )
        process.write_settings()
        process.start()
        stack.callback(process.kill)
        async with asyncio.timeout(LIMIT_S):
            await _until_started(process)
        assert process.popen is not None
        used = Usage.of(process.popen.pid)
        sent = sum(relay.bytes for relay in relays)
        return sent, used.cpu_s, used.private_kb / 1_000


async def _until_started(process: Process) -> None:
    # Another process writes the log file; nothing here can be notified.
    while not any(STARTED in line for line in process.log_lines()):  # noqa: ASYNC110
        await asyncio.sleep(POLL_S)


async def _peer(
    stack: AsyncExitStack, index: int, store: InMemoryKeyValueStore
) -> CountingRelay:
    """Serve the configuration as an entry does, behind a relay."""
    dispatcher = Dispatcher()
    listener = await stack.enter_async_context(
        Listener.serving("127.0.0.1:0", dispatcher)
    )
    pool, board = ChannelPool(hello(index)), Blackboard()
    controller = ConfigurationController(board, pool, [], store)
    controller.register(dispatcher)
    await controller._read_head(store)
    assert board.read(Configuration).version
    return await stack.enter_async_context(
        CountingRelay.serving(listener.address)
    )
