"""Memory at a decode engine and the prefilled prompt of one generation."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING, Final, NamedTuple

from gooseberrypost.gateway.exchange import CONNECT_TIMEOUT_S
from gooseberrypost.gateway.reserver import (
    RESERVATION_TTL_MS,
    PendingReservation,
)
from gooseberrypost.gateway.tasks import cancel_and_wait
from gooseberrypost.gateway.transport import (
    AnswerLost,
    SendOptions,
    ServerRefused,
    ServerUnreachable,
)
from gooseberrypost.policy.enginememory import Run, predict_output_tokens
from gooseberrypost.policy.fairshare import share_account
from gooseberrypost.policy.queueorder import aged_at_s, first_event_due_in_s
from gooseberrypost.policy.serverchoice import (
    choose_prefill,
    prefill_time_ms,
    should_prefill_on_decode,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gooseberrypost.gateway.generation import Generation
    from gooseberrypost.gateway.model import Server
    from gooseberrypost.gateway.transport import KvHandle, Reservation
    from gooseberrypost.policy.serverload import ServerLoad

PREFILL_TIMEOUT_FACTOR: Final = 6.0
"""Multiple of the predicted prefill time after which a prefill times out."""
MIN_PREFILL_TIMEOUT_S: Final = 1.0
"""Lower bound of the prefill timeout."""
MAX_PREFILL_WAIT_S: Final = RESERVATION_TTL_MS / 2_000
"""Longest wait for the rate limit of a prefill engine.

Half of a reservation's lifetime is left for the prefill.
"""
KV_REUSE_SHARE: Final = 0.7
"""Share of the engine's KV cache retention time during which reuse is tried.

