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
    TargetUnreachable,
)
from gooseberrypost.policy.views import AgentView, RequestView
from gooseberrypost.state.prefix import prefix_hashes, shared_prefix_hash
from gooseberrypost.state.records import EngineRole
from gooseberrypost.state.streams import TokenStream

if TYPE_CHECKING:
    from gooseberrypost.claims.client import Grant
    from gooseberrypost.entry.answer import CompletionAnswer
    from gooseberrypost.entry.collaborators import RetryBudget
    from gooseberrypost.entry.context import EntryContext
    from gooseberrypost.entry.parse import Completion
    from gooseberrypost.entry.sections import LiveRequest
    from gooseberrypost.policy.admission import Prediction
    from gooseberrypost.state.records import ServiceRecord

MAX_HINT_BLOCKS: Final = 512
"""Blocks of a prompt that are compared, about 32,000 tokens."""
FINAL_FAILURES: Final = (CallerGone, Quarantined, Superseded)
"""Failures after which another attempt cannot help."""
ROOM_PAUSE_S: Final = 0.1


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
        self._relaxed: RequestView | None = None
        """View without first-token target of a request that warms a cache."""

    async def run(self) -> Result[None, Failure]:
        """Answer the caller, or return the failure it is to be told."""
        view = self._view()
        try:
            granted = await self._admitted(view)
            if isinstance(granted, Err):
                return granted
            return await self._run_attempts(
                self._relaxed or view, granted.ok_value
            )
        finally:
            self._live.stage = Stage.RELEASE
            self._hold.release()

    async def _admitted(self, view: RequestView) -> Result[Grant, Failure]:
        """Pass admission and claim the request.

        A key from the caller is claimed first: its answer may be stored, and
        a refusal by admission would prove nothing about an earlier sending.
        """
        if self._live.key_from_caller:
            granted = await self._claimed(view)
            if isinstance(granted, Err):
                return granted
            admitted = await self._admission(view)
            return admitted.and_then(lambda _: granted)
        admitted = await self._admission(view)
        if isinstance(admitted, Err):
            return admitted
        return await self._claimed(view)

    async def _claimed(self, view: RequestView) -> Result[Grant, Failure]:
        """Claim the request, and refresh old loads meanwhile."""
        granted, _ = await asyncio.gather(
            self._hold.acquire(self._digest, idempotent=True),
            self._probe(view),
        )
        return granted

    async def _admission(
        self, view: RequestView
    ) -> Result[Prediction, Failure]:
        self._live.stage = Stage.ADMISSION
        admitted = await self._ctx.queue.admit(self._relaxed or view)
        if isinstance(admitted, Err) and self._warms(view, admitted.err_value):
            self._relaxed = replace(
                view, first_token_ms=view.answer_deadline_ms - view.arrived_ms
            )
            admitted = await self._ctx.queue.admit(self._relaxed)
        self._ctx.metrics.observe(
            "admission_wait_ms",
            self._ctx.now_ms() - view.arrived_ms,
            service=view.service,
        )
        return admitted

    def _warms(self, view: RequestView, failure: Failure) -> bool:
        """Whether to serve a late request because it warms a shared prefix."""
        prefix = shared_prefix_hash(view.prefix_hashes)
        if prefix is None or not isinstance(failure, TargetUnreachable):
            return False
        if self._relaxed is not None:
            return False
        ctx, service = self._ctx, view.service
        pressure = ctx.parts.pressure(
            ctx.fleet.candidates(service, EngineRole.DECODE, view.model)
        )
        return ctx.cold_of(service).should_warm_up(
            prefix, ctx.now_ms(), pressure
        )

    def _view(self) -> RequestView:
        live, service = self._live, self._service
        completion = self._completion
        output_tokens = max_output(service, completion)
        return RequestView(
            key=live.key,
            service=service.name,
            account=live.account,
            model=completion.model,
            zone=self._ctx.settings.zone,
            prompt_tokens=completion.prompt_tokens,
            max_output_tokens=output_tokens,
            priority=service.priority,
            waste_weight=service.waste_weight,
            arrived_ms=live.arrived_ms,
            first_token_ms=service.first_token_ms,
            token_gap_ms=service.token_gap_ms,
            answer_deadline_ms=live.deadline_ms,
            max_wait_ms=service.max_wait_ms,
            prefix_hashes=tuple(
                prefix_hashes(completion.prompt)[:MAX_HINT_BLOCKS]
            ),
            expected_output_tokens=self._ctx.outputs_of(service.name).expected(
                output_tokens
            ),
        )

    async def _probe(self, view: RequestView) -> None:
        roles = (EngineRole.PREFILL, EngineRole.DECODE)
        await asyncio.gather(
            *(
                self._ctx.fleet.probe(
                    view.service, self._pool(view, role), view.prefix_hashes
                )
                for role in roles
            )
        )

    def _pool(self, view: RequestView, role: str) -> list[AgentView]:
        fleet, service, model = self._ctx.fleet, view.service, view.model
        views = fleet.candidates(service, role, model)
        if view.suspect:
            views += fleet.isolated(service, role, model, self._digest)
        return views

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
            attempt = ModelAttempt(self._ctx, work)
            done = await attempt.run()
            if isinstance(done, Ok) or _reached_limit(work):
                return await self._finish(work)
            failure = done.err_value
            if isinstance(failure, NoCapacity) and attempt.is_unused:
                room = await self._wait_for_room(work.view)
                if isinstance(room, Err):
                    return room
                continue
            if isinstance(failure, FINAL_FAILURES):
                return Err(failure)
            renewed = await next_attempt(
                self._ctx, self._live, self._hold, self._retries, failure
            )
            if isinstance(renewed, Err):
                return renewed
            grant = renewed.ok_value

    async def _wait_for_room(
        self, view: RequestView
    ) -> Result[object, Failure]:
        """Wait again: the loads were older than thought.

        What was begun is not given up before the deadline.
        """
        if not self._live.sent:
            return await self._admission(view)
        await asyncio.sleep(ROOM_PAUSE_S)
        await self._probe(view)
        return Ok(None)

    async def _finish(self, work: ModelWork) -> Result[None, Failure]:
        limit = work.view.max_output_tokens
        reached = work.stream.next_sequence >= limit
        stored = self._answer.seal(
            work.stream, FINISH_LENGTH if reached else FINISH_STOP
        )
        completed = await self._hold.complete(stored)
        if isinstance(completed, Err):
            return completed
        self._ctx.outputs_of(self._service.name).observe(
            work.stream.next_sequence
        )
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
