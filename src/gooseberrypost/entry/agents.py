"""Client for the agents; every reply updates the fleet section."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING, Any, Final

from absl import logging
from result import Err, Ok, Result

from gooseberrypost.errors import (
    AttemptReleased,
    CallerGone,
    Draining,
    Failure,
    PeerUnreachable,
    failure_from_code,
)
from gooseberrypost.logs import format_fields
from gooseberrypost.timeouts import RunningTimeout
from gooseberrypost.wire.channel import failure_from_refusal
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from gooseberrypost.entry.fleet import FleetController
    from gooseberrypost.policy.views import AgentView
    from gooseberrypost.wire.channel import ChannelPool

MAX_CLEANUP_TRIES: Final = 3
CLEANUP_TIMEOUT_MS: Final = 400
CLEANUP_RETRY_DELAY_S: Final = 0.1


class BackgroundTasks:
    """Tasks that continue after the request that started them."""

    __slots__ = ("_tasks",)

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(
        self, coroutine: Coroutine[Any, Any, None]
    ) -> asyncio.Task[None]:
        """Run a coroutine to its end, even if its starter is cancelled."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logging.error("event=clean_up_failed", exc_info=task.exception())

    async def wait_or_cancel(self, timeout_s: float) -> None:
        """Wait for the tasks; cancel those unfinished after the timeout."""
        tasks = set(self._tasks)
        if not tasks:
            return
        with suppress(TimeoutError), RunningTimeout(timeout_s):
            await asyncio.wait(tasks)
        for task in tasks:
            task.cancel()


class AgentClient:
    """Sends messages to agents and updates the fleet section from replies."""

    __slots__ = ("_background", "_fleet", "_pool")

    def __init__(
        self,
        pool: ChannelPool,
        fleet: FleetController,
        background: BackgroundTasks,
    ) -> None:
        self._pool = pool
        self._fleet = fleet
        self._background = background

    @property
    def pool(self) -> ChannelPool:
        """Channel pool to the agents."""
        return self._pool

    async def request(
        self, agent: AgentView, message: Any, timeout_ms: float
    ) -> Result[Any, Failure]:
        """Send a message and return its reply; a refusal is an ``Err``."""
        reply = await self._pool.request(agent.address, message, timeout_ms)
        return self.process_reply(agent, reply)

    def process_reply(
        self, agent: AgentView, reply: Result[Any, Failure]
    ) -> Result[Any, Failure]:
        """Update the fleet from a reply; a refusal becomes an ``Err``."""
        if isinstance(reply, Err):
            if isinstance(reply.err_value, PeerUnreachable):
                self._fleet.mark_unreachable(agent.name)
            return reply
        self._fleet.observe(agent.name, getattr(reply.ok_value, "load", None))
        failure = _failure_in(reply.ok_value)
        if failure is None:
            return reply
        if isinstance(failure, CallerGone):
            # The agent ended the attempt as if the caller had disconnected,
            # but the caller is still connected to this entry.
            failure = AttemptReleased(f"{agent.name}: {failure}")
        if isinstance(failure, Draining):
            self._fleet.mark_draining(agent.name)
        return Err(failure)

    def cancel(self, agent: AgentView, key: str, attempt: int) -> None:
        """Cancel an attempt in the background."""
        message = idl.Cancel(key=key, attempt=attempt)
        self._background.spawn(self._send_with_retries(agent, message))

    async def release_reservation(
        self, agent: AgentView, reservation: int, key: str, attempt: int
    ) -> None:
        """Release a reservation, even if the calling task is cancelled."""
        message = idl.ReleaseReservation(
            reservation=reservation, key=key, attempt=attempt
        )
        released = self._background.spawn(
            self._send_with_retries(agent, message)
        )
        await asyncio.shield(released)

    def release_prefill(
        self, agent: AgentView, key: str, attempt: int, handle: str
    ) -> None:
        """Release a prefill result in the background."""
        message = idl.ReleasePrefill(key=key, attempt=attempt, handle=handle)
        self._background.spawn(self._send_with_retries(agent, message))

    async def _send_with_retries(self, agent: AgentView, message: Any) -> None:
        name = type(message).__name__
        for _ in range(MAX_CLEANUP_TRIES):
            reply = await self._pool.request(
                agent.address, message, CLEANUP_TIMEOUT_MS
            )
            if isinstance(reply, Ok):
                return
            await asyncio.sleep(CLEANUP_RETRY_DELAY_S)
        # The agent itself frees the resources of an entry that has sent no
        # message for some time.
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
    """Return the failure in a refusal or an end of stream, if any."""
    if isinstance(message, idl.End) and message.code:
        return failure_from_code(message.code, message.detail or "")
    return failure_from_refusal(message)