A KV cache that is older is released instead of used for another attempt.
"""


class Prepared(NamedTuple):
    """What a decode attempt needs."""

    reservation: Reservation
    kv: KvHandle | None
    """None if the decode engine prefills the prompt itself."""
    run: Run
    """Already counted at the decode engine."""


class Preparation:
    """Reserves decode memory and prefills the prompt of a generation.

    What was achieved is kept until an attempt takes it, so that the next call
    of ``complete`` goes on from there.
    """

    __slots__ = (
        "_generation",
        "_kv",
        "_kv_created_s",
        "_kv_refusals",
        "_pending",
        "_reservation",
        "_reserved_at_s",
        "_run",
        "_source",
    )

    def __init__(self, generation: Generation, source: str = "") -> None:
        self._generation = generation
        self._source = source
        """Identity of an engine that still runs the generation."""
        self._kv: KvHandle | None = None
        """Prefilled KV cache that no decode attempt has used yet."""
        self._kv_created_s = 0.0
        self._kv_refusals = 0
        self._pending: PendingReservation | None = None
        """The latest wait for a reservation, which may have ended."""
        self._reservation: Reservation | None = None
        """Decode reservation that no decode attempt has used yet."""
        self._reserved_at_s = 0.0
        self._run = Run(0, 0)

    @property
    def since_reserved_s(self) -> float:
        """Time since the last reservation."""
        return self._generation.ctx.now_s() - self._reserved_at_s

    def allow_source(self) -> None:
        """Reserve memory at the engine that ran the generation as well."""
        self._source = ""
        if self._pending is not None:
            self._pending.source = ""
            self._generation.ctx.reservation_queue.wake()

    async def complete(self) -> bool:
        """Reserve memory and prefill; returns whether both are done.

        If not, the caller may try again. Raises the failure to report to the
        client.
        """
        exchange = self._generation
        ctx = exchange.ctx
        if self._reservation is None:
            self._reservation = await self._reserve_at_version()
        if self._kv is None:
            server = self._prefill_server(self._reservation.server)
            if server is not None:
                if not await exchange.take_turn(server):
                    return False
                exchange.check_account()
                self._kv = await self._prefill(server)
                if self._kv is None:
                    return False
                if self._pending is not None and not exchange.attempts:
                    ctx.reservation_queue.check_shutdown(self._pending)
        exchange.check_quarantine()
        exchange.check_account()
        return self._keep_if_usable(self._reservation)

    def take(self) -> Prepared:
        """Hand over what was prepared; ``complete`` has returned true."""
        assert self._reservation is not None
        prepared = Prepared(self._reservation, self._kv, self._run)
        self._reservation = self._kv = None
        return prepared

    def release(self) -> None:
        """Release an unused reservation and KV cache."""
        exchange = self._generation
        if self._kv is not None:
            exchange.count_waste("unused")
            transport = exchange.ctx.transport
            exchange.ctx.spawn(transport.release_kv(self._kv))
            self._kv = None
        if self._reservation is not None:
            self._cancel_reservation(self._reservation)
            self._reservation = None

    def _cancel_reservation(self, reservation: Reservation) -> None:
        exchange = self._generation
        exchange.remove_run(reservation.server, self._run)
        transport = exchange.ctx.transport
        exchange.ctx.spawn(transport.cancel_reservation(reservation))

    def return_kv(self, kv: KvHandle | None) -> None:
        """Take back a KV cache whose decode engine could not be reached."""
        self._kv = kv

    def return_refused_kv(self, kv: KvHandle | None) -> None:
        """Keep a refused KV cache for one more attempt, or release it.

        A refusal does not show whether the KV cache has expired or the decode
        engine lacks memory; a second refusal makes expiry the likely cause.
        """
        if kv is None:
            return
        exchange = self._generation
        ctx = exchange.ctx
        self._kv_refusals += 1
        spec = ctx.engine_spec(exchange.service)
        reusable_s = KV_REUSE_SHARE * spec.kv_retention_ms / 1_000
        age_s = ctx.now_s() - self._kv_created_s
        if self._kv_refusals <= 1 and age_s < reusable_s:
            self._kv = kv
        else:
            exchange.count_waste("refused")
            ctx.spawn(ctx.transport.release_kv(kv))

    async def _reserve_at_version(self) -> Reservation:
        """Reserve at a version of which the store will have a record.

        The record is saved during the prefill. While the stream waits for
        memory, the store may stop answering.
        """
        exchange = self._generation
        versions = exchange.ctx.versions
        while True:
            reservation = await self._reserve()
            version = reservation.server.version
            if self._required_version() in (None, version):
                if exchange.needs_version:
                    versions.prepare(
                        exchange.service, exchange.req.id, version
                    )
                return reservation
            self._cancel_reservation(reservation)

    def _keep_if_usable(self, reservation: Reservation) -> bool:
        """Give up a reservation that a long prefill has outlasted.

        Its engine may be leaving, or its version cannot be recorded any more.
        Returns whether it was kept. The prompt may be used at another engine.
        """
        server = reservation.server
        can_record = self._required_version() in (None, server.version)
        if can_record and self._generation.is_serving(server):
            return True
        self._cancel_reservation(reservation)
        self._reservation = None
        return False

    def _required_version(self) -> str | None:
        """Return the version at which to reserve; None for any."""
        exchange = self._generation
        if not exchange.needs_version:
            return exchange.version
        return exchange.ctx.versions.required_version(
            exchange.service, exchange.req.id
        )

    async def _reserve(self) -> Reservation:
        exchange, prompt = self._generation, self._generation.prompt
        ctx, req = exchange.ctx, exchange.req
        cfg = ctx.directory.configuration
        account = share_account(req.account, has_accounts=bool(cfg.accounts))
        ctx.record_hint(exchange.service, prompt.output_hint)
        output = predict_output_tokens(
            prompt.output_hint,
            ctx.typical_output(exchange.service),
            prompt.max_output,
        )
        self._run = Run(prompt.tokens, output, prompt.max_output)
        pending = PendingReservation(
            first_event_due_s=self._first_event_due_s(),
            abandon_s=self._abandon_s(),
            tokens=prompt.tokens,
            output=output,
            priority=exchange.priority,
            service=exchange.service,
            request=req.id,
            deadline_s=req.deadline_s,
            excluded=exchange.excluded,
            run=self._run,
            gap_ms=exchange.route.target_gap_ms,
            version=self._required_version(),
            has_begun=exchange.reply.is_started,
            source=self._source,
            is_prefilled=self._kv is not None,
            account=account,
            route_priority=exchange.route.priority,
            aged_at_s=aged_at_s(account, req.arrived_s, exchange.deadline_s),
            aged_priority=cfg.top_priority,
        )
        self._pending = pending
        reservation = await ctx.reservation_queue.acquire(pending)
        self._reserved_at_s = ctx.now_s()
        exchange.log(
            "reserved",
            server=reservation.server.instance,
            **exchange.account_field,
            prompt=prompt.tokens,
            parts=",".join(part for part, _ in prompt.parts),
            output=output,
            hint=prompt.output_hint,
            runs=ctx.loads.run_count(reservation.server.identity),
            peak=ctx.loads.predict_peak_tokens(
                reservation.server.identity, ctx.now_s()
            ),
            left_ms=round(1_000 * exchange.remaining_s),
        )
        return reservation

    def _abandon_s(self) -> float:
        """Return the time after which the generation is refused.

        A client that has got a part of its answer shows by itself when it
        leaves.
        """
        exchange = self._generation
        if exchange.reply.is_started:
            return exchange.deadline_s
        return exchange.client_waits_until_s

    def _first_event_due_s(self) -> float:
        """Return the time by which the next attempt should bring an event.

        The pause of a stream that has begun is too long already; its next
        event is due before its client leaves.
        """
        exchange = self._generation
        if exchange.reply.is_started:
            return exchange.client_waits_until_s
        req, route = exchange.req, exchange.route
        return req.arrived_s + first_event_due_in_s(
            req.deadline_s - req.arrived_s,
            route.timeout_ms / 1_000,
            route.target_latency_ms / 1_000,
        )

    def _prefill_server(self, decode: Server) -> Server | None:
        """Choose a prefill engine; None to prefill on the decode engine."""
        exchange = self._generation
        ctx, tokens = exchange.ctx, exchange.prompt.tokens
        loads, now_s = ctx.loads, ctx.now_s()
        servers = [
            server
            for server in exchange.servers()
            if loads.limit_wait_s(server.identity, now_s) <= MAX_PREFILL_WAIT_S
        ]
        prefill = choose_prefill(
            servers, loads, tokens, now_s, ctx.rng, ctx.work
        )
        cfg = ctx.directory.configuration
        objective_ms = 1_000 * cfg.first_event_objective_s(exchange.service)
        pending, gate = self._pending, ctx.prefill_gate
        if (
            pending is not None
            and not gate.is_open(pending, now_s)
            and gate.fits_inline(exchange.service, tokens, decode, now_s)
        ):
            return None
        if should_prefill_on_decode(
            prefill, decode, loads, tokens, objective_ms, now_s
        ):
            return None
        return prefill

    async def _prefill(self, server: Server) -> KvHandle | None:
        exchange = self._generation
        ctx, loads = exchange.ctx, exchange.ctx.loads
        load = loads.of(server.identity)
        tokens = exchange.prompt.tokens
        predicted_s = prefill_time_ms(server, loads, tokens) / 1_000
        timeout_s = max(
            PREFILL_TIMEOUT_FACTOR * predicted_s, MIN_PREFILL_TIMEOUT_S
        )
        queued_tokens = loads.prefill_tokens(server.identity)
        if exchange.has_prefilled:
            # Only the first prefill of a request is no retry. This one is
            # part of a retry that the budget allowed.
            exchange.budget.spend(ctx.now_s())
        try:
            with self._prefill_counted(load, tokens):
                started_s = ctx.now_s()
                kv = await self._call_prefill(server, timeout_s)
                took_ms = 1_000 * (ctx.now_s() - started_s)
        except ServerUnreachable as failure:
            exchange.handle_unreachable(server, failure)
            return None
        except ServerRefused as failure:
            exchange.handle_refusal(server, failure)
            return None
        except AnswerLost as failure:
            exchange.count_waste("prefill_lost")
            # A prefill has no side effects, so it may be repeated.
            exchange.handle_lost_answer(server, failure, repeatable=True)
            return None
        exchange.has_prefilled = True
        load.record_prefill(tokens, took_ms, queued_tokens)
        if ctx.work is not None:
            ctx.work.record_prefill(
                server, tokens, took_ms, queued_tokens, ctx.now_s()
            )
        self._kv_created_s, self._kv_refusals = ctx.now_s(), 0
        exchange.log(
            "prefilled",
            server=server.instance,
            tokens=kv.tokens,
            server_ms=round(took_ms),
            before=queued_tokens,
        )
        return kv

    async def _call_prefill(
        self, server: Server, timeout_s: float
    ) -> KvHandle:
        """Call a prefill engine, and raise ``AnswerLost`` if it is slow.

        It is given up only if the retry budget permits to ask another one.
        """
        exchange = self._generation
        ctx, remaining_s = exchange.ctx, exchange.remaining_s
        exchange.departure.log_send(server, "prefill")
        options = SendOptions(
            timeout_s=remaining_s,
            connect_timeout_s=min(CONNECT_TIMEOUT_S, remaining_s),
        )
        task = asyncio.create_task(
            ctx.transport.prefill(server, exchange.req, options)
        )
        try:
            await asyncio.wait({task}, timeout=timeout_s)
            while not task.done():
                if exchange.budget.can_spend(ctx.now_s()):
                    raise AnswerLost(
                        f"{server.address}: no prefill in {timeout_s:.2f} s"
                    )
                await asyncio.wait({task}, timeout=timeout_s)
            return task.result()
        finally:
            await cancel_and_wait(task)

    @contextmanager
    def _prefill_counted(
        self, load: ServerLoad, tokens: int
    ) -> Iterator[None]:
        """Count a prefill in the engine's load while it is in progress."""
        ctx = self._generation.ctx
        notify = ctx.notify_loads_changed
        load.outstanding += 1
        load.prefill_tokens += tokens
        notify()
        try:
            yield
        finally:
            load.outstanding -= 1
            load.prefill_tokens -= tokens
            notify()
            ctx.reservation_queue.wake()
