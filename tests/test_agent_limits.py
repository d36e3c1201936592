"""Rate limits that a backend server names to its agent.

The agent is the only way to its server, so it alone keeps the limit.
"""

from __future__ import annotations

import asyncio

import pytest

from gooseberrypost.wire.messages import idl
from tests.agent_kit import (
    ask,
    call,
    entry,
    prefill,
    reserve,
    running,
    running_rig,
    settings,
)
from tests.standins.plain import PlainService

LIMIT_PER_S = 5.0
DURATION_S = 2.0
BURST_S = 1.0


def allowed() -> float:
    """Return the requests allowed after the first one, which tells."""
    return 1 + LIMIT_PER_S * (DURATION_S + BURST_S)


async def send_for(duration_s: float, send) -> list:
    """Send a request every 20 ms and return the replies."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + duration_s
    replies = []
    while loop.time() < end_s:
        replies.append(await send(len(replies)))
        await asyncio.sleep(0.02)
    return replies


def test_an_agent_keeps_the_limit_of_a_plain_service():
    """Guards against a service that gets more calls than it asked for."""

    async def run():
        async with (
            PlainService.serving() as service,
            running(settings(service, "plain", slots=8)) as agent,
            entry(agent) as channel,
        ):
            service.limit_per_s = str(LIMIT_PER_S)

            async def send(number):
                return await ask(channel, call(f"k{number}"))

            replies = await send_for(DURATION_S, send)
            assert len(service.runs) <= allowed()
            assert len(service.runs) >= 0.6 * LIMIT_PER_S * DURATION_S
            refused = [r for r in replies if isinstance(r, idl.Refused)]
            assert len(refused) == len(replies) - len(service.runs)
            assert {r.code for r in refused} == {"server_limited"}
            assert all(0 < r.retry_after_ms <= 1_000 for r in refused)
            service.limit_per_s = None
            await asyncio.sleep(1 / LIMIT_PER_S)
            for number in range(20):
                reply = await ask(channel, call(f"free{number}"))
                assert isinstance(reply, idl.CallReply)

    asyncio.run(run())


@pytest.mark.parametrize("stage", ["prefill", "decode"])
def test_an_agent_keeps_the_limit_of_an_engine(stage):
    """Guards against prefills and reservations beyond an engine's limit."""

    async def run():
        async with running_rig() as rig:
            engines = {
                "prefill": (rig.prefill_engine, rig.prefill_channel, prefill),
                "decode": (rig.decode_engine, rig.decode_channel, reserve),
            }
            engine, channel, message = engines[stage]
            engine.limit_per_s = str(LIMIT_PER_S)
            # The answer to a run, here the first prefill, tells the limit.
            await rig.prepare("first")
            if stage == "decode":
                await rig.decode_agent.context.backend.load()

            async def send(number):
                return await ask(channel, message(f"k{number}"))

            replies = await send_for(DURATION_S, send)
            accepted = [r for r in replies if not isinstance(r, idl.Refused)]
            assert len(accepted) <= allowed()
            limited = [
                r
                for r in replies
                if isinstance(r, idl.Refused) and r.code == "server_limited"
            ]
            assert limited

    asyncio.run(run())
