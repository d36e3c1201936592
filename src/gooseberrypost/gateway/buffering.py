"""Answers that are read completely before any of it is forwarded."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from gooseberrypost.gateway.transport import (
    SERVER_ERROR_STATUS,
    AnswerLost,
)
from gooseberrypost.memorywait import take_when_free
from gooseberrypost.state.memorybudget import COVERED_BYTES
from gooseberrypost.state.memoryuse import Use

if TYPE_CHECKING:
    from gooseberrypost.gateway.transport import Answer
    from gooseberrypost.state.memorybudget import Lease

MAX_ANSWER_BYTES: Final = 8 * 1024 * 1024
"""Largest answer that is buffered in memory."""


JOINED_BYTES: Final = 64 * 1024
"""Size up to which a body is kept in parts and joined."""


class AnswerTooLarge(AnswerLost):
    """The body of an answer exceeds the limit; the request may have run."""

    code = "answer_too_large"


@dataclass(slots=True, frozen=True)
class BufferedAnswer:
    """Complete answer of a backend server."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes | bytearray

    @property
    def is_server_error(self) -> bool:
        """Whether the server reports that it failed the request."""
        return self.status >= SERVER_ERROR_STATUS


async def buffer_answer(
    answer: Answer, memory: Lease, wait_s: float
) -> BufferedAnswer:
    """Read an answer completely; its bytes stay with the lease.

    Waits for memory at most ``wait_s`` seconds, as the server has run the
    request. Raises ``AnswerTooLarge`` beyond ``MAX_ANSWER_BYTES`` or without
    memory, and ``AnswerLost`` if the answer is unsigned or truncated.
    """
    body = _AnswerBody(memory, wait_s)
    try:
        # A known length is taken as a whole: of many answers in part that
        # wait for each other's memory none would end.
        if answer.length and answer.length > COVERED_BYTES:
            await body.reserve(answer.length)
            body.allocate(answer.length)
        async for chunk in answer.chunks:
            await body.append(chunk)
        if not answer.is_signed:
            raise AnswerLost(f"unsigned answer with status {answer.status}")
    except BaseException:
        body.release()
        raise
    return BufferedAnswer(answer.status, answer.headers, body.join())


class _AnswerBody:
    """Body of an answer in parts, within a lease."""

    __slots__ = (
        "_due_s",
        "_memory",
        "_parts",
        "_reserved",
        "_size",
        "_whole",
    )

    def __init__(self, memory: Lease, wait_s: float) -> None:
        self._memory = memory
        self._due_s = asyncio.get_running_loop().time() + wait_s
        self._parts: list[bytes] = []
        self._size = 0
        self._reserved = COVERED_BYTES
        """Size that the answer has memory for."""
        self._whole: bytearray | None = None
        """Body of known length, of which ``_size`` bytes have arrived."""

    async def append(self, chunk: bytes) -> None:
        start = self._size
        self._size += len(chunk)
        if self._size > self._reserved:
            await self.reserve(self._size)
        if self._whole is not None:
            self._whole[start : self._size] = chunk
        else:
            self._parts.append(chunk)

    def allocate(self, size: int) -> None:
        """Prepare for a body of a size that has been reserved.

        Parts that are joined at the end would take twice the memory of a
        large body.
        """
        if size > JOINED_BYTES:
            self._whole = bytearray(size)

    async def reserve(self, size: int) -> None:
        """Have memory for a body of a size."""
        if size > MAX_ANSWER_BYTES:
            raise AnswerTooLarge(f"body exceeds {MAX_ANSWER_BYTES} bytes")
        more = size - self._reserved
        if more <= 0:
            return
        left_s = self._due_s - asyncio.get_running_loop().time()
        if not await take_when_free(self._memory, Use.ANSWER, more, left_s):
            raise AnswerTooLarge("no memory for the answer in time")
        self._reserved += more

    def release(self) -> None:
        """Give back the memory of an answer that is not used."""
        self._parts.clear()
        self._whole = None
        self._memory.give(Use.ANSWER, self._reserved - COVERED_BYTES)

    def join(self) -> bytes | bytearray:
        if self._whole is None:
            return b"".join(self._parts)
        del self._whole[self._size :]
        return self._whole
