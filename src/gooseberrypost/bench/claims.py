"""Compares strategies for claiming idempotency keys on a virtual clock.

    python -m gooseberrypost.bench.claims

A run is deterministic: every figure depends only on the seed and the
parameters of the simulated store. The store has a fixed latency and a limited
write rate, and is unavailable in the last part of the run.
"""

from __future__ import annotations

import heapq
import random
from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from itertools import count
from typing import TYPE_CHECKING, Final, NamedTuple

import click

if TYPE_CHECKING:
    from collections.abc import Callable

RATES_PER_S: Final = (20, 200, 930)
"""Arrival rates of calls to measure."""
OWNER_ROUND_TRIP_MS: Final = 1.0
"""Round trip from an entry to a claim owner in its region."""
CALLER_KEY_SHARE: Final = 0.3
"""Share of calls with a key that the caller generated."""
SHARDS: Final = 8
LINGER_MS: Final = 20.0
"""Time that a batch collects claims before it is written."""
WRITE_TIMEOUT_MS: Final = 1_000.0
"""Longest wait of a claim for its write before it is refused."""


class Clock:
    """Event queue ordered by virtual time in milliseconds."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count()

    def call_at(self, time_ms: float, action: Callable[[], None]) -> None:
        """Schedule an action; a time in the past is treated as now."""
        event = (max(time_ms, self.now_ms), next(self._sequence), action)
        heapq.heappush(self._events, event)

    def run(self) -> None:
        """Run events until none is left."""
        while self._events:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()


class VirtualStore:
    """Key-value service with a fixed latency and a limited write rate."""

    def __init__(
        self, clock: Clock, latency_ms: float, writes_per_s: float
    ) -> None:
        self.clock = clock
        self.writes = 0
        self.down_from_ms = float("inf")
        self._latency_ms = latency_ms
        self._write_interval_ms = 1_000 / writes_per_s
        self._next_write_ms = 0.0

    @property
    def is_down(self) -> bool:
        """Whether the outage has begun."""
        return self.clock.now_ms >= self.down_from_ms

    def put(self, done: Callable[[bool], None]) -> None:
        """Write; ``done`` is called with whether the write succeeded."""
        now_ms = self.clock.now_ms
        start_ms = max(now_ms, self._next_write_ms)
        if self.is_down or start_ms >= self.down_from_ms:
            end_ms = now_ms + self._latency_ms
            self.clock.call_at(end_ms, lambda: done(False))
            return
        self.writes += 1
        self._next_write_ms = start_ms + self._write_interval_ms
        end_ms = start_ms + self._latency_ms
        self.clock.call_at(end_ms, lambda: done(True))


class Call(NamedTuple):
    """One call, which claims its key on arrival.

    ``minted`` keys are issued by the system, others by the caller.
    """

    at_ms: float
    shard: int
    minted: bool


@dataclass(slots=True)
class ClaimResults:
    """Latencies and refusals of the claims of one run."""

    latencies_ms: list[float] = field(default_factory=list)
    """Latency that each claim granted before the outage added to its call."""
    outage_calls: int = 0
    outage_refused: int = 0

    def add(
        self, call: Call, now_ms: float, granted: bool, in_outage: bool
    ) -> None:
        """Record the result of one claim."""
        if in_outage:
            self.outage_calls += 1
            self.outage_refused += not granted
        elif granted:
            self.latencies_ms.append(now_ms - call.at_ms)

    def percentile_ms(self, share: float) -> float:
        """Return a percentile of the claim latency; ``share`` is 0 to 1."""
        ordered = sorted(self.latencies_ms)
        if not ordered:
            return float("nan")
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class ClaimStrategy(ABC):
    """Strategy for granting claims."""

    title: str

    def __init__(self, clock: Clock, store: VirtualStore) -> None:
        self.clock = clock
        self.store = store
        self.results = ClaimResults()

    @abstractmethod
    def claim(self, call: Call) -> None:
        """Handle the claim of a call on its arrival."""

    def answer(self, call: Call, granted: bool) -> None:
        """Record the answer that the entry gets at the current time."""
        in_outage = call.at_ms >= self.store.down_from_ms
        self.results.add(call, self.clock.now_ms, granted, in_outage)


class RecordPerCall(ClaimStrategy):
    """(a) One record per call, written at its claim and its completion."""

    title = "(a) record per call"

    def claim(self, call: Call) -> None:
        """Write the record; refuses the claim if the write takes too long."""

        def done(written: bool) -> None:
            waited_ms = self.clock.now_ms - call.at_ms
            granted = written and waited_ms <= WRITE_TIMEOUT_MS
            self.answer(call, granted)
            if granted:
                self.store.put(lambda written: None)

        self.store.put(done)


class BatchPerShard(ClaimStrategy):
    """(b) Batched claims and completions, one write in flight per shard."""

    title = "(b) batches per shard"

    def __init__(self, clock: Clock, store: VirtualStore) -> None:
        super().__init__(clock, store)
        self._waiting: list[list[Call | None]] = [[] for _ in range(SHARDS)]
        self._write_pending = [False] * SHARDS

    def claim(self, call: Call) -> None:
        """Add the claim to the next batch of its shard at the claim owner."""
        at_owner_ms = self.clock.now_ms + OWNER_ROUND_TRIP_MS / 2
        self.clock.call_at(at_owner_ms, lambda: self._add(call.shard, call))

    def _add(self, shard: int, call: Call | None) -> None:
        if call is not None and self.store.is_down:
            self.answer(call, False)
            return
        self._waiting[shard].append(call)
        if not self._write_pending[shard]:
            self._linger(shard)

    def _linger(self, shard: int) -> None:
        self._write_pending[shard] = True
        write_ms = self.clock.now_ms + LINGER_MS
        self.clock.call_at(write_ms, lambda: self._write(shard))

    def _write(self, shard: int) -> None:
        batch, self._waiting[shard] = self._waiting[shard], []
        self.store.put(lambda written: self._written(shard, batch, written))

    def _written(
        self, shard: int, batch: list[Call | None], written: bool
    ) -> None:
        for call in batch:
            if call is not None:
                self._grant(call, written)
        self._write_pending[shard] = False
        waiting = self._waiting[shard]
        if waiting and written:
            self._linger(shard)
        elif waiting:
            self._refuse_waiting(shard)

    def _refuse_waiting(self, shard: int) -> None:
        waiting, self._waiting[shard] = self._waiting[shard], []
        for call in waiting:
            if call is not None:
                self.answer(call, False)

    def _grant(self, call: Call, written: bool) -> None:
        answered_ms = self.clock.now_ms + OWNER_ROUND_TRIP_MS / 2
        self.clock.call_at(answered_ms, lambda: self.answer(call, written))
        if written:
            self.clock.call_at(
                answered_ms, lambda: self._add(call.shard, None)
            )


class MintedKeys(ClaimStrategy):
    """(c) Minted keys with owner and epoch, checked in memory."""

    title = "(c) keys with owner and epoch"

    def claim(self, call: Call) -> None:
        """Ask the owner, which grants the claim without a write."""
        answered_ms = self.clock.now_ms + OWNER_ROUND_TRIP_MS
        self.clock.call_at(answered_ms, lambda: self.answer(call, True))


class MixedKeys(BatchPerShard):
    """Combination of (b) for callers' keys and (c) for minted keys."""

    title = "chosen: (b) for callers' keys, (c) for minted"

    def claim(self, call: Call) -> None:
        """Use the strategy for the kind of key."""
        if call.minted:
            answered_ms = self.clock.now_ms + OWNER_ROUND_TRIP_MS
            self.clock.call_at(answered_ms, lambda: self.answer(call, True))
        else:
            super().claim(call)


