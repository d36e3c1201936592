"""Moves that are answered as their stream is given up."""

from __future__ import annotations

import asyncio

import pytest

from gooseberrypost.gateway import migration
from gooseberrypost.gateway.generation import Generation
from gooseberrypost.gateway.transport import KvHandle, MovedRun
from tests.gateway_kit import serving
from tests.silent_engine import add_engines, stream
from tests.test_stream_successors import run


@pytest.mark.parametrize("passes", range(12))
def test_copy_is_released_if_a_move_is_answered_as_its_stream_ends(
    monkeypatch, passes
):
    """Guards against a copy and a load that stay behind for good.

    The move is answered some passes of the event loop after the stream was
    cancelled.
    """
    monkeypatch.setattr(migration, "run_to_migrate", lambda sizes, _: sizes[0])
    tasks, moves, released = [], [], []
    serve = Generation.serve

    async def recorded(generation):
        tasks.append(asyncio.current_task())
        await serve(generation)

    monkeypatch.setattr(Generation, "serve", recorded)

    async def work():
        async with serving() as kit:
            await add_engines(kit, "d", "e")
            ctx = kit.daemon.context
            answer = asyncio.get_running_loop().create_future()

            async def stop_and_copy(server, req, target, timeout_s):
                moves.append((server, target))
                return await answer

            async def release_kv(kv):
                released.append(kv.handle)

            ctx.transport.stop_and_copy = stop_and_copy
            ctx.transport.release_kv = release_kv
            client = asyncio.create_task(stream(kit, "text"))
            await kit.until(lambda: moves)
            ((source, target),) = moves
            tasks[0].cancel()
            for _ in range(passes):
                await asyncio.sleep(0)
            answer.set_result(MovedRun(KvHandle(source, "copy", 0), target))
            await asyncio.wait({tasks[0]})
            await asyncio.sleep(0.2)
            client.cancel()
            assert "copy" in released
            assert not ctx.loads.of(target.identity).runs

    run(work)
