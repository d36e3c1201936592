"""Estimate of an engine's prefix cache, built from its cache events.

>>> view = PrefixCacheView()
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
"""Limit on the prefix hashes kept for one engine."""


class CacheEvent(NamedTuple):
    """A block was added to or removed from the engine's prefix cache."""

    number: int
    """Consecutive number of the event."""
    kind: str
    """``stored`` or ``removed``."""
    prefix_hash: int


class PrefixCacheView:
    """Approximate contents of a prefix cache.

    Events may arrive late or be lost, so the contents are only a hint.
    """

    __slots__ = ("_hashes", "_max_hashes", "gaps", "last_number")

    def __init__(self, max_hashes: int = MAX_HASHES) -> None:
        self._max_hashes = max_hashes
        self._hashes: OrderedDict[int, None] = OrderedDict()
        self.last_number = 0
        self.gaps = 0
        """Number of events missing from the sequence so far."""

    def apply(self, events: Iterable[CacheEvent]) -> None:
        """Apply events in the order of their numbers; old ones are skipped."""
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
        """Correct the view with the cached tokens that a prefill reported.

        This repairs errors that lost events have caused.
        """
        blocks = cached_tokens // BLOCK_TOKENS
        for value in hashes[:blocks]:
            self._store(value)
        for value in hashes[blocks:]:
            self._hashes.pop(value, None)

    def cached_tokens(self, hashes: Sequence[int]) -> int:
        """Tokens of the longest prefix that is probably cached."""
        tokens = 0
        for value in hashes:
            if value not in self._hashes:
                break
            tokens += BLOCK_TOKENS
        return tokens

    def clear(self) -> None:
        """Drop all contents, as after a restart of the engine."""
        self._hashes.clear()
        self.last_number = 0

    def _store(self, value: int) -> None:
        self._hashes[value] = None
        self._hashes.move_to_end(value)
        if len(self._hashes) > self._max_hashes:
            self._hashes.popitem(last=False)
