"""Bodies of requests to servers, sent without a second copy of them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from aiohttp.payload import Payload

if TYPE_CHECKING:
    from aiohttp.abc import AbstractStreamWriter

PART_BYTES: Final = 32 * 1024
"""Largest part of a body that is written at once."""


class BodyPayload(Payload):
    """Body that is written in parts of ``PART_BYTES``.

    aiohttp copies a body in one piece to the buffer of the connection, and
    one of ``BytesIO`` to find its size.
    """

    _autoclose = True

    def __init__(self, body: bytes) -> None:
        super().__init__(body)
        self._size = len(body)

    def decode(self, encoding: str = "utf-8", errors: str = "strict") -> str:
        """Return the body as text."""
        return self._value.decode(encoding, errors)

    async def write(self, writer: AbstractStreamWriter) -> None:
        """Write the whole body."""
        await self.write_with_length(writer, None)

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Write the body up to a length, or all of it."""
        view = memoryview(self._value)[:content_length]
        for start in range(0, len(view), PART_BYTES):
            await writer.write(view[start : start + PART_BYTES])

    def release(self) -> None:
        """Let the body go, though aiohttp may still refer to its payload."""
        self._value = b""
