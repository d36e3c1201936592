"""Simulated inference engines and their agents on the virtual clock."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING, Final

from gooseberrypost.bench.clock import ProcessorSharing, VirtualClock
from gooseberrypost.bench.enginetypes import (
    EngineSpec,
    PrefillJob,
    PrefixCache,
)
from gooseberrypost.identity import Attempt
from gooseberrypost.policy.forecast import (
    CROSS_ZONE_RATE_SHARE,
    pieces_needed,
    transfer_kb,
)
from gooseberrypost.policy.transfer import Booking, LinkBookings, MeasuredRate
from gooseberrypost.policy.views import AgentView
from gooseberrypost.state.ledger import Ledger, ReservationRequest

if TYPE_CHECKING:
    from collections.abc import Callable

RESULT_TTL_MS: Final = 800
"""Time after which an unclaimed prefill result is released."""
BASE_TOKEN_GAP_MS: Final = 16.0
"""Time between output tokens of the only request on an engine."""
TOKEN_GAP_PER_REQUEST_MS: Final = 0.4
"""Increase of the token gap per request in the batch: 24 ms at 20."""
MIN_PREFILL_MS: Final = 4.0
"""Shortest prefill at full speed, however few tokens are uncached."""
RESERVATION_TTL_MS: Final = 10_000
"""Time after which an unused reservation expires."""
EWMA_WEIGHT: Final = 0.3
"""Weight of a new sample in the moving averages of speed."""


def _holder(reservation_id: int) -> Attempt:
    return Attempt(str(reservation_id), 1)


class SimulatedEngine:
    """Engine with its agent, in the prefill or decode role."""

    def __init__(self, clock: VirtualClock, spec: EngineSpec) -> None:
        self.clock = clock
        self.spec = spec
        self.alive = True
        self.draining = False
        self.silent = False
        """Whether it crashed without closing connections, as in a zone outage.

        Messages to it then run into the reply timeout.
        """
        self.speed = 1.0
        self._sequence = itertools.count(1)
        self.on_cache_change: (
            Callable[[SimulatedEngine, int, int], None] | None
        ) = None
        self._reset()

    def _reset(self) -> None:
        self.cache = PrefixCache(self.spec.cache_tokens)
        self._queue: list[tuple[float, int, PrefillJob]] = []
        self._running: PrefillJob | None = None
        self._run_started_ms = 0.0
        self._run_duration_ms = 0.0
        self._prefill_rate = self.spec.tokens_per_s
        self.results: dict[int, PrefillJob] = {}
        self.queue_tokens = 0
        self.ledger = Ledger(self.spec.slots, self.spec.pieces, 0)
        self.slots_peak = 0
        self.batch = ProcessorSharing(self.clock, self._tokens_per_ms)
        self.transfers = ProcessorSharing(self.clock, self._kb_per_ms)
        self.link_bookings = LinkBookings(self.spec.link_kb_per_s)
        self.link_rate = MeasuredRate()
        self._smoothed_gap_ms = BASE_TOKEN_GAP_MS
        self.on_failure: dict[int, Callable[[], None]] = {}

    # Load -----------------------------------------------------------------

    def reported_view(self) -> AgentView:
        """Return the load as the agent would report it now."""
        link = self.link_rate.share(self.clock.now_ms)
        return self._view(self._prefill_rate, self.predicted_gap_ms(), link)

    def exact_view(self) -> AgentView:
        """Return the load with exact speeds, which agents only estimate."""
        spec = self.spec
        gap_ms = BASE_TOKEN_GAP_MS + TOKEN_GAP_PER_REQUEST_MS * (
            self.ledger.slots_used + 1
        )
        return self._view(
            spec.tokens_per_s * self.speed,
            gap_ms / max(self.speed, 1e-3),
            max(self.transfers.speed_factor, 1e-3),
        )

    def _view(
        self, tokens_per_s: float, gap_ms: float, link_share: float
    ) -> AgentView:
        now, spec = self.clock.now_ms, self.spec
        self.link_bookings.expire(now)
        return AgentView(
            spec.name,
            "",
            spec.zone,
            spec.role,
            spec.model,
            spec.slots,
            self.ledger.slots_used,
            spec.pieces,
            self.ledger.pieces_used,
            int(self._remaining_queue_tokens(tokens_per_s)),
            tokens_per_s,
            gap_ms,
            self.draining or not self.alive,
            now,
            0,
            0,
            spec.name,
            int(spec.link_kb_per_s * link_share),
            self.link_bookings.next_free_ms(now),
        )

    def _remaining_queue_tokens(self, tokens_per_s: float) -> float:
        """Estimate the queued tokens left, given the running prefill."""
        if self._running is None:
            return self.queue_tokens
        done = (self.clock.now - self._run_started_ms) * tokens_per_s / 1_000
        return self.queue_tokens - min(done, self._running.computed_tokens)

    def predicted_gap_ms(self) -> float:
        """Return the expected token gap with one more request, in ms."""
        nominal = BASE_TOKEN_GAP_MS + TOKEN_GAP_PER_REQUEST_MS * (
            self.ledger.slots_used + 1
        )
        return nominal * self._smoothed_gap_ms / BASE_TOKEN_GAP_MS

    def _tokens_per_ms(self, batch: int) -> float:
        return 1.0 / (BASE_TOKEN_GAP_MS + TOKEN_GAP_PER_REQUEST_MS * batch)

    def _kb_per_ms(self, transfers: int) -> float:
        return self.spec.link_kb_per_s / 1_000 / max(1, transfers)

    def set_speed(self, speed: float) -> None:
        """Set the speed as a share of the nominal speed."""
        self.speed = speed
        self.batch.set_speed_factor(speed)

    # Prefill --------------------------------------------------------------

    def submit(self, job: PrefillJob) -> bool:
        """Queue a prefill; returns false if the engine is down or draining."""
        if not self.alive or self.draining:
            return False
        self.queue_tokens += job.tokens - self._cached_tokens(job)
        heapq.heappush(self._queue, (job.priority, next(self._sequence), job))
        self._start_next()
        return True

    def _cached_tokens(self, job: PrefillJob) -> int:
        return min(job.prefix_tokens, self.cache.tokens(job.prefix))

    def _start_next(self) -> None:
        while self._running is None and self._queue:
            _, _, job = heapq.heappop(self._queue)
            uncached = job.tokens - self._cached_tokens(job)
            if self.clock.now > job.deadline_ms:
                self._update_queue_tokens()
                job.on_done(False)
                continue
            duration_ms = uncached * 1_000 / self.spec.tokens_per_s
            duration_ms = max(MIN_PREFILL_MS, duration_ms) / self.speed
            self._running = job
            self._run_started_ms = self.clock.now
            self._run_duration_ms = duration_ms
            job.computed_tokens = uncached
            self.clock.call_later(
                duration_ms, lambda j=job: self._prefill_finished(j)
            )

    def _prefill_finished(self, job: PrefillJob) -> None:
        if self._running is not job:
            return
        self._running = None
        measured = (
            job.computed_tokens * 1_000 / max(self._run_duration_ms, 1e-6)
        )
        if (
            job.computed_tokens * 1_000
            > MIN_PREFILL_MS * self.spec.tokens_per_s
        ):
            self._prefill_rate += EWMA_WEIGHT * (measured - self._prefill_rate)
        evicted = self.cache.insert(job.prefix, job.prefix_tokens)
        self._publish_cache_events(job.prefix, evicted)
        self._update_queue_tokens()
        self.results[job.job_id] = job
        self.clock.call_later(
            RESULT_TTL_MS, lambda: self.release_result(job.job_id)
        )
        job.on_done(True)
        self._start_next()

    def _update_queue_tokens(self) -> None:
        jobs = [job for _, _, job in self._queue]
        if self._running is not None:
            jobs.append(self._running)
        self.queue_tokens = sum(
            j.tokens - self._cached_tokens(j) for j in jobs
        )

    def _publish_cache_events(self, prefix: int, evicted: list[int]) -> None:
        if self.on_cache_change is None or prefix < 0:
            return
        self.on_cache_change(self, prefix, self.cache.tokens(prefix))
        for old in evicted:
            self.on_cache_change(self, old, 0)

    def cancel(self, job: PrefillJob) -> None:
        """Cancel a queued or running prefill, or release its result."""
        self.results.pop(job.job_id, None)
        if self._running is job:
            job.computed_tokens *= self._completed_share()
            self._running = None
            self._start_next()
        else:
            kept = [item for item in self._queue if item[2] is not job]
            if len(kept) == len(self._queue):
                return
            self._queue = kept
            heapq.heapify(self._queue)
        self._update_queue_tokens()

    def _completed_share(self) -> float:
        elapsed_ms = self.clock.now - self._run_started_ms
        return min(1.0, elapsed_ms / max(self._run_duration_ms, 1e-6))

    def release_result(self, job_id: int) -> PrefillJob | None:
        """Release a prefill result; returns its job if it was still held."""
        return self.results.pop(job_id, None)

    # Decode ---------------------------------------------------------------

    def reserve(
        self, reservation_id: int, prompt_tokens: int, output_tokens: int
    ) -> bool:
        """Reserve a slot and the memory pieces for prompt and output.

        Returns false if either is short; the ledger never oversells.
        """
        if (
            not self.alive
            or self.draining
            or self.has_reservation(reservation_id)
        ):
            return False
        request = ReservationRequest(
            _holder(reservation_id),
            0,
            pieces_needed(prompt_tokens, output_tokens),
            RESERVATION_TTL_MS,
        )
        granted = self.ledger.reserve(request, self.clock.now_ms).is_ok()
        self.slots_peak = max(self.slots_peak, self.ledger.slots_used)
        return granted

    def has_reservation(self, reservation_id: int) -> bool:
        """Whether a reservation is active on this engine."""
        return self.ledger.find(_holder(reservation_id)) is not None

    def release(self, reservation_id: int) -> None:
        """Release a reservation and stop its transfer or decode."""
        self.ledger.release(_holder(reservation_id))
        self.batch.remove(reservation_id)
        self.transfers.remove(reservation_id)
        self.on_failure.pop(reservation_id, None)

    def book_transfer(
        self, prompt_tokens: int, earliest_ms: float, zone: str
    ) -> Booking:
        """Book time on the import link to transfer a prompt's KV cache."""
        self.link_bookings.expire(self.clock.now_ms)
        share = 1.0 if zone == self.spec.zone else CROSS_ZONE_RATE_SHARE
        share *= self.link_rate.share(self.clock.now_ms)
        kb = int(transfer_kb(prompt_tokens) / share)
        return self.link_bookings.book(kb, int(earliest_ms))

    def transfer(
        self,
        reservation_id: int,
        prompt_tokens: int,
        zone: str,
        done: Callable[[], None],
    ) -> None:
        """Import a KV cache over the link, shared by all active transfers."""
        holding = self.ledger.find(_holder(reservation_id))
        assert holding is not None
        if not holding.running:
            self.ledger.start(
                holding.number, holding.holder, self.clock.now_ms
            ).unwrap()
        share = 1.0 if zone == self.spec.zone else CROSS_ZONE_RATE_SHARE
        self.transfers.add(
            reservation_id, transfer_kb(prompt_tokens) / share, done
        )

    def decode(
        self, reservation_id: int, tokens: int, done: Callable[[], None]
    ) -> None:
        """Generate tokens in the shared batch."""
        started = self.clock.now

        def finished() -> None:
            measured = (self.clock.now - started) / max(1, tokens)
            self._observe_token_gap(measured)
            done()

        self.batch.add(reservation_id, tokens, finished)

    def token_gap_ms(self) -> float:
        """Return the current time between output tokens, in ms."""
        rate = self._tokens_per_ms(max(1, len(self.batch))) * self.speed
        return 1.0 / max(rate, 1e-6)

    def poll(self) -> None:
        """Sample the token gap and expire reservations, as an agent does."""
        self.ledger.expire(self.clock.now_ms)
        if len(self.batch):
            self._observe_token_gap(self.token_gap_ms())

    def _observe_token_gap(self, gap_ms: float) -> None:
        nominal = BASE_TOKEN_GAP_MS + TOKEN_GAP_PER_REQUEST_MS * max(
            1, len(self.batch)
        )
        slowness = max(1.0, gap_ms / nominal)
        target = BASE_TOKEN_GAP_MS * slowness
        self._smoothed_gap_ms += EWMA_WEIGHT * (target - self._smoothed_gap_ms)

    # Faults ---------------------------------------------------------------

    def crash(self, silent: bool = False, detection_ms: float = 0.0) -> None:
        """Crash the engine and lose all its work.

        The holders of reservations are notified after ``detection_ms``. A
        ``silent`` crash closes no connections.
        """
        jobs = [job for _, _, job in self._queue]
        if self._running is not None:
            self._running.computed_tokens *= self._completed_share()
            jobs.append(self._running)
        callbacks = list(self.on_failure.values())
        self.alive = False
        self.silent = silent
        self._reset()
        for job in jobs:
            job.on_done(False)
        for callback in callbacks:
            self.clock.call_later(detection_ms, callback)

    def is_idle(self) -> bool:
        """Whether there are no reservations, results or prefill jobs."""
        busy = (
            self.ledger.slots_used
            or self.results
            or self._queue
            or self._running
        )
        return not busy

    def assign(self, role: str, model: str) -> None:
        """Reset an idle engine with a new role and model."""
        self.spec.role = role
        self.spec.model = model
        self._reset()
        self.alive = True
        self.draining = False
