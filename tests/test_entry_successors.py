"""Model requests that are let go only for a successor that is certain."""

from __future__ import annotations

import asyncio
import time

import pytest

from gooseberrypost.claims.client import (
    AnsweredBefore,
    ClaimRequest,
    StoredAnswer,
)
from gooseberrypost.entry import decoding
from gooseberrypost.errors import Quarantined, Superseded, TimedOut
from gooseberrypost.policy.suspects import Suspect
from gooseberrypost.wire.channel import Channel
from gooseberrypost.wire.dispatch import Dispatcher
from gooseberrypost.wire.listener import Listener
from gooseberrypost.wire.messages import idl
from tests.claim_cluster import entries, key_owned_by
from tests.entry_fakes import TOKENS, drop, hang, refuse, run
from tests.test_entry_model import crash, cut_after, events, text_of

ANSWER = StoredAnswer(200, b"answer", "text/plain")
TIMEOUT_MS = 50
"""Time without a token after which the entry reattaches, in ms."""
RENEWAL_INTERVAL_MS = 1_000
"""Longest time in which an entry renews a reservation, in ms."""
SILENCE_S = 0.6
"""Silence of a sound engine, longer than all reattachments take."""


@pytest.fixture(autouse=True)
def short_timeouts(monkeypatch):
    """Let the entry notice silence early."""
    monkeypatch.setattr(decoding, "TOKEN_TIMEOUT_MS", TIMEOUT_MS)


class SilentRun:
    """A run whose engine sends two tokens and then nothing for a while."""

    def __init__(self, agent):
        self._agent = agent
        self.speaks = asyncio.Event()
        agent.script[idl.Decode] = [cut_after(agent, 2, hang)]
        agent.script[idl.Reattach] = [self.continue_later] * 100

    async def continue_later(self, session, correlation, message):
        await self.speaks.wait()
        await self._agent.decode(session, correlation, message)


def test_stream_of_a_silent_engine_is_kept_without_capacity_elsewhere():
    """Guards against a run that is cancelled before another has capacity."""

    async def scenario(rig):
        agent, other = rig.agents["d1"], rig.agents["d2"]
        silent = SilentRun(agent)
        other.script[idl.Reserve] = [refuse("no_capacity")] * 100
        response = await rig.complete(stream=True).__aenter__()
        await other.wait_for(idl.Reserve)
        await asyncio.sleep(SILENCE_S)
        silent.speaks.set()
        assert text_of(await response.text()) == "".join(TOKENS)
        assert agent.messages_of(idl.Cancel) == []

    run(scenario)


def test_stream_of_a_silent_engine_is_kept_without_retry_budget():
    """Guards against a run that is cancelled before a retry is allowed."""

    async def scenario(rig):
        agent = rig.agents["d1"]
        rig.retries.allowed = False
        silent = SilentRun(agent)
        response = await rig.complete(stream=True).__aenter__()
        await agent.wait_for(idl.Reattach, 3)
        await asyncio.sleep(SILENCE_S)
        silent.speaks.set()
        assert text_of(await response.text()) == "".join(TOKENS)
        assert agent.messages_of(idl.Cancel) == []

    run(scenario)


def test_stream_goes_on_if_its_engine_speaks_before_the_successor_is_ready():
    """Guards against a second run beside one that goes on.

    What the successor held is given back.
    """

    async def scenario(rig):
        agent, other = rig.agents["d1"], rig.agents["d2"]
        silent = SilentRun(agent)
        rig.agents["p1"].script[idl.Prefill] = [
            rig.agents["p1"].prefill,
            hang,
        ]
        response = await rig.complete(stream=True).__aenter__()
        await rig.agents["p1"].wait_for(idl.Prefill, 2)
        silent.speaks.set()
        assert text_of(await response.text()) == "".join(TOKENS)
        assert (await other.wait_for(idl.Cancel)).attempt == 2
        assert other.messages_of(idl.Decode) == []
        assert agent.messages_of(idl.Cancel) == []

    run(scenario)


def test_caller_that_leaves_ends_a_stalled_stream_and_its_successor():
    """Guards against engine memory held for a caller that has gone (P1).

    Two attempts hold memory at that moment.
    """

    async def scenario(rig):
        agent, other = rig.agents["d1"], rig.agents["d2"]
        SilentRun(agent)
        rig.agents["p1"].script[idl.Prefill] = [
            rig.agents["p1"].prefill,
            hang,
        ]
        response = await rig.complete(stream=True, key="k1").__aenter__()
        await rig.agents["p1"].wait_for(idl.Prefill, 2)
        response.close()
        assert (await agent.wait_for(idl.Cancel)).attempt == 1
        assert (await other.wait_for(idl.Cancel)).attempt == 2
        assert (await rig.agents["p1"].wait_for(idl.Cancel)).attempt == 2
        await rig.daemon.requests.idle()
        assert rig.claims.abandoned == [("k1", 2, False)]

    run(scenario)


