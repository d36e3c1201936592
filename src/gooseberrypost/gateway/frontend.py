"""HTTP server for clients."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final

from absl import logging
from aiohttp import web
from mode import Service
from result import Err

from gooseberrypost.clientconnection import ClientConnection
from gooseberrypost.clientrefusals import Cause
from gooseberrypost.connectiontable import (
    ConnectionTable,
    HeadLimits,
    connection_limit,
)
from gooseberrypost.errors import CallerGone, Failure, MalformedRequest, NotRun
from gooseberrypost.gateway.authentication import failure_answer
from gooseberrypost.gateway.exchange import RETRY_AFTER_STATUSES
from gooseberrypost.gateway.generation import Generation
from gooseberrypost.gateway.model import RequestKind
from gooseberrypost.gateway.plain import PlainExchange
from gooseberrypost.gateway.reply import HttpReply
from gooseberrypost.gateway.shutdown import ShuttingDown
from gooseberrypost.httplistener import HttpListener
from gooseberrypost.lifecycle import State
from gooseberrypost.requestbody import (
    BodyDiscard,
    BodyReader,
    MemoryExhausted,
    cause_of,
)
from gooseberrypost.state.memoryuse import Holder, ShedClass, Use

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from gooseberrypost.clientrefusals import ClientRefusals
    from gooseberrypost.gateway.context import GatewayContext
    from gooseberrypost.gateway.exchange import Exchange
    from gooseberrypost.gateway.model import Route
    from gooseberrypost.gateway.quotas import Sends
    from gooseberrypost.gateway.request import ClientRequest
    from gooseberrypost.lifecycle import Lifecycle
    from gooseberrypost.state.memorybudget import Lease

    Decoder = Callable[
        [web.BaseRequest, float], Result[ClientRequest, MalformedRequest]
    ]

IDLE_TIMEOUT_FACTOR: Final = 2.0
"""Multiple of the configured idle timeout after which connections close."""
HANDLER_END_S: Final = 0.2
"""Time for handlers to end before they are cancelled."""
REQUEST_BYTES: Final = 48 * 1024
"""Memory of a request in work: its tasks, its connection to a server, and
what that has read ahead."""
FIELD_BYTES: Final = 512
"""Memory of a header field, for the client and for the server."""
NOT_READY_RETRY_AFTER_MS: Final = 500
"""``Retry-After`` for clients of a gateway that is not ready yet."""


class NoRoute(NotRun):
    """No configured route matches the request."""

    code = "no_route"
    http_status = 404


class RouteUnverified(NotRun):
    """No known route matches, but the configuration may be outdated."""

    code = "route_unverified"


class NotReady(NotRun):
    """No configuration has been received yet."""

    code = "not_ready"


class ClientServer(web.Server):
    """Creates connection handlers with the configured client limits."""

    def __init__(
        self, ctx: GatewayContext, handler: Any, table: ConnectionTable
    ) -> None:
        super().__init__(handler, handler_cancellation=True, access_log=None)
        self._ctx = ctx
        self._table = table

    def __call__(self) -> ClientConnection:
        """Create the handler of a new connection."""
        limits = self._ctx.directory.configuration.limits
        return ClientConnection(
            self,
            table=self._table,
            head_limits=HeadLimits(
                limits.max_header_bytes, limits.header_timeout_ms / 1_000
            ),
            loop=self._loop,
            access_log=None,
            keepalive_timeout=IDLE_TIMEOUT_FACTOR
            * limits.idle_timeout_ms
            / 1_000,
            auto_decompress=False,
        )


class WaitingRequest(Holder):
    """Memory of a request, which it gives up until it is sent to a server."""

    __slots__ = ("_exchange",)

    def __init__(self, exchange: Exchange) -> None:
        self._exchange = exchange

    def shed_rank(self) -> tuple[ShedClass, float] | None:
        """Rank the request that arrived last first."""
        exchange = self._exchange
        if exchange.attempts or exchange.reply.is_started:
            return None
        return ShedClass.NOT_STARTED, -exchange.req.arrived_s

    def shed(self) -> None:
        """Refuse the request."""
        self._exchange.stop(MemoryExhausted("no memory for the request"))


class Frontend(Service):
    """Accepts client requests and runs an exchange for each."""

    def __init__(
        self,
        ctx: GatewayContext,
        lifecycle: Lifecycle,
        decode: Decoder,
        refusals: ClientRefusals,
    ) -> None:
        super().__init__()
        self._ctx = ctx
        self._lifecycle = lifecycle
        self._decode = decode
        self._refusals = refusals
        self._discard = BodyDiscard(
            refusals,
            lambda: ctx.directory.configuration.limits.max_body_bytes,
        )
        table = ConnectionTable(
            refusals,
            ctx.memory,
            connection_limit(
                ctx.settings.file_descriptors, ctx.memory.total_bytes
            ),
            ctx.settings.connections_per_address,
        )
        self._table = table
        self._server = ClientServer(ctx, self._handle, table)
        self._listener: HttpListener | None = None
        self._busy_connections: set[web.RequestHandler] = set()
        """Connections with a request in flight."""
        self._exchanges: set[Exchange] = set()
        """Requests in flight that have been read completely."""
        self._idle = asyncio.Event()
        self._idle.set()
        self.address = ""
        """Bound ``host:port``."""

    @property
    def in_flight(self) -> int:
        """Number of connections with a request in flight."""
        return len(self._busy_connections)

    @property
    def unread_connections(self) -> int:
        """Number of connections whose reading is paused."""
        return len(self._table.hangups)

    async def on_start(self) -> None:
        """Bind the port; raises ``OSError`` if it is in use."""
        address = self._ctx.settings.client_address
        self._listener = await HttpListener.open(self._server, address)
        self.address = self._listener.address

    async def on_stop(self) -> None:
        """Stop accepting connections and close all of them."""
        if self._listener is not None:
            await self._listener.close(HANDLER_END_S)

    async def close_connections(self, wait_s: float) -> None:
        """Accept no more connections and close each one once it is idle.

        Ends when all are closed, at the latest after ``wait_s`` seconds.
        """
        if self._listener is not None:
            await self._listener.close_when_idle(wait_s)

    def stop_unfinished(self) -> None:
        """End the requests in flight with an answer, or cut their streams."""
        for exchange in list(self._exchanges):
            exchange.stop(ShuttingDown(0.0))

    def refuse_revoked(self) -> None:
        """End the requests that wait and whose key was removed."""
        for exchange in list(self._exchanges):
            exchange.stop_if_revoked()

    async def wait_idle(self, wait_s: float) -> None:
        """Wait until no request is in flight, at most ``wait_s`` seconds."""
        try:
            async with asyncio.timeout(max(wait_s, 0)):
                await self._idle.wait()
        except TimeoutError:
            return

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        # The answer to an earlier request may not have been read.
        await connection.wait_writable()
        reply = HttpReply(request, self._is_draining)
        self._busy_connections.add(connection)
        self._idle.clear()
        try:
            await self._serve(request, reply)
        except CallerGone as gone:
            logging.info("event=client_gone detail=%r", gone.detail)
        except Failure as failure:
            await self._refuse(reply, failure)
        finally:
            self._busy_connections.discard(connection)
            if not self._busy_connections:
                self._idle.set()
        if not request.content.is_eof():
            await self._discard.run(request)
        return reply.response or web.Response(status=CallerGone.http_status)

    def _is_draining(self) -> bool:
        return self._lifecycle.state in (State.DRAINING, State.STOPPED)

    async def _serve(self, request: web.BaseRequest, reply: HttpReply) -> None:
        decoded = self._decode(request, self._ctx.now_s())
        if isinstance(decoded, Err):
            raise decoded.err_value
        req = decoded.ok_value
        # A request that is refused in any case is not read to its end.
        route = self._select_route(req)
        self._ctx.authenticator.authenticate(req, route)
        with self._ctx.quotas.charged(req, route) as sends:
            await self._forward(request, req, reply, sends)

    async def _forward(
        self,
        request: web.BaseRequest,
        req: ClientRequest,
        reply: HttpReply,
        sends: Sends,
    ) -> None:
        """Read the body within the memory budget, and run the exchange."""
        with self._ctx.memory.lease_for_task() as memory:
            reply.memory = req.memory = memory
            size = REQUEST_BYTES + FIELD_BYTES * len(request.raw_headers)
            if not memory.take(Use.REQUEST, size):
                self._refusals.record(Cause.MEMORY, request.remote or "")
                raise MemoryExhausted("no memory for the request")
            req.body = await self._read_body(request, memory)
            if self._ctx.now_s() >= self._ctx.shutdown_at_s:
                raise ShuttingDown(0.0)
            # The configuration may have changed while the body was read.
            route = self._select_route(req)
            self._ctx.authenticator.check(req, route)
            exchange = self._create_exchange(req, route, reply)
            sends.exchange = exchange
        await self._run(exchange, request, reply)

    async def _run(
        self,
        exchange: Exchange,
        request: web.BaseRequest,
        reply: HttpReply,
    ) -> None:
        """Run an exchange; its memory is released at its end."""
        req, connection = exchange.req, request.protocol
        connection.answer_due_s = exchange.deadline_s
        req.memory.holder = WaitingRequest(exchange)
        task = asyncio.create_task(exchange.run())
        self._exchanges.add(exchange)

        def end(_: asyncio.Task[None]) -> None:
            self._exchanges.discard(exchange)
            exchange.departure.log_end()
            exchange.release()
            connection.hold_unsent()

        task.add_done_callback(end)
        try:
            await asyncio.shield(task)
        except asyncio.CancelledError:
            if reply.is_aborted:
                # The gateway closed the connection, not the client.
                return
            self._handle_disconnect(connection, exchange, task)
            raise

    def _handle_disconnect(
        self,
        connection: web.RequestHandler,
        exchange: Exchange,
        task: asyncio.Task[None],
    ) -> None:
        cancels = exchange.cancels_on_disconnect
        exchange.departure.record(
            attempts=exchange.attempts,
            is_stopped=cancels,
            unread_s=(
                connection.unread_s
                if isinstance(connection, ClientConnection)
                else 0.0
            ),
        )
        if cancels:
            task.cancel()
        else:
            self._ctx.spawn(_complete_after_disconnect(task))

    def _select_route(self, req: ClientRequest) -> Route:
        """Return the route.

        Raises ``NotReady``, ``NoRoute`` or ``RouteUnverified``.
        """
        directory = self._ctx.directory
        if not directory.is_loaded:
            raise NotReady("no configuration received yet")
        cfg = directory.configuration
        route = cfg.route(req.host, req.path)
        if route is None:
            raise self._no_route(req)
        return route

    def _no_route(self, req: ClientRequest) -> NoRoute | RouteUnverified:
        """Log and return why a request without a route is refused."""
        freshness = self._ctx.freshness
        failure: NoRoute | RouteUnverified
        if freshness.is_current():
            failure = NoRoute(f"no route for {req.host} {req.path}")
        else:
            failure = RouteUnverified(
                "the configuration may be outdated",
                retry_after_ms=freshness.retry_after_ms,
            )
        self._ctx.log(
            "no_route",
            req,
            code=failure.code,
            host=req.host,
            target=req.target,
            age_ms=self._ctx.directory.age_ms(self._ctx.now_s()),
        )
        return failure

    def _create_exchange(
        self, req: ClientRequest, route: Route, reply: HttpReply
    ) -> Exchange:
        service = route.choose_service(self._ctx.rng)
        exchange_type = (
            Generation
            if route.kind is RequestKind.STREAMING
            else PlainExchange
        )
        return exchange_type(self._ctx, req, route, service, reply)

    async def _read_body(
        self, request: web.BaseRequest, memory: Lease
    ) -> bytes:
        limits = self._ctx.directory.configuration.limits
        reader = BodyReader(
            request,
            memory,
            limits.max_body_bytes,
            limits.header_timeout_ms / 1_000,
        )
        try:
            return await reader.read()
        except NotRun as failure:
            cause = cause_of(failure)
            if cause is not None:
                self._refusals.record(cause, request.remote or "")
            raise

    async def _refuse(self, reply: HttpReply, failure: Failure) -> None:
        """Send the failure of a request that was not forwarded."""
        self._ctx.metrics.count("failures_total", code=failure.code)
        headers, body = failure_answer(failure)
        if failure.http_status in RETRY_AFTER_STATUSES:
            after_ms = failure.retry_after_ms or NOT_READY_RETRY_AFTER_MS
            headers.append(("Retry-After", f"{after_ms / 1_000:.3f}"))
        try:
            await reply.send(failure.http_status, headers, body)
        except CallerGone as gone:
            logging.info("event=client_gone detail=%r", gone.detail)


async def _complete_after_disconnect(task: asyncio.Task[None]) -> None:
    """Wait for a call whose client has disconnected and discard the answer."""
    try:
        await task
    except CallerGone:
        logging.info("event=answer_without_client")
