"""Lets a generation go on at another engine, as the same run.

Its engine is told to stop and to copy its memory. The generation is then sent
to the engine that has the copy, with the last event that its client has.
"""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING, Final

from gooseberrypost.gateway.transport import ServerRefused, ServerUnreachable
from gooseberrypost.policy.migration import run_to_migrate
from gooseberrypost.policy.serverchoice import (
    migration_target,
    rank_decode_engines,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gooseberrypost.gateway.exchange import Exchange
    from gooseberrypost.gateway.model import Server
    from gooseberrypost.gateway.transport import MovedRun
    from gooseberrypost.policy.enginememory import Run

MAX_TAKEOVERS: Final = 2
RELIEF_INTERVAL_S: Final = 0.3
"""Pause between two moves of a generation, and after one that failed."""
RELIEF_BUDGET_SHARE: Final = 0.5
"""Part of the budget of repeats that moves may use."""


class Relocation:
    """Stops the generation of one exchange, to go on with it elsewhere."""

    __slots__ = ("_exchange", "_relief_after_s", "_takeovers", "moved")

    def __init__(self, exchange: Exchange) -> None:
        self._exchange = exchange
        self._takeovers = 0
        self._relief_after_s = float("-inf")
        """Time before which the generation is not moved again."""
        self.moved: MovedRun | None = None
        """Stopped, and not resumed yet."""

    def take(self) -> MovedRun | None:
        """Return the stopped run, which can be resumed once."""
        moved, self.moved = self.moved, None
        return moved

    async def take_over(self, server: Server, run: Run) -> bool:
        """Stop a generation that its engine has left silent."""
        if self._takeovers >= MAX_TAKEOVERS:
            return False
        self._takeovers += 1
        target = self._takeover_target(server, run)
        return await self._stop(server, target, "taken_over")

    async def relieve(self, server: Server, run: Run) -> bool:
        """Stop a generation before its engine runs out of memory."""
        exchange = self._exchange
        now_s = exchange.ctx.now_s()
        target = self._relief_target(server, run, now_s)
        if target is None:
            return False
        # A move counts as a repeat, of which failures need the most.
        if not exchange.budget.try_spend(now_s, RELIEF_BUDGET_SHARE):
            return False
        self._relief_after_s = now_s + RELIEF_INTERVAL_S
        with self._announced(target, run):
            return await self._stop(server, target, "relieved")

    @contextmanager
    def _announced(self, target: Server, run: Run) -> Iterator[None]:
        """Tell the others of the room that is taken before the copy is made.

        It stays announced only if the run goes on there; a client may leave
        meanwhile, or the target have no room.
        """
        ctx = self._exchange.ctx
        runs = ctx.loads.of(target.identity).runs
        runs.add(run)
        ctx.loads_changed()
        try:
            yield
        finally:
            if self.moved is None or self.moved.server is not target:
                runs.discard(run)
                ctx.loads_changed()

    def _relief_target(
        self, server: Server, run: Run, now_s: float
    ) -> Server | None:
        """Engine to move to; None: this engine has memory for everybody."""
        if now_s < self._relief_after_s or self.moved is not None:
            return None
        exchange = self._exchange
        loads = exchange.ctx.loads
        kv_tokens = exchange.ctx.engine_spec(exchange.service).kv_tokens
        sizes = loads.run_sizes(server.identity, now_s)
        if run_to_migrate(sizes, kv_tokens) != run.size:
            return None
        others = self._others(server)
        return migration_target(
            others, loads, run.size, kv_tokens, server.zone, now_s
        )

    def _takeover_target(self, server: Server, run: Run) -> Server:
        exchange = self._exchange
        ctx = exchange.ctx
        found = rank_decode_engines(
            self._others(server),
            ctx.loads,
            run.size,
            ctx.engine_spec(exchange.service).kv_tokens,
            ctx.settings.zone,
            ctx.now_s(),
            ctx.rng,
        )
        return found[0] if found else server

    def _others(self, server: Server) -> list[Server]:
        return [
            one
            for one in self._exchange.servers()
            if one.identity != server.identity
        ]

    async def _stop(self, server: Server, target: Server, event: str) -> bool:
        """Stop a generation and copy its memory to another engine."""
        exchange = self._exchange
        try:
            self.moved = await exchange.ctx.transport.stop_and_copy(
                server, exchange.req, target
            )
        except (ServerRefused, ServerUnreachable) as failure:
            exchange.log(
                "takeover_failed",
                server=server.instance,
                events=exchange.events_sent,
                code=failure.code,
                detail=failure.detail,
            )
            return False
        exchange.log(
            event,
            server=server.instance,
            target=self.moved.server.instance,
            events=exchange.events_sent,
        )
        exchange.ctx.metrics.count("moves_total", reason=event)
        return True
