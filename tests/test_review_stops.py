"""Stop of an entry while the deadline of a request ends it."""

from __future__ import annotations

import asyncio

from gooseberrypost.entry.requests import RequestController
from tests.entry_fakes import run

CLEANUP_S = 0.5


def test_stop_during_the_cleanup_of_a_request_past_its_deadline(monkeypatch):
    """Guards against a drain that fails, and cuts all other requests.

    The deadline of one request has passed, and its cleanup is under way.
    """
    cleaning = asyncio.Event()

    async def slow_to_end(self, live, service, handler):
        try:
            await asyncio.sleep(60)
        finally:
            cleaning.set()
            await asyncio.sleep(CLEANUP_S)

    async def scenario(rig):
        monkeypatch.setattr(RequestController, "_run_limited", slow_to_end)
        headers = {"X-Gooseberrypost-Deadline-Ms": "200"}
        task = asyncio.create_task(rig.complete(headers=headers).__aenter__())
        async with asyncio.timeout(5):
            await cleaning.wait()
        rig.daemon.requests.stop_unfinished()
        response = await task
        assert response.status in (503, 504)

    run(scenario)
