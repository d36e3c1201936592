"""Engine memory is freed when a caller, entry or agent is gone."""

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
    rigged,
    running,
    settings,
    until,
)
from tests.standins.engine import Engine
from tests.standins.generation import answer

CANCEL = idl.Cancel(key="k", attempt=1)
LONG = "word " * 4_000
CANCEL_LIMIT_MS = 1_000
LOSS_LIMIT_MS = 5_000


@pytest.mark.parametrize("state", ["queued", "prefilling"])
def test_cancel_frees_a_prefill(state):
    """Guards against a prefill that goes on for a caller that has gone."""

    async def run():
        async with rigged(source={"prefill_tokens_per_s": 500}) as rig:
            first = "other" if state == "queued" else "k"
            async with rig.near.stream(prefill(first, prompt=LONG)):
                work = rig.source.works
                await until(lambda: work and next(iter(work.values())).state)
                async with rig.near.stream(prefill(prompt=LONG)) as replies:
                    await until(
                        lambda: (
                            [w.state == state for w in works(rig, "k")]
                            == [True]
                        )
                    )
                    await ask(rig.near, CANCEL)
                    await until(lambda: not works(rig, "k"), CANCEL_LIMIT_MS)
                    if state == "queued":
                        refused = (await replies.next(1_000)).unwrap()
                        assert refused.code == "caller_gone"

    asyncio.run(run())


def test_cancel_frees_a_prefill_result():
    """Guards against a KV cache that is kept for a caller that has gone."""

    async def run():
        async with rigged(source={"lives_ms": 60_000}) as rig:
            await rig.prepare()
            assert works(rig, "k")
            await ask(rig.near, CANCEL)
            await until(lambda: not works(rig, "k"), CANCEL_LIMIT_MS)

    asyncio.run(run())


@pytest.mark.parametrize("state", ["reserved", "transferring", "decoding"])
def test_cancel_frees_a_decode(state):
    """Guards against a slot held for a caller that has gone."""

    async def run():
        async with rigged(engine={"token_ms": 50}) as rig:
            rig.engine.switch("stall", state == "transferring")
            reserved, prefilled = await rig.prepare()
            if state == "reserved":
                await ask(rig.far, CANCEL)
                await until(rig.is_decoder_free, CANCEL_LIMIT_MS)
                late = await ask(rig.far, decode(reserved, prefilled))
                assert late.code == "stale_attempt"
                return
            req = decode(reserved, prefilled, max_tokens=400)
            async with rig.far.stream(req) as replies:
                await until(lambda: states(rig.engine) == [state])
                await ask(rig.far, CANCEL)
                await until(rig.is_decoder_free, CANCEL_LIMIT_MS)
                _, end = await collect(replies)
                assert end.code == "caller_gone"

    asyncio.run(run())


def test_cancel_frees_a_stream_that_is_read_slowly():
    """Guards against a caller that stops reading and holds a slot."""

    async def run():
        async with rigged(engine={"token_ms": 20}) as rig:
            reserved, prefilled = await rig.prepare()
            req = decode(reserved, prefilled, max_tokens=500)
            async with rig.far.stream(req) as replies:
                (await replies.next(1_000)).unwrap()
                # The entry stops reading its socket altogether.
                rig.far._reader._transport.pause_reading()
                await rig.far.send(CANCEL)
                await until(rig.is_decoder_free, CANCEL_LIMIT_MS)

    asyncio.run(run())


def test_a_cancel_that_overtakes_its_request_frees_it():
    """Guards against memory held by a request that reached the engine late."""

    async def run():
        async with rigged(engine={"token_ms": 20}, reattach_ms=300) as rig:
            agent = rig.decoder
            late = {
                "handle": (await rig.prepare())[1].handle,
                "source": rig.source.address,
                "max_tokens": 500,
                "first_sequence": 0,
            }
            await ask(rig.far, CANCEL)
            sent = asyncio.create_task(
                agent.backend.request_json(
                    "POST", "/decode", {"request": "k", "attempt": 1} | late
                )
            )
            await until(lambda: rig.engine.works)
            await until(rig.is_free, LOSS_LIMIT_MS)
            await sent

    asyncio.run(run())


