"""Commands for a running process: ``status``, ``drain`` and ``request``."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import click
from result import Err, Ok, Result

from gooseberrypost.cli.common import (
    REQUEST_TIMEOUT_MS,
    address_option,
    emit,
    json_option,
    open_pool,
    run,
)
from gooseberrypost.errors import ProtocolFailure
from gooseberrypost.wire.channel import failure_from_refusal
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from gooseberrypost.errors import Failure


@click.command()
@address_option
@json_option
def status(address: str, as_json: bool) -> None:
    """Show the state, version and load of a process."""
    message = run(_send(address, idl.StatusRequest(), idl.Status))
    data = _to_dict(message)
    lines = [f"{name}: {value}" for name, value in data.items()]
    emit(data, "\n".join(lines), as_json)


@click.command()
@address_option
@click.option("--undo", is_flag=True, help="Accept new requests again.")
@json_option
def drain(address: str, undo: bool, as_json: bool) -> None:
    """Make a process finish its requests and accept no new ones."""
    run(_send(address, idl.Drain(draining=not undo), idl.Ok))
    text = "accepts new requests" if undo else "draining"
    emit({"address": address, "draining": not undo}, text, as_json)


@click.group()
def request() -> None:
    """Inspect single requests."""


@request.command()
@click.argument("request_id")
@address_option
@json_option
def explain(request_id: str, address: str, as_json: bool) -> None:
    """Show the routing decisions of an entry for a request."""
    message = run(_send(address, idl.Explain(key=request_id), idl.Explanation))
    lines = message.lines or []
    data = {"request_id": request_id, "lines": lines}
    emit(
        data,
        "\n".join(lines) or "no decisions are stored for this request",
        as_json,
    )


async def _send(
    address: str, message: Any, expected: type
) -> Result[Any, Failure]:
    """Send a message and return the response, of the type ``expected``."""
    async with open_pool() as pool:
        result = await pool.request(address, message, REQUEST_TIMEOUT_MS)
    if isinstance(result, Err):
        return result
    response = result.ok_value
    failure = failure_from_refusal(response)
    if failure is not None:
        return Err(failure)
    if not isinstance(response, expected):
        name = type(response).__name__
        return Err(
            ProtocolFailure(f"received {name} instead of {expected.__name__}")
        )
    return Ok(response)


def _to_dict(message: Any) -> dict[str, Any]:
    """Return the fields of a message by name; its load is nested."""
    fields = {}
    for name in (spec[1] for spec in message.thrift_spec.values()):
        value = getattr(message, name)
        if isinstance(value, idl.Load):
            value = _to_dict(value)
        fields[name] = value
    return fields
