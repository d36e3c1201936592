"""Cost of starting an agent process, by number of peers."""

from __future__ import annotations

import asyncio
import tempfile
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Final

from scripts.capacity.deployment import CountingRelay
from scripts.capacity.fit import print_fit
from scripts.capacity.records import make_document
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

STARTED_EVENT: Final = "event=configuration_started"
LOG_POLL_INTERVAL_S: Final = 0.05
START_TIMEOUT_S: Final = 60


async def measure(quick: bool) -> None:
    """Print the traffic, CPU time and memory of a start by peer count."""
    record_count = 1_200 if quick else 9_600
    sizes = [4, 8, 16] if quick else [30, 60, 120]
    print(
        f"# start: a real agent, {record_count} records; sizes are its peers"
    )
    samples = [await _measure_start(record_count, size) for size in sizes]
    print_fit(
        "start.peer_bytes", "bytes", sizes, [sample[0] for sample in samples]
    )
    print_fit("start.cpu", "CPU s", sizes, [sample[1] for sample in samples])
    print_fit(
        "start.private_mb", "MB", sizes, [sample[2] for sample in samples]
    )


async def _measure_start(
    record_count: int, peer_count: int
) -> tuple[float, float, float]:
    """Return bytes exchanged with peers, CPU seconds and memory in MB."""
    text = format_document(make_document(record_count)).unwrap()
    store = InMemoryKeyValueStore(monotonic_ms)
    await store.put("config/head", text, 0)
    async with AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        relays = [
            await _serve_peer(stack, index, store)
            for index in range(peer_count)
        ]
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
        async with asyncio.timeout(START_TIMEOUT_S):
            await _wait_until_started(process)
        assert process.popen is not None
        usage = Usage.of(process.popen.pid)
        transferred_bytes = sum(relay.byte_count for relay in relays)
        return transferred_bytes, usage.cpu_s, usage.private_kb / 1_000


async def _wait_until_started(process: Process) -> None:
    # Polled, because another process writes the log file.
    while not any(STARTED_EVENT in line for line in process.log_lines()):  # noqa: ASYNC110
        await asyncio.sleep(LOG_POLL_INTERVAL_S)


async def _serve_peer(
    stack: AsyncExitStack, index: int, store: InMemoryKeyValueStore
) -> CountingRelay:
    """Serve the configuration like an entry, behind a counting relay."""
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
