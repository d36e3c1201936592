"""Probes of claim holders after a takeover."""

from __future__ import annotations

import asyncio

from gooseberrypost.claims.holders import (
    MAX_UNANSWERED_PROBES,
    Holder,
    HolderProber,
)
from gooseberrypost.wire.channel import ChannelPool
from gooseberrypost.wire.dispatch import Dispatcher
from gooseberrypost.wire.listener import Listener
from gooseberrypost.wire.messages import idl

HELLO = idl.Hello(
    process_kind="entry", name="e2", incarnation=2, zone="z", address=""
)


def probe_results(reply):
    """Probe incarnation 7 of an entry before and after its listener stops.

    The entry answers status requests with ``reply``, or not at all.
    """

    async def run():
        dispatcher = Dispatcher()

        async def reply_status(session, correlation, message):
            if reply is not None:
                await session.send(correlation, reply)

        dispatcher.register(idl.StatusRequest, reply_status)
        pool = ChannelPool(HELLO)
        prober = HolderProber(pool)
        async with Listener.serving("127.0.0.1:0", dispatcher) as listener:
            holder = str(Holder("e1", 7, listener.address))
            while_running = [
                await prober.is_lost(holder)
                for _ in range(MAX_UNANSWERED_PROBES)
            ]
        # The first probe may only detect that its connection is closed.
        after_stop = [
            await prober.is_lost(holder) for _ in range(MAX_UNANSWERED_PROBES)
        ]
        await pool.close()
        return while_running, any(after_stop)

    return asyncio.run(run())


def test_an_unreachable_replaced_or_unresponsive_holder_is_lost():
    """Guards against claims of a dead entry that stay running (P2)."""
    alive = idl.Status(name="e1", incarnation=7)
    replaced = idl.Status(name="e1", incarnation=8)
    assert probe_results(alive) == ([False, False, False], True)
    assert probe_results(replaced) == ([True, True, True], True)
    assert probe_results(None) == ([False, False, True], True)


def test_a_holder_without_an_address_is_not_lost():
    """Guards against orphaned claims of a process without a listener."""

    async def run():
        pool = ChannelPool(HELLO)
        assert not await HolderProber(pool).is_lost("e1/7/")
        await pool.close()

    asyncio.run(run())
