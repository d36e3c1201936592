"""Streams that are let go only for a successor that is certain."""

from __future__ import annotations

import asyncio
import signal
import tempfile
from contextlib import AsyncExitStack
from pathlib import Path

import pytest

from tests.gateway_kit import GatewayKit, configuration, serving
from tests.scenarios.processes import (
    Process,
    gateway_process,
    is_gateway_ready,
)
from tests.silent_engine import (
    DEADLINE_MS,
    SilentEngine,
    add_engines,
    stream,
    whole,
)
from tests.standins.platform_store import FakePlatformStore

SILENCE_S = 2.6
"""Silence of a sound engine that its client waits out."""


def run(work):
    asyncio.run(work())


async def running_at(kit: GatewayKit, engines: list[SilentEngine]):
    """Return the engine that runs the stream, and the other ones."""
    await kit.until(lambda: any(engine.running for engine in engines))
    source = next(engine for engine in engines if engine.running)
    return source, [engine for engine in engines if engine is not source]


def test_stream_of_a_silent_engine_is_kept_in_a_drain():
    """Guards against a stop that cuts streams whose engine is silent.

    No other engine may take them, as the gateway shuts down.
    """

    async def work():
        async with serving(grace_ms=6_000) as kit:
            engines = await add_engines(kit, "d", "e")
            for engine in engines:
                engine.silent_after, engine.silence_s = 10, SILENCE_S
            task = asyncio.create_task(stream(kit, "again"))
            await running_at(kit, engines)
            drain = asyncio.create_task(kit.daemon.drain())
            got = await task
            assert got.complete
            assert got.body == whole(30)
            await drain

    run(work)


def test_stream_of_a_silent_engine_is_kept_while_no_other_one_has_memory():
    """Guards against a stream that is closed for an engine without memory."""

    async def work():
        async with serving() as kit:
            (source,) = await add_engines(kit, "d")
            other = await kit.add("e", "llm", "decode", kind=SilentEngine)
            other.has_room = False
            servers = kit.daemon.context.directory.servers
            await kit.until(lambda: len(servers.all()) == 3)
            source.silent_after, source.silence_s = 10, SILENCE_S
            got = await stream(kit, "again")
            assert got.complete
            assert got.body == whole(30)
            assert source.closed_early == []
            assert len(source.executed) == 1

    run(work)


def test_stream_goes_on_if_its_engine_speaks_before_its_successor_is_ready():
    """Guards against a second run of a stream whose engine speaks again.

    The memory that was reserved for the second run is given back.
    """

    async def work():
        async with serving() as kit:
            engines = await add_engines(kit, "d", "e")
            kit.engines["p"].prefill_s = 0.05
            for engine in engines:
                engine.silent_after, engine.silence_s = 10, SILENCE_S
            task = asyncio.create_task(stream(kit, "again"))
            source, (other,) = await running_at(kit, engines)
            kit.engines["p"].prefill_s = 1.5
            got = await task
            assert got.body == whole(30)
            assert other.executed == []
            assert source.closed_early == []
            dropped = "/-/hold-drop/hold-1"
            await kit.until(
                lambda: any(c.target == dropped for c in other.control)
            )

    run(work)


def test_stream_that_breaks_off_late_is_resumed():
    """Guards against deadlines of a begun stream that count from its start.

    Its client has had events all the while, and waits for the next one.
    """

    async def work():
        async with serving() as kit:
            engines = await add_engines(kit, "d", "e")
            for engine in engines:
                engine.event_s, engine.breaks_after = 0.2, 25
            got = await stream(kit, "again")
            assert got.complete
            assert got.body == whole(30)

    run(work)


def test_stream_that_breaks_off_in_a_drain_is_resumed():
    """Guards against refusing a begun stream because of a shutdown.

    A refusal is an end without a whole answer here.
    """

    async def work():
        async with serving(grace_ms=6_000) as kit:
            engines = await add_engines(kit, "d", "e")
            for engine in engines:
                engine.event_s, engine.breaks_after = 0.1, 25
            task = asyncio.create_task(stream(kit, "again"))
            await running_at(kit, engines)
            drain = asyncio.create_task(kit.daemon.drain())
            got = await task
            assert got.complete
            assert got.body == whole(30)
            await drain

    run(work)


