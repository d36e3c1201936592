"""Hands an accepted configuration over to running processes.

A change that only the key-value service holds would stay unknown if that
service failed at once. The operator command therefore confirms that processes
have it, which pass it on among themselves.
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
    """Give a peer what it lacks; returns whether it has the version."""
    answer = await pull(pool, address, document.version, PUSH_TIMEOUT_MS)
    if not isinstance(answer, Ok):
        return False
    version = answer.ok_value.version
    if version >= document.version:
        return True
    message = delta_message(document.delta_since(version), pool.hello)
    reply = await pool.request(address, message, PUSH_TIMEOUT_MS)
    return isinstance(reply, Ok) and isinstance(reply.ok_value, idl.Ok)


async def push_to_all(
    pool: ChannelPool, addresses: Sequence[str], document: Document
) -> int:
    """Push to each address at once; returns how many have the version."""
    pushes = [push_document(pool, one, document) for one in addresses]
    return sum(await asyncio.gather(*pushes))
