"""Keeps the engine's requests and the ledger the same."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from result import Err

from gooseberrypost.agent.engine import EngineClient, EngineRequest
from gooseberrypost.agent.log import decision
from gooseberrypost.agent.retention import RECORD_RETENTION_MS

if TYPE_CHECKING:
    from collections.abc import Callable

    from gooseberrypost.agent.context import Context
    from gooseberrypost.agent.freeing import Freeing
    from gooseberrypost.identity import Attempt

SWEEP_INTERVAL_MS: Final = 500
RETRY_MS: Final = 200
ADOPTED_DEADLINE_MS: Final = 600_000


class Reconciler:
    """Adopts at start what the engine runs; then cancels what nobody owns."""

    __slots__ = (
        "_adopted",
        "_context",
        "_freeing",
        "_unowned",
        "deadline_ms",
    )

    def __init__(self, context: Context, freeing: Freeing) -> None:
        self._context = context
        self._freeing = freeing
        self._adopted: set[Attempt] = set()
        self._unowned: set[Attempt] = set()
        self.deadline_ms = ADOPTED_DEADLINE_MS
        """Time allowed to a stream whose own deadline is not known."""

    def claim(self, attempt: Attempt) -> bool:
        """Take an adopted request; false when it is not waiting for one."""
        if attempt not in self._adopted:
            return False
        self._adopted.discard(attempt)
        return True

    async def run(self, should_stop: Callable[[], bool]) -> None:
        """Adopt, wait for entries to reattach, then sweep repeatedly."""
        if not isinstance(self._context.backend, EngineClient):
            self._context.lifecycle_controller.note_reconciled()
            return
        await self.adopt()
        self._context.lifecycle_controller.note_reconciled()
        await asyncio.sleep(self._context.cfg.reattach_ms / 1_000)
        self.cancel_unclaimed()
        while not should_stop():
            await self.sweep()
            await asyncio.sleep(SWEEP_INTERVAL_MS / 1_000)

    async def adopt(self) -> None:
        """Count what the engine runs already, once it can be asked."""
        while True:
            listed = await self._context.engine.requests()
            if not isinstance(listed, Err):
                break
            await asyncio.sleep(RETRY_MS / 1_000)
        for item in listed.ok_value:
            self._adopt(item)

    def cancel_unclaimed(self) -> None:
        """Cancel the adopted requests that no entry reattached."""
        context = self._context
        expires_ms = context.now_ms() + RECORD_RETENTION_MS
        for attempt in self._adopted:
            context.attempts.table.revoke(attempt, expires_ms)
            self._freeing.cancel_soon(attempt, "not_reattached")
        self._adopted = set()

    async def sweep(self) -> None:
        """Cancel what the engine holds without an owner in two sweeps.

        A cancel can overtake its request on the way to the engine; the
        request is then found here. One sweep alone could catch a request
        that is about to end.
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
        for attempt in unowned & self._unowned:
            decision(
                "cancel",
                key=attempt.key,
                attempt=attempt.number,
                reason="unowned",
            )
            await self._context.engine.cancel(attempt)
        self._unowned = unowned

    def _adopt(self, item: EngineRequest) -> None:
        context = self._context
        if context.capacity.ledger.find(item.attempt) is not None:
            return
        context.capacity_controller.adopt(item.attempt, item.pieces)
        expires_ms = context.now_ms() + RECORD_RETENTION_MS
        context.attempts.table.adopt(item.attempt, expires_ms)
        self._adopted.add(item.attempt)
