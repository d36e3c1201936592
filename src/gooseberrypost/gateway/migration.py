"""Moves a running generation, with its KV cache, to another engine.

The gateway has the source engine stop the generation and copy its KV cache to
the target. The request is then sent to the engine that holds the copy, with
the id of the last event that the client received, and continues as the same
run.
"""

from __future__ import annotations

import asyncio
from contextlib import contextmanager, suppress
from typing import TYPE_CHECKING, Final

from gooseberrypost.gateway.transport import (
    MovedRun,
    ProcessState,
    ServerRefused,
    ServerUnreachable,
    WrongInstance,
)
from gooseberrypost.policy.migration import run_to_migrate
from gooseberrypost.policy.serverchoice import (
    migration_target,
    rank_decode_engines,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gooseberrypost.gateway.generation import Generation
    from gooseberrypost.gateway.model import Server
    from gooseberrypost.gateway.transport import AnswerLost, KvHandle
    from gooseberrypost.policy.enginememory import Run

MAX_FAILOVERS: Final = 2
"""Failovers per request of streams that stall, and of those that break off."""
MAX_HOLDER_WAIT_S: Final = 1.0
"""Time in which a stopped run must go on if the request may start anew."""
HOLDER_RETRY_S: Final = 0.05
"""Increase of the pause before an engine is asked again for a stopped run."""
MAX_HOLDER_RETRY_S: Final = 0.5
"""Longest such pause."""
PROCESS_CHECK_TIMEOUT_S: Final = 0.25
"""Timeout of the call that asks an engine for its start before a move."""
MIN_MOVE_TIMEOUT_S: Final = 1.0
"""Shortest time to wait for the end of a move."""
MOVE_INTERVAL_S: Final = 0.3
"""Minimum interval between two attempts to move the same generation."""
RETURN_INTERVAL_S: Final = 1.0
"""Minimum interval to the next move of a generation that had to return."""
MOVE_BUDGET_SHARE: Final = 0.5
"""Share of the retry budget that moves under memory pressure may use."""


class Migration:
    """Stops the generation of one exchange and moves it to another engine."""

    __slots__ = (
        "_exchange",
        "_failovers",
        "_holder_tries",
        "_holders",
        "_next_move_s",
        "_rescues",
        "_stopped_s",
        "is_source_unreachable",
        "is_stop_unknown",
        "moved",
    )

    def __init__(self, exchange: Generation) -> None:
        self._exchange = exchange
        self._failovers = 0
        """Failovers of the stream while it stalled."""
        self._rescues = 0
        """Failovers of the stream after it had broken off."""
        self._next_move_s = float("-inf")
        """Monotonic time before which the generation is not moved again."""
        self._holders: list[Server] = []
        """Engines that have the memory of the stopped run."""
        self._stopped_s = 0.0
        self._holder_tries = 0
        """Times that one of these has not taken the run."""
        self.is_source_unreachable = False
        """Whether the engine did not answer the last attempt to move."""
        self.is_stop_unknown = False
        """Whether the run may have been stopped by a call without answer."""
        self.moved: MovedRun | None = None
        """Stopped run that has not been resumed yet."""

    def pop_moved(self) -> MovedRun | None:
        """Return and clear the stopped run, which can be resumed only once."""
        moved, self.moved = self.moved, None
        return moved

    async def fail_over(
        self, server: Server, run: Run, *, is_broken: bool = False
    ) -> bool:
        """Stop a generation that makes no progress, to resume it elsewhere.

        ``is_broken`` tells that its stream has ended already. No run is
        stopped without the retry budget for its continuation.
        """
        exchange = self._exchange
        count = self._rescues if is_broken else self._failovers
        # Many runs of one engine stall together, so the budget is spent
        # before the first of them has moved.
        spent_s = exchange.ctx.now_s()
        if count >= MAX_FAILOVERS or not exchange.budget.try_spend(spent_s):
            return False
        target = self._failover_target(server, run)
        is_moved = False
        try:
            is_moved = await self._stop_and_copy(server, target, "taken_over")
        finally:
            if not is_moved:
                exchange.budget.refund(spent_s)
        if is_broken:
            self._rescues += 1
        elif not self.is_source_unreachable:
            self._failovers += 1
        return is_moved

    def choose_relief(self, server: Server, run: Run) -> Server | None:
        """Return the engine to move to before this one runs out of memory.

        None if the generation need not move. A move uses the retry budget,
        part of which is kept for failures.
        """
        exchange = self._exchange
        now_s = exchange.ctx.now_s()
        target = self._low_memory_target(server, run, now_s)
        if target is None:
            return None
        if not exchange.budget.can_spend(now_s, MOVE_BUDGET_SHARE):
            return None
        self._next_move_s = now_s + MOVE_INTERVAL_S
        return target

    async def relieve(self, server: Server, target: Server, run: Run) -> bool:
        """Move a generation to the engine that was chosen for it."""
        exchange = self._exchange
        spent_s = exchange.ctx.now_s()
        if not exchange.budget.try_spend(spent_s, MOVE_BUDGET_SHARE):
            return False
        is_moved = False
        try:
            with self._counted_at_target(target, run):
                is_moved = await self._stop_and_copy(
                    server, target, "relieved"
                )
        finally:
            if not is_moved:
                exchange.budget.refund(spent_s)
        return is_moved

    async def try_other_holder(
        self,
        server: Server,
        kv: KvHandle,
        failure: ServerUnreachable | ServerRefused | AnswerLost,
    ) -> bool:
        """Let a stopped run that ``server`` did not take go on elsewhere.

        Source and target of a move both have its memory. One that refused is
        not asked again; one that could not be reached is, after a pause.
        Returns whether ``moved`` names the next engine to ask.
        """
        exchange = self._exchange
        ctx = exchange.ctx
        load = ctx.loads.of(server.identity)
        others = [
            holder
            for holder in self._holders
            if holder.identity != server.identity
        ]
        if not isinstance(failure, ServerUnreachable):
            exchange.budget.spend(ctx.now_s())
        if isinstance(failure, ServerRefused):
            load.record_refusal(ctx.now_s())
            self._holders = others
        elif isinstance(failure, ServerUnreachable) and (
            not failure.is_own_delay
        ):
            load.record_unreachable(ctx.now_s())
        self._holder_tries += 1
        pause_s = min(
            HOLDER_RETRY_S * (self._holder_tries - 1), MAX_HOLDER_RETRY_S
        )
        until_s = exchange.deadline_s
        if exchange.is_repeatable:
            until_s = min(until_s, self._stopped_s + MAX_HOLDER_WAIT_S)
        if not self._holders or ctx.now_s() + pause_s >= until_s:
            return False
        # The memory is released if the client leaves during the pause.
        holder = (others or self._holders)[0]
        self.moved = MovedRun(kv, holder)
        await asyncio.sleep(pause_s)
        self._next_move_s = ctx.now_s() + RETURN_INTERVAL_S
        exchange.log(
            "returned", server=server.instance, target=holder.instance
        )
        ctx.metrics.count("moves_total", reason="returned")
        return True

    @contextmanager
    def _counted_at_target(self, target: Server, run: Run) -> Iterator[None]:
        """Add the run to the target's load before the KV cache is copied.

        Other gateways then see the memory as used. The run is removed again
        unless it continues there: the client may disconnect during the copy,
        or the target may lack memory.
        """
        ctx = self._exchange.ctx
        runs = ctx.loads.of(target.identity).runs
        runs.add(run)
        ctx.notify_loads_changed()
        try:
            yield
        finally:
            if self.moved is None or self.moved.server is not target:
                runs.discard(run)
                ctx.notify_loads_changed()

    def _low_memory_target(
        self, server: Server, run: Run, now_s: float
    ) -> Server | None:
        """Return the engine to move to.

        None if this generation need not leave its engine, or if no engine can
        take it.
        """
        if now_s < self._next_move_s or self.moved is not None:
            return None
        exchange = self._exchange
        loads = exchange.ctx.loads
        kv_tokens = exchange.ctx.engine_spec(exchange.service).kv_tokens
        sizes = loads.run_sizes(server.identity, now_s)
        if run_to_migrate(sizes, kv_tokens) != run.size:
            return None
        other_servers = self._other_servers(server)
        return migration_target(
            other_servers, loads, run.size, kv_tokens, server.zone, now_s
        )

    def _failover_target(self, server: Server, run: Run) -> Server:
        exchange = self._exchange
        ctx = exchange.ctx
        targets = rank_decode_engines(
            self._other_servers(server),
            ctx.loads,
            run.size,
            ctx.engine_spec(exchange.service).kv_tokens,
            ctx.settings.zone,
            ctx.now_s(),
            ctx.rng,
            ctx.decode_expectation(
                exchange.service, exchange.route.target_gap_ms
            ),
        )
        return targets[0] if targets else server

    def _other_servers(self, server: Server) -> list[Server]:
        """Return the servers to which a run at ``server`` may move.

        A stream goes on only at the software version that began it.
        """
        ctx = self._exchange.ctx
        return [
            other
            for other in self._exchange.servers()
            if other.identity != server.identity
            and other.version == server.version
            and not ctx.loads.limit_wait_s(other.identity, ctx.now_s())
        ]

    async def _stop_and_copy(
        self, server: Server, target: Server, event: str
    ) -> bool:
        """Stop a generation and copy its KV cache to another engine."""
        exchange = self._exchange
        try:
            await self._check_process(server)
            self.moved = await self._call_stop_and_copy(server, target)
        except (ServerRefused, ServerUnreachable) as failure:
            self.is_source_unreachable = isinstance(failure, ServerUnreachable)
            exchange.log(
                "takeover_failed",
                server=server.instance,
                events=exchange.events_sent,
                code=failure.code,
                detail=failure.detail,
            )
            return False
        self.is_source_unreachable = False
        holders = {one.identity: one for one in (self.moved.server, server)}
        self._holders, self._holder_tries = list(holders.values()), 0
        self._stopped_s = exchange.ctx.now_s()
        exchange.log(
            event,
            server=server.instance,
            target=self.moved.server.instance,
            events=exchange.events_sent,
        )
        exchange.ctx.metrics.count("moves_total", reason=event)
        return True

    async def _call_stop_and_copy(
        self, server: Server, target: Server
    ) -> MovedRun:
        """Call an engine, whose answer names the only copy of the run.

        If the caller is cancelled, the copy is released when it is known.
        """
        exchange = self._exchange
        call = asyncio.create_task(
            exchange.ctx.transport.stop_and_copy(
                server,
                exchange.req,
                target,
                max(MIN_MOVE_TIMEOUT_S, exchange.remaining_s),
            )
        )
        try:
            return await asyncio.shield(call)
        except ServerUnreachable:
            self.is_stop_unknown = True
            raise
        except asyncio.CancelledError:
            exchange.ctx.spawn(self._release_copy(call))
            raise

    async def _release_copy(self, call: asyncio.Task[MovedRun]) -> None:
        with suppress(ServerRefused, ServerUnreachable):
            moved = await call
            await self._exchange.ctx.transport.release_kv(moved.kv)

    async def _check_process(self, server: Server) -> None:
        """Raise unless the process at which the generation runs answers.

        Another process at the server's id may have another version. One that
        does not answer may stop the run later, when nobody hears of it.
        """
        state = await self._exchange.ctx.transport.process_state(
            server, PROCESS_CHECK_TIMEOUT_S
        )
        if state is ProcessState.ENDED:
            raise WrongInstance(server.identity)
        if state is ProcessState.UNKNOWN:
            raise ServerUnreachable(f"{server.address}: no report")
