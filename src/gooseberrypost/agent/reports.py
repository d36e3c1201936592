"""Handles probes, status requests and drain commands."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from gooseberrypost.agent.context import ROLE_NUMBERS
from gooseberrypost.agent.lifecycle import DrainReason, Lifecycle
from gooseberrypost.state.records import EngineRole
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from gooseberrypost.agent.context import Context
    from gooseberrypost.wire.dispatch import Dispatcher
    from gooseberrypost.wire.listener import Session


class ReportHandler:
    """Reports the agent's state and drains it on an operator's command."""

    __slots__ = ("_context",)

    def __init__(self, context: Context) -> None:
        self._context = context

    def register(self, dispatcher: Dispatcher) -> None:
        """Register the message handlers."""
        dispatcher.register(idl.Probe, self._probe)
        dispatcher.register(idl.StatusRequest, self._status)
        dispatcher.register(idl.Drain, self._drain)

    @property
    def _lifecycle(self) -> Lifecycle:
        return self._context.lifecycle_controller.lifecycle

    async def _probe(
        self, session: Session, correlation: int, req: Any
    ) -> None:
        context = self._context
        reply = idl.ProbeReply(
            server=context.cfg.name,
            role=ROLE_NUMBERS[self._role()],
            model=self._lifecycle.model,
            load=context.load(),
            cached_tokens=context.cache_controller.cache.view.cached_tokens(
                req.prefix_hashes or []
            ),
            engine_address=context.cfg.backend.address,
        )
        await session.send(correlation, reply)

    async def _status(
        self, session: Session, correlation: int, req: Any
    ) -> None:
        context = self._context
        reply = idl.Status(
            process_kind="agent",
            name=context.process_id.name,
            incarnation=context.process_id.incarnation,
            zone=context.cfg.zone,
            state=self._lifecycle.stage,
            configuration_version=context.configuration.version,
            in_flight=len(context.attempts.running),
            load=context.load(),
            service_name=context.cfg.service,
            shards=[],
        )
        await session.send(correlation, reply)

    async def _drain(
        self, session: Session, correlation: int, req: Any
    ) -> None:
        controller = self._context.lifecycle_controller
        controller.drain(DrainReason.OPERATOR, bool(req.draining))
        await session.send(correlation, idl.Ok())

    def _role(self) -> EngineRole:
        return self._lifecycle.role or EngineRole.DECODE
