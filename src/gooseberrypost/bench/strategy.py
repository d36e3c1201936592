"""Strategies compared by the bench: ours, the baselines and the bound."""

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
    """Takes the engines in turn, whatever their load."""

    def __init__(self) -> None:
        self._turn = 0

    def rank(
        self,
        req: RequestView,
        prefill: Sequence[AgentView],
        decode: Sequence[AgentView],
        now_ms: int,
        rng: random.Random,
    ) -> list[EnginePair]:
        """Return the next pair first."""
        self._turn += 1
        sources = _turned(eligible_agents(req, prefill), self._turn)
        targets = _turned(eligible_agents(req, decode), self._turn)
        return _pairs(req, sources, targets, now_ms)


class LeastLoaded(PlacementPolicy):
    """Takes the engines with the least reported load."""

    def rank(
        self,
        req: RequestView,
        prefill: Sequence[AgentView],
        decode: Sequence[AgentView],
        now_ms: int,
        rng: random.Random,
    ) -> list[EnginePair]:
        """Return the least loaded pair first; ties in random order."""
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
    """Takes the less loaded of two engines chosen at random."""

    def rank(
        self,
        req: RequestView,
        prefill: Sequence[AgentView],
        decode: Sequence[AgentView],
        now_ms: int,
        rng: random.Random,
    ) -> list[EnginePair]:
        """Return the better of two random choices first."""
        sources = _two_first(
            eligible_agents(req, prefill), lambda a: a.queue_tokens, rng
        )
        targets = _two_first(
            eligible_agents(req, decode), lambda a: a.slots_used, rng
        )
        return _pairs(req, sources, targets, now_ms)


def _turned(agents: list[AgentView], turn: int) -> list[AgentView]:
    if not agents:
        return []
    start = turn % len(agents)
    return agents[start:] + agents[:start]


def _two_first(agents, load, rng: random.Random) -> list[AgentView]:
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
    """What an entry does under one of the compared policies."""

    name: str
    placement: type[PlacementPolicy]
    admits: bool = True
    """Whether admission, aging and fair share are applied."""
    reserves: bool = True
    """Whether decode is reserved before prefill."""
    guards: bool = True
    """Whether links are booked, stalls detected and retries budgeted."""
    omniscient: bool = False
    """Whether every entry sees all engines, faults and caches without lag."""


OURS: Final = "reserving"
BOUND: Final = "omniscient"

STRATEGIES: Final = {
    strategy.name: strategy
    for strategy in (
        Strategy("round_robin", RoundRobin, False, False, False),
        Strategy("least_loaded", LeastLoaded, False, False, False),
        Strategy("two_choices", TwoChoices, False, False, False),
        Strategy("no_reservation", LowestCostPlacement, reserves=False),
        Strategy(OURS, LowestCostPlacement),
        Strategy(BOUND, LowestCostPlacement, omniscient=True),
    )
}
