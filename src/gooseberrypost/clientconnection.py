"""Connections of clients, whose use of the process is bounded."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final

from aiohttp import web
from aiohttp.http import HttpRequestParser

from gooseberrypost.clientrefusals import Cause
from gooseberrypost.connectiontable import HeadLimits
from gooseberrypost.state.memoryuse import Use

if TYPE_CHECKING:
    from aiohttp.streams import StreamReader

    from gooseberrypost.connectiontable import ConnectionTable
    from gooseberrypost.state.memorybudget import Lease

READ_BYTES: Final = 16 * 1024
"""Bytes of a connection that are parsed in one pass of the event loop.

64 KB of chunks of one byte take 10 ms, in which no other client is served.
"""
WRITE_BUFFER_BYTES: Final = 32 * 1024
"""Unsent bytes of a connection beyond which its writers wait."""
CHUNK_OVERHEAD_BYTES: Final = 64 * 1024
"""Framing of a chunked body that is allowed in addition to its size."""
SERVER_ERROR_STATUS: Final = 500
MAX_WAITING_REQUESTS: Final = 2
"""Requests of a connection that are parsed behind the one in work.

With so many, the connection is not read until the next one is taken. With one,
it would pause at each request of a fast client, at two calls to the system.
A request of 120 short fields takes 40 KB once it is parsed. aiohttp parses 32
of them.
"""
LATE_S: Final = 0.02
"""Delay of a timer beyond which the event loop was late."""
REPEATED_TIMER_S: Final = 0.1
"""Time to read what had arrived when a timer fired late."""

_read_view: Final = memoryview(bytearray(READ_BYTES))
"""Bytes just received; all connections parse them before they return."""


class ClientConnection(web.RequestHandler, asyncio.BufferedProtocol):
    """Connection of a client, which knows whether a request has arrived.

    What it reads and holds is bounded: the head in bytes and time, one
    request that waits behind another, the framing of chunks, and answers that
    the client does not read.
    """

    __slots__ = (
        "_accepted",
        "_chunked_bytes",
        "_descriptor",
        "_has_partial_request",
        "_head_bytes",
        "_head_limits",
        "_head_timer",
        "_last_payload",
        "_reading_paused_s",
        "_table",
        "_unread_timer",
        "_unsent",
        "answer_due_s",
        "unread_s",
    )

    def __init__(
        self,
        *args: Any,
        table: ConnectionTable,
        head_limits: HeadLimits | None = None,
        auto_decompress: bool = True,
        **kwargs: Any,
    ) -> None:
        head_limits = head_limits or HeadLimits()
        super().__init__(
            *args,
            max_field_size=head_limits.max_bytes,
            max_line_size=head_limits.max_bytes,
            max_headers=head_limits.max_fields,
            read_bufsize=READ_BYTES,
            lingering_time=0,
            auto_decompress=auto_decompress,
            **kwargs,
        )
        self._parser = HttpRequestParser(
            self,
            self._loop,
            READ_BYTES,
            max_line_size=head_limits.max_bytes,
            max_field_size=head_limits.max_bytes,
            max_headers=head_limits.max_fields,
            payload_exception=web.RequestPayloadError,
            auto_decompress=auto_decompress,
            max_msg_queue_size=MAX_WAITING_REQUESTS,
        )
        self._max_msg_queue_size = MAX_WAITING_REQUESTS
        self._msg_queue_resume_size = MAX_WAITING_REQUESTS - 1
        self._table = table
        self._head_limits = head_limits
        self._has_partial_request = False
        self._accepted: asyncio.Transport | None = None
        """The transport, also after ``force_close`` until it is closed."""
        self._last_payload: StreamReader | None = None
        """Body of the request that arrived last."""
        self._head_bytes = 0
        """Bytes of a head that has not arrived whole."""
        self._chunked_bytes = 0
        """Bytes received of the last body, with its framing."""
        self._head_timer: asyncio.TimerHandle | None = None
        self._unread_timer: asyncio.TimerHandle | None = None
        self._unsent: Lease | None = None
        """Bytes of an ended request that the client has not read."""
        self._descriptor = -1
        """File descriptor, while the connection is not read."""
        self._reading_paused_s: float | None = None
        """Event-loop time since which the connection is not read."""
        self.unread_s = 0.0
        """Time without reading since the last request was taken."""
        self.answer_due_s = 0.0
        """Event-loop time until which the client may leave its answer."""

    @property
    def is_idle(self) -> bool:
        """Whether no byte of a request has arrived that is not answered."""
        return self._is_waiting and not self._has_partial_request

    @property
    def is_closing(self) -> bool:
        """Whether only unsent bytes keep the connection open."""
        return self._accepted is not None and self._accepted.is_closing()

    @property
    def has_sent_request(self) -> bool:
        """Whether a whole head has arrived."""
        return self._request_count > 0

    @property
    def has_waiting_request(self) -> bool:
        """Whether a request has arrived behind the one in work."""
        return bool(self._messages)

    @property
    def idle_until_s(self) -> float:
        """Event-loop time at which an idle connection is closed."""
        return self._next_keepalive_close_time

    @property
    def client(self) -> str:
        """Address of the client."""
        peer = self._accepted and self._accepted.get_extra_info("peername")
        return str(peer[0]) if peer else ""

    @property
    def _is_waiting(self) -> bool:
        """Whether the handler waits for a request; the next may have begun."""
        return self._waiter is not None and not self._waiter.done()

    def connection_made(self, transport: Any) -> None:
        """Bound the connection's buffers and the number of connections."""
        super().connection_made(transport)
        self._accepted = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._table.add(self, self.client)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release what the connection holds."""
        self._end_reading_pause()
        self._table.remove(self)
        self._accepted = None
        self._stop_head_timer()
        self._end_unread()
        super().connection_lost(exc)

    def _pause_transport_reading(self) -> None:
        """Stop reading; aiohttp calls this for its queue and for bodies."""
        super()._pause_transport_reading()
        if self._reading_paused_s is None and self.transport is not None:
            self._reading_paused_s = self._loop.time()
            self._descriptor = self.transport.get_extra_info("socket").fileno()
            self._table.hangups.add(self, self._descriptor)

    def _resume_transport_reading(self) -> None:
        """Read again."""
        self._end_reading_pause()
        super()._resume_transport_reading()

    def _end_reading_pause(self) -> None:
        if self._reading_paused_s is not None:
            self.unread_s += self._loop.time() - self._reading_paused_s
            self._reading_paused_s = None
            self._table.hangups.remove(self._descriptor)

    def eof_received(self) -> None:
        """End the request in work, as its client has left.

        asyncio tells of the loss of a connection once all is sent, for which
        it waits as long as the client reads nothing.
        """
        handler = self._task_handler
        if handler is not None and self.writing_paused:
            handler.cancel()

    def abort(self) -> None:
        """Close the connection at once, without its unsent bytes."""
        accepted = self._accepted
        self.force_close()
        if accepted is not None:
            accepted.abort()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next bytes."""
        return _read_view

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the bytes in the buffer."""
        self.data_received(bytes(_read_view[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        requests, payload = self._request_count, self._last_payload
        is_body = payload is not None and not payload.is_eof()
        super().data_received(data)
        if data:
            self._has_partial_request = self._is_waiting
        if self._request_count != requests:
            self._last_payload = self._messages[-1][1]
            self._chunked_bytes = self._head_bytes = 0
            self._stop_head_timer()
        elif data and payload is not None and is_body:
            self._count_body(len(data), payload)
        elif data:
            self._count_head(len(data))

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = SERVER_ERROR_STATUS,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the answer to invalid HTTP, without a line for each.

        aiohttp logs a traceback.
        """
        if status >= SERVER_ERROR_STATUS:
            return super().handle_error(request, status, exc, message)
        self.record_malformed()
        if request.writer.output_size > 0:
            raise ConnectionError("part of the answer was already sent")
        response = web.Response(status=status, text=message)
        response.force_close()
        return response

    async def _handle_request(self, *args: Any) -> Any:
        """Handle one request, then parse what waits behind it."""
        self.unread_s = 0.0
        result = await super()._handle_request(*args)
        if not self._messages and self._parser is not None:
            # The parser counts a request that is taken before its body has
            # arrived as waiting, and would stop behind it.
            for _ in range(MAX_WAITING_REQUESTS):
                self._parser.message_consumed()
            self.data_received(b"")
        return result

    def record_malformed(self) -> None:
        """Record that the client sent invalid HTTP."""
        self._table.refusals.record(Cause.MALFORMED, self.client)

    def _count_head(self, size: int) -> None:
        if self._close or self._force_close:
            return
        if not self._head_bytes:
            timeout_s = self._head_limits.timeout_s
            self._start_head_timer(self._loop.time() + timeout_s)
        self._head_bytes += size
        # The fields and the request line have a limit each.
        if self._head_bytes > 2 * self._head_limits.max_bytes:
            self._refuse_head(431, Cause.HEAD_TOO_LARGE)

    def _count_body(self, size: int, payload: StreamReader) -> None:
        self._chunked_bytes += size
        overhead = self._chunked_bytes - payload.total_bytes
        allowed = CHUNK_OVERHEAD_BYTES + payload.total_bytes
        if overhead > allowed and payload.exception() is None:
            self._table.refusals.record(Cause.CHUNK_OVERHEAD, self.client)
            payload.set_exception(
                web.RequestPayloadError("chunks are too small")
            )
            self.close()

    def _start_head_timer(self, due_s: float) -> None:
        self._head_timer = self._loop.call_at(due_s, self._end_head, due_s)

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _end_head(self, due_s: float) -> None:
        """Refuse a head that has not arrived in time."""
        now_s = self._loop.time()
        if now_s - due_s > LATE_S:
            # The rest may have arrived while the event loop was late.
            self._start_head_timer(now_s + REPEATED_TIMER_S)
            return
        self._head_timer = None
        self._refuse_head(408, Cause.SLOW_HEAD)

    def _refuse_head(self, status: int, cause: Cause) -> None:
        self._stop_head_timer()
        self._table.refusals.record(cause, self.client)
        if not self._is_waiting or self.transport is None:
            # The request in work is answered, then the connection closes.
            self.close()
            return
        self.transport.write(
            f"HTTP/1.1 {status} {cause.value}\r\n"
            f"X-Failure: {cause.value}\r\n"
            "Content-Length: 0\r\nConnection: close\r\n\r\n".encode()
        )
        self.force_close()

    def pause_writing(self) -> None:
        """Limit the time for which the client reads nothing."""
        super().pause_writing()
        now_s = self._loop.time()
        due_s = max(self.answer_due_s, now_s + self._head_limits.unread_s)
        self._start_unread_timer(due_s)

    def resume_writing(self) -> None:
        """Continue to write, as the client has read."""
        self._end_unread()
        super().resume_writing()

    def _start_unread_timer(self, due_s: float) -> None:
        self._unread_timer = self._loop.call_at(
            due_s, self._close_unread, due_s
        )

    def _close_unread(self, due_s: float) -> None:
        now_s = self._loop.time()
        if now_s - due_s > LATE_S:
            # The client may have read while the event loop was late.
            self._start_unread_timer(now_s + REPEATED_TIMER_S)
            return
        self._table.refusals.record(Cause.UNREAD, self.client)
        self.abort()

    def _end_unread(self) -> None:
        if self._unread_timer is not None:
            self._unread_timer.cancel()
            self._unread_timer = None
        if self._unsent is not None:
            self._unsent.close()
            self._unsent = None

    def hold_unsent(self) -> None:
        """Count what an ended request left in the buffer until it is sent."""
        if self._accepted is None or not self.writing_paused:
            return
        if self._unsent is None:
            self._unsent = self._table.budget.open()
        size = self._accepted.get_write_buffer_size()
        self._unsent.take(Use.UNSENT, size - self._unsent.held_bytes)

    async def wait_writable(self) -> None:
        """Wait until the client has read; raises ``ConnectionError``."""
        if self.writing_paused:
            await self._drain_helper()
