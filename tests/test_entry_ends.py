"""Ends of model requests: leaving callers, refusals, deadlines, drains."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from gooseberrypost.errors import AccountLimited, TargetUnreachable
from gooseberrypost.wire.messages import idl
from tests.entry_fakes import TOKENS, hang, refuse, run
from tests.test_entry_model import cut_after, text_of


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
        assert len(rig.agents["p1"].messages_of(idl.Prefill)) == 1
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
        assert rig.agents["d2"].messages_of(idl.Decode)[0].max_tokens == 20

    run(scenario)
