"""One attempt at a model request: reserve, prefill, decode and stream."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result

from gooseberrypost.entry.decoding import TokenReader
from gooseberrypost.entry.placing import NO_CAPACITY_RETRY_MS, Placer
from gooseberrypost.entry.sections import Stage
from gooseberrypost.errors import (
    Failure,
    HandleExpired,
    NoCapacity,
    NotRun,
    TransferStalled,
)
from gooseberrypost.policy.forecast import transfer_kb
from gooseberrypost.policy.transfer import stall_timeout_ms
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from gooseberrypost.entry.context import EntryContext
    from gooseberrypost.entry.placing import ModelWork, Placed
    from gooseberrypost.policy.placement import Pair
    from gooseberrypost.policy.views import AgentView

MAX_PREFILLS: Final = 3
"""Prefill agents tried while they refuse definitely."""
UNBOOKED_TRANSFER_MS: Final = 400
"""Time for a transfer over a link without a booked rate."""
MIN_TRANSFER_MS: Final = 50


@dataclass(slots=True)
class _Result:
    """Prefill result and the time until which it lives."""

    handle: str
    engine_address: str
    until_ms: int
    computed_tokens: int


class ModelAttempt:
    """Runs one attempt and frees what it holds when it does not succeed."""

    def __init__(self, ctx: EntryContext, work: ModelWork) -> None:
        self._ctx = ctx
        self._work = work
        self._placer = Placer(ctx, work)
        self._prefilled_at: AgentView | None = None
        self._result: _Result | None = None
        self.is_unused = True
        """No prefill was started, so the attempt number can serve again."""

    async def run(self) -> Result[None, Failure]:
        """Run to a whole stream, or return why it is not whole."""
        done: Result[None, Failure] | None = None
        try:
            done = await self._run()
            return done
        finally:
            self._discard_result()
            if not isinstance(done, Ok):
                # A cancel bars the attempt at its agent, so another try
                # needs a new one.
                if self._placer.touched or self._placer.is_barred:
                    self.is_unused = False
                self._cancel()

    async def _run(self) -> Result[None, Failure]:
        reserved = await self._placer.reserve()
        if isinstance(reserved, Err):
            return reserved
        placed = reserved.ok_value
        for _ in range(MAX_PREFILLS):
            prefilled = await self._prefill(placed.pair)
            if isinstance(prefilled, Ok):
                return await self._decode(placed, prefilled.ok_value)
            failure, source = prefilled.err_value, placed.pair.prefill
            if not isinstance(failure, NotRun):
                self._work.avoided.add(source.name)
                return prefilled
            self._placer.refused.add(source.name)
            self._ctx.log_retry(self._work.live, failure, "next_prefill")
            pair = self._placer.other_source(placed.pair)
            if pair is None:
                break
            placed = replace(placed, pair=pair)
        await self._return_reservation(placed)
        return Err(
            NoCapacity(
                "no prefill engine has room",
                retry_after_ms=NO_CAPACITY_RETRY_MS,
            )
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
        self.is_unused = False
        sent_before, live.sent = live.sent, True
        self._placer.touched[pair.prefill.name] = pair.prefill
        reply = await self._ctx.agents.request(
            pair.prefill, message, remaining_ms
        )
        match reply:
            case Ok(prefilled):
                self._prefilled_at = pair.prefill
                self._ctx.fleet.hints.record_prefill(
                    pair.prefill.name, view.prefix_hashes
                )
                self._result = _Result(
                    prefilled.handle,
                    prefilled.engine_address,
                    self._ctx.now_ms() + prefilled.lives_ms,
                    prefilled.tokens - prefilled.cached_tokens,
                )
                self._ctx.metrics.count(
                    "prefill_tokens_total",
                    self._result.computed_tokens,
                    service=view.service,
                )
                return Ok(self._result)
            case Err(failure):
                if isinstance(failure, NotRun):
                    self.is_unused = True
                    live.sent = sent_before
                    self._placer.touched.pop(pair.prefill.name, None)
                return Err(failure)

    async def _decode(
        self, placed: Placed, result: _Result
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
            again = await self._placer.reserve(placed.pair.prefill)
            if isinstance(again, Err):
                return Err(failure)
            placed = again.ok_value

    def _allows_fallback(
        self, failure: Failure, result: _Result, start: int
    ) -> bool:
        work, now_ms = self._work, self._ctx.now_ms()
        if work.stream.next_sequence != start or now_ms >= result.until_ms:
            return False
        if isinstance(failure, NotRun):
            # Nothing was run, so another try adds no load; without it the
            # prefill would be wasted.
            return True
        if not isinstance(failure, TransferStalled):
            return False
        work.live.tries += 1
        spent = work.retries.retry(
            work.live.tries,
            now_ms,
            work.live.deadline_ms,
            self._ctx.parts.rng,
        )
        return isinstance(spent, Ok)

    async def _decode_at(
        self, placed: Placed, result: _Result
    ) -> Result[None, Failure]:
        view, stream = self._work.view, self._work.stream
        timeout_ms = self._transfer_timeout_ms(placed, result)
        message = idl.Decode(
            key=view.key,
            attempt=view.attempt,
            reservation=placed.reserved.reservation,
            handle=result.handle,
            engine_address=result.engine_address,
            max_tokens=view.max_output_tokens,
            first_sequence=stream.next_sequence,
            priority=view.priority,
            deadline_ms=self._remaining_ms(),
            model=view.model,
            transfer_timeout_ms=timeout_ms,
        )
        reader = TokenReader(
            self._ctx, self._work, placed.pair.decode, self._release_result
        )
        # The agent counts the time for a transfer from its booked start.
        start_ms = placed.reserved.link_start_ms or 0
        return await reader.read(message, start_ms + timeout_ms)

    def _transfer_timeout_ms(self, placed: Placed, result: _Result) -> int:
        rate = placed.reserved.link_kb_per_s or 0
        booked_ms = UNBOOKED_TRANSFER_MS
        if rate > 0:
            kb = transfer_kb(self._work.view.prompt_tokens)
            booked_ms = stall_timeout_ms(kb * 1_000 // rate)
        # Half of the remaining life is left to a fallback engine.
        lives_ms = result.until_ms - self._ctx.now_ms()
        return max(MIN_TRANSFER_MS, min(booked_ms, lives_ms // 2))

    def _remaining_ms(self) -> int:
        return max(1, self._work.live.deadline_ms - self._ctx.now_ms())

    async def _return_reservation(self, placed: Placed) -> None:
        view = self._work.view
        decode = placed.pair.decode
        self._placer.touched.pop(decode.name, None)
        await self._ctx.agents.release_reservation(
            decode, placed.reserved.reservation, view.key, view.attempt
        )

    def _abandon_decode(self, decode: AgentView) -> None:
        view = self._work.view
        self._placer.refused.add(decode.name)
        self._placer.touched.pop(decode.name, None)
        self._ctx.agents.cancel(decode, view.key, view.attempt)

    def _discard_result(self) -> None:
        """Release a result of which no token was decoded."""
        if self._result is not None:
            self._ctx.metrics.count(
                "prefill_tokens_wasted_total",
                self._result.computed_tokens,
                service=self._work.view.service,
            )
        self._release_result()

    def _release_result(self) -> None:
        result, self._result = self._result, None
        if result is not None and self._prefilled_at is not None:
            view = self._work.view
            self._placer.touched.pop(self._prefilled_at.name, None)
            self._ctx.agents.release_prefill(
                self._prefilled_at, view.key, view.attempt, result.handle
            )

    def _cancel(self) -> None:
        view = self._work.view
        for agent in self._placer.touched.values():
            self._ctx.agents.cancel(agent, view.key, view.attempt)
