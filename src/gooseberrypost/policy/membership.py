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

from collections import OrderedDict
from dataclasses import dataclass, replace
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
DEFAULT_HEARTBEAT_S: Final = 1.2
HOLD_HEARTBEATS: Final = 4
"""Heartbeats for which an outdated registration is held back.

The store removes that of a server that is silent for three heartbeats.
"""
MAX_LEFT: Final = 1_024
"""Servers that have left and that an older copy of the store may list."""
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
                ("version", server.version),
                ("revision", server.revision),
                ("at", at),
            ]
        )


class ServerList:
    """Registered servers by instance, lapsed ones in use included."""

    __slots__ = (
        "_by_service",
        "_held_back",
        "_lapsed_s",
        "_leaving",
        "_left",
        "_reconnected_s",
        "_servers",
        "heartbeat_s",
        "is_loaded",
    )

    def __init__(self) -> None:
        self._servers: dict[str, Server] = {}
        self._by_service: dict[str, tuple[Server, ...]] = {}
        self._lapsed_s: dict[str, float] = {}
        """Time at which the registration of a server still in use lapsed."""
        self._held_back: dict[str, tuple[Server, float]] = {}
        """Outdated registrations of a later era, and when they were read."""
        self._leaving: set[str] = set()
        """Identities of servers that have said that they leave."""
        self._left: OrderedDict[str, Server] = OrderedDict()
        """Last registration of the latest servers that left."""
        self._reconnected_s = float("-inf")
        self.heartbeat_s = DEFAULT_HEARTBEAT_S
        """Interval at which servers write their registrations."""
        self.is_loaded = False
        """Whether the list has been read from the store at least once."""

    def of(self, service: str, now_s: float) -> tuple[Server, ...]:
        """Return the servers of a service, draining ones included."""
        self._expire(now_s)
        return self._by_service.get(service, ())

    def all(self) -> tuple[Server, ...]:
        """Return the servers of all services."""
        return tuple(self._servers.values())

    def has_restarted(self, server: Server) -> bool:
        """Whether a later start of the server's instance is registered."""
        known = self._servers.get(server.instance)
        return known is not None and known.started_ms > server.started_ms > 0

    def record_reconnect(self, now_s: float) -> None:
        """Record that the store answers again after an outage."""
        self._reconnected_s = now_s

    def record_leaving(self, server: Server) -> bool:
        """Take a server that says that it leaves as draining.

        Its registration may say so only later. Returns whether it is news.
        """
        known = self._servers.get(server.instance)
        if known is None or known.identity != server.identity:
            return False
        if server.identity in self._leaving:
            return False
        self._leaving.add(server.identity)
        self._servers[server.instance] = replace(known, draining=True)
        self._index()
        return not known.draining

    def apply(
        self,
        written: Iterable[Server],
        removed: Iterable[str],
        is_snapshot: bool,
        now_s: float,
    ) -> list[ServerChange]:
        """Apply registrations and removals, and return the resulting changes.

        With ``is_snapshot``, ``written`` is the complete list and servers
        that are not in it are removed.

        A registration older than the known one is ignored. One that an older
        copy of the store has brought back is held back, until its server had
        time to write a newer one or the store to remove it. So is that of a
        server that has left.
        """
        changes = []
        written = list(written)
        for server in written:
            change = self._register(server, now_s)
            if change:
                changes.append(ServerChange(change, server))
        for key in removed:
            self._held_back.pop(key, None)
        missing = [key for key in removed if key in self._servers]
        if is_snapshot:
            present = {server.instance for server in written}
            for key in self._held_back.keys() - present:
                del self._held_back[key]
            missing += [key for key in self._servers if key not in present]
        changes += self._remove(missing, now_s)
        self._index()
        self.is_loaded = True
        return changes

    def _register(self, server: Server, now_s: float) -> str:
        known = self._servers.get(server.instance)
        newest = known or self._left.get(server.instance)
        if newest is not None and self._is_outdated(server, newest):
            if server.era == newest.era or server.instance in self._held_back:
                return ""
            self._held_back[server.instance] = server, now_s
            return "held_back"
        self._held_back.pop(server.instance, None)
        self._left.pop(server.instance, None)
        if server.identity in self._leaving:
            server = replace(server, draining=True)
        elif known is not None and known.identity != server.identity:
            self._leaving.discard(known.identity)
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

    def _is_outdated(self, server: Server, newest: Server) -> bool:
        """Whether a registration is older than the newest one known.

        In a later era, that of a server that has left is also outdated if it
        has not been written again since.
        """
        has_left = server.instance not in self._servers
        if has_left and server.era == newest.era:
            return False
        return server.is_older_than(newest) or (
            has_left and not newest.is_older_than(server)
        )

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
            self._leaving.discard(server.identity)
            self._left[key] = server
            self._left.move_to_end(key)
            if len(self._left) > MAX_LEFT:
                self._left.popitem(last=False)
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
        if self._held_back:
            self._release_held_back(now_s)
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

    def _release_held_back(self, now_s: float) -> None:
        """Use registrations that the store has kept listing."""
        hold_s = HOLD_HEARTBEATS * self.heartbeat_s
        due = [
            server
            for server, since_s in self._held_back.values()
            if now_s - since_s > hold_s
        ]
        for server in due:
            del self._held_back[server.instance]
            self._left.pop(server.instance, None)
            self._servers[server.instance] = server
        if due:
            self._index()

    def _index(self) -> None:
        by_service: dict[str, list[Server]] = {}
        for server in self._servers.values():
            by_service.setdefault(server.service, []).append(server)
        self._by_service = {
            service: tuple(servers) for service, servers in by_service.items()
        }
