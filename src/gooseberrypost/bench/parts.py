"""Parts of the fake engines: specification, prefill job, prefix cache."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclass(slots=True)
class EngineSpec:
    """What a fake engine is made of."""

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
    """One prefill; ``done`` gets whether there is a result."""

    number: int
    tokens: int
    prefix: int
    prefix_tokens: int
    priority: float
    due_ms: float
    done: Callable[[bool], None]
    computed: float = 0.0
    """Tokens computed, cached ones not counted."""
    used: bool = False
    """Whether a decode engine imported the result."""


class PrefixCache:
    """Least recently used prefixes within a limit of tokens."""

    __slots__ = ("_entries", "_limit", "_total")

    def __init__(self, limit_tokens: int) -> None:
        self._entries: OrderedDict[int, int] = OrderedDict()
        self._limit = limit_tokens
        self._total = 0

    def tokens(self, prefix: int) -> int:
        """Return the cached tokens of a prefix."""
        return self._entries.get(prefix, 0)

    def touch(self, prefix: int, tokens: int) -> list[int]:
        """Store a prefix and return those evicted for it."""
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
