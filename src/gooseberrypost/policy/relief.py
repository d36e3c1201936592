"""Which generation leaves a decode engine whose memory is about to run out.

An engine without memory preempts its newest generation, whose prompt is then
read again while its stream stands still. A generation that goes on at another
engine instead pauses for a few milliseconds. All gateways see the same loads
and choose the same generation, so that only one of them moves it.

>>> from gooseberrypost.policy.enginememory import RunSize
>>> short = RunSize(9_000, 4_000, 4_100, 8_000)
>>> long = RunSize(6_000, 100, 4_000, 8_000)
>>> run_to_move([short, long], kv_tokens=15_100) is long
True
>>> run_to_move([short, long], kv_tokens=60_000) is None
True
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Sequence

    from gooseberrypost.policy.enginememory import RunSize

HORIZON_TOKENS: Final = 150
"""Growth of each generation while one of them is moved.

A move takes some 20 ms and the loads of other gateways are up to 50 ms old;
a token takes 0.8 ms.
"""
USABLE_SHARE: Final = 0.99
"""Share of the memory that is used; the rest is lost to whole blocks."""
ROOM_TOKENS: Final = 400
"""Growth of each generation for which an engine that takes one has room.

It then does not move one itself within 0.3 s. In the model of a backlog
(``tests/test_gateway_load.py``) more leaves too few engines to move to.
"""


def run_to_move(sizes: Sequence[RunSize], kv_tokens: int) -> RunSize | None:
    """Return the generation that leaves an engine; None: all may stay.

    It is the one that would stay longest, and among equals the largest. One
    that has not begun to stream cannot be moved.
    """
    if len(sizes) < 2 or not kv_tokens:
        return None
    present = sum(size.tokens for size in sizes)
    if present + len(sizes) * HORIZON_TOKENS <= USABLE_SHARE * kv_tokens:
        return None
    return max(
        (size for size in sizes if size.produced),
        key=lambda one: (one.expected - one.produced, one),
        default=None,
    )


def has_room(
    sizes: Sequence[RunSize], moved: RunSize, slots: int, kv_tokens: int
) -> bool:
    """Whether an engine can take a generation from another one.

    >>> from gooseberrypost.policy.enginememory import RunSize
    >>> moved = RunSize(6_000, 0, 4_000, 8_000)
    >>> has_room([], moved, 2, 9_000), has_room([moved], moved, 2, 9_000)
    (True, False)
    """
    if len(sizes) >= max(slots, 1):
        return False
    present = sum(size.tokens for size in sizes) + moved.tokens
    growth = (len(sizes) + 1) * ROOM_TOKENS
    return present + growth <= USABLE_SHARE * kv_tokens
