"""HTTP interface to clients, to the balancer and to the metrics collector."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final

from absl import logging
from aiohttp import web
from mode import Service
from result import Err

from gooseberrypost.errors import (
    BodyTooLarge,
    CallerGone,
    Failure,
    MalformedRequest,
    NotRun,
    RequestIncomplete,
)
from gooseberrypost.gateway.generation import Generation
from gooseberrypost.gateway.model import RequestKind
from gooseberrypost.gateway.plain import PlainExchange
from gooseberrypost.gateway.reply import HttpReply
from gooseberrypost.lifecycle import State

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from gooseberrypost.gateway.context import GatewayContext
    from gooseberrypost.gateway.exchange import Exchange
    from gooseberrypost.gateway.request import ClientRequest
    from gooseberrypost.lifecycle import Lifecycle

    Decoder = Callable[
        [web.BaseRequest, float], Result[ClientRequest, MalformedRequest]
    ]

BACKLOG: Final = 1_024
IDLE_MARGIN: Final = 2.0
"""Connections stay open for this multiple of the client's idle limit."""
BEGIN_S: Final = 0.05
"""Time in which a request that was read is begun."""
LINGER_S: Final = 1.0
"""Time to discard the rest of a refused body before closing."""
METRICS_TYPE: Final = "text/plain; version=0.0.4"


class NoRoute(NotRun):
    """No route of the configuration matches."""

    code = "no_route"
    http_status = 404


class NotReady(NotRun):
    """No configuration is known yet."""

    code = "not_ready"


class ClientServer(web.Server):
    """Makes a protocol handler for each connection, by the limits in force."""

    def __init__(self, ctx: GatewayContext, handler: Any) -> None:
        super().__init__(handler, handler_cancellation=True, access_log=None)
        self._ctx = ctx

    def __call__(self) -> web.RequestHandler:
        """Make the handler of a new connection."""
        limits = self._ctx.directory.configuration.limits
        return web.RequestHandler(
            self,
            loop=self._loop,
            access_log=None,
            keepalive_timeout=IDLE_MARGIN * limits.idle_timeout_ms / 1_000,
            lingering_time=LINGER_S,
            max_field_size=limits.max_header_bytes,
            max_line_size=limits.max_header_bytes,
            auto_decompress=False,
        )


