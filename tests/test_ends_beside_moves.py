"""Streams that end while the answer to a move is lost or late."""

from __future__ import annotations

import asyncio

import pytest

from tests.gateway_kit import serving
from tests.silent_engine import SilentEngine, add_engines, stream, whole
from tests.standins.platform_engine import (
    UNAVAILABLE,
    FakePlatformEngine,
    reset_connection,
)
from tests.test_stream_successors import run, running_at

CLIENT_WAIT_S = 3.6
"""Time without an event after which a client of these routes leaves."""


class UnframedEngine(SilentEngine):
    """Ends its streams with their connections, in place of a last chunk."""

    resets_moves = False
    """Whether the connection of a move is reset once the run is stopped."""

    async def _handle(self, request, reader, writer):
        if request.target == "/-/kv-move" and self.resets_moves:
            self.control.append(request)
            self._control(request)
            return reset_connection(writer)
        await super()._handle(request, reader, writer)

    async def _stream(self, request, writer):
        head = self._head(request, "Content-Type: text/event-stream")
        writer.write(head)
        first = int(request.headers.get("last-event-id") or 0)
        for number in range(first + 1, self.events + 1):
            writer.write(self._event(number))
            await writer.drain()
            if number == self.silent_after:
                self.silent_after = None
                await asyncio.sleep(self.silence_s)
            await asyncio.sleep(self.event_s)
        writer.write_eof()


async def add_unframed(kit, *names: str, **changes) -> list[UnframedEngine]:
    engines = await add_engines(kit)
    for name in names:
        engine = await kit.add(name, "llm", "decode", kind=UnframedEngine)
        engine.supports_moves = True
        for key, value in changes.items():
            setattr(engine, key, value)
        engines.append(engine)
    servers = kit.daemon.context.directory.servers
    await kit.until(lambda: len(servers.all()) == len(kit.engines))
    return engines


def is_false_whole(got) -> bool:
    """Whether a part of a stream was forwarded as a whole one."""
    return got.complete and got.body != whole(30)


def test_unframed_stream_of_a_stopped_run_is_not_whole_if_a_move_is_given_up():
    """Guards against a part of a stream that its client takes for all of it.

    The engine stops the run, and names its copy too late.
    """

    async def work():
        async with serving() as kit:
            await add_unframed(
                kit, "d", "e", silent_after=10, silence_s=6.0, move_s=5.0
            )
            got = await stream(kit, "again")
            assert not is_false_whole(got), got.body[-20:]

    run(work)


@pytest.mark.parametrize("route", ["again", "text"])
def test_unframed_stream_of_a_stopped_run_is_not_whole_if_its_move_is_lost(
    route,
):
    """Guards against a part of a stream that its client takes for all of it.

    The engine stops the run, and the connection of the move is lost.
    """

    async def work():
        async with serving() as kit:
            await add_unframed(
                kit,
                "d",
                "e",
                silent_after=10,
                silence_s=6.0,
                resets_moves=True,
            )
            got = await stream(kit, route)
            assert not is_false_whole(got), got.body[-20:]

    run(work)


class RefusingPrefill(FakePlatformEngine):
    """Refuses some prefills."""

    refusals = 0

    async def _handle(self, request, reader, writer):
        is_call = not request.target.startswith("/-/")
        if is_call and self.refusals:
            self.refusals -= 1
            return await self._refuse(request, writer, UNAVAILABLE)
        await super()._handle(request, reader, writer)


def test_stream_is_not_held_if_one_prefill_beside_a_mute_move_is_refused():
    """Guards against a stream that gets no second successor.

    It has broken off, and the move is not answered. The prefill engine
    refuses once, and is well again.
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
                engine.supports_moves, engine.move_s = True, 9.0
                engine.breaks_after = 10
            task = asyncio.create_task(stream(kit, "again"))
            _, (other,) = await running_at(kit, engines)
            prefill.refusals = 1
            await kit.until(lambda: not prefill.refusals)
            await kit.until(lambda: other.executed, wait_s=CLIENT_WAIT_S)
            await task

    run(work)
