"""Placement of an attempt: ranks engine pairs and reserves capacity."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any, Final

from result import Err, Ok, Result

from gooseberrypost.entry.sections import Stage
from gooseberrypost.errors import Failure, NoCapacity, NotRun, StaleAttempt
from gooseberrypost.logs import RoutingDecision
from gooseberrypost.policy.aging import effective_priority
from gooseberrypost.policy.forecast import (
    pieces_needed,
    prefill_ms,
    transfer_kb,
)
from gooseberrypost.state.records import EngineRole
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Collection

    from gooseberrypost.entry.answer import CompletionAnswer
    from gooseberrypost.entry.collaborators import RetryBudget
    from gooseberrypost.entry.context import EntryContext
    from gooseberrypost.entry.parse import CompletionRequest
    from gooseberrypost.entry.sections import LiveRequest
    from gooseberrypost.policy.placement import EnginePair
    from gooseberrypost.policy.views import AgentView, RequestView
    from gooseberrypost.state.streams import TokenStream

MAX_RESERVE_TRIES: Final = 6
"""Decode engines tried for a reservation in one placement."""
RESERVE_TIMEOUT_MS: Final = 1_000
RESERVATION_MARGIN_MS: Final = 2_000
"""Time after its last renewal that an entry's reservation is held, in ms."""
RENEWAL_INTERVAL_S: Final = 0.5
"""Interval between renewals of a reservation during the prefill."""
NO_CAPACITY_RETRY_MS: Final = 500
"""Delay advised to the caller when an engine gives none, in ms."""
NO_DEADLINE_MS: Final = 1 << 62
"""Time limit that no prediction exceeds, in ms."""


@dataclass(slots=True)
class RequestState:
    """State that all attempts at one model request share."""

    live: LiveRequest
    view: RequestView
    completion: CompletionRequest
    digest: bytes
    stream: TokenStream
    answer: CompletionAnswer
    retries: RetryBudget
    failed_engines: set[str]
    """Names of engines on which earlier attempts failed."""
    parts: tuple[bytes, ...] = ()
    """Digests of the parts of the prompt that others may share."""


@dataclass(slots=True)
class ReservedPair:
    """An engine pair and the reservation at its decode engine."""

    pair: EnginePair
    reserved: Any
    """``Reserved`` message of the decode agent."""


