"""Tests of what the agent refuses and of what it never runs twice."""

from __future__ import annotations

import asyncio
import logging

import pytest

from gooseberrypost.state.prefix import BLOCK_TOKENS, prefix_hashes
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
from tests.standins.plain import PlainService


def test_the_engine_is_never_given_more_requests_than_slots():
    """Guards against more reservations than the engine has slots."""

    async def run():
        async with running_rig(decode_options={"slots": 4}, slots=4) as rig:
            replies = await asyncio.gather(
                *(ask(rig.decode_channel, reserve(f"k{n}")) for n in range(10))
            )
            refused = [r for r in replies if isinstance(r, idl.Refused)]
            assert [r.code for r in refused] == ["no_capacity"] * 6
            assert refused[0].load.slots_used == 4
            assert not rig.decode_engine.oversold

    asyncio.run(run())


def test_waiting_prefill_results_occupy_no_slots():
    """Guards against a prefill rate limited by the lifetime of the results."""

    async def run():
        async with running_rig(slots=2) as rig:
            for n in range(6):
                assert (
                    await ask(rig.prefill_channel, prefill(f"k{n}"))
                ).handle
            assert len(rig.prefill_engine.attempts) > 2

    asyncio.run(run())


def test_two_suspects_never_run_together():
    """Guards against a crash that cannot be attributed to a single suspect."""

    async def run():
        async with running_rig() as rig:
            first = await ask(rig.decode_channel, reserve("a", suspect=True))
            assert first.load.suspects == 1
            second = await ask(rig.decode_channel, reserve("b", suspect=True))
            assert second.code == "no_capacity"
            assert (await ask(rig.decode_channel, reserve("c"))).reservation
            req = prefill("d", suspect=True)
            assert (await ask(rig.prefill_channel, req)).handle
            req = prefill("e", suspect=True)
            assert (await ask(rig.prefill_channel, req)).code == "no_capacity"

    asyncio.run(run())


def test_a_revoked_call_that_arrives_late_is_never_executed():
    """Guards against a call that runs after it was reported as not run.

    Its message arrives after the entry has revoked the attempt. An agent
    process must not report this for messages sent to another process.
    """

    async def run():
        async with (
            PlainService.serving() as service,
            running(settings(service, "plain")) as agent,
            entry(agent) as channel,
        ):
            seen = (await ask(channel, idl.Probe())).load.incarnation
            revoke = idl.Revoke(key="k", attempt=1, incarnation=seen)
            assert (await ask(channel, revoke)).never_started
            assert (await ask(channel, call())).code == "stale_attempt"
            assert not service.executions
            await ask(channel, call("ran"))
            revoke = idl.Revoke(key="ran", attempt=1, incarnation=seen)
            assert not (await ask(channel, revoke)).never_started
            for former in (seen + 1, None):
                revoke = idl.Revoke(key="x", attempt=1, incarnation=former)
                assert not (await ask(channel, revoke)).never_started

    asyncio.run(run())


def test_a_refused_call_never_starts_later():
    """Guards against a call that runs after the agent has refused it."""

    async def run():
        async with (
            PlainService.serving() as service,
            running(settings(service, "plain", slots=1)) as agent,
            entry(agent) as channel,
        ):
            service.slow_ms = 200
            async with channel.stream(call("first")) as replies:
                await until(lambda: service.running)
                assert (await ask(channel, call())).code == "no_capacity"
                (await replies.next(2_000)).unwrap()
            assert (await ask(channel, call())).code == "stale_attempt"
            assert service.executions == {"first": 1}

    asyncio.run(run())


@pytest.mark.parametrize("method", ["POST", "PUT", "DELETE"])
def test_a_call_whose_answer_is_lost_is_not_sent_again(method):
    """Guards against an HTTP client that retries a call on its own."""

    async def run():
        async with (
            PlainService.serving() as service,
            running(settings(service, "plain")) as agent,
            entry(agent) as channel,
        ):
            service.drop = True
            reply = await ask(channel, call(method=method))
            assert reply.code in ("connection_lost", "outcome_unknown")
            assert service.executions == {"k": 1}
            again = await ask(channel, call(attempt=2))
            assert again.code == "outcome_unknown"
            assert service.executions == {"k": 1}

    asyncio.run(run())


