"""Prefixes that an engine has cached, as far as its events tell.

>>> view = CacheView()
>>> view.apply([CacheEvent(1, "stored", 11), CacheEvent(3, "stored", 12)])
>>> view.cached_tokens([11, 12, 13]), view.gaps
(128, 1)
>>> view.correct([11, 12, 13], cached_tokens=64)
>>> view.cached_tokens([11, 12, 13])
64
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Final, NamedTuple

from gooseberrypost.state.prefix import BLOCK_TOKENS

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

MAX_HASHES: Final = 50_000


class CacheEvent(NamedTuple):
    """A block entered or left the prefix cache of the engine."""

    number: int
    kind: str
    """``stored`` or ``removed``."""
    prefix_hash: int


class CacheView:
    """A hint only: events arrive late and some never arrive."""

    __slots__ = ("_hashes", "_max_hashes", "gaps", "last_number")

    def __init__(self, max_hashes: int = MAX_HASHES) -> None:
        self._max_hashes = max_hashes
        self._hashes: OrderedDict[int, None] = OrderedDict()
        self.last_number = 0
        self.gaps = 0
        """Events that are known to be lost."""

    def apply(self, events: Iterable[CacheEvent]) -> None:
        """Apply events in the order of their numbers."""
        for event in sorted(events):
            if event.number <= self.last_number:
                continue
            self.gaps += event.number - self.last_number - 1
            self.last_number = event.number
            if event.kind == "stored":
                self._store(event.prefix_hash)
            else:
                self._hashes.pop(event.prefix_hash, None)

    def correct(self, hashes: Sequence[int], cached_tokens: int) -> None:
        """Learn from a prefill how much of its prompt was cached.

        This repairs what lost events have left wrong.
        """
        blocks = cached_tokens // BLOCK_TOKENS
        for value in hashes[:blocks]:
            self._store(value)
        for value in hashes[blocks:]:
            self._hashes.pop(value, None)

    def cached_tokens(self, hashes: Sequence[int]) -> int:
        """Tokens of the longest prefix believed to be cached."""
        tokens = 0
        for value in hashes:
            if value not in self._hashes:
                break
            tokens += BLOCK_TOKENS
        return tokens

    def clear(self) -> None:
        """Forget everything: the engine has restarted."""
        self._hashes.clear()
        self.last_number = 0

    def _store(self, value: int) -> None:
        self._hashes[value] = None
        self._hashes.move_to_end(value)
        if len(self._hashes) > self._max_hashes:
            self._hashes.popitem(last=False)
