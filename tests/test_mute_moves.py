"""Streams whose engine has been asked to move them and does not answer."""

from __future__ import annotations

import asyncio

import pytest

from tests.gateway_kit import GatewayKit, serving
from tests.silent_engine import SilentEngine, add_engines, stream, whole
from tests.test_stream_successors import run, running_at

CLIENT_WAIT_S = 3.6
"""Time without an event after which a client of these routes leaves."""
MOVE_S = 5.0


async def add_mute_movers(kit: GatewayKit, **changes) -> list[SilentEngine]:
    engines = await add_engines(kit, "d", "e")
    for engine in engines:
        engine.supports_moves, engine.move_s = True, MOVE_S
        for name, value in changes.items():
            setattr(engine, name, value)
    return engines


def released(engine: SilentEngine) -> list[str]:
    """Return the copies of runs that the gateway has released there."""
    return [
        call.target for call in engine.control if "kv-handle" in call.target
    ]


@pytest.mark.parametrize(
    "trouble",
    [{"silent_after": 10, "silence_s": 6.0}, {"breaks_after": 10}],
    ids=["silent", "broken"],
)
def test_stream_goes_on_while_its_engine_does_not_answer_a_move(trouble):
    """Guards against a resumable stream that is held by an unanswered move.

    The copy that the engine names in the end is released.
    """

    async def work():
        async with serving() as kit:
            engines = await add_mute_movers(kit, **trouble)
            task = asyncio.create_task(stream(kit, "again"))
            source, (other,) = await running_at(kit, engines)
            await kit.until(lambda: other.executed, wait_s=CLIENT_WAIT_S)
            got = await task
            assert got.complete
            assert got.body == whole(30)
            if "silent_after" in trouble:
                await kit.until(lambda: released(source), MOVE_S + 1)

    run(work)


def test_quick_move_needs_no_other_run():
    """Guards against a prefill beside a move that is answered in time."""

    async def work():
        async with serving() as kit:
            engines = await add_mute_movers(
                kit, silent_after=10, silence_s=4.0, move_s=0.2
            )
            got = await stream(kit, "again")
            assert got.body == whole(30)
            assert sum(len(engine.resumed) for engine in engines) == 1
            prefills = [
                call
                for call in kit.engines["p"].received
                if call.header("Inference-Stage") == "prefill"
            ]
            assert len(prefills) == 1

    run(work)


def test_copy_is_released_if_the_client_leaves_during_the_move():
    """Guards against the memory of a run that nobody waits for."""

    async def work():
        async with serving() as kit:
            engines = await add_mute_movers(
                kit, silent_after=10, silence_s=3.0, move_s=1.0
            )
            task = asyncio.create_task(stream(kit, "text"))
            source, _ = await running_at(kit, engines)
            await kit.until(
                lambda: any(
                    "kv-move" in call.target for call in source.control
                )
            )
            task.cancel()
            await kit.until(lambda: released(source))

    run(work)
