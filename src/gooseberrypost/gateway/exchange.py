"""One request from a client through servers and back."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Final

from gooseberrypost.errors import Failure, NotRun, UnknownOutcome
from gooseberrypost.gateway.reply import DeadlineExceeded
from gooseberrypost.gateway.transport import WrongInstance
from gooseberrypost.policy.serverchoice import usable

if TYPE_CHECKING:
    from gooseberrypost.gateway.context import GatewayContext
    from gooseberrypost.gateway.model import Route, Server
    from gooseberrypost.gateway.reply import Reply
    from gooseberrypost.gateway.request import ClientRequest
    from gooseberrypost.gateway.transport import (
        AnswerLost,
        ServerRefused,
        ServerUnreachable,
    )

CONNECT_S: Final = 0.25
"""Time to connect; a round trip takes milliseconds within a region."""
MAX_UNREACHABLE: Final = 4
"""Servers without a connection before a request is given up."""
MAX_REFUSALS: Final = 2
"""Refusals after which a request goes back to its client."""
MIN_TIME_S: Final = 0.01
"""Least time in which a server can answer."""
RETRY_AFTER_S: Final = 0.25
"""Pause that a client is told where nothing better is known."""
UNKNOWN_STATUS: Final = 502


class NoServer(NotRun):
    """No backend server of the service can take the request."""

    code = "no_server"


class Exchange(ABC):
    """Carries one request to an end: an answer, a refusal or a failure."""

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
        self.end_s = min(
            req.deadline_s, req.arrived_s + route.timeout_ms / 1_000
        )
        self.attempts = 0
        """Sends after which the request may have been executed."""
        self.unreachable = 0
        self.refusals = 0
        self.excluded: set[str] = set()

    async def run(self) -> None:
        """Serve the request; every failure is answered and logged."""
        self.budget.note_request(self.ctx.now_s())
        try:
            await self.serve()
        except Failure as failure:
            await self._fail(failure)

    @abstractmethod
    async def serve(self) -> None:
        """Answer the client, or raise the failure to tell it."""

    @property
    @abstractmethod
    def is_abandoned_with_client(self) -> bool:
        """Whether work ends when the client leaves."""

    @property
    def events_sent(self) -> int:
        """Events of a stream that the client has."""
        return 0

    @property
    def left_s(self) -> float:
        """Time that is left."""
        return self.end_s - self.ctx.now_s()

    def check_time(self) -> None:
        """Raise when too little time is left for a server."""
        if self.left_s >= MIN_TIME_S:
            return
        if self.attempts:
            raise DeadlineExceeded("no time for another server")
        raise NoServer("the time passed before a server was free")

    def servers(self) -> list[Server]:
        """Servers of the service to choose from."""
        now_s = self.ctx.now_s()
        known = self.ctx.directory.available_servers(self.service, now_s)
        found = usable(known, self.ctx.loads, now_s, self.excluded)
        # With every server tried once, the least bad one is tried again.
        return found or usable(known, self.ctx.loads, now_s)

    def note_unreachable(
        self, server: Server, failure: ServerUnreachable
    ) -> None:
        """Avoid a server without a connection, up to a number of them."""
        self.ctx.loads.of(server.identity).unreachable(self.ctx.now_s())
        self.ctx.loads_changed()
        self.excluded.add(server.identity)
        self.unreachable += 1
        self._log_retry(server, failure)
        if self.unreachable > MAX_UNREACHABLE:
            raise failure

    def note_refused(self, server: Server, failure: ServerRefused) -> None:
        """Go on to another server if the budget allows it."""
        now_s = self.ctx.now_s()
        load = self.ctx.loads.of(server.identity)
        if isinstance(failure, WrongInstance):
            load.unreachable(now_s)
            self.ctx.loads_changed()
        else:
            load.refused(now_s)
        self.excluded.add(server.identity)
        self._log_retry(server, failure)
        self.refusals += 1
        if self.refusals > MAX_REFUSALS or not self.budget.take(now_s):
            raise failure

    def note_lost(
        self, server: Server, failure: AnswerLost, *, repeatable: bool
    ) -> None:
        """Go on to another server if the request may be executed again."""
        now_s = self.ctx.now_s()
        self.ctx.loads.of(server.identity).failed(now_s)
        self.excluded.add(server.identity)
        self._log_retry(server, failure)
        if self.left_s < MIN_TIME_S:
            raise DeadlineExceeded(failure.detail) from failure
        if not repeatable or not self.budget.take(now_s):
            raise failure

    def log(self, event: str, **fields: object) -> None:
        """Log a decision on this request."""
        self.ctx.log(event, self.req, route=self.route.name, **fields)

    def _log_retry(self, server: Server, failure: Failure) -> None:
        self.log(
            "server_failed",
            server=server.instance,
            attempts=self.attempts,
            events=self.events_sent,
            code=failure.code,
            detail=failure.detail,
        )
        self.ctx.metrics.count("server_failures_total", code=failure.code)

    async def _fail(self, failure: Failure) -> None:
        status = self._status(failure)
        self.log(
            "failed",
            service=self.service,
            status=status,
            code=failure.code,
            attempts=self.attempts,
            detail=failure.detail,
        )
        self.ctx.metrics.count("failures_total", code=failure.code)
        if self.reply.is_started:
            self.reply.abort()
            return
        headers = [("X-Failure", failure.code)]
        if status == NotRun.http_status:
            after_s = (
                failure.retry_after_ms / 1_000
                if failure.retry_after_ms is not None
                else RETRY_AFTER_S
            )
            headers.append(("Retry-After", f"{after_s:.3f}"))
        await self.reply.send(status, headers, b"")

    def _status(self, failure: Failure) -> int:
        """Status of a failure; 503 promises that nothing was executed."""
        if isinstance(failure, NotRun):
            return NotRun.http_status if not self.attempts else UNKNOWN_STATUS
        if isinstance(failure, UnknownOutcome):
            return UNKNOWN_STATUS
        return failure.http_status
