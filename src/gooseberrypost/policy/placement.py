"""Placement: the prefill and decode engines that serve a request."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, NamedTuple

from gooseberrypost.policy.views import AgentView, RequestView

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence


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
