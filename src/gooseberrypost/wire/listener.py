"""Server side of internal connections: sessions and the listener."""

from __future__ import annotations

import asyncio
import sys
from abc import ABC, abstractmethod
from contextlib import asynccontextmanager, suppress
from typing import TYPE_CHECKING, Any, Final

from absl import logging
from result import Err, Ok, Result

from gooseberrypost.address import Address, split_address
from gooseberrypost.connectiontable import connection_limit
from gooseberrypost.errors import Failure, ProtocolFailure, UnknownOutcome
from gooseberrypost.logs import LineLimit
from gooseberrypost.memorywait import take_when_free
from gooseberrypost.state.memorybudget import MemoryBudget
from gooseberrypost.state.memoryuse import Use
from gooseberrypost.timeouts import RunningTimeout
from gooseberrypost.wire.codec import Frame, decode, encode, read_length
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

HELLO_TIMEOUT_MS: Final = 2_000
WRITE_BUFFER_BYTES: Final = 256 * 1024
FRAME_TIMEOUT_S: Final = 30.0
"""Time from the length of a frame to its last byte.

The largest frame, of 4 MiB, takes 7 s on a link of 5 Mbit/s.
"""
SMALL_FRAME_BYTES: Final = 64 * 1024
"""Frames up to this size are not counted; the stream reader buffers as much
of any connection."""
FRAME_MEMORY_BYTES: Final = 12 * 1024 * 1024
"""Memory of the frames that are being read; others wait for it.

With 16 MiB, 40 connections took an entry of 53 MB to 90 MB.
"""
LOG_INTERVAL_S: Final = 1.0
"""Interval of log lines on rejected frames, and on handlers that fail."""


def refusal_message(failure: Failure, load: Any = None) -> Any:
    """Return a ``Refused`` message that carries a failure to the peer."""
    return idl.Refused(
        code=failure.code,
        detail=failure.detail,
        retry_after_ms=failure.retry_after_ms or 0,
        load=load,
    )


class Session:
    """An accepted connection; ``peer`` is the ``Hello`` that it received."""

    __slots__ = ("_writer", "closed", "last_received_s", "peer", "tasks")

    def __init__(self, peer: Any, writer: asyncio.StreamWriter) -> None:
        self.peer = peer
        self.last_received_s = asyncio.get_running_loop().time()
        """Event-loop time of the last frame received, in seconds."""
        self.closed = asyncio.Event()
        self.tasks: set[asyncio.Task[None]] = set()
        self._writer = writer

    async def send(self, correlation: int, message: Any) -> bool:
        """Send a reply and return whether it was written to the connection.

        Applies backpressure: waits while the write buffer is full because the
        peer reads slowly.
        """
        if self.closed.is_set():
            return False
        try:
            self._writer.write(encode(Frame(correlation, message)))
            await self._writer.drain()
        except OSError:
            return False
        return True

    async def finish(self) -> None:
        """Wait for pending replies, half-close, then wait for the peer."""
        while self.tasks:
            await asyncio.wait(self.tasks)
        with suppress(OSError):
            if not self.closed.is_set():
                self._writer.write_eof()
        await self.closed.wait()

    def abort(self) -> None:
        """Drop the connection and discard buffered writes."""
        self._writer.transport.abort()


class Handler(ABC):
    """Receives the messages and session events of a listener."""

    @abstractmethod
    async def handle(
        self, session: Session, correlation: int, message: Any
    ) -> None:
        """Process one message; replies are sent with ``session.send``."""

    @abstractmethod
    def connected(self, session: Session) -> None:
        """Handle the start of a session, after its ``Hello`` has arrived."""

    @abstractmethod
    def disconnected(self, session: Session) -> None:
        """Handle the end of a session.

        The peer may have crashed or may only be unreachable.
        """

    @abstractmethod
    def rejected(self, failure: ProtocolFailure) -> None:
        """Handle an invalid frame, or a missing or late ``Hello``.

        The connection is then closed.
        """