CLAIM_STRATEGIES: Final = (RecordPerCall, BatchPerShard, MintedKeys, MixedKeys)


class ResultRow(NamedTuple):
    """Figures of one strategy at one rate."""

    title: str
    rate_per_s: int
    writes_per_s: float
    p50_ms: float
    p95_ms: float
    p99_ms: float
    refused: float
    """Share of calls refused before the outage."""
    outage_refused: float


def poisson_calls(
    rate_per_s: int, duration_ms: float, seed: int
) -> list[Call]:
    """Generate Poisson arrivals; they are the same for every strategy."""
    rng = random.Random(f"{seed} {rate_per_s}")
    at_ms, made = 0.0, []
    while True:
        at_ms += rng.expovariate(rate_per_s / 1_000)
        if at_ms >= duration_ms:
            return made
        shard = rng.randrange(SHARDS)
        minted = rng.random() >= CALLER_KEY_SHARE
        made.append(Call(at_ms, shard, minted))


def measure(
    strategy_class: type[ClaimStrategy],
    rate_per_s: int,
    latency_ms: float,
    writes_per_s: float,
    normal_s: int,
    outage_s: int,
    seed: int,
) -> ResultRow:
    """Run a strategy at one rate, first normally and then in an outage."""
    clock = Clock()
    store = VirtualStore(clock, latency_ms, writes_per_s)
    store.down_from_ms = normal_s * 1_000.0
    strategy = strategy_class(clock, store)
    arrivals = poisson_calls(rate_per_s, (normal_s + outage_s) * 1_000.0, seed)
    for call in arrivals:
        clock.call_at(call.at_ms, lambda call=call: strategy.claim(call))
    clock.run()
    results = strategy.results
    calls_before_outage = sum(
        call.at_ms < store.down_from_ms for call in arrivals
    )
    return ResultRow(
        strategy.title,
        rate_per_s,
        store.writes / normal_s,
        results.percentile_ms(0.5),
        results.percentile_ms(0.95),
        results.percentile_ms(0.99),
        1 - len(results.latencies_ms) / max(1, calls_before_outage),
        results.outage_refused / max(1, results.outage_calls),
    )


@click.command()
@click.option("--latency-ms", default=5.0, help="Latency of the store.")
@click.option("--writes-per-s", default=400.0, help="Write rate of the store.")
@click.option("--normal-s", default=60, help="Virtual time before the outage.")
@click.option(
    "--outage-s", default=120, help="Virtual duration of the outage."
)
@click.option("--seed", default=1)
def main(
    latency_ms: float,
    writes_per_s: float,
    normal_s: int,
    outage_s: int,
    seed: int,
) -> None:
    """Print the comparison as a Markdown table."""
    click.echo(
        "| way | calls/s | writes/s | p50 ms | p95 ms | p99 ms "
        "| refused | refused in outage |"
    )
    click.echo("|---|---|---|---|---|---|---|---|")
    for rate_per_s in RATES_PER_S:
        for strategy_class in CLAIM_STRATEGIES:
            row = measure(
                strategy_class,
                rate_per_s,
                latency_ms,
                writes_per_s,
                normal_s,
                outage_s,
                seed,
            )
            click.echo(
                f"| {row.title} | {row.rate_per_s} | {row.writes_per_s:.1f} "
                f"| {row.p50_ms:.1f} | {row.p95_ms:.1f} | {row.p99_ms:.1f} "
                f"| {row.refused:.1%} | {row.outage_refused:.1%} |"
            )


if __name__ == "__main__":
    main()
