"""Requests to agents, with what their replies say about load."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final

from absl import logging
from result import Err, Ok, Result

from gooseberrypost.errors import (
    CallerGone,
    Draining,
    ExecutionFailed,
    Failure,
    PeerUnreachable,
    failure_from_code,
)
from gooseberrypost.logs import format_fields
from gooseberrypost.wire.channel import refusal_of
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from gooseberrypost.entry.fleet import FleetController
    from gooseberrypost.policy.views import AgentView
    from gooseberrypost.wire.channel import ChannelPool

CLEAN_UP_TRIES: Final = 3
CLEAN_UP_TIMEOUT_MS: Final = 400
CLEAN_UP_PAUSE_S: Final = 0.1


class Background:
    """Tasks that outlive the request which started them."""

    __slots__ = ("_tasks",)

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run ``work`` to its end, whatever happens to the caller."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finished)
        return task

    def _finished(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logging.error("event=clean_up_failed", exc_info=task.exception())

    async def settle(self, timeout_s: float) -> None:
        """Wait for the tasks, and cancel those that take longer."""
        if not self._tasks:
            return
        _, late = await asyncio.wait(set(self._tasks), timeout=timeout_s)
        for task in late:
            task.cancel()


class AgentClient:
    """Sends messages to agents and keeps the fleet section informed."""

    __slots__ = ("_background", "_fleet", "_pool")

    def __init__(
        self,
        pool: ChannelPool,
        fleet: FleetController,
        background: Background,
    ) -> None:
        self._pool = pool
        self._fleet = fleet
        self._background = background

    @property
    def pool(self) -> ChannelPool:
        """Channels to agents."""
        return self._pool

    async def request(
        self, agent: AgentView, message: Any, timeout_ms: float
    ) -> Result[Any, Failure]:
        """Send a message and wait for its reply; a refusal is an ``Err``."""
        reply = await self._pool.request(agent.address, message, timeout_ms)
        return self.note(agent, reply)

    def note(
        self, agent: AgentView, reply: Result[Any, Failure]
    ) -> Result[Any, Failure]:
        """Take over the load in a reply, and unwrap a refusal."""
        if isinstance(reply, Err):
            if isinstance(reply.err_value, PeerUnreachable):
                self._fleet.mark_down(agent.name)
            return reply
        self._fleet.observe(agent.name, getattr(reply.ok_value, "load", None))
        failure = _failure_in(reply.ok_value)
        if failure is None:
            return reply
        if isinstance(failure, CallerGone):
            # The agent gave the attempt up; the caller is still here.
            failure = ExecutionFailed(f"{agent.name}: {failure}")
        if isinstance(failure, Draining):
            self._fleet.mark_draining(agent.name)
        return Err(failure)

    def cancel(self, agent: AgentView, key: str, attempt: int) -> None:
        """Cancel an attempt in the background."""
        message = idl.Cancel(key=key, attempt=attempt)
        self._background.spawn(self._insist(agent, message))

    async def release_reservation(
        self, agent: AgentView, reservation: int, key: str, attempt: int
    ) -> None:
        """Return a reservation; goes on if the caller is cancelled."""
        message = idl.ReleaseReservation(
            reservation=reservation, key=key, attempt=attempt
        )
        released = self._background.spawn(self._insist(agent, message))
        await asyncio.shield(released)

    def release_prefill(
        self, agent: AgentView, key: str, attempt: int, handle: str
    ) -> None:
        """Release a prefill result in the background."""
        message = idl.ReleasePrefill(key=key, attempt=attempt, handle=handle)
        self._background.spawn(self._insist(agent, message))

    async def _insist(self, agent: AgentView, message: Any) -> None:
        name = type(message).__name__
        for _ in range(CLEAN_UP_TRIES):
            reply = await self._pool.request(
                agent.address, message, CLEAN_UP_TIMEOUT_MS
            )
            if isinstance(reply, Ok):
                return
            await asyncio.sleep(CLEAN_UP_PAUSE_S)
        # The agent frees what belongs to a silent entry on its own.
        fields = format_fields(
            [
                ("event", "clean_up_unconfirmed"),
                ("request", message.key),
                ("message", name),
                ("agent", agent.name),
            ]
        )
        logging.warning("%s", fields)


def _failure_in(message: Any) -> Failure | None:
    """Failure that a refusal, or the end of a stream, carries."""
    if isinstance(message, idl.End) and message.code:
        return failure_from_code(message.code, message.detail or "")
    return refusal_of(message)
