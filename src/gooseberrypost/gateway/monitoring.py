"""HTTP server for the readiness check of the balancer and the metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from aiohttp import web
from mode import Service

from gooseberrypost.clientconnection import ClientConnection
from gooseberrypost.connectiontable import ConnectionTable, HeadLimits
from gooseberrypost.httplistener import HttpListener
from gooseberrypost.lifecycle import State
from gooseberrypost.state.memoryuse import Use

if TYPE_CHECKING:
    from collections.abc import Callable

    from gooseberrypost.clientrefusals import ClientRefusals
    from gooseberrypost.gateway.context import GatewayContext
    from gooseberrypost.lifecycle import Lifecycle

METRICS_CONTENT_TYPE: Final = "text/plain; version=0.0.4"
MAX_CONNECTIONS: Final = 16
"""Connections of both ports together.

A balancer and a collector of metrics have a few each. A probe still gets
through when others crowd the port, as the oldest silent connection is closed
for it.
"""
MAX_HEAD_BYTES: Final = 8 * 1024
KEEPALIVE_S: Final = 60.0
"""Time for which idle connections are kept.

Collectors of metrics ask every 15 to 30 s.
"""
HANDLER_END_S: Final = 0.1
"""Time for handlers to end before they are cancelled."""


class MonitoringConnections(web.Server):
    """Creates connection handlers with small limits."""

    def __init__(self, handler: Any, table: ConnectionTable) -> None:
        super().__init__(handler, access_log=None)
        self._table = table
        self._head_limits = HeadLimits(max_bytes=MAX_HEAD_BYTES)

    def __call__(self) -> ClientConnection:
        """Create the handler of a new connection."""
        return ClientConnection(
            self,
            table=self._table,
            head_limits=self._head_limits,
            loop=self._loop,
            access_log=None,
            keepalive_timeout=KEEPALIVE_S,
        )


class MonitoringServer(Service):
    """Serves the readiness check of the load balancer and the metrics."""

    def __init__(
        self,
        ctx: GatewayContext,
        lifecycle: Lifecycle,
        refusals: ClientRefusals,
        unread_connections: Callable[[], int],
    ) -> None:
        super().__init__()
        self._ctx = ctx
        self._unread_connections = unread_connections
        self._lifecycle = lifecycle
        table = ConnectionTable(refusals, ctx.memory, MAX_CONNECTIONS)
        self._server = MonitoringConnections(self._handle, table)
        self._listeners: list[HttpListener] = []

    async def on_start(self) -> None:
        """Bind the readiness and metrics addresses that are configured."""
        cfg = self._ctx.settings
        for address in filter(
            None, (cfg.readiness_address, cfg.metrics_address)
        ):
            listener = await HttpListener.open(self._server, address)
            self._listeners.append(listener)

    async def on_stop(self) -> None:
        """Close the listeners and all connections."""
        for listener in self._listeners:
            await listener.close(HANDLER_END_S)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        assert isinstance(connection, ClientConnection)
        await connection.wait_writable()
        response = self._answer(request)
        # Bodies and pipelined requests are not read.
        if connection.has_waiting_request or not request.content.is_eof():
            response.force_close()
        return response

    def _answer(self, request: web.BaseRequest) -> web.Response:
        if request.path == "/metrics":
            self._set_gauges()
            return web.Response(
                text=self._ctx.metrics.render(),
                headers={"Content-Type": METRICS_CONTENT_TYPE},
            )
        ready = self._lifecycle.state is State.SERVING
        return web.Response(status=200 if ready else 503)

    def _set_gauges(self) -> None:
        metrics, memory = self._ctx.metrics, self._ctx.memory
        directory = self._ctx.directory
        metrics.gauge("configuration_version", directory.configuration.version)
        metrics.gauge(
            "configuration_age_ms", directory.age_ms(self._ctx.now_s())
        )
        metrics.gauge("unread_connections", self._unread_connections())
        metrics.gauge("memory_budget_bytes", memory.total_bytes)
        for use in Use:
            used = memory.used(use)
            metrics.gauge(
                "memory_budget_used_bytes", used, use=use.name.lower()
            )
