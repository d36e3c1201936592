"""Steps of a model request, from admission to the final frame."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result

from gooseberrypost.entry.answer import FINISH_LENGTH, FINISH_STOP
from gooseberrypost.entry.attempt import ModelAttempt
from gooseberrypost.entry.context import ClaimHold, next_attempt
from gooseberrypost.entry.placing import ModelWork
from gooseberrypost.entry.sections import Stage
from gooseberrypost.errors import (
    CallerGone,
    Failure,
    NoCapacity,
    Quarantined,
    Superseded,
)
from gooseberrypost.policy.views import RequestView
from gooseberrypost.state.records import EngineRole
from gooseberrypost.state.streams import TokenStream

if TYPE_CHECKING:
    from gooseberrypost.claims.client import Grant
    from gooseberrypost.entry.answer import CompletionAnswer
    from gooseberrypost.entry.collaborators import RetryBudget
    from gooseberrypost.entry.context import EntryContext
    from gooseberrypost.entry.parse import Completion
    from gooseberrypost.entry.sections import LiveRequest
    from gooseberrypost.state.records import ServiceRecord

FINAL_FAILURES: Final = (CallerGone, Quarantined, Superseded)
"""Failures after which another attempt cannot help."""


class ModelRequest:
    """One model request of one caller."""

    def __init__(
        self,
        ctx: EntryContext,
        live: LiveRequest,
        service: ServiceRecord,
        completion: Completion,
        digest: bytes,
        answer: CompletionAnswer,
        retries: RetryBudget,
    ) -> None:
        self._ctx = ctx
        self._live = live
        self._service = service
        self._completion = completion
        self._digest = digest
        self._answer = answer
        self._retries = retries
        self._hold = ClaimHold(ctx, live)

    async def run(self) -> Result[None, Failure]:
        """Answer the caller, or return the failure it is to be told."""
        view = self._view()
        refusal = self._admission(view)
        if refusal is not None and not self._live.key_from_caller:
            return Err(refusal)
        try:
            granted, _ = await asyncio.gather(
                self._hold.acquire(self._digest, idempotent=True),
                self._probe(view),
            )
            if isinstance(granted, Err):
                return granted
            if refusal is not None:
                # The claim was asked for only to replay an earlier answer.
                return Err(refusal)
            return await self._run_attempts(view, granted.ok_value)
        finally:
            self._live.stage = Stage.RELEASE
            self._hold.release()

    def _view(self) -> RequestView:
        live, service = self._live, self._service
        completion = self._completion
        return RequestView(
            key=live.key,
            service=service.name,
            account=live.account,
            model=completion.model,
            zone=self._ctx.settings.zone,
            prompt_tokens=completion.prompt_tokens,
            max_output_tokens=max_output(service, completion),
            priority=service.priority,
            waste_weight=service.waste_weight,
            arrived_ms=live.arrived_ms,
            first_token_ms=service.first_token_ms,
            token_gap_ms=service.token_gap_ms,
            answer_deadline_ms=live.deadline_ms,
            max_wait_ms=service.max_wait_ms,
        )

    def _admission(self, view: RequestView) -> Failure | None:
        self._live.stage = Stage.ADMISSION
        fleet, service = self._ctx.fleet, view.service
        decided = self._ctx.parts.admission.decide(
            view,
            fleet.candidates(service, EngineRole.PREFILL, view.model),
            fleet.candidates(service, EngineRole.DECODE, view.model),
            self._ctx.now_ms(),
        )
        return decided.err_value if isinstance(decided, Err) else None

    async def _probe(self, view: RequestView) -> None:
        """Refresh old loads while the claim is under way."""
        fleet, service = self._ctx.fleet, view.service
        await asyncio.gather(
            *(
                fleet.probe(
                    service, fleet.candidates(service, role, view.model)
                )
                for role in (EngineRole.PREFILL, EngineRole.DECODE)
            )
        )

    async def _run_attempts(
        self, view: RequestView, grant: Grant
    ) -> Result[None, Failure]:
        work = ModelWork(
            live=self._live,
            view=view,
            completion=self._completion,
            digest=self._digest,
            stream=TokenStream(grant.attempt),
            answer=self._answer,
            retries=self._retries,
            avoided=set(),
        )
        while True:
            _take_grant(work, grant)
            done = await ModelAttempt(self._ctx, work).run()
            if isinstance(done, Ok) or _reached_limit(work):
                return await self._finish(work)
            failure = done.err_value
            if not self._may_retry(failure):
                return Err(failure)
            renewed = await next_attempt(
                self._ctx, self._live, self._hold, self._retries, failure
            )
            if isinstance(renewed, Err):
                return renewed
            grant = renewed.ok_value

    def _may_retry(self, failure: Failure) -> bool:
        if isinstance(failure, FINAL_FAILURES):
            return False
        return self._live.sent or not isinstance(failure, NoCapacity)

    async def _finish(self, work: ModelWork) -> Result[None, Failure]:
        limit = work.view.max_output_tokens
        reached = work.stream.next_sequence >= limit
        stored = self._answer.seal(
            work.stream, FINISH_LENGTH if reached else FINISH_STOP
        )
        completed = await self._hold.complete(stored)
        if isinstance(completed, Err):
            return completed
        await self._answer.finish()
        return Ok(None)


def max_output(service: ServiceRecord, completion: Completion) -> int:
    """Limit on output tokens: the caller's, within that of the service."""
    if completion.max_tokens == 0:
        return service.max_output_tokens
    return min(completion.max_tokens, service.max_output_tokens)


def _take_grant(work: ModelWork, grant: Grant) -> None:
    work.stream.restart(grant.attempt)
    work.view = replace(
        work.view,
        key=grant.key,
        attempt=grant.attempt,
        suspect=grant.suspect,
    )


def _reached_limit(work: ModelWork) -> bool:
    """Whether only the end of the stream was lost, and no token."""
    return work.stream.next_sequence >= work.view.max_output_tokens
