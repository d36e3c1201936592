"""Cancels attempts in the backend server and frees what they hold."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from result import Err

from gooseberrypost.agent.jobs import DecodeJob, is_finished
from gooseberrypost.agent.log import decision
from gooseberrypost.errors import CallerGone, Failure, PeerUnreachable
from gooseberrypost.state.attempts import Phase

if TYPE_CHECKING:
    from gooseberrypost.agent.context import Context
    from gooseberrypost.agent.jobs import Job
    from gooseberrypost.identity import Attempt

RETRY_MS: Final = 100


class Freeing:
    """Stops jobs; the ledger is credited once the server has let go."""

    __slots__ = ("_context", "_tasks")

    def __init__(self, context: Context) -> None:
        self._context = context
        self._tasks: set[asyncio.Task[None]] = set()

    def cancel_soon(self, attempt: Attempt, reason: str) -> None:
        """Start to cancel an attempt without waiting for the server."""
        task = asyncio.create_task(self.cancel(attempt, reason))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def replace_lower(self, attempt: Attempt) -> None:
        """Cancel the lower attempts of a key in favour of a new one."""
        for holding in self._context.capacity.ledger.allocations:
            holder = holding.holder
            if holder.key == attempt.key and holder.number < attempt.number:
                self.cancel_soon(holder, "superseded")

    async def cancel(
        self, attempt: Attempt, reason: str, failure: Failure | None = None
    ) -> None:
        """Stop an attempt in any state and free its slot and memory.

        A call to a plain service is let finish: it cannot be undone.
        """
        context = self._context
        job = context.attempts.jobs.get(attempt)
        if job is not None and job.phase is Phase.CALL:
            return
        decision(
            "cancel",
            key=attempt.key,
            attempt=attempt.number,
            phase=job.phase if job else "none",
            reason=reason,
        )
        if job is not None and not is_finished(job):
            self._stop(job, failure or CallerGone(reason))
        await self.free(attempt)

    async def free(self, attempt: Attempt) -> None:
        """Free an attempt in the server, then in the ledger."""
        context = self._context
        holding = context.capacity.ledger.find(attempt)
        if holding is None:
            return
        if holding.held_by_server:
            await self._free_in_server(attempt)
        # A later holding of the same attempt must not be released.
        if context.capacity.ledger.find(attempt) is holding:
            context.capacity_controller.release(attempt)

    async def close(self) -> None:
        """Abandon what is not freed; the next agent finds it."""
        for task in self._tasks:
            task.cancel()

    async def _free_in_server(self, attempt: Attempt) -> None:
        while True:
            reply = await self._context.engine.cancel(attempt)
            # A server that refuses connections has lost its memory.
            if not isinstance(reply, Err) or isinstance(
                reply.err_value, PeerUnreachable
            ):
                return
            await asyncio.sleep(RETRY_MS / 1_000)

    def _stop(self, job: Job, failure: Failure) -> None:
        context = self._context
        if isinstance(job, DecodeJob):
            job.finish(failure, None, context.now_ms())
        if job.task is not None:
            job.task.cancel()
