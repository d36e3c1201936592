"""Streams whose run goes on elsewhere: budgets, limits and what is kept."""

from __future__ import annotations

import asyncio
import time

from tests.gateway_kit import configuration, serving
from tests.silent_engine import (
    SilentEngine,
    add_engines,
    stream,
    whole,
)


def run(work):
    asyncio.run(work())


def decode_arrivals(engines):
    return [
        received
        for engine in engines
        for received in engine.received
        if received.header("Inference-Stage") != "prefill"
    ]


def test_runs_that_stall_together_share_the_retry_budget():
    """Guards against moving more runs at once than the budget allows."""

    async def work():
        async with serving(
            retry_budget_ratio=0.0, retry_budget_allowance=1.3
        ) as kit:
            (source,) = await add_engines(kit, "d")
            source.supports_moves = True
            source.events, source.silence_s = 30, 2.6
            source.control_delay_s = 0.1

            async def silent_stream(request, writer):
                first = int(request.headers.get("last-event-id") or 0)
                writer.write(source._stream_head(request))
                for number in range(first + 1, 31):
                    event = source._event(number)
                    writer.write(
                        f"{len(event):x}\r\n".encode() + event + b"\r\n"
                    )
                    await writer.drain()
                    await asyncio.sleep(2.0 if number == 10 else 0.05)
                writer.write(b"0\r\n\r\n")

            source._stream = silent_stream
            tasks = [
                asyncio.create_task(stream(kit, "text")) for _ in range(4)
            ]
            await kit.until(lambda: len(source.running) == 4)
            target = await kit.add("e", "llm", "decode", kind=SilentEngine)
            servers = kit.daemon.context.directory.servers
            await kit.until(lambda: len(servers.all()) == 3)
            for got in await asyncio.gather(*tasks):
                assert got.body == whole(30)
            assert len(decode_arrivals([source, target])) <= 4 + 1

    run(work)


def test_refused_stream_leaves_retry_budget_to_others():
    """Guards against a begun stream that uses up the budget of a service.

    Its engines have room and refuse it, one after the other.
    """

    async def work():
        async with serving() as kit:
            engines = await add_engines(kit, "d", "e", "f")
            for engine in engines:
                engine.breaks_after = 10
            task = asyncio.create_task(stream(kit, "again"))
            await kit.until(lambda: any(engine.running for engine in engines))
            for engine in engines:
                engine.mode = "refuse"
            got = await task
            assert not got.complete
            budget = kit.daemon.context.budget("llm")
            now_s = kit.daemon.context.now_s()
            assert budget.can_spend(now_s, share=0.5)

    run(work)


def test_stream_is_resumed_at_its_engine_if_no_other_one_is_there():
    """Guards against waiting for another engine after a break.

    The stream was silent, so that another engine is being prepared.
    """

    async def work():
        async with serving() as kit:
            (engine,) = await add_engines(kit, "d")
            engine.silent_after, engine.silence_s = 10, 2.3
            original = engine._stream

            async def cut_after_silence(request, writer):
                if request.headers.get("last-event-id"):
                    return await original(request, writer)
                engine.events = 10
                writer.write(engine._stream_head(request))
                for number in range(1, 11):
                    event = engine._event(number)
                    writer.write(
                        f"{len(event):x}\r\n".encode() + event + b"\r\n"
                    )
                    await writer.drain()
                await asyncio.sleep(2.5)
                engine.events, engine.silent_after = 30, None

            engine._stream = cut_after_silence
            got = await stream(kit, "again")
            assert got.complete
            assert got.body == whole(30)

    run(work)


def test_memory_of_a_stopped_run_is_freed_when_its_client_leaves():
    """Guards against memory that is held for a client that has left."""

    async def work():
        async with serving() as kit:
            engines = await add_engines(kit, "d", "e")
            for engine in engines:
                engine.supports_moves = True
                engine.silent_after, engine.silence_s = 10, 5.0
            task = asyncio.create_task(stream(kit, "text"))
            await kit.until(lambda: any(e.running for e in engines))
            source = next(e for e in engines if e.running)
            target = next(e for e in engines if e is not source)
            target.server.close()
            source.refuses_kv_sources = True
            await kit.until(lambda: source.stopped)
            await asyncio.sleep(1.5)
            assert not task.done()
            task.cancel()
            freed = "/-/kv-handle/moved-1"
            await kit.until(
                lambda: any(c.target == freed for c in source.control), 3.0
            )

    run(work)


