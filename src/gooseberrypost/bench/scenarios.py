"""Scenarios: a firm or fleet, a load, a fault and what is measured."""

from __future__ import annotations

import random
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Final

from gooseberrypost.bench import faults
from gooseberrypost.bench.parts import EngineSpec
from gooseberrypost.bench.system import Region, System, Totals
from gooseberrypost.bench.workload import (
    COUNTING,
    HOT_ACCOUNT,
    MANUAL,
    Generator,
    RequestClass,
    capacity_per_s,
    fleet_class,
)
from gooseberrypost.state.records import EngineRole

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from gooseberrypost.bench.strategy import Strategy

WARM_MS: Final = 15_000.0
ARRIVALS_MS: Final = 90_000.0
DRAIN_MS: Final = 45_000.0
QUICK_SHARE: Final = 0.5
ACCOUNTS: Final = 20
SHARED_LOAD: Final = 0.7
"""Load of all accounts together where one of them rises to ten times."""
HOUR_MS: Final = 25_000.0
"""Length of an hour in the scenarios of a moved peak."""


@dataclass(slots=True, frozen=True)
class Firm:
    """A firm of today: zones, service and pools of engines."""

    name: str
    zones: tuple[str, ...]
    cross_zone_ms: float
    kinds: tuple[RequestClass, ...]

    def region(self, prefill: int, decode: int) -> Region:
        """Spread the engines of both pools over the zones."""
        model = self.kinds[0].model
        specs = _spread(self.zones, prefill, decode, model, "")
        return Region(list(self.zones), specs, 1, self.cross_zone_ms)


KYVADLO: Final = Firm(
    "kyvadlo", ("sk-west-a", "sk-west-b", "sk-west-c"), 0.5, MANUAL
)
TRUST: Final = Firm(
    "trust",
    ("mu-north-a", "mu-north-b", "mu-north-c", "mu-north-d"),
    1.5,
    COUNTING,
)


@dataclass(slots=True, frozen=True)
class Scenario:
    """One scenario; ``run`` gives what a strategy reaches in it."""

    name: str
    runner: Callable[[Strategy, int, float], Totals]
    fault: bool = False
    """Whether the targets with a fault apply, or those without."""
    default: bool = True

    def run(self, strategy: Strategy, seed: int, scale: float) -> Totals:
        """Run with a seed; ``scale`` shortens the time of arrivals."""
        return self.runner(strategy, seed, scale)


def _spread(
    zones: Sequence[str], prefill: int, decode: int, model: str, tag: str
) -> list[EngineSpec]:
    specs = []
    for index in range(prefill):
        zone = zones[index % len(zones)]
        name = f"{model}{tag}-p{index}"
        specs.append(EngineSpec(name, zone, EngineRole.PREFILL, model))
    for index in range(decode):
        # Decode starts at the zone after the last prefill engine.
        zone = zones[(prefill + index) % len(zones)]
        name = f"{model}{tag}-d{index}"
        specs.append(EngineSpec(name, zone, EngineRole.DECODE, model))
    return specs


def _firm_run(
    firm: Firm,
    fault: Callable[[System], None],
    prefill: int,
    decode: int,
    load: float,
    strategy: Strategy,
    seed: int,
    scale: float,
) -> Totals:
    system = System(strategy, [firm.region(prefill, decode)], seed)
    rate = load * capacity_per_s(firm.kinds, decode)
    generator = Generator(firm.kinds, ACCOUNTS, random.Random(seed * 7 + 1))
    offered = generator.arrivals(lambda _: rate, rate, ARRIVALS_MS * scale)
    fault(system)
    system.offer(offered, (WARM_MS, ARRIVALS_MS * scale))
    system.clock.run(ARRIVALS_MS * scale + DRAIN_MS)
    return system.finish()


def _noisy_run(
    firm: Firm, times: float, strategy: Strategy, seed: int, scale: float
) -> Totals:
    """Measure the other accounts while one sends ``times`` its share."""
    system = System(strategy, [firm.region(2, 3)], seed)
    rate = SHARED_LOAD * capacity_per_s(firm.kinds, 3)
    share = rate / ACCOUNTS
    until = ARRIVALS_MS * scale
    others = Generator(firm.kinds, ACCOUNTS, random.Random(seed * 7 + 1))
    hot = Generator(
        firm.kinds, 1, random.Random(seed * 7 + 2), first_number=1_000_000
    )
    base = others.arrivals(lambda _: rate, rate, until)
    system.offer(
        [o for o in base if o.account != HOT_ACCOUNT], (WARM_MS, until)
    )
    hot_rate = share * times
    system.offer(
        hot.arrivals(lambda _: hot_rate, hot_rate, until, account=HOT_ACCOUNT),
        (WARM_MS, until),
        HOT_ACCOUNT,
    )
    system.clock.run(until + DRAIN_MS)
    return system.finish()


