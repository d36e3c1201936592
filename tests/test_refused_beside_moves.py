"""Engines that refuse a stream late, after they were asked to move it."""

from __future__ import annotations

import asyncio

import pytest

from tests.gateway_kit import serving
from tests.silent_engine import SilentEngine, add_engines, stream, whole
from tests.standins.platform_engine import UNAVAILABLE
from tests.test_ends_beside_moves import CLIENT_WAIT_S, RefusingPrefill
from tests.test_stream_successors import run, running_at

REFUSED_AFTER_S = 2.0


class LateEngine(SilentEngine):
    """Refuses one request after a while, without running it."""

    refusals = 0

    async def _handle(self, request, reader, writer):
        is_call = not request.target.startswith("/-/")
        if is_call and self.refusals:
            for engine in self.others:
                engine.refusals = 0
            await asyncio.sleep(REFUSED_AFTER_S)
            return await self._refuse(request, writer, UNAVAILABLE)
        await super()._handle(request, reader, writer)


@pytest.mark.parametrize("move_s", [0.0, 12.0])
@pytest.mark.parametrize("route", ["again", "text"])
def test_refused_stream_does_not_wait_for_a_move(route, move_s):
    """Guards against a client that leaves though no engine ran its request.

    The engine is silent, is asked to move the run, and then refuses the
    request; the call to move it is not answered.
    """

    async def work():
        async with serving() as kit:
            engines = await add_engines(kit)
            for name in "de":
                engines.append(
                    await kit.add(name, "llm", "decode", kind=LateEngine)
                )
            for engine in engines:
                engine.refusals, engine.others = 1, engines
                engine.move_s = move_s
            servers = kit.daemon.context.directory.servers
            await kit.until(lambda: len(servers.all()) == len(kit.engines))
            task = asyncio.create_task(stream(kit, route))
            await kit.until(
                lambda: any(engine.executed for engine in engines),
                wait_s=CLIENT_WAIT_S,
            )
            got = await task
            assert got.body == whole(30)

    run(work)


@pytest.mark.parametrize("refusals", [0, 1])
def test_silent_stream_gets_a_second_successor(refusals):
    """Guards against a stream that gets no second successor.

    It is silent, and the move is not answered. The prefill engine refuses
    once, and is well again.
    """

    async def work():
        async with serving() as kit:
            engines = await add_engines(kit, "d", "e")
            prefill = await kit.add(
                "q", "llm", "prefill", kind=RefusingPrefill
            )
            kit.store.remove("servers/p")
            servers = kit.daemon.context.directory.servers
            await kit.until(
                lambda: {one.instance for one in servers.all()} == set("deq")
            )
            for engine in engines:
                engine.supports_moves, engine.move_s = True, 12.0
                engine.silent_after, engine.silence_s = 10, 12.0
            task = asyncio.create_task(stream(kit, "again"))
            _, (other,) = await running_at(kit, engines)
            prefill.refusals = refusals
            await kit.until(
                lambda: other.executed, wait_s=10 * 0.05 + CLIENT_WAIT_S
            )
            await task

    run(work)
