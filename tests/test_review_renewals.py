"""Renewals of claims that are under way when a stalled stream goes on."""

from __future__ import annotations

import asyncio

import pytest
from result import Err

from gooseberrypost.claims.client import StoredAnswer
from gooseberrypost.entry import decoding
from gooseberrypost.errors import Superseded, UnknownOutcome
from gooseberrypost.state.claim import GrantRequest, Verdict
from gooseberrypost.state.claims import ShardClaims
from gooseberrypost.wire.messages import idl
from tests.entry_fakes import TOKENS, MemoryClaims, run
from tests.test_entry_model import text_of
from tests.test_entry_successors import TIMEOUT_MS, SilentRun

SETTLE_S = 0.05
"""Time in which an abandonment would be recorded."""


@pytest.fixture(autouse=True)
def short_timeouts(monkeypatch):
    """Let the entry notice silence early."""
    monkeypatch.setattr(decoding, "TOKEN_TIMEOUT_MS", TIMEOUT_MS)


class SlowClaims(MemoryClaims):
    """Claims whose renewals wait, and which complete no abandoned claim."""

    def __init__(self):
        super().__init__()
        self.renewing = asyncio.Event()
        self.may_renew = asyncio.Event()
        self.renews = True
        self.renewed = asyncio.Event()

    async def renew(self, req, attempt):
        self.renewing.set()
        await self.may_renew.wait()
        self.renewed.set()
        if not self.renews:
            return Err(UnknownOutcome("no claim owner replied"))
        return await super().renew(req, attempt)

    async def complete(self, key, attempt, answer):
        if self.abandoned:
            return Err(Superseded("abandoned"))
        # The owner takes the attempt before a renewal without a reply, too.
        return await super().complete(key, self.attempts[key], answer)


@pytest.mark.parametrize("renews", [True, False])
def test_stream_that_goes_on_during_a_renewal_keeps_its_claim(renews):
    """Guards against a sound stream whose own entry abandons its claim.

    The network of the entry fails for a while, so that the stream stalls and
    the renewal hangs. Then both go on, or the renewal fails.
    """

    async def scenario(rig):
        agent = rig.agents["d1"]
        claims = SlowClaims()
        claims.renews = renews
        rig.daemon.context.collaborators.claims = claims
        silent = SilentRun(agent)
        held = asyncio.Event()

        async def hold_end(session, correlation, message):
            await silent.speaks.wait()
            await agent.tokens(session, correlation, message, 2, len(TOKENS))
            await held.wait()
            end = idl.End(
                key=message.key,
                attempt=message.attempt,
                tokens=len(TOKENS),
                code="",
            )
            await session.send(correlation, end)

        agent.script[idl.Reattach] = [hold_end] * 100
        response = await rig.complete(stream=True).__aenter__()
        async with asyncio.timeout(5):
            await claims.renewing.wait()
        silent.speaks.set()
        received = b""
        async with asyncio.timeout(5):
            while TOKENS[-1].encode() not in received:
                received += await response.content.readany()
        claims.may_renew.set()
        async with asyncio.timeout(5):
            await claims.renewed.wait()
        await asyncio.sleep(SETTLE_S)
        assert claims.abandoned == []
        held.set()
        received += await response.content.read()
        assert text_of(received.decode()) == "".join(TOKENS)

    run(scenario)


def test_owner_completes_no_claim_that_its_holder_abandoned():
    """Guards against a fake above that is stricter than the owner."""
    shard = ShardClaims(shard=0, epoch=1)
    request = GrantRequest("k", b"d", True, 8_000)
    attempt = shard.claim(request, "e1/1", 0).attempt
    renewed = shard.renew("k", attempt, 1).attempt
    shard.abandon("k", renewed, False, 2)
    answer = StoredAnswer(200, b"answer", "text/plain")
    assert shard.complete("k", attempt, answer, 3).verdict is (
        Verdict.SUPERSEDED
    )
