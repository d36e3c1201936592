"""One attempt at a model request: reserve, prefill, decode and stream."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any, Final

from result import Err, Ok, Result

from gooseberrypost.entry.decoding import Stall, TokenReader
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
    from collections.abc import Collection, Coroutine

    from gooseberrypost.entry.context import EntryContext
    from gooseberrypost.entry.placing import RequestState, ReservedPair
    from gooseberrypost.policy.placement import EnginePair
    from gooseberrypost.policy.views import AgentView, RequestView

MAX_PREFILL_TRIES: Final = 3
"""Prefill agents tried when each one refuses before it runs anything."""
DEFAULT_TRANSFER_TIMEOUT_MS: Final = 400
"""Timeout of a KV cache transfer when no link rate is booked, in ms."""
MIN_TRANSFER_TIMEOUT_MS: Final = 50
"""Shortest timeout of a KV cache transfer, in ms."""


@dataclass(slots=True)
class _PrefillResult:
    """KV cache that a prefill agent holds for the decode engine."""

    handle: str
    engine_address: str
    expires_at_ms: int
    """Clock time in milliseconds."""
    computed_tokens: int
    """Prompt tokens that were not cached."""


class ModelAttempt:
    """Runs one attempt; frees its reservations and results if it fails."""

    def __init__(
        self,
        ctx: EntryContext,
        state: RequestState,
        excluded: Collection[str] = (),
    ) -> None:
        self._ctx = ctx
        self._state = state
        self._placer = Placer(ctx, state, excluded)
        self._reserved_pair: ReservedPair | None = None
        self._prefill_agent: AgentView | None = None
        self._prefill_result: _PrefillResult | None = None
        self.stall = Stall()
        self.is_reusable = True
        """The attempt number can be used again, as no prefill was started."""

    @property
    def view(self) -> RequestView:
        """View of the request under the number of this attempt."""
        return self._state.view

    @property
    def decode_engine(self) -> str:
        """Name of the reserved decode engine; empty if there is none."""
        pair = self._reserved_pair
        return pair.pair.decode.name if pair is not None else ""

    async def run(self) -> Result[None, Failure]:
        """Run until the stream is complete, or return the failure."""
        prepared = await self.prepare()
        return prepared if isinstance(prepared, Err) else await self.decode()

    async def prepare(self) -> Result[None, Failure]:
        """Reserve a decode engine and run the prefill."""
        return await self._abandon_unless_ok(self._prepare())

    async def decode(self) -> Result[None, Failure]:
        """Stream the tokens of a prepared attempt until it ends."""
        try:
            return await self._abandon_unless_ok(self._decode())
        finally:
            self._discard_prefill_result()

    def abandon(self) -> None:
        """Free what agents hold for the attempt."""
        self._discard_prefill_result()
        # An agent refuses a cancelled attempt number, so another try
        # needs a new number.
        if self._placer.contacted or self._placer.is_stale:
            self.is_reusable = False
        self._cancel_contacted()

    async def _abandon_unless_ok(
        self, step: Coroutine[Any, Any, Result[None, Failure]]
    ) -> Result[None, Failure]:
        result: Result[None, Failure] | None = None
        try:
            result = await step
            return result
        finally:
            if not isinstance(result, Ok):
                self.abandon()

    async def _prepare(self) -> Result[None, Failure]:
        reserved = await self._placer.reserve()
        if isinstance(reserved, Err):
            return reserved
        reserved_pair = reserved.ok_value
        for _ in range(MAX_PREFILL_TRIES):
            async with self._placer.renewing(reserved_pair):
                prefilled = await self._prefill(reserved_pair.pair)
            if isinstance(prefilled, Ok):
                self._reserved_pair = reserved_pair
                return prefilled
            failure, prefill_agent = (
                prefilled.err_value,
                reserved_pair.pair.prefill,
            )
            if not isinstance(failure, NotRun):
                self._state.failed_engines.add(prefill_agent.name)
                return prefilled
            self._placer.excluded.add(prefill_agent.name)
            self._ctx.log_retry(self._state.live, failure, "next_prefill")
            pair = self._placer.alternative_prefill(reserved_pair.pair)
            if pair is None:
                break
            reserved_pair = replace(reserved_pair, pair=pair)
        await self._release_reservation(reserved_pair)
        return Err(
            NoCapacity(
                "no prefill engine has capacity",
                retry_after_ms=NO_CAPACITY_RETRY_MS,
            )
        )

    async def _prefill(self, pair: EnginePair) -> Result[None, Failure]:
        live, view = self._state.live, self._state.view
        live.stage = Stage.PREFILL
        remaining_ms = self._remaining_ms()
        message = idl.Prefill(
            key=view.key,
            attempt=view.attempt,
            service_name=view.service,
            model=view.model,
            prompt=self._state.completion.prompt,
            priority=view.priority,
            deadline_ms=remaining_ms,
            digest=self._state.digest,
            parts=list(self._state.parts),
            suspect=view.suspect,
            generated=self._state.stream.text or None,
        )
        self.is_reusable = False
        previous_may_have_run, live.may_have_run = live.may_have_run, True
        self._placer.contacted[pair.prefill.name] = pair.prefill
        reply = await self._ctx.agents.request(
            pair.prefill, message, remaining_ms
        )
        match reply:
            case Ok(prefilled):
                self._prefill_agent = pair.prefill
                self._ctx.fleet.prefix_hints.record_prefill(
                    pair.prefill.name, view.prefix_hashes
                )
                self._prefill_result = _PrefillResult(
                    prefilled.handle,
                    prefilled.engine_address,
                    self._ctx.now_ms() + prefilled.lives_ms,
                    prefilled.tokens - prefilled.cached_tokens,
                )
                self._ctx.metrics.count(
                    "prefill_tokens_total",
                    self._prefill_result.computed_tokens,
                    service=view.service,
                )
                return Ok(None)
            case Err(failure):
                if isinstance(failure, NotRun):
                    self.is_reusable = True
                    live.may_have_run = previous_may_have_run
                    self._placer.contacted.pop(pair.prefill.name, None)
                return Err(failure)

    async def _decode(self) -> Result[None, Failure]:
        """Decode, on fallback engines if ``_allows_fallback`` permits."""
        reserved_pair, result = self._reserved_pair, self._prefill_result
        assert reserved_pair is not None and result is not None
        live, stream = self._state.live, self._state.stream
        start_sequence = stream.next_sequence
        while True:
            live.stage = Stage.DECODE
            decoded = await self._decode_at(reserved_pair, result)
            if isinstance(decoded, Ok):
                return decoded
            failure = decoded.err_value
            if not isinstance(failure, HandleExpired):
                self._state.failed_engines.add(reserved_pair.pair.decode.name)
            if not self._allows_fallback(failure, result, start_sequence):
                return decoded
            self._cancel_decode(reserved_pair.pair.decode)
            self._ctx.log_retry(live, failure, "fallback_decode")
            reserved = await self._placer.reserve(reserved_pair.pair.prefill)
            if isinstance(reserved, Err):
                return Err(failure)
            self._reserved_pair = reserved_pair = reserved.ok_value

    def _allows_fallback(
        self, failure: Failure, result: _PrefillResult, start_sequence: int
    ) -> bool:
        """Return whether another engine may decode the same prefill result.

        It may if the attempt has streamed no token and the result has not
        expired. After a stalled transfer, this counts as a retry.
        """
        state, now_ms = self._state, self._ctx.now_ms()
        if (
            state.stream.next_sequence != start_sequence
            or now_ms >= result.expires_at_ms
        ):
            return False
        if isinstance(failure, NotRun):
            # Nothing was run, so another try adds no load and needs no retry
            # budget; without it the prefill would be wasted.
            return True
        if not isinstance(failure, TransferStalled):
            return False
        state.live.failure_count += 1
        allowed = state.retries.retry(
            state.live.failure_count,
            now_ms,
            state.live.deadline_ms,
            self._ctx.collaborators.rng,
        )
        return isinstance(allowed, Ok)

    async def _decode_at(
        self, reserved_pair: ReservedPair, result: _PrefillResult
    ) -> Result[None, Failure]:
        view, stream = self._state.view, self._state.stream
        timeout_ms = self._transfer_timeout_ms(reserved_pair, result)
        message = idl.Decode(
            key=view.key,
            attempt=view.attempt,
            reservation=reserved_pair.reserved.reservation,
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
            self._ctx,
            self._state,
            reserved_pair.pair.decode,
            self.stall,
            self._release_prefill_result,
        )
        # The agent's timeout starts at the booked start of the transfer.
        start_in_ms = reserved_pair.reserved.link_start_ms or 0
        return await reader.read(message, start_in_ms + timeout_ms)

    def _transfer_timeout_ms(
        self, reserved_pair: ReservedPair, result: _PrefillResult
    ) -> int:
        rate = reserved_pair.reserved.link_kb_per_s or 0
        timeout_ms = DEFAULT_TRANSFER_TIMEOUT_MS
        if rate > 0:
            kb = transfer_kb(self._state.view.prompt_tokens)
            timeout_ms = stall_timeout_ms(kb * 1_000 // rate)
        # Half of the time until expiry is left for a fallback engine.
        remaining_ms = result.expires_at_ms - self._ctx.now_ms()
        return max(MIN_TRANSFER_TIMEOUT_MS, min(timeout_ms, remaining_ms // 2))

    def _remaining_ms(self) -> int:
        return max(1, self._state.live.deadline_ms - self._ctx.now_ms())

    async def _release_reservation(self, reserved_pair: ReservedPair) -> None:
        view = self._state.view
        decode = reserved_pair.pair.decode
        self._placer.contacted.pop(decode.name, None)
        await self._ctx.agents.release_reservation(
            decode, reserved_pair.reserved.reservation, view.key, view.attempt
        )

    def _cancel_decode(self, decode: AgentView) -> None:
        view = self._state.view
        self._placer.excluded.add(decode.name)
        self._placer.contacted.pop(decode.name, None)
        self._ctx.agents.cancel(decode, view.key, view.attempt)

    def _discard_prefill_result(self) -> None:
        """Release an unused prefill result and count its tokens as wasted."""
        if self._prefill_result is not None:
            self._ctx.metrics.count(
                "prefill_tokens_wasted_total",
                self._prefill_result.computed_tokens,
                service=self._state.view.service,
            )
        self._release_prefill_result()

    def _release_prefill_result(self) -> None:
        result, self._prefill_result = self._prefill_result, None
        if result is not None and self._prefill_agent is not None:
            view = self._state.view
            self._placer.contacted.pop(self._prefill_agent.name, None)
            self._ctx.agents.release_prefill(
                self._prefill_agent, view.key, view.attempt, result.handle
            )

    def _cancel_contacted(self) -> None:
        view = self._state.view
        for agent in self._placer.contacted.values():
            self._ctx.agents.cancel(agent, view.key, view.attempt)
