"""Entries heard of, and which of them watch the key-value service."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Sequence

WATCHERS_PER_ZONE: Final = 2
CANDIDATES_PER_ZONE: Final = 3
"""Entries of the zone that an entry pulls from, to know the watchers.

With 2, a watcher that died would leave the rest without news of the next.
"""
KNOWN_WINDOWS: Final = 10
"""Windows for which an entry not heard may still be pulled from."""
PEERS_PER_PULL: Final = 2
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


def choose_peers(
    rng: random.Random, peers: Sequence[str], preferred: Sequence[str] = ()
) -> list[str]:
    """Peers of one pull at random, one of them preferred where there is."""
    chosen = rng.sample(preferred, min(1, len(preferred)))
    others = [peer for peer in peers if peer not in chosen]
    count = min(PEERS_PER_PULL - len(chosen), len(others))
    return chosen + rng.sample(others, count)


class Members:
    """Entries of the own availability zone, by the time last heard."""

    __slots__ = ("_address", "_heard_ms", "_name", "_window_ms", "_zone")

    def __init__(self, name: str, zone: str, window_ms: int) -> None:
        self._name = name
        self._zone = zone
        self._window_ms = window_ms
        self._heard_ms: dict[str, int] = {}
        self._address: dict[str, str] = {}

    def heard(
        self,
        kind: str,
        name: str,
        zone: str,
        now_ms: int,
        address: str = "",
    ) -> None:
        """Note a message of a process, and where it was reached."""
        if kind == "entry" and zone == self._zone:
            self._heard_ms[name] = now_ms
            if address:
                self._address[name] = address

    def candidates(self, now_ms: int) -> list[str]:
        """Addresses of the entries most likely to watch, this one aside.

        An entry that does not hear the watchers of its zone would take
        itself for one.
        """
        oldest_ms = now_ms - KNOWN_WINDOWS * self._window_ms
        known = {
            n for n in self._address if self._heard_ms[n] >= oldest_ms
        } - {self._name}
        lowest = rendezvous_lowest(known, self._zone, CANDIDATES_PER_ZONE)
        return [self._address[name] for name in lowest]

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
