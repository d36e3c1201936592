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
    """What the process does with requests."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    STOPPED = "stopped"


class Lifecycle(Section):
    """State of the process; written by ``LifecycleController``."""

    __slots__ = ("state",)

    def __init__(self) -> None:
        super().__init__()
        self.state = State.STARTING


class LifecycleController(Service):
    """Owner of the lifecycle section."""

    def __init__(self, board: Blackboard) -> None:
        super().__init__()
        board.add(Lifecycle(), OWNER)
        self._section = board.write(Lifecycle, OWNER)

    @property
    def section(self) -> Lifecycle:
        """Section that this controller owns, for readers."""
        return self._section

    @property
    def state(self) -> State:
        """Current state."""
        return self._section.state

    @property
    def is_draining(self) -> bool:
        """Whether new requests are refused."""
        return self.state in (State.DRAINING, State.STOPPED)

    def serve(self) -> None:
        """Take requests, also after a drain that was called off."""
        self._enter(State.SERVING)

    def drain(self) -> None:
        """Refuse new requests; those in flight go on."""
        self._enter(State.DRAINING)

    async def on_stop(self) -> None:
        """Refuse everything."""
        self._enter(State.STOPPED)

    def _enter(self, state: State) -> None:
        self._section.state = state
        self._section.notify()
