"""Admission: refuse before any prefill what cannot meet its targets."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Final, NamedTuple

from result import Err, Ok, Result

from gooseberrypost.errors import NoCapacity, NotRun, TargetUnreachable
from gooseberrypost.policy.aging import headroom_slots
from gooseberrypost.policy.forecast import (
    Forecast,
    can_ever_hold,
    excess_ms,
    forecast,
    has_room,
    prefill_ms,
    transfer_ms,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from gooseberrypost.policy.views import AgentView, RequestView

MIN_RETRY_MS: Final = 20
MAX_RETRY_MS: Final = 5_000
BEST_PREFILL: Final = 3
BEST_DECODE: Final = 4
"""Engines of each pool that are compared as pairs."""


class Prediction(NamedTuple):
    """Predicted times of a request, in milliseconds of the clock."""

    first_token_at_ms: int
    complete_at_ms: int


class AdmissionPolicy(ABC):
    """Decides whether a request is worth starting."""

    @abstractmethod
    def decide(
        self,
        req: RequestView,
        prefill: Sequence[AgentView],
        decode: Sequence[AgentView],
        now_ms: int,
    ) -> Result[Prediction, NotRun]:
        """Predict the request on these candidates, or refuse it.

        A refusal is a ``TargetUnreachable`` or ``NoCapacity`` with advice on
        when to retry.
        """


class DeadlineAdmission(AdmissionPolicy):
    """Admits what the best pair is predicted to finish within its targets.

    ``NoCapacity`` means that no decode engine has room now; the entry may
    hold the request and ask again after ``retry_after_ms``.
    ``TargetUnreachable`` means that waiting here does not help.
    """

    def decide(
        self,
        req: RequestView,
        prefill: Sequence[AgentView],
        decode: Sequence[AgentView],
        now_ms: int,
    ) -> Result[Prediction, NotRun]:
        """Predict the request on its best pair, or refuse it."""
        sources = usable(req, prefill)
        targets = [a for a in usable(req, decode) if can_ever_hold(req, a)]
        if not sources or not targets:
            return Err(
                NoCapacity(
                    f"service {req.service!r} has no live pair for model"
                    f" {req.model!r}",
                    retry_after_ms=MAX_RETRY_MS,
                )
            )
        room = [a for a in targets if has_room(req, a)]
        if room and _leaves_headroom(req, targets, now_ms):
            return self._check(req, sources, room, now_ms)
        wait_ms = next_slot_ms(req, targets)
        checked = self._check(req, sources, targets, now_ms + wait_ms)
        if isinstance(checked, Err):
            return checked
        return Err(
            NoCapacity(
                f"{len(targets)} decode engines are full",
                retry_after_ms=wait_ms,
            )
        )

    def _check(
        self,
        req: RequestView,
        sources: Sequence[AgentView],
        targets: Sequence[AgentView],
        now_ms: int,
    ) -> Result[Prediction, NotRun]:
        best = best_forecast(req, sources, targets, now_ms)
        excess = excess_ms(req, best)
        if excess > 0:
            return Err(
                TargetUnreachable(
                    f"predicted {excess} ms past its target",
                    retry_after_ms=_bounded(excess),
                )
            )
        return Ok(Prediction(best.first_token_ms, best.complete_ms))


def _leaves_headroom(
    req: RequestView, targets: Sequence[AgentView], now_ms: int
) -> bool:
    total = sum(agent.slots for agent in targets)
    free = sum(max(0, a.slots - a.slots_used) for a in targets)
    return free > headroom_slots(req, total, now_ms)


def usable(req: RequestView, agents: Sequence[AgentView]) -> list[AgentView]:
    """Agents that may take the request: live, right model, no two suspects."""
    return [
        agent
        for agent in agents
        if not agent.draining
        and agent.model == req.model
        and not (req.suspect and agent.suspects)
    ]


def best_forecast(
    req: RequestView,
    sources: Sequence[AgentView],
    targets: Sequence[AgentView],
    now_ms: int,
) -> Forecast:
    """Best pair of the fastest sources: targets met, then first token."""
    fastest = sorted(sources, key=lambda a: prefill_ms(req, a))[:BEST_PREFILL]
    earliest_ms = now_ms + prefill_ms(req, fastest[0])
    quickest = sorted(
        targets, key=lambda a: _import_end_ms(req, a, earliest_ms)
    )[:BEST_DECODE]
    return min(
        (forecast(req, p, d, now_ms) for p in fastest for d in quickest),
        key=lambda f: (excess_ms(req, f), f.first_token_ms),
    )


def _import_end_ms(
    req: RequestView, target: AgentView, earliest_ms: int
) -> float:
    start = max(earliest_ms, target.link_free_ms)
    moving = transfer_ms(req.prompt_tokens, target.link_kb_per_s, True)
    return start + moving + target.token_gap_ms


def next_slot_ms(req: RequestView, targets: Sequence[AgentView]) -> int:
    """Estimate the wait until one of the full engines ends a request.

    Requests in progress are assumed to have the mean output of the service
    and to be evenly spread over their lives.
    """
    tokens = req.expected_output_tokens or req.max_output_tokens
    ends_per_ms = sum(
        agent.slots_used / max(1.0, agent.token_gap_ms * tokens)
        for agent in targets
    )
    return _bounded(int(1 / ends_per_ms) if ends_per_ms else MAX_RETRY_MS)


def _bounded(wait_ms: int) -> int:
    return min(MAX_RETRY_MS, max(MIN_RETRY_MS, wait_ms))
