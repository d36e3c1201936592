"""Model requests through an entry and fake agents over real sockets."""

from __future__ import annotations

import asyncio
import json

import aiohttp
import pytest

from gooseberrypost.errors import AccountLimited, TargetUnreachable
from gooseberrypost.wire.messages import idl
from tests.entry_fakes import TOKENS, drop, hang, refuse, run


def events(body):
    """Parse the events of a stream; ``[DONE]`` stays text."""
    data = [e.removeprefix("data: ") for e in body.split("\n\n") if e]
    return [e if e == "[DONE]" else json.loads(e) for e in data]


def text_of(body, reason="stop"):
    parsed = events(body)
    assert parsed[-1] == "[DONE]"
    assert parsed[-2]["choices"][0]["finish_reason"] == reason
    return "".join(e["choices"][0]["text"] for e in parsed[:-1])


def test_a_stream_is_whole_and_recorded():
    """Guards against a lost token or an answer without its claim (P2, P3)."""

    async def scenario(rig):
        async with rig.complete(stream=True) as response:
            body = await response.text()
            key = response.headers["Idempotency-Key"]
        assert text_of(body) == "".join(TOKENS)
        assert rig.claims.answers[key].body.decode() == body
        assert (
            rig.metric("requests_total", service="llm", outcome="completed")
            == 1
        )
        release = await rig.agents["p1"].wait_for(idl.ReleasePrefill)
        assert release.handle == "h-1"
        assert rig.claims.abandoned == []

    run(scenario)


def test_chat_is_answered_whole_and_replayed():
    """Guards against answering a resend with a second run (P2)."""

    async def scenario(rig):
        message = {"role": "user", "content": "hello"}
        body = {"model": "m", "messages": [message]}
        headers = {"Idempotency-Key": "k1"}
        path = "/v1/chat/completions"
        bodies, outcomes = [], []
        for _ in range(2):
            async with rig.post(path, json=body, headers=headers) as response:
                bodies.append(await response.read())
                outcomes.append(response.headers["X-Gooseberrypost-Outcome"])
        answer = json.loads(bodies[0])["choices"][0]["message"]["content"]
        assert answer == "".join(TOKENS)
        assert bodies[0] == bodies[1]
        assert outcomes == ["completed", "duplicate"]
        assert len(rig.agents["p1"].of(idl.Prefill)) == 1
        async with rig.complete(key="k1") as response:
            error = (await response.json())["error"]
        assert (response.status, error["code"]) == (422, "key_reused")

    run(scenario)


def test_refused_reservations_and_prefills_go_to_the_next_engines():
    """Guards against a refusal ending a request that others can serve."""

    async def scenario(rig):
        full = idl.Load(slots=20, slots_used=20, pieces=1, pieces_used=1)
        rig.agents["d1"].script[idl.Reserve] = [
            refuse("no_capacity", load=full)
        ]
        rig.agents["p1"].script[idl.Prefill] = [refuse("draining")]
        async with rig.complete(stream=True) as response:
            assert text_of(await response.text()) == "".join(TOKENS)
        assert len(rig.agents["p2"].of(idl.Prefill)) == 1
        assert len(rig.agents["d2"].of(idl.Decode)) == 1
        assert len(rig.agents["d2"].of(idl.Reserve)) == 1
        assert rig.agents["d2"].of(idl.ReleaseReservation) == []
        seen = rig.daemon.fleet.candidates("llm", "decode")
        assert {v.name: v.slots_used for v in seen}["d1"] == 20

    run(scenario)


def test_without_a_prefill_engine_the_reservation_is_returned_first():
    """Guards against a late release that ends the reservation made next."""

    async def scenario(rig):
        for name in ("p1", "p2"):
            rig.agents[name].script[idl.Prefill] = [refuse("no_capacity")]
        async with rig.complete() as response:
            assert response.status == 200
        kinds = (idl.Reserve, idl.ReleaseReservation, idl.Decode)
        received = [type(m) for m in rig.agents["d1"].received]
        assert [k for k in received if k in kinds] == [
            idl.Reserve,
            idl.ReleaseReservation,
            idl.Reserve,
            idl.Decode,
        ]

    run(scenario)


