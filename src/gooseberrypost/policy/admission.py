"""Admission control: refuses requests that would miss their targets.

The decision is made before prefill, so that no prefill is wasted on
a request that is refused.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Final, NamedTuple

from result import Err, Ok, Result

from gooseberrypost.errors import NoCapacity, NotRun, TargetUnreachable
from gooseberrypost.policy.aging import headroom_slots
from gooseberrypost.policy.forecast import (
    Forecast,
    fits_now,
    fits_when_empty,
    forecast,
    prefill_ms,
    target_overrun_ms,
    transfer_ms,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from gooseberrypost.policy.views import AgentView, RequestView

MIN_RETRY_MS: Final = 20
"""Shortest retry delay advised to a caller, in ms."""
MAX_RETRY_MS: Final = 5_000
"""Longest retry delay advised to a caller, in ms."""
PREFILL_CANDIDATES: Final = 3
"""Number of the fastest prefill engines that are considered for a pair."""
DECODE_CANDIDATES: Final = 4
"""Number of the fastest decode engines that are considered for a pair."""


class Prediction(NamedTuple):
    """Predicted clock times of a request, in ms."""

    first_token_at_ms: int
    complete_at_ms: int


class AdmissionPolicy(ABC):
    """Decides whether to start a request."""

    @abstractmethod
    def decide(
        self,
        req: RequestView,
        prefill: Sequence[AgentView],
        decode: Sequence[AgentView],
        now_ms: int,
    ) -> Result[Prediction, NotRun]:
        """Predict the request on the candidate engines, or refuse it.

        A refusal is a ``TargetUnreachable`` or ``NoCapacity`` that advises
        when to retry.
        """


class DeadlineAdmission(AdmissionPolicy):
    """Admits a request if the best pair of engines can meet its targets.

    ``NoCapacity`` means that no decode engine has capacity now; the entry may
    queue the request and retry after ``retry_after_ms``.
    ``TargetUnreachable`` means that queueing at this entry does not help.
    """

    def decide(
        self,
        req: RequestView,
        prefill: Sequence[AgentView],
        decode: Sequence[AgentView],
        now_ms: int,
    ) -> Result[Prediction, NotRun]:
        """Predict the request on its best pair of engines, or refuse it."""
        prefill_agents = eligible_agents(req, prefill)
        decode_agents = [
            a for a in eligible_agents(req, decode) if fits_when_empty(req, a)
        ]
        if not prefill_agents or not decode_agents:
            return Err(
                NoCapacity(
                    f"service {req.service!r} has no live prefill and decode"
                    f" engines for model {req.model!r}",
                    retry_after_ms=MAX_RETRY_MS,
                )
            )
        available_agents = [a for a in decode_agents if fits_now(req, a)]
        if available_agents and _leaves_headroom(req, decode_agents, now_ms):
            return self._check_targets(
                req, prefill_agents, available_agents, now_ms
            )
        wait_ms = estimated_slot_wait_ms(req, decode_agents)
        checked = self._check_targets(
            req, prefill_agents, decode_agents, now_ms + wait_ms
        )
        if isinstance(checked, Err):
            return checked
        return Err(
            NoCapacity(
                f"no free capacity on {len(decode_agents)} decode engines",
                retry_after_ms=wait_ms,
            )
        )

    def _check_targets(
        self,
        req: RequestView,
        prefill_agents: Sequence[AgentView],
        decode_agents: Sequence[AgentView],
        now_ms: int,
    ) -> Result[Prediction, NotRun]:
        best = best_forecast(req, prefill_agents, decode_agents, now_ms)
        overrun_ms = target_overrun_ms(req, best)
        if overrun_ms > 0:
            return Err(
                TargetUnreachable(
                    f"predicted to miss its latency target by {overrun_ms} ms",
                    retry_after_ms=_clamp_retry_ms(overrun_ms),
                )
            )
        return Ok(Prediction(best.first_token_ms, best.complete_ms))


def _leaves_headroom(
    req: RequestView, decode_agents: Sequence[AgentView], now_ms: int
) -> bool:
    """Whether enough slots stay free for requests of higher priority."""
    total = sum(agent.slots for agent in decode_agents)
    free = sum(max(0, a.slots - a.slots_used) for a in decode_agents)
    return free > headroom_slots(req, total, now_ms)


def eligible_agents(
    req: RequestView, agents: Sequence[AgentView]
) -> list[AgentView]:
    """Return the agents that may take the request.

    These are not draining and serve the request's model. A suspect request is
    not placed on an engine that already runs a suspect.
    """
    return [
        agent
        for agent in agents
        if not agent.draining
        and agent.model == req.model
        and not (req.suspect and agent.suspects)
    ]


def best_forecast(
    req: RequestView,
    prefill_agents: Sequence[AgentView],
    decode_agents: Sequence[AgentView],
    now_ms: int,
) -> Forecast:
    """Forecast the request on the best pair of the fastest engines.

    The best pair overruns the targets least; among equals it has the earliest
    first token.
    """
    prefill_candidates = sorted(
        prefill_agents, key=lambda a: prefill_ms(req, a)
    )[:PREFILL_CANDIDATES]
    earliest_ms = now_ms + prefill_ms(req, prefill_candidates[0])
    decode_candidates = sorted(
        decode_agents,
        key=lambda a: _first_token_estimate_ms(req, a, earliest_ms),
    )[:DECODE_CANDIDATES]
    return min(
        (
            forecast(req, p, d, now_ms)
            for p in prefill_candidates
            for d in decode_candidates
        ),
        key=lambda f: (target_overrun_ms(req, f), f.first_token_ms),
    )


def _first_token_estimate_ms(
    req: RequestView, agent: AgentView, earliest_ms: int
) -> float:
    """Estimate the first token's time on a decode engine, for ranking.

    ``earliest_ms`` is when the prefill result is available. The engines are
    assumed to be in the same zone.
    """
    start_ms = max(earliest_ms, agent.link_free_ms)
    duration_ms = transfer_ms(req.prompt_tokens, agent.link_kb_per_s, True)
    return start_ms + duration_ms + agent.token_gap_ms


def estimated_slot_wait_ms(
    req: RequestView, decode_agents: Sequence[AgentView]
) -> int:
    """Estimate the wait until one of the full engines frees a slot, in ms.

    Requests in progress are assumed to have the service's mean output length
    and to be spread evenly over their durations.
    """
    tokens = req.expected_output_tokens or req.max_output_tokens
    ends_per_ms = sum(
        agent.slots_used / max(1.0, agent.token_gap_ms * tokens)
        for agent in decode_agents
    )
    return _clamp_retry_ms(
        int(1 / ends_per_ms) if ends_per_ms else MAX_RETRY_MS
    )


def _clamp_retry_ms(wait_ms: int) -> int:
    return min(MAX_RETRY_MS, max(MIN_RETRY_MS, wait_ms))
