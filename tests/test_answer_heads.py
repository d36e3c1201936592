"""Answers whose heads have lines that are none of HTTP."""

from __future__ import annotations

import asyncio

import pytest

from tests.gateway_kit import serving
from tests.standins.platform_engine import FakePlatformEngine
from tests.test_cut_answers import CALLS, cutting_server

PREFILL = ("p", "llm", "prefill")
INVALID_LINES = (
    "Transfer-Encoding : chunked",
    "X Y: 1",
    "X\t: 1",
    ": 1",
    "no colon",
    "X: a\x01b",
    "X: a\x7fb",
    "X: a\rb",
    "X: 1\r\n folded",
)
VALID_LINES = ("X:1", "X:", "X: \t a\tb ", "x-y_z.1!: \xe9")


class HeadEngine(FakePlatformEngine):
    """Fake whose answers have a line of their own in their heads."""

    line = ""

    def _head(self, request, *headers):
        return super()._head(request, self.line, *headers)


async def add_engine(kit, instance: str, route: str, line: str):
    is_stream = route in ("text", "again")
    engine = await kit.add(
        instance,
        "llm" if is_stream else "desk",
        "decode" if is_stream else "",
        kind=HeadEngine,
    )
    engine.line = line
    servers = kit.daemon.context.directory.servers
    await kit.until(lambda: any(s.instance == instance for s in servers.all()))
    return engine


@pytest.mark.parametrize("line", INVALID_LINES)
@pytest.mark.parametrize("route", ["safe", "once", "text", "again"])
def test_line_that_is_none_reaches_no_client(route, line):
    """Guards against a garbled head that a client reads in its own way."""

    async def work():
        async with serving(PREFILL) as kit:
            engine = await add_engine(kit, "s", route, line)
            got = await kit.generate(f"/{route}/x")
            assert engine.received
            assert got.status == 502

    asyncio.run(work())


@pytest.mark.parametrize("line", VALID_LINES)
@pytest.mark.parametrize("route", ["once", "text"])
def test_odd_but_valid_lines_are_forwarded(route, line):
    """Guards against sound answers that count as garbled."""

    async def work():
        async with serving(PREFILL) as kit:
            await add_engine(kit, "s", route, line)
            got = await kit.generate(f"/{route}/x")
            assert (got.status, got.complete) == (200, True)
            assert line.partition(":")[0] in got.headers

    asyncio.run(work())


def test_lookup_with_a_garbled_answer_is_sent_to_another_server():
    """Guards against a failure where another server can answer."""

    async def work():
        async with serving(PREFILL) as kit:
            await add_engine(kit, "a", "safe", INVALID_LINES[0])
            await add_engine(kit, "b", "safe", "X: 1")
            for _ in range(4):
                got = await kit.call("/safe/x")
                assert (got.status, got.body[:1]) == (200, b"b")

    asyncio.run(work())


@pytest.mark.parametrize("line", INVALID_LINES)
@pytest.mark.parametrize("call", CALLS)
def test_line_that_is_none_confirms_nothing(call, line):
    """Guards against the same at agents and at clients of the stores."""
    body = CALLS[call]
    head = f"HTTP/1.1 200 X\r\n{line}\r\nContent-Length: {len(body)}\r\n\r\n"

    async def work():
        answer = head.encode("latin-1") + body
        async with cutting_server(answer, "close") as (address, _):
            assert not await call(address)

    asyncio.run(work())
