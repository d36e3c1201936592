"""TCP proxy for fault injection: cuts or stalls its connections."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager, suppress

CHUNK_BYTES = 64 * 1024


class Relay:
    """Forwards connections to a target unless cut or stalled."""

    def __init__(self, target: str):
        self.target = target
        self.address = ""
        self._forwarding = asyncio.Event()
        self._forwarding.set()
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
        """Abort every connection, and new ones once they are accepted."""
        self._cut = True
        for writer in list(self._writers):
            writer.transport.abort()

    def stall(self):
        """Forward nothing, but keep accepting and holding connections."""
        self._forwarding.clear()

    def heal(self):
        """End a cut or stall; data held back by a stall is forwarded."""
        self._cut = False
        self._forwarding.set()

    async def _forward(self, reader, writer):
        if self._cut:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            host, _, port = self.target.rpartition(":")
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            self._writers.discard(writer)
            return
        self._writers.add(target_writer)
        await asyncio.gather(
            self._pump(reader, target_writer),
            self._pump(target_reader, writer),
        )
        self._writers -= {writer, target_writer}

    async def _pump(self, reader, writer):
        with suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                await self._forwarding.wait()
                writer.write(data)
                await writer.drain()
        writer.transport.abort()
