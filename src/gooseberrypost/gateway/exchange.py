"""Processing of one client request: attempts, retries and the final reply."""

from __future__ import annotations

import asyncio
import math
from abc import ABC, abstractmethod
from contextlib import suppress
from functools import cached_property
from typing import TYPE_CHECKING, Final

from gooseberrypost.errors import Failure, NotRun, UnknownOutcome
from gooseberrypost.gateway.authentication import (
    KeyRefused,
    failure_answer,
)
from gooseberrypost.gateway.departure import Departure
from gooseberrypost.gateway.quarantine import Content
from gooseberrypost.gateway.reply import DeadlineExceeded
from gooseberrypost.gateway.shutdown import ShuttingDown
from gooseberrypost.gateway.transport import (
    AnswerLost,
    ProcessState,
    WrongInstance,
)
from gooseberrypost.identity import content_digest
from gooseberrypost.policy.serverchoice import eligible_servers
from gooseberrypost.timeouts import Deadline

if TYPE_CHECKING:
    from gooseberrypost.gateway.buffering import BufferedAnswer
    from gooseberrypost.gateway.context import GatewayContext
    from gooseberrypost.gateway.model import Route, Server
    from gooseberrypost.gateway.reply import Reply
    from gooseberrypost.gateway.request import ClientRequest
    from gooseberrypost.gateway.transport import (
        Answer,
        ServerRefused,
        ServerUnreachable,
    )

CONNECT_TIMEOUT_S: Final = 0.25
"""Connect timeout; a round trip takes milliseconds within a region."""
MAX_CONNECT_FAILURES: Final = 4
"""Maximum number of connection failures; one more fails the request."""
MAX_REFUSALS: Final = 2
"""Maximum number of refusals; one more fails the request."""
MIN_REMAINING_S: Final = 0.01
"""Remaining time below which no server is tried any more."""
PROCESS_CHECK_TIMEOUT_S: Final = 1.0
"""Timeout of a call to learn whether a server's process still runs."""
PROCESS_CHECK_INTERVAL_S: Final = 0.1
"""Shortest interval between two such calls."""
DEFAULT_RETRY_AFTER_S: Final = 0.25
"""``Retry-After`` for failures that state no delay of their own."""
RETRY_AFTER_STATUSES: Final = (429, NotRun.http_status)
"""Statuses of requests that were not run and may be sent again later."""
NOT_EXECUTED_STATUSES: Final = frozenset((408, 421, 429, 503))
"""Statuses that clients take for the statement that a request was not run."""
UNKNOWN_OUTCOME_STATUS: Final = 502
"""Status of a request that may have been executed."""


class NoServer(NotRun):
    """No backend server of the service can accept the request."""

    code = "no_server"


class ServerReplaced(AnswerLost):
    """Another process has the server's id, maybe with another version."""

    code = "server_replaced"


class RefusalUnproven(UnknownOutcome):
    """A server answered as if it had refused a request that it has run.

    Or it has not run it, and does not state so.
    """

    code = "refusal_unproven"


class ServerFailed(Failure):
    """A server answered with an error, which is kept to be forwarded."""

    code = "server_failed"


