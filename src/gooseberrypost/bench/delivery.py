"""Second half of a request's way: KV cache transfer and decode."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from gooseberrypost.errors import NoCapacity
from gooseberrypost.policy.forecast import transfer_ms
from gooseberrypost.policy.transfer import choose_fallback, stall_timeout_ms
from gooseberrypost.state.records import EngineRole

if TYPE_CHECKING:
    from gooseberrypost.bench.engines import FakeEngine
    from gooseberrypost.bench.flow import Flow
    from gooseberrypost.bench.parts import PrefillJob

FULL_RETRY_MS: Final = 20
"""Wait before a full decode engine is asked again."""


class Delivery:
    """Moves one prefill result to a decode engine while it lives."""

    __slots__ = (
        "_decode",
        "_expires",
        "_flow",
        "_job",
        "_prefill",
        "_system",
        "_waiting",
    )

    def __init__(
        self,
        flow: Flow,
        prefill: FakeEngine,
        job: PrefillJob,
        expires: float,
    ) -> None:
        self._flow = flow
        self._system = flow.system
        self._prefill = prefill
        self._job = job
        self._expires = expires
        self._decode: FakeEngine | None = None
        self._waiting = flow.entry.desk(flow.req.service).results

    @property
    def ended(self) -> bool:
        """Whether the result is of no use any more."""
        return self._flow.ended or not self._flow.has_job(self._job)

    def start(self, decode: FakeEngine, tried: list[str]) -> None:
        """Send ``Decode`` to an agent, which reserves if nothing is held."""
        flow = self._flow

        def at_agent() -> None:
            if flow.holds(decode) or flow.hold_at(decode):
                self._transfer(decode, tried)
            else:
                flow.send_back(
                    decode, flow.guard(lambda: self._full(decode, tried))
                )

        flow.send(decode, flow.guard(at_agent))

    def _full(self, decode: FakeEngine, tried: list[str]) -> None:
        """Look for another decode engine while the result lives."""
        flow = self._flow
        self._decode = decode
        tried = [*tried, decode.spec.name]
        if self._too_late():
            self._waiting.discard(self)
            flow.retry(NoCapacity("result expired"))
            return
        other = self._other(tried)
        if other is not None:
            self._waiting.discard(self)
            self.start(other, tried)
        else:
            self._waiting.add(self)
            flow.later(FULL_RETRY_MS, self.look_again)

    def _too_late(self) -> bool:
        """Whether no transfer that starts now ends while the result lives."""
        flow = self._flow
        views = flow.entry.look(flow.req, EngineRole.DECODE, -1)
        fastest = max((v.link_kb_per_s for v in views), default=0)
        moving = transfer_ms(flow.req.prompt_tokens, fastest, True)
        return self._system.clock.now + moving >= self._expires

    def look_again(self) -> None:
        """Look for a decode engine again if the result still waits."""
        if self in self._waiting and self._decode is not None:
            self._full(self._decode, [])

    def _other(self, tried: list[str]) -> FakeEngine | None:
        flow = self._flow
        if not self._system.strategy.guards:
            for pair in flow.entry.rank(flow):
                if pair.decode.name not in tried:
                    return self._system.engines[pair.decode.name]
            return None
        chosen = choose_fallback(
            flow.req,
            self._prefill.spec.zone,
            flow.entry.look(flow.req, EngineRole.DECODE, -1),
            tried,
            self._system.clock.now_ms,
            int(self._expires),
        )
        return None if chosen is None else self._system.engines[chosen.name]

    def _transfer(self, decode: FakeEngine, tried: list[str]) -> None:
        flow, clock, hold = self._flow, self._system.clock, self._flow.hold
        zone, prompt = self._prefill.spec.zone, flow.req.prompt_tokens

        def moved() -> None:
            self._imported(decode)

        def expired() -> None:
            if self._waits(hold):
                flow.retry(NoCapacity("result expired"))

        clock.at(self._expires, flow.guard(expired))
        if self._system.strategy.guards:
            self._transfer_booked(decode, tried)
        else:
            decode.transfer(hold, prompt, zone, flow.guard(moved))

    def _waits(self, hold: int) -> bool:
        """Whether the transfer into a hold is still going on."""
        return self._flow.hold == hold and not self._job.used

    def _transfer_booked(self, decode: FakeEngine, tried: list[str]) -> None:
        """Transfer at the booked time; abandon it when it stalls."""
        flow, clock, hold = self._flow, self._system.clock, self._flow.hold
        zone, prompt = self._prefill.spec.zone, flow.req.prompt_tokens
        booking = decode.book_transfer(prompt, clock.now, zone)
        booked_ms = booking.end_ms - booking.start_ms
        nominal_ms = booked_ms * decode.link_rate.share(clock.now_ms)

        def moved() -> None:
            decode.book.cancel(booking.number)
            took = clock.now - max(booking.start_ms, booked_at)
            decode.link_rate.observe(nominal_ms, took, clock.now_ms)
            self._imported(decode)

        def begin() -> None:
            decode.transfer(hold, prompt, zone, flow.guard(moved))

        def stalled() -> None:
            if not self._waits(hold):
                return
            decode.book.cancel(booking.number)
            decode.link_rate.observe_stall(clock.now_ms)
            flow.free_decode()
            self._full(decode, tried)

        booked_at = clock.now
        clock.at(booking.start_ms, flow.guard(begin))
        timeout = stall_timeout_ms(booked_ms)
        clock.at(booking.start_ms + timeout, flow.guard(stalled))

    def _imported(self, decode: FakeEngine) -> None:
        if self._prefill.drop(self._job.number) is None:
            self._flow.retry(NoCapacity("result expired"))
            return
        self._job.used = True
        self._flow.decode_on(decode)
