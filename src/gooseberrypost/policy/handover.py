"""Handover: whether an engine may leave its pool before a replacement joins.

Engines leave a pool in the order of their names, and the last one waits until
a joining engine serves the pool, so that the pool does not become empty where
that can be avoided.

>>> pool = Assignment("prefill", "m")
>>> decode = Assignment("decode", "m")
>>> joining = PeerEngine("d2", serving=decode, assigned=pool)
>>> may_leave_pool("p1", pool, [joining], waited_ms=0)
False
>>> may_leave_pool("p1", pool, [joining._replace(serving=pool)], waited_ms=0)
True
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

from gooseberrypost.sheet.schedule import Assignment

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_HANDOVER_WAIT_MS: Final = 60_000
"""Longest time that an engine waits for a replacement, in ms.

It is twice the default deadline of a request.
"""


class PeerEngine(NamedTuple):
    """Another engine of the same service."""

    name: str
    serving: Assignment | None
    """Pool that it takes work for; ``None`` if unreachable or draining."""
    assigned: Assignment
    """Pool that the schedule currently assigns to it."""


def can_cover_pool(name: str, pool: Assignment, other: PeerEngine) -> bool:
    """Whether another engine can serve the pool after this one has left.

    It can if it stays in the pool or joins it, or if it leaves the pool after
    this engine because its name sorts later.
    """
    return other.assigned == pool or other.name > name


def may_leave_pool(
    name: str,
    pool: Assignment,
    peers: Iterable[PeerEngine],
    waited_ms: int,
) -> bool:
    """Whether an engine may leave its pool now.

    It may if another engine that can cover the pool serves it already, if no
    such engine is assigned to the pool, or after waiting
    ``MAX_HANDOVER_WAIT_MS``.
    """
    covering = [peer for peer in peers if can_cover_pool(name, pool, peer)]
    serving = any(peer.serving == pool for peer in covering)
    expected = any(peer.assigned == pool for peer in covering)
    return serving or not expected or waited_ms >= MAX_HANDOVER_WAIT_MS