@pytest.mark.parametrize("loss", ["closed", "silent"])
def test_an_entry_that_is_gone_holds_nothing(loss):
    """Guards against memory held for an entry that died or was paused."""

    async def run():
        async with rigged(
            engine={"token_ms": 200}, heartbeats=loss == "closed"
        ) as rig:
            await ask(rig.far, reserve("unused", ttl_ms=30_000))
            reserved, prefilled = await rig.prepare()
            async with rig.far.stream(
                decode(reserved, prefilled, max_tokens=200)
            ):
                await until(lambda: states(rig.engine) == ["decoding"])
                if loss == "closed":
                    await rig.far.close()
                await until(lambda: not rig.engine.works, LOSS_LIMIT_MS)
            async with entry(rig.decoder) as other:
                back = await ask(other, reserve("k", 1))
                assert back.code == "stale_attempt"
            if loss == "closed":
                await until(rig.is_free)

    asyncio.run(run())


def test_a_pause_of_the_agent_is_no_silence_of_its_entries():
    """Guards against an agent that wakes up and cancels everything."""

    async def run():
        async with rigged(engine={"token_ms": 20}) as rig:
            reserved, prefilled = await rig.prepare()
            async with rig.far.stream(decode(reserved, prefilled)) as replies:
                (await replies.next(1_000)).unwrap()
                (job,) = rig.decoder.context.attempts.running
                ownership = rig.decoder.execution._ownership
                job.session.last_heard_s -= 60
                ownership._enforced_ms -= 60_000
                ownership._resumed_ms -= 60_000
                rig.decoder.execution.upkeep()
                _, end = await collect(replies)
            assert end.code == ""

    asyncio.run(run())


def test_a_broken_connection_is_reattached_without_loss():
    """Guards against tokens lost or repeated when a connection breaks."""

    async def run():
        async with rigged(engine={"token_ms": 20}) as rig:
            reserved, prefilled = await rig.prepare()
            texts = []
            async with rig.far.stream(decode(reserved, prefilled)) as replies:
                for _ in range(5):
                    texts.append((await replies.next(1_000)).unwrap().text)
                await rig.far.close()
            async with entry(rig.decoder) as back:
                message = idl.Reattach(key="k", attempt=1, next_sequence=5)
                async with back.stream(message) as replies:
                    text, end = await collect(replies)
            assert end.code == ""
            assert "".join(texts) + text == answer("tell me about k", 20)

    asyncio.run(run())


def test_a_broken_engine_connection_is_resumed():
    """Guards against a stream that ends because one connection broke."""

    async def run():
        async with rigged(engine={"token_ms": 20}) as rig:
            reserved, prefilled = await rig.prepare()
            async with rig.far.stream(decode(reserved, prefilled)) as replies:
                (await replies.next(1_000)).unwrap()
                rig.engine.cut()
                text, end = await collect(replies)
            assert (end.code, end.tokens) == ("", 20)
            assert answer("tell me about k", 20).endswith(text)
            assert not rig.engine.crashes

    asyncio.run(run())


@pytest.mark.parametrize("reattached", [False, True])
def test_a_new_agent_reconciles_with_the_engine(reattached):
    """Guards against requests that outlive the agent that started them."""

    async def run():
        async with rigged(engine={"token_ms": 20}, reattach_ms=400) as rig:
            reserved, prefilled = await rig.prepare()
            async with rig.far.stream(
                decode(reserved, prefilled, max_tokens=40)
            ) as replies:
                (await replies.next(1_000)).unwrap()
                await rig.decoder.stop()
            assert states(rig.engine) == ["decoding"]
            cfg = settings(rig.engine, reattach_ms=400)
            async with running(cfg) as successor, entry(successor) as back:
                ledger = successor.capacity.capacity.ledger
                assert ledger.slots_used == 1
                if reattached:
                    message = idl.Reattach(key="k", attempt=1, next_sequence=1)
                    async with back.stream(message) as replies:
                        text, end = await collect(replies)
                    whole = answer("tell me about k", 40)
                    assert (end.code, text) == ("", whole[len(" 123456") :])
                await until(lambda: not rig.engine.works, LOSS_LIMIT_MS)
                await until(lambda: not ledger.slots_used)
                late = await ask(back, reserve())
                assert late.code == "stale_attempt"

    asyncio.run(run())


def works(rig, key):
    return [w for k, w in rig.source.works.items() if k[0] == key]


def states(engine: Engine):
    return [work.state for work in engine.works.values()]
