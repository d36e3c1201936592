"""Draining: a gateway accepts requests as long as they can still finish."""

from __future__ import annotations

import asyncio

from tests.gateway_kit import configuration, serving

POOLS = (("p", "llm", "prefill"), ("d", "llm", "decode"))


def test_requests_are_accepted_while_a_stream_drains():
    """Guards against an outage when all gateways of a zone drain together.

    A draining gateway that refuses new requests at once leaves clients with
    no gateway to go to.
    """

    async def work():
        async with serving(("a", "desk", ""), *POOLS, grace_ms=6_000) as kit:
            kit.store.put("op/config", configuration(9, timeout_ms=9_000))
            directory = kit.daemon.context.directory
            await kit.until(lambda: directory.configuration.version == 9)
            engine = kit.engines["d"]
            engine.events, engine.event_s = 60, 0.06
            stream = asyncio.create_task(
                kit.generate(X_Gooseberrypost_Deadline_Ms="9000")
            )
            await kit.until(lambda: engine.executed)
            drain = asyncio.create_task(kit.daemon.drain())
            await asyncio.sleep(2.6)
            got = await kit.call("/once/x")
            assert got.status == 200
            assert got.headers["Connection"] == "close"
            assert (await stream).complete
            await drain
            assert kit.daemon.frontend.in_flight == 0

    asyncio.run(work())


def test_generation_that_outlasts_the_drain_is_refused():
    """Guards against streams that are cut off by the gateway's shutdown."""

    async def work():
        async with serving(*POOLS, grace_ms=4_000) as kit:
            kit.daemon.context.record_generation("llm", 10, 30.0)
            drain = asyncio.create_task(kit.daemon.drain())
            await asyncio.sleep(0.1)
            got = await kit.generate()
            assert got.status == 503
            assert float(got.headers["Retry-After"]) < 0.1
            assert kit.engines["d"].control == []
            await drain

    asyncio.run(work())
