"""Figures of the bench, the comparison of policies and the targets."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from gooseberrypost.bench.strategy import BOUND, OURS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gooseberrypost.bench.system import Totals

TOLERANCE: Final = 0.005
"""Difference of two means below which they count as equal."""
STEADY_GOODPUT: Final = 0.95
STEADY_OF_BOUND: Final = 0.97
STEADY_WASTE: Final = 0.01
FAULT_OF_BOUND: Final = 0.95
FAULT_WASTE: Final = 0.03
ACCOUNT_LOSS: Final = 0.02
QUIET: Final = "quiet-account"
NOISY: Final = "noisy-account"


@dataclass(slots=True, frozen=True)
class Figures:
    """What one run reached."""

    scenario: str
    policy: str
    seed: int
    fault: bool
    goodput: float
    wasted_prefill: float
    first_token_p95_ms: int
    token_gap_p95_ms: int
    outcomes: tuple[tuple[str, int], ...] = ()
    oversold: int = 0
    waited_over: int = 0

    @classmethod
    def from_totals(
        cls, scenario: str, policy: str, seed: int, fault: bool, totals: Totals
    ) -> Figures:
        """Compute shares and percentiles."""
        return cls(
            scenario,
            policy,
            seed,
            fault,
            totals.good / max(1, totals.offered),
            totals.wasted / max(1.0, totals.computed),
            _percentile_95(totals.first_token_ms),
            _percentile_95(totals.gap_ms),
            tuple(sorted(totals.by_outcome.items())),
            totals.oversold,
            totals.waited_over,
        )

    def line(self) -> str:
        """One line of the output."""
        return (
            f"scenario={self.scenario} policy={self.policy} seed={self.seed}"
            f" goodput={self.goodput:.3f}"
            f" wasted_prefill={self.wasted_prefill:.3f}"
            f" first_token_p95_ms={self.first_token_p95_ms}"
            f" token_gap_p95_ms={self.token_gap_p95_ms}"
        )


@dataclass(slots=True, frozen=True)
class Mean:
    """Means over the seeds of one scenario and policy."""

    goodput: float
    wasted_prefill: float
    first_token_p95_ms: float
    token_gap_p95_ms: float
    oversold: int
    waited_over: int
    outcomes: str

    @classmethod
    def of(cls, runs: list[Figures]) -> Mean:
        """Average the runs."""
        count = len(runs)
        outcomes: dict[str, int] = defaultdict(int)
        for run in runs:
            for name, number in run.outcomes:
                outcomes[name] += number
        return cls(
            sum(r.goodput for r in runs) / count,
            sum(r.wasted_prefill for r in runs) / count,
            sum(r.first_token_p95_ms for r in runs) / count,
            sum(r.token_gap_p95_ms for r in runs) / count,
            sum(r.oversold for r in runs),
            sum(r.waited_over for r in runs),
            ", ".join(f"{n} {c}" for n, c in sorted(outcomes.items())),
        )


class Report:
    """All figures of one call, by scenario and policy."""

    def __init__(self, figures: Iterable[Figures]) -> None:
        self.figures = list(figures)
        grouped: dict[tuple[str, str], list[Figures]] = defaultdict(list)
        for run in self.figures:
            grouped[run.scenario, run.policy].append(run)
        self._means = {key: Mean.of(runs) for key, runs in grouped.items()}
        self._faults = {run.scenario: run.fault for run in self.figures}

    def mean(self, scenario: str, policy: str) -> Mean | None:
        """Means of a scenario under a policy, if it was run."""
        return self._means.get((scenario, policy))

    def table(self) -> list[str]:
        """Goodput and wasted prefill of every scenario, one line each."""
        policies = sorted({r.policy for r in self.figures}, key=_column)
        head = f"{'goodput / wasted prefill':26s}"
        lines = [head + "".join(f"{p:>16s}" for p in policies)]
        for scenario in self._faults:
            cells = []
            for policy in policies:
                mean = self._means[scenario, policy]
                cell = f"{mean.goodput:.3f} / {mean.wasted_prefill:.3f}"
                cells.append(f"{cell:>16s}")
            lines.append(f"{scenario:26s}" + "".join(cells))
        return lines

    def worse(self) -> list[str]:
        """Scenarios in which a baseline beats ours.

        Rule, on means over the seeds: the baseline's goodput is higher by
        more than ``TOLERANCE``; or goodput is equal within ``TOLERANCE`` and
        our wasted prefill is higher by more than ``TOLERANCE``.
        """
        found = []
        for (scenario, policy), base in self._means.items():
            ours = self.mean(scenario, OURS)
            if policy in (OURS, BOUND) or ours is None:
                continue
            lost = base.goodput - ours.goodput
            extra = ours.wasted_prefill - base.wasted_prefill
            if lost > TOLERANCE:
                found.append(
                    f"{scenario}: goodput is {lost:.3f} below {policy}"
                )
            elif abs(lost) <= TOLERANCE and extra > TOLERANCE:
                found.append(
                    f"{scenario}: wasted prefill is {extra:.3f} above"
                    f" {policy} at equal goodput"
                )
        return found

    def missed(self) -> list[str]:
        """Targets of section 1.2 that are missed, and by how much."""
        found = []
        for scenario, fault in self._faults.items():
            ours, bound = self.mean(scenario, OURS), self.mean(scenario, BOUND)
            if ours is None:
                continue
            found += _missed_waste(scenario, fault, ours)
            if bound is not None:
                found += _missed_goodput(scenario, fault, ours, bound)
            found += self._missed_account(scenario, ours)
            found += _broken(scenario, ours)
        return found

    def _missed_account(self, scenario: str, ours: Mean) -> list[str]:
        quiet = self.mean(scenario.replace(NOISY, QUIET), OURS)
        if NOISY not in scenario or quiet is None:
            return []
        lost = quiet.goodput - ours.goodput
        if lost <= ACCOUNT_LOSS:
            return []
        return [
            f"{scenario}: the other accounts lose {lost:.3f} of goodput, over"
            f" {ACCOUNT_LOSS} by {lost - ACCOUNT_LOSS:.3f}; {ours.outcomes}"
        ]


def _missed_waste(scenario: str, fault: bool, ours: Mean) -> list[str]:
    limit = FAULT_WASTE if fault else STEADY_WASTE
    if ours.wasted_prefill <= limit:
        return []
    excess = ours.wasted_prefill - limit
    return [
        f"{scenario}: wasted prefill {ours.wasted_prefill:.3f} is over"
        f" {limit} by {excess:.3f}; {ours.outcomes}"
    ]


def _missed_goodput(
    scenario: str, fault: bool, ours: Mean, bound: Mean
) -> list[str]:
    found = []
    share = FAULT_OF_BOUND if fault else STEADY_OF_BOUND
    wanted = share * bound.goodput
    if ours.goodput < wanted:
        found.append(
            f"{scenario}: goodput {ours.goodput:.3f} is under {share} of the"
            f" bound {bound.goodput:.3f} by {wanted - ours.goodput:.3f};"
            f" {ours.outcomes}"
        )
    if not fault and ours.goodput < STEADY_GOODPUT:
        found.append(
            f"{scenario}: goodput {ours.goodput:.3f} is under"
            f" {STEADY_GOODPUT} by {STEADY_GOODPUT - ours.goodput:.3f}; the"
            f" bound reaches {bound.goodput:.3f}; {ours.outcomes}"
        )
    return found


def _broken(scenario: str, ours: Mean) -> list[str]:
    found = []
    if ours.oversold:
        found.append(f"{scenario}: {ours.oversold} engines were oversold")
    if ours.waited_over:
        found.append(
            f"{scenario}: {ours.waited_over} requests were served after their"
            " longest wait"
        )
    return found


def _column(policy: str) -> tuple[int, str]:
    return (policy == OURS) + 2 * (policy == BOUND), policy


def _percentile_95(values: list[float]) -> int:
    if not values:
        return 0
    ordered = sorted(values)
    return int(ordered[min(len(ordered) - 1, int(0.95 * len(ordered)))])