def test_deadline_ends_a_stalled_stream_without_a_successor():
    """Guards against a stalled stream that is kept past its deadline."""

    async def scenario(rig):
        agent = rig.agents["d1"]
        SilentRun(agent)
        rig.agents["d2"].script[idl.Reserve] = [refuse("no_capacity")] * 100
        headers = {"X-Gooseberrypost-Deadline-Ms": "1500"}
        async with rig.complete(stream=True, headers=headers) as response:
            assert events(await response.text())[-1]["error"]["code"] == (
                "timed_out"
            )
        assert (await agent.wait_for(idl.Cancel)).attempt == 1

    run(scenario)


def test_stream_of_a_hung_engine_continues_on_another():
    """Guards against lost or repeated tokens after a hung engine (P3)."""

    async def scenario(rig):
        agent, other = rig.agents["d1"], rig.agents["d2"]
        SilentRun(agent)
        async with rig.complete(stream=True) as response:
            assert text_of(await response.text()) == "".join(TOKENS)
        [decode] = other.messages_of(idl.Decode)
        assert (decode.attempt, decode.first_sequence) == (2, 2)
        assert (await agent.wait_for(idl.Cancel)).attempt == 1

    run(scenario)


def test_tries_of_a_stream_count_from_its_last_token():
    """Guards against a long stream that is let go after several pauses."""

    async def scenario(rig):
        agent = rig.agents["d1"]
        rig.retries.allowed = False

        async def one_token(session, correlation, message):
            n = message.next_sequence
            await agent.tokens(session, correlation, message, n, n + 1)

        agent.script[idl.Decode] = [cut_after(agent, 1, hang)]
        agent.script[idl.Reattach] = [one_token] * 5
        async with rig.complete(stream=True) as response:
            assert text_of(await response.text()) == "".join(TOKENS)
        assert agent.messages_of(idl.Cancel) == []

    run(scenario)


def test_stream_is_kept_while_its_agent_restarts():
    """Guards against a run that is given up while its agent is out of reach.

    No other engine has capacity, and the engine goes on with the run.
    """

    async def scenario(rig):
        agent, other = rig.agents["d1"], rig.agents["d2"]
        agent.script[idl.Decode] = [cut_after(agent, 2, drop)]
        agent.script[idl.Reattach] = [drop] * 8
        other.script[idl.Reserve] = [refuse("no_capacity")] * 100
        async with rig.complete(stream=True) as response:
            assert text_of(await response.text()) == "".join(TOKENS)
        assert len(agent.messages_of(idl.Reattach)) == 9
        assert agent.messages_of(idl.Cancel) == []

    run(scenario)


def test_stream_whose_agent_released_it_moves_without_retry_budget():
    """Guards against streams cut after a pause of their entry.

    An agent that hears nothing of an entry frees all that it runs for it, so
    that the streams move at once and exceed any budget.
    """

    async def scenario(rig):
        agent = rig.agents["d1"]
        rig.retries.allowed = False
        agent.script[idl.Decode] = [cut_after(agent, 2, refuse("caller_gone"))]
        async with rig.complete(stream=True) as response:
            assert text_of(await response.text()) == "".join(TOKENS)
        assert rig.agents["d2"].messages_of(idl.Decode)[0].first_sequence == 2

    run(scenario)


def test_stream_that_its_agent_no_longer_has_moves_without_retry_budget():
    """Guards against streams cut by the loss of their agent and engine.

    The process that replaces the agent knows nothing of the run.
    """

    async def scenario(rig):
        agent = rig.agents["d1"]
        rig.retries.allowed = False
        agent.script[idl.Decode] = [cut_after(agent, 2, drop)]
        agent.script[idl.Reattach] = [refuse("stale_attempt")]
        async with rig.complete(stream=True) as response:
            assert text_of(await response.text()) == "".join(TOKENS)
        assert rig.agents["d2"].messages_of(idl.Decode)[0].first_sequence == 2

    run(scenario)


