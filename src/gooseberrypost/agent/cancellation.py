"""Cancels attempts in the backend server and releases their capacity."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from result import Err

from gooseberrypost.agent.jobs import DecodeJob, is_finished
from gooseberrypost.agent.log import log_decision
from gooseberrypost.errors import CallerGone, Failure, PeerUnreachable
from gooseberrypost.state.attempts import Phase

if TYPE_CHECKING:
    from gooseberrypost.agent.context import Context
    from gooseberrypost.agent.jobs import Job
    from gooseberrypost.identity import Attempt

RETRY_INTERVAL_MS: Final = 100
"""Interval between cancel requests until the server confirms one."""


class AttemptCanceller:
    """Stops the jobs of attempts and releases their allocations.

    An allocation is released only once the backend server has freed the slot
    and memory of the attempt.
    """

    __slots__ = ("_context", "_tasks")

    def __init__(self, context: Context) -> None:
        self._context = context
        self._tasks: set[asyncio.Task[None]] = set()

    def cancel_in_background(self, attempt: Attempt, reason: str) -> None:
        """Cancel an attempt in a background task."""
        task = asyncio.create_task(self.cancel(attempt, reason))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel_superseded(self, attempt: Attempt) -> None:
        """Cancel the attempts of the same key with a lower number."""
        for allocation in self._context.capacity.ledger.allocations:
            holder = allocation.holder
            if holder.key == attempt.key and holder.number < attempt.number:
                self.cancel_in_background(holder, "superseded")

    async def cancel(
        self, attempt: Attempt, reason: str, failure: Failure | None = None
    ) -> None:
        """Stop an attempt in any phase and release its allocation.

        A call to a plain service runs to its end, because its effects cannot
        be undone.
        """
        context = self._context
        job = context.attempts.jobs.get(attempt)
        if job is not None and job.phase is Phase.CALL:
            return
        log_decision(
            "cancel",
            key=attempt.key,
            attempt=attempt.number,
            phase=job.phase if job else "none",
            reason=reason,
        )
        if job is not None and not is_finished(job):
            self._stop(job, failure or CallerGone(reason))
        await self.release(attempt)

    async def release(self, attempt: Attempt) -> None:
        """Cancel an attempt in the server, then release its allocation."""
        context = self._context
        allocation = context.capacity.ledger.find(attempt)
        if allocation is None:
            return
        if allocation.held_by_server:
            await self._cancel_in_server(attempt)
        # The attempt may have got a new allocation in the meantime, which
        # must not be released.
        if context.capacity.ledger.find(attempt) is allocation:
            context.capacity_controller.release(attempt)

    async def close(self) -> None:
        """Stop the background cancellations.

        The next agent process adopts the requests that still run.
        """
        for task in self._tasks:
            task.cancel()

    async def _cancel_in_server(self, attempt: Attempt) -> None:
        while True:
            reply = await self._context.engine.cancel(attempt)
            # A server that cannot be connected to has stopped, so its
            # memory is already free.
            if not isinstance(reply, Err) or isinstance(
                reply.err_value, PeerUnreachable
            ):
                return
            await asyncio.sleep(RETRY_INTERVAL_MS / 1_000)

    def _stop(self, job: Job, failure: Failure) -> None:
        context = self._context
        if isinstance(job, DecodeJob):
            job.finish(failure, None, context.now_ms())
        if job.task is not None:
            job.task.cancel()
