"""Answers that come before their requests have been read."""

from __future__ import annotations

import asyncio
import socket

import pytest
from result import Err

from gooseberrypost.agent.plain import PlainClient
from gooseberrypost.wire.messages import idl
from tests.gateway_kit import serving
from tests.standins.platform_engine import (
    FakePlatformEngine,
    reset_connection,
)

UPLOAD_BYTES = 3_000_000
RESET_AFTER_S = 0.1
BUFFER_BYTES = 4_096
"""Buffer of the system at the server, so that the request waits to be sent."""
PREFILL = ("p", "llm", "prefill")


class EarlyEngine(FakePlatformEngine):
    """Fake that answers before it has read the body of its request."""

    part = b"part"
    ends_first = False
    """Whether it sends its end before it resets the connection."""

    async def _read(self, reader):
        return await super()._read(HeadReader(reader))

    async def _mode_answer(self, request, writer):
        kind = "text/event-stream" if self.stage else "text/plain"
        writer.write(self._head(request, f"Content-Type: {kind}") + self.part)
        await writer.drain()
        if self.ends_first:
            writer.write_eof()
        await asyncio.sleep(RESET_AFTER_S)
        reset_connection(writer)

    async def _cancel_on_disconnect(self, reader, request_id, execution):
        """Leave the body unread."""


class HeadReader:
    """Reads heads only."""

    def __init__(self, reader):
        self._reader = reader

    async def readuntil(self, separator):
        return await self._reader.readuntil(separator)

    async def readexactly(self, size):
        return b""


@pytest.mark.parametrize("ends_first", [False, True])
@pytest.mark.parametrize("size", [10, 200_000])
@pytest.mark.parametrize("route", ["safe", "once", "text", "again"])
def test_early_answer_that_is_reset_does_not_look_whole(
    route, size, ends_first
):
    """Guards against a part of an answer that passes for all of it.

    The answer has no length, and comes while the request is being sent. If
    the end of the connection comes before the reset, it shows no whole answer
    either, as the request has not been read.
    """

    async def work():
        is_stream = route in ("text", "again")
        async with serving(PREFILL) as kit:
            engine = await kit.add(
                "s",
                "llm" if is_stream else "desk",
                "decode" if is_stream else "",
                kind=EarlyEngine,
            )
            event = b"id: 1\ndata: " + b"x" * size + b"\n\n"
            engine.part = event if is_stream else b"x" * size
            engine.ends_first = ends_first
            listener = engine.server.sockets[0]
            option = socket.SO_RCVBUF
            listener.setsockopt(socket.SOL_SOCKET, option, BUFFER_BYTES)
            ctx = kit.daemon.context
            await kit.until(lambda: len(ctx.directory.servers.all()) == 2)
            got = await kit.generate(f"/{route}/x", body=bytes(UPLOAD_BYTES))
            assert engine.received
            assert not (got.status == 200 and got.complete)

    asyncio.run(work())


@pytest.mark.parametrize("ends_first", [False, True])
@pytest.mark.parametrize("size", [10, 200_000])
def test_early_answer_to_an_agent_that_is_reset_is_a_failure(size, ends_first):
    """Guards against the same in the calls that agents make.

    The server goes on to answer other calls, such as that for its load.
    """

    async def serve(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        if head.startswith(b"GET"):
            writer.write(b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n")
            writer.close()
            return
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * size)
        await writer.drain()
        if ends_first:
            writer.write_eof()
        await asyncio.sleep(RESET_AFTER_S)
        reset_connection(writer)

    async def work():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        listener = server.sockets[0]
        option = socket.SO_RCVBUF
        listener.setsockopt(socket.SOL_SOCKET, option, BUFFER_BYTES)
        host, port = listener.getsockname()
        client = PlainClient(f"{host}:{port}")
        call = idl.Call(
            method="POST",
            path="/x",
            headers=[],
            body=bytes(UPLOAD_BYTES),
            key="k",
        )
        assert isinstance(await client.call(call, 5_000), Err)
        await client.close()
        server.close()

    asyncio.run(work())