def test_a_call_outlives_its_entry():
    """Guards against a call that is interrupted when its entry disconnects."""

    async def run():
        async with (
            PlainService.serving() as service,
            running(settings(service, "plain", reattach_ms=50)) as agent,
        ):
            service.slow_ms = 400
            async with entry(agent) as channel, channel.stream(call()):
                await until(lambda: service.running)
            assert agent.context.attempts.running
            await until(lambda: not agent.context.attempts.running)
            assert service.executions == {"k": 1}
            assert not service.running

    asyncio.run(run())


def test_a_malformed_message_reserves_nothing():
    """Guards against slots leaked by messages with invalid fields."""

    async def run():
        async with running_rig() as rig:
            for message, code in (
                (idl.Reserve(), "malformed_request"),
                (reserve(attempt=0), "malformed_request"),
                (reserve(pieces=-1), "malformed_request"),
                (idl.Prefill(key="k", attempt=1), "deadline_passed"),
                (idl.Decode(key="k", attempt=1), "deadline_passed"),
                (call(), "not_run"),
                (idl.Order(), "malformed_request"),
                (idl.Order(kind="set_role", value="x"), "malformed_request"),
                (idl.ConfigDelta(), "protocol_failure"),
            ):
                assert (await ask(rig.decode_channel, message)).code == code
            assert rig.is_free()

    asyncio.run(run())


def test_each_decision_is_one_log_line(caplog):
    """Guards against refusals and cancels that are logged without a reason."""

    async def run():
        async with running_rig(slots=1) as rig:
            await ask(rig.decode_channel, reserve())
            await ask(rig.decode_channel, reserve("b"))
            await ask(rig.decode_channel, idl.Cancel(key="k", attempt=1))
            await ask(rig.decode_channel, idl.Drain(draining=True))
            order = idl.Order(kind="load_model", value="m", fencing=3)
            await ask(rig.decode_channel, order)

    with caplog.at_level(logging.INFO, logger="absl"):
        asyncio.run(run())
    for line in (
        "event=admit key=k attempt=1 phase=reserve",
        "event=refuse key=b attempt=1 reason=no_capacity "
        'detail="all 1 slots are taken"',
        "event=cancel key=k attempt=1 phase=none reason=cancel",
        "event=drain draining=True wanted=True reason=operator",
        "event=order kind=load_model value=m fencing=3 reason=stale_order "
        'detail="the lease of this agent is not valid"',
    ):
        assert caplog.messages.count(line) == 1


def test_a_higher_attempt_replaces_a_lower_one():
    """Guards against two attempts of a request that both hold memory."""

    async def run():
        async with running_rig(decode_options={"token_ms": 20}) as rig:
            reserved, prefilled = await rig.prepare()
            req = decode(reserved, prefilled, max_tokens=500)
            async with rig.decode_channel.stream(req) as replies:
                (await replies.next(1_000)).unwrap()
                assert (
                    await ask(rig.decode_channel, reserve(attempt=2))
                ).reservation
                _, end = await collect(replies)
                assert end.code == "caller_gone"
                await until(lambda: not rig.decode_engine.attempts)
            assert (
                await ask(rig.decode_channel, reserve())
            ).code == "stale_attempt"

    asyncio.run(run())


def test_cached_prefixes_are_probed():
    """Guards against placement without regard to cached prefixes."""

    async def run():
        async with running_rig(prefill_options={"event_lag_ms": 0}) as rig:
            prompt = "word " * (3 * BLOCK_TOKENS + 1)
            hashes = prefix_hashes(prompt)
            probe = idl.Probe(service_name="llm", prefix_hashes=hashes)
            assert (await ask(rig.prefill_channel, probe)).cached_tokens == 0
            await ask(rig.prefill_channel, prefill(prompt=prompt))
            view = rig.prefill_agent.cache.cache.view
            await until(lambda: view.cached_tokens(hashes))
            reply = await ask(rig.prefill_channel, probe)
            assert reply.cached_tokens == 3 * BLOCK_TOKENS
            again = await ask(
                rig.prefill_channel, prefill("k2", prompt=prompt)
            )
            assert again.cached_tokens == 3 * BLOCK_TOKENS

    asyncio.run(run())
