"""Admission queue: holds requests until a decode engine has capacity."""

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
"""Longest pause before the pools are probed for a waiting request, in ms."""


class AdmissionQueue:
    """Admits requests, the most urgent of a pool first.

    A request waits while it can still meet its first-token target.
    """

    __slots__ = ("_collaborators", "_fleet", "_ticket_ids", "_waiting_lists")

    def __init__(
        self, collaborators: Collaborators, fleet: FleetController
    ) -> None:
        self._collaborators = collaborators
        self._fleet = fleet
        self._waiting_lists: dict[tuple[str, str], WaitingList] = {}
        self._ticket_ids = itertools.count(1)

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return sum(
            len(waiting_list) for waiting_list in self._waiting_lists.values()
        )

    async def admit(self, view: RequestView) -> Result[Prediction, NotRun]:
        """Wait until the policy admits the request or finally refuses it.

        A refusal with ``NoCapacity`` is retried until the first-token
        deadline. Any other failure, such as a prediction that the targets
        cannot be met any more, is final.
        """
        # The request may have no key yet, so the queue gives it a number.
        ticket = replace(view, key=str(next(self._ticket_ids)))
        with self._enqueued(ticket) as waiting_list:
            while True:
                decided = self._decide(view)
                if isinstance(decided, Ok) and _is_first(
                    waiting_list, ticket, self._collaborators.clock()
                ):
                    return decided
                if isinstance(decided, Err) and not self._may_wait(
                    view, decided.err_value
                ):
                    return decided
                await self._wait_and_probe(view, decided)

    @contextmanager
    def _enqueued(self, ticket: RequestView) -> Iterator[WaitingList]:
        pool = (ticket.service, ticket.model)
        waiting_list = self._waiting_lists.setdefault(pool, WaitingList())
        waiting_list.add(ticket)
        try:
            yield waiting_list
        finally:
            waiting_list.remove(ticket.key)
            if not len(waiting_list):
                self._waiting_lists.pop(pool, None)

    def _decide(self, view: RequestView) -> Result[Prediction, NotRun]:
        candidates = self._fleet.candidates
        prefill = candidates(view.service, EngineRole.PREFILL, view.model)
        return self._collaborators.admission.decide(
            view,
            self._fleet.with_cached_tokens(prefill, view.prefix_hashes),
            candidates(view.service, EngineRole.DECODE, view.model),
            self._collaborators.clock(),
        )

    def _may_wait(self, view: RequestView, failure: NotRun) -> bool:
        if not isinstance(failure, NoCapacity):
            return False
        return self._collaborators.clock() < first_token_deadline_ms(view)

    async def _wait_and_probe(
        self, view: RequestView, decided: Result[Prediction, NotRun]
    ) -> None:
        pause_ms = PROBE_INTERVAL_MS
        if isinstance(decided, Err):
            retry_after_ms = (
                decided.err_value.retry_after_ms or PROBE_INTERVAL_MS
            )
            pause_ms = min(pause_ms, retry_after_ms)
        await asyncio.sleep(pause_ms / 1_000)
        for role in (EngineRole.PREFILL, EngineRole.DECODE):
            views = self._fleet.candidates(view.service, role, view.model)
            await self._fleet.probe(view.service, views, view.prefix_hashes)


def _is_first(
    waiting_list: WaitingList, ticket: RequestView, now_ms: int
) -> bool:
    return waiting_list.by_priority(now_ms)[0].key == ticket.key
