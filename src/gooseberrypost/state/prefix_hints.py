"""An entry's estimate of the prefix caches of the engines it uses.

The hints come from the entry's own prefills and from probes. They are never
authoritative: engines evict blocks, and other entries' prefills add some.

>>> hints = PrefixHints()
>>> hints.record_prefill("p1", [11, 12])
>>> hints.cached_tokens("p1", [11, 12, 13]), hints.cached_tokens("p2", [11])
(128, 0)
>>> hints.record_cached("p1", [11, 12], cached_tokens=64)
>>> hints.cached_tokens("p1", [11, 12])
64
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from gooseberrypost.state.cache import PrefixCacheView
from gooseberrypost.state.prefix import BLOCK_TOKENS

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_ENGINES: Final = 64
"""Limit on the engines for which hints are kept."""
MAX_HASHES: Final = 2_000
"""Limit on the blocks kept for each engine: all hints take a few MB."""


class PrefixHints:
    """Prefixes that are probably cached, by engine name."""

    __slots__ = ("_views",)

    def __init__(self) -> None:
        self._views: OrderedDict[str, PrefixCacheView] = OrderedDict()

    def record_prefill(self, engine: str, hashes: Sequence[int]) -> None:
        """Record that an engine has prefilled the whole prompt."""
        self.record_cached(engine, hashes, len(hashes) * BLOCK_TOKENS)

    def record_cached(
        self, engine: str, hashes: Sequence[int], cached_tokens: int
    ) -> None:
        """Record how many tokens of a prompt an agent reports as cached."""
        view = self._views.get(engine)
        if view is None:
            view = self._views[engine] = PrefixCacheView(MAX_HASHES)
        self._views.move_to_end(engine)
        if len(self._views) > MAX_ENGINES:
            self._views.popitem(last=False)
        view.correct(hashes, cached_tokens)

    def forget(self, engine: str) -> None:
        """Drop the hints of a lost engine."""
        self._views.pop(engine, None)

    def cached_tokens(self, engine: str, hashes: Sequence[int]) -> int:
        """Tokens of the longest prefix that is probably cached."""
        view = self._views.get(engine)
        return view.cached_tokens(hashes) if view is not None else 0
