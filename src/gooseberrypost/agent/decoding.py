"""Execution of decodes on the engine."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Any, Final

from gooseberrypost.agent.backend import deadline_limit
from gooseberrypost.agent.engine import EndLine, TokenStream
from gooseberrypost.agent.log import log_decision
from gooseberrypost.errors import (
    ConnectionLost,
    EngineCrashed,
    ExecutionFailed,
    Failure,
    PeerUnreachable,
    ProtocolFailure,
    TimedOut,
    TransferStalled,
    UnknownOutcome,
)
from gooseberrypost.state.attempts import AttemptState, Phase
from gooseberrypost.timeouts import RunningTimeout

if TYPE_CHECKING:
    from gooseberrypost.agent.cancellation import AttemptCanceller
    from gooseberrypost.agent.context import Context
    from gooseberrypost.agent.jobs import DecodeJob
    from gooseberrypost.state.ledger import LinkBooking

MIN_RESUME_PAUSE_S: Final = 0.02
"""Pause after the second of several resumes that yield no token."""
MAX_RESUME_PAUSE_S: Final = 0.5


class DecodeRunner:
    """Runs decodes on the engine and collects their tokens in decode jobs."""

    __slots__ = ("_canceller", "_context")

    def __init__(self, context: Context, canceller: AttemptCanceller) -> None:
        self._context = context
        self._canceller = canceller

    async def run(
        self, job: DecodeJob, req: Any, booking: LinkBooking | None
    ) -> None:
        """Run a ``Decode`` request until its stream ends or fails."""
        await self._run_to_end(
            job, self._decode(job, req, booking), req.deadline_ms
        )

    async def run_adopted(self, job: DecodeJob, deadline_ms: int) -> None:
        """Continue a stream that an earlier agent process started."""
        await self._run_to_end(job, self._resume(job), deadline_ms)

    async def _run_to_end(
        self, job: DecodeJob, coroutine: Any, deadline_ms: int
    ) -> None:
        context = self._context
        failure: Failure | None = None
        try:
            with deadline_limit(deadline_ms / 1_000):
                await coroutine
        except TimeoutError:
            failure = TimedOut("the deadline passed during decoding")
        except UnknownOutcome as exc:
            # The outcome is known: the attempt is cancelled below and cannot
            # complete later.
            failure = ExecutionFailed(str(exc))
        except Failure as exc:
            failure = exc
        if isinstance(failure, EngineCrashed) or failure is None:
            context.capacity_controller.release(job.attempt)
        else:
            await self._canceller.release(job.attempt)
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
                stream = await self._start_stream(
                    stack, job, options, req, booking
                )
                context.attempts.table.advance(
                    job.attempt, Phase.DECODE, AttemptState.DECODING
                )
                await self._copy_tokens(job, stream)
        except ConnectionLost as exc:
            await self._raise_if_crashed(job, exc)
            await self._resume(job)

    async def _start_stream(
        self,
        stack: AsyncExitStack,
        job: DecodeJob,
        options: dict[str, Any],
        req: Any,
        booking: LinkBooking | None,
    ) -> TokenStream:
        """Import the KV cache and open the token stream.

        Raises ``TransferStalled`` if the import takes longer than the transfer
        timeout, which counts from the booked start of the transfer.
        """
        timeout_ms = req.transfer_timeout_ms or req.deadline_ms
        if booking is not None:
            timeout_ms += max(0, booking.start_ms - self._context.now_ms())
        engine = self._context.engine
        try:
            with RunningTimeout(timeout_ms / 1_000):
                return await stack.enter_async_context(
                    engine.decode(job.attempt, options)
                )
        except TimeoutError as exc:
            raise TransferStalled(
                f"KV cache not imported within {timeout_ms} ms"
            ) from exc

    async def _copy_tokens(self, job: DecodeJob, stream: TokenStream) -> None:
        clock = asyncio.get_running_loop().time
        last_token_s: float | None = None
        while True:
            line = await stream.next()
            if isinstance(line, EndLine):
                if line.tokens != job.next_sequence:
                    raise ProtocolFailure(
                        f"engine ended the stream at {line.tokens} tokens, "
                        f"agent has {job.next_sequence}"
                    )
                return
            if line.sequence > job.next_sequence:
                raise ProtocolFailure(
                    f"engine sent token {line.sequence}, "
                    f"expected token {job.next_sequence}"
                )
            if line.sequence == job.next_sequence:
                job.append(line.text)
            now_s = clock()
            if last_token_s is not None:
                self._context.capacity_controller.record_token_gap(
                    (now_s - last_token_s) * 1_000
                )
            last_token_s = now_s

    async def _resume(self, job: DecodeJob) -> None:
        """Resume the stream until it ends, however often it breaks.

        The engine goes on with a run whose stream broke. Only a crash or a
        refusal by the engine shows that it does not.
        """
        pause_s = 0.0
        while True:
            log_decision(
                "resume",
                key=job.attempt.key,
                attempt=job.attempt.number,
                next=job.next_sequence,
            )
            first_sequence = job.next_sequence
            try:
                await self._copy_resumed(job)
                return
            except (ConnectionLost, PeerUnreachable) as exc:
                await self._raise_if_crashed(job, exc)
            await asyncio.sleep(pause_s)
            progressed = job.next_sequence > first_sequence
            pause_s = 0.0 if progressed else _longer_pause_s(pause_s)

    async def _copy_resumed(self, job: DecodeJob) -> None:
        engine = self._context.engine
        async with engine.resume(job.attempt, job.next_sequence) as stream:
            await self._copy_tokens(job, stream)

    async def _raise_if_crashed(self, job: DecodeJob, exc: Failure) -> None:
        lost = ConnectionLost(exc.detail)
        classified = await self._context.classify_failure(job.attempt, lost)
        if classified is not lost:
            raise classified


def _longer_pause_s(pause_s: float) -> float:
    return min(max(2 * pause_s, MIN_RESUME_PAUSE_S), MAX_RESUME_PAUSE_S)
