"""Stalled streams that go on or end before their successors are ready."""

from __future__ import annotations

import asyncio

import pytest
from result import Err, Ok

from gooseberrypost.claims.client import Grant, StoredAnswer
from gooseberrypost.entry import decoding
from gooseberrypost.errors import Superseded, UnknownOutcome
from gooseberrypost.state.claim import GrantRequest, Verdict
from gooseberrypost.state.claims import ShardClaims
from gooseberrypost.wire.messages import idl
from tests.entry_fakes import TOKENS, MemoryClaims, hang, refuse, run
from tests.test_entry_model import cut_after, text_of
from tests.test_entry_successors import TIMEOUT_MS, SilentRun

SETTLE_S = 0.05
"""Time in which an abandonment or another renewal would be recorded."""


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
        self.renewals = 0

    async def renew(self, req, attempt):
        self.renewals += 1
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


class ShardOwner(MemoryClaims):
    """Claims that an owner decides on, and whose renewals are slow.

    A renewal waits before it reaches the owner, or for its reply.
    """

    def __init__(self, is_reply_late, knows_predecessor):
        super().__init__()
        self.shard = ShardClaims(shard=0, epoch=1)
        self.renewing, self.may_renew = asyncio.Event(), asyncio.Event()
        self.verdicts = []
        self._is_reply_late = is_reply_late
        self._knows_predecessor = knows_predecessor

    async def claim(self, req):
        request = GrantRequest(req.key, req.digest, True, req.deadline_ms)
        decision = self.shard.claim(request, "e1/1", 0)
        return Ok(Grant(req.key, decision.attempt, False))

    async def renew(self, req, attempt):
        if self._is_reply_late:
            decision = self._renew(req.key, attempt)
        self.renewing.set()
        await self.may_renew.wait()
        if not self._is_reply_late:
            decision = self._renew(req.key, attempt)
        if decision.verdict is not Verdict.GRANTED:
            return Err(Superseded("renewal"))
        return Ok(Grant(req.key, decision.attempt, False))

    async def complete(self, key, attempt, answer):
        decision = self.shard.complete(key, attempt, answer, 2)
        self.verdicts.append(decision.verdict)
        if decision.verdict is Verdict.GRANTED:
            return Ok(None)
        self.may_renew.set()
        return Err(Superseded("completion"))

    def _renew(self, key, attempt):
        decision = self.shard.renew(key, attempt, 1)
        if not self._knows_predecessor:
            self.shard.claims[key].renewed_from = 0
        return decision


@pytest.mark.parametrize(
    ("is_reply_late", "knows_predecessor", "verdicts"),
    [
        (False, True, [Verdict.GRANTED]),
        (True, True, [Verdict.GRANTED]),
        (True, False, [Verdict.SUPERSEDED, Verdict.GRANTED]),
    ],
)
def test_stream_that_ends_during_a_renewal_is_completed_once(
    is_reply_late, knows_predecessor, verdicts
):
    """Guards against a sound stream that is cut, or completed twice (P2).

    The renewal reaches the owner after the completion, or its reply is late.
    The owner may be one that replayed the claim under its new number only.
    """

    async def scenario(rig):
        agent = rig.agents["d1"]
        claims = ShardOwner(is_reply_late, knows_predecessor)
        rig.daemon.context.collaborators.claims = claims
        silent = SilentRun(agent)
        response = await rig.complete(stream=True).__aenter__()
        async with asyncio.timeout(5):
            await claims.renewing.wait()
        silent.speaks.set()
        async with asyncio.timeout(5):
            assert text_of(await response.text()) == "".join(TOKENS)
        claims.may_renew.set()
        await rig.daemon.requests.idle()
        assert claims.verdicts == verdicts
        assert claims.abandoned == []

    run(scenario)


def test_caller_that_leaves_during_a_renewal_ends_the_renewed_claim():
    """Guards against a key that stays claimed after its caller has gone."""

    async def scenario(rig):
        claims = SlowClaims()
        rig.daemon.context.collaborators.claims = claims
        SilentRun(rig.agents["d1"])
        response = await rig.complete(stream=True, key="k1").__aenter__()
        async with asyncio.timeout(5):
            await claims.renewing.wait()
        response.close()
        await rig.daemon.requests.idle()
        assert claims.abandoned == []
        claims.may_renew.set()
        await rig.daemon.context.background.wait_or_cancel(5)
        await rig.daemon.context.background.wait_or_cancel(5)
        assert claims.abandoned == [("k1", 2, False)]

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


def test_ordinary_attempt_follows_a_successor_that_is_refused():
    """Guards against a wait for a successor that no other engine can take.

    The engine of the old run has capacity again.
    """

    async def scenario(rig):
        agent, other = rig.agents["d1"], rig.agents["d2"]
        is_known_lost = asyncio.Event()

        async def answer_late(session, correlation, message):
            await is_known_lost.wait()
            await refuse("stale_attempt")(session, correlation, message)

        async def refuse_late(session, correlation, message):
            await agent.wait_for(idl.Cancel)
            await refuse("no_capacity")(session, correlation, message)

        agent.script[idl.Decode] = [cut_after(agent, 2, hang)]
        agent.script[idl.Reattach] = [answer_late] * 100
        other.script[idl.Reserve] = [refuse_late] * 100
        response = await rig.complete(stream=True).__aenter__()
        await other.wait_for(idl.Reserve)
        is_known_lost.set()
        async with asyncio.timeout(5):
            assert text_of(await response.text()) == "".join(TOKENS)
        assert len(agent.messages_of(idl.Decode)) == 2

    run(scenario)


def test_run_lost_during_a_renewal_uses_its_grant():
    """Guards against two renewals of one claim at a time.

    The stream goes on for a token, so that its successor is dropped, and is
    lost before the owner has answered.
    """

    async def scenario(rig):
        agent, other = rig.agents["d1"], rig.agents["d2"]
        claims = SlowClaims()
        rig.daemon.context.collaborators.claims = claims
        is_known_lost = asyncio.Event()

        async def send_a_token(session, correlation, message):
            await claims.renewing.wait()
            await agent.tokens(session, correlation, message, 2, 3)
            await is_known_lost.wait()
            await refuse("stale_attempt")(session, correlation, message)

        agent.script[idl.Decode] = [cut_after(agent, 2, hang)]
        agent.script[idl.Reattach] = [send_a_token] * 100
        response = await rig.complete(stream=True).__aenter__()
        received = b""
        async with asyncio.timeout(5):
            while TOKENS[2].encode() not in received:
                received += await response.content.readany()
        is_known_lost.set()
        await agent.wait_for(idl.Cancel)
        await asyncio.sleep(SETTLE_S)
        assert claims.renewals == 1
        claims.may_renew.set()
        async with asyncio.timeout(5):
            received += await response.content.read()
        assert text_of(received.decode()) == "".join(TOKENS)
        [decode] = other.messages_of(idl.Decode)
        assert (decode.attempt, decode.first_sequence) == (2, 3)

    run(scenario)