@pytest.mark.parametrize("route", ["text", "again"])
@pytest.mark.parametrize("fault", ["refuses", "unreachable", "late"])
def test_stopped_run_goes_on_where_its_memory_is(fault, route):
    """Guards against dropping a run that was stopped to be moved.

    Its memory is sound at the source and the target, of which one refuses it
    or cannot be reached.
    """

    async def work():
        async with serving() as kit:
            engines = await add_engines(kit, "d", "e")
            for engine in engines:
                engine.supports_moves = True
                engine.silent_after, engine.silence_s = 10, 5.0
            failures = []
            asyncio.get_running_loop().set_exception_handler(
                lambda _, context: failures.append(context)
            )
            task = asyncio.create_task(stream(kit, route))
            source, (target,) = await running_at(kit, engines)
            if fault == "refuses":
                target.refuses_kv_sources = True
            else:
                target.server.close()
            if fault == "late":
                source.refuses_kv_sources = True
                await kit.until(lambda: source.stopped)
                await asyncio.sleep(0.3)
                await target.start(target.address)
            got = await task
            assert got.complete
            assert got.body == whole(30)
            assert source.stopped == 1
            assert len(source.executed + target.executed) == 1
            assert failures == []

    run(work)


@pytest.mark.parametrize("route", ["text", "again"])
def test_stopped_run_goes_on_after_a_reset(route):
    """Guards against dropping a run whose target resets the connection.

    Engines do so with connections beyond their limit.
    """

    async def work():
        async with serving() as kit:
            engines = await add_engines(kit, "d", "e")
            for engine in engines:
                engine.supports_moves = True
                engine.silent_after, engine.silence_s = 10, 5.0
            task = asyncio.create_task(stream(kit, route))
            source, (target,) = await running_at(kit, engines)
            target.resets = 1
            got = await task
            assert got.complete
            assert got.body == whole(30)
            assert target.resets == 0
            assert len(source.executed + target.executed) == 1

    run(work)


def test_run_is_not_stopped_without_retry_budget():
    """Guards against a run that is stopped and may then not go on."""

    async def work():
        async with serving(
            retry_budget_ratio=0.0, retry_budget_allowance=0.0
        ) as kit:
            engines = await add_engines(kit, "d", "e")
            for engine in engines:
                engine.supports_moves = True
                engine.silent_after, engine.silence_s = 10, 1.5
            got = await stream(kit, "text")
            assert got.complete
            assert got.body == whole(30)

    run(work)


def test_stream_is_kept_while_its_engine_answers_no_report():
    """Guards against taking a paused engine for a replaced one.

    It pauses with its first event, before which its process is asked for, and
    the other engine has no memory.
    """

    async def work():
        async with serving() as kit:
            (engine,) = await add_engines(kit, "d")
            other = await kit.add("e", "llm", "decode", kind=SilentEngine)
            other.has_room = False
            servers = kit.daemon.context.directory.servers
            await kit.until(lambda: len(servers.all()) == 3)
            engine.silent_after, engine.silence_s = 1, SILENCE_S
            engine.answers_when_silent = False
            got = await stream(kit, "again")
            assert got.complete
            assert got.body == whole(30)
            assert len(engine.executed) == 1
            assert other.executed == []

    run(work)


def test_stream_of_an_engine_that_stops_at_its_first_event_is_resumed():
    """Guards against waiting for one engine until the client leaves."""

    async def work():
        async with serving() as kit:
            engines = await add_engines(kit, "d", "e")
            for engine in engines:
                engine.silent_after, engine.silence_s = 1, 60.0
                engine.answers_when_silent = False
            task = asyncio.create_task(stream(kit, "again"))
            _, (other,) = await running_at(kit, engines)
            other.silent_after = None
            got = await task
            assert got.complete
            assert got.body == whole(30)

    run(work)


