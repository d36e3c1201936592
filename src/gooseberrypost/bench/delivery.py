"""Delivery of prefill results: KV cache transfer to a decode engine."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from gooseberrypost.errors import NoCapacity
from gooseberrypost.policy.forecast import transfer_ms
from gooseberrypost.policy.transfer import choose_fallback, stall_timeout_ms
from gooseberrypost.state.records import EngineRole

if TYPE_CHECKING:
    from gooseberrypost.bench.engines import SimulatedEngine
    from gooseberrypost.bench.enginetypes import PrefillJob
    from gooseberrypost.bench.request import SimulatedRequest

CAPACITY_RETRY_MS: Final = 20
"""Wait before capacity is requested again from full decode engines."""


class Delivery:
    """Transfers one prefill result to a decode engine before it expires."""

    __slots__ = (
        "_decode",
        "_expires_ms",
        "_job",
        "_prefill",
        "_request",
        "_simulation",
        "_undelivered",
    )

    def __init__(
        self,
        request: SimulatedRequest,
        prefill: SimulatedEngine,
        job: PrefillJob,
        expires_ms: float,
    ) -> None:
        self._request = request
        self._simulation = request.simulation
        self._prefill = prefill
        self._job = job
        self._expires_ms = expires_ms
        self._decode: SimulatedEngine | None = None
        self._undelivered = request.entry.service_state(
            request.view.service
        ).undelivered

    @property
    def ended(self) -> bool:
        """Whether the result is obsolete: the request ended or was retried."""
        return self._request.ended or not self._request.owns_job(self._job)

    def start(self, decode: SimulatedEngine, tried: list[str]) -> None:
        """Send ``Decode`` to an agent.

        The agent makes a reservation if the request has none there.
        ``tried`` names the engines that have already been full.
        """
        request = self._request

        def at_agent() -> None:
            if request.has_reservation_on(decode) or request.reserve_on(
                decode
            ):
                self._transfer(decode, tried)
            else:
                request.send_reply(
                    decode,
                    request.guard(lambda: self._try_fallback(decode, tried)),
                )

        request.send(decode, request.guard(at_agent))

    def _try_fallback(self, decode: SimulatedEngine, tried: list[str]) -> None:
        """Try another decode engine, or retry later if none has capacity.

        The attempt fails once the result could no longer be transferred
        before it expires.
        """
        request = self._request
        self._decode = decode
        tried = [*tried, decode.spec.name]
        if self._would_expire():
            self._undelivered.discard(self)
            request.retry(NoCapacity("prefill result expired"))
            return
        fallback = self._choose_next_engine(tried)
        if fallback is not None:
            self._undelivered.discard(self)
            self.start(fallback, tried)
        else:
            self._undelivered.add(self)
            request.call_later(CAPACITY_RETRY_MS, self.retry_placement)

    def _would_expire(self) -> bool:
        """Whether even the fastest transfer would end after the expiry."""
        request = self._request
        views = request.entry.agent_views(request.view, EngineRole.DECODE, -1)
        fastest = max((v.link_kb_per_s for v in views), default=0)
        transfer_time_ms = transfer_ms(
            request.view.prompt_tokens, fastest, True
        )
        return (
            self._simulation.clock.now + transfer_time_ms >= self._expires_ms
        )

    def retry_placement(self) -> None:
        """Try to place the result again if it is still undelivered."""
        if self in self._undelivered and self._decode is not None:
            self._try_fallback(self._decode, [])

    def _choose_next_engine(self, tried: list[str]) -> SimulatedEngine | None:
        request = self._request
        if not self._simulation.strategy.safeguards:
            for pair in request.entry.rank(request):
                if pair.decode.name not in tried:
                    return self._simulation.engines[pair.decode.name]
            return None
        chosen = choose_fallback(
            request.view,
            self._prefill.spec.zone,
            request.entry.agent_views(request.view, EngineRole.DECODE, -1),
            tried,
            self._simulation.clock.now_ms,
            int(self._expires_ms),
        )
        return (
            None if chosen is None else self._simulation.engines[chosen.name]
        )

    def _transfer(self, decode: SimulatedEngine, tried: list[str]) -> None:
        request, clock, reservation_id = (
            self._request,
            self._simulation.clock,
            self._request.reservation_id,
        )
        zone, prompt_tokens = (
            self._prefill.spec.zone,
            request.view.prompt_tokens,
        )

        def transferred() -> None:
            self._imported(decode)

        def expired() -> None:
            if self._is_transferring(reservation_id):
                request.retry(NoCapacity("prefill result expired"))

        clock.call_at(self._expires_ms, request.guard(expired))
        if self._simulation.strategy.safeguards:
            self._transfer_booked(decode, tried)
        else:
            decode.transfer(
                reservation_id, prompt_tokens, zone, request.guard(transferred)
            )

    def _is_transferring(self, reservation_id: int) -> bool:
        """Whether the transfer into a reservation is still pending."""
        return (
            self._request.reservation_id == reservation_id
            and not self._job.imported
        )

    def _transfer_booked(
        self, decode: SimulatedEngine, tried: list[str]
    ) -> None:
        """Transfer in a booked time slot, with a stall timeout.

        A stalled transfer is abandoned and another engine is tried.
        """
        request, clock, reservation_id = (
            self._request,
            self._simulation.clock,
            self._request.reservation_id,
        )
        zone, prompt_tokens = (
            self._prefill.spec.zone,
            request.view.prompt_tokens,
        )
        booking = decode.book_transfer(prompt_tokens, clock.now, zone)
        booked_ms = booking.end_ms - booking.start_ms
        nominal_ms = booked_ms * decode.link_rate.share(clock.now_ms)

        def transferred() -> None:
            decode.link_bookings.cancel(booking.number)
            elapsed_ms = clock.now - max(booking.start_ms, booked_at)
            decode.link_rate.observe(nominal_ms, elapsed_ms, clock.now_ms)
            self._imported(decode)

        def begin() -> None:
            decode.transfer(
                reservation_id, prompt_tokens, zone, request.guard(transferred)
            )

        def stalled() -> None:
            if not self._is_transferring(reservation_id):
                return
            decode.link_bookings.cancel(booking.number)
            decode.link_rate.observe_stall(clock.now_ms)
            request.release_decode()
            self._try_fallback(decode, tried)

        booked_at = clock.now
        clock.call_at(booking.start_ms, request.guard(begin))
        timeout = stall_timeout_ms(booked_ms)
        clock.call_at(booking.start_ms + timeout, request.guard(stalled))

    def _imported(self, decode: SimulatedEngine) -> None:
        if self._prefill.release_result(self._job.job_id) is None:
            self._request.retry(NoCapacity("prefill result expired"))
            return
        self._job.imported = True
        self._request.decode_on(decode)
