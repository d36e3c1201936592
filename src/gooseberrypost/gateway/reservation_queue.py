"""Queue of generations that wait for a reservation at a decode engine.

Decode memory is reserved before the prefill, so that no prefill is wasted on
a prompt that cannot be decoded. Each engine alone admits reservations to its
memory, so that gateways need not agree with each other.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING, Final

from absl import logging
from mode import Service

from gooseberrypost.errors import NotRun
from gooseberrypost.gateway.model import Stage
from gooseberrypost.gateway.queueing import (
    DeferralLog,
    GenerationOrder,
    count_waiting,
    scaled_to_peers,
)
from gooseberrypost.gateway.reserver import Line, PendingReservation, Reserver
from gooseberrypost.gateway.shutdown import SHUTDOWN_RETRY_AFTER_MS
from gooseberrypost.gateway.tasks import keep_running
from gooseberrypost.policy.queueorder import (
    expected_wait_s,
    is_abandoned_before_start,
    retry_after_s,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from gooseberrypost.gateway.context import GatewayContext
    from gooseberrypost.gateway.transport import Reservation

RETRY_INTERVAL_S: Final = 0.04
"""Interval at which full engines are tried again."""
MIN_PASS_INTERVAL_S: Final = 0.008
"""Minimum interval between two allocation passes.

Every load notice from another gateway triggers a pass, which takes up to a
millisecond. As ``RESERVATION_TIME_S`` is 12 ms, more frequent passes find no
more memory.
"""
RESERVATION_TIME_S: Final = 0.012
"""Time for one gateway to reserve memory and to send its load notice."""
MAX_PEERS_AHEAD: Final = 8
"""Maximum number of gateways to wait for.

