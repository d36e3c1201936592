"""Streams whose engine goes on while the gateway asks to move them."""

from __future__ import annotations

import asyncio

import pytest

from gooseberrypost.gateway import migration
from tests.gateway_kit import serving
from tests.silent_engine import add_engines, stream, whole

SILENCE_S = 1.2
"""Silence of a sound engine, after which it goes on."""
MOVE_S = 6.0
"""Time in which a call to move a run is not answered."""
EVENTS_S = 30 * 0.05
"""Time in which the engine sends all events."""
MARGIN_S = 1.0


def run(work):
    asyncio.run(work())


async def served_in(kit, route: str) -> float:
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    got = await stream(kit, route)
    assert got.complete
    assert got.body == whole(30)
    return loop.time() - began_s


@pytest.mark.parametrize("route", ["again", "text"])
def test_events_are_forwarded_while_a_move_is_not_answered(route):
    """Guards against a sound stream that is held until its client leaves.

    The engine answers reports, and is silent for a while only.
    """

    async def work():
        async with serving() as kit:
            engines = await add_engines(kit, "d")
            (source,) = engines
            source.move_s = MOVE_S
            source.silent_after, source.silence_s = 10, SILENCE_S
            took_s = await served_in(kit, route)
            assert took_s < EVENTS_S + SILENCE_S + MARGIN_S

    run(work)


def test_events_are_forwarded_while_a_move_for_memory_is_not_answered(
    monkeypatch,
):
    """Guards against a sound stream that is held until its client leaves.

    Its engine is low on memory, and the call to move it is not answered.
    """
    monkeypatch.setattr(migration, "run_to_migrate", lambda sizes, _: sizes[0])

    async def work():
        async with serving() as kit:
            engines = await add_engines(kit, "d", "e")
            for engine in engines:
                engine.move_s = MOVE_S
            took_s = await served_in(kit, "text")
            assert took_s < EVENTS_S + MARGIN_S

    run(work)
