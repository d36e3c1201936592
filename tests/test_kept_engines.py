"""What an interrupted stream costs the generations behind it."""

from __future__ import annotations

import asyncio

from gooseberrypost.policy.enginememory import Run
from gooseberrypost.policy.serverload import ServerLoads
from tests.test_large_streams import LARGE, SMALL
from tests.test_successor_queue import DUE_S, Queue, is_granted
from tests.version_kit import is_listed, run, serving_versions


def test_one_interrupted_stream_keeps_one_engine_from_new_generations():
    """Guards against a fleet that stands still for a single stream.

    Each engine has memory for a small generation, and none for the stream.
    """

    async def work():
        async with serving_versions() as kit:
            names = "defghi"
            for name in names:
                await kit.add(name, "llm", "decode", version="v1", slots=50)
            ctx = kit.daemon.context
            for name in names:
                await kit.until(
                    lambda name=name: is_listed(ctx.directory.servers, name)
                )
                ctx.loads.of(f"{name}@1").runs.update(
                    Run(SMALL, 10, 20) for _ in range(4)
                )
            waiting = Queue(kit)
            waiting.acquire(
                waiting.pending(
                    3.0,
                    tokens=LARGE,
                    run=Run(LARGE, 10, 20),
                    version="v1",
                    has_begun=True,
                )
            )
            await asyncio.sleep(0.1)
            new = [
                waiting.acquire(
                    waiting.pending(
                        DUE_S, tokens=SMALL, run=Run(SMALL, 10, 20)
                    )
                )
                for _ in range(4)
            ]
            granted = [await is_granted(task) for task in new]
            for task in waiting.tasks:
                task.cancel()
            await asyncio.gather(*waiting.tasks, return_exceptions=True)
            assert any(granted), f"{sum(granted)} of {len(new)} granted"

    run(work)


def test_new_generation_is_refused_at_once_if_all_memory_is_kept():
    """Guards against clients that wait in vain, and are refused late.

    An interrupted stream waits for the only engine, which has no memory
    for it.
    """

    async def work():
        async with serving_versions() as kit:
            await kit.add("d", "llm", "decode", version="v1", slots=50)
            ctx = kit.daemon.context
            await kit.until(lambda: is_listed(ctx.directory.servers, "d"))
            ctx.loads.of("d@1").runs.update(
                Run(SMALL, 10, 20) for _ in range(4)
            )
            waiting = Queue(kit)
            waiting.acquire(
                waiting.pending(
                    3.0,
                    tokens=LARGE,
                    run=Run(LARGE, 10, 20),
                    version="v1",
                    has_begun=True,
                )
            )
            await asyncio.sleep(0.1)
            new = waiting.acquire(
                waiting.pending(DUE_S, tokens=SMALL, run=Run(SMALL, 10, 20))
            )
            await asyncio.wait({new}, timeout=2.0)
            is_done = new.done()
            for task in waiting.tasks:
                task.cancel()
            await asyncio.gather(*waiting.tasks, return_exceptions=True)
            assert is_done, "neither granted nor refused after 2.0 s"

    run(work)


def test_times_of_lines_do_not_pile_up(monkeypatch):
    """Guards against a record for each successor that was given up."""

    async def work():
        async with serving_versions() as kit:
            await kit.add("d", "llm", "decode", version="v1", slots=50)
            ctx = kit.daemon.context
            await kit.until(lambda: is_listed(ctx.directory.servers, "d"))
            waiting = Queue(kit)
            monkeypatch.setattr(ServerLoads, "peers_ahead", lambda *_: 8)
            for number in range(5):
                task = waiting.acquire(
                    waiting.pending(2.0, has_begun=True, source=f"x@{number}")
                )
                await asyncio.sleep(0.03)
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)
            await asyncio.sleep(0.2)
            left = ctx.reservation_queue._capacity_since_s
            assert not left, f"{len(left)} lines left"

    run(work)
