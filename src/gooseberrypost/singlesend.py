"""Client middleware with which aiohttp sends each request once."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

from gooseberrypost.errors import ConnectionLost

if TYPE_CHECKING:
    from aiohttp import ClientHandlerType, ClientRequest, ClientResponse


async def disable_automatic_retry(
    req: ClientRequest, handler: ClientHandlerType
) -> ClientResponse:
    """Raise ``ConnectionLost`` where aiohttp would repeat the request.

    After a lost connection aiohttp repeats GET, HEAD, PUT and DELETE, although
    the server may already have executed the request. If the second connection
    fails, the request even looks as if it had never been sent.
    """
    try:
        return await handler(req)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as exc:
        raise ConnectionLost(repr(exc)) from exc