def test_a_stalled_transfer_moves_to_a_fallback_engine():
    """Guards against a second prefill while the first result lives."""

    async def scenario(rig):
        rig.agents["d1"].script[idl.Decode] = [refuse("transfer_stalled")]
        async with rig.complete(stream=True) as response:
            assert text_of(await response.text()) == "".join(TOKENS)
        assert len(rig.agents["p1"].of(idl.Prefill)) == 1
        decode = rig.agents["d2"].of(idl.Decode)[0]
        assert (decode.handle, decode.attempt) == ("h-1", 1)
        await rig.agents["d1"].wait_for(idl.Cancel)

    run(scenario)


def test_an_expired_result_is_prefilled_again_as_a_new_attempt():
    """Guards against decoding from memory that was already freed."""

    async def scenario(rig):
        rig.agents["d1"].script[idl.Decode] = [refuse("handle_expired")]
        async with rig.complete(stream=True) as response:
            assert text_of(await response.text()) == "".join(TOKENS)
        attempts = [m.attempt for m in rig.agents["p1"].of(idl.Prefill)]
        assert attempts == [1, 2]

    run(scenario)


def cut_after(agent, count, then):
    """Scripted reply: ``count`` tokens, then another act."""

    async def act(session, correlation, message):
        await agent.tokens(session, correlation, message, 0, count)
        await then(session, correlation, message)

    return act


def test_a_broken_connection_is_reattached():
    """Guards against lost or repeated tokens at a reattachment (P3)."""

    async def scenario(rig):
        agent = rig.agents["d1"]
        agent.script[idl.Decode] = [cut_after(agent, 3, drop)]
        async with rig.complete(stream=True) as response:
            assert text_of(await response.text()) == "".join(TOKENS)
        reattach = agent.of(idl.Reattach)[0]
        assert reattach.attempt == 1 and reattach.next_sequence <= 3
        assert len(rig.agents["p1"].of(idl.Prefill)) == 1

    run(scenario)


async def crash(session, correlation, message):
    """Scripted reply: the engine crashed."""
    end = idl.End(
        key=message.key,
        attempt=message.attempt,
        tokens=0,
        code="engine_crashed",
        detail="",
    )
    await session.send(correlation, end)


def test_a_crash_in_decode_resumes_on_another_engine_as_suspect():
    """Guards against lost tokens and against unmarked suspects (P3, P9)."""

    async def scenario(rig):
        rig.claims.suspect = True
        agent = rig.agents["d1"]
        agent.script[idl.Decode] = [cut_after(agent, 3, crash)]
        async with rig.complete(stream=True) as response:
            assert text_of(await response.text()) == "".join(TOKENS)
        prefill = rig.agents["p1"].of(idl.Prefill)[1]
        assert prefill.generated == "".join(TOKENS[:3])
        reserve = rig.agents["d2"].of(idl.Reserve)[0]
        assert reserve.suspect and reserve.attempt == 2
        assert rig.agents["d2"].of(idl.Decode)[0].first_sequence == 3

    run(scenario)


def test_without_retry_budget_the_failure_is_told():
    """Guards against retries beyond the budget, and a false ``not-run``.

    Only the victims of a crash are placed again regardless (P9).
    """

    async def scenario(rig):
        rig.retries.allowed = False
        rig.agents["d1"].script[idl.Decode] = [refuse("execution_failed")]
        async with rig.complete() as response:
            error = (await response.json())["error"]
        assert (error["code"], error["outcome"]) == (
            "execution_failed",
            "failed",
        )
        assert rig.claims.abandoned[-1][1:] == (1, False)
        agent = rig.agents["d1"]
        act = refuse("execution_failed")
        agent.script[idl.Decode] = [cut_after(agent, 2, act)]
        async with rig.complete(stream=True) as response:
            last = events(await response.text())[-1]
        assert last["error"]["outcome"] == "failed"
        agent.script[idl.Decode] = [cut_after(agent, 2, crash)]
        async with rig.complete(stream=True) as response:
            assert text_of(await response.text()) == "".join(TOKENS)

    run(scenario)


@pytest.mark.parametrize(
    ("name", "kind"),
    [
        ("d1", idl.Reserve),
        ("p1", idl.Prefill),
        ("d1", idl.Decode),
        ("stream", idl.Decode),
    ],
)
def test_a_caller_that_leaves_cancels_the_stage_it_is_in(name, kind):
    """Guards against engine memory held for a caller that has gone (P1)."""

    async def scenario(rig):
        agent = rig.agents["d1" if name == "stream" else name]
        tokens = 2 if name == "stream" else 0
        agent.script[kind] = [
            cut_after(agent, tokens, hang) if tokens else hang
        ]
        asked = asyncio.create_task(
            rig.complete(stream=True, key="k1").__aenter__()
        )
        await agent.wait_for(kind)
        if tokens:
            response = await asked
            await response.content.readany()
            response.close()
        asked.cancel()
        cancel = await agent.wait_for(idl.Cancel)
        assert (cancel.key, cancel.attempt) == ("k1", 1)
        await rig.daemon.requests.idle()
        not_run = kind is idl.Reserve
        assert rig.claims.abandoned == [("k1", 1, not_run)]

    run(scenario)


