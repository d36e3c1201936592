"""Validation of received messages before a controller handles them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from gooseberrypost.errors import DeadlinePassed, MalformedRequest, NotRun
from gooseberrypost.identity import Attempt
from gooseberrypost.wire.defaults import fill_defaults
from gooseberrypost.wire.listener import refusal_message

if TYPE_CHECKING:
    from gooseberrypost.wire.dispatch import Dispatcher, MessageHandler
    from gooseberrypost.wire.listener import Session

NON_NEGATIVE_FIELDS: Final = (
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
"""Message fields that must not be negative."""


def validation_error(message: Any) -> NotRun | None:
    """Return why a message about an attempt is refused, if it is."""
    if not message.key or message.attempt < 1:
        return MalformedRequest("key and attempt are required")
    for name in NON_NEGATIVE_FIELDS:
        if getattr(message, name, 0) < 0:
            return MalformedRequest(f"{name} must not be negative")
    if getattr(message, "deadline_ms", 1) == 0:
        return DeadlinePassed("the deadline has passed")
    return None


def register_validated(
    dispatcher: Dispatcher, message_type: type, handler: MessageHandler
) -> None:
    """Register a handler that gets valid messages only.

    Other messages are refused before they reach it.
    """

    async def validated(session: Session, correlation: int, req: Any) -> None:
        fill_defaults(req)
        failure = validation_error(req)
        if failure is not None:
            await session.send(correlation, refusal_message(failure))
            return
        await handler(session, correlation, req)

    dispatcher.register(message_type, validated)


def attempt_of(message: Any) -> Attempt:
    """Return the attempt that a message is about."""
    return Attempt(message.key, message.attempt)
