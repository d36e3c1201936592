"""Runs that an agent keeps while their engine may be sound."""

from __future__ import annotations

import asyncio
import time

from result import Err

from gooseberrypost.errors import TimedOut
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


async def start_stream(rig):
    """Return the task that collects a stream, once it has a token."""
    reserved, prefilled = await rig.prepare()
    req = decode(reserved, prefilled, max_tokens=TOKENS)

    async def read():
        async with rig.decode_channel.stream(req) as replies:
            return await collect(replies)

    task = asyncio.create_task(read())
    attempts = rig.decode_engine.attempts
    await until(lambda: any(a.texts for a in attempts.values()))
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
    time.sleep(pause_s)
