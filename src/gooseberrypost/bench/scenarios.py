"""Benchmark scenarios: a deployment, a workload and an injected fault."""

from __future__ import annotations

import random
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Final

from gooseberrypost.bench import faults
from gooseberrypost.bench.enginetypes import EngineSpec
from gooseberrypost.bench.simulation import Region, RunTotals, Simulation
from gooseberrypost.bench.workload import (
    COUNTING_CLASSES,
    MANUAL_CLASSES,
    NOISY_ACCOUNT,
    RequestClass,
    RequestGenerator,
    decode_capacity_per_s,
    fleet_class,
)
from gooseberrypost.state.records import EngineRole

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from gooseberrypost.bench.strategy import Strategy

WARM_UP_MS: Final = 15_000.0
"""Requests that arrive within this time are not measured."""
ARRIVALS_MS: Final = 90_000.0
"""Length of the arrival period at a scale of 1."""
DRAIN_MS: Final = 45_000.0
"""Time after the last arrival in which requests can end."""
QUICK_SHARE: Final = 0.5
ACCOUNTS: Final = 20
NOISY_BASE_LOAD: Final = 0.7
"""Load of all accounts before one of them rises to ten times its share."""
SIMULATED_HOUR_MS: Final = 25_000.0
"""Virtual time that stands for an hour in the ``clock-*`` scenarios."""


@dataclass(slots=True, frozen=True)
class Deployment:
    """Existing single-region deployment: zones, latency and workload."""

    name: str
    zones: tuple[str, ...]
    cross_zone_latency_ms: float
    kinds: tuple[RequestClass, ...]

    def region(self, prefill: int, decode: int) -> Region:
        """Return a region with the engines of both pools spread over zones."""
        model = self.kinds[0].model
        specs = _engine_specs(self.zones, prefill, decode, model, "")
        return Region(list(self.zones), specs, 1, self.cross_zone_latency_ms)


KYVADLO: Final = Deployment(
    "kyvadlo", ("sk-west-a", "sk-west-b", "sk-west-c"), 0.5, MANUAL_CLASSES
)
TRUST: Final = Deployment(
    "trust",
    ("mu-north-a", "mu-north-b", "mu-north-c", "mu-north-d"),
    1.5,
    COUNTING_CLASSES,
)


@dataclass(slots=True, frozen=True)
class Scenario:
    """Named scenario of the benchmark."""

    name: str
    runner: Callable[[Strategy, int, float], RunTotals]
    fault: bool = False
    """Whether the targets for runs with a fault apply."""
    default: bool = True

    def run(self, strategy: Strategy, seed: int, scale: float) -> RunTotals:
        """Run a strategy with a seed; ``scale`` scales the arrival period."""
        return self.runner(strategy, seed, scale)


def _engine_specs(
    zones: Sequence[str],
    prefill: int,
    decode: int,
    model: str,
    name_suffix: str,
) -> list[EngineSpec]:
    specs = []
    for index in range(prefill):
        zone = zones[index % len(zones)]
        name = f"{model}{name_suffix}-p{index}"
        specs.append(EngineSpec(name, zone, EngineRole.PREFILL, model))
    for index in range(decode):
        # Decode engines continue in the zone after the last prefill engine.
        zone = zones[(prefill + index) % len(zones)]
        name = f"{model}{name_suffix}-d{index}"
        specs.append(EngineSpec(name, zone, EngineRole.DECODE, model))
    return specs


def _run_deployment(
    deployment: Deployment,
    fault: Callable[[Simulation], None],
    prefill: int,
    decode: int,
    load: float,
    strategy: Strategy,
    seed: int,
    scale: float,
) -> RunTotals:
    simulation = Simulation(
        strategy, [deployment.region(prefill, decode)], seed
    )
    rate = load * decode_capacity_per_s(deployment.kinds, decode)
    generator = RequestGenerator(
        deployment.kinds, ACCOUNTS, random.Random(seed * 7 + 1)
    )
    offered = generator.arrivals(lambda _: rate, rate, ARRIVALS_MS * scale)
    fault(simulation)
    simulation.schedule_arrivals(offered, (WARM_UP_MS, ARRIVALS_MS * scale))
    simulation.clock.run(ARRIVALS_MS * scale + DRAIN_MS)
    return simulation.summarize()


def _run_noisy_account(
    deployment: Deployment,
    factor: float,
    strategy: Strategy,
    seed: int,
    scale: float,
) -> RunTotals:
    """Measure the other accounts; one sends ``factor`` times its share."""
    simulation = Simulation(strategy, [deployment.region(2, 3)], seed)
    rate = NOISY_BASE_LOAD * decode_capacity_per_s(deployment.kinds, 3)
    share = rate / ACCOUNTS
    until_ms = ARRIVALS_MS * scale
    others = RequestGenerator(
        deployment.kinds, ACCOUNTS, random.Random(seed * 7 + 1)
    )
    noisy = RequestGenerator(
        deployment.kinds,
        1,
        random.Random(seed * 7 + 2),
        first_number=1_000_000,
    )
    base = others.arrivals(lambda _: rate, rate, until_ms)
    simulation.schedule_arrivals(
        [o for o in base if o.account != NOISY_ACCOUNT], (WARM_UP_MS, until_ms)
    )
    noisy_rate = share * factor
    simulation.schedule_arrivals(
        noisy.arrivals(
            lambda _: noisy_rate, noisy_rate, until_ms, account=NOISY_ACCOUNT
        ),
        (WARM_UP_MS, until_ms),
        NOISY_ACCOUNT,
    )
    simulation.clock.run(until_ms + DRAIN_MS)
    return simulation.summarize()


