"""Replies to clients, sent at once or as a stream."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Final

from aiohttp import web

from gooseberrypost.clientconnection import ClientConnection
from gooseberrypost.errors import CallerGone, Failure
from gooseberrypost.state.memorybudget import UNBOUNDED
from gooseberrypost.state.memoryuse import Use

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from gooseberrypost.state.memorybudget import Lease

WRITE_BYTES: Final = 32 * 1024
"""Largest part of an answer that is written at once."""
UNREAD_BUFFER_BYTES: Final = 128 * 1024
"""Memory of a stream whose client does not read.

aiohttp waits for the client once in 64 KB, and reads up to 96 KB ahead from
the server.
"""
MIN_READ_BYTES_PER_S: Final = 16 * 1024
"""Rate at which a client has to read an answer after its deadline.

A hundredth of the slowest link of a gateway (5 Mbit/s) is 6 KB/s; the largest
answer may take 8 minutes.
"""


class DeadlineExceeded(Failure):
    """The deadline passed after a send, so the outcome is unknown."""

    code = "deadline_exceeded"
    http_status = 504


class Reply(ABC):
    """Reply to one client request."""

    @property
    @abstractmethod
    def is_started(self) -> bool:
        """Whether the status line has been sent."""

    @property
    @abstractmethod
    def is_whole(self) -> bool:
        """Whether the whole answer has been handed over to be sent."""

    @abstractmethod
    async def send(
        self, status: int, headers: Sequence[tuple[str, str]], body: bytes
    ) -> None:
        """Send a complete answer; raises ``CallerGone`` on disconnect."""

    @abstractmethod
    async def start(
        self, status: int, headers: Sequence[tuple[str, str]]
    ) -> None:
        """Begin a streamed answer; raises ``CallerGone`` on disconnect."""

    @abstractmethod
    async def write(self, data: bytes) -> None:
        """Send part of a streamed answer; raises ``CallerGone``."""

    @abstractmethod
    async def finish(self) -> None:
        """Mark a streamed answer as complete."""

    @abstractmethod
    def abort(self) -> None:
        """Close the connection, so that the client detects the truncation."""


class HttpReply(Reply):
    """Reply on an HTTP connection."""

    def __init__(
        self, request: web.BaseRequest, closes: Callable[[], bool]
    ) -> None:
        self._request = request
        self._closes = closes
        """Whether an answer that begins now is the connection's last one."""
        self.response: web.StreamResponse | None = None
        self.is_aborted = False
        self.memory: Lease = UNBOUNDED
        """Memory for what the client has not read."""
        self._is_whole = False
        self._counts_unsent = False
        """Whether the unread part of a stream has its memory."""

    @property
    def is_started(self) -> bool:
        """Whether the status line has been sent."""
        return self.response is not None

    @property
    def is_whole(self) -> bool:
        """Whether the whole answer has been handed over to be sent."""
        return self._is_whole

    async def send(
        self, status: int, headers: Sequence[tuple[str, str]], body: bytes
    ) -> None:
        """Send a complete answer."""
        self._is_whole = True
        if len(body) > WRITE_BYTES:
            await self._send_large(status, headers, body)
            return
        response = web.Response(status=status, body=body)
        await self._prepare(response, headers)
        await self.finish()

    async def _send_large(
        self, status: int, headers: Sequence[tuple[str, str]], body: bytes
    ) -> None:
        """Send a body in parts, so that no buffer holds a second copy."""
        response = web.StreamResponse(status=status)
        response.content_length = len(body)
        await self._prepare(response, headers)
        view = memoryview(body)
        end_s = self._read_by_s(len(body))
        for start in range(0, len(body), WRITE_BYTES):
            await self.write(view[start : start + WRITE_BYTES])
            if asyncio.get_running_loop().time() > end_s:
                self.abort()
                raise CallerGone("the client reads too slowly")
        await self.finish()

    def _read_by_s(self, size: int) -> float:
        """Return the event-loop time by which a body has to be read.

        The connection itself ends a client that reads nothing.
        """
        connection = self._request.protocol
        now_s = asyncio.get_running_loop().time()
        due_s = getattr(connection, "answer_due_s", 0.0)
        return max(due_s, now_s) + size / MIN_READ_BYTES_PER_S

    async def start(
        self, status: int, headers: Sequence[tuple[str, str]]
    ) -> None:
        """Begin a streamed answer."""
        response = web.StreamResponse(status=status)
        response.enable_chunked_encoding()
        await self._prepare(response, headers)

    async def write(self, data: bytes | memoryview) -> None:
        """Send a part of a streamed answer."""
        assert self.response is not None
        try:
            await self.response.write(data)
            if self._request.protocol.writing_paused:
                await self._hold_unread()
        except OSError as exc:
            raise CallerGone(repr(exc)) from exc

    async def _hold_unread(self) -> None:
        """Take memory for what the client has not read.

        Without it, all has to be read before more is written.
        """
        if not self._counts_unsent:
            self._counts_unsent = self.memory.take(
                Use.UNSENT, UNREAD_BUFFER_BYTES
            )
        connection = self._request.protocol
        if not self._counts_unsent and isinstance(
            connection, ClientConnection
        ):
            await connection.wait_writable()

    async def finish(self) -> None:
        """Mark the answer as complete."""
        assert self.response is not None
        self._is_whole = True
        try:
            await self.response.write_eof()
        except OSError as exc:
            raise CallerGone(repr(exc)) from exc

    def abort(self) -> None:
        """Close the connection without completing the answer."""
        self.is_aborted = True
        protocol = self._request.protocol
        if protocol is not None:
            protocol.force_close()

    async def _prepare(
        self,
        response: web.StreamResponse,
        headers: Sequence[tuple[str, str]],
    ) -> None:
        if self._closes():
            response.force_close()
        response.headers.popall("Content-Type", None)
        for name, value in headers:
            response.headers.add(name, value)
        self.response = response
        try:
            await response.prepare(self._request)
        except OSError as exc:
            raise CallerGone(repr(exc)) from exc
