"""Reservations of decode memory, asked of one engine after the other.

Each engine alone admits reservations to its memory, so that gateways need not
agree with each other.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from absl import logging

from gooseberrypost.gateway.model import Stage
from gooseberrypost.gateway.transport import ServerRefused, ServerUnreachable
from gooseberrypost.policy.enginememory import Run, must_release_reservation
from gooseberrypost.policy.queueorder import QueuedGeneration
from gooseberrypost.policy.serverchoice import (
    eligible_servers,
    has_places,
    rank_decode_engines,
)

if TYPE_CHECKING:
    from collections.abc import Collection

    from gooseberrypost.gateway.context import GatewayContext
    from gooseberrypost.gateway.model import Server
    from gooseberrypost.gateway.transport import Reservation

RESERVATION_TTL_MS: Final = 2_000
"""Lifetime of a reservation, within which the prompt must be prefilled.

An engine frees a reservation that is not used within this time.
"""
SLOW_RESERVATION_S: Final = 0.04
"""Time after which the next generation no longer waits for a reservation."""
RESERVED_OUTPUT_SHARE: Final = 0.1
"""Share of the expected output that is reserved in addition to the prompt."""


Line = tuple[str, str | None, str]


@dataclass(slots=True, eq=False)
class PendingReservation(QueuedGeneration):
    """A queued generation and the future of its reservation."""

    service: str = ""
    request: str = ""
    """Request id, for the log."""
    deadline_s: float = 0.0
    """Time at which the client times out."""
    excluded: set[str] = field(default_factory=set)
    """Identities of servers that are not tried."""
    run: Run = field(default_factory=lambda: Run(0, 0))
    gap_ms: float = 0.0
    """Objective for the time between two events; 0 for none."""
    version: str | None = None
    """Software version at which the stream must go on; None for any."""
    is_prefilled: bool = False
    """Whether the prompt has been prefilled already."""
    is_reserving: bool = False
    """Whether an engine has been asked, or has reserved memory.

    The run then counts at that engine.
    """
    granted: asyncio.Future[Reservation] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )
    """Result of the wait: the reservation or a refusal."""

    @property
    def line(self) -> Line:
        """Service, version, and engine that still runs the generation.

        Only generations that share all of them wait for each other.
        """
        return self.service, self.version, self.source


class Reserver:
    """Asks engines for memory, for several generations if they are slow."""

    __slots__ = ("_ctx", "_tasks")

    def __init__(self, ctx: GatewayContext) -> None:
        self._ctx = ctx
        self._tasks: set[asyncio.Task[None]] = set()
        """Reservations that are under way."""

    async def start(
        self, pending: PendingReservation, kept: Collection[str]
    ) -> bool:
        """Ask engines, and wait for them unless they are slow.

        Those that are ``kept`` for others are not asked. Returns whether one
        has reserved memory, or may still do so.
        """
        server = self._next_server(pending, kept)
        if server is None:
            return False
        pending.is_reserving = True
        task = asyncio.create_task(self._reserve(pending, server, kept))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        await asyncio.wait({task}, timeout=SLOW_RESERVATION_S)
        return pending.is_reserving

    def _next_server(
        self, pending: PendingReservation, tried: Collection[str]
    ) -> Server | None:
        """Return the engine to ask next, and count the run there.

        Other gateways are notified before the engine answers, to avoid
        conflicting reservations.
        """
        ctx = self._ctx
        for server in self.candidates(pending):
            load = ctx.loads.of(server.identity)
            if server.identity in tried or load.is_full(ctx.now_s()):
                continue
            load.runs.add(pending.run)
            ctx.notify_loads_changed()
            ctx.count_send(server)
            return server
        return None

    async def _reserve(
        self,
        pending: PendingReservation,
        server: Server | None,
        kept: Collection[str],
    ) -> None:
        """Ask one engine after the other until one has reserved memory.

        Ends as well once the generation waits no more: its client has left,
        or it was refused.
        """
        tried = set(kept)
        try:
            while server is not None:
                if await self._reserve_at(server, pending):
                    return
                tried.add(server.identity)
                if pending.granted.done():
                    break
                server = self._next_server(pending, tried)
        except Exception:
            # The generation stays in the queue, and is tried again.
            logging.exception("event=room_round_failed")
            if server is not None:
                self.remove_run(server, pending)
        pending.is_reserving = False

    async def _reserve_at(
        self, server: Server, pending: PendingReservation
    ) -> bool:
        """Ask an engine; returns whether the generation needs no other one."""
        ctx = self._ctx
        self._log_unneeded(server, pending, "asked")
        reservation = await self._try_reserve(server, pending)
        if reservation is None:
            self.remove_run(server, pending)
            return False
        is_waiting = not pending.granted.done()
        self._log_unneeded(server, pending, "granted")
        if is_waiting and not self._must_release(server, pending):
            pending.granted.set_result(reservation)
            return True
        if is_waiting:
            ctx.metrics.count("reservations_yielded_total")
        self.remove_run(server, pending)
        ctx.spawn(ctx.transport.cancel_reservation(reservation))
        return not is_waiting

    def _log_unneeded(
        self, server: Server, pending: PendingReservation, step: str
    ) -> None:
        """Log a reservation for a generation that does not wait any more."""
        if not pending.granted.done():
            return
        logging.info(
            "event=unneeded_reservation request=%s server=%s step=%s",
            pending.request,
            server.instance,
            step,
        )
        self._ctx.metrics.count("unneeded_reservations_total", step=step)

    def _must_release(
        self, server: Server, pending: PendingReservation
    ) -> bool:
        """Whether to cancel, as other gateways reserved the same memory."""
        if pending.is_interrupted:
            return False
        ctx = self._ctx
        sizes = ctx.loads.run_sizes(server.identity, ctx.now_s())
        kv_tokens = ctx.engine_spec(pending.service).kv_tokens
        return must_release_reservation(sizes, pending.run.size, kv_tokens)

    def candidates(
        self, pending: PendingReservation, kept: Collection[str] = ()
    ) -> list[Server]:
        """Return the engines that can admit a generation, in order.

        Those that are ``kept`` for others are left out.

        While the prefill engines have a backlog, only engines that can prefill
        the prompt themselves are left.

        Engines that refused this generation before come in only if no other
        one has memory: they may have refused a KV cache that had expired.
        """
        ranked = self._ranked(pending, pending.excluded) or (
            self._ranked(pending, ()) if pending.excluded else []
        )
        gate, now_s = self._ctx.prefill_gate, self._ctx.now_s()
        is_open = gate.is_open(pending, now_s)
        return [
            server
            for server in ranked
            if server.identity not in kept
            and (
                is_open
                or gate.fits_inline(
                    pending.service, pending.tokens, server, now_s
                )
            )
        ]

    def _ranked(
        self, pending: PendingReservation, excluded: Collection[str]
    ) -> list[Server]:
        ctx = self._ctx
        now_s = ctx.now_s()
        servers = eligible_servers(
            self.servers(pending),
            ctx.loads,
            now_s,
            excluded,
        )
        spec = ctx.engine_spec(pending.service)
        return rank_decode_engines(
            [
                server
                for server in servers
                if not ctx.loads.limit_wait_s(server.identity, now_s)
                and not ctx.loads.of(server.identity).is_full(now_s)
            ],
            ctx.loads,
            pending.run.size,
            spec.kv_tokens,
            ctx.settings.zone,
            now_s,
            ctx.rng,
            ctx.decode_expectation(pending.service, pending.gap_ms),
        )

    async def _try_reserve(
        self, server: Server, pending: PendingReservation
    ) -> Reservation | None:
        ctx = self._ctx
        load = ctx.loads.of(server.identity)
        tokens = pending.tokens + round(RESERVED_OUTPUT_SHARE * pending.output)
        try:
            return await ctx.transport.reserve(
                server, tokens, RESERVATION_TTL_MS
            )
        except ServerRefused:
            load.record_refusal(ctx.now_s())
            ctx.metrics.count("reservations_refused_total")
        except ServerUnreachable as failure:
            if not failure.is_own_delay:
                load.record_unreachable(ctx.now_s())
                ctx.notify_loads_changed()
            logging.info(
                "event=reservation_failed request=%s server=%s detail=%r",
                pending.request,
                server.instance,
                failure.detail,
            )
        return None

    def emptiest(self, pending: PendingReservation) -> set[str]:
        """Return the identity of the engine that will have the most memory.

        It is one at which the generation may decode; empty if there is none.
        """
        loads, now_s = self._ctx.loads, self._ctx.now_s()

        def key(identity: str) -> tuple[bool, float]:
            peak_tokens = loads.predict_peak_tokens(identity, now_s)
            return loads.is_suspect(identity, now_s), peak_tokens

        identities = [
            server.identity
            for server in self.servers(pending)
            if not server.draining
        ]
        return {min(identities, key=key)} if identities else set()

    def has_places(
        self, pending: PendingReservation, needed: int, kept: Collection[str]
    ) -> bool:
        """Whether engines can admit this many runs of a generation's size.

        Those that are ``kept`` for others do not count.
        """
        ctx = self._ctx
        now_s = ctx.now_s()
        servers = eligible_servers(
            self.servers(pending), ctx.loads, now_s, pending.excluded
        )
        return has_places(
            [
                server
                for server in servers
                if server.identity not in kept
                and not ctx.loads.limit_wait_s(server.identity, now_s)
                and not ctx.loads.of(server.identity).is_full(now_s)
            ],
            ctx.loads,
            pending.run.size,
            ctx.engine_spec(pending.service).kv_tokens,
            needed,
            now_s,
        )

    def servers(self, pending: PendingReservation) -> list[Server]:
        """Return the servers at which the generation may decode."""
        ctx = self._ctx
        servers = ctx.directory.available_servers(pending.service, ctx.now_s())
        return [
            server
            for server in servers
            if server.stage is not Stage.PREFILL
            and server.identity != pending.source
            and pending.version in (None, server.version)
        ]

    def remove_run(self, server: Server, pending: PendingReservation) -> None:
        """Stop counting a generation at an engine."""
        self._ctx.loads.of(server.identity).runs.discard(pending.run)
        self._ctx.notify_loads_changed()
