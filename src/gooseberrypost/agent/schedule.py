"""Brings the engine to the role and model that the schedule gives it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from mode import Service
from result import Err

from gooseberrypost.agent.log import decision, refusal
from gooseberrypost.policy.handover import may_leave_pool
from gooseberrypost.policy.rolechange import EngineState, next_change
from gooseberrypost.sheet.current import CurrentAssignments
from gooseberrypost.sheet.schedule import Assignment
from gooseberrypost.state.records import Kind

if TYPE_CHECKING:
    from collections.abc import Callable

    from gooseberrypost.agent.context import Context
    from gooseberrypost.agent.lease import AgentLease
    from gooseberrypost.agent.neighbours import Neighbours
    from gooseberrypost.agent.orders import OrderController
    from gooseberrypost.policy.rolechange import EngineChange

CHECK_INTERVAL_MS: Final = 250
"""The wall clock may be set, so instants are not slept for."""
RETRY_MS: Final = 1_000


class ScheduleController(Service):
    """Follows the schedule of this agent's own engine.

    No process tells agents when to change: each reads the schedule in the
    configuration. A change that is no longer wanted while it waits for
    running requests is withdrawn.
    """

    def __init__(
        self,
        context: Context,
        lease: AgentLease,
        orders: OrderController,
        neighbours: Neighbours,
        wall_clock_ms: Callable[[], int],
    ) -> None:
        super().__init__()
        self._context = context
        self._lease = lease
        self._orders = orders
        self._neighbours = neighbours
        self._due_since_ms: int | None = None
        self._assignments = CurrentAssignments(
            context.configuration, wall_clock_ms, engine=context.cfg.name
        )

    def next(self) -> EngineChange | None:
        """Change that is due now."""
        lifecycle = self._context.lifecycle_controller.lifecycle
        engine = EngineState(
            role=lifecycle.role or "",
            model=lifecycle.model,
            ready=lifecycle.reconciled and lifecycle.backend_up,
            uncertain=self._orders.uncertain,
        )
        return next_change(
            self._assignments().get(self._context.cfg.name),
            engine,
            may_order=self._lease.remaining_ms() > 0,
        )

    @Service.task
    async def _follow(self) -> None:
        if self._context.cfg.backend.kind != Kind.MODEL:
            return
        while not self.should_stop:
            change = self.next()
            if change is None:
                self._due_since_ms = None
                await self._pause()
            elif not await self._may_leave() or self.next() != change:
                await self._pause()
            elif not await self._carry_out(change):
                await asyncio.sleep(RETRY_MS / 1_000)

    async def _may_leave(self) -> bool:
        """Whether the pool that the engine serves can do without it."""
        lifecycle = self._context.lifecycle_controller.lifecycle
        if not lifecycle.role or self._orders.uncertain:
            return True
        now_ms = self._context.now_ms()
        if self._due_since_ms is None:
            self._due_since_ms = now_ms
        pool = Assignment(lifecycle.role, lifecycle.model)
        able = await self._neighbours.able_to_cover(pool)
        waited_ms = now_ms - self._due_since_ms
        return may_leave_pool(self._context.cfg.name, pool, able, waited_ms)

    async def _pause(self, *work: asyncio.Task[object]) -> None:
        configuration = self._context.configuration
        changed = asyncio.ensure_future(configuration.changed())
        await asyncio.wait(
            [changed, *work],
            timeout=CHECK_INTERVAL_MS / 1_000,
            return_when=asyncio.FIRST_COMPLETED,
        )
        changed.cancel()

    async def _carry_out(self, change: EngineChange) -> bool:
        """Carry a change out; returns whether it need not be tried again."""
        version = self._context.configuration.version
        fields = {"role": change.role, "model": change.model}
        decision("planned_change", **fields, version=version, reason="due")
        work = asyncio.create_task(self._orders.apply_change(change, version))
        try:
            while not work.done():
                await self._pause(work)
                waits = bool(self._context.capacity.ledger.slots_used)
                if waits and not work.done():
                    self._withdraw_unless_due(work, change)
        finally:
            work.cancel()
        if work.cancelled():
            return True
        outcome = work.result()
        if isinstance(outcome, Err):
            refusal("planned_change", outcome.err_value, **fields)
            return False
        decision("planned_change", **fields, version=version, reason="done")
        return True

    def _withdraw_unless_due(
        self, work: asyncio.Task[object], change: EngineChange
    ) -> None:
        due = self.next()
        if due != change:
            decision("planned_change", reason="withdrawn", due=due is not None)
            work.cancel()
