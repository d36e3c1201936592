"""Order in which streams that have begun get memory beside new ones."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberrypost.gateway.reserver import PendingReservation
from gooseberrypost.policy.queueorder import (
    QueuedGeneration,
    queue_order,
    queue_rank_ms,
)
from tests.standins.versioned_engine import VersionedEngine
from tests.version_kit import is_listed, run, serving_versions

NEW_GENERATIONS = 6
due_times_s = st.floats(-60, 90)


class EngineWithOnePlace(VersionedEngine):
    """Grants one reservation once it has room."""

    def _control(self, request):
        answer = super()._control(request)
        if request.target == "/-/hold-take":
            self.has_room = False
        return answer


@given(due_times_s, due_times_s, st.floats(0, 5))
def test_begun_stream_ranks_before_every_new_generation(
    begun_due_s, new_due_s, delay_s
):
    """Guards against begun streams that wait until their clients leave.

    Their next event is due when the client leaves, later than the first
    events of new generations.
    """
    begun = QueuedGeneration(begun_due_s, 90.0, 1, has_begun=True)
    new = QueuedGeneration(new_due_s, 90.0, 1)
    assert queue_order([new, begun], 0.0, delay_s) == [begun, new]
    begun_rank_ms = queue_rank_ms(begun, 0.0, delay_s)
    assert begun_rank_ms < queue_rank_ms(new, 0.0, delay_s)


def test_begun_stream_does_not_pass_a_higher_priority():
    """Guards against bulk streams before interactive requests."""
    begun = QueuedGeneration(1.0, 2.0, 1, priority=1, has_begun=True)
    new = QueuedGeneration(1.0, 2.0, 1, priority=0)
    assert queue_order([begun, new], 0.0, 0.1) == [new, begun]


@pytest.mark.parametrize("version", [None, "v1"])
def test_begun_stream_gets_the_only_place(version):
    """Guards against new generations that take the place of a begun stream.

    All wait at one gateway, new ones for any version or for that of the
    stream.
    """

    async def work():
        async with serving_versions() as kit:
            engine = await kit.add(
                "d", "llm", "decode", EngineWithOnePlace, version="v1"
            )
            engine.has_room = False
            ctx = kit.daemon.context
            await kit.until(lambda: is_listed(ctx.directory.servers, "d"))

            def pending(due_in_s: float, **changes) -> PendingReservation:
                return PendingReservation(
                    first_event_due_s=ctx.now_s() + due_in_s,
                    abandon_s=ctx.now_s() + 5.0,
                    tokens=100,
                    output=10,
                    service="llm",
                    **changes,
                )

            waiting = [
                pending(0.9, version=version) for _ in range(NEW_GENERATIONS)
            ]
            begun = pending(2.0, version="v1", has_begun=True)
            tasks = [
                asyncio.create_task(ctx.reservation_queue.acquire(one))
                for one in (*waiting, begun)
            ]
            await asyncio.sleep(0.1)
            engine.has_room = True
            await kit.until(lambda: any(task.done() for task in tasks))
            assert [task.done() for task in tasks] == [
                *[False] * NEW_GENERATIONS,
                True,
            ]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    run(work)
