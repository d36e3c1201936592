"""One attempt at a model request: reserve, prefill, decode and stream."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

from result import Err, Ok, Result

from gooseberrypost.entry.decoding import TokenReader
from gooseberrypost.entry.sections import Stage
from gooseberrypost.errors import (
    Failure,
    HandleExpired,
    NoCapacity,
    NotRun,
    TransferStalled,
)
from gooseberrypost.logs import RoutingDecision
from gooseberrypost.state.records import EngineRole
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from gooseberrypost.entry.answer import CompletionAnswer
    from gooseberrypost.entry.collaborators import RetryBudget
    from gooseberrypost.entry.context import EntryContext
    from gooseberrypost.entry.parse import Completion
    from gooseberrypost.entry.sections import LiveRequest
    from gooseberrypost.policy.placement import Pair
    from gooseberrypost.policy.views import AgentView, RequestView
    from gooseberrypost.state.records import ServiceRecord
    from gooseberrypost.state.streams import TokenStream

PIECE_TOKENS: Final = 2_000
KV_KB_PER_TOKEN: Final = 128
RESERVE_TRIES: Final = 6
RESERVE_TIMEOUT_MS: Final = 1_000
RESERVATION_MARGIN_MS: Final = 2_000
"""Time for a late prefill before its reservation lapses."""
MAX_PREFILLS: Final = 3
"""Prefill agents tried while they refuse definitely."""
NO_CAPACITY_RETRY_MS: Final = 500
UNBOOKED_TRANSFER_MS: Final = 400
"""Time for a transfer over a link without a booked rate."""
STALL_FACTOR: Final = 2
"""A transfer this many times slower than booked is stalled."""
MIN_TRANSFER_MS: Final = 50


@dataclass(slots=True)
class ModelWork:
    """What all attempts at one model request share."""

    live: LiveRequest
    service: ServiceRecord
    view: RequestView
    completion: Completion
    digest: bytes
    stream: TokenStream
    answer: CompletionAnswer
    retries: RetryBudget
    avoided: set[str]
    """Engines that failed earlier attempts."""


@dataclass(slots=True)
class _Placed:
    pair: Pair
    reserved: Any


@dataclass(slots=True)
class _Result:
    """Prefill result and the time until which it lives."""

    handle: str
    engine_address: str
    until_ms: int


class ModelAttempt:
    """Runs one attempt and frees what it holds when it does not succeed."""

    def __init__(self, ctx: EntryContext, work: ModelWork) -> None:
        self._ctx = ctx
        self._work = work
        self._refused: set[str] = set()
        self._touched: dict[str, AgentView] = {}
        self._prefilled_at: AgentView | None = None
        self._result: _Result | None = None

    async def run(self) -> Result[None, Failure]:
        """Run to a whole stream, or return why it is not whole."""
        done: Result[None, Failure] | None = None
        try:
            done = await self._run()
            return done
        finally:
            self._release_result()
            if not isinstance(done, Ok):
                self._cancel()

    async def _run(self) -> Result[None, Failure]:
        placed = await self._reserve()
        for _ in range(MAX_PREFILLS):
            if isinstance(placed, Err):
                return placed
            prefilled = await self._prefill(placed.ok_value.pair)
            if isinstance(prefilled, Ok):
                return await self._decode(placed.ok_value, prefilled.ok_value)
            failure = prefilled.err_value
            self._return_reservation(placed.ok_value)
            if not isinstance(failure, NotRun):
                self._work.avoided.add(placed.ok_value.pair.prefill.name)
                return prefilled
            self._refused.add(placed.ok_value.pair.prefill.name)
            self._ctx.log_retry(self._work.live, failure, "next_prefill")
            placed = await self._reserve()
        return placed.and_then(lambda _: Err(NoCapacity("no prefill engine")))

    async def _reserve(
        self, source: AgentView | None = None
    ) -> Result[_Placed, Failure]:
        """Reserve at the best decode engine, on refusal at the next ones.

        ``source`` is the prefill engine when its result exists already.
        """
        live = self._work.live
        live.stage = Stage.RESERVE
        last: Failure = NoCapacity(
            "no engine can serve the request",
            retry_after_ms=NO_CAPACITY_RETRY_MS,
        )
        for _ in range(RESERVE_TRIES):
            pairs = self._rank(source)
            if not pairs:
                return Err(last)
            pair = pairs[0]
            self._log_routing(pair)
            self._touched[pair.decode.name] = pair.decode
            reply = await self._ctx.agents.request(
                pair.decode, self._reserve_message(pair), RESERVE_TIMEOUT_MS
            )
            match reply:
                case Ok(reserved) if isinstance(reserved, idl.Reserved):
                    return Ok(_Placed(pair, reserved))
                case Err(failure):
                    if isinstance(failure, NotRun):
                        self._touched.pop(pair.decode.name, None)
                    last = NoCapacity(
                        f"{pair.decode.name}: {failure}",
                        retry_after_ms=failure.retry_after_ms
                        or NO_CAPACITY_RETRY_MS,
                    )
                    self._ctx.log_retry(live, failure, "next_decode")
            self._refused.add(pair.decode.name)
        return Err(last)

    def _rank(self, source: AgentView | None) -> list[Pair]:
        work = self._work
        prefill = self._candidates(EngineRole.PREFILL)
        if source is not None:
            prefill = [source]
        return self._ctx.parts.placement.rank(
            work.view,
            prefill,
            self._candidates(EngineRole.DECODE),
            self._ctx.now_ms(),
            self._ctx.parts.rng,
        )

    def _candidates(self, role: str) -> list[AgentView]:
        work = self._work
        views = self._ctx.fleet.candidates(
            work.live.service, role, work.view.model
        )
        fresh = [v for v in views if v.name not in self._refused]
        preferred = [v for v in fresh if v.name not in work.avoided]
        return preferred or fresh

    def _reserve_message(self, pair: Pair) -> Any:
        view = self._work.view
        starts_in = max(0, pair.transfer_start_ms - self._ctx.now_ms())
        tokens = view.prompt_tokens + view.max_output_tokens
        return idl.Reserve(
            key=view.key,
            attempt=view.attempt,
            service_name=view.service,
            model=view.model,
            pieces=max(1, -(-tokens // PIECE_TOKENS)),
            ttl_ms=starts_in + RESERVATION_MARGIN_MS,
            expected_start_ms=starts_in,
            priority=view.priority,
            suspect=view.suspect,
            digest=self._work.digest,
            transfer_kb=view.prompt_tokens * KV_KB_PER_TOKEN,
        )

    async def _prefill(self, pair: Pair) -> Result[_Result, Failure]:
        live, view = self._work.live, self._work.view
        live.stage = Stage.PREFILL
        remaining_ms = self._remaining_ms()
        message = idl.Prefill(
            key=view.key,
            attempt=view.attempt,
            service_name=view.service,
            model=view.model,
            prompt=self._work.completion.prompt,
            priority=view.priority,
            deadline_ms=remaining_ms,
            digest=self._work.digest,
            suspect=view.suspect,
            generated=self._work.stream.text or None,
        )
        sent_before, live.sent = live.sent, True
        self._touched[pair.prefill.name] = pair.prefill
        reply = await self._ctx.agents.request(
            pair.prefill, message, remaining_ms
        )
        match reply:
            case Ok(prefilled):
                self._prefilled_at = pair.prefill
                self._result = _Result(
                    prefilled.handle,
                    prefilled.engine_address,
                    self._ctx.now_ms() + prefilled.lives_ms,
                )
                self._ctx.metrics.count(
                    "prefill_tokens_total",
                    prefilled.tokens - prefilled.cached_tokens,
                    service=view.service,
                )
                return Ok(self._result)
            case Err(failure):
                if isinstance(failure, NotRun):
                    live.sent = sent_before
                    self._touched.pop(pair.prefill.name, None)
                return Err(failure)

    async def _decode(
        self, placed: _Placed, result: _Result
    ) -> Result[None, Failure]:
        """Decode, at fallback engines while the prefill result lives."""
        live, stream = self._work.live, self._work.stream
        start = stream.next_sequence
        while True:
            live.stage = Stage.DECODE
            decoded = await self._decode_at(placed, result)
            if isinstance(decoded, Ok):
                return decoded
            failure = decoded.err_value
            if not isinstance(failure, HandleExpired):
                self._work.avoided.add(placed.pair.decode.name)
            if not self._allows_fallback(failure, result, start):
                return decoded
            self._abandon_decode(placed.pair.decode)
            self._ctx.log_retry(live, failure, "fallback_decode")
            again = await self._reserve(placed.pair.prefill)
            if isinstance(again, Err):
                return Err(failure)
            placed = again.ok_value

    def _allows_fallback(
        self, failure: Failure, result: _Result, start: int
    ) -> bool:
        work, now_ms = self._work, self._ctx.now_ms()
        if work.stream.next_sequence != start or now_ms >= result.until_ms:
            return False
        if not isinstance(failure, TransferStalled | NotRun):
            return False
        spent = work.retries.retry(
            work.live.attempt,
            now_ms,
            work.live.deadline_ms,
            self._ctx.parts.rng,
        )
        return isinstance(spent, Ok)

    async def _decode_at(
        self, placed: _Placed, result: _Result
    ) -> Result[None, Failure]:
        view, stream = self._work.view, self._work.stream
        timeout_ms = self._transfer_timeout_ms(placed, result)
        message = idl.Decode(
            key=view.key,
            attempt=view.attempt,
            reservation=placed.reserved.reservation,
            handle=result.handle,
            engine_address=result.engine_address,
            max_tokens=view.max_output_tokens - stream.next_sequence,
            first_sequence=stream.next_sequence,
            priority=view.priority,
            deadline_ms=self._remaining_ms(),
            model=view.model,
            transfer_timeout_ms=timeout_ms,
        )
        reader = TokenReader(
            self._ctx, self._work, placed.pair.decode, self._release_result
        )
        return await reader.read(message, timeout_ms)

    def _transfer_timeout_ms(self, placed: _Placed, result: _Result) -> int:
        rate = placed.reserved.link_kb_per_s or 0
        booked_ms = UNBOOKED_TRANSFER_MS
        if rate > 0:
            kb = self._work.view.prompt_tokens * KV_KB_PER_TOKEN
            booked_ms = STALL_FACTOR * kb * 1_000 // rate
            booked_ms += placed.reserved.link_start_ms or 0
        # Half of the remaining life is left to a fallback engine.
        lives_ms = result.until_ms - self._ctx.now_ms()
        return max(MIN_TRANSFER_MS, min(booked_ms, lives_ms // 2))

    def _remaining_ms(self) -> int:
        return max(1, self._work.live.deadline_ms - self._ctx.now_ms())

    def _return_reservation(self, placed: _Placed) -> None:
        view = self._work.view
        decode = placed.pair.decode
        self._touched.pop(decode.name, None)
        self._ctx.agents.release_reservation(
            decode, placed.reserved.reservation, view.key, view.attempt
        )

    def _abandon_decode(self, decode: AgentView) -> None:
        view = self._work.view
        self._refused.add(decode.name)
        self._touched.pop(decode.name, None)
        self._ctx.agents.cancel(decode, view.key, view.attempt)

    def _release_result(self) -> None:
        result, self._result = self._result, None
        if result is not None and self._prefilled_at is not None:
            view = self._work.view
            self._touched.pop(self._prefilled_at.name, None)
            self._ctx.agents.release_prefill(
                self._prefilled_at, view.key, view.attempt, result.handle
            )

    def _cancel(self) -> None:
        view = self._work.view
        for agent in self._touched.values():
            self._ctx.agents.cancel(agent, view.key, view.attempt)

    def _log_routing(self, pair: Pair) -> None:
        view = self._work.view
        arrived_ms = view.arrived_ms
        names = [
            agent.name
            for role in (EngineRole.PREFILL, EngineRole.DECODE)
            for agent in self._candidates(role)
        ]
        self._ctx.decisions.record(
            RoutingDecision(
                view.key,
                view.service,
                view.attempt,
                names,
                pair.prefill.name,
                pair.decode.name,
                pair.first_token_at_ms - arrived_ms,
                pair.complete_at_ms - arrived_ms,
                pair.reason,
            )
        )
