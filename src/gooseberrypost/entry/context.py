"""Shared context of an entry's requests, and the claim of a request."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final

from result import Err, Ok, Result

from gooseberrypost.claims.client import ClaimRequest, Grant, StoredAnswer
from gooseberrypost.entry.sections import LiveRequest, Stage
from gooseberrypost.errors import (
    AttemptReleased,
    ConnectionLost,
    EngineCrashed,
    Failure,
    HandleExpired,
    NotRun,
    Superseded,
    TransferStalled,
    UnknownOutcome,
)
from gooseberrypost.logs import RefusalDecision, RetryDecision
from gooseberrypost.policy.outputlength import OutputLengthEstimate
from gooseberrypost.policy.warmup import ColdPrefixes

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from gooseberrypost.entry.admission_queue import AdmissionQueue
    from gooseberrypost.entry.agents import AgentClient, BackgroundTasks
    from gooseberrypost.entry.collaborators import (
        Catalog,
        Collaborators,
        RetryBudget,
    )
    from gooseberrypost.entry.fleet import FleetController
    from gooseberrypost.logs import DecisionLog
    from gooseberrypost.metrics import Metrics
    from gooseberrypost.settings.entry import EntrySettings

ATTACH_MARGIN_MS: Final = 200
"""Time before its deadline at which a duplicate request stops waiting, in ms.

This leaves time to report the result before the deadline of the duplicate.
"""
DISPLACEABLE_FAILURES: Final = (
    AttemptReleased,
    ConnectionLost,
    EngineCrashed,
    HandleExpired,
    NotRun,
    TransferStalled,
)
"""Failures after which a displaced request is moved to another engine.

A displaced request has lost an engine that was running it. An engine that
refused to run it, for whatever reason, has cost nothing.
"""
MAX_COMPLETE_TRIES: Final = 3
COMPLETE_PAUSE_S: Final = 0.05


@dataclass(slots=True)
class EntryContext:
    """Collaborators shared by the requests of one entry."""

    settings: EntrySettings
    collaborators: Collaborators
    catalog: Catalog
    fleet: FleetController
    agents: AgentClient
    queue: AdmissionQueue
    background: BackgroundTasks
    decisions: DecisionLog
    metrics: Metrics
    output_length_by_service: dict[str, OutputLengthEstimate] = field(
        default_factory=dict
    )
    """Estimate of the output tokens per answer, by service."""

    cold_prefixes_by_service: dict[str, ColdPrefixes] = field(
        default_factory=dict
    )
    """Uncached long prefixes of requests refused as too late, by service."""

    def cold_prefixes(self, service: str) -> ColdPrefixes:
        """Return the uncached prefixes of a service's refused requests."""
        return self.cold_prefixes_by_service.setdefault(
            service, ColdPrefixes()
        )

    def output_length(self, service: str) -> OutputLengthEstimate:
        """Return the estimate of a service's output tokens per answer."""
        return self.output_length_by_service.setdefault(
            service, OutputLengthEstimate()
        )

    def now_ms(self) -> int:
        """Return the clock time in milliseconds."""
        return self.collaborators.clock()

    def log_retry(
        self, live: LiveRequest, failure: Failure, action: str
    ) -> None:
        """Log and count the action taken after a failed step."""
        self.metrics.count("retries_total", action=action, code=failure.code)
        self.decisions.record(
            RetryDecision(
                live.key,
                live.service,
                live.attempt,
                live.stage,
                failure.code,
                action,
            )
        )

    def log_refusal(self, live: LiveRequest, failure: Failure) -> None:
        """Log the failure that is reported to a caller."""
        self.decisions.record(
            RefusalDecision(
                live.key, live.service, failure.code, failure.detail
            )
        )


async def next_attempt(
    ctx: EntryContext,
    live: LiveRequest,
    claim: RequestClaim,
    budget: RetryBudget,
    failure: Failure,
) -> Result[Grant, Failure]:
    """Count a failure, then renew the claim for a new attempt.

    Returns ``failure`` when the retry budget or the deadline allows no retry.
    A request whose engine was lost is moved without charge to the budget, see
    ``RetryBudget.retry_displaced``.
    """
    count_failure(live, failure)
    return await renew_attempt(ctx, live, claim, budget, failure)


def count_failure(live: LiveRequest, failure: Failure) -> None:
    """Count a failed or stalled attempt of a request."""
    live.failure_count += 1
    live.displacements += isinstance(
        failure, AttemptReleased | ConnectionLost | EngineCrashed
    )


async def renew_attempt(
    ctx: EntryContext,
    live: LiveRequest,
    claim: RequestClaim,
    budget: RetryBudget,
    failure: Failure,
) -> Result[Grant, Failure]:
    """Wait for the backoff delay, then renew the claim, as far as allowed."""
    delay = _retry_delay(ctx, live, budget, failure)
    if isinstance(delay, Err):
        ctx.log_retry(live, failure, "give_up")
        return Err(failure)
    ctx.log_retry(live, failure, "new_attempt")
    await asyncio.sleep(delay.ok_value / 1_000)
    return await claim.renew()


