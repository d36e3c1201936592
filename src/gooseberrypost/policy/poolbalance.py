"""Balances the engines of a service between prefill and decode.

Each generation passes both pools, so the smaller of the two rates is the rate
of the service. An engine changes its pool if that raises this rate by the
factor ``MIN_GAIN``; the threshold also provides the hysteresis that keeps
engines from switching back and forth.

>>> workload = Workload(
...     prompt_tokens=5_000,
...     output_tokens=4_000,
...     run_s=3.0,
...     kv_tokens=100_000,
...     first_event_s=0.9,
... )
>>> prefill = [PoolEngine(n, Stage.PREFILL, 32, 0.02) for n in "abc"]
>>> decode = [PoolEngine(n, Stage.DECODE, 32, 0.02) for n in "def"]
>>> change = choose_stage_change([*prefill, decode[0]], workload)
>>> change.instance, change.stage
('a', <Stage.DECODE: 'decode'>)
>>> choose_stage_change([*prefill[:2], *decode], workload) is None
True
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from gooseberrypost.gateway.model import Stage, StageOrder

if TYPE_CHECKING:
    from collections.abc import Sequence

MIN_GAIN: Final = 1.15
"""Minimum ratio of the service rates after and before a change.

A change takes an engine out of service for seconds, which the gain must make
up for, and the workload is estimated to about a tenth.
"""
MIN_GAIN_IN_OVERLOAD: Final = 1.05
"""Minimum ratio while more generations arrive than the pools can serve."""
MIN_GAIN_TO_SINGLE_ENGINE: Final = 1.5
"""Minimum ratio for a change that leaves a pool with a single engine.

The loss of that engine would stop the service, and observed rates vary by a
third with the load.
"""
REDUNDANT_POOL_ENGINES: Final = 2
"""Smallest pool that still has an engine after the loss of one."""
MAX_UTILIZATION: Final = 0.5
"""Share of the service rate up to which no engine changes its pool.

Below it a higher rate gains nothing, and the change takes an engine away.
"""
MIN_REMAINING_SHARE: Final = 0.95
"""Share of the service rate that must remain for a concurrent change."""
LATE_SHARE: Final = 0.25
"""Share of first events that may miss their objective at the rated load.

The pools are compared by the load at which each begins to miss it.
"""
QUEUEING_TIME_SHARE: Final = 0.8
"""Share of the first-event objective for queueing and prefill.

