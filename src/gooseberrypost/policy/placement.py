"""Placement: chooses the prefill and decode engines of a request."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Final, NamedTuple

from gooseberrypost.policy.admission import eligible_agents
from gooseberrypost.policy.forecast import (
    Forecast,
    fits_now,
    forecast,
    prefill_ms,
    target_overrun_ms,
    transfer_ms,
)
from gooseberrypost.policy.views import AgentView, RequestView

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

MAX_PAIRS: Final = 4
"""Longest list of pairs that ``rank`` returns."""
PREFILL_CANDIDATES: Final = 4
"""Number of the fastest prefill engines that are considered for a pair."""
DECODE_CANDIDATES: Final = 6
"""Number of the cheapest decode engines that are considered for a pair."""
MAX_STALENESS_MS: Final = 2_000
"""Age of a load report beyond which the jitter grows no further, in ms."""
JITTER_PER_STALENESS_MS: Final = 0.1
"""Largest random addition to a time, in ms per ms of the report's age."""
TOKEN_GAP_COST_MS: Final = 20
"""Cost of each ms by which an engine's token gap exceeds the target, in ms.

A slow engine is thus used only when the other engines are full.
"""
OCCUPANCY_COST_MS: Final = 60
"""Cost of a full decode engine compared with an empty one, in ms."""


class EnginePair(NamedTuple):
    """A prefill and a decode engine with the times predicted for a request."""

    prefill: AgentView
    decode: AgentView
    first_token_at_ms: int
    complete_at_ms: int
    transfer_start_ms: int
    """Clock time at which the KV cache transfer is booked to start."""
    reason: str
    """Short machine-readable reason for the decision log."""


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
    ) -> list[EnginePair]:
        """Return pairs, best first; empty if no candidate can serve."""


class LowestCostPlacement(PlacementPolicy):
    """Ranks pairs by first-token time, decode occupancy and decode speed.

    Each predicted time gets a random addition that grows with the age of the
    load report behind it, so that entries with the same stale view do not all
    choose the same engine.
    """

    def rank(
        self,
        req: RequestView,
        prefill: Sequence[AgentView],
        decode: Sequence[AgentView],
        now_ms: int,
        rng: random.Random,
    ) -> list[EnginePair]:
        """Return at most ``MAX_PAIRS`` pairs with distinct decode engines.

        Pairs that are predicted to miss one of the request's targets are left
        out.
        """
        decode_agents = [
            a for a in eligible_agents(req, decode) if fits_now(req, a)
        ]
        prefill_agents = [
            (_jitter_ms(a, now_ms, rng), a)
            for a in eligible_agents(req, prefill)
        ]
        prefill_agents.sort(
            key=lambda item: item[0] + prefill_ms(req, item[1])
        )
        if not prefill_agents:
            return []
        earliest_ms = now_ms + prefill_ms(req, prefill_agents[0][1])
        candidates = [
            (
                _jitter_ms(a, now_ms, rng) + _decode_cost_ms(req, a),
                max(0, a.link_free_ms - earliest_ms)
                + transfer_ms(req.prompt_tokens, a.link_kb_per_s, True),
                a,
            )
            for a in decode_agents
        ]
        candidates.sort(key=lambda item: item[0] + item[1])
        ranked = []
        for penalty_ms, _, decode_agent in candidates[:DECODE_CANDIDATES]:
            best = _best_pair(
                req, prefill_agents[:PREFILL_CANDIDATES], decode_agent, now_ms
            )
            if best is not None:
                ranked.append((best[0] + penalty_ms, best[1]))
        ranked.sort(key=lambda item: item[0])
        return [pair for _, pair in ranked[:MAX_PAIRS]]


def _decode_cost_ms(req: RequestView, decode: AgentView) -> float:
    """Return the cost of a decode engine's occupancy and speed, in ms."""
    occupancy = decode.slots_used / max(1, decode.slots)
    excess_gap_ms = max(0.0, decode.token_gap_ms - req.token_gap_ms)
    return OCCUPANCY_COST_MS * occupancy + TOKEN_GAP_COST_MS * excess_gap_ms


def _best_pair(
    req: RequestView,
    prefill_agents: Sequence[tuple[float, AgentView]],
    decode: AgentView,
    now_ms: int,
) -> tuple[float, EnginePair] | None:
    """Return the cheapest pair with a decode engine, and its cost in ms.

    ``None`` if no pair meets the targets of the request. Each prefill agent
    comes with its jitter.
    """
    best: tuple[float, AgentView, Forecast] | None = None
    for jitter_ms, prefill in prefill_agents:
        predicted = forecast(req, prefill, decode, now_ms)
        cost = predicted.first_token_ms + jitter_ms
        if target_overrun_ms(req, predicted) == 0 and (
            best is None or cost < best[0]
        ):
            best = (cost, prefill, predicted)
    if best is None:
        return None
    cost, prefill, predicted = best
    return cost, _pair(prefill, decode, predicted)


def _pair(
    prefill: AgentView, decode: AgentView, predicted: Forecast
) -> EnginePair:
    zones = "same_zone" if prefill.zone == decode.zone else "cross_zone"
    cached = "cached" if prefill.cached_tokens else "uncached"
    return EnginePair(
        prefill,
        decode,
        predicted.first_token_ms,
        predicted.complete_ms,
        predicted.transfer_start_ms,
        f"{zones},{cached}",
    )


def _jitter_ms(agent: AgentView, now_ms: int, rng: random.Random) -> float:
    age = min(MAX_STALENESS_MS, max(0, now_ms - agent.observed_ms))
    return rng.random() * age * JITTER_PER_STALENESS_MS
