"""How many engines read prompts and how many decode.

The pools work one after the other, so that the smaller rate of the two is
the rate of the service. An engine changes its pool if that raises this rate
by ``MIN_GAIN``; the threshold also keeps engines from changing to and fro.

>>> demand = Demand(prompt=5_000, output=4_000, run_s=3.0, kv_tokens=100_000)
>>> engines = [Engine(str(n), Stage.PREFILL, 32) for n in range(3)]
>>> change = choose_change([*engines, Engine("d", Stage.DECODE, 32)], demand)
>>> change.instance, change.stage
('0', <Stage.DECODE: 'decode'>)
>>> more = [Engine("e", Stage.DECODE, 32), Engine("f", Stage.DECODE, 32)]
>>> choose_change([*engines[:2], Engine("d", Stage.DECODE, 32), *more], demand)
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from gooseberrypost.gateway.model import Stage, StageOrder

if TYPE_CHECKING:
    from collections.abc import Sequence

MIN_GAIN: Final = 1.1
"""Least ratio of the rates after and before a change.

A change takes an engine out of service for seconds and must pay for that. At
1.05 a fleet of 18 engines changed five times in a day of bursts instead of
twice, and served less.
"""
RESERVE_GAIN: Final = 1.5
"""Least ratio for a change that leaves a pool with a single engine.

The loss of that engine stops the service, while the rates vary by a third
with the load under which they were measured.
"""
RESERVE_ENGINES: Final = 2
"""Engines in a pool that keep it served when one of them is lost."""
SPARE_SHARE: Final = 0.95
"""Share of the rate that must remain while another engine changes."""
PREFILL_SHARE: Final = 0.8
"""Share of their time in which prefill engines read; at more the wait for
them takes a good part of the objective."""
MEMORY_SHARE: Final = 0.9
"""Share of an engine's memory that generations fill on average."""
DIRECT_SHARE: Final = 0.1
"""Rate at which a decode engine reads prompts beside its streams, against a
prefill engine: it has half the speed, and its streams pause meanwhile."""


@dataclass(slots=True, frozen=True)
class Engine:
    """An engine as the balance sees it."""

    instance: str
    stage: Stage
    slots: int
    prefill_ms_per_token: float = 0.02
    """Time to read without waiting."""
    load: float = 0.0
    """Work that a change would wait for; the idlest engine changes."""


@dataclass(slots=True, frozen=True)
class Demand:
    """A typical generation of the service."""

    prompt: float
    """Mean prompt in tokens."""
    output: float
    """Mean output in tokens."""
    run_s: float
    """Mean time at the decode engine."""
    kv_tokens: int
    """Memory of an engine in tokens."""


def service_rate(engines: Sequence[Engine], demand: Demand) -> float:
    """Return the generations per second that the pools can serve."""
    decode = sum(
        _decode_rate(engine, demand)
        for engine in engines
        if engine.stage is not Stage.PREFILL
    )
    prefill = sum(
        _prefill_rate(engine, demand)
        for engine in engines
        if engine.stage is Stage.PREFILL
    )
    direct = DIRECT_SHARE * sum(
        _prefill_rate(engine, demand)
        for engine in engines
        if engine.stage is not Stage.PREFILL
    )
    return min(max(prefill, direct), decode)


def choose_change(
    engines: Sequence[Engine],
    demand: Demand,
    changing: Sequence[Engine] = (),
) -> StageOrder | None:
    """Return the first change towards the best balance, if it is worth it.

    ``changing`` are engines that were ordered already, with the stage that
    they will have. A further one is ordered meanwhile only if those that
    serve lose nothing by it.
    """
    now = service_rate([*engines, *changing], demand)
    best: StageOrder | None = None
    best_rate = 0.0
    for stage in (Stage.PREFILL, Stage.DECODE):
        rate, first = _best_towards(engines, stage, demand, changing)
        if first is None or rate <= best_rate:
            continue
        if rate <= _least_gain(first, engines, changing) * now:
            continue
        if changing and not _is_spare(first, engines, demand):
            continue
        best, best_rate = StageOrder(first.instance, stage), rate
    return best


def _least_gain(
    moved: Engine, engines: Sequence[Engine], changing: Sequence[Engine]
) -> float:
    """Least ratio of the rates for which an engine leaves its pool."""
    left = sum(engine.stage is moved.stage for engine in (*engines, *changing))
    return RESERVE_GAIN if left <= RESERVE_ENGINES else MIN_GAIN


def _is_spare(
    engine: Engine, engines: Sequence[Engine], demand: Demand
) -> bool:
    """Whether the others serve as much without an engine."""
    others = [one for one in engines if one is not engine]
    now = service_rate(engines, demand)
    return service_rate(others, demand) >= SPARE_SHARE * now


def _best_towards(
    engines: Sequence[Engine],
    stage: Stage,
    demand: Demand,
    changing: Sequence[Engine],
) -> tuple[float, Engine | None]:
    """Best rate of moving some engines to a pool, and the first to move."""
    movable = sorted(
        (engine for engine in engines if engine.stage is not stage),
        key=lambda engine: (engine.load, engine.instance),
    )
    if len(movable) < len(engines):
        # The last engine of a pool stays, whatever rates were measured.
        movable = movable[:-1]
    present = {engine.instance: engine for engine in (*engines, *changing)}
    best = 0.0
    for engine in movable:
        present[engine.instance] = Engine(
            engine.instance, stage, engine.slots, engine.prefill_ms_per_token
        )
        best = max(best, service_rate(list(present.values()), demand))
    return best, movable[0] if movable else None


def _prefill_rate(engine: Engine, demand: Demand) -> float:
    took_ms = max(demand.prompt, 1) * engine.prefill_ms_per_token
    return PREFILL_SHARE * 1_000 / took_ms


def _decode_rate(engine: Engine, demand: Demand) -> float:
    held = max(demand.prompt + demand.output / 2, 1)
    fitting = MEMORY_SHARE * demand.kv_tokens / held
    return min(engine.slots, fitting) / max(demand.run_s, 0.01)
