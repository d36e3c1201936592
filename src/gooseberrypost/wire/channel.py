"""Client side of internal connections: channels, reply streams and a pool."""

from __future__ import annotations

import asyncio
import itertools
from contextlib import asynccontextmanager, suppress
from typing import TYPE_CHECKING, Any, Final

from result import Err, Ok, Result

from gooseberrypost.address import split_address
from gooseberrypost.errors import (
    ConnectionLost,
    Failure,
    PeerUnreachable,
    ProtocolFailure,
    TimedOut,
    failure_from_code,
)
from gooseberrypost.timeouts import RunningTimeout
from gooseberrypost.wire.codec import Frame, encode, read_frame
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

HEARTBEAT_INTERVAL_MS: Final = 1_000
CONNECT_TIMEOUT_MS: Final = 1_000
MAX_TIMER_DELAY_MS: Final = 20
"""Delay of a timeout beyond which this process has paused, in ms."""


def failure_from_refusal(message: Any) -> Failure | None:
    """Return the failure in a ``Refused`` message; ``None`` for any other."""
    if not isinstance(message, idl.Refused):
        return None
    failure = failure_from_code(message.code, message.detail)
    failure.retry_after_ms = message.retry_after_ms or None
    return failure


class ReplyStream:
    """Replies to one request, in the order in which they were received."""

    __slots__ = ("_queue", "correlation")

    def __init__(self, correlation: int) -> None:
        self.correlation = correlation
        self._queue: asyncio.Queue[Result[Any, Failure]] = asyncio.Queue()

    def put(self, item: Result[Any, Failure]) -> None:
        """Append a reply, or the failure that ends the stream."""
        self._queue.put_nowait(item)

    async def next(self, timeout_ms: float) -> Result[Any, Failure]:
        """Return the next reply, or ``TimedOut`` after ``timeout_ms``.

        If the timeout itself is noticed late, this process has paused, and
        the reply may be waiting to be read. The wait is then extended by the
        pause, at most to twice its length.
        """
        clock = asyncio.get_running_loop().time
        due_s = clock() + timeout_ms / 1_000
        reply = await self._next_within(timeout_ms)
        late_ms = (clock() - due_s) * 1_000
        if reply is None and late_ms > MAX_TIMER_DELAY_MS:
            reply = await self._next_within(min(late_ms, timeout_ms))
        if reply is None:
            return Err(TimedOut(f"no reply within {timeout_ms:.0f} ms"))
        return reply

    async def _next_within(
        self, timeout_ms: float
    ) -> Result[Any, Failure] | None:
        try:
            async with asyncio.timeout(timeout_ms / 1_000):
                return await self._queue.get()
        except TimeoutError:
            return None


