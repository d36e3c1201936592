"""Backend servers in trouble: bytes without end, trickles, late copies."""

from __future__ import annotations

import asyncio

from tests.standins.platform_engine import SIGNATURE, FakePlatformEngine

BLOCK_BYTES = 64 * 1024
TRICKLE_S = 0.05


class TroubledEngine(FakePlatformEngine):
    """Fake whose modes send bytes that end only when the caller closes."""

    def __init__(self, instance: str, stage: str = ""):
        super().__init__(instance, stage)
        self.sent_bytes = 0
        """Bytes that the modes without end have sent."""
        self.endless_control = False
        """Whether control calls are answered without end."""

    async def _send_endlessly(self, writer, block: bytes, head: bytes = b""):
        writer.write(head)
        while True:
            writer.write(block)
            self.sent_bytes += len(block)
            await writer.drain()

    async def _json(self, writer, status, body):
        if not self.endless_control:
            return await super()._json(writer, status, body)
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
        await self._send_endlessly(writer, b" " * BLOCK_BYTES, head)

    async def _mode_endless_status(self, request, writer):
        await self._send_endlessly(writer, b"x" * BLOCK_BYTES)

    async def _mode_endless_headers(self, request, writer):
        block = b"X-Header: some value\r\n" * 1_000
        await self._send_endlessly(writer, block, b"HTTP/1.1 200 OK\r\n")

    async def _mode_endless_header(self, request, writer):
        head = b"HTTP/1.1 200 OK\r\nX-Header: "
        await self._send_endlessly(writer, b"x" * BLOCK_BYTES, head)

    async def _mode_endless_interim(self, request, writer):
        await self._send_endlessly(
            writer, b"HTTP/1.1 103 Early Hints\r\n\r\n" * 1_000
        )

    async def _mode_endless_body(self, request, writer):
        head = self._head(request, "Connection: close")
        await self._send_endlessly(writer, b"x" * BLOCK_BYTES, head)

    async def _mode_endless_error_body(self, request, writer):
        head = self._head(request, "Connection: close")
        await self._send_endlessly(
            writer, b"x" * BLOCK_BYTES, head.replace(b"200 OK", b"500 Oops")
        )

    async def _mode_endless_extension(self, request, writer):
        head = self._head(request, "Transfer-Encoding: chunked") + b"5;"
        await self._send_endlessly(writer, b"x" * BLOCK_BYTES, head)

    async def _mode_endless_trailer(self, request, writer):
        head = self._head(request, "Transfer-Encoding: chunked")
        block = b"X-Trailer: some value\r\n" * 1_000
        await self._send_endlessly(writer, block, head + b"0\r\n")

    async def _mode_endless_after_answer(self, request, writer):
        head = self._head(request, "Content-Length: 4") + b"good"
        await self._send_endlessly(writer, b"x" * BLOCK_BYTES, head)

    def _stream_head(self, request) -> bytes:
        return self._head(
            request, "Content-Type: text/event-stream", "Connection: close"
        )

    async def _mode_endless_event(self, request, writer):
        head = self._stream_head(request) + b"id: 1\ndata: "
        await self._send_endlessly(writer, b"x" * BLOCK_BYTES, head)

    async def _trickle(self, request, writer, part: bytes):
        writer.write(self._stream_head(request) + b"id: 1\ndata: 1\n\n")
        while True:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(TRICKLE_S)

    async def _mode_trickle_bytes(self, request, writer):
        await self._trickle(request, writer, b"x")

    async def _mode_trickle_comments(self, request, writer):
        await self._trickle(request, writer, b": ping\n\n")

    async def _mode_second_copy(self, request, writer):
        body = f"for {request.header('Attempt-Id')}".encode()
        answer = self._head(request, f"Content-Length: {len(body)}") + body
        writer.write(answer + answer)
        await writer.drain()
        await asyncio.sleep(TRICKLE_S)
        writer.write(answer)
        await writer.drain()
        await asyncio.sleep(1.0)

    async def _mode_early(self, request, writer):
        """Answer an unknown request before the one that was sent."""
        early = (
            f"HTTP/1.1 200 OK\r\nX-Gooseberrypost-Attempt-Id: other\r\n"
            f"{SIGNATURE}\r\nContent-Length: 5\r\n\r\nother"
        )
        writer.write(early.encode())
        await self._mode_answer(request, writer)
