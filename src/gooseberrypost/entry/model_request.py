"""Model request: admission, claim, attempts and the final answer."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result

from gooseberrypost.entry.answer import FINISH_LENGTH, FINISH_STOP
from gooseberrypost.entry.attempt import ModelAttempt
from gooseberrypost.entry.context import RequestClaim, next_attempt
from gooseberrypost.entry.placing import RequestState
from gooseberrypost.entry.sections import Stage
from gooseberrypost.entry.succession import (
    NON_RETRYABLE_FAILURES,
    Succession,
    reached_output_limit,
    view_of_grant,
)
from gooseberrypost.errors import Failure, NoCapacity, TargetUnreachable
from gooseberrypost.identity import content_digest
from gooseberrypost.policy.views import AgentView, RequestView
from gooseberrypost.state.prefix import (
    prefix_hashes,
    shared_part_hashes,
    shared_prefix_hash,
)
from gooseberrypost.state.records import EngineRole
from gooseberrypost.state.streams import TokenStream

if TYPE_CHECKING:
    from gooseberrypost.claims.client import Grant
    from gooseberrypost.entry.answer import CompletionAnswer
    from gooseberrypost.entry.collaborators import RetryBudget
    from gooseberrypost.entry.context import EntryContext
    from gooseberrypost.entry.parse import CompletionRequest
    from gooseberrypost.entry.sections import LiveRequest
    from gooseberrypost.policy.admission import Prediction
    from gooseberrypost.state.records import ServiceRecord

MAX_PREFIX_BLOCKS: Final = 512
"""Prompt blocks compared in prefix matching, about 32,000 tokens."""
CAPACITY_PAUSE_S: Final = 0.1
"""Pause before a started request checks for capacity again, in seconds."""


class ModelRequest:
    """Runs one model request of one caller through its attempts."""

    def __init__(
        self,
        ctx: EntryContext,
        live: LiveRequest,
        service: ServiceRecord,
        completion: CompletionRequest,
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
        self._claim = RequestClaim(ctx, live)
        self._late_view: RequestView | None = None
        """View whose first-token target is extended to the answer deadline.

        It is set for a request that is served late to warm a prefix.
        """

    async def run(self) -> Result[None, Failure]:
        """Answer the caller, or return the failure to report to it."""
        view = self._request_view()
        try:
            granted = await self._admit_and_claim(view)
            if isinstance(granted, Err):
                return granted
            return await self._run_attempts(
                self._late_view or view, granted.ok_value
            )
        finally:
            self._live.stage = Stage.RELEASE
            self._claim.release()

    async def _admit_and_claim(
        self, view: RequestView
    ) -> Result[Grant, Failure]:
        """Pass admission control and claim the idempotency key.

        A key from the caller is claimed before admission: its answer may be
        stored already, and a refusal by admission control does not show
        whether an earlier request with the key has run.
        """
        if self._live.key_from_caller:
            granted = await self._acquire_claim(view)
            if isinstance(granted, Err):
                return granted
            admitted = await self._admit(view)
            return admitted.and_then(lambda _: granted)
        admitted = await self._admit(view)
        if isinstance(admitted, Err):
            return admitted
        return await self._acquire_claim(view)

    async def _acquire_claim(
        self, view: RequestView
    ) -> Result[Grant, Failure]:
        """Claim the idempotency key, and probe stale loads concurrently."""
        granted, _ = await asyncio.gather(
            self._claim.acquire(
                self._digest, idempotent=True, parts=self._parts(view)
            ),
            self._probe_pools(view),
        )
        return granted

    async def _admit(self, view: RequestView) -> Result[Prediction, Failure]:
        """Wait for admission; admit a warm-up request past its target."""
        self._live.stage = Stage.ADMISSION
        admitted = await self._ctx.queue.admit(self._late_view or view)
        if isinstance(admitted, Err) and self._should_warm_up(
            view, admitted.err_value
        ):
            self._late_view = replace(
                view, first_token_ms=view.answer_deadline_ms - view.arrived_ms
            )
            admitted = await self._ctx.queue.admit(self._late_view)
        self._ctx.metrics.observe(
            "admission_wait_ms",
            self._ctx.now_ms() - view.arrived_ms,
            service=view.service,
        )
        return admitted

    def _should_warm_up(self, view: RequestView, failure: Failure) -> bool:
        """Return whether to serve a late request to warm its shared prefix."""
        prefix = shared_prefix_hash(view.prefix_hashes)
        if prefix is None or not isinstance(failure, TargetUnreachable):
            return False
        if self._late_view is not None:
            return False
        ctx, service = self._ctx, view.service
        occupancy = ctx.collaborators.occupancy(
            ctx.fleet.candidates(service, EngineRole.DECODE, view.model)
        )
        return ctx.cold_prefixes(service).should_warm_up(
            prefix, ctx.now_ms(), occupancy
        )

    def _request_view(self) -> RequestView:
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
                prefix_hashes(completion.prompt)[:MAX_PREFIX_BLOCKS]
            ),
            expected_output_tokens=self._ctx.output_length(
                service.name
            ).expected(output_tokens),
        )

    async def _probe_pools(self, view: RequestView) -> None:
        roles = (EngineRole.PREFILL, EngineRole.DECODE)
        await asyncio.gather(
            *(
                self._ctx.fleet.probe(
                    view.service,
                    self._pool_views(view, role),
                    view.prefix_hashes,
                )
                for role in roles
            )
        )

    def _parts(self, view: RequestView) -> tuple[bytes, ...]:
        """Digests of the parts of the prompt that others may share."""
        return tuple(
            content_digest(view.service, str(part).encode())
            for part in shared_part_hashes(view.prefix_hashes)
        )

    def _pool_views(self, view: RequestView, role: str) -> list[AgentView]:
        fleet, service, model = self._ctx.fleet, view.service, view.model
        views = fleet.candidates(service, role, model)
        if view.suspect:
            views += fleet.isolation_candidates(
                service, role, model, self._digest
            )
        return views

    async def _run_attempts(
        self, view: RequestView, grant: Grant
    ) -> Result[None, Failure]:
        state = RequestState(
            live=self._live,
            view=view,
            completion=self._completion,
            digest=self._digest,
            stream=TokenStream(grant.attempt),
            answer=self._answer,
            retries=self._retries,
            failed_engines=set(),
            parts=self._parts(view),
        )
        succession = Succession(self._ctx, self._claim, self._probe_pools)
        while True:
            _apply_grant(state, grant)
            attempt = ModelAttempt(self._ctx, state)
            result = await succession.run(state, attempt)
            if isinstance(result, Ok) or reached_output_limit(state):
                return await self._finish(state)
            failure = result.err_value
            if isinstance(failure, NoCapacity) and attempt.is_reusable:
                available = await self._wait_for_capacity(state.view)
                if isinstance(available, Err):
                    return available
                continue
            if isinstance(failure, NON_RETRYABLE_FAILURES):
                return Err(failure)
            renewed = await next_attempt(
                self._ctx, self._live, self._claim, self._retries, failure
            )
            if isinstance(renewed, Err):
                return renewed
            grant = renewed.ok_value

    async def _wait_for_capacity(
        self, view: RequestView
    ) -> Result[object, Failure]:
        """Wait for capacity after engines refused an admitted request.

        The loads that admission used were out of date. A request that an
        engine may have started skips admission, so that only its deadline
        ends it.
        """
        if not self._live.may_have_run:
            return await self._admit(view)
        await asyncio.sleep(CAPACITY_PAUSE_S)
        await self._probe_pools(view)
        return Ok(None)

    async def _finish(self, state: RequestState) -> Result[None, Failure]:
        """Record the answer with the claim, then send its final part."""
        limit = state.view.max_output_tokens
        reached_limit = state.stream.next_sequence >= limit
        stored = self._answer.finalize(
            state.stream, FINISH_LENGTH if reached_limit else FINISH_STOP
        )
        completed = await self._claim.complete(stored)
        if isinstance(completed, Err):
            return completed
        self._ctx.output_length(self._service.name).observe(
            state.stream.next_sequence
        )
        await self._answer.finish()
        return Ok(None)


def max_output(service: ServiceRecord, completion: CompletionRequest) -> int:
    """Return the caller's limit on output tokens, capped by the service's.

    A caller's limit of 0 stands for the limit of the service.
    """
    if completion.max_tokens == 0:
        return service.max_output_tokens
    return min(completion.max_tokens, service.max_output_tokens)


def _apply_grant(state: RequestState, grant: Grant) -> None:
    """Continue the request under the attempt number of a new grant."""
    state.stream.restart(grant.attempt)
    state.view = view_of_grant(state.view, grant)