class Channel:
    """Connection to a peer that multiplexes concurrent requests.

    Replies are assigned to their request by the correlation id.
    """

    __slots__ = (
        "_correlation_ids",
        "_failure",
        "_reader",
        "_streams",
        "_tasks",
        "_writer",
        "address",
        "hello",
    )

    def __init__(
        self,
        address: str,
        hello: Any,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.address = address
        self.hello = hello
        self._reader = reader
        self._writer = writer
        self._correlation_ids = itertools.count(1)
        self._streams: dict[int, ReplyStream] = {}
        self._failure: Failure | None = None
        self._tasks: list[asyncio.Task[None]] = []

    @classmethod
    async def connect(
        cls, address: str, hello: Any, timeout_ms: float = CONNECT_TIMEOUT_MS
    ) -> Result[Channel, PeerUnreachable]:
        """Connect to ``host:port`` and send ``hello``.

        Delays of this process do not count towards the timeout.
        """
        try:
            host, port = split_address(address)
            with RunningTimeout(timeout_ms / 1_000):
                reader, writer = await asyncio.open_connection(host, port)
        except (OSError, TimeoutError, ValueError) as exc:
            return Err(PeerUnreachable(f"{address}: {exc!r}"))
        channel = cls(address, hello, reader, writer)
        writer.write(encode(Frame(0, hello)))
        channel._start_tasks()
        return Ok(channel)

    @property
    def is_open(self) -> bool:
        """Whether the connection is usable: neither failed nor closed."""
        return self._failure is None

    async def request(
        self, message: Any, timeout_ms: float
    ) -> Result[Any, ConnectionLost | TimedOut | ProtocolFailure]:
        """Send a message and wait for its single reply.

        A ``Refused`` message is returned as an ``Ok`` value; convert it with
        ``failure_from_refusal``.
        """
        async with self.stream(message) as replies:
            return await replies.next(timeout_ms)

    @asynccontextmanager
    async def stream(self, message: Any) -> AsyncIterator[ReplyStream]:
        """Send a message and yield the stream of its replies."""
        correlation = next(self._correlation_ids)
        replies = ReplyStream(correlation)
        self._streams[correlation] = replies
        try:
            match await self._write(Frame(correlation, message)):
                case Err(failure):
                    replies.put(Err(failure))
            yield replies
        finally:
            self._streams.pop(correlation, None)

    async def send(self, message: Any) -> Result[None, Failure]:
        """Send a message that has no reply."""
        return await self._write(Frame(0, message))

    async def close(self) -> None:
        """Close the connection; pending requests get ``ConnectionLost``."""
        for task in self._tasks:
            task.cancel()
        self._fail(ConnectionLost(f"{self.address}: closed locally"))
        self._writer.close()
        with suppress(OSError, asyncio.TimeoutError):
            async with asyncio.timeout(1):
                await self._writer.wait_closed()

    def _start_tasks(self) -> None:
        self._tasks = [
            asyncio.create_task(self._receive()),
            asyncio.create_task(self._send_heartbeats()),
        ]

    async def _write(self, frame: Frame) -> Result[None, Failure]:
        if self._failure is not None:
            # The connection failed before anything was written, so the message
            # was certainly not delivered.
            return Err(PeerUnreachable(f"{self.address}: {self._failure}"))
        try:
            self._writer.write(encode(frame))
            await self._writer.drain()
        except OSError as exc:
            self._fail(ConnectionLost(f"{self.address}: {exc!r}"))
            return Err(ConnectionLost(f"{self.address}: {exc!r}"))
        except ProtocolFailure as failure:
            return Err(failure)
        return Ok(None)

    async def _receive(self) -> None:
        try:
            while True:
                match await read_frame(self._reader):
                    case Ok(frame):
                        self._deliver(frame)
                    case Err(failure):
                        self._fail(failure)
                        self._writer.close()
                        return
        except (OSError, asyncio.IncompleteReadError) as exc:
            self._fail(ConnectionLost(f"{self.address}: {exc!r}"))
            self._writer.close()

    def _deliver(self, frame: Frame) -> None:
        replies = self._streams.get(frame.correlation)
        if replies is not None:
            replies.put(Ok(frame.message))

    def _fail(self, failure: Failure) -> None:
        if self._failure is None:
            self._failure = failure
        for replies in self._streams.values():
            replies.put(Err(failure))

    async def _send_heartbeats(self) -> None:
        """Send heartbeats while requests are pending."""
        heartbeat = idl.Heartbeat(incarnation=self.hello.incarnation)
        while self._failure is None:
            await asyncio.sleep(HEARTBEAT_INTERVAL_MS / 1_000)
            if self._streams:
                await self._write(Frame(0, heartbeat))


class ChannelPool:
    """Channels by address, opened on demand and reopened after a failure."""

    __slots__ = ("_channels", "_locks", "hello")

    def __init__(self, hello: Any) -> None:
        self.hello = hello
        self._channels: dict[str, Channel] = {}
        self._locks: dict[str, asyncio.Lock] = {}

    async def get(
        self, address: str, timeout_ms: float = CONNECT_TIMEOUT_MS
    ) -> Result[Channel, PeerUnreachable]:
        """Return an open channel to ``host:port``, connecting if needed."""
        async with self._locks.setdefault(address, asyncio.Lock()):
            channel = self._channels.get(address)
            if channel is not None and channel.is_open:
                return Ok(channel)
            opened = await Channel.connect(address, self.hello, timeout_ms)
            if isinstance(opened, Ok):
                self._channels[address] = opened.ok_value
            return opened

    async def request(
        self, address: str, message: Any, timeout_ms: float
    ) -> Result[Any, Failure]:
        """Send a request to a peer and wait for its single reply.

        Connects if needed.
        """
        match await self.get(address, min(timeout_ms, CONNECT_TIMEOUT_MS)):
            case Ok(channel):
                return await channel.request(message, timeout_ms)
            case Err(failure):
                return Err(failure)

    async def close(self) -> None:
        """Close every channel."""
        for channel in self._channels.values():
            await channel.close()
        self._channels.clear()