def test_answer_at_the_deadline_does_not_wait_for_a_silent_engine():
    """Guards against asking for a run after the deadline."""

    async def work():
        async with serving() as kit:
            (engine,) = await add_engines(kit, "d")
            engine.mode = "hang"
            task = asyncio.create_task(
                kit.generate("/text/x", X_Gooseberrypost_Deadline_Ms="6000")
            )
            started = time.monotonic()
            await kit.until(lambda: engine.running)
            engine.control_delay_s = 60.0
            got = await task
            took = time.monotonic() - started
            print(got.status, took)
            assert took < 6.5

    run(work)


def test_successor_that_was_not_used_leaves_the_budget():
    """Guards against a break without budget after a silence."""

    async def work():
        async with serving(
            retry_budget_ratio=0.0, retry_budget_allowance=1.3
        ) as kit:
            (source,) = await add_engines(kit, "d")
            source.silent_after, source.silence_s = 10, 2.6
            source.breaks_after = 25
            task = asyncio.create_task(stream(kit, "again"))
            await kit.until(lambda: source.running)
            other = await kit.add("e", "llm", "decode", kind=SilentEngine)
            other.has_room = False
            ctx = kit.daemon.context
            servers = ctx.directory.servers
            await kit.until(lambda: len(servers.all()) == 3)
            got = await task
            assert got.complete
            assert got.body == whole(30)

    run(work)


def test_run_whose_memory_is_gone_is_not_executed_too_often():
    """Guards against more executions than the route permits."""

    async def work():
        async with serving() as kit:
            engines = await add_engines(kit, "d", "e", "f")
            cfg = configuration(5, timeout_ms=14_000)
            for route in cfg["routes"]:
                if route["name"] == "again":
                    route["max_attempts"] = 1
            kit.store.put("op/config", cfg)
            directory = kit.daemon.context.directory
            await kit.until(lambda: directory.configuration.version == 5)
            for engine in engines:
                engine.supports_moves = True
                engine.silent_after, engine.silence_s = 10, 5.0
                engine.refuses_kv_sources = False
            task = asyncio.create_task(stream(kit, "again"))
            await kit.until(lambda: any(e.running for e in engines))
            for engine in engines:
                handle = engine._handle

                async def refusing(
                    request, reader, writer, *, was=handle, engine=engine
                ):
                    source = request.header("Kv-Source") or ""
                    if "/moved-" in source:
                        engine.received.append(request)
                        return await engine._refuse(
                            request, writer, "503 Service Unavailable"
                        )
                    return await was(request, reader, writer)

                engine._handle = refusing
            got = await task
            print(got.complete, [e.executed for e in engines])
            assert sum(len(e.executed) for e in engines) == 1

    run(work)


def test_repeatable_call_goes_elsewhere_if_its_end_cannot_be_confirmed():
    """Guards against holding an answer until the deadline."""

    async def work():
        async with serving(("a", "desk", "")) as kit:
            kit.store.put("op/config", configuration(4, timeout_ms=14_000))
            directory = kit.daemon.context.directory
            await kit.until(lambda: directory.configuration.version == 4)
            first = kit.engines["a"]
            first.mode = "unframed"
            first.report_delay_s = 60.0
            task = asyncio.create_task(
                kit.call("/safe/x", X_Gooseberrypost_Deadline_Ms="10000")
            )
            await kit.until(lambda: first.executed)
            await kit.add("b", "desk", "")
            got = await task
            assert got.status == 200

    run(work)


def test_arrivals_of_a_resumed_stream_are_counted():
    """Guards against retries that the budget does not count."""

    async def work():
        async with serving() as kit:
            engines = await add_engines(kit, "d", "e")
            for engine in engines:
                engine.breaks_after = 10
            budget = kit.daemon.context.budget("llm")
            got = await stream(kit, "again")
            assert got.body == whole(30)
            prefills = len(kit.engines["p"].received)
            decodes = len(decode_arrivals(engines))
            extra = prefills - 1 + decodes - 1
            assert extra <= len(budget._retries)

    run(work)


def test_calls_with_long_deadlines_end_at_their_deadline():
    """Guards against timers that are rounded up to whole seconds."""

    async def work():
        async with serving(("a", "desk", "")) as kit:
            kit.store.put("op/config", configuration(4, timeout_ms=14_000))
            directory = kit.daemon.context.directory
            await kit.until(lambda: directory.configuration.version == 4)
            kit.engines["a"].mode = "hang"

            async def late_s(after_s: float) -> float:
                await asyncio.sleep(after_s)
                started_s = time.monotonic()
                await kit.call("/safe/x", X_Gooseberrypost_Deadline_Ms="5300")
                return time.monotonic() - started_s - 5.3

            late = await asyncio.gather(
                *(late_s(0.25 * number) for number in range(4))
            )
            print(late)
            assert max(late) < 0.5

    run(work)