class Exchange(ABC):
    """Processes one request until it is answered, refused or failed."""

    def __init__(
        self,
        ctx: GatewayContext,
        req: ClientRequest,
        route: Route,
        service: str,
        reply: Reply,
    ) -> None:
        self.ctx = ctx
        self.req = req
        self.route = route
        self.service = service
        self.reply = reply
        self.budget = ctx.budget(service)
        self.deadline_s = min(
            req.deadline_s, req.arrived_s + route.timeout_ms / 1_000
        )
        """Monotonic time; the earlier of client deadline and route timeout."""
        self._account = ctx.directory.accounts.get(req.account)
        self._accounts_version = ctx.directory.accounts.version
        """Version of the accounts by which the key was last checked."""
        self.attempts = 0
        """Number of sends that may have executed the request."""
        self.connect_failures = 0
        self.refusals = 0
        self.excluded: set[str] = set()
        """Identities of servers that failed or refused this request."""
        self.error_answer: BufferedAnswer | None = None
        """First server error, forwarded if no retry gets an answer."""
        self.departure = Departure(self.log, ctx.metrics, ctx.now_s)
        self._task: asyncio.Task[None] | None = None
        self._stopped_by: Failure | None = None

    async def run(self) -> None:
        """Serve the request; failures are logged and sent to the client."""
        self._task = asyncio.current_task()
        self.budget.record_request(self.ctx.now_s())
        try:
            if self._stopped_by is not None:
                raise self._stopped_by
            await self.serve()
        except Failure as failure:
            await self._end(failure)
        except asyncio.CancelledError:
            if self._stopped_by is None:
                raise
            await self._end(self._stopped_by)
        else:
            self._record_retry_effect(succeeded=True)

    def stop(self, failure: Failure) -> None:
        """End the request with a failure, unless it has its answer."""
        if self.reply.is_whole or self._stopped_by is not None:
            return
        self._stopped_by = failure
        if self._task is not None:
            self._task.cancel()

    def release(self) -> None:
        """Let go of what memory was counted for, and give that back.

        The exchange and its parts refer to each other, so that they stay in
        memory until the next garbage collection.
        """
        self.req.body = b""
        self.error_answer = None
        self.req.memory.close()

    @abstractmethod
    async def serve(self) -> None:
        """Answer the client, or raise the failure to report to it."""

    @property
    @abstractmethod
    def is_repeatable(self) -> bool:
        """Whether the request may be executed more than once."""

    @property
    @abstractmethod
    def cancels_on_disconnect(self) -> bool:
        """Whether to cancel the request when its client disconnects."""

    @cached_property
    def content(self) -> Content:
        """Digests by which crashes are counted against the request.

        They name the service, as another one may well answer what crashes the
        servers of this one.
        """
        req = self.req
        scope = f"{self.service} {req.host.lower()} {req.method} {req.target}"
        return Content(
            content_digest(scope, req.body).hex(), self.shared_parts
        )

    @property
    def shared_parts(self) -> frozenset[str]:
        """Digests of the parts of the prompt that other requests share."""
        return frozenset()

    @property
    def priority(self) -> int:
        """Priority of the account, or of the route if it has none."""
        account = self._account
        if account is None or account.priority is None:
            return self.route.priority
        return account.priority

    @property
    def account_field(self) -> dict[str, str]:
        """Field of log lines that names the account; empty for none."""
        return {"account": self.req.account} if self.req.account else {}

    @property
    def events_sent(self) -> int:
        """Number of stream events forwarded to the client."""
        return 0

    @property
    def remaining_s(self) -> float:
        """Time until the deadline; negative after it."""
        return self.deadline_s - self.ctx.now_s()

    @property
    def end_check_s(self) -> float:
        """Time for which a server is asked whether its answer is whole."""
        return math.inf

    def check_deadline(self) -> None:
        """Raise if too little time remains for another attempt."""
        if self.remaining_s >= MIN_REMAINING_S:
            return
        if self.attempts:
            raise DeadlineExceeded("no time left for another attempt")
        raise NoServer("deadline reached before a server was available")

    @property
    def has_begun(self) -> bool:
        """Whether part of an answer arrived in the current attempt."""
        return False

    def check_quarantine(self) -> None:
        """Raise ``Quarantined`` if servers crash under this request."""
        if self.ctx.quarantine.is_active:
            self.ctx.quarantine.check(self.content)

    def check_account(self) -> None:
        """Raise ``KeyRefused`` if the key of the request was removed.

        A request that may be running goes on to its end, also elsewhere.
        """
        accounts = self.ctx.directory.accounts
        if self.attempts or accounts.version == self._accounts_version:
            return
        self.ctx.authenticator.check(self.req, self.route)
        self._accounts_version = accounts.version
        self._account = accounts.get(self.req.account)

    def stop_if_revoked(self) -> None:
        """End the request if it waits for a send and its key was removed."""
        try:
            self.check_account()
        except KeyRefused as failure:
            self.stop(failure)

    def check_shutdown(self) -> None:
        """Raise ``ShuttingDown`` if the shutdown could cut the request.

        How long a server takes is not known, so the whole time that the
        client allows has to fit. Until the balancer has left this gateway, a
        refused client may only come back here.
        """
        ctx = self.ctx
        is_out = ctx.now_s() >= ctx.out_of_rotation_s
        if self.attempts or not is_out or self.deadline_s <= ctx.shutdown_at_s:
            return
        raise ShuttingDown(ctx.shutdown_at_s - ctx.now_s())

    async def confirm_end(self, server: Server, answer: Answer) -> None:
        """Raise ``AnswerLost`` if an answer that ended may have been cut.

        An answer without framing ends with its connection, which is closed in
        the same way when the process ends. So it is complete only if the
        process still runs afterwards.
        """
        if answer.is_framed:
            return
        state = await self._process_state(server, self.end_check_s)
        self.log("unframed_end", server=server.instance, process=state)
        self.ctx.metrics.count("unframed_ends_total", process=state)
        if state is not ProcessState.RUNNING:
            raise AnswerLost(
                f"{server.address}: ended without framing, process {state}"
            )

    async def confirm_start(self, server: Server) -> None:
        """Raise ``ServerReplaced`` unless the registered process answers.

        A server may start again under its id with another version of its
        software, of which its registration tells only later.
        """
        state = await self._process_state(server)
        if state is not ProcessState.RUNNING:
            raise ServerReplaced(f"{server.identity}: process {state}")

    async def _process_state(
        self, server: Server, wait_s: float = math.inf
    ) -> ProcessState:
        """Ask whether a server's process still runs, until it answers.

        A busy or paused one may answer late. It is asked until the deadline,
        or until the client disconnects, and for ``wait_s`` at most.
        """
        ctx = self.ctx
        until_s = min(self.deadline_s, ctx.now_s() + wait_s)
        state = ProcessState.UNKNOWN
        left_s = until_s - ctx.now_s()
        with suppress(TimeoutError), Deadline(left_s) as deadline:
            while state is ProcessState.UNKNOWN and left_s > 0:
                asked_s = ctx.now_s()
                with deadline.limit():
                    state = await ctx.transport.process_state(
                        server, min(PROCESS_CHECK_TIMEOUT_S, left_s)
                    )
                if state is ProcessState.UNKNOWN:
                    took_s = ctx.now_s() - asked_s
                    pause_s = max(0, PROCESS_CHECK_INTERVAL_S - took_s)
                    await asyncio.sleep(pause_s)
                left_s = until_s - ctx.now_s()
        return state

    def check_refusal(self, status: int) -> None:
        """Raise ``RefusalUnproven`` if an answer would have a call repeated.

        The server took the request and does not state that it has not run it,
        but clients conclude so from the status.
        """
        if status in NOT_EXECUTED_STATUSES and not self.is_repeatable:
            raise RefusalUnproven(f"status {status} after a run")

    def record_answer(self, answer: Answer) -> None:
        """Record that a server has answered the request.

        The end of the answer is confirmed: a crash has not cut it. A server
        error clears nothing, as the server may not have run the request to
        its end.
        """
        if answer.is_server_error:
            return
        quarantine = self.ctx.quarantine
        if quarantine.has_evidence or self.shared_parts:
            quarantine.record_answer(self.content)

    def servers(self) -> list[Server]:
        """Return the servers of the service to choose from."""
        now_s = self.ctx.now_s()
        serving = self.ctx.directory.available_servers(self.service, now_s)
        candidates = eligible_servers(
            serving, self.ctx.loads, now_s, self.excluded
        )
        # Once every server is excluded, the healthiest are tried again.
        return candidates or eligible_servers(serving, self.ctx.loads, now_s)

    async def take_turn(self, server: Server) -> bool:
        """Wait until the server's rate limit permits the request.

        Returns whether the request may then be sent: the server may have left
        meanwhile. Raises ``Quarantined`` as ``check_quarantine`` does.
        """
        ctx = self.ctx
        wait_s = ctx.loads.limit_wait_s(server.identity, ctx.now_s())
        ctx.count_send(server)
        if wait_s <= 0:
            return True
        ctx.metrics.observe(
            "server_limit_wait_ms", 1_000 * wait_s, service=self.service
        )
        await asyncio.sleep(wait_s)
        self.check_quarantine()
        return self.is_serving(server)

    def is_serving(self, server: Server) -> bool:
        """Whether a server that was chosen before still takes requests."""
        ctx = self.ctx
        serving = ctx.directory.available_servers(self.service, ctx.now_s())
        return any(
            other.identity == server.identity and not other.draining
            for other in serving
        )

    def handle_unreachable(
        self, server: Server, failure: ServerUnreachable
    ) -> None:
        """Exclude a server to which no connection could be established.

        A server that was only asked too late may be tried again. Raises the
        failure after too many of these, unless that would cut an answer that
        has begun.
        """
        if not failure.is_own_delay:
            now_s = self.ctx.now_s()
            self.ctx.loads.of(server.identity).record_unreachable(now_s)
            self.ctx.notify_loads_changed()
            self.excluded.add(server.identity)
        self.connect_failures += 1
        self._log_retry(server, failure)
        has_too_many = self.connect_failures > MAX_CONNECT_FAILURES
        if has_too_many and not self.reply.is_started:
            raise failure

    def handle_refusal(self, server: Server, failure: ServerRefused) -> None:
        """Exclude the server; raise if the request must not be retried.

        The retry budget limits the retries, and their number does unless the
        answer has begun.
        """
        now_s = self.ctx.now_s()
        load = self.ctx.loads.of(server.identity)
        if isinstance(failure, WrongInstance):
            load.record_unreachable(now_s)
            self.ctx.notify_loads_changed()
        else:
            load.record_refusal(now_s)
        self.excluded.add(server.identity)
        self._log_retry(server, failure)
        self.refusals += 1
        has_too_many = (
            self.refusals > MAX_REFUSALS and not self.reply.is_started
        )
        if has_too_many or not self.budget.try_spend(now_s):
            raise failure

    def handle_lost_answer(
        self,
        server: Server,
        failure: AnswerLost,
        *,
        repeatable: bool,
        is_counted: bool = False,
    ) -> None:
        """Exclude the server; raise if the request must not be retried.

        A retry executes the request again, which it must permit, and uses
        the retry budget unless it ``is_counted`` already.
        """
        self.record_lost_answer(server, failure)
        if self.remaining_s < MIN_REMAINING_S:
            raise DeadlineExceeded(failure.detail) from failure
        if not repeatable:
            raise failure
        if not is_counted and not self.budget.try_spend(self.ctx.now_s()):
            raise failure

    def record_lost_answer(self, server: Server, failure: AnswerLost) -> None:
        """Exclude a server, of which other requests may be in danger, too."""
        if not failure.is_own_delay:
            now_s = self.ctx.now_s()
            self.ctx.loads.of(server.identity).record_failure(now_s)
            self.excluded.add(server.identity)
        if not isinstance(failure, ServerReplaced):
            self.ctx.quarantine.record_loss(
                server, self.content, has_begun=self.has_begun
            )
        self._log_retry(server, failure)

    def keep_error(self, server: Server, answer: BufferedAnswer) -> None:
        """Keep the first server error, to be forwarded if no retry helps.

        Raises ``ServerFailed`` if the request is not to be sent again. The
        caller ensures that its repetition is permitted.
        """
        self.error_answer = self.error_answer or answer
        if not self._may_retry_error(server):
            raise ServerFailed(f"status {answer.status}")

    def _may_retry_error(self, server: Server) -> bool:
        """Whether another server may take a request that this one failed.

        There must be enough time left for an answer. The retry uses the
        budget and stops while such retries do not help.
        """
        ctx = self.ctx
        now_s = ctx.now_s()
        self.excluded.add(server.identity)
        others = eligible_servers(
            ctx.directory.available_servers(self.service, now_s),
            ctx.loads,
            now_s,
            self.excluded,
        )
        usual_s = ctx.loads.of(server.identity).service_ms / 1_000
        return (
            bool(others)
            and self.attempts < self.route.max_attempts
            and self.remaining_s > max(usual_s, MIN_REMAINING_S)
            and ctx.retry_breaker(self.service).allows(now_s)
            and self.budget.try_spend(now_s)
        )

    def log(self, event: str, **fields: object) -> None:
        """Log an event of this request."""
        self.ctx.log(event, self.req, route=self.route.name, **fields)

    def _log_retry(self, server: Server, failure: Failure) -> None:
        self.log(
            "server_failed",
            server=server.instance,
            version=server.version,
            attempts=self.attempts,
            events=self.events_sent,
            code=failure.code,
            content=self.content.request,
            detail=failure.detail,
        )
        self.ctx.metrics.count("server_failures_total", code=failure.code)

    async def _end(self, failure: Failure) -> None:
        """Send the failure, or the server error that came before it."""
        if self.error_answer is None or self.reply.is_started:
            await self._fail(failure)
        else:
            await self._forward_error(self.error_answer, failure)

    async def _forward_error(
        self, answer: BufferedAnswer, failure: Failure
    ) -> None:
        self._record_retry_effect(succeeded=False)
        self.log(
            "error_forwarded",
            service=self.service,
            status=answer.status,
            attempts=self.attempts,
            code=failure.code,
            detail=failure.detail,
        )
        await self.reply.send(answer.status, answer.headers, answer.body)

    def _record_retry_effect(self, *, succeeded: bool) -> None:
        """Record whether the retry of a server error got an answer."""
        if self.error_answer is not None and self.attempts > 1:
            self.ctx.retry_breaker(self.service).record(succeeded=succeeded)

    async def _fail(self, failure: Failure) -> None:
        status = self._status(failure)
        self.log(
            "failed",
            service=self.service,
            status=status,
            code=failure.code,
            attempts=self.attempts,
            events=self.events_sent,
            is_cut=self.reply.is_started,
            detail=failure.detail,
        )
        self.ctx.metrics.count("failures_total", code=failure.code)
        if self.reply.is_started:
            self.reply.abort()
            return
        headers, body = failure_answer(failure)
        if status in RETRY_AFTER_STATUSES:
            after_s = (
                failure.retry_after_ms / 1_000
                if failure.retry_after_ms is not None
                else DEFAULT_RETRY_AFTER_S
            )
            headers.append(("Retry-After", f"{after_s:.3f}"))
        await self.reply.send(status, headers, body)

    def _status(self, failure: Failure) -> int:
        """Return the HTTP status of a failure.

        503 guarantees that the request was not executed.
        """
        if isinstance(failure, KeyRefused) and not self.attempts:
            return failure.http_status
        if isinstance(failure, NotRun):
            return (
                NotRun.http_status
                if not self.attempts
                else UNKNOWN_OUTCOME_STATUS
            )
        if isinstance(failure, UnknownOutcome):
            return UNKNOWN_OUTCOME_STATUS
        return failure.http_status
