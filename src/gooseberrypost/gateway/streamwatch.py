"""Waits for the events of a stream, and acts when its engine is silent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final, TypeVar

from gooseberrypost.gateway.successor import Successor
from gooseberrypost.gateway.tasks import cancel_and_wait
from gooseberrypost.gateway.transport import AnswerLost
from gooseberrypost.policy.enginememory import Run
from gooseberrypost.policy.serverchoice import (
    DECODE_PREFILL_SLOWDOWN,
    prefill_time_ms,
)
from gooseberrypost.policy.streamprogress import StreamProgress, idle_timeout_s

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from gooseberrypost.gateway.generation import Generation
    from gooseberrypost.gateway.migration import Migration
    from gooseberrypost.gateway.model import Server
    from gooseberrypost.gateway.preparation import Preparation
    from gooseberrypost.gateway.transport import KvHandle

STALL_SHARE: Final = 0.5
"""Share of the time that a client waits for an event after which another
engine is prepared for a stalled stream, if it may execute the request again.
"""
MOVE_SHARE: Final = 0.5
"""Share of the time that a client still waits after which another engine is
prepared for a stream whose engine has not answered a move.
"""
LATE_TIMER_S: Final = 0.02
"""Delay of a timer beyond which the event loop of this process was late."""
READ_GRACE_S: Final = 0.02
"""Time to read what arrived before a stream is taken for stalled."""

T = TypeVar("T")


class StreamStalled(AnswerLost):
    """The decode engine sends no event, and another engine is ready."""

    code = "stream_stalled"


class StreamMoved(AnswerLost):
    """A stalled run was stopped, to continue at another engine."""

    code = "stream_moved"


class StreamWatch:
    """Watches the progress of a generation at its decode engine.

    A run without progress is moved, or another engine is prepared for it.
    """

    __slots__ = (
        "_generation",
        "_migration",
        "_progress",
        "_run",
        "_successor",
    )

    def __init__(self, generation: Generation, migration: Migration) -> None:
        self._generation = generation
        self._migration = migration
        self._run = Run(0, 0)
        self._progress = StreamProgress(0.0, 0.0, 0.0)
        """Events of the current decode attempt."""
        self._successor: Successor | None = None
        """Engine that is prepared as the current one is silent."""

    @property
    def has_successor(self) -> bool:
        """Whether another engine is being prepared, or is ready."""
        return self._successor is not None

    @property
    def longest_pause_s(self) -> float:
        """Longest time between two events of the current attempt."""
        return self._progress.longest_pause_s

    def start(self, server: Server, kv: KvHandle | None, run: Run) -> None:
        """Begin to watch a decode attempt."""
        ctx = self._generation.ctx
        service = self._generation.service
        gap_s = self._generation.route.target_gap_ms / 1_000
        idle_s = idle_timeout_s(gap_s, ctx.usual_pause_s(service))
        first_event_s = ctx.first_event_delay_s(service)
        if kv is None:
            tokens = self._generation.prompt.tokens
            prefill_ms = prefill_time_ms(server, ctx.loads, tokens)
            first_event_s += DECODE_PREFILL_SLOWDOWN * prefill_ms / 1_000
        self._run = run
        self._progress = StreamProgress(ctx.now_s(), idle_s, first_event_s)

    def record_event(self, now_s: float) -> None:
        """Record progress: the engine is at work after all."""
        self.cancel_successor()
        self._progress.record_event(now_s)

    async def wait(self, server: Server, work: Awaitable[T]) -> T:
        """Wait for data from an engine; fail over when no event arrives.

        The connection stays open during the failover, because an engine drops
        a generation whose connection is closed. Raises ``StreamMoved`` or
        ``StreamStalled``.
        """
        task = asyncio.ensure_future(work)
        try:
            while True:
                if await self._is_done_in_time(task):
                    return task.result()
                self._check_successor(server)
                now_s = self._generation.ctx.now_s()
                if self._progress.until_check_s(now_s) <= 0:
                    await self._handle_stall(server, task)
        finally:
            await cancel_and_wait(task)

    async def fail_over(
        self,
        server: Server,
        task: asyncio.Future[Any] | None = None,
        *,
        is_broken: bool = False,
    ) -> bool:
        """Move the run to another engine; returns whether it was moved.

        If the engine takes long to answer, another one is prepared beside it.
        When that is ready first, the move is given up, unless ``task`` shows
        that the engine sends data again.
        """
        move = asyncio.create_task(
            self._migration.fail_over(server, self._run, is_broken=is_broken)
        )
        try:
            left_s = self._generation.client_wait_s - self._silence_s
            await asyncio.wait({move}, timeout=max(0.0, MOVE_SHARE * left_s))
            if not move.done():
                self._prepare_successor(server)
            if self._successor is not None:
                await asyncio.wait(
                    {move, self._successor.task},
                    return_when=asyncio.FIRST_COMPLETED,
                )
            is_ready = self._has_ready_successor and not move.done()
            if is_ready and not _has_data(task):
                return False
            return await move
        finally:
            await cancel_and_wait(move)

    async def pop_successor(self) -> Preparation | None:
        """Return the engine that is being prepared once it is ready.

        None if there is none, or if its preparation fails.
        """
        successor = self._successor
        if successor is None:
            return None
        successor.allow_source()
        await asyncio.wait({successor.task})
        self._successor = None
        return successor.preparation if successor.is_ready else None

    def cancel_successor(self) -> None:
        """Give up the preparation of another engine."""
        successor, self._successor = self._successor, None
        if successor is not None:
            successor.cancel()

    @property
    def _has_ready_successor(self) -> bool:
        return self._successor is not None and self._successor.is_ready

    def _check_successor(self, server: Server) -> None:
        """Raise ``StreamStalled`` if another engine is ready."""
        if self._has_ready_successor:
            raise StreamStalled(
                f"{server.address}: silent for {self._silence_s:.2f} s"
            )

    async def _is_done_in_time(self, task: asyncio.Future[T]) -> bool:
        """Wait for data, and return whether it has come.

        The wait ends as well when the stream is to be checked, and when
        another engine is ready for it.

        Data that arrived while the event loop of this process was late is read
        first, and the delay is no silence of the engine.
        """
        ctx = self._generation.ctx
        started_s = ctx.now_s()
        wait_s = self._progress.until_check_s(started_s)
        awaited: set[asyncio.Future[Any]] = {task}
        successor = self._successor
        if successor is not None and not successor.task.done():
            awaited.add(successor.task)
        await asyncio.wait(
            awaited, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED
        )
        late_s = ctx.now_s() - started_s - wait_s
        if late_s > LATE_TIMER_S and not task.done():
            self._log_delay(late_s)
            self._progress.exclude(late_s)
        if not task.done():
            await asyncio.wait({task}, timeout=READ_GRACE_S)
        return task.done()

    @property
    def _silence_s(self) -> float:
        return self._progress.silence_s(self._generation.ctx.now_s())

    def _log_delay(self, late_s: float) -> None:
        generation = self._generation
        late_ms = round(1_000 * late_s)
        generation.log(
            "late_event_loop", events=generation.events_sent, late_ms=late_ms
        )
        generation.ctx.metrics.observe("event_loop_late_ms", late_ms)

    async def _handle_stall(
        self, server: Server, task: asyncio.Future[Any]
    ) -> None:
        """Move a run without progress, or prepare another engine for it.

        A run that cannot be moved may still continue where it is, and is kept
        until another engine is ready. That is prepared if the request may be
        executed again and its engine does not answer, or has been silent for
        a large part of the time that clients wait.
        """
        generation = self._generation
        silence_s = self._silence_s
        generation.log(
            "stalled",
            server=server.instance,
            events=generation.events_sent,
            silence_ms=round(1_000 * silence_s),
        )
        if await self.fail_over(server, task):
            raise StreamMoved(f"{server.address}: stream idle timeout")
        if not _has_data(task):
            self._check_successor(server)
        is_lost = (
            self._migration.is_source_unreachable
            or silence_s >= STALL_SHARE * generation.client_wait_s
        )
        if is_lost:
            self._prepare_successor(server)
        self._progress.postpone_check(generation.ctx.now_s())

    def _prepare_successor(self, server: Server) -> None:
        """Begin to prepare another engine, if none is being prepared."""
        if self._successor is not None and not self._successor.task.done():
            return
        self.cancel_successor()
        generation = self._generation
        spent_s = generation.ctx.now_s()
        if generation.may_execute_again and generation.budget.try_spend(
            spent_s
        ):
            generation.log("successor_started", server=server.instance)
            self._successor = Successor(generation, server, spent_s)


def _has_data(task: asyncio.Future[Any] | None) -> bool:
    """Whether a read has brought data, not the end of its stream."""
    if task is None or not task.done() or task.cancelled():
        return False
    return task.exception() is None and bool(task.result())
