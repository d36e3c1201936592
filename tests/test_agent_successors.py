"""Runs that an agent keeps while their engine may be sound."""

from __future__ import annotations

import asyncio
import time
from contextlib import asynccontextmanager

import pytest
from result import Err

from gooseberrypost.agent.crash import LOAD_REPORT_TIMEOUT_MS
from gooseberrypost.errors import (
    ConnectionLost,
    Failure,
    PeerUnreachable,
    TimedOut,
)
from gooseberrypost.wire.messages import idl
from tests.agent_kit import (
    ask,
    collect,
    decode,
    prefill,
    reserve,
    running_rig,
    until,
)

TOKENS = 40
TROUBLE_S = 0.4
"""Time in which each connection to the engine is reset."""


async def reset_connections(engine):
    """Reset each connection for a while; the engine itself is sound."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + TROUBLE_S
    while loop.time() < end_s:
        engine.abort_connections()
        await asyncio.sleep(0)


async def start_stream(rig, key="k"):
    """Return the task that collects a stream, once it has a token."""
    reserved, prefilled = await rig.prepare(key)
    req = decode(reserved, prefilled, key, max_tokens=TOKENS)

    async def read():
        async with rig.decode_channel.stream(req) as replies:
            return await collect(replies)

    task = asyncio.create_task(read())
    attempts = rig.decode_engine.attempts
    await until(
        lambda: any(a.texts for a in attempts.values() if a.key[0] == key)
    )
    return task


def test_engine_that_is_slow_to_report_its_load_has_not_crashed():
    """Guards against runs dropped because a busy engine answers no check.

    Its requests would also be reported as having crashed it.
    """

    async def run():
        async with running_rig(decode_options={"token_ms": 20}) as rig:
            task = await start_stream(rig)
            backend = rig.decode_agent.backend

            async def time_out(timeout_ms=0):
                return Err(TimedOut("no load report"))

            backend.load = time_out
            rig.decode_engine.abort_connections()
            _, end = await task
            assert (end.code, end.tokens) == ("", TOKENS)
            assert rig.decode_agent.lifecycle.lifecycle.crashes == 0

    asyncio.run(run())


def test_engine_that_crashes_before_its_stream_is_resumed_is_reported():
    """Guards against crash evidence lost between two checks of an engine.

    The engine was sound at the first of them.
    """

    async def run():
        async with running_rig(
            decode_options={"token_ms": 5, "restart_ms": 3_000}
        ) as rig:
            engine = rig.decode_engine
            task = await start_stream(rig)
            requests = rig.decode_agent.backend.requests

            async def list_then_crash():
                listed = await requests()
                await engine.site.stop()
                engine.abort_connections()
                return listed

            rig.decode_agent.backend.requests = list_then_crash
            engine.abort_connections()
            _, end = await task
            assert end.code == "engine_crashed"
            assert rig.decode_agent.lifecycle.lifecycle.crashes == 1

    asyncio.run(run())


def test_run_is_kept_while_its_stream_cannot_be_resumed():
    """Guards against a run that is cancelled after a moment of broken links.

    The engine goes on with it, and can be reached again soon.
    """

    async def run():
        async with running_rig(decode_options={"token_ms": 5}) as rig:
            engine, tries = rig.decode_engine, []
            stream = engine.stream

            async def break_off(request, attempt, sequence):
                tries.append(sequence)
                if len(tries) > 6:
                    return await stream(request, attempt, sequence)
                request.transport.abort()
                raise ConnectionResetError

            task = await start_stream(rig)
            engine.stream = break_off
            engine.abort_connections()
            _, end = await task
            assert (end.code, end.tokens) == ("", TOKENS)
            assert rig.decode_agent.lifecycle.lifecycle.crashes == 0

    asyncio.run(run())


def test_engine_behind_a_broken_link_has_not_crashed():
    """Guards against runs dropped after a tenth of a second of resets.

    Their requests are reported as having crashed the engine, too.
    """

    async def run():
        async with running_rig(decode_options={"token_ms": 20}) as rig:
            task = await start_stream(rig)
            await reset_connections(rig.decode_engine)
            _, end = await task
            assert rig.decode_agent.lifecycle.lifecycle.crashes == 0
            assert (end.code, end.tokens) == ("", TOKENS)

    asyncio.run(run())


@pytest.mark.parametrize("failure", [ConnectionLost, PeerUnreachable])
def test_engine_that_stays_unclear_has_not_crashed(failure: type[Failure]):
    """Guards against crash evidence from an engine that cannot be asked.

    It accepts connections all the time, and its run goes on.
    """

    async def run():
        async with running_rig(decode_options={"token_ms": 20}) as rig:
            task = await start_stream(rig)

            async def fail(timeout_ms=0):
                return Err(failure("no route"))

            rig.decode_agent.backend.load = fail
            rig.decode_engine.abort_connections()
            _, end = await task
            assert (end.code, end.tokens) == ("", TOKENS)
            assert rig.decode_agent.lifecycle.lifecycle.crashes == 0

    asyncio.run(run())


def test_engine_that_started_again_behind_a_broken_link_has_crashed():
    """Guards against crash evidence lost while the engine cannot be asked."""

    async def run():
        options = {"token_ms": 20, "restart_ms": 0}
        async with running_rig(decode_options=options) as rig:
            tasks = [await start_stream(rig, key) for key in ("a", "b")]
            backend, tries = rig.decode_agent.backend, []
            load = backend.load

            async def fail_at_first(timeout_ms=0):
                tries.append(timeout_ms)
                if tries.count(LOAD_REPORT_TIMEOUT_MS) > 5:
                    return await load(timeout_ms)
                return Err(ConnectionLost("reset"))

            backend.load = fail_at_first
            rig.decode_engine.switch("crash", True)
            ends = await asyncio.gather(*tasks)
            assert [end.code for _, end in ends] == ["engine_crashed"] * 2
            assert rig.decode_agent.lifecycle.lifecycle.crashes == 1

    asyncio.run(run())


def test_prefills_behind_a_broken_link_have_not_crashed_their_engine():
    """Guards against crash evidence from runs that have ended meanwhile.

    The engine has dropped their results when it can be asked again.
    """

    async def run():
        options = {"prefill_tokens_per_s": 100, "lives_ms": 10}
        async with running_rig(prefill_options=options) as rig:
            engine = rig.prefill_engine
            tasks = [
                asyncio.create_task(ask(rig.prefill_channel, prefill(key)))
                for key in ("a", "b")
            ]
            await until(lambda: len(engine.attempts) == 2)
            await reset_connections(engine)
            assert not engine.attempts
            codes = [refused.code for refused in await asyncio.gather(*tasks)]
            assert codes == ["connection_lost"] * 2
            assert rig.prefill_agent.lifecycle.lifecycle.crashes == 0

    asyncio.run(run())


def test_requests_that_never_arrived_have_not_crashed_their_engine():
    """Guards against crash evidence from requests that an engine never had."""

    async def run():
        async with running_rig() as rig:
            attempts = rig.decode_agent.context.attempts

            @asynccontextmanager
            async def lose(attempt, options):
                await until(lambda: len(attempts.running) == 2)
                raise ConnectionLost("reset")
                yield

            rig.decode_agent.backend.decode = lose
            prepared = {key: await rig.prepare(key) for key in ("a", "b")}
            for end in await asyncio.gather(
                *(read_end(rig, key, *prepared[key]) for key in prepared)
            ):
                assert end.code != "engine_crashed"
            assert rig.decode_agent.lifecycle.lifecycle.crashes == 0

    async def read_end(rig, key, reserved, prefilled):
        req = decode(reserved, prefilled, key)
        async with rig.decode_channel.stream(req) as replies:
            return (await collect(replies))[1]

    asyncio.run(run())


def test_reported_run_that_goes_on_is_kept():
    """Guards against runs let go without a check after a crash report.

    The engine refused connections for a moment, but went on.
    """

    async def run():
        async with running_rig(decode_options={"token_ms": 20}) as rig:
            engine, transports = rig.decode_engine, {}
            stream = engine.stream

            async def record(request, attempt, sequence):
                transports[attempt.key[0]] = request.transport
                return await stream(request, attempt, sequence)

            engine.stream = record
            tasks = [await start_stream(rig, key) for key in ("a", "b")]
            await engine.site.stop()
            transports["a"].abort()
            _, end = await tasks[0]
            assert end.code == "engine_crashed"
            await engine.listen()
            transports["b"].abort()
            _, end = await tasks[1]
            assert (end.code, end.tokens) == ("", TOKENS)
            assert rig.decode_agent.lifecycle.lifecycle.crashes == 1

    asyncio.run(run())


def test_many_runs_of_a_silent_engine_are_checked_together():
    """Guards against runs that wait for the checks of all others."""

    async def run():
        async with running_rig(decode_options={"token_ms": 20}) as rig:
            tasks = [await start_stream(rig, f"k{n}") for n in range(6)]
            checks = []

            async def time_out(timeout_ms=0):
                checks.append(timeout_ms)
                await asyncio.sleep(timeout_ms / 1_000)
                return Err(TimedOut("no load report"))

            rig.decode_agent.backend.load = time_out
            rig.decode_engine.abort_connections()
            ends = await asyncio.gather(*tasks)
            assert [end.code for _, end in ends] == [""] * 6
            assert checks.count(LOAD_REPORT_TIMEOUT_MS) <= 3

    asyncio.run(run())


def test_reservation_is_kept_while_its_prefill_is_late():
    """Guards against a prefill that is computed for a place that is gone.

    The agent refuses new work meanwhile, but it has accepted this place.
    """

    async def run():
        async with running_rig() as rig:
            req = reserve(ttl_ms=300)
            reserved = await ask(rig.decode_channel, req)
            await ask(rig.decode_channel, idl.Drain(draining=True))
            for _ in range(8):
                await asyncio.sleep(0.1)
                again = await ask(rig.decode_channel, req)
                assert again.reservation == reserved.reservation
            prefilled = await ask(rig.prefill_channel, prefill())
            req = decode(reserved, prefilled)
            async with rig.decode_channel.stream(req) as replies:
                _, end = await collect(replies)
            assert (end.code, end.tokens) == ("", req.max_tokens)

    asyncio.run(run())


def test_transfer_is_not_stalled_by_a_pause_of_its_agent():
    """Guards against dropping a run whose transfer ended during the pause.

    The pause is longer than the timeout of the transfer.
    """

    async def run():
        async with running_rig() as rig:
            rig.decode_engine.switch("stall", True)
            reserved, prefilled = await rig.prepare()
            req = decode(reserved, prefilled, transfer_timeout_ms=200)
            async with rig.decode_channel.stream(req) as replies:
                await until(lambda: rig.decode_engine.attempts, 1_000)
                rig.decode_engine.switch("stall", False)
                stand_still(0.4)
                _, end = await collect(replies)
            assert end.code in (None, "")

    asyncio.run(run())


def stand_still(pause_s: float):
    """Block the event loop of the test, as a pause of its process does."""
    time.sleep(pause_s)
