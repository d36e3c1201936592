"""What an entry believes of the prefix caches of the engines it uses.

The hints come from its own prefills and from probes; they are never
authoritative, since engines evict and other entries fill.

>>> hints = PrefixHints()
>>> hints.computed("p1", [11, 12])
>>> hints.cached_tokens("p1", [11, 12, 13]), hints.cached_tokens("p2", [11])
(128, 0)
>>> hints.reported("p1", [11, 12], cached_tokens=64)
>>> hints.cached_tokens("p1", [11, 12])
64
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from gooseberrypost.state.cache import CacheView
from gooseberrypost.state.prefix import BLOCK_TOKENS

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_ENGINES: Final = 64
MAX_HASHES: Final = 2_000
"""Blocks remembered of each engine, so that all hints take a few MB."""


class PrefixHints:
    """Prefixes believed to be cached, by name of engine."""

    __slots__ = ("_views",)

    def __init__(self) -> None:
        self._views: OrderedDict[str, CacheView] = OrderedDict()

    def computed(self, engine: str, hashes: Sequence[int]) -> None:
        """Note that an engine has just prefilled a prompt."""
        self.reported(engine, hashes, len(hashes) * BLOCK_TOKENS)

    def reported(
        self, engine: str, hashes: Sequence[int], cached_tokens: int
    ) -> None:
        """Note how much of a prompt an agent says is cached, in tokens."""
        view = self._views.get(engine)
        if view is None:
            view = self._views[engine] = CacheView(MAX_HASHES)
        self._views.move_to_end(engine)
        if len(self._views) > MAX_ENGINES:
            self._views.popitem(last=False)
        view.correct(hashes, cached_tokens)

    def forget(self, engine: str) -> None:
        """Drop the hints of an engine that was lost."""
        self._views.pop(engine, None)

    def cached_tokens(self, engine: str, hashes: Sequence[int]) -> int:
        """Tokens of the longest prefix believed to be cached."""
        view = self._views.get(engine)
        return view.cached_tokens(hashes) if view is not None else 0