Reservation, transfer of the KV cache and the first token take the rest.
"""
PROMPTS_PER_CLUMP: Final = 2
"""Prompts that typically arrive together; the last one waits for the rest."""
MIN_UTILIZATION: Final = 0.05
"""Lower bound, for prompts that take longer than the objective allows."""
BISECTION_STEPS: Final = 12
"""The rated utilization is found to less than 0.001."""
MIN_RUN_S: Final = 0.01
"""Lower bound of the time of a run, which is used as a divisor."""
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
    prefill_ms_per_token: float
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
    first_event_s: float
    """Objective for the time to the first event."""
    demand_per_s: float = math.inf
    """Generations per second that arrive."""


def service_rate(engines: Sequence[PoolEngine], workload: Workload) -> float:
    """Return the generations per second that the pools can serve.

    With too few prefill engines, the decode engines prefill prompts instead.
    """
    prefill_pool = [
        engine for engine in engines if engine.stage is Stage.PREFILL
    ]
    decode_pool = [
        engine for engine in engines if engine.stage is not Stage.PREFILL
    ]
    prefill = prefill_pool_rate(prefill_pool, workload)
    decode = _decode_pool_rate(decode_pool, workload)
    decode_prefill = DECODE_PREFILL_RATE_SHARE * sum(
        _prefill_rate(engine, workload) for engine in decode_pool
    )
    return min(max(prefill, decode_prefill), decode)


def choose_stage_change(
    engines: Sequence[PoolEngine],
    workload: Workload,
    changing: Sequence[PoolEngine] = (),
) -> StageOrder | None:
    """Return the first change towards the best balance, None if none is due.

    ``changing`` are engines that are already changing their pool, with the
    stage that they will have. No change is due while both pools have an engine
    and the demand leaves a reserve. A further change is started meanwhile only
    if the engines in service keep ``MIN_REMAINING_SHARE`` of their rate.
    """
    now = service_rate([*engines, *changing], workload)
    stages = {engine.stage for engine in (*engines, *changing)}
    if len(stages) > 1 and workload.demand_per_s <= MAX_UTILIZATION * now:
        return None
    best: StageOrder | None = None
    best_rate = 0.0
    for stage in (Stage.PREFILL, Stage.DECODE):
        rate, first = _best_rate_towards(engines, stage, workload, changing)
        if first is None or rate <= best_rate:
            continue
        is_overloaded = now < workload.demand_per_s < math.inf
        if rate <= now * _required_gain(
            first, engines, changing, is_overloaded=is_overloaded
        ):
            continue
        if changing and not _can_spare(first, engines, workload):
            continue
        best, best_rate = StageOrder(first.instance, stage), rate
    return best


def _required_gain(
    moved: PoolEngine,
    engines: Sequence[PoolEngine],
    changing: Sequence[PoolEngine],
    *,
    is_overloaded: bool,
) -> float:
    """Return the minimum ratio of the rates for an engine to leave its pool.

    It is higher where the change would leave a single engine in a pool while
    the other pool has several.
    """
    present = (*engines, *changing)
    own_pool = sum(engine.stage is moved.stage for engine in present)
    other_pool = len(present) - own_pool
    if own_pool <= REDUNDANT_POOL_ENGINES and other_pool > 1:
        return MIN_GAIN_TO_SINGLE_ENGINE
    return MIN_GAIN_IN_OVERLOAD if is_overloaded else MIN_GAIN


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


def prefill_pool_rate(
    engines: Sequence[PoolEngine],
    workload: Workload,
    late_share: float = LATE_SHARE,
) -> float:
    """Return the rate at which ``late_share`` of the prompts are late."""
    if not engines:
        return 0.0
    rates = [_prefill_rate(engine, workload) for engine in engines]
    prefill_s = len(rates) / sum(rates)
    clump_s = (PROMPTS_PER_CLUMP - 1) * prefill_s / math.sqrt(len(rates))
    slack_s = _queueing_time_s(workload, prefill_s) - clump_s
    return sum(rates) * rated_utilization(
        len(rates), prefill_s, slack_s, late_share
    )


def _decode_pool_rate(
    engines: Sequence[PoolEngine], workload: Workload
) -> float:
    """Return the rate at which a pool has memory for new runs in time."""
    runs = sum(_fitting_runs(engine, workload) for engine in engines)
    if not runs:
        return 0.0
    run_s = max(workload.run_s, MIN_RUN_S)
    rates = [_prefill_rate(engine, workload) for engine in engines]
    slack_s = _queueing_time_s(workload, len(rates) / sum(rates))
    return runs / run_s * rated_utilization(runs, run_s, slack_s)


def _queueing_time_s(workload: Workload, prefill_s: float) -> float:
    """Return the time that a generation may queue beside its prefill."""
    return QUEUEING_TIME_SHARE * workload.first_event_s - prefill_s


def rated_utilization(
    servers: float,
    service_s: float,
    slack_s: float,
    late_share: float = LATE_SHARE,
) -> float:
    """Return the utilization at which ``late_share`` of requests are late.

    ``service_s`` is the time that a request takes one of ``servers``, and
    ``slack_s`` the time that it may wait before. The probability to wait at
    all is the Halfin-Whitt approximation of the Erlang C formula; waits are
    distributed exponentially. Many servers can be used more than a few.

    >>> [round(rated_utilization(n, 0.15, 0.6), 2) for n in (1, 2, 4, 30)]
    [0.74, 0.86, 0.93, 0.99]
    """
    low, high = MIN_UTILIZATION, 1.0
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2
        spare = servers * (1 - middle)
        late = _wait_probability(spare / math.sqrt(servers)) * math.exp(
            -spare * max(slack_s, 0.0) / service_s
        )
        if late > late_share:
            high = middle
        else:
            low = middle
    return low


def _wait_probability(reserve: float) -> float:
    """Return the probability to wait.

    ``reserve`` is the spare capacity in standard deviations of the load.
    """
    density = math.exp(-reserve * reserve / 2) / math.sqrt(2 * math.pi)
    if not density:
        return 0.0
    below = 0.5 * math.erfc(-reserve / math.sqrt(2))
    return 1 / (1 + reserve * below / density)


def _prefill_rate(engine: PoolEngine, workload: Workload) -> float:
    """Prefills per second of an engine that is never idle."""
    took_ms = max(workload.prompt_tokens, 1) * engine.prefill_ms_per_token
    return 1_000 / took_ms


def _fitting_runs(engine: PoolEngine, workload: Workload) -> float:
    """Return the number of runs that an engine has slots and memory for."""
    mean_tokens = workload.prompt_tokens + workload.output_tokens / 2
    fitting = MEMORY_UTILIZATION * workload.kv_tokens / max(mean_tokens, 1)
    return min(engine.slots, fitting)
