"""Connections to backend servers and to the store."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Any, Final

import aiohttp
from aiohttp.client_proto import ResponseHandler

from gooseberrypost.answerframe import AnswerFrame, FramingTooLarge

if TYPE_CHECKING:
    import asyncio


class EngineProtocol(ResponseHandler):
    """Protocol for servers that may be in trouble.

    aiohttp ends a body without a length at any loss of the connection, but the
    body is complete only if the server closed the connection properly. It also
    fails an answer that is followed by other bytes, and reads framing without
    end.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop=loop)
        self._frame = AnswerFrame()

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
        except FramingTooLarge as exc:
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


def new_tcp_socket(info: tuple[Any, ...]) -> socket.socket:
    """Return a TCP socket that detects an unresponsive peer."""
    family, kind, proto, _, _ = info
    sock = socket.socket(family, kind, proto)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in KEEPALIVE_OPTIONS:
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    return sock


KEEPALIVE_OPTIONS: Final = (
    (socket.TCP_KEEPIDLE, 1),
    (socket.TCP_KEEPINTVL, 1),
    (socket.TCP_KEEPCNT, 2),
    (socket.TCP_USER_TIMEOUT, 3_000),
)
"""Keepalive times in s, a probe count, and the user timeout in ms.

An unresponsive peer is detected within 3 s.
"""
