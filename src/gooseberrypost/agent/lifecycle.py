"""Lifecycle of the agent, and health checks of its backend server."""

from __future__ import annotations

import asyncio
from enum import StrEnum
from typing import TYPE_CHECKING, Any, Final

from mode import Service
from result import Err, Ok

from gooseberrypost.agent.log import log_decision
from gooseberrypost.blackboard import Blackboard, Section
from gooseberrypost.errors import Draining, NoCapacity, NotRun
from gooseberrypost.state.records import EngineRole, Kind

if TYPE_CHECKING:
    from gooseberrypost.agent.backend import Backend, LoadReport
    from gooseberrypost.settings.agent import AgentSettings

OWNER: Final = "LifecycleController"
FAILED_POLLS_UNTIL_DOWN: Final = 2
"""Consecutive failed load polls after which the server counts as down."""


class Stage(StrEnum):
    """Lifecycle stage of the agent process."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    STOPPED = "stopped"


class DrainReason(StrEnum):
    """Reason to refuse new work.

    Several reasons can be active at a time. Withdrawing one leaves the others
    active.
    """

    OPERATOR = "operator"
    SHUTDOWN = "shutdown"
    SERVER = "server_leaving"
    VM_LIST = "vm_leaving"
    ROLE_CHANGE = "role_change"


class Lifecycle(Section):
    """Section that states whether the agent accepts work, and which."""

    __slots__ = (
        "backend_up",
        "configuration_version",
        "crashes",
        "drain_reasons",
        "model",
        "reconciled",
        "role",
        "stopped",
    )

    def __init__(self) -> None:
        super().__init__()
        self.drain_reasons: set[DrainReason] = set()
        """Active reasons to refuse new work; empty: not draining."""
        self.reconciled = False
        """Whether the requests that the engine ran at start are adopted."""
        self.stopped = False
        self.backend_up = True
        self.crashes = 0
        """Crashes of the backend server seen by this agent process."""
        self.role: EngineRole | None = None
        """``None`` until an order or a load report sets it."""
        self.model = ""
        """Empty while unknown."""
        self.configuration_version = 0
        """Newest configuration version whose order was carried out."""

    @property
    def stage(self) -> Stage:
        """Lifecycle stage reported to other processes."""
        if self.stopped:
            return Stage.STOPPED
        if self.drain_reasons:
            return Stage.DRAINING
        return Stage.SERVING if self.reconciled else Stage.STARTING

    def refusal(self, role: EngineRole, model: str = "") -> NotRun | None:
        """Return why new work for a role and model is refused, if it is."""
        if self.stopped or self.drain_reasons:
            return Draining(",".join(sorted(self.drain_reasons)) or "stopped")
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
    """Sole writer of the lifecycle section.

    Polls the load report of the backend server as its health check, and the
    platform's VM list for a planned removal of this VM.
    """

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

    def drain(self, reason: DrainReason, active: bool) -> None:
        """Start to refuse new work for a reason, or withdraw the reason."""
        reasons = self.lifecycle.drain_reasons
        if (reason in reasons) == active:
            return
        if active:
            reasons.add(reason)
        else:
            reasons.discard(reason)
        log_decision(
            "drain", draining=bool(reasons), wanted=active, reason=reason
        )
        self.lifecycle.notify()

    def mark_reconciled(self) -> None:
        """Record that the ledger counts all requests inside the server."""
        self.lifecycle.reconciled = True
        self.lifecycle.notify()

    def mark_stopped(self) -> None:
        """Record that the agent neither accepts nor runs work any more."""
        self.lifecycle.stopped = True
        self.lifecycle.notify()

    def set_assignment(self, role: str, model: str) -> None:
        """Record the role and model of the server; empty: unchanged."""
        if role in list(EngineRole):
            self.lifecycle.role = EngineRole(role)
        self.lifecycle.model = model or self.lifecycle.model
        self.lifecycle.notify()

    def record_configuration_version(self, version: int) -> None:
        """Record the configuration version of an executed order."""
        if version > self.lifecycle.configuration_version:
            self.lifecycle.configuration_version = version

    def record_crash(self) -> None:
        """Count a crash; the server is down until a load poll succeeds."""
        self.lifecycle.crashes += 1
        self._failed_polls = FAILED_POLLS_UNTIL_DOWN
        self._set_backend_up(False)

    async def poll_load(self) -> None:
        """Read the load report once and update the server's health."""
        match await self._backend.load():
            case Ok(report):
                self._failed_polls = 0
                self._apply_load_report(report)
            case Err(failure):
                self._failed_polls += 1
                if self._failed_polls >= FAILED_POLLS_UNTIL_DOWN:
                    self._set_backend_up(False, failure.code)

    async def poll_vms(self) -> None:
        """Drain while the platform's VM list says that this VM is leaving.

        A failed read changes nothing.
        """
        listed = await self._vm_list.list()
        if isinstance(listed, Err):
            return
        for record in listed.ok_value:
            if record.vm == self._cfg.vm:
                leaving = record.state == "leaving"
                self.drain(DrainReason.VM_LIST, leaving)

    def _apply_load_report(self, report: LoadReport) -> None:
        self._set_backend_up(True)
        self.drain(DrainReason.SERVER, report.leaving)
        # The report may be outdated, so it must not override an order that
        # was carried out.
        if self.lifecycle.role is None:
            self.set_assignment(report.role, report.model)

    def _set_backend_up(self, up: bool, reason: str = "") -> None:
        if self.lifecycle.backend_up != up:
            self.lifecycle.backend_up = up
            log_decision("backend", up=up, reason=reason)
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
