"""Reads answers of servers that may be in trouble, with aiohttp."""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING, Final

import aiohttp
from aiohttp.client_proto import ResponseHandler

from gooseberrypost.answerframe import (
    AnswerFrame,
    FramingTooLarge,
    InvalidHead,
)
from gooseberrypost.timeouts import RunningTimeout

if TYPE_CHECKING:
    from typing import Any

    from aiohttp import ClientRequest, ClientTimeout
    from aiohttp.connector import Connection
    from aiohttp.tracing import Trace

READ_BYTES: Final = 32 * 1024
"""Bytes of an answer that are read at once.

asyncio reads 256 KB, which all are held while the answer waits for memory or
for its client.
"""
STATUSES_WITHOUT_BODY: Final = (204, 304)


_read_view: Final = memoryview(bytearray(READ_BYTES))
"""Bytes just received; all connections parse them before they return."""


class AnswerProtocol(ResponseHandler, asyncio.BufferedProtocol):
    """Protocol for servers that may be in trouble.

    aiohttp ends a body without a length at any loss of the connection, but the
    body is complete only if the server closed the connection properly. It also
    fails an answer that is followed by other bytes, and reads framing without
    end.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop=loop)
        self._frame = AnswerFrame()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next bytes."""
        return _read_view

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the bytes in the buffer."""
        self.data_received(bytes(_read_view[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse the bytes that belong to the answer."""
        try:
            answer = self._frame.feed(data) if data else data
            if data and not answer:
                return
            body_before = self._body_bytes
            super().data_received(answer)
            has_body = self._body_bytes != body_before
            self._frame.count_framing(len(answer), has_body=has_body)
        except (FramingTooLarge, InvalidHead) as exc:
            payload, transport = self._payload, self.transport
            if payload is not None and not payload.is_eof():
                payload.set_exception(exc)
            self.set_exception(exc)
            if transport is not None:
                transport.abort()

    @property
    def _body_bytes(self) -> int:
        return self._payload.total_bytes if self._payload is not None else -1

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an unfinished body when the connection was reset."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError(f"connection reset: {exc!r}")
            )
        super().connection_lost(exc)


class PatientConnector(aiohttp.TCPConnector):
    """Connector whose ``sock_connect`` excludes delays of the event loop.

    The timers of aiohttp would cancel a connection that was established while
    the event loop was late.
    """

    async def connect(
        self, req: ClientRequest, traces: list[Trace], timeout: ClientTimeout
    ) -> Connection:
        """Open a connection."""
        if timeout.sock_connect is None:
            return await super().connect(req, traces, timeout)
        untimed = aiohttp.ClientTimeout(connect=timeout.connect)
        with RunningTimeout(timeout.sock_connect):
            return await super().connect(req, traces, untimed)


def new_connector(**options: Any) -> PatientConnector:
    """Return a connector that opens a connection for each request.

    On a kept-alive connection that the server has just closed, a request
    would fail without having been received.
    """
    connector = PatientConnector(limit=0, force_close=True, **options)
    connector._factory = functools.partial(
        AnswerProtocol, loop=asyncio.get_running_loop()
    )
    return connector


def is_framed(response: aiohttp.ClientResponse) -> bool:
    """Whether an answer declares where it ends.

    A transfer coding does so only if the last one is chunked.
    """
    headers = response.headers
    codings = headers.get("Transfer-Encoding")
    if codings is not None:
        return codings.lower().rpartition(",")[2].strip() == "chunked"
    return (
        "Content-Length" in headers
        or response.method == "HEAD"
        or response.status in STATUSES_WITHOUT_BODY
    )
