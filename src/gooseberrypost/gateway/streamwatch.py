"""Waits for the events of a stream, and acts when its engine is silent."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Any, Final, TypeVar

from gooseberrypost.errors import Failure, NotRun
from gooseberrypost.gateway.successor import Successor
from gooseberrypost.gateway.tasks import cancel_and_wait
from gooseberrypost.gateway.transport import AnswerLost
from gooseberrypost.policy.enginememory import Run
from gooseberrypost.policy.inlineprefill import DECODE_PREFILL_SLOWDOWN
from gooseberrypost.policy.serverchoice import prefill_time_ms
from gooseberrypost.policy.streamprogress import StreamProgress, idle_timeout_s

if TYPE_CHECKING:
    from collections.abc import Awaitable, Coroutine

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
SUCCESSOR_RETRY_S: Final = 0.1
"""Time after which the preparation of another engine is begun again."""
STREAM_CLOSE_TIMEOUT_S: Final = 0.1
"""Time allowed for an engine to close the stream of a stopped generation."""

T = TypeVar("T")


class GenerationMoved(Failure):
    """The generation continues at another engine, as memory ran low."""

    code = "relieved"


class StreamStalled(AnswerLost):
    """The decode engine sends no event, and another engine is ready."""

    code = "stream_stalled"


class StreamMoved(AnswerLost):
    """A stalled run was stopped, to continue at another engine."""

    code = "stream_moved"


class StreamWatch:
    """Watches the progress of a generation at its decode engine.

    A run without progress is moved, or another engine is prepared for it. A
    run is moved as well before its engine runs out of memory. Events that
    arrive meanwhile are returned as usual.
    """

    __slots__ = (
        "_generation",
        "_is_stalled",
        "_migration",
        "_move",
        "_moved_by",
        "_progress",
        "_run",
        "_successor",
        "_successor_due_s",
    )

    def __init__(self, generation: Generation, migration: Migration) -> None:
        self._generation = generation
        self._migration = migration
        self._run = Run(0, 0)
        self._progress = StreamProgress(0.0, 0.0, 0.0)
        """Events of the current decode attempt."""
        self._is_stalled = False
        """Whether there was no event since the stream was found stalled."""
        self._move: asyncio.Task[bool] | None = None
        """Move of the run that is under way; returns whether it was moved."""
        self._moved_by: type[Failure] = StreamMoved
        """Type of the failure that ends the attempt after this move."""
        self._successor: Successor | None = None
        """Engine that is prepared as the current one is silent."""
        self._successor_due_s = math.inf
        """Time at which one is prepared if the move is not answered."""

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
        self._migration.is_stop_unknown = False
        self._run = run
        self._progress = StreamProgress(ctx.now_s(), idle_s, first_event_s)
        self._is_stalled, self._successor_due_s = False, math.inf

    def close(self) -> None:
        """Give up what was begun for the stream."""
        self.give_up_move()
        self.cancel_successor()

    def give_up_move(self) -> None:
        """Stop waiting for a move; its copy is released when it is known."""
        move, self._move = self._move, None
        if move is not None:
            self._migration.is_stop_unknown = True
            move.cancel()
            self._generation.ctx.spawn(cancel_and_wait(move))

    def record_event(self, now_s: float) -> None:
        """Record progress: the engine is at work after all."""
        self.cancel_successor()
        self._progress.record_event(now_s)
        self._is_stalled, self._successor_due_s = False, math.inf

    def relieve(self, server: Server) -> None:
        """Begin to move the run if its engine runs out of memory."""
        if self._move is not None:
            return
        target = self._migration.choose_relief(server, self._run)
        if target is not None:
            self._begin_move(
                self._migration.relieve(server, target, self._run),
                GenerationMoved,
            )

    async def wait(
        self, server: Server, work: Awaitable[T], *, ends_whole: bool = False
    ) -> T:
        """Wait for data from an engine; fail over when no event arrives.

        The connection stays open during the failover, because an engine drops
        a generation whose connection is closed. ``ends_whole`` tells that
        the end of the data shows a complete stream. Raises ``StreamMoved``,
        ``GenerationMoved`` or ``StreamStalled``.
        """
        task = asyncio.ensure_future(work)
        try:
            while True:
                await self._wait_for_change(task)
                if _has_data(task, ends_whole):
                    return task.result()
                if task.done():
                    await self._check_end(server, task)
                    return task.result()
                if self._move is not None and self._move.done():
                    if await self._has_moved(server, task):
                        if _has_data(task, ends_whole):
                            return task.result()
                        self._move = None
                        raise self._moved_by(server.address)
                    continue
                self._check_successor(server)
                self._check_times(server)
        finally:
            await cancel_and_wait(task)

    async def finish_move(self, server: Server) -> None:
        """Wait for a move that is under way, or for another engine."""
        if self._move is not None:
            await self._settle(server)

    async def fail_over(self, server: Server) -> bool:
        """Move the run of a stream that broke off; returns whether it was."""
        if self._move is not None and await self._settle(server):
            return True
        if self._has_ready_successor:
            return False
        self._begin_move(
            self._migration.fail_over(server, self._run, is_broken=True),
            StreamMoved,
        )
        return await self._settle(server)

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

    def _begin_move(
        self, move: Coroutine[Any, Any, bool], moved_by: type[Failure]
    ) -> None:
        self._move = asyncio.create_task(move)
        self._moved_by = moved_by

    async def _settle(self, server: Server) -> bool:
        """Wait for the move of a stream that has ended.

        If the engine takes long to answer, another one is prepared beside it,
        and the move is given up when that is ready first. Returns whether the
        run was moved.
        """
        move = self._move
        assert move is not None
        await asyncio.wait({move}, timeout=self._move_wait_s)
        while not move.done():
            self._prepare_successor(server)
            if self._successor is None:
                await asyncio.wait({move})
                break
            await asyncio.wait(
                {move, self._successor.task},
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not move.done() and self._has_ready_successor:
                self.give_up_move()
                return False
            await asyncio.wait({move}, timeout=SUCCESSOR_RETRY_S)
        self._move = None
        return move.result()

    async def _check_end(
        self, server: Server, task: asyncio.Future[Any]
    ) -> None:
        """Raise if a stream ended because its run was stopped.

        An engine ends the stream of a run that it stops. Without framing that
        looks like the end of a whole stream.
        """
        if isinstance(task.exception(), NotRun):
            self.give_up_move()
            return
        if self._move is not None and await self._settle(server):
            raise self._moved_by(server.address)
        if task.exception() is None and self._migration.is_stop_unknown:
            raise AnswerLost(f"{server.address}: ended beside a move")

    async def _has_moved(
        self, server: Server, task: asyncio.Future[Any]
    ) -> bool:
        """Whether a move that has ended has moved the run.

        What the engine had sent before it stopped the run is read.
        """
        move = self._move
        assert move is not None
        if move.result():
            await asyncio.wait({task}, timeout=STREAM_CLOSE_TIMEOUT_S)
            return True
        self._move = None
        if self._is_stalled:
            self._prepare_if_lost(server)
        return False

    def _check_successor(self, server: Server) -> None:
        """Raise ``StreamStalled`` if another engine is ready."""
        if self._has_ready_successor:
            self.give_up_move()
            raise StreamStalled(
                f"{server.address}: silent for {self._silence_s:.2f} s"
            )

    def _check_times(self, server: Server) -> None:
        """Act if the stream has stalled, or its move takes long."""
        now_s = self._generation.ctx.now_s()
        if self._move is None:
            self._successor_due_s = math.inf
        elif now_s >= self._successor_due_s:
            self._successor_due_s = now_s + SUCCESSOR_RETRY_S
            self._prepare_successor(server)
        if self._progress.until_check_s(now_s) <= 0:
            self._handle_stall(server)

    async def _wait_for_change(self, task: asyncio.Future[Any]) -> None:
        """Wait for data, a move, another engine, or the next check.

        Data that arrived while the event loop of this process was late is read
        first, and the delay is no silence of the engine.
        """
        ctx = self._generation.ctx
        started_s = ctx.now_s()
        wait_s = min(
            self._progress.until_check_s(started_s),
            max(0.0, self._successor_due_s - started_s),
        )
        awaited = {task}
        if self._move is not None:
            awaited.add(self._move)
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

    @property
    def _silence_s(self) -> float:
        return self._progress.silence_s(self._generation.ctx.now_s())

    @property
    def _move_wait_s(self) -> float:
        """Time to wait for a move before another engine is prepared."""
        generation = self._generation
        left_s = generation.client_waits_until_s - generation.ctx.now_s()
        return max(0.0, MOVE_SHARE * left_s)

    def _log_delay(self, late_s: float) -> None:
        generation = self._generation
        late_ms = round(1_000 * late_s)
        generation.log(
            "late_event_loop", events=generation.events_sent, late_ms=late_ms
        )
        generation.ctx.metrics.observe("event_loop_late_ms", late_ms)

    def _handle_stall(self, server: Server) -> None:
        """Begin to move a run without progress.

        A run that cannot be moved may still continue where it is, and is kept
        until another engine is ready.
        """
        generation = self._generation
        now_s = generation.ctx.now_s()
        generation.log(
            "stalled",
            server=server.instance,
            events=generation.events_sent,
            silence_ms=round(1_000 * self._silence_s),
        )
        self._is_stalled = True
        if self._move is None:
            self._begin_move(
                self._migration.fail_over(server, self._run), StreamMoved
            )
        self._successor_due_s = min(
            self._successor_due_s, now_s + self._move_wait_s
        )
        self._progress.postpone_check(now_s)

    def _prepare_if_lost(self, server: Server) -> None:
        """Prepare another engine for a run that may not go on.

        Its engine does not answer, or has been silent for a large part of the
        time that clients wait.
        """
        if (
            self._migration.is_source_unreachable
            or self._silence_s >= STALL_SHARE * self._generation.client_wait_s
        ):
            self._prepare_successor(server)

    def _prepare_successor(self, server: Server) -> None:
        """Begin to prepare another engine, if none is being prepared.

        The request must be one that may be executed again.
        """
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


def _has_data(task: asyncio.Future[Any], ends_whole: bool) -> bool:
    """Whether a read has brought data, or the end of a whole stream."""
    if not task.done() or task.cancelled() or task.exception() is not None:
        return False
    return ends_whole or task.result() != b""
