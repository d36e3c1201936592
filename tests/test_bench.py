"""Benchmark: reproducible figures and the comparison with baselines."""

from __future__ import annotations

import dataclasses

import pytest
from click.testing import CliRunner

from gooseberrypost.bench.__main__ import Task, main, run_all
from gooseberrypost.bench.clock import ProcessorSharing, VirtualClock
from gooseberrypost.bench.report import Figures, Report
from gooseberrypost.bench.strategy import (
    PRODUCTION_POLICY,
    STRATEGIES,
    UPPER_BOUND_POLICY,
)


def make_figures(policy, goodput, waste):
    return Figures("s", policy, 1, False, goodput, waste, 0, 0)


def test_the_same_seed_gives_the_same_figures():
    """Guards against figures that depend on hash order or wall-clock time."""
    task = Task("trust-bad-link", PRODUCTION_POLICY, 3, 0.45)
    first, again = run_all([task], 1), run_all([task, task], 2)
    assert [f.format_line() for f in again.figures] == 2 * [
        first.figures[0].format_line()
    ]


def test_production_policy_is_not_worse_than_the_baselines():
    """Guards against a policy change that costs goodput or wastes prefill."""
    report = run_all(
        [
            Task("kyvadlo-zone-lost", policy, seed, 0.7)
            for policy in STRATEGIES
            if policy != UPPER_BOUND_POLICY
            for seed in (1, 2)
        ],
        4,
    )
    assert report.better_baselines() == []
    production = report.mean("kyvadlo-zone-lost", PRODUCTION_POLICY)
    assert production.wasted_prefill <= 0.03
    assert production.oversold_engines == 0


@pytest.mark.parametrize(
    ("base", "production", "is_worse"),
    [
        ((0.90, 0.1), (0.91, 0.0), False),
        ((0.90, 0.0), (0.88, 0.0), True),
        ((0.90, 0.0), (0.90, 0.02), True),
        ((0.90, 0.0), (0.95, 0.02), False),
    ],
)
def test_the_report_finds_a_better_baseline(base, production, is_worse):
    """Guards against a comparison that never reports a better baseline."""
    report = Report(
        [
            make_figures("round_robin", *base),
            make_figures(PRODUCTION_POLICY, *production),
        ]
    )
    assert bool(report.better_baselines()) == is_worse


def test_the_report_names_missed_targets():
    """Guards against a report that omits a missed target."""
    runs = [
        make_figures(PRODUCTION_POLICY, 0.90, 0.02),
        make_figures(UPPER_BOUND_POLICY, 0.99, 0.0),
    ]
    missed_targets = Report(
        dataclasses.replace(run, scenario="kyvadlo-steady") for run in runs
    ).missed_targets()
    assert len(missed_targets) == 3


def test_unknown_scenarios_are_refused():
    """Guards against a mistyped name that runs nothing and still passes."""
    result = CliRunner().invoke(main, ["--scenario", "nowhere"])
    assert result.exit_code == 2
    assert "nowhere" in result.output


def test_processor_sharing_slows_down_with_more_jobs():
    """Guards against a link that gives every transfer its full rate."""
    clock, ended = VirtualClock(), {}
    server = ProcessorSharing(clock, lambda jobs: 1.0 / jobs)
    server.add(1, 100, lambda: ended.setdefault(1, clock.now))
    clock.call_at(
        50, lambda: server.add(2, 100, lambda: ended.setdefault(2, clock.now))
    )
    clock.call_at(100, lambda: server.set_speed_factor(0.5))
    clock.run(1_000)
    assert ended == {1: 200.0, 2: 300.0}
