"""Estimates the workload of a service from the generations of all gateways.

A single gateway sees few requests: in a large fleet one in several seconds.
The generations that run or wait at the engines are known from the load
notices of all gateways, and their number is the demand by Little's law.

>>> estimate = WorkloadEstimate()
>>> sizes = [RunSize(3_500, 500, 900, 2_000)] * 8
>>> for _ in range(SETTLING_UPDATES):
...     estimate.update(sizes, waiting=2, run_s=4.0)
>>> estimate.prompt_tokens, estimate.output_tokens, estimate.demand_per_s
(3000.0, 900.0, 2.5)
>>> estimate.is_settled
True
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from gooseberrypost.policy.enginememory import RunSize

if TYPE_CHECKING:
    from collections.abc import Sequence

SMOOTHING: Final = 0.05
"""Weight of the latest observation in the moving averages."""
SETTLING_UPDATES: Final = 10
"""Observations after which the averages are used."""
MIN_RUNS: Final = 2
"""Runs below which an observation says too little about their sizes."""


class WorkloadEstimate:
    """Moving averages of the demand and of the sizes of generations."""

    __slots__ = ("_updates", "demand_per_s", "output_tokens", "prompt_tokens")

    def __init__(self) -> None:
        self._updates = 0
        self.prompt_tokens = 0.0
        """Mean prompt length."""
        self.output_tokens = 0.0
        """Mean predicted output length."""
        self.demand_per_s = 0.0
        """Generations per second that arrive."""

    @property
    def is_settled(self) -> bool:
        """Whether there were enough observations."""
        return self._updates >= SETTLING_UPDATES

    def update(
        self, sizes: Sequence[RunSize], waiting: int, run_s: float
    ) -> None:
        """Add an observation of the running and the waiting generations.

        ``run_s`` is the mean time of a generation at its decode engine.
        """
        if len(sizes) < MIN_RUNS:
            return
        self._updates += 1
        weight = max(SMOOTHING, 1 / self._updates)
        prompts = sum(size.tokens - size.produced for size in sizes)
        outputs = sum(size.expected for size in sizes)
        demand_per_s = (len(sizes) + waiting) / run_s
        self.prompt_tokens += weight * (
            prompts / len(sizes) - self.prompt_tokens
        )
        self.output_tokens += weight * (
            outputs / len(sizes) - self.output_tokens
        )
        self.demand_per_s += weight * (demand_per_s - self.demand_per_s)