@pytest.mark.parametrize("route", ["text", "again"])
def test_run_is_not_stopped_while_its_engine_answers_nothing(route):
    """Guards against a stop that a paused engine carries out unheard."""

    async def work():
        async with serving() as kit:
            engines = await add_engines(kit, "d", "e")
            for engine in engines:
                engine.supports_moves = True
                engine.silent_after, engine.silence_s = 10, SILENCE_S
                engine.answers_when_silent = False
            got = await stream(kit, route)
            assert got.complete
            assert got.body == whole(30)
            assert sum(len(engine.executed) for engine in engines) <= 2
            assert sum(engine.stopped for engine in engines) == 0

    run(work)


def test_slow_prefill_is_kept_without_retry_budget():
    """Guards against a failure while the only engine still reads a prompt."""

    async def work():
        async with serving(
            retry_budget_ratio=0.0, retry_budget_allowance=0.0
        ) as kit:
            await add_engines(kit, "d", "e")
            kit.engines["p"].prefill_s = 1.5
            got = await stream(kit, "text")
            assert got.status == 200
            assert got.body == whole(30)

    run(work)


def test_run_goes_on_after_a_slow_move():
    """Guards against losing the only copy of a run whose move takes long."""

    async def work():
        async with serving() as kit:
            engines = await add_engines(kit, "d", "e")
            for engine in engines:
                engine.supports_moves, engine.move_s = True, 1.5
                engine.silent_after, engine.silence_s = 10, 5.0
            got = await stream(kit, "text")
            assert got.complete
            assert got.body == whole(30)
            assert sum(len(engine.resumed) for engine in engines) == 1

    run(work)


def test_stream_of_a_busy_engine_is_confirmed_after_a_long_wait():
    """Guards against a stream that is cut as its first event comes late.

    The time that its client was expected to wait is over, and the process of
    its engine is asked for only then.
    """

    async def work():
        async with serving() as kit:
            (engine,) = await add_engines(kit, "d")
            engine.head_s, engine.report_delay_s = 3.5, 0.3
            got = await stream(kit, "again")
            assert got.complete
            assert got.body == whole(30)

    run(work)


def test_pause_of_the_gateway_is_not_taken_for_silence_of_an_engine():
    """Guards against moving sound runs because the gateway was late.

    Events that arrived in the meantime wait in its sockets.
    """

    async def work():
        async with AsyncExitStack() as stack:
            folder = stack.enter_context(tempfile.TemporaryDirectory())
            kit = GatewayKit()
            await kit.store.start()
            stack.push_async_callback(kit.store.stop)
            kit.store.put("op/config", configuration(4, DEADLINE_MS))
            await kit.add("p", "llm", "prefill")
            for name in ("d", "e"):
                engine = await kit.add(
                    name, "llm", "decode", kind=SilentEngine
                )
                engine.events, engine.supports_moves = 100, True
            for engine in kit.engines.values():
                stack.push_async_callback(engine.stop)
            process = start_gateway(stack, kit.store, Path(folder))
            await wait_ready(process)
            kit.address = process.settings["listen"]["frontend"]
            streams = [
                asyncio.create_task(stream(kit, route))
                for route in ("text", "again", "text", "again")
            ]
            decoders = [kit.engines["d"], kit.engines["e"]]
            await kit.until(lambda: sum(len(e.running) for e in decoders) == 4)
            for _ in range(2):
                process.signal(signal.SIGSTOP)
                await asyncio.sleep(2.0)
                process.signal(signal.SIGCONT)
                await asyncio.sleep(0.3)
            for got in await asyncio.gather(*streams):
                assert got.body == whole(100)
            assert sum(engine.stopped for engine in decoders) == 0
            assert sum(len(engine.executed) for engine in decoders) == 4

    run(work)


async def wait_ready(process: Process):
    """Wait until a gateway process serves; fails after 20 s."""
    async with asyncio.timeout(20):
        is_ready = False
        while not is_ready:
            is_ready = await is_gateway_ready(process)
            await asyncio.sleep(0.1)


def start_gateway(
    stack: AsyncExitStack, store: FakePlatformStore, folder: Path
):
    """Start a gateway process that ends with the stack."""
    bounds = {"grace_s": 8.0, "budget_slack": 102, "config_apply_ms": 3_000}
    process = gateway_process(0, store.address, folder, bounds)
    stack.callback(process.kill)
    process.write_settings()
    process.start()
    return process
