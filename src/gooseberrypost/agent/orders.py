"""Orders to the backend server: load models, versions, change of role."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final

from mode import Service
from result import Err, Ok, Result

from gooseberrypost.agent.checks import fill_defaults
from gooseberrypost.agent.engine import EngineClient
from gooseberrypost.agent.lifecycle import DrainReason
from gooseberrypost.agent.log import log_decision, log_refusal
from gooseberrypost.errors import (
    Draining,
    Failure,
    MalformedRequest,
    NotRun,
    StaleOrder,
)
from gooseberrypost.policy.rolechange import LOAD_MODEL, SET_ROLE
from gooseberrypost.state.fencing import Fence, FencingToken
from gooseberrypost.state.records import EngineRole
from gooseberrypost.wire.listener import refused
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from gooseberrypost.agent.capacity import Capacity
    from gooseberrypost.agent.context import Context
    from gooseberrypost.agent.lease import AgentLease
    from gooseberrypost.policy.rolechange import EngineChange
    from gooseberrypost.wire.dispatch import Dispatcher
    from gooseberrypost.wire.listener import Session

ORDER_TIMEOUT_MS: Final = 10_000
ENGINE_ROLES: Final = (EngineRole.PREFILL, EngineRole.DECODE)
KINDS: Final = (LOAD_MODEL, "load_adapter", "set_version", SET_ROLE)


class OrderController(Service):
    """Forwards orders one at a time, while the lease is held."""

    def __init__(self, context: Context, lease: AgentLease) -> None:
        super().__init__()
        self._context = context
        self._lease = lease
        self._fence = Fence()
        self._lock = asyncio.Lock()
        self.uncertain: set[str] = set()
        """Kinds of orders that were sent and whose effect is not known."""

    def register(self, dispatcher: Dispatcher) -> None:
        """Receive ``Order`` messages."""
        dispatcher.register(idl.Order, self._order)

    async def execute(self, req: Any) -> Result[None, Failure]:
        """Carry out an ``Order``; refused: ``StaleOrder``."""
        fill_defaults(req)
        if req.kind not in KINDS:
            return Err(MalformedRequest(f"order {req.kind!r} is unknown"))
        if req.kind == SET_ROLE and req.value not in ENGINE_ROLES:
            return Err(MalformedRequest(f"role {req.value!r} is unknown"))
        async with self._lock:
            outcome = await self._execute(req)
        self._log(req, outcome)
        return outcome

    async def change(
        self, change: EngineChange, version: int
    ) -> Result[None, Failure]:
        """Give the orders of a planned change once nothing runs.

        New work is refused until the change is over; where the effect of an
        order is not known, until a later call succeeds. Cancelling the call
        withdraws the change.
        """
        orders = [
            idl.Order(kind=kind, value=value, fencing=version)
            for kind, value in (
                (LOAD_MODEL, change.model),
                (SET_ROLE, change.role),
            )
            if value
        ]
        async with self._lock:
            permitted = self._permit(orders[0])
            if isinstance(permitted, Err):
                return permitted
            self._fence.advance(self._token(orders[0]))
            try:
                return await self._change_when_idle(orders)
            finally:
                self._context.lifecycle_controller.drain(
                    DrainReason.ROLE_CHANGE, bool(self.uncertain)
                )

    async def _change_when_idle(
        self, orders: list[Any]
    ) -> Result[None, Failure]:
        self._context.lifecycle_controller.drain(DrainReason.ROLE_CHANGE, True)
        idle = await self._wait_idle()
        if isinstance(idle, Err):
            return idle
        for req in orders:
            outcome = await self._send(req)
            self._log(req, outcome)
            if isinstance(outcome, Err):
                return outcome
        return Ok(None)

    def _log(self, req: Any, outcome: Result[None, Failure]) -> None:
        fields = {"kind": req.kind, "value": req.value, "fencing": req.fencing}
        if isinstance(outcome, Err):
            log_refusal("order", outcome.err_value, **fields)
        else:
            log_decision(
                "order", **fields, epoch=self._lease.epoch, reason="sent"
            )

    async def _order(
        self, session: Session, correlation: int, req: Any
    ) -> None:
        match await self.execute(req):
            case Ok(_):
                await session.send(correlation, idl.Ok())
            case Err(failure):
                reply = refused(failure, self._context.load())
                await session.send(correlation, reply)

    async def _execute(self, req: Any) -> Result[None, Failure]:
        permitted = self._permit(req)
        if isinstance(permitted, Err):
            return permitted
        self._fence.advance(self._token(req))
        await self._lease.record_fencing(req.fencing)
        if req.kind != SET_ROLE:
            return await self._send(req)
        lifecycle = self._context.lifecycle_controller
        lifecycle.drain(DrainReason.ROLE_CHANGE, True)
        try:
            idle = await self._wait_idle()
            return await self._send(req) if isinstance(idle, Ok) else idle
        finally:
            lifecycle.drain(DrainReason.ROLE_CHANGE, False)

    def _token(self, req: Any) -> FencingToken:
        return FencingToken(self._lease.epoch, req.fencing)

    def _permit(self, req: Any) -> Result[None, Failure]:
        # Checked here on behalf of servers that ignore fencing tokens.
        if not self._lease.remaining_ms():
            return Err(StaleOrder("the lease of this agent is not valid"))
        self._fence.advance(
            FencingToken(self._lease.epoch, self._lease.fencing)
        )
        return self._fence.check(self._token(req))

    async def _wait_idle(self) -> Result[None, Failure]:
        capacity: Capacity = self._context.capacity
        timeout_ms = self._context.cfg.drain_timeout_ms
        try:
            async with asyncio.timeout(timeout_ms / 1_000):
                while not capacity.ledger.is_idle:
                    await capacity.changed()
        except TimeoutError:
            return Err(Draining(f"requests still run after {timeout_ms} ms"))
        return Ok(None)

    async def _send(self, req: Any) -> Result[None, Failure]:
        """Send to the server; the lease may have lapsed during a wait."""
        permitted = self._permit(req)
        if isinstance(permitted, Err):
            return permitted
        backend = self._context.backend
        if isinstance(backend, EngineClient):
            sent = await self._send_to(backend, req)
            if isinstance(sent, Err):
                return sent
        lifecycle = self._context.lifecycle_controller
        lifecycle.record_configuration_version(req.fencing)
        if req.kind == SET_ROLE:
            lifecycle.set_assignment(req.value, "")
        elif req.kind == LOAD_MODEL:
            lifecycle.set_assignment("", req.value)
        return Ok(None)

    async def _send_to(
        self, engine: EngineClient, req: Any
    ) -> Result[Any, Failure]:
        was_uncertain = req.kind in self.uncertain
        # Also left so when the call is cancelled while the order travels.
        self.uncertain.add(req.kind)
        timeout_ms = min(ORDER_TIMEOUT_MS, self._lease.remaining_ms())
        sent = await engine.order(self._body(req), timeout_ms)
        refused_now = isinstance(sent, Err) and isinstance(
            sent.err_value, NotRun
        )
        if isinstance(sent, Ok) or (refused_now and not was_uncertain):
            self.uncertain.discard(req.kind)
        return sent

    def _body(self, req: Any) -> dict[str, Any]:
        role = req.value if req.kind == SET_ROLE else ""
        return {
            "kind": req.kind,
            "model": "" if role else req.value,
            "role": role,
            "fencing": req.fencing,
            "epoch": self._lease.epoch,
        }
