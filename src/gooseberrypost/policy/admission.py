"""Admission: refuse before any prefill what cannot meet its targets."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

    from result import Result

    from gooseberrypost.errors import NotRun
    from gooseberrypost.policy.views import AgentView, RequestView


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