def test_a_caller_that_does_not_read_is_cut_off():
    """Guards against engine memory held for a slow reader (P1)."""

    async def flood(session, correlation, message):
        for n in range(200):
            token = idl.Token(
                key=message.key, attempt=1, sequence=n, text="x" * 100_000
            )
            await session.send(correlation, token)

    async def scenario(rig):
        rig.agents["d1"].script[idl.Decode] = [flood]
        async with rig.complete(stream=True):
            await rig.agents["d1"].wait_for(idl.Cancel)
        assert (
            rig.metric("requests_total", service="llm", outcome="caller_gone")
            == 1
        )

    run(scenario, write_timeout_ms=200)


def test_a_superseded_attempt_sends_no_final_frame():
    """Guards against a second answer after another attempt took over (P2)."""

    async def scenario(rig):
        rig.claims.superseded = True
        async with rig.complete(stream=True) as response:
            with pytest.raises(aiohttp.ClientPayloadError):
                await response.text()
        async with rig.complete() as response:
            error = (await response.json())["error"]
        assert (response.status, error["code"]) == (409, "superseded")

    run(scenario)


def test_admission_refuses_before_any_prefill_but_replays_answers():
    """Guards against wasted prefill, and a false ``not-run`` (P4)."""

    async def scenario(rig):
        async with rig.complete(key="k1") as response:
            first = await response.read()
        rig.admission.refusal = TargetUnreachable("", retry_after_ms=1_200)
        async with rig.complete() as response:
            error = (await response.json())["error"]
        assert (response.status, error["outcome"]) == (503, "not-run")
        assert response.headers["Retry-After"] == "2"
        async with rig.complete(key="k1") as response:
            assert await response.read() == first
        assert len(rig.agents["p1"].of(idl.Prefill)) == 1
        rig.limiter.refusal = AccountLimited("", retry_after_ms=10)
        for key, outcome in ((None, "not-run"), ("k1", "unknown")):
            async with rig.complete(key=key) as response:
                assert response.status == 429
                error = (await response.json())["error"]
                assert error["outcome"] == outcome

    run(scenario)


def test_the_deadline_ends_a_request_and_frees_the_engines():
    """Guards against work past the deadline, and a false ``not-run``."""

    async def scenario(rig):
        rig.agents["p1"].script[idl.Prefill] = [hang]
        headers = {"X-Gooseberrypost-Deadline-Ms": "150"}
        async with rig.complete(headers=headers) as response:
            error = (await response.json())["error"]
        assert (response.status, error["outcome"]) == (504, "unknown")
        await rig.agents["p1"].wait_for(idl.Cancel)

    run(scenario)


def test_a_draining_entry_finishes_what_it_runs():
    """Guards against a shutdown that cuts off a request (P7)."""

    async def scenario(rig):
        agent, gate = rig.agents["d1"], asyncio.Event()

        async def wait(session, correlation, message):
            await gate.wait()
            await agent.decode(session, correlation, message)

        agent.script[idl.Decode] = [wait]
        asked = asyncio.create_task(rig.complete().__aenter__())
        await agent.wait_for(idl.Decode)
        drained = asyncio.create_task(rig.daemon.drain())
        async with rig.get("/readyz") as response:
            assert response.status == 503
        async with rig.complete() as response:
            assert (await response.json())["error"]["code"] == "draining"
        assert not drained.done()
        gate.set()
        response = await asked
        answer = (await response.json())["choices"][0]["text"]
        assert answer == "".join(TOKENS)
        await drained

    run(scenario)


def test_an_attempt_given_up_by_its_agent_is_replaced():
    """Guards against taking an agent's cancellation for the caller's."""

    async def scenario(rig):
        rig.agents["d1"].script[idl.Decode] = [refuse("caller_gone")]
        async with rig.complete(stream=True, max_tokens=20) as response:
            assert text_of(await response.text()) == "".join(TOKENS)
        assert rig.agents["d2"].of(idl.Decode)[0].max_tokens == 20

    run(scenario)
