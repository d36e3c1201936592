"""Command of ``make bench``: compares policies on a virtual clock.

Exits with 0 on success, with 1 if a baseline outperforms the production policy
(see ``Report.better_baselines``), and with 2 for an invalid option.
"""

from __future__ import annotations

import os
import sys
from concurrent.futures import ProcessPoolExecutor
from typing import Final, NamedTuple

import click

from gooseberrypost.bench.report import Figures, Report
from gooseberrypost.bench.scenarios import SCENARIOS, Scenario, fleet_scenario
from gooseberrypost.bench.strategy import STRATEGIES

MAX_WORKERS: Final = 6
SEEDS: Final = 5
QUICK_SCALE: Final = 0.45
"""Length of the arrival period of a quick run, as a share of a full one."""
QUICK_SEEDS: Final = 10
"""Seeds of a quick run.

The goodput difference of two policies on one short seed has a standard
deviation of 0.026, so a few seeds cannot resolve a difference of 0.005.
"""
QUICK_SCENARIOS: Final = (
    "kyvadlo-steady",
    "kyvadlo-bad-link",
    "trust-steady",
    "trust-zone-lost",
)


class Task(NamedTuple):
    """Parameters of one run."""

    scenario: str
    policy: str
    seed: int
    scale: float


def find_scenario(name: str) -> Scenario | None:
    """Find a scenario by name; ``fleet-N`` is a fleet of N engines."""
    if name.startswith("fleet-") and name[6:].isdigit():
        return fleet_scenario(int(name[6:]))
    return SCENARIOS.get(name)


def run_task(task: Task) -> Figures:
    """Run one scenario under one policy with one seed."""
    scenario = find_scenario(task.scenario)
    assert scenario is not None
    totals = scenario.run(STRATEGIES[task.policy], task.seed, task.scale)
    return Figures.from_totals(
        task.scenario, task.policy, task.seed, scenario.fault, totals
    )


def run_all(tasks: list[Task], workers: int) -> Report:
    """Run the tasks and report in their order; fleets, the longest, first."""
    if workers <= 1:
        return Report(map(run_task, tasks))
    with ProcessPoolExecutor(workers) as executor:
        order = sorted(tasks, key=lambda t: not t.scenario.startswith("fleet"))
        figures = dict(zip(order, executor.map(run_task, order), strict=True))
    return Report(figures[task] for task in tasks)


@click.command()
@click.option(
    "--scenario", "scenarios", multiple=True, help="Scenario; repeatable."
)
@click.option(
    "--policy", "policies", multiple=True, help="Policy; repeatable."
)
@click.option(
    "--seeds",
    type=int,
    help=f"Run seeds 1 to N; default {SEEDS}, or {QUICK_SEEDS} with --quick.",
)
@click.option(
    "--size",
    "sizes",
    type=int,
    multiple=True,
    help="Run a fleet of this many engines; repeatable.",
)
@click.option("--quick", is_flag=True, help="Run a few short scenarios.")
@click.option(
    "--workers",
    type=int,
    default=0,
    help="Worker processes; 0 chooses by CPU count.",
)
def main(
    scenarios: tuple[str, ...],
    policies: tuple[str, ...],
    seeds: int | None,
    sizes: tuple[int, ...],
    quick: bool,
    workers: int,
) -> None:
    """Compare routing policies on the same seeds."""
    names = list(scenarios)
    if not names and not sizes:
        names = list(QUICK_SCENARIOS if quick else SCENARIOS)
    names += [f"fleet-{size}" for size in sizes]
    chosen = list(policies) or list(STRATEGIES)
    _check(names, chosen)
    scale = QUICK_SCALE if quick else 1.0
    seeds = seeds or (QUICK_SEEDS if quick else SEEDS)
    tasks = [
        Task(name, policy, seed, scale)
        for name in names
        for policy in chosen
        for seed in range(1, seeds + 1)
    ]
    workers = workers or min(MAX_WORKERS, os.cpu_count() or 1)
    sys.exit(_print(run_all(tasks, workers)))


def _check(names: list[str], policies: list[str]) -> None:
    for name in names:
        if find_scenario(name) is None:
            known = ", ".join(SCENARIOS)
            raise click.UsageError(f"scenario {name!r} is not one of {known}")
    for policy in policies:
        if policy not in STRATEGIES:
            known = ", ".join(STRATEGIES)
            raise click.UsageError(f"policy {policy!r} is not one of {known}")


def _print(report: Report) -> int:
    better_baselines = report.better_baselines()
    for line in report.table():
        click.echo(line)
    for line in report.missed_targets():
        click.echo(f"missed: {line}")
    for line in better_baselines:
        click.echo(f"worse: {line}")
    for figures in report.figures:
        click.echo(figures.format_line())
    return 1 if better_baselines else 0


if __name__ == "__main__":
    main()