@pytest.mark.parametrize("code", ["stale_attempt", "draining"])
def test_displaced_stream_moves_on_after_a_refusal(code):
    """Guards against a stream cut because its second engine ran nothing.

    Its reservation lapsed there, or the engine leaves, and no other one has
    capacity at that moment.
    """

    async def scenario(rig):
        agent, other = rig.agents["d1"], rig.agents["d2"]
        rig.retries.allowed = False
        agent.script[idl.Decode] = [cut_after(agent, 2, crash)]
        agent.script[idl.Reserve] = [agent.reserve, refuse("no_capacity")]
        other.script[idl.Decode] = [refuse(code)]
        async with rig.complete(stream=True) as response:
            assert text_of(await response.text()) == "".join(TOKENS)

    run(scenario)


def test_reply_that_waits_in_the_socket_is_not_late():
    """Guards against a process that takes its own pause for a peer's silence.

    Reservations, claims and token streams are given up for such a silence.
    """

    async def stand_still(session, correlation, message):
        time.sleep(0.3)  # noqa: ASYNC251
        await session.send(correlation, idl.Ok())

    async def main():
        dispatcher = Dispatcher()
        dispatcher.register(idl.Drain, stand_still)
        hello = idl.Hello(process_kind="entry", name="e1", incarnation=1)
        async with Listener.serving("127.0.0.1:0", dispatcher) as listener:
            channel = (await Channel.connect(listener.address, hello)).unwrap()
            reply = await channel.request(idl.Drain(draining=True), 100)
            assert isinstance(reply.unwrap(), idl.Ok)
            await channel.close()

    asyncio.run(main())


def test_peer_that_does_not_reply_is_late_also_after_a_pause():
    """Guards against a wait without end in a process that is often late."""

    async def main():
        dispatcher = Dispatcher()
        dispatcher.register(idl.Drain, hang)
        hello = idl.Hello(process_kind="entry", name="e1", incarnation=1)
        async with Listener.serving("127.0.0.1:0", dispatcher) as listener:
            channel = (await Channel.connect(listener.address, hello)).unwrap()
            request = channel.request(idl.Drain(draining=True), 100)
            waiting = asyncio.create_task(request)
            for _ in range(20):
                await asyncio.sleep(0.01)
                time.sleep(0.03)  # noqa: ASYNC251
            async with asyncio.timeout(1):
                assert isinstance((await waiting).unwrap_err(), TimedOut)
            await channel.close()

    asyncio.run(main())


def test_renewal_whose_reply_was_lost_is_repeated():
    """Guards against a stream whose holder counts as superseded by itself."""

    async def main():
        async with entries(2, owners=[0]) as (owner, holder):
            key = key_owned_by(owner)
            req = ClaimRequest(key, b"d", "s", True, 8_000)
            grant = (await holder.client.claim(req)).unwrap()
            renew, renewed = owner.owner.renew, []

            async def lose_reply(*args):
                renewed.append(await renew(*args))
                if len(renewed) == 1:
                    for session in owner.listener.sessions:
                        session.abort()
                return renewed[-1]

            owner.owner.renew = lose_reply
            again = await holder.client.renew(req, grant.attempt)
            assert len(renewed) == 2
            assert again.unwrap().attempt == renewed[0].attempt
            stale = await holder.client.renew(req, grant.attempt - 1)
            assert isinstance(stale.unwrap_err(), Superseded)

    asyncio.run(main())


def test_run_completes_although_its_renewal_got_no_reply():
    """Guards against a stream without an end whose old run went on.

    Its entry asked for a successor, got none, and kept the run.
    """

    async def main():
        async with entries(2, owners=[0]) as (owner, holder):
            key = key_owned_by(owner)
            grant = (await holder.claim(key)).unwrap()
            shard = owner.owner.shard_for(key)
            renewed = await shard.renew(key, grant.attempt)
            assert renewed.attempt > grant.attempt
            client = holder.client
            lower = await client.complete(key, grant.attempt - 1, ANSWER)
            assert isinstance(lower.unwrap_err(), Superseded)
            assert (await client.complete(key, grant.attempt, ANSWER)).is_ok()
            again = (await holder.claim(key)).unwrap_err()
            assert isinstance(again, AnsweredBefore)

    asyncio.run(main())


