"""Handlers of operator messages: status, drain and explain."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from collections.abc import Callable

    from gooseberrypost.entry.context import EntryContext
    from gooseberrypost.entry.requests import RequestController
    from gooseberrypost.lifecycle import LifecycleController
    from gooseberrypost.wire.dispatch import Dispatcher
    from gooseberrypost.wire.listener import Session


class OperatorHandlers:
    """Handles status, drain and explain messages to this entry."""

    def __init__(
        self,
        ctx: EntryContext,
        requests: RequestController,
        lifecycle: LifecycleController,
        incarnation: int,
        shards: Callable[[], list[int]],
    ) -> None:
        self._ctx = ctx
        self._requests = requests
        self._lifecycle = lifecycle
        self._incarnation = incarnation
        self._shards = shards

    def register(self, dispatcher: Dispatcher) -> None:
        """Register the handlers with the dispatcher of a listener."""
        dispatcher.register(idl.Explain, self._explain)
        dispatcher.register(idl.StatusRequest, self._status)
        dispatcher.register(idl.Drain, self._drain)

    async def _explain(
        self, session: Session, correlation: int, message: Any
    ) -> None:
        lines = self._ctx.decisions.explain(message.key)
        await session.send(correlation, idl.Explanation(lines=lines))

    async def _status(
        self, session: Session, correlation: int, message: Any
    ) -> None:
        status = idl.Status(
            process_kind="entry",
            name=self._ctx.settings.name,
            incarnation=self._incarnation,
            zone=self._ctx.settings.zone,
            state=self._lifecycle.state,
            configuration_version=self._ctx.collaborators.configuration.version,
            in_flight=self._requests.in_flight,
            service_name="",
            shards=self._shards(),
        )
        await session.send(correlation, status)

    async def _drain(
        self, session: Session, correlation: int, message: Any
    ) -> None:
        if message.draining:
            self._lifecycle.drain()
        else:
            self._lifecycle.serve()
        await session.send(correlation, idl.Ok())
