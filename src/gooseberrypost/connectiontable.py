"""Open connections of clients, and which of them are closed for others."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from gooseberrypost.clientrefusals import Cause, ClientRefusals
from gooseberrypost.hangup import HangupWatch
from gooseberrypost.processmemory import descriptor_limit
from gooseberrypost.state.memorybudget import MemoryBudget

if TYPE_CHECKING:
    from gooseberrypost.clientconnection import ClientConnection

RESERVED_DESCRIPTORS: Final = 48
"""Descriptors for listeners, logs, the store, and connections that are
accepted before others are closed."""
DESCRIPTORS_PER_CLIENT: Final = 2
"""Descriptors of a client's connection and of that to its server."""
MIN_CONNECTIONS: Final = 8
MIN_FIELD_BYTES: Final = 64
"""Mean size of a header field with which a head may be full of fields.

A field costs about 350 bytes of memory however short it is. The default head
of 16 KB may have 256 fields.
"""
BYTES_PER_CONNECTION: Final = 64 * 1024
"""Part of the memory budget for each connection that is allowed."""
PLAIN_HEADER_BYTES: Final = 16 * 1024
PLAIN_HEADER_TIMEOUT_S: Final = 3.0


def connection_limit(file_descriptors: int, budget_bytes: int) -> int:
    """Return the connections that the descriptors and the memory allow.

    >>> connection_limit(1_024, 64_000_000), connection_limit(10, 64_000_000)
    (488, 8)
    >>> connection_limit(1_024, 20_000_000)
    305
    """
    descriptors = file_descriptors or descriptor_limit()
    usable = (descriptors - RESERVED_DESCRIPTORS) // DESCRIPTORS_PER_CLIENT
    in_memory = budget_bytes // BYTES_PER_CONNECTION
    return max(min(usable, in_memory), MIN_CONNECTIONS)


@dataclass(slots=True, frozen=True)
class HeadLimits:
    """Limits of the head of a request."""

    max_bytes: int = PLAIN_HEADER_BYTES
    """Bytes of the header fields, and again of the request line."""
    timeout_s: float = PLAIN_HEADER_TIMEOUT_S
    """Time from the first byte of a head to its last."""
    unread_s: float = PLAIN_HEADER_TIMEOUT_S
    """Time for which a client may read nothing of an answer, if its deadline
    is not later."""

    @property
    def max_fields(self) -> int:
        """Number of header fields of a request."""
        return self.max_bytes // MIN_FIELD_BYTES


class ConnectionTable:
    """Bounds the connections of a process, and of each address.

    Beyond a limit, a connection that is closing is closed at once, otherwise
    the oldest one that has not sent a head, otherwise the one that has been
    idle longest. If all are at work, the new one is closed.
    """

    __slots__ = (
        "_by_address",
        "_connections",
        "budget",
        "hangups",
        "max_by_address",
        "max_connections",
        "refusals",
    )

    def __init__(
        self,
        refusals: ClientRefusals,
        budget: MemoryBudget,
        max_connections: int,
        max_by_address: int = 0,
    ) -> None:
        self.refusals = refusals
        self.budget = budget
        self.max_connections = max_connections
        self.max_by_address = max_by_address or max_connections
        self.hangups = HangupWatch()
        """Connections whose reading is paused."""
        self._connections: dict[ClientConnection, str] = {}
        """Address of each connection, in the order of their opening."""
        self._by_address: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self._connections)

    def add(self, conn: ClientConnection, address: str) -> None:
        """Add a connection and close one where a limit is exceeded."""
        self._connections[conn] = address
        self._by_address[address] += 1
        if self._by_address[address] > self.max_by_address:
            self._close_one(conn, address)
        elif len(self._connections) > self.max_connections:
            self._close_one(conn, "")

    def remove(self, conn: ClientConnection) -> None:
        """Remove a connection that was closed."""
        address = self._connections.pop(conn, None)
        if address is None:
            return
        self._by_address[address] -= 1
        if not self._by_address[address]:
            del self._by_address[address]

    def _close_one(self, newest: ClientConnection, address: str) -> None:
        victim = self._least_active(newest, address)
        client = self._connections[victim]
        self.remove(victim)
        self.refusals.record(Cause.CONNECTIONS, client)
        victim.abort()

    def _least_active(
        self, newest: ClientConnection, address: str
    ) -> ClientConnection:
        silent, idle = None, None
        for conn, peer in self._connections.items():
            if conn is newest or (address and peer != address):
                continue
            if conn.is_closing:
                return conn
            if not conn.has_sent_request:
                silent = silent or conn
            elif conn.is_idle and (
                idle is None or conn.idle_until_s < idle.idle_until_s
            ):
                idle = conn
        return silent or idle or newest
