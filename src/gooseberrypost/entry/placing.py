"""Placement of an attempt: reserves a decode engine of the best pair."""

from __future__ import annotations

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
    from gooseberrypost.entry.answer import CompletionAnswer
    from gooseberrypost.entry.collaborators import RetryBudget
    from gooseberrypost.entry.context import EntryContext
    from gooseberrypost.entry.parse import Completion
    from gooseberrypost.entry.sections import LiveRequest
    from gooseberrypost.policy.placement import Pair
    from gooseberrypost.policy.views import AgentView, RequestView
    from gooseberrypost.state.streams import TokenStream

RESERVE_TRIES: Final = 6
RESERVE_TIMEOUT_MS: Final = 1_000
RESERVATION_MARGIN_MS: Final = 2_000
"""Time for a late prefill before its reservation lapses."""
NO_CAPACITY_RETRY_MS: Final = 500
NEVER_MS: Final = 1 << 62


@dataclass(slots=True)
class ModelWork:
    """What all attempts at one model request share."""

    live: LiveRequest
    view: RequestView
    completion: Completion
    digest: bytes
    stream: TokenStream
    answer: CompletionAnswer
    retries: RetryBudget
    avoided: set[str]
    """Engines that failed earlier attempts."""


@dataclass(slots=True)
class Placed:
    """A pair and the reservation at its decode engine."""

    pair: Pair
    reserved: Any


class Placer:
    """Places one attempt; ``touched`` are the agents that may hold for it."""

    def __init__(self, ctx: EntryContext, work: ModelWork) -> None:
        self._ctx = ctx
        self._work = work
        self.refused: set[str] = set()
        """Engines that this attempt does not try again."""
        self.touched: dict[str, AgentView] = {}
        self.is_barred = False
        """An agent has seen this attempt revoked or a higher one."""

    async def reserve(
        self, source: AgentView | None = None
    ) -> Result[Placed, Failure]:
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
            self.touched[pair.decode.name] = pair.decode
            reply = await self._ctx.agents.request(
                pair.decode, self._reserve_message(pair), RESERVE_TIMEOUT_MS
            )
            match reply:
                case Ok(reserved) if isinstance(reserved, idl.Reserved):
                    return Ok(Placed(pair, reserved))
                case Err(failure):
                    if isinstance(failure, NotRun):
                        self.touched.pop(pair.decode.name, None)
                    self.is_barred |= isinstance(failure, StaleAttempt)
                    last = NoCapacity(
                        f"{pair.decode.name}: {failure}",
                        retry_after_ms=failure.retry_after_ms
                        or NO_CAPACITY_RETRY_MS,
                    )
                    self._ctx.log_retry(live, failure, "next_decode")
            self.refused.add(pair.decode.name)
        return Err(last)

    def other_source(self, pair: Pair) -> Pair | None:
        """Return the pair with another prefill engine, if there is one.

        The reservation stays: the agent grants a repeated ask only once, so
        a late release of the first would end the second.
        """
        sources = [
            view
            for view in self._candidates(EngineRole.PREFILL)
            if not view.draining
        ]
        if not sources:
            return None
        best = min(sources, key=lambda v: prefill_ms(self._work.view, v))
        other = pair._replace(prefill=best, reason="other_source")
        self._log_routing(other)
        return other

    def _rank(self, source: AgentView | None) -> list[Pair]:
        work = self._work
        prefill = self._candidates(EngineRole.PREFILL)
        if source is not None:
            prefill = [source]
        return self._ctx.parts.placement.rank(
            _without_targets(work.view) if work.live.sent else work.view,
            prefill,
            self._candidates(EngineRole.DECODE),
            self._ctx.now_ms(),
            self._ctx.parts.rng,
        )

    def _candidates(self, role: str) -> list[AgentView]:
        work = self._work
        if work.view.suspect:
            isolated = self._ctx.fleet.isolated(
                work.live.service,
                role,
                work.view.model,
                work.digest,
                work.avoided,
            )
            return [v for v in isolated if v.name not in self.refused]
        views = self._ctx.fleet.candidates(
            work.live.service, role, work.view.model
        )
        fresh = [v for v in views if v.name not in self.refused]
        preferred = [v for v in fresh if v.name not in work.avoided]
        chosen = preferred or fresh
        if role == EngineRole.PREFILL:
            return self._ctx.fleet.hinted(chosen, work.view.prefix_hashes)
        return chosen

    def _reserve_message(self, pair: Pair) -> Any:
        view = self._work.view
        starts_in = max(0, pair.transfer_start_ms - self._ctx.now_ms())
        return idl.Reserve(
            key=view.key,
            attempt=view.attempt,
            service_name=view.service,
            model=view.model,
            pieces=pieces_needed(view.prompt_tokens, view.max_output_tokens),
            ttl_ms=starts_in + RESERVATION_MARGIN_MS,
            expected_start_ms=starts_in,
            priority=int(effective_priority(view, self._ctx.now_ms())),
            suspect=view.suspect,
            digest=self._work.digest,
            transfer_kb=transfer_kb(view.prompt_tokens),
        )

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


def _without_targets(view: RequestView) -> RequestView:
    """View of a request that was begun, which late is better than never.

    Placement leaves out what is predicted to miss a target; the deadline
    still ends the request.
    """
    return replace(view, first_token_ms=NEVER_MS, answer_deadline_ms=NEVER_MS)
