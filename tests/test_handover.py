"""Handover: scheduled role changes of several engines of one service."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from gooseberrypost.policy.handover import (
    MAX_HANDOVER_WAIT_MS,
    PeerEngine,
    may_leave_pool,
)
from gooseberrypost.sheet.schedule import Assignment
from gooseberrypost.wire.dispatch import Dispatcher
from gooseberrypost.wire.listener import Listener
from gooseberrypost.wire.messages import idl
from tests.agent_kit import until
from tests.test_schedule import (
    ENGINE,
    SCHEDULED_CHANGE,
    apply_schedule,
    scheduled_agent,
)

POOLS = [Assignment("prefill", "m"), Assignment("decode", "m")]
ENGINES = st.lists(
    st.tuples(st.sampled_from(POOLS), st.sampled_from(POOLS)),
    min_size=1,
    max_size=7,
)


@given(ENGINES, st.integers(0, 1_000))
def test_no_pool_is_left_empty_where_that_can_be_avoided(engines, seed):
    """Guards against two engines that each rely on the other to stay.

    Each engine decides on the state of the others when it last checked.
    """
    rng = random.Random(seed)
    assigned = {f"e{n}": one for n, (_, one) in enumerate(engines)}
    serving = {f"e{n}": one for n, (one, _) in enumerate(engines)}
    expected = set(assigned.values()) & set(serving.values())
    members = {
        pool: [n for n, one in serving.items() if one == pool]
        for pool in POOLS
    }
    swap = all(
        len(names) == 1 and assigned[names[0]] != pool
        for pool, names in members.items()
    )
    seen, draining = {}, set()
    for _ in range(60 * len(engines)):
        name = rng.choice(sorted(assigned))
        if name in draining:
            draining.discard(name)
            serving[name] = assigned[name]
        elif serving[name] != assigned[name]:
            others = seen.pop(name, None)
            if others is None:
                seen[name] = [
                    PeerEngine(n, serving[n], assigned[n])
                    for n in assigned
                    if n != name
                ]
            elif may_leave_pool(name, serving[name], others, waited_ms=0):
                serving[name] = None
                draining.add(name)
        assert expected <= set(serving.values())
    assert swap or serving == assigned


def test_an_unavoidable_exchange_happens_after_the_longest_wait():
    """Guards against a deadlock of two engines that wait for each other."""
    other = PeerEngine("e2", serving=POOLS[1], assigned=POOLS[0])
    assert not may_leave_pool(
        "e1", POOLS[0], [other], MAX_HANDOVER_WAIT_MS - 1
    )
    assert may_leave_pool("e1", POOLS[0], [other], MAX_HANDOVER_WAIT_MS)


def test_an_agent_probes_its_peers_before_its_engine_leaves():
    """Guards against the last decode engine leaving at its scheduled time."""

    async def run():
        load = idl.Load(draining=False)
        reply = idl.ProbeReply(role=idl.Role.PREFILL, model="m", load=load)
        probes = []

        async def probe(session, correlation, req):
            probes.append(req)
            await session.send(correlation, reply)

        dispatcher = Dispatcher()
        dispatcher.register(idl.Probe, probe)
        async with (
            Listener.serving("127.0.0.1:0", dispatcher) as listener,
            scheduled_agent([]) as rig,
        ):
            peer = replace(
                ENGINE, name="engine-0", agent_address=listener.address
            )
            apply_schedule(rig.configuration, SCHEDULED_CHANGE, peer=peer)
            rig.wall.ms += 1
            await rig.wall.wait_for_reads()
            await rig.wall.wait_for_reads()
            assert probes
            assert not rig.drain_reasons
            assert not rig.engine.orders
            reply.role, load.draining = idl.Role.DECODE, True
            await rig.wall.wait_for_reads()
            await rig.wall.wait_for_reads()
            assert not rig.engine.orders
            load.draining = False
            await until(lambda: len(rig.engine.orders) == 2)

    asyncio.run(run())
