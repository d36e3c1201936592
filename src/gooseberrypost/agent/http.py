"""HTTP sessions towards the backend server that send each request once."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import aiohttp

from gooseberrypost.errors import ConnectionLost

if TYPE_CHECKING:
    from aiohttp import ClientHandlerType, ClientRequest, ClientResponse

CONNECT_TIMEOUT_MS: Final = 1_000


async def send_once(
    req: ClientRequest, handler: ClientHandlerType
) -> ClientResponse:
    """Fail with ``ConnectionLost`` where aiohttp would send again.

    aiohttp repeats GET, PUT and DELETE after a lost connection, although the
    server may have executed the first one.
    """
    try:
        return await handler(req)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as exc:
        raise ConnectionLost(repr(exc)) from exc


def open_session(address: str) -> aiohttp.ClientSession:
    """Open a session whose paths are relative to ``host:port``.

    Each request has its own connection: on a kept one that the server has
    just closed, a request fails although it was never received.
    """
    return aiohttp.ClientSession(
        base_url=f"http://{address}",
        connector=aiohttp.TCPConnector(limit=0, force_close=True),
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_MS / 1_000
        ),
        middlewares=(send_once,),
        auto_decompress=False,
    )
