"""Commands that ask a running process: ``status``, ``drain``, ``request``."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import click
from result import Err, Ok, Result

from gooseberrypost.cli.common import (
    REQUEST_TIMEOUT_MS,
    address_option,
    emit,
    json_option,
    opened_pool,
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
    message = run(_ask(address, idl.StatusRequest(), idl.Status))
    data = _fields(message)
    lines = [f"{name}: {value}" for name, value in data.items()]
    emit(data, "\n".join(lines), as_json)


@click.command()
@address_option
@click.option("--undo", is_flag=True, help="Take new work again.")
@json_option
def drain(address: str, undo: bool, as_json: bool) -> None:
    """Let a process finish its requests and take no new ones."""
    run(_ask(address, idl.Drain(draining=not undo), idl.Ok))
    text = "takes new work" if undo else "draining"
    emit({"address": address, "draining": not undo}, text, as_json)


@click.group()
def request() -> None:
    """Ask about single requests."""


@request.command()
@click.argument("request_id")
@address_option
@json_option
def explain(request_id: str, address: str, as_json: bool) -> None:
    """Show the decisions that an entry made for a request."""
    message = run(_ask(address, idl.Explain(key=request_id), idl.Explanation))
    lines = message.lines or []
    data = {"request_id": request_id, "lines": lines}
    emit(data, "\n".join(lines) or "no decision is remembered", as_json)


async def _ask(
    address: str, message: Any, expected: type
) -> Result[Any, Failure]:
    async with opened_pool() as pool:
        answer = await pool.request(address, message, REQUEST_TIMEOUT_MS)
    if isinstance(answer, Err):
        return answer
    reply = answer.ok_value
    failure = failure_from_refusal(reply)
    if failure is not None:
        return Err(failure)
    if not isinstance(reply, expected):
        name = type(reply).__name__
        return Err(ProtocolFailure(f"{name} in place of {expected.__name__}"))
    return Ok(reply)


def _fields(message: Any) -> dict[str, Any]:
    """Fields of a message, with those of its load in place."""
    found = {}
    for name in (spec[1] for spec in message.thrift_spec.values()):
        value = getattr(message, name)
        if isinstance(value, idl.Load):
            value = _fields(value)
        found[name] = value
    return found
