"""HTTP sessions to the backend server, without automatic retries."""

from __future__ import annotations

from typing import Final

import aiohttp

from gooseberrypost.answerprotocol import new_connector
from gooseberrypost.singlesend import disable_automatic_retry

CONNECT_TIMEOUT_MS: Final = 1_000


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
