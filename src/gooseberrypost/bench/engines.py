"""Fakes of engines with the agents beside them, on the virtual clock."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING, Final

from gooseberrypost.bench.clock import SharedWork, VirtualClock
from gooseberrypost.bench.parts import EngineSpec, PrefillJob, PrefixCache
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

RESULT_LIFE_MS: Final = 800
GAP_ALONE_MS: Final = 16.0
"""Time between tokens of a request that is alone on its engine."""
GAP_PER_REQUEST_MS: Final = 0.4
"""Growth of that time with each request in the batch: 24 ms at twenty."""
MIN_PREFILL_MS: Final = 4.0
HOLD_TTL_MS: Final = 10_000
MEASURE_WEIGHT: Final = 0.3


def _holder(number: int) -> Attempt:
    return Attempt(str(number), 1)


class FakeEngine:
    """An engine that can be prefill or decode, with its agent."""

    def __init__(self, clock: VirtualClock, spec: EngineSpec) -> None:
        self.clock = clock
        self.spec = spec
        self.alive = True
        self.draining = False
        self.silent = False
        """Dead without a closed connection, as in a lost zone."""
        self.speed = 1.0
        self._numbers = itertools.count(1)
        self.on_cache: Callable[[FakeEngine, int, int], None] | None = None
        self._reset()

    def _reset(self) -> None:
        self.cache = PrefixCache(self.spec.cache_tokens)
        self._queue: list[tuple[float, int, PrefillJob]] = []
        self._running: PrefillJob | None = None
        self._run_started = 0.0
        self._run_cost = 0.0
        self._rate = self.spec.tokens_per_s
        self.results: dict[int, PrefillJob] = {}
        self.queue_tokens = 0
        self.ledger = Ledger(self.spec.slots, self.spec.pieces, 0)
        self.slots_peak = 0
        self.batch = SharedWork(self.clock, self._tokens_per_ms)
        self.flows = SharedWork(self.clock, self._kb_per_ms)
        self.book = LinkBookings(self.spec.link_kb_per_s)
        self.link_rate = MeasuredRate()
        self.gap_ms = GAP_ALONE_MS
        self.on_lost: dict[int, Callable[[], None]] = {}

    # Load -----------------------------------------------------------------

    def view(self) -> AgentView:
        """Load as the agent reports it now."""
        link = self.link_rate.share(self.clock.now_ms)
        return self._view(self._rate, self.reported_gap_ms(), link)

    def exact_view(self) -> AgentView:
        """Load with the true speeds, which no agent knows."""
        spec = self.spec
        gap = GAP_ALONE_MS + GAP_PER_REQUEST_MS * (self.ledger.slots_used + 1)
        return self._view(
            spec.tokens_per_s * self.speed,
            gap / max(self.speed, 1e-3),
            max(self.flows.factor, 1e-3),
        )

    def _view(
        self, tokens_per_s: float, gap_ms: float, link_share: float
    ) -> AgentView:
        now, spec = self.clock.now_ms, self.spec
        self.book.expire(now)
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
            int(self._tokens_ahead(tokens_per_s)),
            tokens_per_s,
            gap_ms,
            self.draining or not self.alive,
            now,
            0,
            0,
            spec.name,
            int(spec.link_kb_per_s * link_share),
            self.book.next_free_ms(now),
        )

    def _tokens_ahead(self, tokens_per_s: float) -> float:
        """Queued tokens less what the running prefill has likely done."""
        if self._running is None:
            return self.queue_tokens
        done = (self.clock.now - self._run_started) * tokens_per_s / 1_000
        return self.queue_tokens - min(done, self._running.computed)

    def reported_gap_ms(self) -> float:
        """Gap for the next request, scaled by the measured slowness."""
        nominal = GAP_ALONE_MS + GAP_PER_REQUEST_MS * (
            self.ledger.slots_used + 1
        )
        return nominal * self.gap_ms / GAP_ALONE_MS

    def _tokens_per_ms(self, batch: int) -> float:
        return 1.0 / (GAP_ALONE_MS + GAP_PER_REQUEST_MS * batch)

    def _kb_per_ms(self, flows: int) -> float:
        return self.spec.link_kb_per_s / 1_000 / max(1, flows)

    def set_speed(self, speed: float) -> None:
        """Slow the engine down to a share of its nominal speed."""
        self.speed = speed
        self.batch.set_factor(speed)

    # Prefill --------------------------------------------------------------

    def submit(self, job: PrefillJob) -> bool:
        """Queue a prefill; refused when the engine is not there."""
        if not self.alive or self.draining:
            return False
        self.queue_tokens += job.tokens - self._cached(job)
        heapq.heappush(self._queue, (job.priority, next(self._numbers), job))
        self._start_next()
        return True

    def _cached(self, job: PrefillJob) -> int:
        return min(job.prefix_tokens, self.cache.tokens(job.prefix))

    def _start_next(self) -> None:
        while self._running is None and self._queue:
            _, _, job = heapq.heappop(self._queue)
            uncached = job.tokens - self._cached(job)
            if self.clock.now > job.due_ms:
                self._recount()
                job.done(False)
                continue
            duration = uncached * 1_000 / self.spec.tokens_per_s
            duration = max(MIN_PREFILL_MS, duration) / self.speed
            self._running = job
            self._run_started = self.clock.now
            self._run_cost = duration
            job.computed = uncached
            self.clock.after(duration, lambda j=job: self._finished(j))

    def _finished(self, job: PrefillJob) -> None:
        if self._running is not job:
            return
        self._running = None
        measured = job.computed * 1_000 / max(self._run_cost, 1e-6)
        if job.computed * 1_000 > MIN_PREFILL_MS * self.spec.tokens_per_s:
            self._rate += MEASURE_WEIGHT * (measured - self._rate)
        evicted = self.cache.touch(job.prefix, job.prefix_tokens)
        self._announce(job.prefix, evicted)
        self._recount()
        self.results[job.number] = job
        self.clock.after(RESULT_LIFE_MS, lambda: self.drop(job.number))
        job.done(True)
        self._start_next()

    def _recount(self) -> None:
        jobs = [job for _, _, job in self._queue]
        if self._running is not None:
            jobs.append(self._running)
        self.queue_tokens = sum(j.tokens - self._cached(j) for j in jobs)

    def _announce(self, prefix: int, evicted: list[int]) -> None:
        if self.on_cache is None or prefix < 0:
            return
        self.on_cache(self, prefix, self.cache.tokens(prefix))
        for old in evicted:
            self.on_cache(self, old, 0)

    def cancel(self, job: PrefillJob) -> None:
        """Forget a prefill, whether queued, running or done."""
        self.results.pop(job.number, None)
        if self._running is job:
            job.computed *= self._share_done()
            self._running = None
            self._start_next()
        else:
            kept = [item for item in self._queue if item[2] is not job]
            if len(kept) == len(self._queue):
                return
            self._queue = kept
            heapq.heapify(self._queue)
        self._recount()

    def _share_done(self) -> float:
        spent = self.clock.now - self._run_started
        return min(1.0, spent / max(self._run_cost, 1e-6))

    def drop(self, number: int) -> PrefillJob | None:
        """Release a prefill result."""
        return self.results.pop(number, None)

    # Decode ---------------------------------------------------------------

    def reserve(self, number: int, prompt: int, output: int) -> bool:
        """Hold a slot and all pieces, or refuse; never oversold."""
        if not self.alive or self.draining or self.holds(number):
            return False
        ask = ReservationRequest(
            _holder(number), 0, pieces_needed(prompt, output), HOLD_TTL_MS
        )
        granted = self.ledger.reserve(ask, self.clock.now_ms).is_ok()
        self.slots_peak = max(self.slots_peak, self.ledger.slots_used)
        return granted

    def holds(self, number: int) -> bool:
        """Whether a request holds a slot here."""
        return self.ledger.find(_holder(number)) is not None

    def release(self, number: int) -> None:
        """Free what a request holds and stop its work."""
        self.ledger.release(_holder(number))
        self.batch.remove(number)
        self.flows.remove(number)
        self.on_lost.pop(number, None)

    def book_transfer(
        self, prompt: int, earliest_ms: float, zone: str
    ) -> Booking:
        """Book the import link for the KV cache of a prompt."""
        self.book.expire(self.clock.now_ms)
        share = 1.0 if zone == self.spec.zone else CROSS_ZONE_RATE_SHARE
        share *= self.link_rate.share(self.clock.now_ms)
        kb = int(transfer_kb(prompt) / share)
        return self.book.book(kb, int(earliest_ms))

    def transfer(
        self, number: int, prompt: int, zone: str, done: Callable[[], None]
    ) -> None:
        """Import a KV cache over the shared link."""
        holding = self.ledger.find(_holder(number))
        assert holding is not None
        if not holding.running:
            self.ledger.start(
                holding.number, holding.holder, self.clock.now_ms
            ).unwrap()
        share = 1.0 if zone == self.spec.zone else CROSS_ZONE_RATE_SHARE
        self.flows.add(number, transfer_kb(prompt) / share, done)

    def decode(
        self, number: int, tokens: int, done: Callable[[], None]
    ) -> None:
        """Generate tokens in the batch."""
        started = self.clock.now

        def finished() -> None:
            measured = (self.clock.now - started) / max(1, tokens)
            self._measure_gap(measured)
            done()

        self.batch.add(number, tokens, finished)

    def token_gap(self) -> float:
        """Time between tokens in the batch now."""
        rate = self._tokens_per_ms(max(1, len(self.batch))) * self.speed
        return 1.0 / max(rate, 1e-6)

    def poll(self) -> None:
        """Measure the token gap and expire holds, as the agent does."""
        self.ledger.expire(self.clock.now_ms)
        if len(self.batch):
            self._measure_gap(self.token_gap())

    def _measure_gap(self, gap: float) -> None:
        nominal = GAP_ALONE_MS + GAP_PER_REQUEST_MS * max(1, len(self.batch))
        slowness = max(1.0, gap / nominal)
        target = GAP_ALONE_MS * slowness
        self.gap_ms += MEASURE_WEIGHT * (target - self.gap_ms)

    # Faults ---------------------------------------------------------------

    def die(self, silent: bool = False, notice_ms: float = 0.0) -> None:
        """Lose everything; entries notice lost answers after a while."""
        jobs = [job for _, _, job in self._queue]
        if self._running is not None:
            self._running.computed *= self._share_done()
            jobs.append(self._running)
        callbacks = list(self.on_lost.values())
        self.alive = False
        self.silent = silent
        self._reset()
        for job in jobs:
            job.done(False)
        for callback in callbacks:
            self.clock.after(notice_ms, callback)

    def is_idle(self) -> bool:
        """Whether nothing is held, queued or running."""
        busy = (
            self.ledger.slots_used
            or self.results
            or self._queue
            or self._running
        )
        return not busy

    def assign(self, role: str, model: str) -> None:
        """Give an idle engine another role or model."""
        self.spec.role = role
        self.spec.model = model
        self._reset()
        self.alive = True
        self.draining = False
