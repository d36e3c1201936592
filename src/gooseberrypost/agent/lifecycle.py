"""Lifecycle of the agent: starting, serving, draining, stopped."""

from __future__ import annotations

import asyncio
from enum import StrEnum
from typing import TYPE_CHECKING, Any, Final

from mode import Service
from result import Err, Ok

from gooseberrypost.agent.log import decision
from gooseberrypost.blackboard import Blackboard, Section
from gooseberrypost.errors import Draining, NoCapacity, NotRun
from gooseberrypost.state.records import EngineRole, Kind

if TYPE_CHECKING:
    from gooseberrypost.agent.backend import Backend, LoadReport
    from gooseberrypost.settings.agent import AgentSettings

OWNER: Final = "LifecycleController"
FAILED_POLLS: Final = 2
"""Load polls in a row that must fail before the server counts as down."""


class Stage(StrEnum):
    """Stage in the life of the agent process."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    STOPPED = "stopped"


class DrainReason(StrEnum):
    """Who asked for no new work; each withdraws its own request only."""

    OPERATOR = "operator"
    SHUTDOWN = "shutdown"
    SERVER = "server_leaving"
    VM_LIST = "vm_leaving"
    ROLE_CHANGE = "role_change"


class Lifecycle(Section):
    """Whether and for what the agent takes work."""

    __slots__ = (
        "backend_up",
        "configuration_version",
        "crashes",
        "model",
        "reasons",
        "reconciled",
        "role",
        "stopped",
    )

    def __init__(self) -> None:
        super().__init__()
        self.reasons: set[DrainReason] = set()
        self.reconciled = False
        self.stopped = False
        self.backend_up = True
        self.crashes = 0
        self.role: EngineRole | None = None
        """``None`` until an order or the load report tells it."""
        self.model = ""
        self.configuration_version = 0

    @property
    def stage(self) -> Stage:
        """Stage that the other processes are told."""
        if self.stopped:
            return Stage.STOPPED
        if self.reasons:
            return Stage.DRAINING
        return Stage.SERVING if self.reconciled else Stage.STARTING

    def refusal(self, role: EngineRole, model: str = "") -> NotRun | None:
        """Reason to refuse new work in a role, if there is one."""
        if self.stopped or self.reasons:
            return Draining(",".join(sorted(self.reasons)) or "stopped")
        if not self.reconciled:
            return NoCapacity("agent is starting")
        if not self.backend_up:
            return NoCapacity("backend server is down")
        if self.role not in (None, role):
            return NoCapacity(f"role is {self.role}")
        if model and self.model not in ("", model):
            return NoCapacity(f"model is {self.model}")
        return None


class LifecycleController(Service):
    """Writer of the lifecycle section; watches the server and the VM list."""

    def __init__(
        self,
        cfg: AgentSettings,
        board: Blackboard,
        backend: Backend,
        vm_list: Any = None,
    ) -> None:
        super().__init__()
        self.lifecycle = Lifecycle()
        if cfg.backend.kind == Kind.PLAIN:
            self.lifecycle.role = EngineRole.PLAIN
        board.add(self.lifecycle, OWNER)
        self._cfg = cfg
        self._backend = backend
        self._vm_list = vm_list
        self._failed_polls = 0

    def drain(self, reason: DrainReason, wanted: bool) -> None:
        """Refuse new work for a reason, or withdraw that reason."""
        reasons = self.lifecycle.reasons
        if (reason in reasons) == wanted:
            return
        if wanted:
            reasons.add(reason)
        else:
            reasons.discard(reason)
        decision("drain", draining=bool(reasons), wanted=wanted, reason=reason)
        self.lifecycle.notify()

    def note_reconciled(self) -> None:
        """Note that the requests inside the server are known."""
        self.lifecycle.reconciled = True
        self.lifecycle.notify()

    def note_stopped(self) -> None:
        """Note that the agent takes and runs nothing any more."""
        self.lifecycle.stopped = True
        self.lifecycle.notify()

    def assigned(self, role: str, model: str) -> None:
        """Note the role and model that the server has; empty: unchanged."""
        if role in list(EngineRole):
            self.lifecycle.role = EngineRole(role)
        self.lifecycle.model = model or self.lifecycle.model
        self.lifecycle.notify()

    def configured(self, version: int) -> None:
        """Note the newest configuration version that was acted on."""
        if version > self.lifecycle.configuration_version:
            self.lifecycle.configuration_version = version

    def note_crash(self) -> None:
        """Note that the server is down until its load report succeeds."""
        self.lifecycle.crashes += 1
        self._failed_polls = FAILED_POLLS
        self._set_up(False)

    async def poll_load(self) -> None:
        """Read the load report once."""
        match await self._backend.load():
            case Ok(report):
                self._failed_polls = 0
                self._observe(report)
            case Err(failure):
                self._failed_polls += 1
                if self._failed_polls >= FAILED_POLLS:
                    self._set_up(False, failure.code)

    async def poll_vms(self) -> None:
        """Read the platform's VM list once; a failure changes nothing."""
        listed = await self._vm_list.list()
        if isinstance(listed, Err):
            return
        for record in listed.ok_value:
            if record.vm == self._cfg.vm:
                leaving = record.state == "leaving"
                self.drain(DrainReason.VM_LIST, leaving)

    def _observe(self, report: LoadReport) -> None:
        self._set_up(True)
        self.drain(DrainReason.SERVER, report.leaving)
        # The report lags: it must not undo an order that was carried out.
        if self.lifecycle.role is None:
            self.assigned(report.role, report.model)

    def _set_up(self, up: bool, reason: str = "") -> None:
        if self.lifecycle.backend_up != up:
            self.lifecycle.backend_up = up
            decision("backend", up=up, reason=reason)
            self.lifecycle.notify()

    @Service.task
    async def _watch_load(self) -> None:
        while not self.should_stop:
            await self.poll_load()
            await asyncio.sleep(self._cfg.load_poll_ms / 1_000)

    @Service.task
    async def _watch_vms(self) -> None:
        while self._vm_list is not None and not self.should_stop:
            await self.poll_vms()
            await asyncio.sleep(self._cfg.vm_poll_ms / 1_000)
