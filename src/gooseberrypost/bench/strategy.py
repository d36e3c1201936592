"""Routing policies compared by the benchmark.

The production policy is compared with baselines and with an omniscient
variant that serves as the upper bound.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from gooseberrypost.policy.admission import eligible_agents
from gooseberrypost.policy.forecast import forecast
from gooseberrypost.policy.placement import (
    MAX_PAIRS,
    EnginePair,
    LowestCostPlacement,
    PlacementPolicy,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from gooseberrypost.policy.views import AgentView, RequestView


class RoundRobin(PlacementPolicy):
    """Round robin over the eligible engines, regardless of load."""

    def __init__(self) -> None:
        self._calls = 0

    def rank(
        self,
        req: RequestView,
        prefill: Sequence[AgentView],
        decode: Sequence[AgentView],
        now_ms: int,
        rng: random.Random,
    ) -> list[EnginePair]:
        """Return pairs starting from the next engines in rotation."""
        self._calls += 1
        sources = _rotated(eligible_agents(req, prefill), self._calls)
        targets = _rotated(eligible_agents(req, decode), self._calls)
        return _pairs(req, sources, targets, now_ms)


class LeastLoaded(PlacementPolicy):
    """Picks the engines with the least reported load."""

    def rank(
        self,
        req: RequestView,
        prefill: Sequence[AgentView],
        decode: Sequence[AgentView],
        now_ms: int,
        rng: random.Random,
    ) -> list[EnginePair]:
        """Return the least loaded pair first, with ties broken at random."""
        sources = sorted(
            eligible_agents(req, prefill),
            key=lambda a: (a.queue_tokens, rng.random()),
        )
        targets = sorted(
            eligible_agents(req, decode),
            key=lambda a: (a.slots_used, rng.random()),
        )
        return _pairs(req, sources, targets, now_ms)


class TwoChoices(PlacementPolicy):
    """Power of two choices: the less loaded of two random engines."""

    def rank(
        self,
        req: RequestView,
        prefill: Sequence[AgentView],
        decode: Sequence[AgentView],
        now_ms: int,
        rng: random.Random,
    ) -> list[EnginePair]:
        """Return the less loaded of two random engines of each pool first."""
        sources = _two_choices_first(
            eligible_agents(req, prefill), lambda a: a.queue_tokens, rng
        )
        targets = _two_choices_first(
            eligible_agents(req, decode), lambda a: a.slots_used, rng
        )
        return _pairs(req, sources, targets, now_ms)


def _rotated(agents: list[AgentView], turn: int) -> list[AgentView]:
    if not agents:
        return []
    start = turn % len(agents)
    return agents[start:] + agents[:start]


def _two_choices_first(agents, load, rng: random.Random) -> list[AgentView]:
    shuffled = rng.sample(agents, len(agents))
    return sorted(shuffled[:2], key=load) + shuffled[2:]


def _pairs(
    req: RequestView,
    sources: Sequence[AgentView],
    targets: Sequence[AgentView],
    now_ms: int,
) -> list[EnginePair]:
    if not sources:
        return []
    pairs = []
    for target in targets[:MAX_PAIRS]:
        predicted = forecast(req, sources[0], target, now_ms)
        pairs.append(
            EnginePair(
                sources[0],
                target,
                predicted.first_token_ms,
                predicted.complete_ms,
                predicted.transfer_start_ms,
                "baseline",
            )
        )
    return pairs


@dataclass(slots=True, frozen=True)
class Strategy:
    """Set of mechanisms that an entry uses under one compared policy."""

    name: str
    placement: type[PlacementPolicy]
    admits: bool = True
    """Whether admission control, priority aging and fair share are applied."""
    reserves: bool = True
    """Whether a decode slot is reserved before prefill starts."""
    safeguards: bool = True
    """Whether links are booked, stalls detected and retries budgeted."""
    omniscient: bool = False
    """Whether entries see the exact state of all engines without lag."""


PRODUCTION_POLICY: Final = "reserving"
"""Policy of the router, to which the targets apply."""
UPPER_BOUND_POLICY: Final = "omniscient"
"""Production policy with exact knowledge, as the bound on goodput."""

STRATEGIES: Final = {
    strategy.name: strategy
    for strategy in (
        Strategy("round_robin", RoundRobin, False, False, False),
        Strategy("least_loaded", LeastLoaded, False, False, False),
        Strategy("two_choices", TwoChoices, False, False, False),
        Strategy("no_reservation", LowestCostPlacement, reserves=False),
        Strategy(PRODUCTION_POLICY, LowestCostPlacement),
        Strategy(UPPER_BOUND_POLICY, LowestCostPlacement, omniscient=True),
    )
}
