"""A begun stream that needs more memory than new generations."""

from __future__ import annotations

import asyncio

import pytest

from gooseberrypost.gateway.reserver import PendingReservation
from gooseberrypost.policy.enginememory import Run
from tests.version_kit import is_listed, run, serving_versions

SMALL, LARGE = 1_700, 3_400
RUNS = 4
"""Small runs that leave memory for another small one only."""
ENDS = 8
"""Runs that end; two of them leave memory for the large stream."""


@pytest.mark.parametrize("version", [None, "v1"])
def test_large_begun_stream_gets_memory_before_small_new_generations(version):
    """Guards against begun streams that starve beside new generations.

    New ones have no version, and the stream has one after its first event.
    """

    async def work():
        async with serving_versions() as kit:
            await kit.add("d", "llm", "decode", version="v1", slots=50)
            ctx = kit.daemon.context
            await kit.until(lambda: is_listed(ctx.directory.servers, "d"))
            running = [Run(SMALL, 10, 20) for _ in range(RUNS)]
            ctx.loads.of("d@1").runs.update(running)
            tasks = []

            def acquire(tokens: int, **changes) -> asyncio.Task:
                now_s = ctx.now_s()
                pending = PendingReservation(
                    first_event_due_s=now_s + 25.0,
                    abandon_s=now_s + 30.0,
                    deadline_s=now_s + 30.0,
                    tokens=tokens,
                    output=10,
                    service="llm",
                    run=Run(tokens, 10, 20),
                    **changes,
                )
                tasks.append(
                    asyncio.create_task(ctx.reservation_queue.acquire(pending))
                )
                running.append(pending.run)
                return tasks[-1]

            begun = acquire(LARGE, version=version, has_begun=True)
            await asyncio.sleep(0.1)
            for _ in range(ENDS):
                acquire(SMALL)
            await asyncio.sleep(0.1)
            for ended in running[:RUNS] + running[RUNS + 1 :][: ENDS - RUNS]:
                ctx.loads.of("d@1").runs.discard(ended)
                ctx.reservation_queue.wake()
                await asyncio.sleep(0.1)
                if begun.done():
                    break
            granted = sum(task.done() for task in tasks[1:])
            assert begun.done(), f"{granted} new generations got memory"
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    run(work)