class Listener:
    """Accepts connections and passes their messages to a handler."""

    __slots__ = (
        "_connections",
        "_handler",
        "_log_limit",
        "_max_connections",
        "_memory",
        "_server",
        "_sessions",
    )

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._log_limit = LineLimit(LOG_INTERVAL_S)
        self._server: asyncio.Server | None = None
        self._sessions: set[Session] = set()
        self._connections = 0
        self._max_connections = connection_limit(0, sys.maxsize)
        self._memory = MemoryBudget(FRAME_MEMORY_BYTES)

    @classmethod
    @asynccontextmanager
    async def serving(
        cls, address: str, handler: Handler
    ) -> AsyncIterator[Listener]:
        """Listen on ``host:port`` for the duration of the context."""
        listener = cls(handler)
        await listener.start(address)
        try:
            yield listener
        finally:
            await listener.stop()

    @property
    def address(self) -> str:
        """Bound ``host:port``, with the actual port if 0 was configured."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()[:2]
        return str(Address(host, port))

    @property
    def sessions(self) -> frozenset[Session]:
        """Currently open sessions."""
        return frozenset(self._sessions)

    async def start(self, address: str) -> None:
        """Bind and accept; raises ``OSError`` if the port is in use."""
        host, port = split_address(address)
        self._server = await asyncio.start_server(self._serve, host, port)

    async def stop(self) -> None:
        """Stop accepting and drop every session."""
        if self._server is None:
            return
        self._server.close()
        for session in self.sessions:
            session.abort()
        await self._server.wait_closed()

    async def finish(self, timeout_ms: float) -> None:
        """Shut down gracefully, so that every reply reaches its peer.

        Stops accepting, waits for the messages being handled, and half-closes
        each connection; the peer closes it after it has read everything.
        Sessions that remain after ``timeout_ms`` stay open.
        """
        if self._server is not None:
            self._server.close()
        try:
            async with asyncio.timeout(timeout_ms / 1_000):
                for session in self.sessions:
                    await session.finish()
        except TimeoutError:
            logging.warning("event=finish_timeout open=%d", len(self.sessions))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        if self._connections >= self._max_connections:
            self._handler.rejected(ProtocolFailure("too many connections"))
            writer.transport.abort()
            return
        self._connections += 1
        try:
            session = await self._handshake(reader, writer)
            if session is not None:
                await self._run_session(session, reader)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._connections -= 1
            writer.close()
            with suppress(OSError):
                await writer.wait_closed()

    async def _handshake(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> Session | None:
        try:
            with RunningTimeout(HELLO_TIMEOUT_MS / 1_000):
                first = await self._read_frame(reader)
        except TimeoutError:
            self._handler.rejected(
                ProtocolFailure("no Hello received before the timeout")
            )
            return None
        match first:
            case Ok(frame) if isinstance(frame.message, idl.Hello):
                return Session(frame.message, writer)
            case Ok(frame):
                name = type(frame.message).__name__
                self._handler.rejected(
                    ProtocolFailure(f"received {name} before Hello")
                )
            case Err(failure):
                self._handler.rejected(failure)
        return None

    async def _run_session(
        self, session: Session, reader: asyncio.StreamReader
    ) -> None:
        self._sessions.add(session)
        self._handler.connected(session)
        try:
            await self._receive(session, reader)
        finally:
            session.closed.set()
            self._sessions.discard(session)
            self._handler.disconnected(session)

    async def _receive(
        self, session: Session, reader: asyncio.StreamReader
    ) -> None:
        clock = asyncio.get_running_loop().time
        while True:
            match await self._read_frame(reader):
                case Ok(frame):
                    session.last_received_s = clock()
                    if not isinstance(frame.message, idl.Heartbeat):
                        self._dispatch(session, frame)
                case Err(failure):
                    self._handler.rejected(failure)
                    return

    async def _read_frame(
        self, reader: asyncio.StreamReader
    ) -> Result[Frame, ProtocolFailure]:
        """Read a frame; one that has begun has to end in time."""
        found = await read_length(reader)
        if isinstance(found, Err):
            return found
        length = found.ok_value
        try:
            with RunningTimeout(FRAME_TIMEOUT_S):
                if length <= SMALL_FRAME_BYTES:
                    return decode(await reader.readexactly(length))
                with self._memory.lease() as lease:
                    await take_when_free(
                        lease, Use.BODY, length, 2 * FRAME_TIMEOUT_S
                    )
                    return decode(await reader.readexactly(length))
        except TimeoutError:
            return Err(ProtocolFailure("frame not received in time"))

    def _dispatch(self, session: Session, frame: Frame) -> None:
        task = asyncio.create_task(self._handle(session, frame))
        session.tasks.add(task)
        task.add_done_callback(session.tasks.discard)

    async def _handle(self, session: Session, frame: Frame) -> None:
        try:
            await self._handler.handle(
                session, frame.correlation, frame.message
            )
        except Failure as failure:
            await session.send(frame.correlation, refusal_message(failure))
        except Exception:
            name = type(frame.message).__name__
            if self._log_limit.admit():
                logging.exception(
                    "event=handler_failed message=%s omitted=%d",
                    name,
                    self._log_limit.omitted,
                )
            await session.send(
                frame.correlation, refusal_message(UnknownOutcome(name))
            )
