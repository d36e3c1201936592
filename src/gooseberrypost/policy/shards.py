"""Claim shards: which entry takes a free one, without coordination.

Before an entry takes a free shard it waits, longer the more shards it holds.
Entries with few shards thus come first, and a shard that no other entry takes
is eventually taken even by an entry that has its fair share.

>>> [take_delay_ms(held, shards=8, entries=4) for held in (0, 2, 3)]
[0, 200, 1500]
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Sequence

DELAY_PER_SHARD_MS: Final = 100
"""Delay before taking a free shard, in ms for each shard already held."""
OVER_SHARE_DELAY_MS: Final = 1_500
"""Delay before an entry over its fair share takes a free shard, in ms.

A new cluster in which only one of several entries has started thus has owners
within 2 s.
"""
CANDIDATE_ENTRIES: Final = 3
"""Number of entries that check a shard often; the others check it rarely.

If all checked often, 420 entries would use up the request rate of the
key-value service.
"""
CANDIDATE_CHECK_INTERVAL_MS: Final = 2_000
"""Time between two checks of a shard by a candidate, in ms."""
NON_CANDIDATE_CHECK_INTERVAL_MS: Final = 120_000
"""Time between two checks of a shard by any other entry, in ms."""


def fair_share(shards: int, entries: int) -> int:
    """Return the shards of one entry if all hold equally many, rounded up."""
    return -(-shards // max(1, entries))


def take_delay_ms(held: int, shards: int, entries: int) -> int:
    """Return how long a shard must be free before an entry takes it, in ms.

    An entry takes at most one shard more than its fair share, unless no other
    entry takes the shard.
    """
    if held <= fair_share(shards, entries):
        return held * DELAY_PER_SHARD_MS
    return OVER_SHARE_DELAY_MS


def check_interval_ms(shard: int, entry: str, peers: Sequence[str]) -> int:
    """Return the time between checks of a shard that another entry holds.

    The time is in ms. The candidates of a shard are the entries that rank
    first by rendezvous hashing.
    """

    def weight(address: str) -> bytes:
        text = f"{shard} {address}"
        return hashlib.blake2b(text.encode(), digest_size=8).digest()

    own_weight = weight(entry)
    rank = sum(weight(peer) > own_weight for peer in peers if peer != entry)
    return (
        CANDIDATE_CHECK_INTERVAL_MS
        if rank < CANDIDATE_ENTRIES
        else NON_CANDIDATE_CHECK_INTERVAL_MS
    )
