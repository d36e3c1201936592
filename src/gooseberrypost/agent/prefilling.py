"""Execution of prefills on the engine."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final

from result import Err, Result

from gooseberrypost.agent.checks import attempt_of
from gooseberrypost.agent.context import Context, error_or_none
from gooseberrypost.agent.engine import PrefillResult
from gooseberrypost.agent.jobs import Job
from gooseberrypost.agent.log import log_decision
from gooseberrypost.agent.retention import RECORD_RETENTION_MS
from gooseberrypost.errors import (
    CallerGone,
    EngineCrashed,
    Failure,
    NoCapacity,
)
from gooseberrypost.state.attempts import AttemptState, Phase
from gooseberrypost.state.ledger import ReservationRequest
from gooseberrypost.state.prefix import prefix_hashes
from gooseberrypost.state.records import EngineRole
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from gooseberrypost.agent.cancellation import AttemptCanceller
    from gooseberrypost.identity import Attempt
    from gooseberrypost.wire.listener import Session

MAX_RESULT_LIFETIME_MS: Final = 1_000
"""Longest time that the ledger counts the memory of a prefill result."""


class PrefillRunner:
    """Admits ``Prefill`` requests and runs them on the engine."""

    __slots__ = ("_canceller", "_context")

    def __init__(self, context: Context, canceller: AttemptCanceller) -> None:
        self._context = context
        self._canceller = canceller

    async def prefill(
        self, session: Session, correlation: int, req: Any
    ) -> None:
        """Compute the KV cache of a prompt, or refuse the request."""
        context = self._context
        attempt = attempt_of(req)
        prompt = req.prompt + req.generated
        tokens = len(prompt.split())
        refusal = self._admit(session, attempt, req, tokens)
        if refusal is not None:
            await context.refuse(session, correlation, attempt, refusal)
            return
        self._canceller.cancel_superseded(attempt)
        log_decision(
            "admit",
            key=req.key,
            attempt=req.attempt,
            phase=Phase.PREFILL,
            tokens=tokens,
        )
        job = Job(attempt, Phase.PREFILL, session, req.digest, req.parts or ())
        job.task = asyncio.create_task(self._run(attempt, req, prompt))
        context.attempts.jobs[attempt] = job
        context.capacity_controller.adjust_queue(tokens)
        try:
            outcome = await asyncio.shield(job.task)
        except asyncio.CancelledError:
            outcome = Err(CallerGone("the prefill was cancelled"))
        finally:
            context.capacity_controller.adjust_queue(-tokens)
            context.remove_job(job)
        if isinstance(outcome, Err):
            await context.refuse(
                session, correlation, attempt, outcome.err_value
            )
            return
        await session.send(correlation, self._reply(outcome.ok_value))

    async def release(
        self, session: Session, correlation: int, req: Any
    ) -> None:
        """Release a prefill result that no decode engine will import."""
        attempt = attempt_of(req)
        allocation = self._context.capacity.ledger.find(attempt)
        if allocation is not None and not allocation.running:
            await self._context.engine.release(req.handle)
            self._context.capacity_controller.release(attempt)
        await session.send(correlation, idl.Ok())

    def _admit(
        self, session: Session, attempt: Attempt, req: Any, tokens: int
    ) -> Failure | None:
        context = self._context
        table = context.attempts.table
        lifecycle = context.lifecycle_controller.lifecycle
        refusal = lifecycle.refusal(
            EngineRole.PREFILL, req.model
        ) or error_or_none(table.check(attempt, Phase.PREFILL))
        if refusal is not None:
            return refusal
        if context.capacity.ledger.find(attempt) is not None:
            return NoCapacity(
                "the attempt already has an allocation on this server"
            )
        limited = context.backend.limit_refusal()
        if limited is not None:
            return limited
        now_ms = context.now_ms()
        request = ReservationRequest(
            holder=attempt,
            owner=session.peer.incarnation,
            pieces=-(-tokens // context.cfg.backend.piece_tokens),
            ttl_ms=req.deadline_ms,
            suspect=req.suspect,
            digest=req.digest,
        )
        reserved = context.capacity_controller.reserve(request, now_ms)
        if isinstance(reserved, Err):
            return reserved.err_value
        context.backend.count_request()
        number = reserved.ok_value.number
        stale = error_or_none(
            context.capacity_controller.start_reservation(
                number, attempt, now_ms
            )
        )
        expires_ms = now_ms + req.deadline_ms + RECORD_RETENTION_MS
        return stale or error_or_none(
            table.begin(attempt, Phase.PREFILL, expires_ms)
        )

    async def _run(
        self, attempt: Attempt, req: Any, prompt: str
    ) -> Result[PrefillResult, Failure]:
        context = self._context
        clock = asyncio.get_running_loop().time
        started_s = clock()
        outcome = await context.engine.prefill(
            attempt, req.model, prompt, req.priority, req.deadline_ms
        )
        context.attempts.table.advance(
            attempt, Phase.PREFILL, AttemptState.DONE
        )
        if isinstance(outcome, Err):
            failure = await context.classify_failure(
                attempt, outcome.err_value
            )
            if not isinstance(failure, EngineCrashed):
                await self._canceller.release(attempt)
            return Err(failure)
        result = outcome.ok_value
        context.capacity_controller.record_prefill_rate(
            result.tokens - result.cached_tokens, (clock() - started_s) * 1_000
        )
        # The whole prompt is cached now. The engine's cache events report
        # this late, and some of them are lost.
        context.cache_controller.correct(prefix_hashes(prompt), result.tokens)
        lifetime_ms = min(result.lives_ms, MAX_RESULT_LIFETIME_MS)
        context.capacity_controller.release_slot(
            attempt, context.now_ms() + lifetime_ms
        )
        return outcome

    def _reply(self, result: PrefillResult) -> Any:
        return idl.Prefilled(
            handle=result.handle,
            tokens=result.tokens,
            cached_tokens=result.cached_tokens,
            lives_ms=result.lives_ms,
            engine_address=self._context.cfg.backend.address,
            load=self._context.load(),
        )
