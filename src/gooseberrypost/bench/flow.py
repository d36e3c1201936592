"""One request on its way through an entry and two engines."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from result import Err

from gooseberrypost.bench.delivery import FULL_RETRY_MS, Delivery
from gooseberrypost.bench.engines import RESULT_LIFE_MS, FakeEngine
from gooseberrypost.bench.parts import PrefillJob
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
    from gooseberrypost.bench.workload import Offered
    from gooseberrypost.errors import Failure
    from gooseberrypost.policy.placement import EnginePair

BASELINE_ATTEMPTS: Final = 3
ENTRY_SILENCE_MS: Final = 4_500
"""Time after which agents free what a dead entry's requests hold."""


class Flow:
    """Lifecycle of a request; every callback checks that it still counts."""

    def __init__(self, entry: Entry, offered: Offered, measured: bool) -> None:
        self.entry = entry
        self.system = entry.system
        self.offered = offered
        self.measured = measured
        self.attempt = 1
        self.resend = 0
        self.ended = False
        self.counted = False
        self.outcome = ""
        self.first_token = 0.0
        self.completed = 0.0
        self.generated = 0
        self._decode_started = 0.0
        self._step = 0
        self._job: PrefillJob | None = None
        self._prefill: FakeEngine | None = None
        self._decode: FakeEngine | None = None
        self.hold = 0
        self._relaxed = False
        self.displacements = 0
        self.req = self._request_view()
        self.system.clock.at(
            offered.arrived + offered.kind.answer_ms, self._deadline
        )

    def _request_view(self) -> RequestView:
        offered, kind = self.offered, self.offered.kind
        arrived = int(offered.arrived)
        resumed = self.first_token > 0
        relaxed = resumed or self._relaxed
        return RequestView(
            f"{offered.number}",
            kind.service,
            offered.account,
            kind.model,
            self.entry.zone,
            offered.prompt + self.generated,
            kind.max_output - self.generated,
            0 if resumed else kind.priority,
            kind.waste_weight,
            arrived,
            kind.answer_ms if relaxed else kind.first_token_ms,
            26,
            arrived + kind.answer_ms,
            0 if resumed else kind.max_wait_ms,
            False,
            self.attempt,
            self.entry.desk(kind.service).output.expected(kind.max_output),
        )

    def relax(self) -> None:
        """Give up the first-token target and serve the request late."""
        self._relaxed = True
        self.req = self._request_view()

    # Placement ------------------------------------------------------------

    def place(self, pairs: list[EnginePair]) -> None:
        """Start on the best pair, reserving decode first where we do."""
        if not pairs and self.system.strategy.admits:
            self.later(FULL_RETRY_MS, lambda: self.entry.consider(self))
        elif not pairs:
            self.retry(NoCapacity("no pair"))
        elif self.system.strategy.reserves:
            self._reserve(pairs)
        else:
            decode = self.system.engines[pairs[0].decode.name]
            self._start_prefill(pairs[0], decode)

    def _reserve(self, pairs: list[EnginePair]) -> None:
        pair, rest = pairs[0], pairs[1:]
        decode = self.system.engines[pair.decode.name]
        req = self.req
        self.entry.sent(
            decode,
            slots=1,
            pieces=pieces_needed(req.prompt_tokens, req.max_output_tokens),
        )

        def at_agent() -> None:
            granted = not self.ended and self.hold_at(decode)
            self.send_back(decode, self.guard(lambda: replied(granted)))

        def replied(granted: bool) -> None:
            if granted:
                self._start_prefill(pair, decode)
            elif rest:
                self._reserve(rest)
            else:
                # Nothing ran, so asking again costs no retry.
                delay = FULL_RETRY_MS * (0.5 + self.entry.rng.random())
                self.later(delay, lambda: self.entry.consider(self))

        self.send(decode, self.guard(at_agent))

    def _start_prefill(self, pair: EnginePair, decode: FakeEngine) -> None:
        prefill = self.system.engines[pair.prefill.name]
        self._prefill, self._decode = prefill, decode
        tokens = self.req.prompt_tokens
        self.entry.sent(
            prefill, tokens=max(0, tokens - pair.prefill.cached_tokens)
        )
        self._job = PrefillJob(
            self.system.next_number(),
            tokens,
            self.offered.prefix,
            self.offered.prefix_tokens,
            self._priority(),
            self._prefill_due(),
            self._prefill_done,
        )
        job = self._job
        self.system.jobs.append((self, job))

        def at_agent() -> None:
            if not prefill.submit(job):
                job.done(False)

        self.send(prefill, at_agent)

    def _priority(self) -> float:
        if not self.system.strategy.admits:
            return 0.0
        return effective_priority(self.req, self.system.clock.now_ms)

    def _prefill_due(self) -> float:
        if not self.system.strategy.admits:
            return self.req.answer_deadline_ms
        return first_token_deadline_ms(self.req)

    def _prefill_done(self, has_result: bool) -> None:
        prefill, job = self._prefill, self._job
        assert prefill is not None and job is not None
        expires = self.system.clock.now + RESULT_LIFE_MS

        def heard() -> None:
            if not has_result:
                self.retry(NoCapacity("prefill lost"))
            elif self._decode is not None:
                delivery = Delivery(self, prefill, job, expires)
                delivery.start(self._decode, [])

        self.send_back(prefill, self.guard(heard))

    # Decode ---------------------------------------------------------------

    def has_job(self, job: PrefillJob) -> bool:
        """Whether a prefill belongs to the present attempt."""
        return self._job is job

    def holds(self, decode: FakeEngine) -> bool:
        """Whether this attempt holds a slot at the engine."""
        return decode.holds(self.hold)

    def hold_at(self, decode: FakeEngine) -> bool:
        """Reserve a slot and all pieces, if the agent has them."""
        number = self.system.next_number()
        if not decode.reserve(
            number, self.req.prompt_tokens, self.req.max_output_tokens
        ):
            return False
        self.hold, self._decode = number, decode
        decode.on_lost[number] = self.guard(self._decode_lost)
        return True

    def decode_on(self, decode: FakeEngine) -> None:
        """Generate the rest of the answer from an imported KV cache."""
        tokens = self.offered.output - self.generated
        self._decode_started = self.system.clock.now
        decode.decode(self.hold, tokens, self.guard(self._decoded))
        if self.first_token == 0:
            trip = self.system.latency(self.entry.zone, decode.spec.zone)
            self.first_token = (
                self.system.clock.now + decode.token_gap() + trip
            )

    def _decoded(self) -> None:
        decode = self._decode
        assert decode is not None
        self.free_decode()
        self.send_back(decode, self.guard(self._complete))

    def _complete(self) -> None:
        self.completed = self.system.clock.now
        self.entry.desk(self.req.service).output.observe(self.offered.output)
        self._finish("completed")

    # Failures -------------------------------------------------------------

    def _decode_lost(self) -> None:
        """Continue elsewhere from the next token, prompt computed again."""
        if self.first_token > 0 and self._decode_started > 0:
            elapsed = self.system.clock.now - self._decode_started
            done = int(elapsed / 24.0)
            self.generated = min(
                self.offered.output - 1, self.generated + done
            )
        self.hold = 0
        self.displacements += 1
        self.retry(NoCapacity("decode engine lost"), displaced=True)

    def retry(self, failure: Failure, displaced: bool = False) -> None:
        """Try again within the budget, or end with the failure."""
        self._stop_work()
        self._step += 1
        now = self.system.clock.now_ms
        if self.system.strategy.guards:
            desk = self.entry.desk(self.req.service)
            when = (self.attempt, now, self.req.answer_deadline_ms)
            if displaced:
                allowed = desk.budget.retry_displaced(
                    self.displacements, *when, self.entry.rng
                )
            else:
                allowed = desk.budget.retry(*when, self.entry.rng)
            if isinstance(allowed, Err):
                self.refuse(failure)
                return
            delay = allowed.ok_value
        elif self.attempt < BASELINE_ATTEMPTS:
            delay = 1
        else:
            self.refuse(failure)
            return
        self.attempt += 1
        self.req = self._request_view()
        self.later(delay, lambda: self.entry.consider(self))

    def refuse(self, failure: Failure) -> None:
        """End without an answer."""
        self._stop_work()
        self._finish("refused", failure.retry_after_ms)

    def abandon(self) -> None:
        """Lose the request with its entry; agents notice the silence."""
        if self.ended:
            return
        prefill, job = self._prefill, self._job
        decode, hold = self._decode, self.hold
        self._finish("lost")

        def noticed() -> None:
            if decode is not None:
                decode.release(hold)
            if prefill is not None and job is not None:
                prefill.drop(job.number)

        self.system.clock.after(ENTRY_SILENCE_MS, noticed)

    def _deadline(self) -> None:
        if not self.ended:
            self._stop_work()
            self._finish("late")

    # Helpers --------------------------------------------------------------

    def _stop_work(self) -> None:
        self.free_decode()
        if self._prefill is not None and self._job is not None:
            self._prefill.cancel(self._job)
        self._job = None

    def free_decode(self) -> None:
        """Release what the attempt holds at its decode engine."""
        if self._decode is not None and self.hold:
            self._decode.release(self.hold)
            self.hold = 0

    def _finish(self, outcome: str, retry_after_ms: int | None = None) -> None:
        self.ended = True
        self.outcome = outcome
        self.entry.flows.pop(self, None)
        service = self.req.service
        if self.counted:
            now = self.system.clock.now_ms
            limiter = self.entry.desk(service).limiter
            limiter.release(self.req.account, now)
        self.system.ended(self, retry_after_ms)
        if self.entry.alive and self.system.strategy.admits:
            self.entry.pump(service)

    def guard(self, callback: Callable[[], None]) -> Callable[[], None]:
        """Make a callback void once the request ended or was retried."""
        step = self._step

        def guarded() -> None:
            if not self.ended and self._step == step:
                callback()

        return guarded

    def later(self, delay: float, callback: Callable[[], None]) -> None:
        """Run a guarded callback after a delay in ms."""
        self.system.clock.after(delay, self.guard(callback))

    def send(self, engine: FakeEngine, callback: Callable[[], None]) -> None:
        """Deliver a message to an agent after the trip."""
        trip = self.system.latency(self.entry.zone, engine.spec.zone)
        self.system.clock.after(trip, callback)

    def send_back(
        self, engine: FakeEngine, callback: Callable[[], None]
    ) -> None:
        """Deliver an agent's reply, with its load, after the trip."""
        trip = self.system.latency(self.entry.zone, engine.spec.zone)

        def arrives() -> None:
            if engine.alive:
                self.entry.heard(engine)
            else:
                self.entry.lost(engine)
            callback()

        if engine.silent:
            trip += self.system.silence_ms
        self.system.clock.after(trip, arrives)
