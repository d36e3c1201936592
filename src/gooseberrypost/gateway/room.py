"""Room at decode engines: reserved before a prompt is read.

A prompt that no decode engine has room for would be read in vain. Engines
decide about their memory themselves, so that gateways need not agree.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from absl import logging
from mode import Service

from gooseberrypost.errors import NotRun
from gooseberrypost.gateway.transport import ServerRefused, ServerUnreachable
from gooseberrypost.policy.enginememory import Run
from gooseberrypost.policy.serverchoice import decode_order, usable
from gooseberrypost.policy.waitingorder import (
    MIN_RETRY_AFTER_S,
    Waiting,
    expected_wait_s,
    is_hopeless,
    order,
    retry_after_s,
)

if TYPE_CHECKING:
    from gooseberrypost.gateway.context import GatewayContext
    from gooseberrypost.gateway.model import Server
    from gooseberrypost.gateway.transport import Reservation

RETRY_S: Final = 0.04
"""Pause before engines that were full are asked again."""
RESERVATION_MS: Final = 2_000
"""Time in which the prompt is read; engines hold no longer."""
RESERVED_OUTPUT: Final = 0.5
"""Share of the expected output that an engine must have free at once."""
LEAVING_RETRY_MS: Final = 50
"""Pause before a client tries another gateway."""
LEAD_S: Final = 0.2
"""Time from the reservation to the first event: the prompt is read."""


class NoRoom(NotRun):
    """No decode engine had room before the client would have left."""

    code = "no_room"


@dataclass(slots=True, eq=False)
class Ticket(Waiting):
    """A waiting generation and its reservation to come."""

    service: str = ""
    request: str = ""
    excluded: set[str] = field(default_factory=set)
    run: Run = field(default_factory=lambda: Run(0, 0))
    granted: asyncio.Future[Reservation] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class DecodeRoom(Service):
    """Reserves room for the waiting generations of one gateway in order."""

    def __init__(self, ctx: GatewayContext) -> None:
        super().__init__()
        self._ctx = ctx
        self._waiting: list[Ticket] = []
        self._changed = asyncio.Event()

    async def on_started(self) -> None:
        """Serve the waiting until the service stops."""
        self.add_future(self._serve())

    async def acquire(self, ticket: Ticket) -> Reservation:
        """Wait for room; raises ``NoRoom``.

        A generation that cannot be in time behind those that wait already is
        refused at once: its client learns when to come back, instead of
        waiting for an answer that is late.
        """
        self._refuse_if_leaving(ticket)
        self._refuse_if_late(ticket)
        self._waiting.append(ticket)
        self._changed.set()
        try:
            return await ticket.granted
        except asyncio.CancelledError:
            self._drop(ticket)
            raise
        finally:
            with suppress(ValueError):
                self._waiting.remove(ticket)

    @property
    def waiting(self) -> int:
        """Number of waiting generations."""
        return len(self._waiting)

    def _refuse_if_leaving(self, ticket: Ticket) -> None:
        ctx = self._ctx
        end_s = ctx.now_s() + ctx.expected_run_s(ticket.service, ticket.output)
        if end_s > ctx.leaves_s:
            raise NoRoom(
                f"this gateway ends in {ctx.leaves_s - ctx.now_s():.1f} s",
                retry_after_ms=LEAVING_RETRY_MS,
            )

    def _refuse_if_late(self, ticket: Ticket) -> None:
        ctx = self._ctx
        now_s = ctx.now_s()
        wait_s = self._expected_wait_s(ticket)
        if now_s + wait_s + LEAD_S <= ticket.objective_s:
            return
        after_s = retry_after_s(wait_s, ctx.rng.random())
        raise NoRoom(
            f"{self.waiting} wait here for {ticket.service}, "
            f"expected wait {wait_s:.2f} s",
            retry_after_ms=round(1_000 * after_s),
        )

    def _expected_wait_s(self, ticket: Ticket) -> float:
        ctx = self._ctx
        if not self._waiting and self._candidates(ticket):
            return 0.0
        known = ctx.directory.serving(ticket.service, ctx.now_s())
        running = sum(ctx.loads.run_count(one.identity) for one in known)
        waiting = self.waiting + ctx.loads.waiting_at_peers()
        return expected_wait_s(waiting, running, ctx.run_s(ticket.service))

    def note_freed(self) -> None:
        """Look again, as a generation has ended."""
        self._changed.set()

    def _drop(self, ticket: Ticket) -> None:
        """Free a reservation that came while its client left."""
        granted = ticket.granted
        if not granted.done() or granted.cancelled() or granted.exception():
            return
        self._ctx.spawn(self._ctx.transport.cancel(granted.result()))

    async def _serve(self) -> None:
        while not self.should_stop:
            with suppress(TimeoutError):
                async with asyncio.timeout(RETRY_S if self._waiting else None):
                    await self._changed.wait()
            self._changed.clear()
            await self._round()

    async def _round(self) -> None:
        """Offer each waiting generation what room there is."""
        now_s = self._ctx.now_s()
        for ticket in list(self._waiting):
            if is_hopeless(ticket, now_s, LEAD_S):
                self._refuse(ticket)
        for ticket in order(self._waiting, now_s, LEAD_S):
            if ticket not in self._waiting:
                continue
            if not await self._reserve(ticket):
                # Those behind it wait as well, or large ones never get room.
                break

    def _refuse(self, ticket: Ticket) -> None:
        self._waiting.remove(ticket)
        if not ticket.granted.done():
            ticket.granted.set_exception(
                NoRoom(
                    f"no room in {ticket.service} in time",
                    retry_after_ms=round(1_000 * MIN_RETRY_AFTER_S),
                )
            )

    async def _reserve(self, ticket: Ticket) -> bool:
        ctx = self._ctx
        for server in self._candidates(ticket):
            if ctx.loads.of(server.identity).is_full(ctx.now_s()):
                continue
            reservation = await self._try(server, ticket)
            if reservation is None:
                continue
            if ticket in self._waiting and not ticket.granted.done():
                self._waiting.remove(ticket)
                ctx.loads.of(server.identity).runs.add(ticket.run)
                ctx.loads_changed()
                ticket.granted.set_result(reservation)
            else:
                ctx.spawn(ctx.transport.cancel(reservation))
            return True
        return False

    def _candidates(self, ticket: Ticket) -> list[Server]:
        ctx = self._ctx
        now_s = ctx.now_s()
        servers = usable(
            ctx.directory.serving(ticket.service, now_s),
            ctx.loads,
            now_s,
            ticket.excluded,
        )
        spec = ctx.engine_spec(ticket.service)
        return decode_order(
            servers,
            ctx.loads,
            (ticket.output, ticket.tokens),
            spec.kv_tokens,
            ctx.settings.zone,
            ctx.rng,
        )

    async def _try(self, server: Server, ticket: Ticket) -> Reservation | None:
        ctx = self._ctx
        load = ctx.loads.of(server.identity)
        tokens = ticket.tokens + round(RESERVED_OUTPUT * ticket.output)
        try:
            return await ctx.transport.reserve(server, tokens, RESERVATION_MS)
        except ServerRefused:
            load.refused(ctx.now_s())
            ctx.metrics.count("reservations_refused_total")
        except ServerUnreachable as failure:
            load.failed(ctx.now_s())
            logging.info(
                "event=reservation_failed request=%s server=%s detail=%r",
                ticket.request,
                server.instance,
                failure.detail,
            )
        return None
