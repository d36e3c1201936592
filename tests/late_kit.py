"""Engines that answer while the event loop of their caller stands still."""

from __future__ import annotations

import asyncio
import threading
import time
from contextlib import asynccontextmanager

from aiohttp import web

from gooseberrypost.gateway.model import Server
from tests.standins.platform_engine import SIGNATURE, FakePlatformEngine
from tests.standins.platform_store import FakePlatformStore

PAUSE_S = 0.5
"""Time for which the event loop of the caller stands still."""
STORE_PAUSE_S = 0.8
"""The same for a call to the store, whose timeout is longer."""
ANSWER_S = 0.05
"""Time in which an engine answers, while its caller stands still."""


class PausingEngine(FakePlatformEngine):
    """Pauses the event loop of its caller with each request."""

    def __init__(self, instance: str, stage: str = "", pauses: int = 1_000):
        super().__init__(instance, stage)
        self.caller = asyncio.get_running_loop()
        self.pauses = pauses
        """Number of further pauses."""
        self.pause_s = PAUSE_S

    async def _handle(self, request, reader, writer):
        if self.pauses:
            self.pauses -= 1
            await self._pause()
        await super()._handle(request, reader, writer)

    async def _pause(self):
        """Pause the caller, and return while it stands still."""
        self.caller.call_soon_threadsafe(time.sleep, self.pause_s)
        await asyncio.sleep(ANSWER_S)

    async def _mode_halves(self, request, writer):
        """Answer in two halves, with a pause between them."""
        half = len(self.body) // 2
        length = f"Content-Length: {len(self.body)}"
        headers = ["HTTP/1.1 200 OK", SIGNATURE, length, "", ""]
        writer.write("\r\n".join(headers).encode() + self.body[:half])
        await writer.drain()
        await asyncio.sleep(ANSWER_S)
        await self._pause()
        writer.write(self.body[half:])
        await writer.drain()

    @property
    def known(self) -> Server:
        """The engine as a gateway knows it."""
        return Server(self.instance, "llm", self.address, "a")


@asynccontextmanager
async def in_thread(engine):
    """Run a fake in a thread of its own, as another process would run."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()

    async def call(work):
        await asyncio.wrap_future(asyncio.run_coroutine_threadsafe(work, loop))

    try:
        await call(engine.start())
        yield engine
        await call(engine.stop())
    finally:
        loop.call_soon_threadsafe(loop.stop)
        await asyncio.to_thread(thread.join)
        loop.close()


class PausingStore(FakePlatformStore):
    """Pauses the event loop of its caller with each call."""

    def __init__(self):
        super().__init__()
        self.caller = asyncio.get_running_loop()

    @web.middleware
    async def _inject_faults(self, request, handler):
        self.caller.call_soon_threadsafe(time.sleep, STORE_PAUSE_S)
        await asyncio.sleep(ANSWER_S)
        return await super()._inject_faults(request, handler)
