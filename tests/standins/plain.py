"""Fake of a plain service; counts executions by idempotency key."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import Counter

from aiohttp import web

from tests.standins.server import FakeServer, run_from_command_line


class PlainService(FakeServer):
    def __init__(self, restart_ms: int = 300):
        super().__init__()
        self.restart_ms = restart_ms
        self.executions: Counter[str] = Counter()
        self.runs: list[tuple[str, float]] = []
        """Idempotency key and event loop time of each execution."""
        self.slow_ms, self.fail, self.drop = 0, False, False
        self.leaving = False
        self.unframed = ""
        """End of answers without length or chunks: closed, exit or reset."""
        self.running = 0
        self.app.router.add_get("/load", self.load)
        self.app.router.add_get("/_test/executions", self.report)
        self.app.router.add_route("*", "/{path:.*}", self.execute)

    async def execute(self, request):
        body = await request.read()
        key = request.headers.get("Idempotency-Key", "")
        self.executions[key] += 1
        self.runs.append((key, asyncio.get_running_loop().time()))
        count = self.executions[key]
        self.running += 1
        try:
            await asyncio.sleep(self.slow_ms / 1_000)
        finally:
            self.running -= 1
        if self.drop:
            # The call was executed, but its response is lost.
            request.transport.abort()
        if self.unframed:
            await self.answer_unframed(request)
        return web.json_response(
            {
                "path": request.path_qs,
                "body": body.decode(),
                "execution": count,
            },
            status=500 if self.fail else 200,
        )

    async def answer_unframed(self, request):
        """Answer without framing, and end the connection as told."""
        transport = request.transport
        if self.unframed == "exit":
            await self.site.stop()
        transport.write(b"HTTP/1.1 200 OK\r\n\r\nunframed")
        if self.unframed == "reset":
            await asyncio.sleep(0.05)
            linger = struct.pack("ii", 1, 0)
            sock = transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            transport.abort()
        transport.close()

    async def load(self, request):
        return web.json_response(
            {"slots_used": self.running, "leaving": self.leaving}
        )

    async def report(self, request):
        return web.json_response(self.executions)

    def switch(self, name: str, value):
        match name:
            case "crash":
                self.spawn(self.restart(self.restart_ms))
            case "slow_ms" | "fail" | "drop" | "leaving":
                setattr(self, name, value)
            case _:
                raise web.HTTPNotFound


if __name__ == "__main__":
    run_from_command_line(PlainService)
