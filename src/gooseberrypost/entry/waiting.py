"""Requests held until a decode engine has room, most urgent first."""

from __future__ import annotations

import asyncio
import itertools
from contextlib import contextmanager
from dataclasses import replace
from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result

from gooseberrypost.errors import NoCapacity
from gooseberrypost.policy.aging import WaitingList
from gooseberrypost.policy.forecast import first_token_deadline_ms
from gooseberrypost.state.records import EngineRole

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gooseberrypost.entry.collaborators import Collaborators
    from gooseberrypost.entry.fleet import FleetController
    from gooseberrypost.errors import NotRun
    from gooseberrypost.policy.admission import Prediction
    from gooseberrypost.policy.views import RequestView

PROBE_INTERVAL_MS: Final = 50
"""Longest time between two looks at the loads while requests wait."""


class AdmissionQueue:
    """Admits requests, or holds them while waiting can help."""

    __slots__ = ("_fleet", "_lists", "_numbers", "_parts")

    def __init__(self, parts: Collaborators, fleet: FleetController) -> None:
        self._parts = parts
        self._fleet = fleet
        self._lists: dict[tuple[str, str], WaitingList] = {}
        self._numbers = itertools.count(1)

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return sum(len(waiting) for waiting in self._lists.values())

    async def admit(self, view: RequestView) -> Result[Prediction, NotRun]:
        """Wait until the policy admits the request or refuses it for good.

        ``NoCapacity`` means that waiting may help, and ends when the policy
        predicts that the targets cannot be met any more.
        """
        # The request may have no key yet, so it waits under a number.
        ticket = replace(view, key=str(next(self._numbers)))
        with self._waiting(ticket) as waiting:
            while True:
                decided = self._decide(view)
                if isinstance(decided, Ok) and _is_first(
                    waiting, ticket, self._parts.clock()
                ):
                    return decided
                if isinstance(decided, Err) and not self._may_wait(
                    view, decided.err_value
                ):
                    return decided
                await self._pause(view, decided)

    @contextmanager
    def _waiting(self, ticket: RequestView) -> Iterator[WaitingList]:
        pool = (ticket.service, ticket.model)
        waiting = self._lists.setdefault(pool, WaitingList())
        waiting.add(ticket)
        try:
            yield waiting
        finally:
            waiting.remove(ticket.key)
            if not len(waiting):
                self._lists.pop(pool, None)

    def _decide(self, view: RequestView) -> Result[Prediction, NotRun]:
        candidates = self._fleet.candidates
        prefill = candidates(view.service, EngineRole.PREFILL, view.model)
        return self._parts.admission.decide(
            view,
            self._fleet.hinted(prefill, view.prefix_hashes),
            candidates(view.service, EngineRole.DECODE, view.model),
            self._parts.clock(),
        )

    def _may_wait(self, view: RequestView, failure: NotRun) -> bool:
        if not isinstance(failure, NoCapacity):
            return False
        return self._parts.clock() < first_token_deadline_ms(view)

    async def _pause(
        self, view: RequestView, decided: Result[Prediction, NotRun]
    ) -> None:
        pause_ms = PROBE_INTERVAL_MS
        if isinstance(decided, Err):
            advised_ms = decided.err_value.retry_after_ms or PROBE_INTERVAL_MS
            pause_ms = min(pause_ms, advised_ms)
        await asyncio.sleep(pause_ms / 1_000)
        for role in (EngineRole.PREFILL, EngineRole.DECODE):
            views = self._fleet.candidates(view.service, role, view.model)
            await self._fleet.probe(view.service, views, view.prefix_hashes)


def _is_first(waiting: WaitingList, ticket: RequestView, now_ms: int) -> bool:
    return waiting.ordered(now_ms)[0].key == ticket.key
