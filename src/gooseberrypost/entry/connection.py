"""Connections of callers: requests that are not valid HTTP get JSON errors."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from aiohttp import web
from aiohttp.http_exceptions import LineTooLong

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
    from gooseberrypost.metrics import Metrics

INTERNAL_ERROR: int = 500


class CallerProtocol(web.RequestHandler):
    """Protocol handler whose own errors have the documented form."""

    __slots__ = ("_metrics",)

    def __init__(
        self, manager: CallerServer, metrics: Metrics, **kwargs: Any
    ) -> None:
        super().__init__(manager, **kwargs)
        self._metrics = metrics

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = INTERNAL_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a request that the HTTP parser refused, and close."""
        failure = _failure_of(status, exc, message)
        self._metrics.count("failures_total", code=failure.code, service="")
        if request.writer.output_size > 0:
            raise ConnectionError("the response has been sent in part")
        body = encode_json(error_document(failure, "", failure.outcome))
        response = web.Response(
            status=failure.http_status, body=body, content_type=JSON_TYPE
        )
        response.headers[OUTCOME_HEADER] = failure.outcome.value
        response.force_close()
        return response


class CallerServer(web.Server):
    """Makes a protocol handler for each connection."""

    def __init__(self, handler: Any, metrics: Metrics, **kwargs: Any) -> None:
        super().__init__(handler, **kwargs)
        self._metrics = metrics

    def __call__(self) -> CallerProtocol:
        """Make the handler of a new connection."""
        return CallerProtocol(
            self, self._metrics, loop=self._loop, **self._kwargs
        )


def _failure_of(
    status: int, exc: BaseException | None, message: str | None
) -> Failure:
    if status >= INTERNAL_ERROR:
        return UnknownOutcome("internal error")
    detail = str(message or exc or "invalid HTTP").splitlines()[0]
    if isinstance(exc, LineTooLong):
        return HeadersTooLarge(detail)
    return MalformedRequest(detail)
