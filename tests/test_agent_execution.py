"""Tests of the execution of requests on engines and of calls on a service."""

from __future__ import annotations

import asyncio
import json
import random

import pytest

from gooseberrypost.wire.messages import idl
from tests.agent_kit import (
    ask,
    call,
    collect,
    decode,
    entry,
    prefill,
    reserve,
    running,
    running_rig,
    settings,
    until,
)
from tests.standins.generation import answer
from tests.standins.plain import PlainService


def test_a_request_passes_from_prefill_to_decode():
    """Guards against lost, repeated or foreign tokens in a complete answer."""

    async def run():
        async with running_rig() as rig:
            reserved, prefilled = await rig.prepare()
            assert reserved.load.slots_used == 1
            async with rig.decode_channel.stream(
                decode(reserved, prefilled)
            ) as replies:
                text, end = await collect(replies)
            assert text == answer("tell me about k", 20)
            assert (end.code, end.tokens) == ("", 20)
            assert end.load.slots_used == end.load.pieces_used == 0
            release = idl.ReleasePrefill(
                key="k", attempt=1, handle=prefilled.handle
            )
            await ask(rig.prefill_channel, release)
            assert rig.is_free()

    asyncio.run(run())


def test_an_answer_continues_from_its_generated_part():
    """Guards against tokens lost or repeated when a request is retried.

    The new attempt prefills the prompt and the tokens generated so far.
    """

    async def run():
        async with running_rig() as rig:
            expected = answer("tell me about k", 20)
            sent = answer("tell me about k", 7)
            reserved = await ask(rig.decode_channel, reserve(attempt=2))
            req = prefill(attempt=2, generated=sent)
            req = decode(
                reserved,
                await ask(rig.prefill_channel, req),
                attempt=2,
                first_sequence=7,
            )
            async with rig.decode_channel.stream(req) as replies:
                text, end = await collect(replies)
            assert (end.code, end.tokens) == ("", 20)
            assert sent + text == expected

    asyncio.run(run())


@pytest.mark.parametrize("seed", [1, 2])
def test_many_requests_with_cancels_and_broken_connections(seed):
    """Guards against leaks and wrong answers when faults and cancels meet."""

    async def run():
        rng = random.Random(seed)
        sizes = {"slots": 8, "pieces": 24}
        async with running_rig(
            decode_options=sizes, prefill_options=sizes, **sizes
        ) as rig:
            faults = asyncio.create_task(break_connections(rig, rng))
            plans = [(f"k{n}", rng.random() * 1.5) for n in range(60)]
            outcomes = await asyncio.gather(
                *(run_and_cancel(rig, key, delay) for key, delay in plans)
            )
            faults.cancel()
            assert outcomes.count("complete") >= 5
            # The end of a stream can be lost with its connection after the
            # engine has forgotten the request. That must not count as a crash.
            ended = {"complete", "cancelled", "refused", "execution_failed"}
            assert set(outcomes) <= ended
            assert outcomes.count("execution_failed") <= 5
            await until(rig.is_free)
            assert (
                not rig.decode_engine.oversold
                and not rig.prefill_engine.oversold
            )

    asyncio.run(run())


async def break_connections(rig, rng):
    while True:
        await asyncio.sleep(0.1 + 0.2 * rng.random())
        rig.decode_engine.abort_connections()


async def run_and_cancel(rig, key, delay):
    """Start a request after ``delay`` seconds.

    One with a delay above 0.75 s is cancelled while it decodes.
    """
    await asyncio.sleep(delay)
    reserved = await ask(rig.decode_channel, reserve(key))
    if isinstance(reserved, idl.Refused):
        return "refused"
    prefilled = await ask(rig.prefill_channel, prefill(key))
    cancel = idl.Cancel(key=key, attempt=1)
    if isinstance(prefilled, idl.Refused):
        await ask(rig.decode_channel, cancel)
        return "refused"
    req = decode(reserved, prefilled, key, max_tokens=60)
    async with rig.decode_channel.stream(req) as replies:
        if delay > 0.75:
            await asyncio.sleep(delay - 0.75)
            await ask(rig.decode_channel, cancel)
            await ask(rig.prefill_channel, cancel)
        text, end = await collect(replies)
    if end.code == "":
        assert text == answer(f"tell me about {key}", 60)
        return "complete"
    return "cancelled" if delay > 0.75 else end.code


def test_a_call_is_forwarded_once_with_its_key():
    """Guards against a call that loses its body, path or idempotency key."""

    async def run():
        async with (
            PlainService.serving() as service,
            running(settings(service, "plain")) as agent,
            entry(agent) as channel,
        ):
            reply = await ask(channel, call())
            assert (reply.status, json.loads(reply.body)) == (
                200,
                {"path": "/book?rig=7", "body": "two rigs", "execution": 1},
            )
            again = await ask(channel, call())
            assert again.code == "outcome_unknown"
            assert service.executions == {"k": 1}

    asyncio.run(run())
