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
from gooseberrypost.policy.enginememory import Run, must_yield
from gooseberrypost.policy.serverchoice import decode_order, usable
from gooseberrypost.policy.waitingorder import (
    MIN_RETRY_AFTER_S,
    Waiting,
    expected_wait_s,
    is_hopeless,
    order,
    retry_after_s,
    turn_ms,
)

if TYPE_CHECKING:
    from gooseberrypost.gateway.context import GatewayContext
    from gooseberrypost.gateway.model import Server
    from gooseberrypost.gateway.transport import Reservation

RETRY_S: Final = 0.04
"""Pause before engines that were full are asked again."""
RESERVATION_MS: Final = 2_000
"""Time in which the prompt is read; engines hold no longer."""
ROUND_S: Final = 0.008
"""Least pause between two looks at the engines.

Each notice of another gateway is a reason to look again, and a look costs up
to a millisecond; with turns of 12 ms more looks find nothing more.
"""
TURN_S: Final = 0.012
"""Time for a reservation and the notice of it."""
MAX_TURNS: Final = 8
"""Gateways waited for at most; more hardly ever want the same room."""
RESERVED_OUTPUT: Final = 0.1
"""Share of the expected output that an engine must have free at once."""
LEAVING_RETRY_MS: Final = 50
"""Pause before a client tries another gateway."""


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
        self._open_since_s: dict[str, float] = {}
        """Since when the first generation of a service would find room."""

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
        self._ctx.loads_changed()
        try:
            return await ticket.granted
        except asyncio.CancelledError:
            self._drop(ticket)
            raise
        finally:
            with suppress(ValueError):
                self._waiting.remove(ticket)

    @property
    def has_waiting(self) -> bool:
        """Whether any generation waits for room."""
        return bool(self._waiting)

    @property
    def waiting(self) -> int:
        """Number of waiting generations that can still be in time."""
        now_s = self._ctx.now_s()
        return sum(now_s < ticket.objective_s for ticket in self._waiting)

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
        if ticket.objective_s <= now_s:
            # It is late already and has no other try: it waits for a gap.
            return
        wait_s = self._expected_wait_s(ticket)
        if wait_s <= 0:
            # With room at hand nothing is gained by a refusal; and only
            # requests that are served tell when prompts are read faster.
            return
        lead_s = self._lead_s(ticket)
        if now_s + wait_s + lead_s <= ticket.objective_s:
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
        known = ctx.directory.available_servers(ticket.service, ctx.now_s())
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
        reservation = granted.result()
        self._forget(reservation.server, ticket)
        self._ctx.spawn(self._ctx.transport.cancel_reservation(reservation))

    def _forget(self, server: Server, ticket: Ticket) -> None:
        self._ctx.loads.of(server.identity).runs.discard(ticket.run)
        self._ctx.loads_changed()

    async def _serve(self) -> None:
        while not self.should_stop:
            with suppress(TimeoutError):
                async with asyncio.timeout(RETRY_S if self._waiting else None):
                    await self._changed.wait()
            self._changed.clear()
            try:
                await self._round()
            except Exception:
                # The generations that wait must not wait for ever.
                logging.exception("event=room_round_failed")
            if self._waiting:
                await self.sleep(ROUND_S)

    async def _round(self) -> None:
        """Offer each waiting generation what room there is."""
        now_s = self._ctx.now_s()
        for ticket in list(self._waiting):
            if is_hopeless(ticket, now_s, self._lead_s(ticket)):
                self._refuse(ticket)
        for service in {ticket.service for ticket in self._waiting}:
            while ticket := self._first(service):
                # Those behind the first wait as well, or large ones never get
                # room.
                if not self._has_turn(ticket):
                    break
                if not await self._reserve(ticket):
                    break
                self._open_since_s.pop(service, None)

    def _first(self, service: str | None = None) -> Ticket | None:
        """Return who is served next, of one service or of all."""
        waiting = [
            ticket
            for ticket in self._waiting
            if service in (None, ticket.service)
        ]
        if not waiting:
            return None
        lead_s = max(map(self._lead_s, waiting))
        return order(waiting, self._ctx.now_s(), lead_s)[0]

    def _has_turn(self, ticket: Ticket) -> bool:
        """Whether a generation may take the room that there is now.

        Room that becomes free is seen by all gateways at once. Those whose
        generations have a later turn look again after the ones before them
        had the time to take it and to say so.
        """
        ctx = self._ctx
        now_s = ctx.now_s()
        if not self._candidates(ticket):
            self._open_since_s.pop(ticket.service, None)
            return False
        since_s = self._open_since_s.setdefault(ticket.service, now_s)
        turn = turn_ms(ticket, now_s, self._lead_s(ticket))
        before = min(ctx.loads.before(turn, now_s), MAX_TURNS)
        wait_s = since_s + before * TURN_S - now_s
        if wait_s <= 0:
            return True
        asyncio.get_running_loop().call_later(wait_s, self._changed.set)
        return False

    @property
    def turn_ms(self) -> int | None:
        """Turn of the first waiting generation; None without any."""
        ticket = self._first()
        if ticket is None:
            return None
        return turn_ms(ticket, self._ctx.now_s(), self._lead_s(ticket))

    def _lead_s(self, ticket: Ticket) -> float:
        return self._ctx.lead_s(ticket.service)

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
            # The others hear of it before the engine answers.
            ctx.loads.of(server.identity).runs.add(ticket.run)
            ctx.loads_changed()
            reservation = await self._try(server, ticket)
            if reservation is None:
                self._forget(server, ticket)
                continue
            if self._must_yield(server, ticket):
                ctx.metrics.count("reservations_yielded_total")
                self._forget(server, ticket)
                ctx.spawn(ctx.transport.cancel_reservation(reservation))
                continue
            if ticket in self._waiting and not ticket.granted.done():
                self._waiting.remove(ticket)
                ticket.granted.set_result(reservation)
            else:
                self._forget(server, ticket)
                ctx.spawn(ctx.transport.cancel_reservation(reservation))
            return True
        return False

    def _must_yield(self, server: Server, ticket: Ticket) -> bool:
        """Whether others took the same room while this one was reserved."""
        ctx = self._ctx
        sizes = ctx.loads.run_sizes(server.identity, ctx.now_s())
        kv_tokens = ctx.engine_spec(ticket.service).kv_tokens
        return must_yield(sizes, ticket.run.size, kv_tokens)

    def _candidates(self, ticket: Ticket) -> list[Server]:
        ctx = self._ctx
        now_s = ctx.now_s()
        servers = usable(
            ctx.directory.available_servers(ticket.service, now_s),
            ctx.loads,
            now_s,
            ticket.excluded,
        )
        spec = ctx.engine_spec(ticket.service)
        return decode_order(
            servers,
            ctx.loads,
            ticket.run.size,
            spec.kv_tokens,
            ctx.settings.zone,
            now_s,
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
            load.unreachable(ctx.now_s())
            ctx.loads_changed()
            logging.info(
                "event=reservation_failed request=%s server=%s detail=%r",
                ticket.request,
                server.instance,
                failure.detail,
            )
        return None
