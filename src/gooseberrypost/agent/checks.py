"""Checks of received messages before a controller acts on them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from thriftpy2.thrift import TType

from gooseberrypost.errors import DeadlinePassed, MalformedRequest, NotRun
from gooseberrypost.identity import Attempt
from gooseberrypost.wire.listener import refusal_message

if TYPE_CHECKING:
    from gooseberrypost.wire.dispatch import Dispatcher, MessageHandler
    from gooseberrypost.wire.listener import Session

DEFAULTS: Final[dict[int, Any]] = {
    TType.BOOL: False,
    TType.I32: 0,
    TType.I64: 0,
    TType.STRING: "",
    TType.BINARY: b"",
}
COUNTS: Final = (
    "deadline_ms",
    "expected_start_ms",
    "first_sequence",
    "max_tokens",
    "next_sequence",
    "pieces",
    "transfer_kb",
    "transfer_timeout_ms",
    "ttl_ms",
)
"""Fields that must not be negative."""


def fill_defaults(message: Any) -> None:
    """Set absent scalar fields to their zero value.

    >>> from gooseberrypost.wire.messages import idl
    >>> message = idl.Cancel(key="k")
    >>> fill_defaults(message)
    >>> message.attempt
    0
    """
    for spec in message.thrift_spec.values():
        if getattr(message, spec[1]) is None and spec[0] in DEFAULTS:
            setattr(message, spec[1], DEFAULTS[spec[0]])


def fault_of(message: Any) -> NotRun | None:
    """Reason to refuse a message that names an attempt."""
    if not message.key or message.attempt < 1:
        return MalformedRequest("key and attempt are required")
    for name in COUNTS:
        if getattr(message, name, 0) < 0:
            return MalformedRequest(f"{name} is negative")
    if getattr(message, "deadline_ms", 1) == 0:
        return DeadlinePassed("no time is left")
    return None


def register_checked(
    dispatcher: Dispatcher, message_type: type, handler: MessageHandler
) -> None:
    """Register a handler that sees well-formed messages only."""

    async def checked(session: Session, correlation: int, req: Any) -> None:
        fill_defaults(req)
        fault = fault_of(req)
        if fault is not None:
            await session.send(correlation, refusal_message(fault))
            return
        await handler(session, correlation, req)

    dispatcher.register(message_type, checked)


def attempt_of(message: Any) -> Attempt:
    """Attempt that a message names."""
    return Attempt(message.key, message.attempt)
