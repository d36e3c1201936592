"""Changes the engine to its scheduled role and model."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from mode import Service
from result import Err

from gooseberrypost.agent.log import log_decision, log_refusal
from gooseberrypost.policy.handover import may_leave_pool
from gooseberrypost.policy.rolechange import EngineState, next_change
from gooseberrypost.sheet.current import CurrentAssignments
from gooseberrypost.sheet.schedule import Assignment
from gooseberrypost.state.records import Kind

if TYPE_CHECKING:
    from collections.abc import Callable

    from gooseberrypost.agent.context import Context
    from gooseberrypost.agent.lease import AgentLease
    from gooseberrypost.agent.orders import OrderController
    from gooseberrypost.agent.peerengines import PeerEngineProber
    from gooseberrypost.policy.rolechange import EngineChange

CHECK_INTERVAL_MS: Final = 250
"""Interval at which the schedule is evaluated.

The wall clock may be adjusted at any time, so the agent polls it instead of
sleeping until the next scheduled change.
"""
RETRY_INTERVAL_MS: Final = 1_000
"""Delay after a failed change before it is retried."""


class ScheduleController(Service):
    """Applies the schedule to this agent's own engine.

    No coordinator triggers role changes: each agent evaluates the schedule in
    the configuration itself. A change that stops being due while it waits for
    running requests is withdrawn.
    """

    def __init__(
        self,
        context: Context,
        lease: AgentLease,
        orders: OrderController,
        prober: PeerEngineProber,
        wall_clock_ms: Callable[[], int],
    ) -> None:
        super().__init__()
        self._context = context
        self._lease = lease
        self._orders = orders
        self._prober = prober
        self._due_since_ms: int | None = None
        self._assignments = CurrentAssignments(
            context.configuration, wall_clock_ms, engine=context.cfg.name
        )

    def due_change(self) -> EngineChange | None:
        """Return the change that is due now, if any."""
        lifecycle = self._context.lifecycle_controller.lifecycle
        engine = EngineState(
            role=lifecycle.role or "",
            model=lifecycle.model,
            ready=lifecycle.reconciled and lifecycle.backend_up,
            unconfirmed_kinds=self._orders.unconfirmed_kinds,
        )
        return next_change(
            self._assignments().get(self._context.cfg.name),
            engine,
            may_order=self._lease.remaining_ms() > 0,
        )

    @Service.task
    async def _follow_schedule(self) -> None:
        if self._context.cfg.backend.kind != Kind.MODEL:
            return
        while not self.should_stop:
            change = self.due_change()
            if change is None:
                self._due_since_ms = None
                await self._wait_for_configuration()
            elif (
                not await self._may_leave_pool() or self.due_change() != change
            ):
                await self._wait_for_configuration()
            elif not await self._apply_change(change):
                await asyncio.sleep(RETRY_INTERVAL_MS / 1_000)

    async def _may_leave_pool(self) -> bool:
        """Whether the engine may leave the pool that it serves now."""
        lifecycle = self._context.lifecycle_controller.lifecycle
        if not lifecycle.role or self._orders.unconfirmed_kinds:
            return True
        now_ms = self._context.now_ms()
        if self._due_since_ms is None:
            self._due_since_ms = now_ms
        pool = Assignment(lifecycle.role, lifecycle.model)
        covering = await self._prober.probe_covering_engines(pool)
        waited_ms = now_ms - self._due_since_ms
        return may_leave_pool(
            self._context.cfg.name, pool, covering, waited_ms
        )

    async def _wait_for_configuration(
        self, *work: asyncio.Task[object]
    ) -> None:
        """Wait until the configuration changes or ``work`` is done.

        Returns after ``CHECK_INTERVAL_MS`` at the latest.
        """
        configuration = self._context.configuration
        changed = asyncio.ensure_future(configuration.changed())
        await asyncio.wait(
            [changed, *work],
            timeout=CHECK_INTERVAL_MS / 1_000,
            return_when=asyncio.FIRST_COMPLETED,
        )
        changed.cancel()

    async def _apply_change(self, change: EngineChange) -> bool:
        """Apply a change; returns false if it failed and must be retried."""
        version = self._context.configuration.version
        fields = {"role": change.role, "model": change.model}
        log_decision("planned_change", **fields, version=version, reason="due")
        work = asyncio.create_task(self._orders.apply_change(change, version))
        try:
            while not work.done():
                await self._wait_for_configuration(work)
                waiting = bool(self._context.capacity.ledger.slots_used)
                if waiting and not work.done():
                    self._withdraw_unless_due(work, change)
        finally:
            work.cancel()
        if work.cancelled():
            return True
        outcome = work.result()
        if isinstance(outcome, Err):
            log_refusal("planned_change", outcome.err_value, **fields)
            return False
        log_decision(
            "planned_change", **fields, version=version, reason="done"
        )
        return True

    def _withdraw_unless_due(
        self, work: asyncio.Task[object], change: EngineChange
    ) -> None:
        now_due = self.due_change()
        if now_due != change:
            log_decision(
                "planned_change", reason="withdrawn", due=now_due is not None
            )
            work.cancel()