More than these rarely compete for the same memory.
"""


class VersionGone(NotRun):
    """No server of the version to which the stream is bound is left."""

    code = "version_gone"


class NoDecodeCapacity(NotRun):
    """No decode engine can take the generation before its client times out.

    Also raised while the gateway shuts down or when the queue is too long.
    """

    code = "no_room"


class ReservationQueue(Service):
    """Reserves decode memory for the queued generations of one gateway."""

    def __init__(self, ctx: GatewayContext) -> None:
        super().__init__()
        self._ctx = ctx
        self._queue: list[PendingReservation] = []
        self._wakeup = asyncio.Event()
        self._kept: dict[str, set[str]] = {}
        """Servers of each service that are kept for interrupted streams."""
        self._capacity_since_s: dict[Line, float] = {}
        """Time since which memory is free for the head of each line."""
        self._reserver = Reserver(ctx)
        self._order = GenerationOrder(
            ctx.shares, lambda: ctx.now_s(), ctx.first_event_delay_s
        )
        self._deferrals = DeferralLog(ctx.shares, lambda: ctx.now_s())

    async def on_started(self) -> None:
        """Process the queue until the service stops."""
        self.add_future(keep_running(self, self._process, self._ctx.metrics))

    async def acquire(self, pending: PendingReservation) -> Reservation:
        """Wait for a reservation.

        Raises ``NoDecodeCapacity``, or ``VersionGone`` if the generation can
        go on nowhere. A generation whose expected queueing delay exceeds its
        objective is refused at once, so that its client can retry later
        instead of waiting for a late answer. One that has begun waits until
        its deadline, and for a server of its version until its next event is
        due: a refusal would cut its answer.
        """
        if not pending.has_begun:
            self._refuse_at_once(pending)
        self._deferrals.record(pending.request, pending.account)
        self._queue.append(pending)
        self._wakeup.set()
        self._ctx.notify_loads_changed()
        try:
            return await pending.granted
        except asyncio.CancelledError:
            self._cancel_granted(pending)
            raise
        finally:
            with suppress(ValueError):
                self._queue.remove(pending)

    def _refuse_at_once(self, pending: PendingReservation) -> None:
        """Raise if it is not worth waiting for a new generation."""
        if self._is_cut_by_shutdown(pending, self._start_after_wait_s):
            raise self._shutting_down()
        if self._is_version_gone(pending):
            raise self._version_gone(pending)
        self._refuse_if_late(pending)

    @property
    def has_waiting(self) -> bool:
        """Whether any generation is queued."""
        return bool(self._queue)

    @property
    def waiting_count(self) -> int:
        """Number of queued generations whose objective has not passed yet.

        Those for which an engine has been asked count as runs there instead.
        """
        return count_waiting(self._queue, self._ctx.now_s())

    def check_shutdown(self, pending: PendingReservation) -> None:
        """Raise if a generation that is prefilled would be cut."""
        if self._is_cut_by_shutdown(pending, lambda _: 0.0):
            raise self._shutting_down()

    def _is_cut_by_shutdown(
        self,
        pending: PendingReservation,
        start_s: Callable[[PendingReservation], float],
    ) -> bool:
        """Whether the gateway shuts down before a generation would end.

        ``start_s`` estimates the time until its first event.
        """
        ctx = self._ctx
        if ctx.shutdown_at_s == float("inf"):
            return False
        now_s = ctx.now_s()
        # Estimates are often far off. From then on a refused client finds
        # another gateway.
        is_out = now_s >= ctx.out_of_rotation_s
        output = pending.run.max_output if is_out else pending.output
        decode_s = ctx.expected_decode_s(pending.service, output)
        return now_s + start_s(pending) + decode_s > ctx.shutdown_at_s

    def _start_after_wait_s(self, pending: PendingReservation) -> float:
        """Estimate the time to the first event of a new generation."""
        return self.estimate_wait_s(pending) + self._first_event_delay_s(
            pending
        )

    def _shutting_down(self) -> NoDecodeCapacity:
        left_s = self._ctx.shutdown_at_s - self._ctx.now_s()
        return NoDecodeCapacity(
            f"gateway shuts down in {left_s:.1f} s",
            retry_after_ms=SHUTDOWN_RETRY_AFTER_MS,
        )

    def _refuse_if_late(self, pending: PendingReservation) -> None:
        ctx = self._ctx
        now_s = ctx.now_s()
        due_s = pending.first_event_due_s
        if due_s <= now_s:
            # The first event is late in any case, and a refused client would
            # not retry again, so it may wait until its client gives up.
            due_s = pending.abandon_s
        wait_s = self.estimate_wait_s(pending)
        if wait_s <= 0:
            # Memory is available, so a refusal gains nothing. The predicted
            # delay of the first event also recovers only through requests
            # that are served.
            return
        first_event_delay_s = self._first_event_delay_s(pending)
        if now_s + wait_s + first_event_delay_s <= due_s:
            return
        after_s = self._retry_after_s(pending, wait_s)
        raise NoDecodeCapacity(
            f"{self.waiting_count} generations queued for {pending.service}, "
            f"expected wait {wait_s:.2f} s",
            retry_after_ms=round(1_000 * after_s),
        )

    def estimate_wait_s(self, pending: PendingReservation) -> float:
        """Estimate the wait for memory; 0 if some is free.

        All lines share the load, so that a stream that must go on at one
        version is refused no sooner than a new one.
        """
        ctx = self._ctx
        before = self._order.before(pending, self._queue)
        has_queue = any(one.line == pending.line for one in before)
        kept = self._kept_from(pending)
        if not has_queue and self._reserver.candidates(pending, kept):
            return 0.0
        waiting = count_waiting(before, ctx.now_s()) + scaled_to_peers(
            ctx.loads.queued_at_peers(), len(before), len(self._queue)
        )
        prefill_s = 0.0
        if not ctx.prefill_gate.is_open(pending, ctx.now_s()):
            prefill_s = ctx.prefill_gate.expected_wait_s(
                pending, waiting, ctx.now_s()
            )
        if self._reserver.has_places(pending, waiting + 1, kept):
            return max(RESERVATION_TIME_S, prefill_s)
        servers = ctx.directory.available_servers(pending.service, ctx.now_s())
        running = sum(
            ctx.loads.run_count(server.identity) for server in servers
        )
        limited_s = ctx.loads.limits.expected_wait_s(
            [
                server.identity
                for server in servers
                if server.stage is not Stage.PREFILL and not server.draining
            ],
            waiting,
            ctx.now_s(),
        )
        return max(
            limited_s,
            prefill_s,
            expected_wait_s(
                waiting, running, ctx.mean_decode_s(pending.service)
            ),
        )

    def _kept_from(self, pending: PendingReservation) -> Collection[str]:
        """Return the servers that are kept for interrupted streams."""
        if pending.is_interrupted or not any(
            one.is_interrupted and one.service == pending.service
            for one in self._queue
        ):
            return ()
        return self._kept.get(pending.service, ())

    def _is_version_gone(self, pending: PendingReservation) -> bool:
        return pending.version is not None and not any(
            server.stage is not Stage.PREFILL and not server.draining
            for server in self._reserver.servers(pending)
        )

    def _version_gone(self, pending: PendingReservation) -> VersionGone:
        # A server that has crashed registers again when it is back.
        return VersionGone(
            f"no server of {pending.service} has version {pending.version}",
            retry_after_ms=self._ctx.settings.heartbeat_ms,
        )

    def wake(self) -> None:
        """Request an allocation pass, as engine loads have changed."""
        self._wakeup.set()

    def _cancel_granted(self, pending: PendingReservation) -> None:
        """Cancel a reservation that was granted as its client disconnected."""
        granted = pending.granted
        if not granted.done() or granted.cancelled() or granted.exception():
            return
        reservation = granted.result()
        self._reserver.remove_run(reservation.server, pending)
        self._ctx.spawn(self._ctx.transport.cancel_reservation(reservation))

    async def _process(self) -> None:
        while not self.should_stop:
            with suppress(TimeoutError):
                async with asyncio.timeout(
                    RETRY_INTERVAL_S if self._queue else None
                ):
                    await self._wakeup.wait()
            self._wakeup.clear()
            try:
                await self._allocate()
            except Exception:
                # An error in one pass must not stop the queue.
                logging.exception("event=room_round_failed")
            if self._queue:
                await self.sleep(MIN_PASS_INTERVAL_S)

    async def _allocate(self) -> None:
        """Refuse generations that are too late, then reserve for the rest."""
        now_s = self._ctx.now_s()
        for pending in list(self._queue):
            may_refuse = not pending.has_begun
            is_due = may_refuse or now_s > pending.first_event_due_s
            if is_due and self._is_version_gone(pending):
                self._refuse(pending, self._version_gone(pending))
            elif may_refuse and self._is_cut_by_shutdown(
                pending, self._first_event_delay_s
            ):
                self._refuse(pending, self._shutting_down())
            elif is_abandoned_before_start(
                pending, now_s, self._first_event_delay_s(pending)
            ):
                self._refuse(pending, self._no_capacity(pending))
        lines = dict.fromkeys(
            one.line for one in self._order.ordered(self._queue)
        )
        self._capacity_since_s = {
            line: since_s
            for line, since_s in self._capacity_since_s.items()
            if line in lines
        }
        self._kept = {service: set() for service, _, _ in lines}
        for line in lines:
            await self._allocate_line(line, self._kept[line[0]])

    async def _allocate_line(self, line: Line, kept: set[str]) -> None:
        """Reserve for one line, at engines that are not ``kept`` for others.

        The rest of the line waits for its head. Otherwise small generations
        would starve large ones. For the same reason the engine that has the
        most memory for an interrupted stream is kept from the lines after it.
        """
        while pending := self._next(line):
            if not self._may_reserve(pending, kept) or (
                not await self._reserver.start(pending, kept)
            ):
                if pending.is_interrupted:
                    kept.update(self._reserver.emptiest(pending))
                return
            self._capacity_since_s.pop(line, None)

    def _next(self, line: Line) -> PendingReservation | None:
        """Return the first of a line for which no engine has been asked."""
        return next(iter(self._order.ordered(self._not_reserving(line))), None)

    def _not_reserving(self, line: Line) -> list[PendingReservation]:
        return [
            pending
            for pending in self._queue
            if line == pending.line and not pending.is_reserving
        ]

    def _may_reserve(
        self, pending: PendingReservation, kept: Collection[str]
    ) -> bool:
        """Whether a generation may reserve the memory that is free now.

        All gateways detect at once that memory has become free. A gateway
        tries again only after the peers whose generations rank earlier have
        had time to reserve memory and to send their load notices.
        """
        ctx = self._ctx
        now_s = ctx.now_s()
        if not self._reserver.candidates(pending, kept):
            self._capacity_since_s.pop(pending.line, None)
            return False
        since_s = self._capacity_since_s.setdefault(pending.line, now_s)
        rank_ms = self._order.place_rank_ms(
            pending, self._not_reserving(pending.line)
        )
        peers_ahead = min(
            ctx.loads.peers_ahead(pending.service, rank_ms, now_s),
            MAX_PEERS_AHEAD,
        )
        wait_s = since_s + peers_ahead * RESERVATION_TIME_S - now_s
        if wait_s <= 0:
            return True
        asyncio.get_running_loop().call_later(wait_s, self._wakeup.set)
        return False

    def head_ranks_ms(self) -> dict[str, int]:
        """Return the rank of the first generation of each service."""
        return self._order.head_ranks_ms(self._queue)

    def _first_event_delay_s(self, pending: PendingReservation) -> float:
        return self._ctx.first_event_delay_s(pending.service)

    def _refuse(self, pending: PendingReservation, refusal: NotRun) -> None:
        self._queue.remove(pending)
        if not pending.granted.done():
            pending.granted.set_exception(refusal)

    def _no_capacity(self, pending: PendingReservation) -> NoDecodeCapacity:
        return NoDecodeCapacity(
            f"no decode memory in {pending.service} in time",
            retry_after_ms=round(1_000 * self._retry_after_s(pending)),
        )

    def _retry_after_s(
        self, pending: PendingReservation, wait_s: float = 0.0
    ) -> float:
        left_s = pending.deadline_s - self._ctx.now_s()
        return retry_after_s(wait_s, left_s, self._ctx.rng.random())
