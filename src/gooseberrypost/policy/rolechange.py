"""Role change: orders that bring an engine to its scheduled role and model.

>>> engine = EngineState(role="decode", model="m", ready=True)
>>> assignment = Assignment("prefill", "m")
>>> next_change(assignment, engine, may_order=True)
EngineChange(role='prefill', model='')
>>> next_change(assignment, engine, may_order=False) is None
True
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from gooseberrypost.sheet.schedule import Assignment

if TYPE_CHECKING:
    from collections.abc import Collection

LOAD_MODEL = "load_model"
SET_ROLE = "set_role"


class EngineState(NamedTuple):
    """State of an engine as observed by its agent."""

    role: str
    """Empty while unknown."""
    model: str
    """Empty while unknown."""
    ready: bool
    """The server is up, and its role and model are known."""
    unconfirmed_kinds: Collection[str] = ()
    """Kinds of orders that were sent and whose outcome is unknown."""


class EngineChange(NamedTuple):
    """Orders for an engine: load the model first, then set the role.

    An empty field means that there is no such order.
    """

    role: str
    model: str


def next_change(
    assignment: Assignment | None, engine: EngineState, *, may_order: bool
) -> EngineChange | None:
    """Return the orders that bring an engine to its assignment, if any.

    ``None`` means that there is nothing to order now. An order of unknown
    outcome is repeated. ``may_order`` is whether the agent has the authority
    to give orders; without it the engine keeps its role, because a drained
    engine would serve neither the old role nor the new one.
    """
    if assignment is None or not may_order or not engine.ready:
        return None
    model_differs = assignment.model not in ("", engine.model)
    load_model = model_differs or LOAD_MODEL in engine.unconfirmed_kinds
    set_role = (
        assignment.role != engine.role or SET_ROLE in engine.unconfirmed_kinds
    )
    change = EngineChange(
        assignment.role if set_role else "",
        (assignment.model or engine.model) if load_model else "",
    )
    return change if any(change) else None
