"""Planned changes of several engines of one service."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from gooseberrypost.policy.handover import (
    MAX_HANDOVER_MS,
    Neighbour,
    may_leave,
)
from gooseberrypost.sheet.schedule import Assignment
from gooseberrypost.wire.dispatch import Dispatcher
from gooseberrypost.wire.listener import Listener
from gooseberrypost.wire.messages import idl
from tests.agent_kit import until
from tests.test_schedule import CHANGE, ENGINE, due, planned

POOLS = [Assignment("prefill", "m"), Assignment("decode", "m")]
ENGINES = st.lists(
    st.tuples(st.sampled_from(POOLS), st.sampled_from(POOLS)),
    min_size=1,
    max_size=7,
)


@given(ENGINES, st.integers(0, 1_000))
def test_no_pool_is_left_empty_where_that_can_be_avoided(engines, seed):
    """Guards against two engines that both count on the other to stay.

    What an engine knows of the others may be as old as its last look.
    """
    rng = random.Random(seed)
    wanted = {f"e{n}": one for n, (_, one) in enumerate(engines)}
    serves = {f"e{n}": one for n, (one, _) in enumerate(engines)}
    expected = set(wanted.values()) & set(serves.values())
    alone = {
        pool: [n for n, one in serves.items() if one == pool] for pool in POOLS
    }
    swap = all(
        len(names) == 1 and wanted[names[0]] != pool
        for pool, names in alone.items()
    )
    seen, draining = {}, set()
    for _ in range(60 * len(engines)):
        name = rng.choice(sorted(wanted))
        if name in draining:
            draining.discard(name)
            serves[name] = wanted[name]
        elif serves[name] != wanted[name]:
            others = seen.pop(name, None)
            if others is None:
                seen[name] = [
                    Neighbour(n, serves[n], wanted[n])
                    for n in wanted
                    if n != name
                ]
            elif may_leave(name, serves[name], others, waited_ms=0):
                serves[name] = None
                draining.add(name)
        assert expected <= set(serves.values())
    assert swap or serves == wanted


def test_an_exchange_that_cannot_be_avoided_is_made_late():
    """Guards against two engines that wait for each other for ever."""
    other = Neighbour("e2", serves=POOLS[1], wanted=POOLS[0])
    assert not may_leave("e1", POOLS[0], [other], MAX_HANDOVER_MS - 1)
    assert may_leave("e1", POOLS[0], [other], MAX_HANDOVER_MS)


def test_an_agent_asks_before_its_engine_leaves():
    """Guards against the last decode engine that leaves by the clock."""

    async def run():
        load = idl.Load(draining=False)
        reply = idl.ProbeReply(role=idl.Role.PREFILL, model="m", load=load)
        asked = []

        async def probe(session, correlation, req):
            asked.append(req)
            await session.send(correlation, reply)

        dispatcher = Dispatcher()
        dispatcher.register(idl.Probe, probe)
        async with (
            Listener.serving("127.0.0.1:0", dispatcher) as listener,
            due([]) as rig,
        ):
            neighbour = replace(
                ENGINE, name="engine-0", agent_address=listener.address
            )
            planned(rig.configuration, CHANGE, neighbour=neighbour)
            rig.wall.ms += 1
            await rig.wall.read_again()
            await rig.wall.read_again()
            assert asked
            assert not rig.reasons
            assert not rig.engine.orders
            reply.role, load.draining = idl.Role.DECODE, True
            await rig.wall.read_again()
            await rig.wall.read_again()
            assert not rig.engine.orders
            load.draining = False
            await until(lambda: len(rig.engine.orders) == 2)

    asyncio.run(run())
