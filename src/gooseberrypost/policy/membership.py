"""Membership of backend servers, tolerant of wrongly lapsed registrations.

Registrations are bound to leases in the store. While the store is unavailable
leases may expire although their servers are alive; such servers register
again soon after the store has recovered. A server whose registration
disappears at that time, or together with most of its service, therefore stays
in use for ``LAPSE_GRACE_S``.

>>> servers = ServerList()
>>> server = Server("i", "desk", "10.0.0.1:80", "a")
>>> _ = servers.apply([server], [], True, 0.0)
>>> [server.instance for server in servers.of("desk", 0.0)]
['i']
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from gooseberrypost.gateway.model import Server
from gooseberrypost.logs import format_fields

if TYPE_CHECKING:
    from collections.abc import Iterable

LAPSE_GRACE_S: Final = 2.3
"""Time for which a server with a lapsed registration stays in use.

Servers register again within 2 s after the store has recovered; the rest
allows for delays.
"""
RECONNECT_WINDOW_S: Final = 0.3
"""Time after a reconnect to the store in which any removal may be a lapse."""
MIN_LAPSE_COUNT: Final = 3
"""Minimum number of servers removed at once to be treated as a lapse.

It applies to removals without a preceding loss of the store.
"""
MIN_LAPSE_SHARE: Final = 0.6
"""Minimum share of a service removed at once to be treated as a lapse.

So many servers do not leave on purpose at the same moment.
"""


@dataclass(slots=True, frozen=True)
class ServerChange:
    """A change in the membership of one server."""

    kind: str
    """Logged as ``change``: joined, returned, restarted, lapsed and so on."""
    server: Server

    def log_line(self, at: int) -> str:
        """Format a log line; ``at`` is the store revision of the change."""
        server = self.server
        return format_fields(
            [
                ("event", "server"),
                ("change", self.kind),
                ("server", server.instance),
                ("service", server.service),
                ("address", server.address),
                ("stage", server.stage.value),
                ("revision", server.revision),
                ("at", at),
            ]
        )


class ServerList:
    """Registered servers by instance, lapsed ones in use included."""

    __slots__ = (
        "_by_service",
        "_lapsed_s",
        "_reconnected_s",
        "_servers",
        "is_loaded",
    )

    def __init__(self) -> None:
        self._servers: dict[str, Server] = {}
        self._by_service: dict[str, tuple[Server, ...]] = {}
        self._lapsed_s: dict[str, float] = {}
        """Time at which the registration of a server still in use lapsed."""
        self._reconnected_s = float("-inf")
        self.is_loaded = False
        """Whether the list has been read from the store at least once."""

    def of(self, service: str, now_s: float) -> tuple[Server, ...]:
        """Return the servers of a service, draining ones included."""
        self._expire(now_s)
        return self._by_service.get(service, ())

    def all(self) -> tuple[Server, ...]:
        """Return the servers of all services."""
        return tuple(self._servers.values())

    def record_reconnect(self, now_s: float) -> None:
        """Record that the store answers again after an outage."""
        self._reconnected_s = now_s

    def apply(
        self,
        written: Iterable[Server],
        removed: Iterable[str],
        is_snapshot: bool,
        now_s: float,
    ) -> list[ServerChange]:
        """Apply registrations and removals, and return the resulting changes.

        With ``is_snapshot``, ``written`` is the complete list and servers
        that are not in it are removed. A registration older than the known
        one is ignored.
        """
        changes = []
        written = list(written)
        for server in written:
            change = self._register(server)
            if change:
                changes.append(ServerChange(change, server))
        missing = [key for key in removed if key in self._servers]
        if is_snapshot:
            present = {server.instance for server in written}
            missing += [key for key in self._servers if key not in present]
        changes += self._remove(missing, now_s)
        self._index()
        self.is_loaded = True
        return changes

    def _register(self, server: Server) -> str:
        known = self._servers.get(server.instance)
        if known is not None and server.revision < known.revision:
            return ""
        self._servers[server.instance] = server
        lapsed = self._lapsed_s.pop(server.instance, None) is not None
        if known is None:
            return "joined"
        if lapsed:
            return "returned"
        if server.started_ms != known.started_ms:
            return "restarted"
        if server.draining and not known.draining:
            return "draining"
        if server.stage != known.stage:
            return "stage"
        return ""

    def _remove(self, removed: list[str], now_s: float) -> list[ServerChange]:
        changes = []
        for key in removed:
            server = self._servers[key]
            if key in self._lapsed_s:
                continue
            if not server.draining and self._may_have_lapsed(
                server, removed, now_s
            ):
                self._lapsed_s[key] = now_s
                changes.append(ServerChange("lapsed", server))
                continue
            del self._servers[key]
            changes.append(ServerChange("left", server))
        return changes

    def _may_have_lapsed(
        self, server: Server, removed: list[str], now_s: float
    ) -> bool:
        if now_s - self._reconnected_s <= RECONNECT_WINDOW_S:
            return True
        members = [
            key
            for key, other in self._servers.items()
            if other.service == server.service
        ]
        leaving = sum(key in removed for key in members)
        return leaving >= MIN_LAPSE_COUNT and leaving >= MIN_LAPSE_SHARE * len(
            members
        )

    def _expire(self, now_s: float) -> None:
        if not self._lapsed_s:
            return
        expired = [
            key
            for key, since_s in self._lapsed_s.items()
            if now_s - since_s > LAPSE_GRACE_S
        ]
        for key in expired:
            del self._lapsed_s[key]
            self._servers.pop(key, None)
        if expired:
            self._index()

    def _index(self) -> None:
        by_service: dict[str, list[Server]] = {}
        for server in self._servers.values():
            by_service.setdefault(server.service, []).append(server)
        self._by_service = {
            service: tuple(servers) for service, servers in by_service.items()
        }
