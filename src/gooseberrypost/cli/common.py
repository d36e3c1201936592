"""Options, output and connections shared by the commands."""

from __future__ import annotations

import asyncio
import json
import random
import time
from contextlib import asynccontextmanager
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final, TypeVar

import click
from result import Err, Ok, Result

from gooseberrypost.address import parse_address
from gooseberrypost.cli.exit_codes import fail
from gooseberrypost.errors import Failure
from gooseberrypost.identity import new_incarnation
from gooseberrypost.stores.http import HttpKeyValueStore
from gooseberrypost.wire.channel import ChannelPool
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Coroutine

T = TypeVar("T")

FILE: Final = click.Path(path_type=Path)
REQUEST_TIMEOUT_MS: Final = 5_000
"""Time limit for the response of a process to one request."""


class AddressParam(click.ParamType):
    """An IP address with a port."""

    name = "address"

    def convert(self, value: Any, param: Any, ctx: Any) -> str:
        """Return the normalized address; fail with a usage error."""
        match parse_address(str(value)):
            case Ok(address):
                return str(address)
            case Err(failure):
                self.fail(failure.detail, param, ctx)


json_option = click.option(
    "--json", "as_json", is_flag=True, help="Print JSON."
)
address_option = click.option(
    "--address",
    type=AddressParam(),
    required=True,
    help="Internal address of an entry or agent.",
)
store_option = click.option(
    "--key-value",
    "stores",
    type=AddressParam(),
    multiple=True,
    required=True,
    help="Address of the key-value service. Can be repeated.",
)
peer_option = click.option(
    "--peer",
    "peers",
    type=AddressParam(),
    multiple=True,
    help="Address of a process to push the change to. Can be repeated.",
)
apply_id_option = click.option(
    "--apply-id",
    default="",
    help="Id of an earlier apply with unknown outcome, to retry it.",
)
base_option = click.option(
    "--base",
    "base_file",
    type=FILE,
    help="Output of 'config show --json' that the edit is based on.",
)


def run(command: Coroutine[Any, Any, Result[T, Failure]]) -> T:
    """Run a coroutine; on failure, exit with the code for the failure."""
    match asyncio.run(command):
        case Ok(value):
            return value
        case Err(failure):
            fail(failure)


def emit(data: Any, text: str, as_json: bool) -> None:
    """Print ``data`` as a JSON document, or else ``text``."""
    click.echo(json.dumps(data, sort_keys=True) if as_json else text)


def wall_clock_ms() -> int:
    """Return the current Unix time in milliseconds."""
    return time.time_ns() // 1_000_000


@asynccontextmanager
async def open_store(
    addresses: tuple[str, ...],
) -> AsyncIterator[HttpKeyValueStore]:
    """Open a client of the key-value service."""
    store = HttpKeyValueStore.from_addresses(addresses)
    try:
        yield store
    finally:
        await store.close()


@asynccontextmanager
async def open_pool() -> AsyncIterator[ChannelPool]:
    """Open a channel pool that identifies itself as an operator."""
    hello = idl.Hello(
        process_kind="operator",
        name="operator",
        incarnation=new_incarnation(random.SystemRandom()),
        zone="",
        address="",
    )
    pool = ChannelPool(hello)
    try:
        yield pool
    finally:
        await pool.close()
