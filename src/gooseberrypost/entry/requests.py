"""Controller of the requests in flight at this entry."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING, Final

from mode import Service
from result import Err, Ok, Result

from gooseberrypost.claims.client import AnsweredBefore
from gooseberrypost.entry.answer import send_failure, send_stored
from gooseberrypost.entry.collaborators import Guards
from gooseberrypost.entry.outcomes import outcome_of
from gooseberrypost.entry.sections import LiveRequest, LiveRequests, Stage
from gooseberrypost.errors import (
    CallerGone,
    DeadlinePassed,
    Draining,
    Failure,
    Outcome,
    TimedOut,
    UnknownAccount,
)
from gooseberrypost.state.records import AccountRecord, EngineRole

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gooseberrypost.blackboard import Blackboard
    from gooseberrypost.entry.answer import CallerConnection
    from gooseberrypost.entry.context import EntryContext
    from gooseberrypost.entry.parse import CallHeaders
    from gooseberrypost.lifecycle import LifecycleController
    from gooseberrypost.state.records import ServiceRecord

OWNER: Final = "RequestController"
ANONYMOUS: Final = "anonymous"
UNLIMITED: Final = AccountRecord(ANONYMOUS)
DRAINING_RETRY_MS: Final = 1_000

Work = "Callable[[LiveRequest, Guards], Awaitable[Result[None, Failure]]]"


class RequestController(Service):
    """Owner of the live requests section; runs every request."""

    def __init__(
        self,
        ctx: EntryContext,
        board: Blackboard,
        lifecycle: LifecycleController,
    ) -> None:
        super().__init__()
        self._ctx = ctx
        self._lifecycle = lifecycle
        self._guards: dict[str, Guards] = {}
        board.add(LiveRequests(), OWNER)
        self._section = board.write(LiveRequests, OWNER)

    @property
    def in_flight(self) -> int:
        """Requests whose callers wait."""
        return len(self._section.requests)

    async def idle(self) -> None:
        """Wait until no request is in flight."""
        while self._section.requests:
            await self._section.changed()

    async def serve(
        self,
        caller: CallerConnection,
        headers: CallHeaders,
        service: ServiceRecord,
        grace_ms: int,
        work: Work,
    ) -> None:
        """Run ``work`` within limits and deadline, and answer the caller.

        ``grace_ms`` after the deadline is left to learn what became of a
        call that was sent.
        """
        now_ms = self._ctx.now_ms()
        live = LiveRequest(
            arrived_ms=now_ms,
            key=headers.key,
            key_from_caller=bool(headers.key),
            service=service.name,
            account=headers.account or ANONYMOUS,
            deadline_ms=now_ms + (headers.deadline_ms or service.answer_ms),
        )
        with self._tracked(live):
            done = await self._run_in_time(live, service, grace_ms, work)
            await self._conclude(caller, live, service, done)

    @contextmanager
    def _tracked(self, live: LiveRequest) -> Iterator[None]:
        self._section.requests[id(live)] = live
        try:
            yield
        except (asyncio.CancelledError, CallerGone):
            live.caller_gone = True
            self._count(live, CallerGone.code)
            raise
        finally:
            del self._section.requests[id(live)]
            self._section.notify()
            self._ctx.metrics.observe(
                "request_duration_ms",
                self._ctx.now_ms() - live.arrived_ms,
                service=live.service,
            )

    async def _run_in_time(
        self,
        live: LiveRequest,
        service: ServiceRecord,
        grace_ms: int,
        work: Work,
    ) -> Result[None, Failure]:
        seconds = (live.deadline_ms + grace_ms - live.arrived_ms) / 1_000
        try:
            async with asyncio.timeout(seconds):
                return await self._run_limited(live, service, work)
        except TimeoutError:
            if live.sent:
                return Err(TimedOut("the deadline passed during the request"))
            return Err(DeadlinePassed("nothing was sent to an engine"))
        except Failure as failure:
            return Err(failure)

    async def _run_limited(
        self, live: LiveRequest, service: ServiceRecord, work: Work
    ) -> Result[None, Failure]:
        live.stage = Stage.LIMITS
        if self._lifecycle.is_draining:
            return Err(
                Draining(
                    "this entry takes no new requests",
                    retry_after_ms=DRAINING_RETRY_MS,
                )
            )
        account = self._account(live.account)
        if isinstance(account, Err):
            return account
        guards = self._guards_of(service)
        decode = self._ctx.fleet.candidates(service.name, EngineRole.DECODE)
        pressure = self._ctx.parts.pressure(decode) if decode else 0.0
        acquired = guards.limiter.acquire(
            account.ok_value, self._ctx.now_ms(), pressure
        )
        if isinstance(acquired, Err):
            return acquired
        try:
            guards.retries.note_request(self._ctx.now_ms())
            return await work(live, guards)
        finally:
            guards.limiter.release(account.ok_value.name, self._ctx.now_ms())

    def _account(self, name: str) -> Result[AccountRecord, Failure]:
        record = self._ctx.catalog.account(name)
        if record is not None:
            return Ok(record)
        if self._ctx.settings.allow_unknown_accounts:
            # One shared account, so that made-up names evade no limit.
            return Ok(self._ctx.catalog.account(ANONYMOUS) or UNLIMITED)
        return Err(UnknownAccount(f"account {name!r} is not configured"))

    def _guards_of(self, service: ServiceRecord) -> Guards:
        guards = self._guards.get(service.name)
        if guards is None:
            guards = Guards(
                service,
                self._ctx.parts.make_limiter(service),
                self._ctx.parts.make_retries(service),
            )
            self._guards[service.name] = guards
        elif guards.service != service:
            guards.limiter.reconfigure(service)
            if guards.service.retry_share != service.retry_share:
                guards.retries = self._ctx.parts.make_retries(service)
            guards.service = service
        return guards

    async def _conclude(
        self,
        caller: CallerConnection,
        live: LiveRequest,
        service: ServiceRecord,
        done: Result[None, Failure],
    ) -> None:
        if isinstance(done, Ok):
            self._count(live, Outcome.COMPLETED)
            self._count_in_time(live, service)
            return
        failure = done.err_value
        if isinstance(failure, CallerGone):
            raise failure
        outcome = outcome_of(failure, live)
        if isinstance(failure, AnsweredBefore):
            await send_stored(caller, live, failure.answer)
        else:
            self._ctx.metrics.count(
                "failures_total", code=failure.code, service=live.service
            )
            self._ctx.log_refusal(live, failure)
            await send_failure(caller, live, failure, outcome)
        self._count(live, outcome)

    def _count_in_time(
        self, live: LiveRequest, service: ServiceRecord
    ) -> None:
        """Count towards goodput: first token and whole answer in time."""
        first_due_ms = max(service.first_token_ms, service.max_wait_ms)
        first_ms = live.first_token_at_ms - live.arrived_ms
        if first_ms <= first_due_ms and self._ctx.now_ms() <= live.deadline_ms:
            self._ctx.metrics.count(
                "requests_in_time_total", service=live.service
            )

    def _count(self, live: LiveRequest, outcome: str) -> None:
        self._ctx.metrics.count(
            "requests_total", service=live.service, outcome=outcome
        )
