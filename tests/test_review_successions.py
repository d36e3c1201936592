"""Successors at an entry whose predecessor ends before they are ready."""

from __future__ import annotations

import asyncio

import pytest

from gooseberrypost.entry import decoding
from gooseberrypost.wire.messages import idl
from tests.entry_fakes import TOKENS, hang, refuse, run
from tests.test_entry_model import cut_after, text_of
from tests.test_entry_successors import TIMEOUT_MS


@pytest.fixture(autouse=True)
def short_timeouts(monkeypatch):
    """Let the entry notice silence early."""
    monkeypatch.setattr(decoding, "TOKEN_TIMEOUT_MS", TIMEOUT_MS)


@pytest.mark.parametrize("code", ["stale_attempt", "caller_gone"])
def test_successor_is_used_if_the_stalled_run_ends_before_it_is_ready(code):
    """Guards against a prefill that is thrown away when it is needed.

    The agent is out of reach, and then its successor process answers that it
    does not have the run.
    """

    async def scenario(rig):
        agent, other, source = (
            rig.agents[name] for name in ("d1", "d2", "p1")
        )
        is_known_lost, may_prefill = asyncio.Event(), asyncio.Event()

        async def answer_late(session, correlation, message):
            await is_known_lost.wait()
            await refuse(code)(session, correlation, message)

        async def prefill_late(session, correlation, message):
            await may_prefill.wait()
            await source.prefill(session, correlation, message)

        agent.script[idl.Decode] = [cut_after(agent, 2, hang)]
        agent.script[idl.Reattach] = [answer_late] * 100
        source.script[idl.Prefill] = [source.prefill, prefill_late]
        response = await rig.complete(stream=True).__aenter__()
        await source.wait_for(idl.Prefill, 2)
        is_known_lost.set()
        await agent.wait_for(idl.Cancel)
        may_prefill.set()
        assert text_of(await response.text()) == "".join(TOKENS)
        assert len(source.messages_of(idl.Prefill)) == 2
        [decode] = other.messages_of(idl.Decode)
        assert decode.attempt == 2

    run(scenario)
