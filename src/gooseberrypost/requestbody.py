"""Bodies of requests, read under the memory budget at a minimum rate."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from aiohttp import web

from gooseberrypost.clientrefusals import Cause
from gooseberrypost.errors import (
    BodyTooLarge,
    MalformedRequest,
    NotRun,
    RequestIncomplete,
)
from gooseberrypost.state.memorybudget import COVERED_BYTES
from gooseberrypost.state.memoryuse import Holder, ShedClass, Use
from gooseberrypost.timeouts import RunningTimeout

if TYPE_CHECKING:
    from collections.abc import Callable

    from gooseberrypost.clientrefusals import ClientRefusals
    from gooseberrypost.state.memorybudget import Lease

MIN_RATE_BYTES_PER_S: Final = 64 * 1024
"""Rate below which a body is refused after the grace period.

A tenth of the slowest link of a gateway (5 Mbit/s) that 10 clients share.
"""
BLOCK_BYTES: Final = 64 * 1024
"""Size of the blocks in which a body is kept until it is whole.

Bodies that grow in one piece each leave the allocator with gaps: 40 of them
took 41 MB within a budget of 21 MB.
"""
STALLED_S: Final = 0.5
"""Time without a byte after which a body ranks as stalled."""
MEMORY_RETRY_AFTER_MS: Final = 500
"""``Retry-After`` of requests that the memory budget has no room for."""
DISCARD_S: Final = 1.0
"""Time to read and discard a refused body before the connection closes."""
CONTINUE_LINE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"


class MemoryExhausted(NotRun):
    """The memory budget has no room for the request."""

    code = "memory_exhausted"

    def __init__(self, detail: str) -> None:
        super().__init__(detail, retry_after_ms=MEMORY_RETRY_AFTER_MS)


class BodyReader(Holder):
    """Reads the body of one request."""

    __slots__ = (
        "_blocks",
        "_content",
        "_grace_s",
        "_lease",
        "_limit",
        "_loop",
        "_received_s",
        "_request",
        "_size",
        "_started_s",
    )

    def __init__(
        self,
        request: web.BaseRequest,
        lease: Lease,
        max_bytes: int,
        grace_s: float,
    ) -> None:
        self._request = request
        self._content = request.content
        self._lease = lease
        self._limit = max_bytes
        self._grace_s = grace_s
        """Time before the minimum rate counts, and longest wait for a byte."""
        self._blocks = [bytearray()]
        self._size = 0
        self._loop = asyncio.get_running_loop()
        self._started_s = self._received_s = self._loop.time()

    def shed_rank(self) -> tuple[ShedClass, float] | None:
        """Rank by the time without a byte, otherwise by the relative rate."""
        now_s = self._loop.time()
        silent_s = now_s - self._received_s
        if silent_s >= STALLED_S:
            return ShedClass.STALLED, -silent_s
        size = self._request.content_length or self._limit
        took_s = max(now_s - self._started_s, 1e-3)
        return ShedClass.SLOW, self._size / size / took_s

    def shed(self) -> None:
        """Free what was read and refuse the request."""
        self._blocks.clear()
        self._content.set_exception(MemoryExhausted("no memory for the body"))

    async def read(self) -> bytes:
        """Return the body; raises a failure that says it has not run."""
        if (self._request.content_length or 0) > self._limit:
            raise self._too_large()
        try:
            if self._content.is_eof():
                if self._content.total_bytes > COVERED_BYTES:
                    self._take(self._content.total_bytes)
                elif self._content.total_bytes > self._limit:
                    raise self._too_large()
                return self._content.read_nowait()
            await self._continue()
            self._lease.holder = self
            await self._read_pieces()
            return b"".join(self._blocks)
        except web.RequestPayloadError as exc:
            raise MalformedRequest(f"invalid body: {exc}") from exc
        finally:
            self._lease.holder = None
            # The traceback of a failure would keep it until the answer.
            self._blocks.clear()

    async def _continue(self) -> None:
        """Ask a client for its body that waits to be asked."""
        if expects_continue(self._request):
            writer = self._request.writer
            await writer.write(CONTINUE_LINE)
            # Errors can still be answered: no part of the answer was sent.
            writer.output_size = 0

    async def _read_pieces(self) -> None:
        while not self._content.at_eof():
            try:
                with RunningTimeout(self._allowed_s()):
                    piece = await self._content.readany()
            except TimeoutError as exc:
                raise RequestIncomplete("body not received in time") from exc
            self._take(len(piece))
            self._append(piece)
            self._received_s = self._loop.time()

    def _append(self, piece: bytes) -> None:
        if len(self._blocks[-1]) >= BLOCK_BYTES:
            self._blocks.append(bytearray())
        self._blocks[-1] += piece
        self._size += len(piece)

    def _allowed_s(self) -> float:
        """Return the time in which the next bytes have to arrive."""
        earned_s = self._size / MIN_RATE_BYTES_PER_S
        left_s = self._started_s + self._grace_s + earned_s - self._loop.time()
        return min(max(left_s, 0.0), self._grace_s)

    def _take(self, size: int) -> None:
        if self._size + size > self._limit:
            raise self._too_large()
        if size and not self._lease.take(Use.BODY, size):
            raise MemoryExhausted("no memory for the body")

    def _too_large(self) -> BodyTooLarge:
        return BodyTooLarge(f"body exceeds {self._limit} bytes")


def expects_continue(request: web.BaseRequest) -> bool:
    """Whether the client waits to be asked for the body."""
    expected = request.headers.get("Expect", "")
    return (
        expected.lower() == "100-continue" and not request.content.total_bytes
    )


def cause_of(failure: NotRun) -> Cause | None:
    """Return the cause of a refused body; None for other failures."""
    match failure:
        case BodyTooLarge():
            return Cause.BODY_TOO_LARGE
        case RequestIncomplete():
            return Cause.SLOW_BODY
        case MemoryExhausted():
            return Cause.MEMORY
        case MalformedRequest():
            return Cause.MALFORMED
    return None


class BodyDiscard:
    """Reads and discards the rest of bodies whose requests were answered.

    Closing at once would reset the connection, so that clients that still
    send would not see the answer.
    """

    __slots__ = ("_max_bytes", "_refusals")

    def __init__(
        self, refusals: ClientRefusals, max_bytes: Callable[[], int]
    ) -> None:
        self._refusals = refusals
        self._max_bytes = max_bytes
        """Largest body of legal size; what exceeds it is not read."""

    async def run(self, request: web.BaseRequest) -> None:
        """Discard a body; the connection closes if it does not end."""
        content = request.content
        if content.is_eof():
            if content.total_bytes:
                content.read_nowait()
            return
        if expects_continue(request):
            # The client may send the body or the next request, so what comes
            # next is not known.
            return
        end = content.total_bytes + self._max_bytes()
        try:
            async with asyncio.timeout(DISCARD_S):
                while await content.readany() and content.total_bytes < end:
                    pass
        except (TimeoutError, NotRun, web.RequestPayloadError):
            pass
        if not content.is_eof():
            client = request.remote or ""
            self._refusals.record(Cause.DISCARD, client)