def _clock_run(
    firm: Firm, planned: bool, strategy: Strategy, seed: int, scale: float
) -> Totals:
    """Move the peak an hour early; the pool follows with or without plan."""
    system = System(strategy, [firm.region(2, 4)], seed)
    spare = [e for e in system.engines.values()][-2:]
    for engine in spare:
        engine.assign(EngineRole.DECODE, "idle")
    system.changed()
    low = 0.8 * capacity_per_s(firm.kinds, 2)
    high = 0.9 * capacity_per_s(firm.kinds, 4)
    peak = (HOUR_MS, 2 * HOUR_MS)
    grown = peak if planned else (peak[0] + HOUR_MS, peak[1] + HOUR_MS)
    model = firm.kinds[0].model

    def rate(time: float) -> float:
        return high if peak[0] <= time < peak[1] else low

    for engine in spare:
        system.clock.at(
            grown[0] - 5_000,
            lambda e=engine: system.set_role(e, EngineRole.DECODE, model),
        )
        system.clock.at(
            grown[1],
            lambda e=engine: system.set_role(e, EngineRole.DECODE, "idle"),
        )
    generator = Generator(firm.kinds, ACCOUNTS, random.Random(seed * 7 + 1))
    until = 3.5 * HOUR_MS
    system.offer(generator.arrivals(rate, high, until), (WARM_MS, until))
    system.clock.run(until + DRAIN_MS)
    return system.finish()


def _fleet_run(
    engines: int,
    fault: Callable[[System], None],
    strategy: Strategy,
    seed: int,
    scale: float,
) -> Totals:
    """Run a share of the fleet to design for, at 90% of its capacity."""
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
            specs += _spread(
                names, prefill, decode, f"model-{model}", f"-r{number}"
            )
        regions.append(Region(names, specs, per_zone, 0.5))
    system = System(strategy, regions, seed)
    kinds = [fleet_class(model) for model in range(models)]
    rate = 0.9 * capacity_per_s(kinds, decode * models * len(zones))
    until = 45_000.0 * scale
    generator = Generator(kinds, 5_400, random.Random(seed * 7 + 1))
    system.warm(generator.prefixes())
    offered = generator.arrivals(lambda _: rate, rate, until, regions=3)
    fault(system)
    system.offer(offered, (min(WARM_MS, until / 2), until))
    system.clock.run(until + DRAIN_MS)
    return system.finish()


def _firm_scenarios(firm: Firm) -> list[Scenario]:
    def make(
        label: str,
        fault: Callable[[System], None],
        prefill: int = 2,
        decode: int = 3,
    ) -> Scenario:
        run = partial(_firm_run, firm, fault, prefill, decode, 0.9)
        return Scenario(f"{firm.name}-{label}", run, fault is not faults.none)

    return [
        make("steady", faults.none),
        make("slow-prefill", faults.slow_prefill),
        make("slow-decode", faults.slow_decode),
        make("bad-link", faults.bad_link),
        make("zone-lost", faults.zone_lost),
        make("half-gone", faults.half_gone, 4, 6),
        Scenario(f"{firm.name}-quiet-account", partial(_noisy_run, firm, 1.0)),
        Scenario(
            f"{firm.name}-noisy-account",
            partial(_noisy_run, firm, 10.0),
            True,
        ),
        Scenario(
            f"{firm.name}-clock-planned", partial(_clock_run, firm, True)
        ),
        Scenario(
            f"{firm.name}-clock-unplanned",
            partial(_clock_run, firm, False),
            True,
        ),
    ]


def fleet_scenario(engines: int) -> Scenario:
    """Scenario of a fleet with a number of engines, for ``--size``."""
    return Scenario(
        f"fleet-{engines}",
        partial(_fleet_run, engines, faults.none),
        default=False,
    )


SCENARIOS: Final = {
    s.name: s for s in _firm_scenarios(KYVADLO) + _firm_scenarios(TRUST)
}
