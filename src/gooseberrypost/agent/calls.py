"""Runs calls on a plain service, each at most once."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from gooseberrypost.agent.checks import attempt_of
from gooseberrypost.agent.context import Context, error_or_none
from gooseberrypost.agent.jobs import Job
from gooseberrypost.agent.log import log_decision
from gooseberrypost.agent.plain import PlainAnswer, PlainClient
from gooseberrypost.agent.retention import RECORD_RETENTION_MS
from gooseberrypost.errors import (
    EngineCrashed,
    Failure,
    NotRun,
    ProtocolFailure,
    UnknownOutcome,
)
from gooseberrypost.state.attempts import AttemptState, Phase
from gooseberrypost.state.ledger import ReservationRequest
from gooseberrypost.state.records import EngineRole
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from gooseberrypost.identity import Attempt
    from gooseberrypost.wire.listener import Session


class Calls:
    """Admits and runs ``Call`` messages."""

    __slots__ = ("_context",)

    def __init__(self, context: Context) -> None:
        self._context = context

    async def call(self, session: Session, correlation: int, req: Any) -> None:
        """Run a call once, or refuse it and bar the attempt for good."""
        context = self._context
        attempt = attempt_of(req)
        refusal = self._admit(session, attempt, req)
        if refusal is not None:
            await context.refuse(session, correlation, attempt, refusal)
            return
        log_decision(
            "admit", key=req.key, attempt=req.attempt, phase=Phase.CALL
        )
        job = Job(attempt, Phase.CALL, session, req.digest)
        job.task = asyncio.create_task(self._run(attempt, req))
        context.attempts.jobs[attempt] = job
        answer = await asyncio.shield(job.task)
        context.remove_job(job)
        match answer:
            case Ok(found):
                headers = [idl.Header(name=n, value=v) for n, v in found[1]]
                reply = idl.CallReply(
                    status=found.status,
                    headers=headers,
                    body=found.body,
                    load=context.load(),
                )
                await session.send(correlation, reply)
            case Err(failure):
                await context.refuse(session, correlation, attempt, failure)

    def _admit(
        self, session: Session, attempt: Attempt, req: Any
    ) -> Failure | None:
        context = self._context
        table = context.attempts.table
        expires_ms = context.now_ms() + req.deadline_ms + RECORD_RETENTION_MS
        stale = error_or_none(table.check(attempt, Phase.CALL))
        if not req.idempotent and table.has_started(attempt.key):
            # Another attempt may have had its effect already.
            return UnknownOutcome("an attempt of this call was started here")
        if stale is not None:
            return stale
        refusal = self._take_slot(session, attempt, req)
        if refusal is not None:
            # The entry may send the call elsewhere on this refusal.
            table.revoke(attempt, expires_ms)
            return refusal
        return error_or_none(table.begin(attempt, Phase.CALL, expires_ms))

    def _take_slot(
        self, session: Session, attempt: Attempt, req: Any
    ) -> NotRun | None:
        context = self._context
        lifecycle = context.lifecycle_controller.lifecycle
        refusal = lifecycle.refusal(EngineRole.PLAIN)
        if refusal is None and not isinstance(context.backend, PlainClient):
            refusal = NotRun("the backend server takes no calls")
        if refusal is not None:
            return refusal
        now_ms = context.now_ms()
        ask = ReservationRequest(
            holder=attempt,
            owner=session.peer.incarnation,
            pieces=0,
            ttl_ms=req.deadline_ms,
            suspect=req.suspect,
            digest=req.digest,
        )
        reserved = context.capacity_controller.reserve(ask, now_ms)
        if isinstance(reserved, Err):
            return reserved.err_value
        number = reserved.ok_value.number
        return error_or_none(
            context.capacity_controller.start_reservation(
                number, attempt, now_ms
            )
        )

    async def _run(
        self, attempt: Attempt, req: Any
    ) -> Result[PlainAnswer, Failure]:
        context = self._context
        backend = context.backend
        assert isinstance(backend, PlainClient)
        try:
            answer = await backend.call(req, req.deadline_ms)
            if isinstance(answer, Err):
                return Err(await self._judge(attempt, req, answer.err_value))
            return answer
        finally:
            context.capacity_controller.release(attempt)
            context.attempts.table.advance(
                attempt, Phase.CALL, AttemptState.DONE
            )

    async def _judge(
        self, attempt: Attempt, req: Any, failure: Failure
    ) -> Failure:
        judged = await self._context.classify_failure(attempt, failure)
        broken = isinstance(judged, EngineCrashed | ProtocolFailure)
        if broken and not req.idempotent:
            # The call may have had its effect before the crash.
            return UnknownOutcome(str(judged))
        return judged
