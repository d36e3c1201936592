"""HTTP sessions to the backend server, without automatic retries."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import aiohttp

from gooseberrypost.answerprotocol import new_connector
from gooseberrypost.errors import ConnectionLost

if TYPE_CHECKING:
    from aiohttp import ClientHandlerType, ClientRequest, ClientResponse

CONNECT_TIMEOUT_MS: Final = 1_000


async def disable_automatic_retry(
    req: ClientRequest, handler: ClientHandlerType
) -> ClientResponse:
    """Raise ``ConnectionLost`` where aiohttp would repeat the request.

    After a lost connection aiohttp repeats GET, PUT and DELETE, although the
    server may already have executed the request.
    """
    try:
        return await handler(req)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as exc:
        raise ConnectionLost(repr(exc)) from exc


def open_session(address: str) -> aiohttp.ClientSession:
    """Open a session whose paths are relative to ``host:port``."""
    return aiohttp.ClientSession(
        base_url=f"http://{address}",
        connector=new_connector(),
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_MS / 1_000
        ),
        middlewares=(disable_automatic_retry,),
        auto_decompress=False,
    )
