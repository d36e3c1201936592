"""Follows the cache events of the engine."""

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
    """Prefixes believed to be in the engine's cache."""

    __slots__ = ("view",)

    def __init__(self) -> None:
        super().__init__()
        self.view = PrefixCacheView()


class CacheController(Service):
    """Writer of the cache section."""

    def __init__(self, board: Blackboard, backend: Backend) -> None:
        super().__init__()
        self.cache = Cache()
        board.add(self.cache, OWNER)
        self._board = board
        self._backend = backend
        self._crashes = 0

    def correct(self, hashes: Sequence[int], cached_tokens: int) -> None:
        """Learn from the reply to a prefill."""
        self.cache.view.correct(hashes, cached_tokens)

    async def poll(self) -> None:
        """Fetch the events since the last one seen."""
        view = self.cache.view
        crashes = self._board.read(Lifecycle).crashes
        if crashes != self._crashes:
            self._crashes = crashes
            view.clear()
        assert isinstance(self._backend, EngineClient)
        match await self._backend.events(view.last_number):
            case Ok(events):
                view.apply(events)
                self.cache.notify()
            case Err(_):
                # The view is a hint; the next poll asks again.
                pass

    @Service.task
    async def _follow(self) -> None:
        if not isinstance(self._backend, EngineClient):
            return
        while not self.should_stop:
            await self.poll()
            await asyncio.sleep(POLL_INTERVAL_MS / 1_000)
