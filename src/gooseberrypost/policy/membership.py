"""Which backend servers exist, from registrations that may lapse wrongly.

Registrations are kept by leases. While the store is away leases may run out
although their servers live; those are written again soon after the store is
back. A server whose registration disappears then, or together with most of
its service, stays in use for ``LAPSE_GRACE_S``.

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
"""Registrations are back 2 s after the store's return; and some delay."""
REGAINED_S: Final = 0.3
"""Removals seen this soon after the store's return may be lapses."""
LAPSE_COUNT: Final = 3
"""Least servers that disappear together without the loss of the store."""
LAPSE_SHARE: Final = 0.6
"""Share of a service's servers that does not leave at the same moment."""


@dataclass(slots=True, frozen=True)
class ServerChange:
    """A change of the list."""

    what: str
    server: Server

    def line(self, at: int) -> str:
        """Format the change; ``at`` is the store's revision."""
        server = self.server
        return format_fields(
            [
                ("event", "server"),
                ("change", self.what),
                ("server", server.instance),
                ("service", server.service),
                ("address", server.address),
                ("stage", server.stage.value),
                ("revision", server.revision),
                ("at", at),
            ]
        )


class ServerList:
    """Registered servers, by instance."""

    __slots__ = (
        "_by_service",
        "_lapsed_s",
        "_regained_s",
        "_servers",
        "is_known",
    )

    def __init__(self) -> None:
        self._servers: dict[str, Server] = {}
        self._by_service: dict[str, tuple[Server, ...]] = {}
        self._lapsed_s: dict[str, float] = {}
        """When the registration of a server in use disappeared."""
        self._regained_s = float("-inf")
        self.is_known = False
        """Whether the list was read at least once."""

    def of(self, service: str, now_s: float) -> tuple[Server, ...]:
        """Servers of a service, those that leave included."""
        self._expire(now_s)
        return self._by_service.get(service, ())

    def all(self) -> tuple[Server, ...]:
        """Return every server of the list."""
        return tuple(self._servers.values())

    def note_regained(self, now_s: float) -> None:
        """Note that the store answers again."""
        self._regained_s = now_s

    def apply(
        self,
        written: Iterable[Server],
        removed: Iterable[str],
        is_whole: bool,
        now_s: float,
    ) -> list[ServerChange]:
        """Take changes, or a whole list, and return what changed here."""
        changes = []
        written = list(written)
        for server in written:
            change = self._write(server)
            if change:
                changes.append(ServerChange(change, server))
        gone = [key for key in removed if key in self._servers]
        if is_whole:
            present = {server.instance for server in written}
            gone += [key for key in self._servers if key not in present]
        changes += self._remove(gone, now_s)
        self._index()
        self.is_known = True
        return changes

    def _write(self, server: Server) -> str:
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

    def _remove(self, gone: list[str], now_s: float) -> list[ServerChange]:
        changes = []
        for key in gone:
            server = self._servers[key]
            if key in self._lapsed_s:
                continue
            if not server.draining and self._may_have_lapsed(
                server, gone, now_s
            ):
                self._lapsed_s[key] = now_s
                changes.append(ServerChange("lapsed", server))
                continue
            del self._servers[key]
            changes.append(ServerChange("left", server))
        return changes

    def _may_have_lapsed(
        self, server: Server, gone: list[str], now_s: float
    ) -> bool:
        if now_s - self._regained_s <= REGAINED_S:
            return True
        ours = [
            key
            for key, other in self._servers.items()
            if other.service == server.service
        ]
        leaving = sum(key in gone for key in ours)
        return leaving >= LAPSE_COUNT and leaving >= LAPSE_SHARE * len(ours)

    def _expire(self, now_s: float) -> None:
        if not self._lapsed_s:
            return
        over = [
            key
            for key, since_s in self._lapsed_s.items()
            if now_s - since_s > LAPSE_GRACE_S
        ]
        for key in over:
            del self._lapsed_s[key]
            self._servers.pop(key, None)
        if over:
            self._index()

    def _index(self) -> None:
        lists: dict[str, list[Server]] = {}
        for server in self._servers.values():
            lists.setdefault(server.service, []).append(server)
        self._by_service = {
            service: tuple(servers) for service, servers in lists.items()
        }
