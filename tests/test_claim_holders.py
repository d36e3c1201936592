"""Holders of claims after a takeover."""

from __future__ import annotations

import asyncio

from gooseberrypost.claims.holders import (
    MAX_SILENT_PROBES,
    Holder,
    HolderProbes,
)
from gooseberrypost.wire.channel import ChannelPool
from gooseberrypost.wire.dispatch import Dispatcher
from gooseberrypost.wire.listener import Listener
from gooseberrypost.wire.messages import idl

HELLO = idl.Hello(
    process_kind="entry", name="e2", incarnation=2, zone="z", address=""
)


def probe_of(reply):
    """Probes of incarnation 7 of an entry that replies so, then is gone."""

    async def run():
        dispatcher = Dispatcher()

        async def status(session, correlation, message):
            if reply is not None:
                await session.send(correlation, reply)

        dispatcher.register(idl.StatusRequest, status)
        pool = ChannelPool(HELLO)
        probes = HolderProbes(pool)
        async with Listener.serving("127.0.0.1:0", dispatcher) as listener:
            holder = str(Holder("e1", 7, listener.address))
            found = [
                await probes.is_lost(holder) for _ in range(MAX_SILENT_PROBES)
            ]
        # The first probe may only find that its connection is closed.
        gone = [await probes.is_lost(holder) for _ in range(MAX_SILENT_PROBES)]
        await pool.close()
        return found, any(gone)

    return asyncio.run(run())


def test_a_holder_is_lost_when_gone_replaced_or_silent():
    """Guards against claims that run on for an entry that died (P2)."""
    alive = idl.Status(name="e1", incarnation=7)
    replaced = idl.Status(name="e1", incarnation=8)
    assert probe_of(alive) == ([False, False, False], True)
    assert probe_of(replaced) == ([True, True, True], True)
    assert probe_of(None) == ([False, False, True], True)


def test_a_holder_without_an_address_is_not_judged():
    """Guards against a refused attempt of a process that only calls."""

    async def run():
        pool = ChannelPool(HELLO)
        assert not await HolderProbes(pool).is_lost("e1/7/")
        await pool.close()

    asyncio.run(run())
