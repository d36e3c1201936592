"""Tracks the engine's prefix cache from its cache events."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from mode import Service
from result import Err, Ok

from gooseberrypost.agent.engine import EngineClient
from gooseberrypost.agent.lifecycle import Lifecycle
from gooseberrypost.blackboard import Blackboard, Section
from gooseberrypost.state.cache import PrefixCacheView

if TYPE_CHECKING:
    from collections.abc import Sequence

    from gooseberrypost.agent.backend import Backend

OWNER: Final = "CacheController"
POLL_INTERVAL_MS: Final = 500


class Cache(Section):
    """Section with the probable contents of the engine's prefix cache."""

    __slots__ = ("view",)

    def __init__(self) -> None:
        super().__init__()
        self.view = PrefixCacheView()


class CacheController(Service):
    """Sole writer of the cache section."""

    def __init__(self, board: Blackboard, backend: Backend) -> None:
        super().__init__()
        self.cache = Cache()
        board.add(self.cache, OWNER)
        self._board = board
        self._backend = backend
        self._seen_crashes = 0

    def correct(self, hashes: Sequence[int], cached_tokens: int) -> None:
        """Correct the view with the cached part of a prefilled prompt."""
        self.cache.view.correct(hashes, cached_tokens)

    async def poll(self) -> None:
        """Apply the new cache events; clears the view after a crash."""
        view = self.cache.view
        crashes = self._board.read(Lifecycle).crashes
        if crashes != self._seen_crashes:
            self._seen_crashes = crashes
            view.clear()
        assert isinstance(self._backend, EngineClient)
        match await self._backend.events(view.last_number):
            case Ok(events):
                view.apply(events)
                self.cache.notify()
            case Err(_):
                # The view is only a hint, and the next poll updates it.
                pass

    @Service.task
    async def _poll_events(self) -> None:
        if not isinstance(self._backend, EngineClient):
            return
        while not self.should_stop:
            await self.poll()
            await asyncio.sleep(POLL_INTERVAL_MS / 1_000)
