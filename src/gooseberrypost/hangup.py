"""Ends of connections that are not read."""

from __future__ import annotations

import asyncio
import select
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from gooseberrypost.clientconnection import ClientConnection

CHECK_INTERVAL_S: Final = 0.05
"""Interval at which connections that are not read are checked."""
PEER_CLOSED: Final = getattr(select, "POLLRDHUP", 0)
"""Event of a peer that sends no more, also behind unread bytes."""


class HangupWatch:
    """Ends connections whose client has left while they are not read.

    A connection is not read while more waits than is kept for it. asyncio sees
    the end of a connection only by reading up to it. The system tells of it
    before; where it has no such event, only a reset is seen.
    """

    __slots__ = ("_connections", "_poll", "_timer")

    def __init__(self) -> None:
        self._poll = select.poll()
        self._connections: dict[int, ClientConnection] = {}
        """Connections that are not read, by file descriptor."""
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        return len(self._connections)

    def add(self, conn: ClientConnection, descriptor: int) -> None:
        """Begin to watch a connection."""
        self._connections[descriptor] = conn
        self._poll.register(descriptor, PEER_CLOSED)
        if self._timer is None:
            self._schedule()

    def remove(self, descriptor: int) -> None:
        """Stop watching a connection, before its descriptor is closed."""
        if self._connections.pop(descriptor, None) is not None:
            self._poll.unregister(descriptor)

    def _schedule(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(
            CHECK_INTERVAL_S, self._check
        )

    def _check(self) -> None:
        self._timer = None
        for descriptor, _ in self._poll.poll(0):
            self._connections[descriptor].abort()
        if self._connections:
            self._schedule()
