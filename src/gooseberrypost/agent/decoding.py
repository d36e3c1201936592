"""Runs token streams on the engine."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Any, Final

from gooseberrypost.agent.engine import EndLine, TokenStream
from gooseberrypost.agent.log import log_decision
from gooseberrypost.errors import (
    ConnectionLost,
    EngineCrashed,
    ExecutionFailed,
    Failure,
    ProtocolFailure,
    TimedOut,
    TransferStalled,
    UnknownOutcome,
)
from gooseberrypost.state.attempts import AttemptState, Phase

if TYPE_CHECKING:
    from gooseberrypost.agent.cancellation import AttemptCanceller
    from gooseberrypost.agent.context import Context
    from gooseberrypost.agent.jobs import DecodeJob
    from gooseberrypost.state.ledger import LinkBooking

MAX_RESUMES: Final = 3
"""Times in a row that a stream is resumed without another token."""


class Decoding:
    """Copies token streams of the engine into decode jobs."""

    __slots__ = ("_context", "_freeing")

    def __init__(self, context: Context, freeing: AttemptCanceller) -> None:
        self._context = context
        self._freeing = freeing

    async def run(
        self, job: DecodeJob, req: Any, booking: LinkBooking | None
    ) -> None:
        """Run a ``Decode`` request to its end."""
        await self._end(job, self._decode(job, req, booking), req.deadline_ms)

    async def run_adopted(self, job: DecodeJob, deadline_ms: int) -> None:
        """Run a stream that a former agent process started, to its end."""
        await self._end(job, self._resume(job), deadline_ms)

    async def _end(self, job: DecodeJob, work: Any, deadline_ms: int) -> None:
        context = self._context
        failure: Failure | None = None
        try:
            async with asyncio.timeout(deadline_ms / 1_000):
                await work
        except TimeoutError:
            failure = TimedOut("deadline passed while decoding")
        except UnknownOutcome as exc:
            # Nothing of it runs on once it is freed below.
            failure = ExecutionFailed(str(exc))
        except Failure as exc:
            failure = exc
        if isinstance(failure, EngineCrashed) or failure is None:
            context.capacity_controller.release(job.attempt)
        else:
            await self._freeing.release(job.attempt)
        context.attempts.table.advance(
            job.attempt, Phase.DECODE, AttemptState.DONE
        )
        job.finish(failure, context.load(), context.now_ms())
        context.attempts.notify()
        log_decision(
            "decode_end",
            key=job.attempt.key,
            attempt=job.attempt.number,
            tokens=job.next_sequence,
            reason=failure.code if failure else "complete",
        )

    async def _decode(
        self, job: DecodeJob, req: Any, booking: LinkBooking | None
    ) -> None:
        context = self._context
        options = {
            "handle": req.handle,
            "source": req.engine_address,
            "max_tokens": req.max_tokens,
            "first_sequence": req.first_sequence,
            "priority": req.priority,
        }
        try:
            async with AsyncExitStack() as stack:
                stream = await self._import(stack, job, options, req, booking)
                context.attempts.table.advance(
                    job.attempt, Phase.DECODE, AttemptState.DECODING
                )
                await self._copy(job, stream)
        except ConnectionLost as exc:
            await self._after_break(job, exc, MAX_RESUMES)

    async def _import(
        self,
        stack: AsyncExitStack,
        job: DecodeJob,
        options: dict[str, Any],
        req: Any,
        booking: LinkBooking | None,
    ) -> TokenStream:
        """Start the stream; stalled: ``TransferStalled``.

        The time allowed counts from the booked start of the transfer.
        """
        timeout_ms = req.transfer_timeout_ms or req.deadline_ms
        if booking is not None:
            timeout_ms += max(0, booking.start_ms - self._context.now_ms())
        engine = self._context.engine
        try:
            async with asyncio.timeout(timeout_ms / 1_000):
                return await stack.enter_async_context(
                    engine.decode(job.attempt, options)
                )
        except TimeoutError as exc:
            raise TransferStalled(f"no token within {timeout_ms} ms") from exc

    async def _copy(self, job: DecodeJob, stream: TokenStream) -> None:
        clock = asyncio.get_running_loop().time
        last_s: float | None = None
        while True:
            line = await stream.next()
            if isinstance(line, EndLine):
                if line.tokens != job.next_sequence:
                    raise ProtocolFailure(
                        f"end after {line.tokens} tokens, "
                        f"{job.next_sequence} received"
                    )
                return
            if line.sequence > job.next_sequence:
                raise ProtocolFailure(
                    f"token {line.sequence}, expected {job.next_sequence}"
                )
            if line.sequence == job.next_sequence:
                job.append(line.text)
            now_s = clock()
            if last_s is not None:
                self._context.capacity_controller.record_token_gap(
                    (now_s - last_s) * 1_000
                )
            last_s = now_s

    async def _resume(
        self, job: DecodeJob, resumes: int = MAX_RESUMES
    ) -> None:
        engine = self._context.engine
        first = job.next_sequence
        try:
            async with engine.resume(job.attempt, job.next_sequence) as stream:
                await self._copy(job, stream)
        except ConnectionLost as exc:
            progressed = job.next_sequence > first
            left = MAX_RESUMES if progressed else resumes
            await self._after_break(job, exc, left)

    async def _after_break(
        self, job: DecodeJob, failure: ConnectionLost, resumes: int
    ) -> None:
        judged = await self._context.classify_failure(job.attempt, failure)
        if judged is not failure:
            raise judged
        if not resumes:
            raise ExecutionFailed(f"stream broke: {failure.detail}")
        log_decision(
            "resume",
            key=job.attempt.key,
            attempt=job.attempt.number,
            next=job.next_sequence,
        )
        await self._resume(job, resumes - 1)