class Placer:
    """Chooses the engines of one attempt and reserves at the decode engine."""

    def __init__(
        self,
        ctx: EntryContext,
        state: RequestState,
        excluded: Collection[str] = (),
    ) -> None:
        self._ctx = ctx
        self._state = state
        self.excluded = set(excluded)
        """Names of engines that this attempt does not try again."""
        self.contacted: dict[str, AgentView] = {}
        """Agents by name that may hold resources for this attempt."""
        self.is_stale = False
        """An agent has refused the attempt as revoked or superseded."""

    async def reserve(
        self, prefill_agent: AgentView | None = None
    ) -> Result[ReservedPair, Failure]:
        """Reserve at the best decode engine; try the next if it refuses.

        ``prefill_agent`` is given when it holds a prefill result already.
        """
        live = self._state.live
        live.stage = Stage.RESERVE
        last_failure: Failure = NoCapacity(
            "no engine can serve the request",
            retry_after_ms=NO_CAPACITY_RETRY_MS,
        )
        for _ in range(MAX_RESERVE_TRIES):
            pairs = self._rank_pairs(prefill_agent)
            if not pairs:
                return Err(last_failure)
            pair = pairs[0]
            self._log_routing(pair)
            self.contacted[pair.decode.name] = pair.decode
            reply = await self._ctx.agents.request(
                pair.decode, self._reserve_message(pair), RESERVE_TIMEOUT_MS
            )
            match reply:
                case Ok(reserved) if isinstance(reserved, idl.Reserved):
                    return Ok(ReservedPair(pair, reserved))
                case Err(failure):
                    if isinstance(failure, NotRun):
                        self.contacted.pop(pair.decode.name, None)
                    self.is_stale |= isinstance(failure, StaleAttempt)
                    last_failure = NoCapacity(
                        f"{pair.decode.name}: {failure}",
                        retry_after_ms=failure.retry_after_ms
                        or NO_CAPACITY_RETRY_MS,
                    )
                    self._ctx.log_retry(live, failure, "next_decode")
            self.excluded.add(pair.decode.name)
        return Err(last_failure)

    @asynccontextmanager
    async def renewing(
        self, reserved_pair: ReservedPair
    ) -> AsyncIterator[None]:
        """Renew a reservation for the duration of the context.

        A prefill may take longer than expected, and its result is worth
        nothing without a place to decode it.
        """
        renewing = asyncio.create_task(self._renew(reserved_pair))
        try:
            yield
        finally:
            renewing.cancel()

    async def _renew(self, reserved_pair: ReservedPair) -> None:
        pair = reserved_pair.pair
        while True:
            await asyncio.sleep(RENEWAL_INTERVAL_S)
            reply = await self._ctx.agents.request(
                pair.decode, self._reserve_message(pair), RESERVE_TIMEOUT_MS
            )
            if isinstance(reply, Ok) and isinstance(
                reply.ok_value, idl.Reserved
            ):
                reserved_pair.reserved = reply.ok_value

    def alternative_prefill(self, pair: EnginePair) -> EnginePair | None:
        """Return the pair with another prefill engine, if one is available.

        The pair keeps its reservation at the decode engine. Releasing it and
        reserving again is not safe: the decode agent gives all requests of
        one attempt the same reservation, so a late release of the first would
        also end the second.
        """
        prefill_agents = [
            view
            for view in self._candidates(EngineRole.PREFILL)
            if not view.draining
        ]
        if not prefill_agents:
            return None
        fastest = min(
            prefill_agents, key=lambda v: prefill_ms(self._state.view, v)
        )
        alternative = pair._replace(prefill=fastest, reason="other_source")
        self._log_routing(alternative)
        return alternative

    def _rank_pairs(self, prefill_agent: AgentView | None) -> list[EnginePair]:
        state = self._state
        prefill = self._candidates(EngineRole.PREFILL)
        if prefill_agent is not None:
            prefill = [prefill_agent]
        return self._ctx.collaborators.placement.rank(
            _without_deadlines(state.view)
            if state.live.may_have_run
            else state.view,
            prefill,
            self._candidates(EngineRole.DECODE),
            self._ctx.now_ms(),
            self._ctx.collaborators.rng,
        )

    def _candidates(self, role: str) -> list[AgentView]:
        state = self._state
        if state.view.suspect:
            candidates = self._ctx.fleet.isolation_candidates(
                state.live.service,
                role,
                state.view.model,
                state.digest,
                state.failed_engines,
            )
            return [v for v in candidates if v.name not in self.excluded]
        remaining = self._ctx.fleet.candidates(
            state.live.service, role, state.view.model, self.excluded
        )
        preferred = [
            v for v in remaining if v.name not in state.failed_engines
        ]
        chosen = preferred or remaining
        if role == EngineRole.PREFILL:
            return self._ctx.fleet.with_cached_tokens(
                chosen, state.view.prefix_hashes
            )
        return chosen

    def _reserve_message(self, pair: EnginePair) -> Any:
        view = self._state.view
        start_in_ms = max(0, pair.transfer_start_ms - self._ctx.now_ms())
        return idl.Reserve(
            key=view.key,
            attempt=view.attempt,
            service_name=view.service,
            model=view.model,
            pieces=pieces_needed(view.prompt_tokens, view.max_output_tokens),
            ttl_ms=start_in_ms + RESERVATION_MARGIN_MS,
            expected_start_ms=start_in_ms,
            priority=int(effective_priority(view, self._ctx.now_ms())),
            suspect=view.suspect,
            digest=self._state.digest,
            parts=list(self._state.parts),
            transfer_kb=transfer_kb(view.prompt_tokens),
        )

    def _log_routing(self, pair: EnginePair) -> None:
        view = self._state.view
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


def _without_deadlines(view: RequestView) -> RequestView:
    """Return the view of a started request without its time limits.

    Placement skips engines that are predicted to miss a target, but a started
    request is better answered late than not at all. Its deadline still applies
    outside of placement.
    """
    return replace(
        view, first_token_ms=NO_DEADLINE_MS, answer_deadline_ms=NO_DEADLINE_MS
    )
