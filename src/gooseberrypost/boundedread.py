"""Reads the bodies of HTTP responses up to a limit.

A faulty peer may send bytes without end. A body beyond its limit fails like a
lost response, so its outcome is unknown, and closes the connection.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import aiohttp

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_CONTROL_BYTES: Final = 256 * 1024
"""Largest response to a call that returns a few fields."""
MAX_REPLY_BYTES: Final = 8 * 1024 * 1024
"""Largest reply of a backend server to its agent."""
MAX_STORE_BYTES: Final = 8 * 1024 * 1024
"""Largest response of a store, whose values have up to 1 MiB."""


class ResponseTooLarge(aiohttp.ClientPayloadError):
    """The body of a response exceeds its limit."""


async def read_bounded(
    response: aiohttp.ClientResponse,
    limit: int,
    on_data: Callable[[int], None] | None = None,
) -> bytes:
    """Read a body; raises ``ResponseTooLarge`` beyond ``limit`` bytes.

    ``on_data`` is called with the size of each part that arrives.
    """
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if on_data is not None:
            on_data(len(chunk))
        if len(body) > limit:
            response.close()
            raise ResponseTooLarge(f"body exceeds {limit} bytes")
    return bytes(body)
