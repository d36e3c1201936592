"""Whether an engine may leave its pool before another takes its place.

Engines of a pool leave in the order of their names, and the last one waits
for one that joins, so that a pool is not empty where that can be avoided.

>>> pool = Assignment("prefill", "m")
>>> decode = Assignment("decode", "m")
>>> joins = Neighbour("d2", serves=decode, wanted=pool)
>>> may_leave("p1", pool, [joins], waited_ms=0)
False
>>> may_leave("p1", pool, [joins._replace(serves=pool)], waited_ms=0)
True
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

from gooseberrypost.sheet.schedule import Assignment

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_HANDOVER_MS: Final = 60_000
"""The default deadline of a request is half of this."""


class Neighbour(NamedTuple):
    """Another engine of the same service."""

    name: str
    serves: Assignment | None
    """Pool it takes work for; ``None``: unreachable or draining."""
    wanted: Assignment
    """Pool that the schedule gives it now."""


def could_cover(me: str, pool: Assignment, other: Neighbour) -> bool:
    """Whether an engine stays in a pool, joins it or leaves it after me."""
    return other.wanted == pool or other.name > me


def may_leave(
    me: str,
    pool: Assignment,
    neighbours: Iterable[Neighbour],
    waited_ms: int,
) -> bool:
    """Whether to leave now; also when nobody comes, or comes in time."""
    able = [n for n in neighbours if could_cover(me, pool, n)]
    serving = any(n.serves == pool for n in able)
    expected = any(n.wanted == pool for n in able)
    return serving or not expected or waited_ms >= MAX_HANDOVER_MS
