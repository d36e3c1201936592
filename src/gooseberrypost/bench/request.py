"""Simulated request, routed by an entry to a prefill and a decode engine."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from result import Err

from gooseberrypost.bench.delivery import CAPACITY_RETRY_MS, Delivery
from gooseberrypost.bench.engines import RESULT_TTL_MS, SimulatedEngine
from gooseberrypost.bench.enginetypes import PrefillJob
from gooseberrypost.errors import NoCapacity
from gooseberrypost.policy.aging import effective_priority
from gooseberrypost.policy.forecast import (
    first_token_deadline_ms,
    pieces_needed,
)
from gooseberrypost.policy.views import RequestView

if TYPE_CHECKING:
    from collections.abc import Callable

    from gooseberrypost.bench.entry import Entry
    from gooseberrypost.bench.workload import OfferedRequest
    from gooseberrypost.errors import Failure
    from gooseberrypost.policy.placement import EnginePair

BASELINE_MAX_ATTEMPTS: Final = 3
"""Attempts per request under strategies without a retry budget."""
ENTRY_TIMEOUT_MS: Final = 4_500
"""Time after which agents release the resources of a crashed entry."""


class SimulatedRequest:
    """Lifecycle of a request.

    Callbacks on the virtual clock are wrapped by ``guard``, so that one which
    belongs to an ended request or an earlier attempt has no effect.
    """

    def __init__(
        self, entry: Entry, offered: OfferedRequest, measured: bool
    ) -> None:
        self.entry = entry
        self.simulation = entry.simulation
        self.offered = offered
        self.measured = measured
        self.attempt = 1
        self.resend_count = 0
        self.ended = False
        self.limit_acquired = False
        self.outcome = ""
        self.first_token_at_ms = 0.0
        self.completed_ms = 0.0
        self.generated_tokens = 0
        self._decode_started_ms = 0.0
        self._retry_epoch = 0
        self._job: PrefillJob | None = None
        self._prefill: SimulatedEngine | None = None
        self._decode: SimulatedEngine | None = None
        self.reservation_id = 0
        self._target_waived = False
        self.displacements = 0
        self.view = self._request_view()
        self.simulation.clock.call_at(
            offered.arrived_ms + offered.kind.answer_ms, self._on_deadline
        )

    def _request_view(self) -> RequestView:
        offered, kind = self.offered, self.offered.kind
        arrived_ms = int(offered.arrived_ms)
        resumed = self.first_token_at_ms > 0
        no_first_token_target = resumed or self._target_waived
        return RequestView(
            f"{offered.number}",
            kind.service,
            offered.account,
            kind.model,
            self.entry.zone,
            offered.prompt_tokens + self.generated_tokens,
            kind.max_output_tokens - self.generated_tokens,
            0 if resumed else kind.priority,
            kind.waste_weight,
            arrived_ms,
            kind.answer_ms if no_first_token_target else kind.first_token_ms,
            26,  # token_gap_ms
            arrived_ms + kind.answer_ms,
            0 if resumed else kind.max_wait_ms,
            False,
            self.attempt,
            self.entry.service_state(kind.service).output_length.expected(
                kind.max_output_tokens
            ),
        )

    def waive_first_token_target(self) -> None:
        """Give up the first-token target and serve the request late."""
        self._target_waived = True
        self.view = self._request_view()

    # Placement ------------------------------------------------------------

    def place(self, pairs: list[EnginePair]) -> None:
        """Start on the best pair; some strategies reserve decode first."""
        if not pairs and self.simulation.strategy.admits:
            self.call_later(
                CAPACITY_RETRY_MS, lambda: self.entry.schedule(self)
            )
        elif not pairs:
            self.retry(NoCapacity("no eligible engine pair"))
        elif self.simulation.strategy.reserves:
            self._reserve(pairs)
        else:
            decode = self.simulation.engines[pairs[0].decode.name]
            self._start_prefill(pairs[0], decode)

    def _reserve(self, pairs: list[EnginePair]) -> None:
        pair, rest = pairs[0], pairs[1:]
        decode = self.simulation.engines[pair.decode.name]
        req = self.view
        self.entry.record_sent(
            decode,
            slots=1,
            pieces=pieces_needed(req.prompt_tokens, req.max_output_tokens),
        )

        def at_agent() -> None:
            granted = not self.ended and self.reserve_on(decode)
            self.send_reply(decode, self.guard(lambda: replied(granted)))

        def replied(granted: bool) -> None:
            if granted:
                self._start_prefill(pair, decode)
            elif rest:
                self._reserve(rest)
            else:
                # No work was done, so this does not consume the retry budget.
                delay_ms = CAPACITY_RETRY_MS * (0.5 + self.entry.rng.random())
                self.call_later(delay_ms, lambda: self.entry.schedule(self))

        self.send(decode, self.guard(at_agent))

    def _start_prefill(
        self, pair: EnginePair, decode: SimulatedEngine
    ) -> None:
        prefill = self.simulation.engines[pair.prefill.name]
        self._prefill, self._decode = prefill, decode
        tokens = self.view.prompt_tokens
        self.entry.record_sent(
            prefill, tokens=max(0, tokens - pair.prefill.cached_tokens)
        )
        self._job = PrefillJob(
            self.simulation.next_id(),
            tokens,
            self.offered.prefix,
            self.offered.prefix_tokens,
            self._priority(),
            self._prefill_deadline_ms(),
            self._prefill_done,
        )
        job = self._job
        self.simulation.jobs.append((self, job))

        def at_agent() -> None:
            if not prefill.submit(job):
                job.on_done(False)

        self.send(prefill, at_agent)

    def _priority(self) -> float:
        if not self.simulation.strategy.admits:
            return 0.0
        return effective_priority(self.view, self.simulation.clock.now_ms)

    def _prefill_deadline_ms(self) -> float:
        if not self.simulation.strategy.admits:
            return self.view.answer_deadline_ms
        return first_token_deadline_ms(self.view)

    def _prefill_done(self, has_result: bool) -> None:
        prefill, job = self._prefill, self._job
        assert prefill is not None and job is not None
        expires_ms = self.simulation.clock.now + RESULT_TTL_MS

        def replied() -> None:
            if not has_result:
                self.retry(NoCapacity("prefill produced no result"))
            elif self._decode is not None:
                delivery = Delivery(self, prefill, job, expires_ms)
                delivery.start(self._decode, [])

        self.send_reply(prefill, self.guard(replied))

    # Decode ---------------------------------------------------------------

    def owns_job(self, job: PrefillJob) -> bool:
        """Whether a prefill job belongs to the current attempt."""
        return self._job is job

    def has_reservation_on(self, decode: SimulatedEngine) -> bool:
        """Whether this attempt has a reservation at the engine."""
        return decode.has_reservation(self.reservation_id)

    def reserve_on(self, decode: SimulatedEngine) -> bool:
        """Reserve a slot and all memory pieces; returns whether granted."""
        reservation_id = self.simulation.next_id()
        if not decode.reserve(
            reservation_id,
            self.view.prompt_tokens,
            self.view.max_output_tokens,
        ):
            return False
        self.reservation_id, self._decode = reservation_id, decode
        decode.on_failure[reservation_id] = self.guard(self._decode_failed)
        return True

    def decode_on(self, decode: SimulatedEngine) -> None:
        """Decode the rest of the answer from the imported KV cache."""
        tokens = self.offered.output_tokens - self.generated_tokens
        self._decode_started_ms = self.simulation.clock.now
        decode.decode(self.reservation_id, tokens, self.guard(self._decoded))
        if self.first_token_at_ms == 0:
            latency_ms = self.simulation.latency(
                self.entry.zone, decode.spec.zone
            )
            self.first_token_at_ms = (
                self.simulation.clock.now + decode.token_gap_ms() + latency_ms
            )

    def _decoded(self) -> None:
        decode = self._decode
        assert decode is not None
        self.release_decode()
        self.send_reply(decode, self.guard(self._complete))

    def _complete(self) -> None:
        self.completed_ms = self.simulation.clock.now
        self.entry.service_state(self.view.service).output_length.observe(
            self.offered.output_tokens
        )
        self._finish("completed")

    # Failures -------------------------------------------------------------

    def _decode_failed(self) -> None:
        """Retry on another engine after the decode engine failed.

        Generation resumes after the tokens already produced; the prompt and
        these tokens are prefilled again. The number of tokens produced is
        estimated at 24 ms per token.
        """
        if self.first_token_at_ms > 0 and self._decode_started_ms > 0:
            elapsed_ms = self.simulation.clock.now - self._decode_started_ms
            decoded = int(elapsed_ms / 24.0)
            self.generated_tokens = min(
                self.offered.output_tokens - 1, self.generated_tokens + decoded
            )
        self.reservation_id = 0
        self.displacements += 1
        self.retry(NoCapacity("decode engine crashed"), displaced=True)

    def retry(self, failure: Failure, displaced: bool = False) -> None:
        """Start another attempt if the budget allows, or refuse."""
        self._cancel_work()
        self._retry_epoch += 1
        now = self.simulation.clock.now_ms
        if self.simulation.strategy.safeguards:
            service_state = self.entry.service_state(self.view.service)
            when = (self.attempt, now, self.view.answer_deadline_ms)
            if displaced:
                allowed = service_state.retry_budget.retry_displaced(
                    self.displacements, *when, self.entry.rng
                )
            else:
                allowed = service_state.retry_budget.retry(
                    *when, self.entry.rng
                )
            if isinstance(allowed, Err):
                self.refuse(failure)
                return
            delay_ms = allowed.ok_value
        elif self.attempt < BASELINE_MAX_ATTEMPTS:
            delay_ms = 1
        else:
            self.refuse(failure)
            return
        self.attempt += 1
        self.view = self._request_view()
        self.call_later(delay_ms, lambda: self.entry.schedule(self))

    def refuse(self, failure: Failure) -> None:
        """End the request with a failure."""
        self._cancel_work()
        self._finish("refused", failure.retry_after_ms)

    def abandon(self) -> None:
        """End the request as lost because its entry crashed.

        Agents detect the crash after ``ENTRY_TIMEOUT_MS`` and only then
        release its resources.
        """
        if self.ended:
            return
        prefill, job = self._prefill, self._job
        decode, reservation_id = self._decode, self.reservation_id
        self._finish("lost")

        def release() -> None:
            if decode is not None:
                decode.release(reservation_id)
            if prefill is not None and job is not None:
                prefill.release_result(job.job_id)

        self.simulation.clock.call_later(ENTRY_TIMEOUT_MS, release)

    def _on_deadline(self) -> None:
        if not self.ended:
            self._cancel_work()
            self._finish("late")

    # Helpers --------------------------------------------------------------

    def _cancel_work(self) -> None:
        self.release_decode()
        if self._prefill is not None and self._job is not None:
            self._prefill.cancel(self._job)
        self._job = None

    def release_decode(self) -> None:
        """Release the reservation of the current attempt, if any."""
        if self._decode is not None and self.reservation_id:
            self._decode.release(self.reservation_id)
            self.reservation_id = 0

    def _finish(self, outcome: str, retry_after_ms: int | None = None) -> None:
        self.ended = True
        self.outcome = outcome
        self.entry.requests.pop(self, None)
        service = self.view.service
        if self.limit_acquired:
            now = self.simulation.clock.now_ms
            limiter = self.entry.service_state(service).limiter
            limiter.release(self.view.account, now)
        self.simulation.request_ended(self, retry_after_ms)
        if self.entry.alive and self.simulation.strategy.admits:
            self.entry.dispatch(service)

    def guard(self, callback: Callable[[], None]) -> Callable[[], None]:
        """Wrap a callback to have no effect after the end or a retry."""
        epoch = self._retry_epoch

        def guarded() -> None:
            if not self.ended and self._retry_epoch == epoch:
                callback()

        return guarded

    def call_later(
        self, delay_ms: float, callback: Callable[[], None]
    ) -> None:
        """Run a guarded callback after a delay in ms."""
        self.simulation.clock.call_later(delay_ms, self.guard(callback))

    def send(
        self, engine: SimulatedEngine, callback: Callable[[], None]
    ) -> None:
        """Deliver a message to an agent after the one-way network latency."""
        latency_ms = self.simulation.latency(self.entry.zone, engine.spec.zone)
        self.simulation.clock.call_later(latency_ms, callback)

    def send_reply(
        self, engine: SimulatedEngine, callback: Callable[[], None]
    ) -> None:
        """Deliver an agent's reply and load after the one-way latency.

        The reply timeout is added if the agent failed silently. An agent that
        is down on delivery is marked unreachable.
        """
        latency_ms = self.simulation.latency(self.entry.zone, engine.spec.zone)

        def arrives() -> None:
            if engine.alive:
                self.entry.observe_load(engine)
            else:
                self.entry.mark_unreachable(engine)
            callback()

        if engine.silent:
            latency_ms += self.simulation.reply_timeout_ms
        self.simulation.clock.call_later(latency_ms, arrives)