def _retry_delay(
    ctx: EntryContext,
    live: LiveRequest,
    budget: RetryBudget,
    failure: Failure,
) -> Result[int, Failure]:
    now_ms, rng = ctx.now_ms(), ctx.collaborators.rng
    if live.displacements and isinstance(failure, DISPLACEABLE_FAILURES):
        return budget.retry_displaced(
            live.displacements,
            live.failure_count,
            now_ms,
            live.deadline_ms,
            rng,
        )
    return budget.retry(live.failure_count, now_ms, live.deadline_ms, rng)


class RequestClaim:
    """Claim of one request's idempotency key.

    ``release`` abandons the claim unless an answer was recorded with it.
    """

    __slots__ = (
        "_completed",
        "_ctx",
        "_live",
        "_pending",
        "_request",
        "grant",
    )

    def __init__(self, ctx: EntryContext, live: LiveRequest) -> None:
        self._ctx = ctx
        self._live = live
        self._completed = False
        self._pending: asyncio.Task[Result[Grant, Failure]] | None = None
        """Claim or renewal that is not answered yet."""
        self._request: ClaimRequest | None = None
        self.grant: Grant | None = None

    async def acquire(
        self, digest: bytes, idempotent: bool, parts: tuple[bytes, ...] = ()
    ) -> Result[Grant, Failure]:
        """Claim the idempotency key; mint one if the caller sent none."""
        live = self._live
        live.stage = Stage.CLAIM
        if not live.key:
            minted = await self._ctx.collaborators.claims.mint(live.service)
            if isinstance(minted, Err):
                return minted
            live.key = minted.ok_value
        remaining_ms = max(1, live.deadline_ms - self._ctx.now_ms())
        req = self._request = ClaimRequest(
            key=live.key,
            digest=digest,
            parts=parts,
            service=live.service,
            idempotent=idempotent,
            deadline_ms=remaining_ms,
            wait_ms=max(0, remaining_ms - ATTACH_MARGIN_MS),
            fresh=not live.key_from_caller,
        )
        granted = await self._await_grant(
            self._ctx.collaborators.claims.claim(req)
        )
        live.claim_answered = True
        if isinstance(granted, Ok):
            live.ran_before = granted.ok_value.ran_before
        return granted

    async def renew(self) -> Result[Grant, Failure]:
        """Replace the current attempt by the next one.

        A renewal whose caller was cancelled goes on. If it is not answered
        yet, its grant is awaited, and another one is sent only if it fails.
        """
        assert self._request is not None
        if self._pending is not None:
            granted = await asyncio.shield(self._pending)
            if isinstance(granted, Ok):
                return granted
        return await self._await_grant(
            self._ctx.collaborators.claims.renew(
                self._request, self._live.attempt
            )
        )

    async def complete(self, answer: StoredAnswer) -> Result[None, Failure]:
        """Record the whole answer with the claim.

        Unless this succeeds, a JSON answer must not be sent and an event
        stream must not be ended as complete.
        """
        self._live.stage = Stage.COMPLETE
        result: Result[None, Failure] = Err(UnknownOutcome("not completed"))
        for _ in range(MAX_COMPLETE_TRIES):
            result = await self._complete_once(answer)
            if isinstance(result, Ok):
                self._completed = True
                return result
            if isinstance(result.err_value, Superseded):
                return result
            await asyncio.sleep(COMPLETE_PAUSE_S)
        return Err(
            UnknownOutcome(f"answer not recorded: {result.unwrap_err()}")
        )

    def release(self) -> None:
        """Abandon the claim in the background unless it was completed.

        A claim or renewal that is not answered yet is awaited before that,
        or the key would stay claimed.
        """
        if self._pending is not None:
            self._ctx.background.spawn(self._release_late(self._pending))
            return
        if self.grant is None or self._completed:
            return
        not_run = not (self._live.may_have_run or self._live.ran_before)
        self._ctx.background.spawn(
            self._ctx.collaborators.claims.abandon(
                self._live.key, self.grant.attempt, not_run
            )
        )

    async def _complete_once(
        self, answer: StoredAnswer
    ) -> Result[None, Failure]:
        renewing = self._pending
        result = await self._send_complete(answer)
        if renewing is None or not (
            isinstance(result, Err)
            and isinstance(result.err_value, Superseded)
        ):
            return result
        # The owner may know the attempt by the number of the renewal only.
        await asyncio.wait([renewing])
        return await self._send_complete(answer)

    async def _send_complete(
        self, answer: StoredAnswer
    ) -> Result[None, Failure]:
        assert self.grant is not None
        return await self._ctx.collaborators.claims.complete(
            self._live.key, self.grant.attempt, answer
        )

    async def _await_grant(
        self, answer: Coroutine[Any, Any, Result[Grant, Failure]]
    ) -> Result[Grant, Failure]:
        # The owner may grant it although its caller is cancelled.
        self._pending = asyncio.create_task(self._adopt_grant(answer))
        return await asyncio.shield(self._pending)

    async def _adopt_grant(
        self, answer: Coroutine[Any, Any, Result[Grant, Failure]]
    ) -> Result[Grant, Failure]:
        try:
            granted = await answer
        finally:
            self._pending = None
        if isinstance(granted, Ok):
            self.grant = granted.ok_value
            self._live.attempt = self.grant.attempt
        return granted

    async def _release_late(
        self, pending: asyncio.Task[Result[Grant, Failure]]
    ) -> None:
        await pending
        if self.grant is not None and self.grant.ran_before:
            self._live.ran_before = True
        self.release()
