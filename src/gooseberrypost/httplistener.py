"""Listener of an HTTP server that stops without losing a request."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, Final, Self

if TYPE_CHECKING:
    from aiohttp import web

BACKLOG: Final = 1_024
"""Connections that the system accepts before the process does."""
ACCEPT_BATCH: Final = 8
"""Connections that the process accepts in one pass of the event loop.

Those beyond a limit are closed in a later pass and have a descriptor until
then.
"""
PASSES_TO_ATTACH: Final = 2
"""Passes of the event loop from accepting a connection to its transport."""
CLOSE_INTERVAL_S: Final = 0.02
"""Interval at which connections that have become idle are closed."""


class HttpListener:
    """Accepts connections for an HTTP server until they are closed."""

    __slots__ = ("_accepts", "_server", "_socket", "address")

    def __init__(
        self, server: web.Server, accepts: asyncio.Server, sock: socket.socket
    ) -> None:
        self._server = server
        self._accepts = accepts
        self._socket = sock
        host, port = sock.getsockname()[:2]
        self.address = f"{host}:{port}"
        """Bound ``host:port``."""

    @classmethod
    async def open(
        cls, server: web.Server, address: str, backlog: int = BACKLOG
    ) -> Self:
        """Listen at ``host:port``; raises ``OSError`` if it is in use.

        The server's connections have to be ``ClientConnection``s.
        """
        host, _, port = address.rpartition(":")
        sock = socket.create_server((host, int(port)), backlog=backlog)
        accepts = await asyncio.get_running_loop().create_server(
            server, sock=sock, backlog=ACCEPT_BATCH
        )
        # The event loop has replaced the length of the system's queue by the
        # number of connections that it accepts at once.
        sock.listen(backlog)
        return cls(server, accepts, sock)

    async def close_when_idle(self, wait_s: float) -> None:
        """Accept no more connections and close each one once it is idle.

        Ends when all are closed and their answers have left the process, at
        the latest after ``wait_s`` seconds. A connection is closed at the
        moment at which it is seen to be idle: bytes that arrive later are
        never read, by which their sender knows that they had no effect.
        """
        await self._stop_accepting()
        loop = asyncio.get_running_loop()
        end_s = loop.time() + wait_s
        while connections := self._server.connections:
            for connection in connections:
                if connection.is_idle:
                    connection.force_close()
            left_s = end_s - loop.time()
            if left_s <= 0:
                return
            await asyncio.sleep(min(CLOSE_INTERVAL_S, left_s))

    async def _stop_accepting(self) -> None:
        if not self._accepts.is_serving():
            return
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._socket.fileno())
        await self._accept_queued()
        # Connections that were accepted in this pass of the event loop get
        # their transports in the next one, from an open server only.
        for _ in range(PASSES_TO_ATTACH):
            await asyncio.sleep(0)
        self._accepts.close()

    async def _accept_queued(self) -> None:
        """Accept what the system has accepted; closing would reset it."""
        loop = asyncio.get_running_loop()
        for _ in range(BACKLOG):
            try:
                accepted, _ = self._socket.accept()
            except OSError:
                return
            await loop.connect_accepted_socket(self._server, accepted)

    async def close(self, wait_s: float) -> None:
        """Close all connections; handlers get ``wait_s`` seconds to end."""
        await self._stop_accepting()
        self._server.pre_shutdown()
        await self._server.shutdown(wait_s)
