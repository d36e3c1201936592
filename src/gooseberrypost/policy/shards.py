"""Which entry takes a free claim shard, without coordination between them.

Each entry waits before it takes a free shard: the more shards it holds, the
longer. Entries that hold few are first, and a shard that nobody else wants is
taken in the end even by an entry that has its share.

>>> [take_delay_ms(held, shards=8, entries=4) for held in (0, 2, 3)]
[0, 200, 1500]
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Sequence

STEP_MS: Final = 100
UNWANTED_MS: Final = 1_500
"""A shard free for this long is taken by an entry beyond its share.

A fresh cluster in which one entry of several has started still has owners
within 2 s.
"""
CANDIDATES: Final = 3
"""Entries that look at a shard often; the others look rarely.

Were all to look, 420 entries would use the key-value service's whole rate.
"""
CANDIDATE_CHECK_MS: Final = 2_000
OTHER_CHECK_MS: Final = 120_000


def fair_share(shards: int, entries: int) -> int:
    """Shards of one entry when all entries hold equally many, rounded up."""
    return -(-shards // max(1, entries))


def take_delay_ms(held: int, shards: int, entries: int) -> int:
    """Time for which a shard must be free before an entry takes it.

    An entry takes at most its fair share plus one, unless nobody else does.
    """
    if held <= fair_share(shards, entries):
        return held * STEP_MS
    return UNWANTED_MS


def check_interval_ms(shard: int, me: str, others: Sequence[str]) -> int:
    """Time between two looks at a shard that another entry holds."""

    def weight(address: str) -> bytes:
        text = f"{shard} {address}"
        return hashlib.blake2b(text.encode(), digest_size=8).digest()

    mine = weight(me)
    rank = sum(weight(other) > mine for other in others if other != me)
    return CANDIDATE_CHECK_MS if rank < CANDIDATES else OTHER_CHECK_MS
