"""Execution of calls on a plain service, each at most once."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from gooseberrypost.agent.checks import attempt_of
from gooseberrypost.agent.context import Context, error_or_none
from gooseberrypost.agent.jobs import Job
from gooseberrypost.agent.log import log_decision
from gooseberrypost.agent.plain import PlainClient, PlainResponse
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


class CallRunner:
    """Admits ``Call`` requests and runs them on the plain service."""

    __slots__ = ("_context",)

    def __init__(self, context: Context) -> None:
        self._context = context

    async def call(self, session: Session, correlation: int, req: Any) -> None:
        """Run a call once, or refuse it.

        A refused attempt stays refused: a late duplicate cannot start it.
        """
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
        outcome = await asyncio.shield(job.task)
        context.remove_job(job)
        match outcome:
            case Ok(response):
                headers = [idl.Header(name=n, value=v) for n, v in response[1]]
                reply = idl.CallReply(
                    status=response.status,
                    headers=headers,
                    body=response.body,
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
            # The attempt that was started may already have had its effect.
            return UnknownOutcome(
                "an attempt of this call was already started"
            )
        if stale is not None:
            return stale
        refusal = self._reserve_slot(session, attempt, req)
        if refusal is not None:
            # After this refusal the entry may send the call to another server,
            # so the attempt must not start here any more.
            table.revoke(attempt, expires_ms)
            return refusal
        return error_or_none(table.begin(attempt, Phase.CALL, expires_ms))

    def _reserve_slot(
        self, session: Session, attempt: Attempt, req: Any
    ) -> NotRun | None:
        context = self._context
        lifecycle = context.lifecycle_controller.lifecycle
        refusal = lifecycle.refusal(EngineRole.PLAIN)
        if refusal is None and not isinstance(context.backend, PlainClient):
            refusal = NotRun("the backend server is not a plain service")
        refusal = refusal or context.backend.limit_refusal()
        if refusal is not None:
            return refusal
        now_ms = context.now_ms()
        request = ReservationRequest(
            holder=attempt,
            owner=session.peer.incarnation,
            pieces=0,
            ttl_ms=req.deadline_ms,
            suspect=req.suspect,
            digest=req.digest,
        )
        reserved = context.capacity_controller.reserve(request, now_ms)
        if isinstance(reserved, Err):
            return reserved.err_value
        context.backend.count_request()
        number = reserved.ok_value.number
        return error_or_none(
            context.capacity_controller.start_reservation(
                number, attempt, now_ms
            )
        )

    async def _run(
        self, attempt: Attempt, req: Any
    ) -> Result[PlainResponse, Failure]:
        context = self._context
        backend = context.backend
        assert isinstance(backend, PlainClient)
        try:
            outcome = await backend.call(req, req.deadline_ms)
            if isinstance(outcome, Err):
                return Err(
                    await self._classify_failure(
                        attempt, req, outcome.err_value
                    )
                )
            return outcome
        finally:
            context.capacity_controller.release(attempt)
            context.attempts.table.advance(
                attempt, Phase.CALL, AttemptState.DONE
            )

    async def _classify_failure(
        self, attempt: Attempt, req: Any, failure: Failure
    ) -> Failure:
        classified = await self._context.classify_failure(attempt, failure)
        may_have_run = isinstance(classified, EngineCrashed | ProtocolFailure)
        if may_have_run and not req.idempotent:
            # The call may have had its effect before the crash.
            return UnknownOutcome(str(classified))
        return classified
