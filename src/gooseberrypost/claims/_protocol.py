"""Runs the steps of the shard log protocol on a key-value service."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final, TypeVar

from result import Err, Result

from gooseberrypost.errors import Failure
from gooseberrypost.state.shard_log import Delete, Get, Put, StoreCall
from gooseberrypost.stores.keyvalue import Conflict, KeyValueStore

if TYPE_CHECKING:
    from collections.abc import Callable

    from gooseberrypost.state.shard_log import StoreSteps

RETRY_MIN_MS: Final = 50
RETRY_MAX_MS: Final = 1_000

T = TypeVar("T")


async def send_call(
    store: KeyValueStore, call: StoreCall
) -> Result[Any, Failure]:
    """Send one call of the protocol."""
    match call:
        case Get(key):
            return await store.get(key)
        case Put(key, value, version):
            return await store.put(key, value, version)
        case Delete(key, version):
            return await store.delete(key, version)


async def run_steps(
    steps: StoreSteps[T],
    store: KeyValueStore,
    on_call_done: Callable[[bool], None] = lambda answered: None,
) -> T:
    """Run the steps to their end, with a backoff after each failed call.

    ``on_call_done`` is called after each call with whether the service
    answered; a conflict counts as an answer.
    """
    pause_ms = RETRY_MIN_MS
    try:
        call = next(steps)
        while True:
            reply = await send_call(store, call)
            failed = isinstance(reply, Err) and not isinstance(
                reply.err_value, Conflict
            )
            on_call_done(not failed)
            if failed:
                await asyncio.sleep(pause_ms / 1_000)
                pause_ms = min(2 * pause_ms, RETRY_MAX_MS)
            else:
                pause_ms = RETRY_MIN_MS
            call = steps.send(reply)
    except StopIteration as stop:
        result: T = stop.value
        return result
