"""Chooses the generation to migrate from a decode engine low on memory.

An engine that runs out of KV cache memory preempts its newest generation,
whose stream then stalls while its prompt is prefilled again. Migrating a
generation to another engine instead pauses its stream for a few milliseconds.
All gateways evaluate the same loads and choose the same generation, so that
only the gateway that serves it starts a migration.

>>> from gooseberrypost.policy.enginememory import RunSize
>>> short = RunSize(9_000, 4_000, 4_100, 8_000)
>>> long = RunSize(6_000, 100, 4_000, 8_000)
>>> run_to_migrate([short, long], kv_tokens=15_100) is long
True
>>> run_to_migrate([short, long], kv_tokens=60_000) is None
True
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Sequence

    from gooseberrypost.policy.enginememory import RunSize

MIGRATION_GROWTH_TOKENS: Final = 150
"""Output tokens that each run may produce before a migration completes.

A migration takes some 20 ms and the loads of other gateways are up to 50 ms
old; a token takes 0.8 ms.
"""
USABLE_MEMORY_SHARE: Final = 0.99
"""Usable share of KV cache memory; partly filled blocks waste the rest."""
TARGET_HEADROOM_TOKENS: Final = 400
"""Free memory per run, in tokens, that the target of a migration must have.

The target then does not migrate a run itself within 0.3 s. With a larger
headroom too few engines qualify as targets under a backlog
(``tests/test_gateway_load.py``).
"""


def run_to_migrate(sizes: Sequence[RunSize], kv_tokens: int) -> RunSize | None:
    """Return the run to migrate from an engine, None if memory suffices.

    It is the run with the most expected output left; ties go to the largest.
    A run that has not started streaming cannot be migrated.
    """
    if len(sizes) < 2 or not kv_tokens:
        return None
    used = sum(size.tokens for size in sizes)
    if used + len(sizes) * MIGRATION_GROWTH_TOKENS <= (
        USABLE_MEMORY_SHARE * kv_tokens
    ):
        return None
    return max(
        (size for size in sizes if size.produced),
        key=lambda size: (size.expected - size.produced, size),
        default=None,
    )


def can_accept(
    sizes: Sequence[RunSize], migrated: RunSize, slots: int, kv_tokens: int
) -> bool:
    """Whether an engine has a free slot and enough memory for a migrated run.

    >>> from gooseberrypost.policy.enginememory import RunSize
    >>> run = RunSize(6_000, 0, 4_000, 8_000)
    >>> can_accept([], run, 2, 9_000), can_accept([run], run, 2, 9_000)
    (True, False)
    """
    if len(sizes) >= max(slots, 1):
        return False
    used = sum(size.tokens for size in sizes) + migrated.tokens
    growth = (len(sizes) + 1) * TARGET_HEADROOM_TOKENS
    return used + growth <= USABLE_MEMORY_SHARE * kv_tokens
