"""Lifecycle of a daemon: starting, serving, draining, stopped."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, Final

from mode import Service

from gooseberrypost.blackboard import Section

if TYPE_CHECKING:
    from gooseberrypost.blackboard import Blackboard

OWNER: Final = "LifecycleController"


class State(StrEnum):
    """Lifecycle state, which decides whether requests are accepted."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    STOPPED = "stopped"


class Lifecycle(Section):
    """Section with the process state; written by ``LifecycleController``."""

    __slots__ = ("state",)

    def __init__(self) -> None:
        super().__init__()
        self.state = State.STARTING


class LifecycleController(Service):
    """Owns the lifecycle section and performs its state transitions."""

    def __init__(self, board: Blackboard) -> None:
        super().__init__()
        board.add(Lifecycle(), OWNER)
        self._section = board.write(Lifecycle, OWNER)

    @property
    def section(self) -> Lifecycle:
        """Section owned by this controller; callers may only read it."""
        return self._section

    @property
    def state(self) -> State:
        """Current lifecycle state."""
        return self._section.state

    @property
    def is_draining(self) -> bool:
        """Whether new requests are refused."""
        return self.state in (State.DRAINING, State.STOPPED)

    def serve(self) -> None:
        """Accept requests; also cancels a drain."""
        self._set_state(State.SERVING)

    def drain(self) -> None:
        """Refuse new requests; requests in flight continue."""
        self._set_state(State.DRAINING)

    async def on_stop(self) -> None:
        """Enter the final state, in which every request is refused."""
        self._set_state(State.STOPPED)

    def _set_state(self, state: State) -> None:
        self._section.state = state
        self._section.notify()
