"""TCP forwarder between processes under test, which can cut or stall."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager, suppress

CHUNK_BYTES = 64 * 1024


class Relay:
    """Forwards connections to a target until told otherwise."""

    def __init__(self, target: str):
        self.target = target
        self.address = ""
        self._flowing = asyncio.Event()
        self._flowing.set()
        self._cut = False
        self._writers: set[asyncio.StreamWriter] = set()

    @classmethod
    @asynccontextmanager
    async def serving(cls, target: str):
        relay = cls(target)
        server = await asyncio.start_server(relay._forward, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        relay.address = f"127.0.0.1:{port}"
        try:
            yield relay
        finally:
            server.close()
            relay.cut()

    def cut(self):
        """Reset every connection and refuse new ones."""
        self._cut = True
        for writer in list(self._writers):
            writer.transport.abort()

    def stall(self):
        """Keep connections open but forward nothing."""
        self._flowing.clear()

    def heal(self):
        """Forward again, what was held back first."""
        self._cut = False
        self._flowing.set()

    async def _forward(self, reader, writer):
        if self._cut:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            host, _, port = self.target.rpartition(":")
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            self._writers.discard(writer)
            return
        self._writers.add(far_writer)
        await asyncio.gather(
            self._pump(reader, far_writer), self._pump(far_reader, writer)
        )
        self._writers -= {writer, far_writer}

    async def _pump(self, reader, writer):
        with suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                await self._flowing.wait()
                writer.write(data)
                await writer.drain()
        writer.transport.abort()
