"""Streams whose run is moved to an engine that does not go on with it."""

from __future__ import annotations

import asyncio

import pytest

from tests.gateway_kit import serving
from tests.silent_engine import SilentEngine, add_engines, stream, whole
from tests.test_ends_beside_moves import CLIENT_WAIT_S
from tests.test_stream_successors import run, running_at

LONG_S = 12.0


class HangingEngine(SilentEngine):
    """Takes a moved run, and sends nothing."""

    hangs = False

    async def _handle(self, request, reader, writer):
        is_moved = "/moved-" in (request.header("Kv-Source") or "")
        if is_moved and self.hangs:
            await asyncio.sleep(LONG_S)
        await super()._handle(request, reader, writer)


@pytest.mark.parametrize("hangs", [False, True])
def test_silence_before_a_move_counts_for_the_next_successor(hangs):
    """Guards against a successor that comes when its client has left.

    The run is moved after a silence, and the engine that takes it is silent
    as well, and answers no move.
    """

    async def work():
        async with serving() as kit:
            engines = await add_engines(kit)
            for name in "def":
                engine = await kit.add(
                    name, "llm", "decode", kind=HangingEngine
                )
                engine.supports_moves = True
                engine.silent_after, engine.silence_s = 10, LONG_S
                engine.move_s, engine.hangs = 1.2, hangs
                engines.append(engine)
            servers = kit.daemon.context.directory.servers
            await kit.until(lambda: len(servers.all()) == len(kit.engines))
            task = asyncio.create_task(stream(kit, "again"))
            source, others = await running_at(kit, engines)
            for engine in others:
                engine.silent_after, engine.move_s = None, LONG_S
            await kit.until(lambda: not source.speaks.is_set())
            await kit.until(
                lambda: any(
                    engine.executed or engine.resumed for engine in others
                ),
                wait_s=CLIENT_WAIT_S,
            )
            got = await task
            assert got.body == whole(30)

    run(work)
