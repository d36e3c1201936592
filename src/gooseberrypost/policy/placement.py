"""Placement: the prefill and decode engines that serve a request."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Final, NamedTuple

from gooseberrypost.policy.admission import usable
from gooseberrypost.policy.forecast import (
    Forecast,
    excess_ms,
    forecast,
    has_room,
    prefill_ms,
    transfer_ms,
)
from gooseberrypost.policy.views import AgentView, RequestView

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

MAX_PAIRS: Final = 4
BEST_PREFILL: Final = 4
BEST_DECODE: Final = 6
"""Engines of each pool that are compared as pairs."""
MAX_STALE_MS: Final = 2_000
"""Age of a load report beyond which it spreads choices no further."""
SPREAD_PER_STALE_MS: Final = 0.1
"""Random spread of the predicted times for each ms of a report's age."""
SLOW_COST_MS: Final = 20
"""Cost of each ms by which an engine's token gap exceeds the target, so that
a slow engine is used only when the others are full."""
OCCUPANCY_COST_MS: Final = 60
"""Cost of a full decode engine against an empty one."""


class Pair(NamedTuple):
    """A candidate pair with what is predicted for it."""

    prefill: AgentView
    decode: AgentView
    first_token_at_ms: int
    complete_at_ms: int
    transfer_start_ms: int
    """Clock time at which the KV cache transfer is booked to start."""
    reason: str
    """Short machine-readable reason, for the decision log line."""


class PlacementPolicy(ABC):
    """Ranks pairs of engines for a request."""

    @abstractmethod
    def rank(
        self,
        req: RequestView,
        prefill: Sequence[AgentView],
        decode: Sequence[AgentView],
        now_ms: int,
        rng: random.Random,
    ) -> list[Pair]:
        """Return pairs, best first; empty when no candidate can serve."""


class ReservingPlacement(PlacementPolicy):
    """Ranks by predicted first token and decode occupancy.

    Each predicted time gets a random addition that grows with the age of the
    report behind it, so that entries with the same stale view do not all
    choose the same engine.
    """

    def rank(
        self,
        req: RequestView,
        prefill: Sequence[AgentView],
        decode: Sequence[AgentView],
        now_ms: int,
        rng: random.Random,
    ) -> list[Pair]:
        """Return at most ``MAX_PAIRS`` pairs with distinct decode engines.

        Pairs that are predicted to miss a target are left out.
        """
        targets = [a for a in usable(req, decode) if has_room(req, a)]
        sources = [
            (_spread_ms(a, now_ms, rng), a) for a in usable(req, prefill)
        ]
        sources.sort(key=lambda item: item[0] + prefill_ms(req, item[1]))
        if not sources:
            return []
        earliest_ms = now_ms + prefill_ms(req, sources[0][1])
        candidates = [
            (
                _spread_ms(a, now_ms, rng) + _decode_cost_ms(req, a),
                max(0, a.link_free_ms - earliest_ms)
                + transfer_ms(req.prompt_tokens, a.link_kb_per_s, True),
                a,
            )
            for a in targets
        ]
        candidates.sort(key=lambda item: item[0] + item[1])
        ranked = []
        for extra, _, target in candidates[:BEST_DECODE]:
            best = _best_source(req, sources[:BEST_PREFILL], target, now_ms)
            if best is not None:
                ranked.append((best[0] + extra, best[1]))
        ranked.sort(key=lambda item: item[0])
        return [pair for _, pair in ranked[:MAX_PAIRS]]


def _decode_cost_ms(req: RequestView, target: AgentView) -> float:
    """Cost of a decode engine's occupancy and speed."""
    occupancy = target.slots_used / max(1, target.slots)
    slow = max(0.0, target.token_gap_ms - req.token_gap_ms)
    return OCCUPANCY_COST_MS * occupancy + SLOW_COST_MS * slow


def _best_source(
    req: RequestView,
    sources: Sequence[tuple[float, AgentView]],
    target: AgentView,
    now_ms: int,
) -> tuple[float, Pair] | None:
    """Cheapest pair with a target that meets the request's targets."""
    best: tuple[float, AgentView, Forecast] | None = None
    for spread, source in sources:
        predicted = forecast(req, source, target, now_ms)
        cost = predicted.first_token_ms + spread
        if excess_ms(req, predicted) == 0 and (best is None or cost < best[0]):
            best = (cost, source, predicted)
    if best is None:
        return None
    cost, source, predicted = best
    return cost, _pair(source, target, predicted)


def _pair(source: AgentView, target: AgentView, predicted: Forecast) -> Pair:
    where = "same_zone" if source.zone == target.zone else "cross_zone"
    cached = "cached" if source.cached_tokens else "uncached"
    return Pair(
        source,
        target,
        predicted.first_token_ms,
        predicted.complete_ms,
        predicted.transfer_start_ms,
        f"{where},{cached}",
    )


def _spread_ms(agent: AgentView, now_ms: int, rng: random.Random) -> float:
    age = min(MAX_STALE_MS, max(0, now_ms - agent.observed_ms))
    return rng.random() * age * SPREAD_PER_STALE_MS
