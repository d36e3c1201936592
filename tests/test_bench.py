"""Bench: repeatable figures, and ours against the baselines."""

from __future__ import annotations

import dataclasses

import pytest
from click.testing import CliRunner

from gooseberrypost.bench.__main__ import Task, main, run_all
from gooseberrypost.bench.clock import SharedWork, VirtualClock
from gooseberrypost.bench.report import Figures, Report
from gooseberrypost.bench.strategy import BOUND, OURS, STRATEGIES


def figures(policy, goodput, waste):
    return Figures("s", policy, 1, False, goodput, waste, 0, 0)


def test_the_same_seed_gives_the_same_figures():
    """Guards against hash order or clock time in the figures."""
    task = Task("trust-bad-link", OURS, 3, 0.45)
    first, again = run_all([task], 1), run_all([task, task], 2)
    assert [f.line() for f in again.figures] == 2 * [first.figures[0].line()]


def test_ours_is_not_worse_than_the_baselines_in_a_small_scenario():
    """Guards against a change of policy that loses goodput or prefill."""
    report = run_all(
        [
            Task("kyvadlo-zone-lost", policy, seed, 0.7)
            for policy in STRATEGIES
            if policy != BOUND
            for seed in (1, 2)
        ],
        4,
    )
    assert report.worse() == []
    ours = report.mean("kyvadlo-zone-lost", OURS)
    assert ours.wasted_prefill <= 0.03
    assert ours.oversold == 0


@pytest.mark.parametrize(
    ("base", "ours", "is_worse"),
    [
        ((0.90, 0.1), (0.91, 0.0), False),
        ((0.90, 0.0), (0.88, 0.0), True),
        ((0.90, 0.0), (0.90, 0.02), True),
        ((0.90, 0.0), (0.95, 0.02), False),
    ],
)
def test_the_report_finds_a_better_baseline(base, ours, is_worse):
    """Guards against a comparison that cannot fail."""
    report = Report([figures("round_robin", *base), figures(OURS, *ours)])
    assert bool(report.worse()) == is_worse


def test_the_report_names_missed_targets():
    """Guards against a run that hides a miss."""
    runs = [figures(OURS, 0.90, 0.02), figures(BOUND, 0.99, 0.0)]
    missed = Report(
        dataclasses.replace(run, scenario="kyvadlo-steady") for run in runs
    ).missed()
    assert len(missed) == 3


def test_unknown_scenarios_are_refused():
    """Guards against a typo that runs nothing and passes."""
    result = CliRunner().invoke(main, ["--scenario", "nowhere"])
    assert result.exit_code == 2
    assert "nowhere" in result.output


def test_shared_work_slows_down_with_more_jobs():
    """Guards against a fake link that gives every transfer its full rate."""
    clock, ended = VirtualClock(), {}
    work = SharedWork(clock, lambda jobs: 1.0 / jobs)
    work.add(1, 100, lambda: ended.setdefault(1, clock.now))
    clock.at(
        50, lambda: work.add(2, 100, lambda: ended.setdefault(2, clock.now))
    )
    clock.at(100, lambda: work.set_factor(0.5))
    clock.run(1_000)
    assert ended == {1: 200.0, 2: 300.0}
