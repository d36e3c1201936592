"""Waits for bytes of a memory budget."""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING

from gooseberrypost.timeouts import RunningTimeout

if TYPE_CHECKING:
    from gooseberrypost.state.memorybudget import Lease
    from gooseberrypost.state.memoryuse import Use


async def take_when_free(
    lease: Lease, use: Use, size: int, wait_s: float
) -> bool:
    """Take bytes, waiting for them in the order of the calls.

    Returns False if they are not free in time.
    """
    if lease.take(use, size):
        return True
    granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
    waiter = lease.wait(use, size, functools.partial(_set_done, granted))
    is_kept = False
    try:
        with RunningTimeout(max(wait_s, 0.0)):
            await granted
        is_kept = True
    except TimeoutError:
        return False
    finally:
        if not is_kept:
            lease.stop_waiting(waiter)
            if waiter.is_granted:
                lease.give(use, size)
    return True


def _set_done(fut: asyncio.Future[None]) -> None:
    if not fut.done():
        fut.set_result(None)
