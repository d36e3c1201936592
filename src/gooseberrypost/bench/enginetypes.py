"""Specification, prefill job and prefix cache of simulated engines."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclass(slots=True)
class EngineSpec:
    """Placement, role and capacity of a simulated engine."""

    name: str
    zone: str
    role: str
    model: str
    slots: int = 20
    pieces: int = 200
    tokens_per_s: float = 20_000.0
    link_kb_per_s: int = 12_500_000
    cache_tokens: int = 200_000


@dataclass(slots=True)
class PrefillJob:
    """One prefill.

    ``on_done`` is called with whether the prefill produced a result. A
    negative ``prefix`` means that the prompt shares no prefix.
    """

    job_id: int
    tokens: int
    prefix: int
    prefix_tokens: int
    priority: float
    deadline_ms: float
    on_done: Callable[[bool], None]
    computed_tokens: float = 0.0
    """Tokens computed, without those served from the prefix cache."""
    imported: bool = False
    """Whether a decode engine imported the result; otherwise it is waste."""


class PrefixCache:
    """LRU cache of prompt prefixes, limited by the total of tokens."""

    __slots__ = ("_entries", "_limit", "_total")

    def __init__(self, limit_tokens: int) -> None:
        self._entries: OrderedDict[int, int] = OrderedDict()
        self._limit = limit_tokens
        self._total = 0

    def tokens(self, prefix: int) -> int:
        """Return the number of cached tokens of a prefix."""
        return self._entries.get(prefix, 0)

    def insert(self, prefix: int, tokens: int) -> list[int]:
        """Insert a prefix or mark it as used; returns the evicted prefixes."""
        if prefix < 0:
            return []
        self._total += max(0, tokens - self._entries.get(prefix, 0))
        self._entries[prefix] = max(tokens, self._entries.get(prefix, 0))
        self._entries.move_to_end(prefix)
        evicted = []
        while self._total > self._limit and len(self._entries) > 1:
            old, size = self._entries.popitem(last=False)
            self._total -= size
            evicted.append(old)
        return evicted
