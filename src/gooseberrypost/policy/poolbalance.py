"""Balances the engines of a service between prefill and decode.

Each generation passes both pools, so the smaller of the two rates is the rate
of the service. An engine changes its pool if that raises this rate by the
factor ``MIN_GAIN``; the threshold also provides the hysteresis that keeps
engines from switching back and forth.

>>> workload = Workload(
...     prompt_tokens=5_000, output_tokens=4_000, run_s=3.0, kv_tokens=100_000
... )
>>> prefill = [PoolEngine(n, Stage.PREFILL, 32) for n in "abc"]
>>> decode = [PoolEngine(n, Stage.DECODE, 32) for n in "def"]
>>> change = choose_stage_change([*prefill, decode[0]], workload)
>>> change.instance, change.stage
('a', <Stage.DECODE: 'decode'>)
>>> choose_stage_change([*prefill[:2], *decode], workload) is None
True
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from gooseberrypost.gateway.model import Stage, StageOrder

if TYPE_CHECKING:
    from collections.abc import Sequence

MIN_GAIN: Final = 1.1
"""Minimum ratio of the service rates after and before a change.

A change takes an engine out of service for seconds, which the gain must make
up for. At 1.05 a fleet of 18 engines changed five times instead of twice in a
day of bursts, and served less.
"""
MIN_GAIN_TO_SINGLE_ENGINE: Final = 1.5
"""Minimum ratio for a change that leaves a pool with a single engine.

The loss of that engine would stop the service, and observed rates vary by a
third with the load.
"""
REDUNDANT_POOL_ENGINES: Final = 2
"""Smallest pool that still has an engine after the loss of one."""
MIN_REMAINING_SHARE: Final = 0.95
"""Share of the service rate that must remain for a concurrent change."""
PREFILL_UTILIZATION: Final = 0.8
"""Target utilization of prefill engines.

Above it, queueing takes a large part of the time-to-first-token objective.
"""
MEMORY_UTILIZATION: Final = 0.9
"""Share of an engine's KV cache memory that runs fill on average."""
DECODE_PREFILL_RATE_SHARE: Final = 0.1
"""Prefill rate of a decode engine, as a share of a prefill engine's rate.

A decode engine prefills at half the speed, and its streams pause meanwhile.
"""


@dataclass(slots=True, frozen=True)
class PoolEngine:
    """An engine of one of the pools, or one that is about to join it."""

    instance: str
    stage: Stage
    slots: int
    prefill_ms_per_token: float = 0.02
    """Prefill time without queueing."""
    load: float = 0.0
    """Work to finish before a change; the least loaded engine changes first.

    Only the order of values matters.
    """


@dataclass(slots=True, frozen=True)
class Workload:
    """Mean generation of a service, and the memory of its engines."""

    prompt_tokens: float
    """Mean prompt length."""
    output_tokens: float
    """Mean output length."""
    run_s: float
    """Mean time of a generation at its decode engine."""
    kv_tokens: int
    """KV cache capacity of an engine."""


def service_rate(engines: Sequence[PoolEngine], workload: Workload) -> float:
    """Return the generations per second that the pools can serve.

    With too few prefill engines, the decode engines prefill prompts instead.
    """
    decode = sum(
        _decode_rate(engine, workload)
        for engine in engines
        if engine.stage is not Stage.PREFILL
    )
    prefill = sum(
        _prefill_rate(engine, workload)
        for engine in engines
        if engine.stage is Stage.PREFILL
    )
    decode_prefill = DECODE_PREFILL_RATE_SHARE * sum(
        _prefill_rate(engine, workload)
        for engine in engines
        if engine.stage is not Stage.PREFILL
    )
    return min(max(prefill, decode_prefill), decode)


def choose_stage_change(
    engines: Sequence[PoolEngine],
    workload: Workload,
    changing: Sequence[PoolEngine] = (),
) -> StageOrder | None:
    """Return the first change towards the best balance, None if none is due.

    ``changing`` are engines that are already changing their pool, with the
    stage that they will have. A further change is started meanwhile only if
    the engines in service keep ``MIN_REMAINING_SHARE`` of their rate.
    """
    now = service_rate([*engines, *changing], workload)
    best: StageOrder | None = None
    best_rate = 0.0
    for stage in (Stage.PREFILL, Stage.DECODE):
        rate, first = _best_rate_towards(engines, stage, workload, changing)
        if first is None or rate <= best_rate:
            continue
        if rate <= _required_gain(first, engines, changing) * now:
            continue
        if changing and not _can_spare(first, engines, workload):
            continue
        best, best_rate = StageOrder(first.instance, stage), rate
    return best


def _required_gain(
    moved: PoolEngine,
    engines: Sequence[PoolEngine],
    changing: Sequence[PoolEngine],
) -> float:
    """Minimum ratio of the service rates for an engine to leave its pool."""
    left = sum(engine.stage is moved.stage for engine in (*engines, *changing))
    return (
        MIN_GAIN_TO_SINGLE_ENGINE
        if left <= REDUNDANT_POOL_ENGINES
        else MIN_GAIN
    )


def _can_spare(
    engine: PoolEngine, engines: Sequence[PoolEngine], workload: Workload
) -> bool:
    """Whether the others keep ``MIN_REMAINING_SHARE`` of the service rate."""
    remaining = [other for other in engines if other is not engine]
    now = service_rate(engines, workload)
    return service_rate(remaining, workload) >= MIN_REMAINING_SHARE * now


def _best_rate_towards(
    engines: Sequence[PoolEngine],
    stage: Stage,
    workload: Workload,
    changing: Sequence[PoolEngine],
) -> tuple[float, PoolEngine | None]:
    """Best rate after moving engines to a stage, and the first one to move."""
    movable = sorted(
        (engine for engine in engines if engine.stage is not stage),
        key=lambda engine: (engine.load, engine.instance),
    )
    if len(movable) < len(engines):
        # The last engine of a pool stays, whatever rates were observed.
        movable = movable[:-1]
    present = {engine.instance: engine for engine in (*engines, *changing)}
    best = 0.0
    for engine in movable:
        present[engine.instance] = PoolEngine(
            engine.instance, stage, engine.slots, engine.prefill_ms_per_token
        )
        best = max(best, service_rate(list(present.values()), workload))
    return best, movable[0] if movable else None


def _prefill_rate(engine: PoolEngine, workload: Workload) -> float:
    took_ms = max(workload.prompt_tokens, 1) * engine.prefill_ms_per_token
    return PREFILL_UTILIZATION * 1_000 / took_ms


def _decode_rate(engine: PoolEngine, workload: Workload) -> float:
    mean_tokens = max(workload.prompt_tokens + workload.output_tokens / 2, 1)
    fitting_runs = MEMORY_UTILIZATION * workload.kv_tokens / mean_tokens
    return min(engine.slots, fitting_runs) / max(workload.run_s, 0.01)
