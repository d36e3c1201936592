"""Requests in flight at this entry: limits, deadline and outcome."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING, Final

from mode import Service
from result import Err, Ok, Result

from gooseberrypost.claims.client import AnsweredBefore
from gooseberrypost.entry.answer import replay_stored_answer, send_failure
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
    UnknownOutcome,
)
from gooseberrypost.state.records import AccountRecord, EngineRole
from gooseberrypost.timeouts import Deadline

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gooseberrypost.blackboard import Blackboard
    from gooseberrypost.entry.answer import CallerConnection
    from gooseberrypost.entry.context import EntryContext
    from gooseberrypost.entry.parse import RequestHeaders
    from gooseberrypost.lifecycle import LifecycleController
    from gooseberrypost.state.records import ServiceRecord

OWNER: Final = "RequestController"
ANONYMOUS: Final = "anonymous"
UNLIMITED_ACCOUNT: Final = AccountRecord(ANONYMOUS)
DRAINING_RETRY_MS: Final = 1_000
ANSWER_READ_S: Final = 0.1
"""Time to read and record an answer that arrived during a pause, in seconds.

It applies only if the deadline passed during the pause.
"""

RequestHandler = (
    "Callable[[LiveRequest, Guards], Awaitable[Result[None, Failure]]]"
)


class RequestController(Service):
    """Runs every request; owns the blackboard section of live requests."""

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
        self._stops: set[asyncio.Timeout] = set()
        """Timeouts that end the requests in flight when the entry stops."""
        self._is_stopped = False
        board.add(LiveRequests(), OWNER)
        self._section = board.write(LiveRequests, OWNER)

    @property
    def in_flight(self) -> int:
        """Number of requests whose callers are waiting for an answer."""
        return len(self._section.requests)

    async def idle(self) -> None:
        """Wait until no request is in flight."""
        while self._section.requests:
            await self._section.changed()

    def stop_unfinished(self) -> None:
        """End the requests in flight with a failure for their callers."""
        self._is_stopped = True
        now_s = asyncio.get_running_loop().time()
        for stop in self._stops:
            # One that has passed ends its request, and is not movable.
            if not stop.expired():
                stop.reschedule(now_s)

    async def serve(
        self,
        caller: CallerConnection,
        headers: RequestHeaders,
        service: ServiceRecord,
        grace_ms: int,
        handler: RequestHandler,
    ) -> None:
        """Run ``handler`` within limits and deadline, and answer the caller.

        The handler has ``grace_ms`` after the deadline to determine the
        outcome of a call that was sent.
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
            result = await self._run_in_time(live, service, grace_ms, handler)
            await self._send_result(caller, live, service, result)

    @contextmanager
    def _tracked(self, live: LiveRequest) -> Iterator[None]:
        self._section.requests[id(live)] = live
        try:
            yield
        except (asyncio.CancelledError, CallerGone):
            live.caller_gone = True
            self._count_outcome(live, CallerGone.code)
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
        handler: RequestHandler,
    ) -> Result[None, Failure]:
        seconds = (live.deadline_ms + grace_ms - live.arrived_ms) / 1_000
        try:
            with (
                Deadline(seconds, ANSWER_READ_S) as deadline,
                deadline.limit(),
            ):
                return await self._run_until_stopped(live, service, handler)
        except TimeoutError:
            if self._is_stopped:
                return Err(_stop_failure(live))
            if live.may_have_run:
                return Err(
                    TimedOut("the deadline passed while the request ran")
                )
            return Err(DeadlinePassed("nothing was sent to an engine"))
        except Failure as failure:
            return Err(failure)

    async def _run_until_stopped(
        self,
        live: LiveRequest,
        service: ServiceRecord,
        handler: RequestHandler,
    ) -> Result[None, Failure]:
        async with asyncio.timeout(None) as stop:
            self._stops.add(stop)
            try:
                return await self._run_limited(live, service, handler)
            finally:
                self._stops.discard(stop)

    async def _run_limited(
        self,
        live: LiveRequest,
        service: ServiceRecord,
        handler: RequestHandler,
    ) -> Result[None, Failure]:
        live.stage = Stage.LIMITS
        if self._lifecycle.is_draining:
            return Err(_draining())
        account = self._find_account(live.account)
        if isinstance(account, Err):
            return account
        guards = self._service_guards(service)
        decode = self._ctx.fleet.candidates(service.name, EngineRole.DECODE)
        occupancy = (
            self._ctx.collaborators.occupancy(decode) if decode else 0.0
        )
        acquired = guards.limiter.acquire(
            account.ok_value, self._ctx.now_ms(), occupancy
        )
        if isinstance(acquired, Err):
            return acquired
        try:
            guards.retries.record_request(self._ctx.now_ms())
            return await handler(live, guards)
        finally:
            guards.limiter.release(account.ok_value.name, self._ctx.now_ms())

    def _find_account(self, name: str) -> Result[AccountRecord, Failure]:
        record = self._ctx.catalog.account(name)
        if record is not None:
            return Ok(record)
        if self._ctx.settings.allow_unknown_accounts:
            # Unknown names share the limits of one account. Otherwise each
            # invented name would have limits of its own.
            return Ok(
                self._ctx.catalog.account(ANONYMOUS) or UNLIMITED_ACCOUNT
            )
        return Err(UnknownAccount(f"account {name!r} is not configured"))

    def _service_guards(self, service: ServiceRecord) -> Guards:
        guards = self._guards.get(service.name)
        if guards is None:
            guards = Guards(
                service,
                self._ctx.collaborators.make_limiter(service),
                self._ctx.collaborators.make_retries(service),
            )
            self._guards[service.name] = guards
        elif guards.service != service:
            guards.limiter.reconfigure(service)
            if guards.service.retry_share != service.retry_share:
                guards.retries = self._ctx.collaborators.make_retries(service)
            guards.service = service
        return guards

    async def _send_result(
        self,
        caller: CallerConnection,
        live: LiveRequest,
        service: ServiceRecord,
        result: Result[None, Failure],
    ) -> None:
        if isinstance(result, Ok):
            self._count_outcome(live, Outcome.COMPLETED)
            self._count_goodput(live, service)
            return
        failure = result.err_value
        if isinstance(failure, CallerGone):
            raise failure
        outcome = outcome_of(failure, live)
        if isinstance(failure, AnsweredBefore):
            await replay_stored_answer(caller, live, failure.answer)
        else:
            self._ctx.metrics.count(
                "failures_total", code=failure.code, service=live.service
            )
            self._ctx.log_refusal(live, failure)
            await send_failure(caller, live, failure, outcome)
        self._count_outcome(live, outcome)

    def _count_goodput(
        self, live: LiveRequest, service: ServiceRecord
    ) -> None:
        """Count a request whose first token and answer were in time."""
        first_token_limit_ms = max(service.first_token_ms, service.max_wait_ms)
        first_token_ms = live.first_token_at_ms - live.arrived_ms
        if (
            first_token_ms <= first_token_limit_ms
            and self._ctx.now_ms() <= live.deadline_ms
        ):
            self._ctx.metrics.count(
                "requests_in_time_total", service=live.service
            )

    def _count_outcome(self, live: LiveRequest, outcome: str) -> None:
        self._ctx.metrics.count(
            "requests_total", service=live.service, outcome=outcome
        )


def _draining() -> Draining:
    return Draining(
        "this entry is draining and accepts no new requests",
        retry_after_ms=DRAINING_RETRY_MS,
    )


def _stop_failure(live: LiveRequest) -> Failure:
    """Return the failure of a request that the entry's stop has ended."""
    if live.may_have_run:
        return UnknownOutcome("the entry stopped while the request ran")
    return _draining()
