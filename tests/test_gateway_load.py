"""Simulates decode engines under overload, without a network."""

from __future__ import annotations

import math
import random

from gooseberrypost.policy.enginememory import (
    MARGIN_STDDEVS,
    Run,
    predict_output_tokens,
    predict_peak_tokens,
)
from gooseberrypost.policy.migration import can_accept, run_to_migrate

KV_TOKENS = 60_000
SLOTS = 12
EVENT_TOKENS = 59
MAX_OUTPUT = 130 * EVENT_TOKENS
MEAN_OUTPUT = 4_000


class SimulatedRun(Run):
    """A run whose actual output length is hidden from the policies."""

    __slots__ = ("number", "output")

    def __init__(self, number: int, rng: random.Random):
        prompt = min(11_000, round(5_000 * rng.lognormvariate(-0.125, 0.5)))
        output = min(
            MAX_OUTPUT, round(4_130 * rng.lognormvariate(-0.125, 0.5))
        )
        hint = round(output * rng.lognormvariate(0.0, 0.5))
        expected = predict_output_tokens(hint, MEAN_OUTPUT, MAX_OUTPUT)
        super().__init__(prompt + 200, expected, MAX_OUTPUT)
        self.output = output
        self.number = number


class Fleet:
    """Decode engines under a constant backlog of generations.

    In each step every run produces one event.
    """

    def __init__(self, engines: int, margin: float, *, migrate: bool):
        self.rng = random.Random(1)
        self.engines: list[list[SimulatedRun]] = [[] for _ in range(engines)]
        self.margin, self.migrate = margin, migrate
        self.started = self.finished = self.preempted = self.migrated = 0
        self.next = SimulatedRun(0, self.rng)

    def simulate(self, steps: int):
        for _ in range(steps):
            self.admit()
            if self.migrate:
                self.migrate_runs()
            for runs in self.engines:
                self.step(runs)

    def admit(self):
        for runs in sorted(self.engines, key=memory_in_use):
            while len(runs) < SLOTS and self.can_admit_next(runs):
                runs.append(self.next)
                self.started += 1
                self.next = SimulatedRun(self.started, self.rng)

    def can_admit_next(self, runs: list[SimulatedRun]) -> bool:
        sizes = [run.size for run in (*runs, self.next)]
        limit = 0.98 * KV_TOKENS
        return (
            not runs or predict_peak_tokens(sizes, self.margin, limit) <= limit
        )

    def migrate_runs(self):
        for runs in self.engines:
            migrating = run_to_migrate([run.size for run in runs], KV_TOKENS)
            if migrating is None:
                continue
            for target in sorted(self.engines, key=memory_in_use):
                sizes = [run.size for run in target]
                if target is runs or not can_accept(
                    sizes, migrating, SLOTS, KV_TOKENS
                ):
                    continue
                run = next(run for run in runs if run.size == migrating)
                runs.remove(run)
                target.append(run)
                self.migrated += 1
                break

    def step(self, runs: list[SimulatedRun]):
        for run in list(runs):
            run.produced += EVENT_TOKENS
            if run.produced >= run.output:
                runs.remove(run)
                self.finished += 1
        while memory_in_use(runs) > KV_TOKENS:
            newest = max(runs, key=lambda run: run.number)
            runs.remove(newest)
            self.preempted += 1


def memory_in_use(runs: list[SimulatedRun]) -> int:
    return sum(run.tokens for run in runs)


def test_backlog_preempts_few_runs():
    """Guards against bursts in which engines prefill prompts repeatedly.

    Each preemption costs a further prefill of the preempted prompt.
    """
    fleet = Fleet(8, MARGIN_STDDEVS, migrate=False)
    fleet.simulate(1_500)
    assert fleet.preempted < 0.03 * fleet.started


def test_migration_avoids_most_preemptions_under_backlog():
    """Guards against preemptions while other engines have free memory.

    Runs on an engine whose outputs exceed their prediction must migrate to
    engines whose outputs stay below theirs.
    """
    without_migration = Fleet(13, MARGIN_STDDEVS, migrate=False)
    without_migration.simulate(1_000)
    with_migration = Fleet(13, MARGIN_STDDEVS, migrate=True)
    with_migration.simulate(1_000)
    assert with_migration.preempted < 0.25 * without_migration.preempted
    assert with_migration.finished > without_migration.finished
    # Migrations may use half of the retry budget of 0.2 per request.
    assert with_migration.migrated < 0.1 * with_migration.started


def test_larger_margin_never_serves_more_under_backlog():
    """Guards against a safety margin that reserves memory without benefit."""
    finished = []
    for margin in (0.5, 1.5, 2.5):
        fleet = Fleet(8, margin=margin, migrate=True)
        fleet.simulate(1_000)
        finished.append(fleet.finished)
    assert finished == sorted(finished, reverse=True)
    assert math.isclose(finished[0], finished[-1], rel_tol=0.4)
