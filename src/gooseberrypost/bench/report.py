"""Benchmark report: figures, comparison with baselines, and targets."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from gooseberrypost.bench.strategy import PRODUCTION_POLICY, UPPER_BOUND_POLICY

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gooseberrypost.bench.simulation import RunTotals

TOLERANCE: Final = 0.005
"""Difference of two means up to which they count as equal."""
STEADY_MIN_GOODPUT: Final = 0.95
"""Goodput target without a fault."""
STEADY_MIN_SHARE_OF_BOUND: Final = 0.97
"""Goodput target as a share of the upper bound, without a fault."""
STEADY_MAX_WASTE: Final = 0.01
"""Limit of the wasted share of prefill, without a fault."""
FAULT_MIN_SHARE_OF_BOUND: Final = 0.95
"""Goodput target as a share of the upper bound, with a fault."""
FAULT_MAX_WASTE: Final = 0.03
"""Limit of the wasted share of prefill, with a fault."""
MAX_ACCOUNT_LOSS: Final = 0.02
"""Goodput that other accounts may lose to a noisy account."""
QUIET_SUFFIX: Final = "quiet-account"
NOISY_SUFFIX: Final = "noisy-account"


@dataclass(slots=True, frozen=True)
class Figures:
    """Results of one run."""

    scenario: str
    policy: str
    seed: int
    fault: bool
    goodput: float
    wasted_prefill: float
    first_token_p95_ms: int
    token_gap_p95_ms: int
    outcomes: tuple[tuple[str, int], ...] = ()
    oversold_engines: int = 0
    served_after_max_wait: int = 0

    @classmethod
    def from_totals(
        cls,
        scenario: str,
        policy: str,
        seed: int,
        fault: bool,
        totals: RunTotals,
    ) -> Figures:
        """Compute the shares and percentiles of a run."""
        return cls(
            scenario,
            policy,
            seed,
            fault,
            totals.within_targets / max(1, totals.offered),
            totals.wasted_tokens / max(1.0, totals.computed_tokens),
            _percentile_95(totals.first_token_ms),
            _percentile_95(totals.token_gap_ms),
            tuple(sorted(totals.by_outcome.items())),
            totals.oversold_engines,
            totals.served_after_max_wait,
        )

    def format_line(self) -> str:
        """Return the figures as one line of ``key=value`` pairs."""
        return (
            f"scenario={self.scenario} policy={self.policy} seed={self.seed}"
            f" goodput={self.goodput:.3f}"
            f" wasted_prefill={self.wasted_prefill:.3f}"
            f" first_token_p95_ms={self.first_token_p95_ms}"
            f" token_gap_p95_ms={self.token_gap_p95_ms}"
        )


@dataclass(slots=True, frozen=True)
class MeanFigures:
    """Means over the seeds of one scenario and policy.

    The violation counts and the outcomes are summed instead.
    """

    goodput: float
    wasted_prefill: float
    first_token_p95_ms: float
    token_gap_p95_ms: float
    oversold_engines: int
    served_after_max_wait: int
    outcomes: str

    @classmethod
    def from_runs(cls, runs: list[Figures]) -> MeanFigures:
        """Aggregate runs that differ only in their seed."""
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
            sum(r.oversold_engines for r in runs),
            sum(r.served_after_max_wait for r in runs),
            ", ".join(f"{n} {c}" for n, c in sorted(outcomes.items())),
        )


class Report:
    """All figures of one benchmark call, by scenario and policy."""

    def __init__(self, figures: Iterable[Figures]) -> None:
        self.figures = list(figures)
        grouped: dict[tuple[str, str], list[Figures]] = defaultdict(list)
        for run in self.figures:
            grouped[run.scenario, run.policy].append(run)
        self._means = {
            key: MeanFigures.from_runs(runs) for key, runs in grouped.items()
        }
        self._faults = {run.scenario: run.fault for run in self.figures}

    def mean(self, scenario: str, policy: str) -> MeanFigures | None:
        """Return the means of a scenario under a policy, if it was run."""
        return self._means.get((scenario, policy))

    def table(self) -> list[str]:
        """Return goodput and wasted prefill as a table, by scenario."""
        policies = sorted({r.policy for r in self.figures}, key=_column_order)
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

    def better_baselines(self) -> list[str]:
        """Describe where a baseline outperforms the production policy.

        A baseline is better if its goodput, as the mean over the seeds, is
        higher by more than ``TOLERANCE``. It is also better if goodput is
        equal within ``TOLERANCE`` and the production policy wastes more
        prefill by more than ``TOLERANCE``.
        """
        found = []
        for (scenario, policy), base in self._means.items():
            production = self.mean(scenario, PRODUCTION_POLICY)
            if (
                policy in (PRODUCTION_POLICY, UPPER_BOUND_POLICY)
                or production is None
            ):
                continue
            loss = base.goodput - production.goodput
            extra_waste = production.wasted_prefill - base.wasted_prefill
            if loss > TOLERANCE:
                found.append(
                    f"{scenario}: goodput is {loss:.3f} below {policy}"
                )
            elif abs(loss) <= TOLERANCE and extra_waste > TOLERANCE:
                found.append(
                    f"{scenario}: wasted prefill is {extra_waste:.3f} above"
                    f" {policy} at equal goodput"
                )
        return found

    def missed_targets(self) -> list[str]:
        """Describe the missed targets of section 1.2 and the shortfalls."""
        found = []
        for scenario, fault in self._faults.items():
            production, bound = (
                self.mean(scenario, PRODUCTION_POLICY),
                self.mean(scenario, UPPER_BOUND_POLICY),
            )
            if production is None:
                continue
            found += _missed_waste_targets(scenario, fault, production)
            if bound is not None:
                found += _missed_goodput_targets(
                    scenario, fault, production, bound
                )
            found += self._missed_account_targets(scenario, production)
            found += _violations(scenario, production)
        return found

    def _missed_account_targets(
        self, scenario: str, production: MeanFigures
    ) -> list[str]:
        quiet = self.mean(
            scenario.replace(NOISY_SUFFIX, QUIET_SUFFIX), PRODUCTION_POLICY
        )
        if NOISY_SUFFIX not in scenario or quiet is None:
            return []
        loss = quiet.goodput - production.goodput
        if loss <= MAX_ACCOUNT_LOSS:
            return []
        return [
            f"{scenario}: the other accounts lose {loss:.3f} of goodput, over"
            f" {MAX_ACCOUNT_LOSS} by {loss - MAX_ACCOUNT_LOSS:.3f};"
            f" {production.outcomes}"
        ]


def _missed_waste_targets(
    scenario: str, fault: bool, production: MeanFigures
) -> list[str]:
    limit = FAULT_MAX_WASTE if fault else STEADY_MAX_WASTE
    if production.wasted_prefill <= limit:
        return []
    excess = production.wasted_prefill - limit
    return [
        f"{scenario}: wasted prefill {production.wasted_prefill:.3f} is over"
        f" {limit} by {excess:.3f}; {production.outcomes}"
    ]


def _missed_goodput_targets(
    scenario: str, fault: bool, production: MeanFigures, bound: MeanFigures
) -> list[str]:
    found = []
    share = FAULT_MIN_SHARE_OF_BOUND if fault else STEADY_MIN_SHARE_OF_BOUND
    required = share * bound.goodput
    if production.goodput < required:
        found.append(
            f"{scenario}: goodput {production.goodput:.3f} is under {share} of"
            f" the bound {bound.goodput:.3f}"
            f" by {required - production.goodput:.3f}; {production.outcomes}"
        )
    if not fault and production.goodput < STEADY_MIN_GOODPUT:
        found.append(
            f"{scenario}: goodput {production.goodput:.3f} is under"
            f" {STEADY_MIN_GOODPUT}"
            f" by {STEADY_MIN_GOODPUT - production.goodput:.3f};"
            f" the bound reaches {bound.goodput:.3f}; {production.outcomes}"
        )
    return found


def _violations(scenario: str, production: MeanFigures) -> list[str]:
    found = []
    if production.oversold_engines:
        found.append(
            f"{scenario}: {production.oversold_engines} engines were oversold"
        )
    if production.served_after_max_wait:
        found.append(
            f"{scenario}: {production.served_after_max_wait} requests were"
            " served after their longest wait"
        )
    return found


def _column_order(policy: str) -> tuple[int, str]:
    return (policy == PRODUCTION_POLICY) + 2 * (
        policy == UPPER_BOUND_POLICY
    ), policy


def _percentile_95(values: list[float]) -> int:
    if not values:
        return 0
    ordered = sorted(values)
    return int(ordered[min(len(ordered) - 1, int(0.95 * len(ordered)))])
