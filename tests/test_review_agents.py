"""Runs that an agent lets go while its engine is sound."""

from __future__ import annotations

import asyncio

from tests.agent_kit import running_rig
from tests.test_agent_successors import TOKENS, start_stream

TROUBLE_S = 0.4
"""Time in which each connection to the engine is reset."""


async def reset_connections(engine):
    """Reset each connection for a while; the engine itself is sound."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + TROUBLE_S
    while loop.time() < end_s:
        engine.abort_connections()
        await asyncio.sleep(0)


def test_engine_behind_a_broken_link_has_not_crashed():
    """Guards against runs dropped after a tenth of a second of resets.

    Their requests are reported as having crashed the engine, too.
    """

    async def run():
        async with running_rig(decode_options={"token_ms": 20}) as rig:
            task = await start_stream(rig)
            await reset_connections(rig.decode_engine)
            _, end = await task
            assert rig.decode_agent.lifecycle.lifecycle.crashes == 0
            assert (end.code, end.tokens) == ("", TOKENS)

    asyncio.run(run())
