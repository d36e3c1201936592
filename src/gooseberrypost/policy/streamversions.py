"""Memory of the software versions that began streams, bounded in time.

A client whose stream broke off takes it up at any gateway, which has to send
it to a server of the version that began it.

>>> versions = StreamVersions(retention_s=60.0)
>>> versions.record("a", "v1", now_s=0.0)
>>> versions.version_of("a", now_s=59.0), versions.version_of("a", now_s=61.0)
('v1', None)
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gooseberrypost.gateway.model import Server

MAX_STREAMS: Final = 131_072
"""Streams that are remembered; the oldest are dropped beyond it."""


class StreamVersions:
    """Versions of streams by key, dropped after ``retention_s``."""

    __slots__ = ("_streams", "retention_s")

    def __init__(self, retention_s: float) -> None:
        self.retention_s = retention_s
        """Time for which clients may take a stream up."""
        self._streams: OrderedDict[str, tuple[str, float]] = OrderedDict()
        """Version and time of each stream, the oldest first."""

    def __len__(self) -> int:
        """Return the number of streams."""
        return len(self._streams)

    def record(self, stream: str, version: str, now_s: float) -> None:
        """Record the version of a stream, in place of an earlier one."""
        self._streams[stream] = version, now_s
        self._streams.move_to_end(stream)
        while len(self._streams) > MAX_STREAMS:
            self._streams.popitem(last=False)
        self._expire(now_s)

    def version_of(self, stream: str, now_s: float) -> str | None:
        """Return the version of a stream; None if it is not known."""
        self._expire(now_s)
        known = self._streams.get(stream)
        return None if known is None else known[0]

    def since(self, since_s: float, limit: int) -> dict[str, str]:
        """Return the streams of that time and later, the newest first."""
        newest = {}
        for stream, (version, at_s) in reversed(self._streams.items()):
            if at_s < since_s or len(newest) >= limit:
                break
            newest[stream] = version
        return newest

    def _expire(self, now_s: float) -> None:
        oldest_s = now_s - self.retention_s
        while self._streams:
            stream, (_, at_s) = next(iter(self._streams.items()))
            if at_s >= oldest_s:
                return
            del self._streams[stream]


class ServingVersions:
    """Versions that serve each service, or served it not long ago."""

    __slots__ = ("_last_seen_s",)

    def __init__(self) -> None:
        self._last_seen_s: dict[tuple[str, str], float] = {}
        """Time at which a service last had a server of a version."""

    def record(self, servers: Iterable[Server], now_s: float) -> None:
        """Record the servers that are registered now."""
        for server in servers:
            self._last_seen_s[server.service, server.version] = now_s

    def record_all(
        self, service: str, versions: Iterable[str], now_s: float
    ) -> None:
        """Record that a service has servers of these versions now."""
        for version in versions:
            self._last_seen_s[service, version] = now_s

    def add(self, service: str, version: str, now_s: float) -> None:
        """Record a version unless it is known already."""
        self._last_seen_s.setdefault((service, version), now_s)

    def recent(
        self, service: str, retention_s: float, now_s: float
    ) -> set[str]:
        """Return the versions whose streams clients may still take up."""
        return {
            version
            for (name, version), seen_s in self._last_seen_s.items()
            if name == service and now_s - seen_s <= retention_s
        }


def default_version(
    servers: Iterable[Server], recent: set[str], current: str | None
) -> str | None:
    """Return the version of streams that no record names.

    It stays the same while a client may take up a stream that it began. Then
    it is the version of most servers, so that few streams need a record. None
    if the service has no servers.

    >>> from gooseberrypost.gateway.model import Server
    >>> old = Server("a", "llm", "10.0.0.1:80", "z", version="v1")
    >>> new = Server("b", "llm", "10.0.0.2:80", "z", version="v2")
    >>> default_version([old, new, new], {"v1", "v2"}, "v1")
    'v1'
    >>> default_version([new], {"v2"}, "v1")
    'v2'
    """
    if current is not None and current in recent:
        return current
    counts = Counter(server.version for server in servers)
    if not counts:
        return current
    return max(counts, key=lambda version: (counts[version], version))
