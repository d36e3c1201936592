"""Planned change of an engine's role and model: what to do next.

>>> engine = EngineState(role="decode", model="m", ready=True)
>>> wanted = Assignment("prefill", "m")
>>> next_change(wanted, engine, may_order=True)
Change(role='prefill', model='')
>>> next_change(wanted, engine, may_order=False) is None
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
    """An engine as its agent knows it."""

    role: str
    """Empty while it is not known."""
    model: str
    """Empty while it is not known."""
    ready: bool
    """The server is up and what it runs is known."""
    uncertain: Collection[str] = ()
    """Kinds of orders that were sent and whose effect is not known."""


class Change(NamedTuple):
    """Orders to give, the model before the role; empty: no such order."""

    role: str
    model: str


def next_change(
    wanted: Assignment | None, engine: EngineState, *, may_order: bool
) -> Change | None:
    """Orders that bring an engine to its assignment; ``None``: none now.

    An order whose effect is not known is given again. Without authority the
    engine goes on in its old role, because a drained one would serve neither.
    """
    if wanted is None or not may_order or not engine.ready:
        return None
    model_differs = wanted.model not in ("", engine.model)
    load = model_differs or LOAD_MODEL in engine.uncertain
    turn = wanted.role != engine.role or SET_ROLE in engine.uncertain
    change = Change(
        wanted.role if turn else "",
        (wanted.model or engine.model) if load else "",
    )
    return change if any(change) else None
