"""Decision log of the agent: one line of key=value pairs per decision."""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging

if TYPE_CHECKING:
    from gooseberrypost.errors import Failure


def format_event(event: str, **fields: object) -> str:
    """Format an event as key=value pairs.

    >>> format_event("cancel", key="k", attempt=1, reason="caller_gone")
    'event=cancel key=k attempt=1 reason=caller_gone'
    """
    pairs = [
        f"{name}={_format_value(value)}" for name, value in fields.items()
    ]
    return " ".join([f"event={event}", *pairs])


def log_decision(event: str, **fields: object) -> None:
    """Log a decision."""
    logging.info("%s", format_event(event, **fields))


def log_refusal(event: str, failure: Failure, **fields: object) -> None:
    """Log a refusal with the code and detail of its failure."""
    log_decision(event, **fields, reason=failure.code, detail=failure.detail)


def _format_value(value: object) -> str:
    text = str(value)
    if text and not any(c.isspace() or c in '"=' for c in text):
        return text
    return '"' + text.replace('"', "'").replace("\n", " ") + '"'
