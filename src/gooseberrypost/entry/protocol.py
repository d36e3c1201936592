"""HTTP server whose replies to invalid HTTP are JSON error responses."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from aiohttp import web
from aiohttp.http_exceptions import LineTooLong

from gooseberrypost.clientconnection import ClientConnection
from gooseberrypost.entry.formats import (
    JSON_TYPE,
    encode_json,
    error_document,
)
from gooseberrypost.entry.parse import OUTCOME_HEADER
from gooseberrypost.errors import (
    Failure,
    HeadersTooLarge,
    MalformedRequest,
    UnknownOutcome,
)

if TYPE_CHECKING:
    from gooseberrypost.connectiontable import ConnectionTable, HeadLimits
    from gooseberrypost.metrics import Metrics

INTERNAL_ERROR_STATUS: int = 500


class CallerProtocol(ClientConnection):
    """HTTP protocol handler that reports its own errors as JSON."""

    __slots__ = ("_metrics",)

    def __init__(
        self, manager: CallerServer, metrics: Metrics, **kwargs: Any
    ) -> None:
        super().__init__(manager, **kwargs)
        self._metrics = metrics

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = INTERNAL_ERROR_STATUS,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return a JSON error response, after which the connection closes.

        aiohttp calls this for invalid HTTP and for errors of the handler. If
        part of a response was sent, it raises to drop the connection.
        """
        failure = _failure_of(status, exc, message)
        if status < INTERNAL_ERROR_STATUS:
            self.record_malformed()
        self._metrics.count("failures_total", code=failure.code, service="")
        if request.writer.output_size > 0:
            raise ConnectionError("part of the response was already sent")
        body = encode_json(error_document(failure, "", failure.outcome))
        response = web.Response(
            status=failure.http_status, body=body, content_type=JSON_TYPE
        )
        response.headers[OUTCOME_HEADER] = failure.outcome.value
        response.force_close()
        return response


class CallerServer(web.Server):
    """HTTP server that uses ``CallerProtocol`` for its connections."""

    def __init__(
        self,
        handler: Any,
        metrics: Metrics,
        table: ConnectionTable,
        head_limits: HeadLimits,
        **kwargs: Any,
    ) -> None:
        super().__init__(handler, **kwargs)
        self._metrics = metrics
        self._table = table
        self._head_limits = head_limits

    def __call__(self) -> CallerProtocol:
        """Create the protocol handler of a new connection."""
        return CallerProtocol(
            self,
            self._metrics,
            table=self._table,
            head_limits=self._head_limits,
            loop=self._loop,
            **self._kwargs,
        )


def _failure_of(
    status: int, exc: BaseException | None, message: str | None
) -> Failure:
    if status >= INTERNAL_ERROR_STATUS:
        return UnknownOutcome("internal error")
    detail = str(message or exc or "invalid HTTP").splitlines()[0]
    if isinstance(exc, LineTooLong):
        return HeadersTooLarge(detail)
    return MalformedRequest(detail)
