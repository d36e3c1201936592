"""Orders to the engine: fencing tokens, the agent lease, role changes."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import pytest

from gooseberrypost.wire.messages import idl
from tests.agent_kit import (
    MemoryStore,
    ask,
    collect,
    decode,
    entry,
    reserve,
    running,
    running_rig,
    settings,
    until,
)
from tests.standins.engine import Engine


class LeaseClock:
    """Monotonic clock in ms, set by the test."""

    def __init__(self):
        self.ms = 1_000

    def __call__(self):
        return self.ms


@asynccontextmanager
async def agent_and_entry(engine, store, clock=None, **changes):
    cfg = settings(engine, **changes)
    parts = {"store": store, "lease_clock_ms": clock or LeaseClock()}
    async with running(cfg, **parts) as agent, entry(agent) as channel:
        yield agent, channel


def order_message(fencing, kind="load_model", value="m2"):
    return idl.Order(kind=kind, value=value, fencing=fencing)


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_an_old_order_is_refused_for_every_engine(checks_fencing):
    """Guards against an order with an old fencing token being executed."""

    async def run():
        async with (
            Engine.serving(checks_fencing=checks_fencing) as engine,
            agent_and_entry(engine, MemoryStore()) as (agent, channel),
        ):
            await until(agent.lease.remaining_ms)
            assert await ask(channel, order_message(7)) == idl.Ok()
            refused = await ask(channel, order_message(6))
            assert refused.code == "stale_order"
            assert [o["fencing"] for o in engine.orders] == [7]

    asyncio.run(run())


def test_an_engine_that_checks_fencing_refuses_a_stale_order():
    """Guards against an order that only the engine knows to be stale.

    A new agent may not know the newest fencing token that the engine has seen.
    """

    async def run():
        async with (
            Engine.serving() as engine,
            agent_and_entry(engine, MemoryStore()) as (agent, channel),
        ):
            engine.fencing = 9
            await until(agent.lease.remaining_ms)
            assert (await ask(channel, order_message(8))).code == "stale_order"
            assert not engine.orders

    asyncio.run(run())


def test_epochs_rise_although_the_store_comes_back_older():
    """Guards against an agent whose orders its own server refuses as old.

    The store has lost the epoch of the agent's lease, and the lease.
    """

    async def run():
        store = MemoryStore()
        async with (
            Engine.serving() as engine,
            agent_and_entry(engine, store) as (agent, channel),
        ):
            copy, leases = dict(store.values), set(store.leases)
            await until(agent.lease.remaining_ms)
            assert await ask(channel, order_message(7)) == idl.Ok()
            epoch = agent.lease.epoch
            store.values, store.leases = copy, leases
            store.lapse(agent.lease._lease_id)
            for key in list(store.values):
                del store.values[key]
            await agent.lease.refresh()
            assert (await agent.lease.refresh()).is_ok()
            assert agent.lease.epoch > epoch
            assert await ask(channel, order_message(8)) == idl.Ok()

    asyncio.run(run())


def test_a_paused_agent_orders_nothing_after_its_lease():
    """Guards against an order sent after a pause longer than the lease."""

    async def run():
        clock, store = LeaseClock(), MemoryStore()
        async with (
            Engine.serving(checks_fencing=False) as engine,
            agent_and_entry(engine, store, clock) as (agent, channel),
        ):
            await until(agent.lease.remaining_ms)
            clock.ms += agent.cfg.lease_ms
            assert (await ask(channel, order_message(7))).code == "stale_order"
            assert not engine.orders
            store.lapse(1)
            cfg = {"lease_renewal_ms": 50}
            async with agent_and_entry(engine, store, **cfg) as (
                other,
                other_channel,
            ):
                await until(other.lease.remaining_ms)
                assert other.lease.epoch == agent.lease.epoch + 1
                assert await ask(other_channel, order_message(7)) == idl.Ok()
                await agent.lease.refresh()
                assert not agent.lease.remaining_ms()

    asyncio.run(run())


def test_a_lease_that_lapses_during_a_role_change_stops_it():
    """Guards against an order sent on a lease that lapsed during the drain."""

    async def run():
        clock = LeaseClock()
        async with (
            Engine.serving(checks_fencing=False) as engine,
            agent_and_entry(engine, MemoryStore(), clock) as (agent, channel),
        ):
            await until(agent.lease.remaining_ms)
            reserved = await ask(channel, reserve())
            change = order_message(7, "set_role", "prefill")
            async with channel.stream(change) as replies:
                await until(lambda: agent.lifecycle.lifecycle.drain_reasons)
                clock.ms += agent.cfg.lease_ms
                release = idl.ReleaseReservation(
                    reservation=reserved.reservation, key="k", attempt=1
                )
                await ask(channel, release)
                refused = (await replies.next(2_000)).unwrap()
            assert refused.code == "stale_order"
            assert not engine.orders

    asyncio.run(run())


def test_a_successor_waits_for_the_lease_of_its_predecessor():
    """Guards against two agents giving orders to the same engine."""

    async def run():
        store = MemoryStore()
        async with (
            Engine.serving() as engine,
            agent_and_entry(engine, store) as (first, _),
        ):
            await until(first.lease.remaining_ms)
            async with agent_and_entry(engine, store) as (second, channel):
                await second.lease.refresh()
                assert (
                    await ask(channel, order_message(7))
                ).code == "stale_order"
                await first.lease.stop()
                await second.lease.refresh()
                assert await ask(channel, order_message(7)) == idl.Ok()

    asyncio.run(run())


def test_a_successor_knows_the_orders_of_its_predecessor():
    """Guards against a restarted agent accepting an old fencing token."""

    async def run():
        store = MemoryStore()
        async with Engine.serving(checks_fencing=False) as engine:
            for fencing, code in ((7, None), (6, "stale_order"), (7, None)):
                async with agent_and_entry(engine, store) as (agent, channel):
                    await until(agent.lease.remaining_ms)
                    reply = await ask(channel, order_message(fencing))
                    assert getattr(reply, "code", None) == code
            assert [o["fencing"] for o in engine.orders] == [7, 7]

    asyncio.run(run())


def test_an_outage_shorter_than_the_lease_changes_nothing():
    """Guards against an agent that refuses orders after one failed renewal."""

    async def run():
        clock, store = LeaseClock(), MemoryStore()
        async with (
            Engine.serving() as engine,
            agent_and_entry(engine, store, clock) as (agent, channel),
        ):
            await until(agent.lease.remaining_ms)
            store.up = False
            clock.ms += agent.cfg.lease_ms // 2
            assert (await agent.lease.refresh()).is_err()
            assert await ask(channel, order_message(7)) == idl.Ok()
            clock.ms += agent.cfg.lease_ms // 2
            assert (await ask(channel, order_message(8))).code == "stale_order"

    asyncio.run(run())


def test_a_role_change_waits_for_running_requests():
    """Guards against a role change that interrupts a running stream."""

    async def run():
        async with running_rig(decode_options={"token_ms": 10}) as rig:
            lease = rig.decode_agent.lease
            lease._store, lease._clock_ms = MemoryStore(), LeaseClock()
            await lease.refresh()
            reserved, prefilled = await rig.prepare()
            async with rig.decode_channel.stream(
                decode(reserved, prefilled)
            ) as replies:
                (await replies.next(1_000)).unwrap()
                async with rig.decode_channel.stream(
                    order_message(7, "set_role", "prefill")
                ) as ordered_replies:
                    await until(
                        lambda: (
                            rig.decode_agent.lifecycle.lifecycle.drain_reasons
                        )
                    )
                    refused = await ask(rig.decode_channel, reserve("late"))
                    assert refused.code == "draining"
                    _, end = await collect(replies)
                    assert (end.code, end.tokens) == ("", 20)
                    done = (await ordered_replies.next(2_000)).unwrap()
            assert done == idl.Ok()
            assert [o["running"] for o in rig.decode_engine.orders] == [0]
            probe = await ask(
                rig.decode_channel, idl.Probe(service_name="llm")
            )
            assert probe.role == idl.Role.PREFILL
            assert (
                await ask(rig.decode_channel, reserve("late"))
            ).code == "no_capacity"

    asyncio.run(run())
