"""Stand-in of the platform's store whose waiting watches can be cut."""

from __future__ import annotations

from aiohttp import web
from tests.standins.platform_store import FakePlatformStore


class CuttingStore(FakePlatformStore):
    """Store that may cut a watch that is waiting, as our pages say."""

    def __init__(self):
        super().__init__()
        self._waiting: dict[int, web.Request] = {}

    async def _watch(self, request):
        self._waiting[id(request)] = request
        try:
            return await super()._watch(request)
        finally:
            del self._waiting[id(request)]

    def cut(self) -> int:
        """Close the connections of the waiting watches; return how many."""
        waiting = list(self._waiting.values())
        for request in waiting:
            if request.transport is not None:
                request.transport.close()
        return len(waiting)
