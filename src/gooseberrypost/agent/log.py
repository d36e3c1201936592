"""Decision log of the agent: one key=value line for each decision."""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging

if TYPE_CHECKING:
    from gooseberrypost.errors import Failure


def line(event: str, **fields: object) -> str:
    """Format a decision.

    >>> line("cancel", key="k", attempt=1, reason="caller_gone")
    'event=cancel key=k attempt=1 reason=caller_gone'
    """
    pairs = [f"{name}={_quoted(value)}" for name, value in fields.items()]
    return " ".join([f"event={event}", *pairs])


def decision(event: str, **fields: object) -> None:
    """Log a decision."""
    logging.info("%s", line(event, **fields))


def refusal(event: str, failure: Failure, **fields: object) -> None:
    """Log a refusal with its typed reason."""
    decision(event, **fields, reason=failure.code, detail=failure.detail)


def _quoted(value: object) -> str:
    text = str(value)
    if text and not any(c.isspace() or c in '"=' for c in text):
        return text
    return '"' + text.replace('"', "'").replace("\n", " ") + '"'
