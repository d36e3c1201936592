"""Pushes an accepted configuration to running processes.

If only the key-value service had the change and failed at once, no process
would get it. The operator command therefore pushes the change to processes,
which spread it among themselves, and confirms that they have it.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from result import Ok

from gooseberrypost.configsync.messages import delta_message, pull
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from collections.abc import Sequence

    from gooseberrypost.state.configuration import Document
    from gooseberrypost.wire.channel import ChannelPool

PUSH_TIMEOUT_MS: Final = 2_000


async def push_document(
    pool: ChannelPool, address: str, document: Document
) -> bool:
    """Push the changes that a peer lacks; true if it then has the version."""
    pulled = await pull(pool, address, document.version, PUSH_TIMEOUT_MS)
    if not isinstance(pulled, Ok):
        return False
    version = pulled.ok_value.version
    if version >= document.version:
        return True
    message = delta_message(document.delta_since(version), pool.hello)
    reply = await pool.request(address, message, PUSH_TIMEOUT_MS)
    return isinstance(reply, Ok) and isinstance(reply.ok_value, idl.Ok)


async def push_to_all(
    pool: ChannelPool, addresses: Sequence[str], document: Document
) -> int:
    """Push to all addresses concurrently; returns how many succeeded."""
    pushes = [push_document(pool, address, document) for address in addresses]
    return sum(await asyncio.gather(*pushes))