def test_minted_key_is_renewed_after_its_shard_moved():
    """Guards against a stream cut by a planned stop and the loss of an engine.

    The owner of its claim has stopped and released its shards, and then the
    engine is lost. Its key was minted for it, as the caller sent none.
    """

    async def main():
        async with entries(3, owners=[0, 1]) as (owner, _, holder):
            key = next(iter(owner.owner.section.shards.values())).claims.mint(
                owner.rng
            )
            req = ClaimRequest(key, b"d", "s", True, 8_000)
            grant = (await holder.client.claim(req)).unwrap()
            await owner.owner.stop()
            renewed = await holder.client.renew(req, grant.attempt)
            number = renewed.unwrap().attempt
            assert number > grant.attempt
            done = await holder.client.complete(key, number, ANSWER)
            assert done.is_ok()

    asyncio.run(main())


def test_minted_key_of_convicted_content_is_not_renewed_after_a_move():
    """Guards against a third crash because a shard moved between (P9)."""

    async def main():
        async with entries(3, owners=[0, 1]) as (owner, successor, holder):
            key = next(iter(owner.owner.section.shards.values())).claims.mint(
                owner.rng
            )
            req = ClaimRequest(key, b"d", "s", True, 8_000)
            grant = (await holder.client.claim(req)).unwrap()
            await owner.owner.stop()
            for number in range(2):
                successor.owner.evidence_store.report(
                    f"crash{number}", f"engine{number}", {b"d": Suspect()}
                )
            renewed = await holder.client.renew(req, grant.attempt)
            assert isinstance(renewed.unwrap_err(), Quarantined)

    asyncio.run(main())


def test_renewed_minted_key_is_completed_at_the_owner_after_the_next():
    """Guards against a stream without an end when its shard moves twice."""

    async def main():
        async with entries(4, owners=[0, 1, 2]) as cluster:
            holder = cluster[3]
            first = cluster[0].owner
            key = next(iter(first.section.shards.values())).claims.mint(
                holder.rng
            )
            req = ClaimRequest(key, b"d", "s", True, 8_000)
            grant = (await holder.client.claim(req)).unwrap()
            await first.stop()
            renewed = (await holder.client.renew(req, grant.attempt)).unwrap()
            second = next(
                e.owner for e in cluster[1:3] if e.owner.shard_for(key)
            )
            await second.stop()
            done = await holder.client.complete(key, renewed.attempt, ANSWER)
            assert done.is_ok()

    asyncio.run(main())


def test_renewal_waits_for_the_successor_of_a_lost_owner():
    """Guards against a stream that is cut by two losses at a time.

    Its engine has crashed, and so has the owner of its claim.
    """

    async def main():
        async with entries(3, owners=[0, 1], lease_ms=4_500) as cluster:
            owner, successor, holder = cluster
            key = key_owned_by(owner)
            req = ClaimRequest(key, b"d", "s", True, 8_000)
            grant = (await holder.client.claim(req)).unwrap()
            await owner.crash()
            renewed = await holder.client.renew(req, grant.attempt)
            assert renewed.unwrap().attempt > grant.attempt
            assert successor.owner.shard_for(key) is not None

    asyncio.run(main())


def test_call_that_lost_its_server_waits_for_another():
    """Guards against a begun call that ends because all servers are busy.

    Its caller cannot know whether it ran, and there is time until the
    deadline.
    """

    async def scenario(rig):
        first, second = rig.agents["s1"], rig.agents["s2"]
        lost = []

        async def lose_once(session, correlation, message):
            if lost:
                return await refuse("no_capacity")(
                    session, correlation, message
                )
            lost.append(message)
            session.abort()

        for agent in (first, second):
            agent.script[idl.Call] = [lose_once] * 2
            agent.script[idl.Revoke] = [agent.revoke] * 10
        async with rig.post("/services/desk/check", data=b"x") as response:
            assert (response.status, await response.text()) == (201, "got x")
        assert lost

    run(scenario)


def test_reservation_is_renewed_while_a_prefill_is_late():
    """Guards against a prefill that is computed for a place that is gone.

    The engine queue is longer than the entry expected.
    """

    async def scenario(rig):
        p1, d1 = rig.agents["p1"], rig.agents["d1"]

        async def prefill_late(session, correlation, message):
            await d1.wait_for(idl.Reserve, 3)
            await p1.prefill(session, correlation, message)

        p1.script[idl.Prefill] = [prefill_late]
        async with rig.complete(stream=True) as response:
            assert text_of(await response.text()) == "".join(TOKENS)
        renewals = d1.messages_of(idl.Reserve)
        assert {m.attempt for m in renewals} == {1}
        assert all(m.ttl_ms > RENEWAL_INTERVAL_MS for m in renewals)

    run(scenario)