def _run_shifted_peak(
    deployment: Deployment,
    planned: bool,
    strategy: Strategy,
    seed: int,
    scale: float,
) -> RunTotals:
    """Run a load peak that comes one hour earlier than usual.

    The decode pool grows on time if the shift is ``planned``, otherwise an
    hour late.
    """
    simulation = Simulation(strategy, [deployment.region(2, 4)], seed)
    spare = [e for e in simulation.engines.values()][-2:]
    for engine in spare:
        engine.assign(EngineRole.DECODE, "idle")
    simulation.invalidate_pools()
    low = 0.8 * decode_capacity_per_s(deployment.kinds, 2)
    high = 0.9 * decode_capacity_per_s(deployment.kinds, 4)
    peak = (SIMULATED_HOUR_MS, 2 * SIMULATED_HOUR_MS)
    scaled_up = (
        peak
        if planned
        else (peak[0] + SIMULATED_HOUR_MS, peak[1] + SIMULATED_HOUR_MS)
    )
    model = deployment.kinds[0].model

    def rate(time_ms: float) -> float:
        return high if peak[0] <= time_ms < peak[1] else low

    for engine in spare:
        simulation.clock.call_at(
            scaled_up[0] - 5_000,
            lambda e=engine: simulation.change_role(
                e, EngineRole.DECODE, model
            ),
        )
        simulation.clock.call_at(
            scaled_up[1],
            lambda e=engine: simulation.change_role(
                e, EngineRole.DECODE, "idle"
            ),
        )
    generator = RequestGenerator(
        deployment.kinds, ACCOUNTS, random.Random(seed * 7 + 1)
    )
    until_ms = 3.5 * SIMULATED_HOUR_MS
    simulation.schedule_arrivals(
        generator.arrivals(rate, high, until_ms), (WARM_UP_MS, until_ms)
    )
    simulation.clock.run(until_ms + DRAIN_MS)
    return simulation.summarize()


def _run_fleet(
    engines: int,
    fault: Callable[[Simulation], None],
    strategy: Strategy,
    seed: int,
    scale: float,
) -> RunTotals:
    """Run a share of the design-target fleet at 90% of its capacity."""
    models = max(1, round(engines / 140))
    per_group = max(4, engines // (3 * models))
    prefill = per_group // 4
    decode = per_group - prefill
    zones = (3, 3, 2)
    per_zone = max(1, round(engines * 0.3 / 8))
    regions = []
    for number, count in enumerate(zones):
        names = [f"r{number}-{letter}" for letter in "abc"[:count]]
        specs = []
        for model in range(models):
            specs += _engine_specs(
                names, prefill, decode, f"model-{model}", f"-r{number}"
            )
        regions.append(Region(names, specs, per_zone, 0.5))
    simulation = Simulation(strategy, regions, seed)
    kinds = [fleet_class(model) for model in range(models)]
    rate = 0.9 * decode_capacity_per_s(kinds, decode * models * len(zones))
    until_ms = 45_000.0 * scale
    generator = RequestGenerator(kinds, 5_400, random.Random(seed * 7 + 1))
    simulation.warm_caches(generator.prefixes())
    offered = generator.arrivals(lambda _: rate, rate, until_ms, regions=3)
    fault(simulation)
    simulation.schedule_arrivals(
        offered, (min(WARM_UP_MS, until_ms / 2), until_ms)
    )
    simulation.clock.run(until_ms + DRAIN_MS)
    return simulation.summarize()


def _deployment_scenarios(deployment: Deployment) -> list[Scenario]:
    def make(
        label: str,
        fault: Callable[[Simulation], None],
        prefill: int = 2,
        decode: int = 3,
    ) -> Scenario:
        run = partial(_run_deployment, deployment, fault, prefill, decode, 0.9)
        return Scenario(
            f"{deployment.name}-{label}", run, fault is not faults.no_fault
        )

    return [
        make("steady", faults.no_fault),
        make("slow-prefill", faults.slow_prefill),
        make("slow-decode", faults.slow_decode),
        make("bad-link", faults.degrade_link),
        make("zone-lost", faults.lose_zone),
        make("half-gone", faults.crash_half, 4, 6),
        Scenario(
            f"{deployment.name}-quiet-account",
            partial(_run_noisy_account, deployment, 1.0),
        ),
        Scenario(
            f"{deployment.name}-noisy-account",
            partial(_run_noisy_account, deployment, 10.0),
            True,
        ),
        Scenario(
            f"{deployment.name}-clock-planned",
            partial(_run_shifted_peak, deployment, True),
        ),
        Scenario(
            f"{deployment.name}-clock-unplanned",
            partial(_run_shifted_peak, deployment, False),
            True,
        ),
    ]


def fleet_scenario(engines: int) -> Scenario:
    """Return the scenario of a fleet of this many engines, for ``--size``."""
    return Scenario(
        f"fleet-{engines}",
        partial(_run_fleet, engines, faults.no_fault),
        default=False,
    )


SCENARIOS: Final = {
    s.name: s
    for s in _deployment_scenarios(KYVADLO) + _deployment_scenarios(TRUST)
}
