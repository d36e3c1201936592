"""Election of the entries that watch the key-value service.

In each availability zone the live entries with the lowest rendezvous hashes
watch ``config/head``; the others get the configuration from their peers.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Sequence

WATCHERS_PER_ZONE: Final = 2
WATCHER_CANDIDATES_PER_ZONE: Final = 3
"""Likely watchers of its zone, of which an entry includes one in each pull.

The pulls show whether the watchers are alive. One more candidate than
watchers is needed: with 2, the entries would not see the next watcher after
one of the watchers died.
"""
CANDIDATE_MAX_AGE_TIMEOUTS: Final = 10
"""Time for which an unseen entry stays a candidate, in member timeouts."""
PEERS_PER_PULL: Final = 2
PEER_SUBSET_SIZE: Final = 16
"""Peers from which a process pulls; bounds its connections."""


def rendezvous_lowest(
    names: Iterable[str], salt: str, count: int
) -> list[str]:
    """Names with the lowest hashes of salt and name, lowest first."""

    def salted_hash(name: str) -> bytes:
        digest = hashlib.blake2b(digest_size=8)
        digest.update(f"{salt}\0{name}".encode())
        return digest.digest()

    return sorted(set(names), key=salted_hash)[:count]


def choose_peers(
    rng: random.Random, peers: Sequence[str], preferred: Sequence[str] = ()
) -> list[str]:
    """Random peers for one pull; one is a preferred peer if there is any."""
    chosen = rng.sample(preferred, min(1, len(preferred)))
    other_peers = [peer for peer in peers if peer not in chosen]
    count = min(PEERS_PER_PULL - len(chosen), len(other_peers))
    return chosen + rng.sample(other_peers, count)


class ZoneMembers:
    """Entries of this availability zone and when each was last seen."""

    __slots__ = (
        "_addresses",
        "_last_seen_ms",
        "_name",
        "_timeout_ms",
        "_zone",
    )

    def __init__(self, name: str, zone: str, timeout_ms: int) -> None:
        self._name = name
        self._zone = zone
        self._timeout_ms = timeout_ms
        self._last_seen_ms: dict[str, int] = {}
        self._addresses: dict[str, str] = {}

    def observe(
        self,
        kind: str,
        name: str,
        zone: str,
        now_ms: int,
        address: str = "",
    ) -> None:
        """Record a message of a process, and its address if that is known."""
        if kind == "entry" and zone == self._zone:
            self._last_seen_ms[name] = now_ms
            if address:
                self._addresses[name] = address

    def watcher_candidates(self, now_ms: int) -> list[str]:
        """Addresses of the entries most likely to watch, without this one.

        This entry must keep in contact with the watchers of its zone:
        otherwise it would elect itself.
        """
        oldest_ms = now_ms - CANDIDATE_MAX_AGE_TIMEOUTS * self._timeout_ms
        reachable = {
            n for n in self._addresses if self._last_seen_ms[n] >= oldest_ms
        } - {self._name}
        lowest = rendezvous_lowest(
            reachable, self._zone, WATCHER_CANDIDATES_PER_ZONE
        )
        return [self._addresses[name] for name in lowest]

    def is_watcher(self, now_ms: int) -> bool:
        """Whether this process is one of the watchers of its zone.

        Entries not seen within the member timeout are left out, so that a
        dead watcher is replaced.
        """
        oldest_ms = now_ms - self._timeout_ms
        live = {n for n, at in self._last_seen_ms.items() if at >= oldest_ms}
        live.add(self._name)
        watchers = rendezvous_lowest(live, self._zone, WATCHERS_PER_ZONE)
        return self._name in watchers