class Frontend(Service):
    """Accepts clients' requests and carries each to its end."""

    def __init__(
        self, ctx: GatewayContext, lifecycle: Lifecycle, decode: Decoder
    ) -> None:
        super().__init__()
        self._ctx = ctx
        self._lifecycle = lifecycle
        self._decode = decode
        self._server = ClientServer(ctx, self._handle)
        self._runner = web.ServerRunner(self._server, shutdown_timeout=0.2)
        self._site: web.TCPSite | None = None
        self._busy: set[web.RequestHandler] = set()
        """Connections with a request in flight."""
        self._idle = asyncio.Event()
        self._idle.set()
        self.address = ""
        """Bound ``host:port``."""

    @property
    def in_flight(self) -> int:
        """Number of requests that are not answered yet."""
        return len(self._busy)

    async def on_start(self) -> None:
        """Bind; raises ``OSError`` when the port is taken."""
        await self._runner.setup()
        host, _, port = self._ctx.settings.client_address.rpartition(":")
        self._site = web.TCPSite(
            self._runner, host, int(port), backlog=BACKLOG
        )
        await self._site.start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def on_stop(self) -> None:
        """Stop accepting and close the connections."""
        await self._runner.cleanup()

    async def close_idle(self) -> None:
        """Accept no connection and close those without a request."""
        if self._site is not None:
            await self._site.stop()
            self._site = None
        # ``close`` stops reading; a request that was read before is begun
        # meanwhile, and its connection is closed after its answer. One that
        # is still idle then is open and deaf.
        connections = self._server.connections
        for connection in connections:
            connection.close()
        await asyncio.sleep(BEGIN_S)
        for connection in connections:
            if connection not in self._busy:
                connection.force_close()

    async def idle(self, wait_s: float) -> None:
        """Wait until no request is in flight, up to a time."""
        try:
            async with asyncio.timeout(max(wait_s, 0)):
                await self._idle.wait()
        except TimeoutError:
            return

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        leaving = self._lifecycle.state is State.DRAINING
        reply = HttpReply(request, close=leaving)
        connection = request.protocol
        self._busy.add(connection)
        self._idle.clear()
        try:
            await self._serve(request, reply)
        except CallerGone as gone:
            logging.info("event=client_gone detail=%r", gone.detail)
        except Failure as failure:
            await self._refuse(reply, failure)
        finally:
            self._busy.discard(connection)
            if not self._busy:
                self._idle.set()
        return reply.response or web.Response(status=CallerGone.http_status)

    async def _serve(self, request: web.BaseRequest, reply: HttpReply) -> None:
        decoded = self._decode(request, self._ctx.now_s())
        if isinstance(decoded, Err):
            raise decoded.err_value
        req = decoded.ok_value
        req.body = await self._read_body(request)
        exchange = self._exchange(req, reply)
        task = asyncio.create_task(exchange.run())
        try:
            await asyncio.shield(task)
        except asyncio.CancelledError:
            if reply.is_aborted:
                # The gateway itself closed the connection.
                return
            self._abandon(req, exchange, task)
            raise

    def _abandon(
        self, req: ClientRequest, exchange: Exchange, task: asyncio.Task[None]
    ) -> None:
        stops = exchange.is_abandoned_with_client
        self._ctx.log(
            "client_left",
            req,
            attempts=exchange.attempts,
            action="stopped" if stops else "finished",
        )
        self._ctx.metrics.count("clients_left_total")
        if stops:
            task.cancel()
        else:
            self._ctx.spawn(_finish(task))

    def _exchange(self, req: ClientRequest, reply: HttpReply) -> Exchange:
        directory = self._ctx.directory
        if not directory.is_loaded:
            raise NotReady("no configuration is known")
        cfg = directory.configuration
        route = cfg.route(req.host, req.path)
        if route is None:
            self._ctx.log("no_route", req, host=req.host, target=req.target)
            raise NoRoute(f"no route for {req.host} {req.path}")
        service = route.choose_service(self._ctx.rng)
        kind = (
            Generation
            if route.kind is RequestKind.STREAMING
            else PlainExchange
        )
        return kind(self._ctx, req, route, service, reply)

    async def _read_body(self, request: web.BaseRequest) -> bytes:
        limits = self._ctx.directory.configuration.limits
        limit = limits.max_body_bytes
        if (request.content_length or 0) > limit:
            raise BodyTooLarge(f"the body exceeds {limit} bytes")
        body = bytearray()
        try:
            async with asyncio.timeout(limits.header_timeout_ms / 1_000):
                while data := await request.content.readany():
                    body += data
                    if len(body) > limit:
                        raise BodyTooLarge(f"the body exceeds {limit} bytes")
        except TimeoutError as exc:
            raise RequestIncomplete("the body was not sent in time") from exc
        except web.RequestPayloadError as exc:
            raise MalformedRequest(f"invalid body: {exc}") from exc
        return bytes(body)

    async def _refuse(self, reply: HttpReply, failure: Failure) -> None:
        """Answer a request that was not forwarded."""
        self._ctx.metrics.count("failures_total", code=failure.code)
        headers = [("X-Failure", failure.code)]
        if failure.http_status == NotRun.http_status:
            headers.append(("Retry-After", "0.500"))
        try:
            await reply.send(failure.http_status, headers, b"")
        except CallerGone as gone:
            logging.info("event=client_gone detail=%r", gone.detail)


async def _finish(task: asyncio.Task[None]) -> None:
    """Wait for a call whose client has left; its answer reaches nobody."""
    try:
        await task
    except CallerGone:
        logging.info("event=answer_without_client")


class Probes(Service):
    """Readiness for the balancer, and metrics."""

    def __init__(self, ctx: GatewayContext, lifecycle: Lifecycle) -> None:
        super().__init__()
        self._ctx = ctx
        self._lifecycle = lifecycle
        server = web.Server(self._handle, access_log=None)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)

    async def on_start(self) -> None:
        """Bind both addresses."""
        await self._runner.setup()
        cfg = self._ctx.settings
        for address in filter(
            None, (cfg.readiness_address, cfg.metrics_address)
        ):
            host, _, port = address.rpartition(":")
            await web.TCPSite(self._runner, host, int(port)).start()

    async def on_stop(self) -> None:
        """Close the connections."""
        await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/metrics":
            return web.Response(
                text=self._ctx.metrics.render(),
                headers={"Content-Type": METRICS_TYPE},
            )
        ready = self._lifecycle.state is State.SERVING
        return web.Response(status=200 if ready else 503)
