"""Reconciles the requests inside the engine with the agent's ledger."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING, Final

from result import Err

from gooseberrypost.agent.engine import EngineClient, EngineRequest
from gooseberrypost.agent.log import log_decision
from gooseberrypost.agent.retention import RECORD_RETENTION_MS
from gooseberrypost.timeouts import RunningTimeout

if TYPE_CHECKING:
    from collections.abc import Callable

    from gooseberrypost.agent.cancellation import AttemptCanceller
    from gooseberrypost.agent.context import Context
    from gooseberrypost.identity import Attempt

SWEEP_INTERVAL_MS: Final = 500
RETRY_INTERVAL_MS: Final = 200
"""Interval between requests for the engine's list while it fails."""
ADOPTED_TIMEOUT_MS: Final = 600_000
"""Time limit of an adopted stream, whose own deadline is not known."""


class Reconciler:
    """Adopts running requests at start, then cancels unowned ones.

    A restarted agent adopts the requests that the engine still runs, so that
    the ledger counts them. Entries have ``reattach_ms`` to reattach to them;
    adopted requests without an entry are then cancelled. From then on,
    requests without an allocation are cancelled periodically.
    """

    __slots__ = (
        "_adopted",
        "_canceller",
        "_context",
        "_previously_unowned",
        "adopted_timeout_ms",
    )

    def __init__(self, context: Context, canceller: AttemptCanceller) -> None:
        self._context = context
        self._canceller = canceller
        self._adopted: set[Attempt] = set()
        self._previously_unowned: set[Attempt] = set()
        self.adopted_timeout_ms = ADOPTED_TIMEOUT_MS

    def pop_adopted(self, attempt: Attempt) -> bool:
        """Remove an adopted request because an entry reattaches to it.

        Returns false if it was not adopted or was already removed.
        """
        if attempt not in self._adopted:
            return False
        self._adopted.discard(attempt)
        return True

    async def run(self, should_stop: Callable[[], bool]) -> None:
        """Adopt requests, wait for entries to reattach, then sweep."""
        if not isinstance(self._context.backend, EngineClient):
            self._context.lifecycle_controller.mark_reconciled()
            return
        await self.adopt()
        self._context.lifecycle_controller.mark_reconciled()
        await self._wait_for_entries()
        self.cancel_not_reattached()
        while not should_stop():
            await self.sweep()
            await asyncio.sleep(SWEEP_INTERVAL_MS / 1_000)

    async def _wait_for_entries(self) -> None:
        """Give entries time to reattach, without delays of this process."""
        with (
            suppress(TimeoutError),
            RunningTimeout(self._context.cfg.reattach_ms / 1_000),
        ):
            await asyncio.Event().wait()

    async def adopt(self) -> None:
        """Adopt the engine's requests; retries until the engine lists them."""
        while True:
            listed = await self._context.engine.requests()
            if not isinstance(listed, Err):
                break
            await asyncio.sleep(RETRY_INTERVAL_MS / 1_000)
        for item in listed.ok_value:
            self._adopt(item)

    def cancel_not_reattached(self) -> None:
        """Cancel the adopted requests that no entry has reattached to."""
        context = self._context
        expires_ms = context.now_ms() + RECORD_RETENTION_MS
        for attempt in self._adopted:
            context.attempts.table.revoke(attempt, expires_ms)
            self._canceller.cancel_in_background(attempt, "not_reattached")
        self._adopted = set()

    async def sweep(self) -> None:
        """Cancel requests that had no allocation in two successive sweeps.

        A cancellation can reach the engine before the request that it is
        meant for, which then runs without an allocation. A single sweep is
        not enough evidence: it could catch a request that is about to end.
        """
        listed = await self._context.engine.requests()
        if isinstance(listed, Err):
            return
        ledger = self._context.capacity.ledger
        unowned = {
            item.attempt
            for item in listed.ok_value
            if ledger.find(item.attempt) is None
        }
        for attempt in unowned & self._previously_unowned:
            log_decision(
                "cancel",
                key=attempt.key,
                attempt=attempt.number,
                reason="unowned",
            )
            await self._context.engine.cancel(attempt)
        self._previously_unowned = unowned

    def _adopt(self, item: EngineRequest) -> None:
        context = self._context
        if context.capacity.ledger.find(item.attempt) is not None:
            return
        context.capacity_controller.adopt(item.attempt, item.pieces)
        expires_ms = context.now_ms() + RECORD_RETENTION_MS
        context.attempts.table.adopt(item.attempt, expires_ms)
        self._adopted.add(item.attempt)
