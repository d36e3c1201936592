"""Options, output and connections that the commands share."""

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


class AddressType(click.ParamType):
    """An IP number with port."""

    name = "address"

    def convert(self, value: Any, param: Any, ctx: Any) -> str:
        """Refuse anything else as a usage error."""
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
    type=AddressType(),
    required=True,
    help="Internal address of an entry or agent.",
)
store_option = click.option(
    "--key-value",
    "stores",
    type=AddressType(),
    multiple=True,
    required=True,
    help="Address of the key-value service; may be repeated.",
)
peer_option = click.option(
    "--peer",
    "peers",
    type=AddressType(),
    multiple=True,
    help="Process that confirms the change; may be repeated.",
)
apply_id_option = click.option(
    "--apply-id", default="", help="Id of an apply whose fate is unknown."
)
base_option = click.option(
    "--base",
    "base_file",
    type=FILE,
    help="Output of 'config show --json' that the edit started from.",
)


def run(work: Coroutine[Any, Any, Result[T, Failure]]) -> T:
    """Run a command; a failure ends the process with its exit code."""
    match asyncio.run(work):
        case Ok(value):
            return value
        case Err(failure):
            fail(failure)


def emit(data: Any, text: str, as_json: bool) -> None:
    """Print the data as one JSON document, or as text."""
    click.echo(json.dumps(data, sort_keys=True) if as_json else text)


def wall_clock_ms() -> int:
    """Milliseconds since 1970 UTC."""
    return time.time_ns() // 1_000_000


@asynccontextmanager
async def opened_store(
    addresses: tuple[str, ...],
) -> AsyncIterator[HttpKeyValueStore]:
    """Open a client of the key-value service for one command."""
    store = HttpKeyValueStore.from_addresses(addresses)
    try:
        yield store
    finally:
        await store.close()


@asynccontextmanager
async def opened_pool() -> AsyncIterator[ChannelPool]:
    """Open connections for one command."""
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
