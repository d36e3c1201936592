"""Entries heard of, and which of them watch the key-value service."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

WATCHERS_PER_ZONE: Final = 2
PEER_SUBSET: Final = 16
"""Peers that a process pulls from, which bounds its connections."""


def rendezvous_lowest(
    names: Iterable[str], salt: str, count: int
) -> list[str]:
    """Names with the lowest hash together with ``salt``, lowest first."""

    def weight(name: str) -> bytes:
        digest = hashlib.blake2b(digest_size=8)
        digest.update(f"{salt}\0{name}".encode())
        return digest.digest()

    return sorted(set(names), key=weight)[:count]


class Members:
    """Entries of the own availability zone, by the time last heard."""

    __slots__ = ("_heard_ms", "_name", "_window_ms", "_zone")

    def __init__(self, name: str, zone: str, window_ms: int) -> None:
        self._name = name
        self._zone = zone
        self._window_ms = window_ms
        self._heard_ms: dict[str, int] = {}

    def heard(self, kind: str, name: str, zone: str, now_ms: int) -> None:
        """Note a message of a process."""
        if kind == "entry" and zone == self._zone:
            self._heard_ms[name] = now_ms

    def watches(self, now_ms: int) -> bool:
        """Whether this process is one of the watchers of its zone.

        An entry not heard for the window does not count, so that a dead
        watcher is replaced.
        """
        oldest_ms = now_ms - self._window_ms
        live = {n for n, at in self._heard_ms.items() if at >= oldest_ms}
        live.add(self._name)
        watchers = rendezvous_lowest(live, self._zone, WATCHERS_PER_ZONE)
        return self._name in watchers
