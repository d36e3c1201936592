"""Attempts at a model request that follow one another without a gap."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from dataclasses import replace
from typing import TYPE_CHECKING, Any, Final

from result import Err, Result

from gooseberrypost.entry.attempt import ModelAttempt
from gooseberrypost.entry.context import count_failure, renew_attempt
from gooseberrypost.errors import (
    CallerGone,
    Failure,
    NoCapacity,
    Quarantined,
    Superseded,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator

    from gooseberrypost.claims.client import Grant
    from gooseberrypost.entry.context import EntryContext, RequestClaim
    from gooseberrypost.entry.placing import RequestState
    from gooseberrypost.policy.views import RequestView

NON_RETRYABLE_FAILURES: Final = (CallerGone, Quarantined, Superseded)
"""Failures that are not retried, since another attempt cannot help."""
RENEWAL_PAUSE_S: Final = 1.0
"""Pause before another claim of a successor that was refused, in seconds."""


class Succession:
    """Runs an attempt, and replaces it if its token stream stalls.

    A stalled stream is kept until its successor holds a reservation and a
    prefill result: its engine may be sound, and the agent may only be out of
    reach. If the stream goes on before that, the successor is dropped. If the
    attempt fails before that, the successor is awaited.
    """

    def __init__(
        self,
        ctx: EntryContext,
        claim: RequestClaim,
        probe: Callable[[RequestView], Awaitable[None]],
    ) -> None:
        self._ctx = ctx
        self._claim = claim
        self._probe = probe
        self._is_pausing = asyncio.Event()
        """No successor is being prepared: the last one was refused."""

    async def run(
        self, state: RequestState, attempt: ModelAttempt
    ) -> Result[None, Failure]:
        """Run an attempt and its successors; return the result of the last."""
        running = asyncio.create_task(attempt.run())
        while True:
            successor = await self._replace(state, attempt, running)
            if successor is None:
                return running.result()
            state.failed_engines.add(attempt.decode_engine)
            state.stream.restart(successor.view.attempt)
            attempt = successor
            running = asyncio.create_task(attempt.decode())

    async def _replace(
        self,
        state: RequestState,
        attempt: ModelAttempt,
        running: asyncio.Task[Result[None, Failure]],
    ) -> ModelAttempt | None:
        """Return the prepared successor, or ``None`` if the attempt ended."""
        try:
            while not running.done():
                await _wait_for_first(running, attempt.stall.started())
                if running.done():
                    break
                successor = await self._prepare_during_stall(
                    state, attempt, running
                )
                if successor is not None:
                    return await _succeed(running, successor)
            return None
        finally:
            await _cancel(running)

    async def _prepare_during_stall(
        self,
        state: RequestState,
        attempt: ModelAttempt,
        running: asyncio.Task[Result[None, Failure]],
    ) -> ModelAttempt | None:
        """Return the successor, or ``None`` if it is not needed or refused."""
        failure = attempt.stall.failure
        if failure is None:
            return None
        self._is_pausing.clear()
        preparing = asyncio.create_task(self._prepare(state, attempt, failure))
        is_kept = False
        try:
            await _wait_for_first(running, preparing, attempt.stall.ended())
            lost = _failure_to_retry(state, running)
            if lost is not None:
                await _wait_for_first(preparing, self._is_pausing.wait())
            is_needed = lost is not None or (
                not running.done() and attempt.stall.failure is not None
            )
            is_kept = preparing.done() and is_needed
            if is_kept and lost is not None:
                count_failure(state.live, lost)
            return preparing.result() if is_kept else None
        finally:
            if not is_kept:
                await _cancel(preparing)
                if not preparing.cancelled() and not preparing.exception():
                    # It was ready at the moment at which the stall ended.
                    preparing.result().abandon()

    async def _prepare(
        self, state: RequestState, attempt: ModelAttempt, failure: Failure
    ) -> ModelAttempt:
        """Prepare a successor on another decode engine, as often as needed."""
        grant: Grant | None = None
        while True:
            if grant is None:
                count_failure(state.live, failure)
                grant = await self._renew(state, failure)
            successor = ModelAttempt(
                self._ctx,
                replace(state, view=view_of_grant(state.view, grant)),
                excluded={attempt.decode_engine},
            )
            prepared = await successor.prepare()
            if not isinstance(prepared, Err):
                return successor
            failure = prepared.err_value
            if not (isinstance(failure, NoCapacity) and successor.is_reusable):
                grant = None
            with self._pausing():
                await asyncio.sleep(RENEWAL_PAUSE_S)
                await self._probe(state.view)

    async def _renew(self, state: RequestState, failure: Failure) -> Grant:
        """Renew the claim once the retry budget and the owner allow it."""
        while True:
            renewed = await renew_attempt(
                self._ctx, state.live, self._claim, state.retries, failure
            )
            if not isinstance(renewed, Err):
                return renewed.ok_value
            with self._pausing():
                await asyncio.sleep(RENEWAL_PAUSE_S)

    @contextmanager
    def _pausing(self) -> Iterator[None]:
        self._is_pausing.set()
        yield
        self._is_pausing.clear()


def reached_output_limit(state: RequestState) -> bool:
    """Return whether the stream has every token up to the output limit.

    A failure has then lost only the end frame, so the answer is complete.
    """
    return state.stream.next_sequence >= state.view.max_output_tokens


def view_of_grant(view: RequestView, grant: Grant) -> RequestView:
    """Return the view of a request under the attempt number of a grant."""
    return replace(
        view, key=grant.key, attempt=grant.attempt, suspect=grant.suspect
    )


def _failure_to_retry(
    state: RequestState, running: asyncio.Task[Result[None, Failure]]
) -> Failure | None:
    """Return the failure of an attempt that ended and needs a successor."""
    if not running.done() or running.cancelled() or running.exception():
        return None
    failure = running.result().err()
    if reached_output_limit(state):
        return None
    return None if isinstance(failure, NON_RETRYABLE_FAILURES) else failure


async def _wait_for_first(*awaitables: Awaitable[Any]) -> None:
    """Wait until the first of several is done; tasks among them go on."""
    waits = [
        asyncio.ensure_future(
            _settled(a) if isinstance(a, asyncio.Task) else a
        )
        for a in awaitables
    ]
    try:
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for wait in waits:
            wait.cancel()


async def _settled(task: asyncio.Task[Any]) -> None:
    await asyncio.wait([task])


async def _succeed(
    running: asyncio.Task[Any], successor: ModelAttempt
) -> ModelAttempt:
    """Cancel the attempt that a successor replaces."""
    try:
        await _cancel(running)
    except asyncio.CancelledError:
        successor.abandon()
        raise
    return successor


async def _cancel(task: asyncio.Task[Any]) -> None:
    """Cancel a task and wait until it has cleaned up."""
    task.cancel()
    await asyncio.wait([task])
    if not task.cancelled():
        task.exception()
