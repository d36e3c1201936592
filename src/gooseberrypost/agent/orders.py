"""Orders to the backend server: load a model, set a version, set a role.

An order is a change of the server's configuration. It carries a fencing token,
so that an order from an older configuration version or from an earlier agent
process is refused.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final

from mode import Service
from result import Err, Ok, Result

from gooseberrypost.agent.backend import deadline_limit
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
from gooseberrypost.wire.defaults import fill_defaults
from gooseberrypost.wire.listener import refusal_message
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from gooseberrypost.agent.capacity import Capacity
    from gooseberrypost.agent.context import Context
    from gooseberrypost.agent.lease import AgentLease
    from gooseberrypost.policy.rolechange import EngineChange
    from gooseberrypost.wire.dispatch import Dispatcher
    from gooseberrypost.wire.listener import Session

ORDER_TIMEOUT_MS: Final = 10_000
"""Longest time to wait for the engine to acknowledge an order."""
ENGINE_ROLES: Final = (EngineRole.PREFILL, EngineRole.DECODE)
ORDER_KINDS: Final = (LOAD_MODEL, "load_adapter", "set_version", SET_ROLE)


class OrderController(Service):
    """Forwards one order at a time, and only while the lease is valid."""

    def __init__(self, context: Context, lease: AgentLease) -> None:
        super().__init__()
        self._context = context
        self._lease = lease
        self._fence = Fence()
        self._lock = asyncio.Lock()
        self.unconfirmed_kinds: set[str] = set()
        """Kinds of orders that were sent and whose outcome is unknown."""

    def register(self, dispatcher: Dispatcher) -> None:
        """Register the handler of ``Order`` messages."""
        dispatcher.register(idl.Order, self._handle_order)

    async def execute(self, req: Any) -> Result[None, Failure]:
        """Execute an ``Order`` message.

        It is refused with ``StaleOrder`` if its fencing token is old or the
        lease is not valid.
        """
        fill_defaults(req)
        if req.kind not in ORDER_KINDS:
            return Err(MalformedRequest(f"unknown order kind {req.kind!r}"))
        if req.kind == SET_ROLE and req.value not in ENGINE_ROLES:
            return Err(MalformedRequest(f"unknown engine role {req.value!r}"))
        async with self._lock:
            outcome = await self._execute_locked(req)
        self._log(req, outcome)
        return outcome

    async def apply_change(
        self, change: EngineChange, version: int
    ) -> Result[None, Failure]:
        """Drain the server, then send it the orders of a planned change.

        New work is refused until the change is complete. If the outcome of an
        order is unknown, new work is refused until a later call succeeds.
        Cancelling this call withdraws the change.
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
            authorized = self._check_authority(orders[0])
            if isinstance(authorized, Err):
                return authorized
            self._fence.advance(self._fencing_token(orders[0]))
            try:
                return await self._apply_when_idle(orders)
            finally:
                self._context.lifecycle_controller.drain(
                    DrainReason.ROLE_CHANGE, bool(self.unconfirmed_kinds)
                )

    async def _apply_when_idle(
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

    async def _handle_order(
        self, session: Session, correlation: int, req: Any
    ) -> None:
        match await self.execute(req):
            case Ok(_):
                await session.send(correlation, idl.Ok())
            case Err(failure):
                reply = refusal_message(failure, self._context.load())
                await session.send(correlation, reply)

    async def _execute_locked(self, req: Any) -> Result[None, Failure]:
        authorized = self._check_authority(req)
        if isinstance(authorized, Err):
            return authorized
        self._fence.advance(self._fencing_token(req))
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

    def _fencing_token(self, req: Any) -> FencingToken:
        return FencingToken(self._lease.epoch, req.fencing)

    def _check_authority(self, req: Any) -> Result[None, Failure]:
        # The agent checks the token because some servers ignore it.
        if not self._lease.remaining_ms():
            return Err(StaleOrder("the lease of this agent is not valid"))
        self._fence.advance(
            FencingToken(self._lease.epoch, self._lease.fencing)
        )
        return self._fence.check(self._fencing_token(req))

    async def _wait_idle(self) -> Result[None, Failure]:
        capacity: Capacity = self._context.capacity
        timeout_ms = self._context.cfg.drain_timeout_ms
        try:
            with deadline_limit(timeout_ms / 1_000):
                while not capacity.ledger.is_idle:
                    await capacity.changed()
        except TimeoutError:
            return Err(
                Draining(f"requests still running after {timeout_ms} ms")
            )
        return Ok(None)

    async def _send(self, req: Any) -> Result[None, Failure]:
        """Send an order to the server.

        Authority is checked again, as the lease may have expired while the
        order waited for running requests.
        """
        authorized = self._check_authority(req)
        if isinstance(authorized, Err):
            return authorized
        backend = self._context.backend
        if isinstance(backend, EngineClient):
            sent = await self._send_to_engine(backend, req)
            if isinstance(sent, Err):
                return sent
        lifecycle = self._context.lifecycle_controller
        lifecycle.record_configuration_version(req.fencing)
        if req.kind == SET_ROLE:
            lifecycle.set_assignment(req.value, "")
        elif req.kind == LOAD_MODEL:
            lifecycle.set_assignment("", req.value)
        return Ok(None)

    async def _send_to_engine(
        self, engine: EngineClient, req: Any
    ) -> Result[Any, Failure]:
        was_unconfirmed = req.kind in self.unconfirmed_kinds
        # Stays set if this call is cancelled while the order is in flight.
        self.unconfirmed_kinds.add(req.kind)
        timeout_ms = min(ORDER_TIMEOUT_MS, self._lease.remaining_ms())
        sent = await engine.order(self._engine_request(req), timeout_ms)
        was_rejected = isinstance(sent, Err) and isinstance(
            sent.err_value, NotRun
        )
        if isinstance(sent, Ok) or (was_rejected and not was_unconfirmed):
            self.unconfirmed_kinds.discard(req.kind)
        return sent

    def _engine_request(self, req: Any) -> dict[str, Any]:
        role = req.value if req.kind == SET_ROLE else ""
        return {
            "kind": req.kind,
            "model": "" if role else req.value,
            "role": role,
            "fencing": req.fencing,
            "epoch": self._lease.epoch,
        }
