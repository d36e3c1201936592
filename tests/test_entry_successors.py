"""Model requests that are let go only for a successor that is certain."""

from __future__ import annotations

import asyncio
import time

import pytest

from gooseberrypost.entry import decoding
from gooseberrypost.errors import Superseded, TimedOut
from gooseberrypost.wire.channel import Channel
from gooseberrypost.wire.dispatch import Dispatcher
from gooseberrypost.wire.listener import Listener
from gooseberrypost.wire.messages import idl
from tests.claim_cluster import entries, key_owned_by
from tests.entry_fakes import TOKENS, drop, hang, refuse, run
from tests.test_entry_model import crash, cut_after, text_of

TIMEOUT_MS = 50
"""Time without a token after which the entry reattaches, in ms."""
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
            grant = (await holder.claim(key)).unwrap()
            renew, renewed = owner.owner.renew, []

            def lose_reply(*args):
                renewed.append(renew(*args))
                if len(renewed) == 1:
                    for session in owner.listener.sessions:
                        session.abort()
                return renewed[-1]

            owner.owner.renew = lose_reply
            again = await holder.client.renew(key, grant.attempt)
            assert len(renewed) == 2
            assert again.unwrap().attempt == renewed[0].attempt
            stale = await holder.client.renew(key, grant.attempt - 1)
            assert isinstance(stale.unwrap_err(), Superseded)

    asyncio.run(main())


def test_renewal_waits_for_the_successor_of_a_lost_owner():
    """Guards against a stream that is cut by two losses at a time.

    Its engine has crashed, and so has the owner of its claim.
    """

    async def main():
        async with entries(3, owners=[0, 1], lease_ms=4_500) as cluster:
            owner, successor, holder = cluster
            key = key_owned_by(owner)
            grant = (await holder.claim(key)).unwrap()
            await owner.crash()
            renewed = await holder.client.renew(key, grant.attempt)
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
