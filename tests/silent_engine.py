"""Sound engine whose streams are silent or break off at set times."""

from __future__ import annotations

import asyncio

from tests.gateway_kit import GatewayKit, configuration
from tests.standins.platform_engine import (
    FakePlatformEngine,
    reset_connection,
)

DEADLINE_MS = 14_000


class SilentEngine(FakePlatformEngine):
    """Sends an event every ``event_s`` seconds, but for one silence."""

    def __init__(self, instance: str, stage: str = ""):
        super().__init__(instance, stage)
        self.events, self.event_s = 30, 0.05
        self.silent_after: int | None = None
        """Event after which the engine is silent once."""
        self.silence_s = 0.0
        self.head_s = 0.0
        """Time from the head of an answer to its first event."""
        self.breaks_after: int | None = None
        """Event after which the engine breaks off a new stream."""
        self.answers_when_silent = True
        """Whether control calls are answered in the silence."""
        self.resets = 0
        """Number of moved runs that are reset before they are read."""
        self.move_s = 0.0
        """Time until a stopped run is copied."""
        self.speaks = asyncio.Event()
        self.speaks.set()

    async def _handle(self, request, reader, writer):
        is_control = request.target.startswith("/-/")
        if is_control and not self.answers_when_silent:
            await self.speaks.wait()
        if self.resets and request.header("Kv-Source"):
            self.resets -= 1
            return reset_connection(writer)
        if request.target == "/-/kv-move":
            self.control.append(request)
            status, body = self._control(request)
            await asyncio.sleep(self.move_s)
            return await self._json(writer, status, body)
        await super()._handle(request, reader, writer)

    async def _stream(self, request, writer):
        writer.write(self._stream_head(request))
        await writer.drain()
        await asyncio.sleep(self.head_s)
        first = int(request.headers.get("last-event-id") or 0)
        for number in range(first + 1, self.events + 1):
            event = self._event(number)
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            if number == self.breaks_after and not first:
                return
            if number == self.silent_after:
                self.silent_after = None
                self.speaks.clear()
                await asyncio.sleep(self.silence_s)
                self.speaks.set()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


async def add_engines(kit: GatewayKit, *names: str) -> list[SilentEngine]:
    """Add a prefill engine and decode engines, and allow long requests."""
    kit.store.put("op/config", configuration(4, timeout_ms=DEADLINE_MS))
    await kit.add("p", "llm", "prefill")
    engines = [
        await kit.add(name, "llm", "decode", kind=SilentEngine)
        for name in names
    ]
    directory = kit.daemon.context.directory
    await kit.until(
        lambda: (
            len(directory.servers.all()) == len(kit.engines)
            and directory.configuration.version == 4
        )
    )
    return engines


async def stream(kit: GatewayKit, route: str):
    """Request a stream whose client waits long."""
    return await kit.generate(
        f"/{route}/x", X_Gooseberrypost_Deadline_Ms=str(DEADLINE_MS)
    )


def whole(events: int) -> bytes:
    """Return the body of a whole stream."""
    return b"".join(
        f"id: {number}\ndata: {number}\n\n".encode()
        for number in range(1, events + 1)
    )
