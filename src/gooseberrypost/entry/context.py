"""What every request of an entry uses, and the holder of its claim."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result

from gooseberrypost.claims.client import ClaimRequest, Grant, StoredAnswer
from gooseberrypost.entry.sections import LiveRequest, Stage
from gooseberrypost.errors import (
    ConnectionLost,
    EngineCrashed,
    Failure,
    HandleExpired,
    NoCapacity,
    Superseded,
    TransferStalled,
    UnknownOutcome,
)
from gooseberrypost.logs import RefusalDecision, RetryDecision
from gooseberrypost.policy.outputlength import OutputLengthEstimate
from gooseberrypost.policy.warmup import ColdPrefixes

if TYPE_CHECKING:
    from gooseberrypost.entry.agents import AgentClient, Background
    from gooseberrypost.entry.collaborators import (
        Catalog,
        Collaborators,
        RetryBudget,
    )
    from gooseberrypost.entry.fleet import FleetController
    from gooseberrypost.entry.waiting import AdmissionQueue
    from gooseberrypost.logs import DecisionLog
    from gooseberrypost.metrics import Metrics
    from gooseberrypost.settings.entry import EntrySettings

ATTACH_MARGIN_MS: Final = 200
"""An attached resend is told before its own deadline."""
MOVED_ON: Final = (
    ConnectionLost,
    EngineCrashed,
    HandleExpired,
    NoCapacity,
    TransferStalled,
)
"""Failures after which a request whose engine was lost is moved again."""
COMPLETE_TRIES: Final = 3
COMPLETE_PAUSE_S: Final = 0.05


@dataclass(slots=True)
class EntryContext:
    """Collaborators shared by the requests of one entry."""

    settings: EntrySettings
    parts: Collaborators
    catalog: Catalog
    fleet: FleetController
    agents: AgentClient
    queue: AdmissionQueue
    background: Background
    decisions: DecisionLog
    metrics: Metrics
    outputs: dict[str, OutputLengthEstimate] = field(default_factory=dict)
    """Length of answers by service."""

    cold: dict[str, ColdPrefixes] = field(default_factory=dict)
    """Long prefixes that were refused for time, by service."""

    def cold_of(self, service: str) -> ColdPrefixes:
        """Return the refused prefixes of a service."""
        return self.cold.setdefault(service, ColdPrefixes())

    def outputs_of(self, service: str) -> OutputLengthEstimate:
        """Return the estimate of a service's answers."""
        return self.outputs.setdefault(service, OutputLengthEstimate())

    def now_ms(self) -> int:
        """Clock time in milliseconds."""
        return self.parts.clock()

    def log_retry(
        self, live: LiveRequest, failure: Failure, action: str
    ) -> None:
        """Log what follows a failed step."""
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
        """Log the failure that a caller is told."""
        self.decisions.record(
            RefusalDecision(
                live.key, live.service, failure.code, failure.detail
            )
        )


async def next_attempt(
    ctx: EntryContext,
    live: LiveRequest,
    hold: ClaimHold,
    budget: RetryBudget,
    failure: Failure,
) -> Result[Grant, Failure]:
    """Wait for the backoff and renew the claim, or return ``failure``.

    Fails with the original failure when the retry budget or the deadline
    allows no retry. A request whose engine was lost is moved outside of the
    budget, see ``RetryBudget.displace``.
    """
    live.tries += 1
    live.displacements += isinstance(failure, EngineCrashed | ConnectionLost)
    delay = _retry_delay(ctx, live, budget, failure)
    if isinstance(delay, Err):
        ctx.log_retry(live, failure, "give_up")
        return Err(failure)
    ctx.log_retry(live, failure, "new_attempt")
    await asyncio.sleep(delay.ok_value / 1_000)
    return await hold.renew()


def _retry_delay(
    ctx: EntryContext,
    live: LiveRequest,
    budget: RetryBudget,
    failure: Failure,
) -> Result[int, Failure]:
    now_ms, rng = ctx.now_ms(), ctx.parts.rng
    if live.displacements and isinstance(failure, MOVED_ON):
        return budget.displace(
            live.displacements, live.tries, now_ms, live.deadline_ms, rng
        )
    return budget.retry(live.tries, now_ms, live.deadline_ms, rng)


class ClaimHold:
    """Claim of one request; given up unless it is completed."""

    __slots__ = ("_completed", "_ctx", "_live", "grant")

    def __init__(self, ctx: EntryContext, live: LiveRequest) -> None:
        self._ctx = ctx
        self._live = live
        self._completed = False
        self.grant: Grant | None = None

    async def acquire(
        self, digest: bytes, idempotent: bool
    ) -> Result[Grant, Failure]:
        """Claim the request, with a minted key where the caller has none."""
        live = self._live
        live.stage = Stage.CLAIM
        if not live.key:
            minted = await self._ctx.parts.claims.mint(live.service)
            if isinstance(minted, Err):
                return minted
            live.key = minted.ok_value
        remaining_ms = max(1, live.deadline_ms - self._ctx.now_ms())
        req = ClaimRequest(
            key=live.key,
            digest=digest,
            service=live.service,
            idempotent=idempotent,
            deadline_ms=remaining_ms,
            wait_ms=max(0, remaining_ms - ATTACH_MARGIN_MS),
            fresh=not live.key_from_caller,
        )
        granted = await self._settled(
            asyncio.create_task(self._ctx.parts.claims.claim(req))
        )
        live.claim_answered = True
        if isinstance(granted, Ok):
            live.ran_before = granted.ok_value.ran_before
        return granted

    async def renew(self) -> Result[Grant, Failure]:
        """Replace the attempt by the next one."""
        return await self._settled(
            asyncio.create_task(
                self._ctx.parts.claims.renew(
                    self._live.key, self._live.attempt
                )
            )
        )

    async def complete(self, answer: StoredAnswer) -> Result[None, Failure]:
        """Record the whole answer; without a confirmation it is not sent."""
        assert self.grant is not None
        self._live.stage = Stage.COMPLETE
        done: Result[None, Failure] = Err(UnknownOutcome("not completed"))
        for _ in range(COMPLETE_TRIES):
            done = await self._ctx.parts.claims.complete(
                self._live.key, self.grant.attempt, answer
            )
            if isinstance(done, Ok):
                self._completed = True
                return done
            if isinstance(done.err_value, Superseded):
                return done
            await asyncio.sleep(COMPLETE_PAUSE_S)
        return Err(UnknownOutcome(f"answer not recorded: {done.unwrap_err()}"))

    def release(self) -> None:
        """Give the claim up in the background unless it was completed."""
        if self.grant is None or self._completed:
            return
        not_run = not (self._live.sent or self._live.ran_before)
        self._ctx.background.spawn(
            self._ctx.parts.claims.abandon(
                self._live.key, self.grant.attempt, not_run
            )
        )

    async def _settled(
        self, asked: asyncio.Task[Result[Grant, Failure]]
    ) -> Result[Grant, Failure]:
        # A cancelled request must not leave a grant that nobody knows of.
        try:
            granted = await asyncio.shield(asked)
        except asyncio.CancelledError:
            self._ctx.background.spawn(self._drop(asked))
            self._completed = True
            raise
        if isinstance(granted, Ok):
            self.grant = granted.ok_value
            self._live.attempt = self.grant.attempt
        return granted

    async def _drop(self, asked: asyncio.Task[Result[Grant, Failure]]) -> None:
        granted = await asked
        if isinstance(granted, Ok):
            self.grant = granted.ok_value
            if self.grant.ran_before:
                self._live.ran_before = True
        self._completed = False
        self.release()
