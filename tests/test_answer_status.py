"""Answers whose status is none."""

from __future__ import annotations

import asyncio

import pytest

from tests.gateway_kit import serving
from tests.standins.platform_engine import FakePlatformEngine
from tests.test_cut_answers import CALLS, cutting_server

NO_STATUSES = ("000", "099", "101", "600", "999", "+20", "1000", "20")
PREFILL = ("p", "llm", "prefill")


class StatusEngine(FakePlatformEngine):
    """Fake whose answers have a status of its own."""

    status = "200"

    def _head(self, request, *headers):
        head = super()._head(request, *headers)
        return head.replace(b"200 OK", self.status.encode() + b" X")


@pytest.mark.parametrize("status", NO_STATUSES)
@pytest.mark.parametrize("route", ["safe", "once", "text", "again"])
def test_status_that_is_none_reaches_no_client(route, status):
    """Guards against an answer that is no answer in the protocol."""

    async def work():
        is_stream = route in ("text", "again")
        async with serving(PREFILL) as kit:
            engine = await kit.add(
                "s",
                "llm" if is_stream else "desk",
                "decode" if is_stream else "",
                kind=StatusEngine,
            )
            engine.status = status
            ctx = kit.daemon.context
            await kit.until(lambda: len(ctx.directory.servers.all()) == 2)
            got = await kit.generate(f"/{route}/x")
            assert engine.received
            assert got.status == 502

    asyncio.run(work())


@pytest.mark.parametrize("status", NO_STATUSES)
@pytest.mark.parametrize("call", CALLS)
def test_status_that_is_none_confirms_nothing(call, status):
    """Guards against the same at agents and at clients of the stores."""
    body = CALLS[call]
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"

    async def work():
        answer = head.encode() + body
        async with cutting_server(answer, "close") as (address, _):
            assert not await call(address)

    asyncio.run(work())
