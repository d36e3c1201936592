"""Tests that engine memory is freed when a caller, entry or agent is gone."""

from __future__ import annotations

import asyncio

import pytest

from gooseberrypost.wire.messages import idl
from tests.agent_kit import (
    ask,
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
from tests.standins.engine import Engine
from tests.standins.generation import answer

CANCEL = idl.Cancel(key="k", attempt=1)
LONG = "word " * 4_000
CANCEL_LIMIT_MS = 1_000
"""Longest time from a cancel until the engine has freed its memory."""
CLEANUP_LIMIT_MS = 5_000
"""Longest time from the loss of an owner until its memory is freed."""


@pytest.mark.parametrize("state", ["queued", "prefilling"])
def test_cancel_frees_a_prefill(state):
    """Guards against a prefill that continues after its caller has gone."""

    async def run():
        async with running_rig(
            prefill_options={"prefill_tokens_per_s": 500}
        ) as rig:
            first = "other" if state == "queued" else "k"
            async with rig.prefill_channel.stream(prefill(first, prompt=LONG)):
                work = rig.prefill_engine.attempts
                await until(lambda: work and next(iter(work.values())).state)
                async with rig.prefill_channel.stream(
                    prefill(prompt=LONG)
                ) as replies:
                    await until(
                        lambda: (
                            [w.state == state for w in prefills_of(rig, "k")]
                            == [True]
                        )
                    )
                    await ask(rig.prefill_channel, CANCEL)
                    await until(
                        lambda: not prefills_of(rig, "k"), CANCEL_LIMIT_MS
                    )
                    if state == "queued":
                        refused = (await replies.next(1_000)).unwrap()
                        assert refused.code == "caller_gone"

    asyncio.run(run())


def test_cancel_frees_a_prefill_result():
    """Guards against a KV cache retained after its caller has gone."""

    async def run():
        async with running_rig(prefill_options={"lives_ms": 60_000}) as rig:
            await rig.prepare()
            assert prefills_of(rig, "k")
            await ask(rig.prefill_channel, CANCEL)
            await until(lambda: not prefills_of(rig, "k"), CANCEL_LIMIT_MS)

    asyncio.run(run())


@pytest.mark.parametrize("state", ["reserved", "transferring", "decoding"])
def test_cancel_frees_a_decode(state):
    """Guards against a slot occupied after its caller has gone."""

    async def run():
        async with running_rig(decode_options={"token_ms": 50}) as rig:
            rig.decode_engine.switch("stall", state == "transferring")
            reserved, prefilled = await rig.prepare()
            if state == "reserved":
                await ask(rig.decode_channel, CANCEL)
                await until(rig.is_decode_free, CANCEL_LIMIT_MS)
                late = await ask(
                    rig.decode_channel, decode(reserved, prefilled)
                )
                assert late.code == "stale_attempt"
                return
            req = decode(reserved, prefilled, max_tokens=400)
            async with rig.decode_channel.stream(req) as replies:
                await until(lambda: work_states(rig.decode_engine) == [state])
                await ask(rig.decode_channel, CANCEL)
                await until(rig.is_decode_free, CANCEL_LIMIT_MS)
                _, end = await collect(replies)
                assert end.code == "caller_gone"

    asyncio.run(run())


def test_cancel_frees_a_stream_that_is_not_read():
    """Guards against a slot occupied by a caller that has stopped reading.

    The cancel must not wait until the blocked token stream is written.
    """

    async def run():
        async with running_rig(decode_options={"token_ms": 20}) as rig:
            reserved, prefilled = await rig.prepare()
            req = decode(reserved, prefilled, max_tokens=500)
            async with rig.decode_channel.stream(req) as replies:
                (await replies.next(1_000)).unwrap()
                # The entry stops reading its socket altogether.
                rig.decode_channel._reader._transport.pause_reading()
                await rig.decode_channel.send(CANCEL)
                await until(rig.is_decode_free, CANCEL_LIMIT_MS)

    asyncio.run(run())


def test_a_cancel_that_overtakes_its_request_frees_it():
    """Guards against memory held by a request that its cancel has overtaken.

    The request reaches the engine after the cancel, and nothing owns it.
    """

    async def run():
        async with running_rig(
            decode_options={"token_ms": 20}, reattach_ms=300
        ) as rig:
            agent = rig.decode_agent
            late = {
                "handle": (await rig.prepare())[1].handle,
                "source": rig.prefill_engine.address,
                "max_tokens": 500,
                "first_sequence": 0,
            }
            await ask(rig.decode_channel, CANCEL)
            sent = asyncio.create_task(
                agent.backend.request_json(
                    "POST", "/decode", {"request": "k", "attempt": 1} | late
                )
            )
            await until(lambda: rig.decode_engine.attempts)
            await until(rig.is_free, CLEANUP_LIMIT_MS)
            await sent

    asyncio.run(run())


@pytest.mark.parametrize("loss", ["closed", "silent"])
def test_a_lost_entry_holds_no_memory(loss):
    """Guards against memory held for an entry that died or was paused."""

    async def run():
        async with running_rig(
            decode_options={"token_ms": 200}, heartbeats=loss == "closed"
        ) as rig:
            await ask(rig.decode_channel, reserve("unused", ttl_ms=30_000))
            reserved, prefilled = await rig.prepare()
            async with rig.decode_channel.stream(
                decode(reserved, prefilled, max_tokens=200)
            ):
                await until(
                    lambda: work_states(rig.decode_engine) == ["decoding"]
                )
                if loss == "closed":
                    await rig.decode_channel.close()
                await until(
                    lambda: not rig.decode_engine.attempts,
                    CLEANUP_LIMIT_MS,
                )
            async with entry(rig.decode_agent) as other:
                refused = await ask(other, reserve("k", 1))
                assert refused.code == "stale_attempt"
            if loss == "closed":
                await until(rig.is_free)

    asyncio.run(run())


def test_a_pause_of_the_agent_does_not_make_entries_silent():
    """Guards against an agent that cancels all jobs after a pause.

    The heartbeats that arrived during the pause are not yet read, so every
    entry seems silent.
    """

    async def run():
        async with running_rig(decode_options={"token_ms": 20}) as rig:
            reserved, prefilled = await rig.prepare()
            async with rig.decode_channel.stream(
                decode(reserved, prefilled)
            ) as replies:
                (await replies.next(1_000)).unwrap()
                (job,) = rig.decode_agent.context.attempts.running
                monitor = rig.decode_agent.execution._owner_monitor
                job.session.last_received_s -= 60
                monitor._last_check_ms -= 60_000
                monitor._resumed_ms -= 60_000
                rig.decode_agent.execution.maintain()
                _, end = await collect(replies)
            assert end.code == ""

    asyncio.run(run())


def test_a_broken_connection_is_reattached_without_loss():
    """Guards against tokens lost or repeated when a connection breaks."""

    async def run():
        async with running_rig(decode_options={"token_ms": 20}) as rig:
            reserved, prefilled = await rig.prepare()
            texts = []
            async with rig.decode_channel.stream(
                decode(reserved, prefilled)
            ) as replies:
                for _ in range(5):
                    texts.append((await replies.next(1_000)).unwrap().text)
                await rig.decode_channel.close()
            async with entry(rig.decode_agent) as channel:
                message = idl.Reattach(key="k", attempt=1, next_sequence=5)
                async with channel.stream(message) as replies:
                    text, end = await collect(replies)
            assert end.code == ""
            assert "".join(texts) + text == answer("tell me about k", 20)

    asyncio.run(run())


def test_a_broken_engine_connection_is_resumed():
    """Guards against a stream that fails because a connection broke once."""

    async def run():
        async with running_rig(decode_options={"token_ms": 20}) as rig:
            reserved, prefilled = await rig.prepare()
            async with rig.decode_channel.stream(
                decode(reserved, prefilled)
            ) as replies:
                (await replies.next(1_000)).unwrap()
                rig.decode_engine.abort_connections()
                text, end = await collect(replies)
            assert (end.code, end.tokens) == ("", 20)
            assert answer("tell me about k", 20).endswith(text)
            assert not rig.decode_engine.crashes

    asyncio.run(run())


@pytest.mark.parametrize("reattached", [False, True])
def test_a_new_agent_reconciles_with_the_engine(reattached):
    """Guards against requests that outlive the agent that started them."""

    async def run():
        async with running_rig(
            decode_options={"token_ms": 20}, reattach_ms=400
        ) as rig:
            reserved, prefilled = await rig.prepare()
            async with rig.decode_channel.stream(
                decode(reserved, prefilled, max_tokens=40)
            ) as replies:
                (await replies.next(1_000)).unwrap()
                await rig.decode_agent.stop()
            assert work_states(rig.decode_engine) == ["decoding"]
            cfg = settings(rig.decode_engine, reattach_ms=400)
            async with running(cfg) as successor, entry(successor) as channel:
                ledger = successor.capacity.capacity.ledger
                assert ledger.slots_used == 1
                if reattached:
                    message = idl.Reattach(key="k", attempt=1, next_sequence=1)
                    async with channel.stream(message) as replies:
                        text, end = await collect(replies)
                    expected = answer("tell me about k", 40)
                    assert (end.code, text) == ("", expected[len(" 123456") :])
                await until(
                    lambda: not rig.decode_engine.attempts,
                    CLEANUP_LIMIT_MS,
                )
                await until(lambda: not ledger.slots_used)
                late = await ask(channel, reserve())
                assert late.code == "stale_attempt"

    asyncio.run(run())


def prefills_of(rig, key):
    return [w for k, w in rig.prefill_engine.attempts.items() if k[0] == key]


def work_states(engine: Engine):
    return [work.state for work in engine.attempts.values()]
