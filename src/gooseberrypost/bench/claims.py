"""Compares three ways of claiming on a virtual clock.

    python -m gooseberrypost.bench.claims

Every figure follows from the seed and the stated store, so that a run repeats
to the last digit. The store answers in a fixed time and takes a limited rate
of writes. An outage covers the last part of the run.
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
OWNER_MS: Final = 1.0
"""Round trip from an entry to a claim owner in its region."""
CALLER_KEYS: Final = 0.3
"""Share of calls whose caller made the key."""
SHARDS: Final = 8
LINGER_MS: Final = 20.0
GIVE_UP_MS: Final = 1_000.0
"""Wait of a claim for its write."""


class Clock:
    """Events in the order of their virtual time in milliseconds."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()

    def at(self, time_ms: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        event = (max(time_ms, self.now_ms), next(self._numbers), action)
        heapq.heappush(self._events, event)

    def run(self) -> None:
        """Run every event."""
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
        self._slot_ms = 1_000 / writes_per_s
        self._free_ms = 0.0

    @property
    def is_down(self) -> bool:
        """Whether the outage has begun."""
        return self.clock.now_ms >= self.down_from_ms

    def put(self, done: Callable[[bool], None]) -> None:
        """Write; ``done`` hears after the answer whether it took effect."""
        now_ms = self.clock.now_ms
        start_ms = max(now_ms, self._free_ms)
        if self.is_down or start_ms >= self.down_from_ms:
            end_ms = now_ms + self._latency_ms
            self.clock.at(end_ms, lambda: done(False))
            return
        self.writes += 1
        self._free_ms = start_ms + self._slot_ms
        end_ms = start_ms + self._latency_ms
        self.clock.at(end_ms, lambda: done(True))


class Call(NamedTuple):
    """One claim with its completion some time later."""

    at_ms: float
    shard: int
    minted: bool


@dataclass(slots=True)
class Outcome:
    """What the calls of one run met."""

    added_ms: list[float] = field(default_factory=list)
    """Wait of each granted claim, before the outage."""
    outage_calls: int = 0
    outage_refused: int = 0

    def add(self, call: Call, now_ms: float, granted: bool, out: bool) -> None:
        """Note one claim."""
        if out:
            self.outage_calls += 1
            self.outage_refused += not granted
        elif granted:
            self.added_ms.append(now_ms - call.at_ms)

    def percentile_ms(self, share: float) -> float:
        """Return the added latency that a share of the calls stays within."""
        ordered = sorted(self.added_ms)
        if not ordered:
            return float("nan")
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class Way(ABC):
    """One way of claiming."""

    title: str

    def __init__(self, clock: Clock, store: VirtualStore) -> None:
        self.clock = clock
        self.store = store
        self.outcome = Outcome()

    @abstractmethod
    def claim(self, call: Call) -> None:
        """Handle a call at its arrival."""

    def tell(self, call: Call, granted: bool) -> None:
        """Answer the entry."""
        out = call.at_ms >= self.store.down_from_ms
        self.outcome.add(call, self.clock.now_ms, granted, out)


class RecordPerCall(Way):
    """(a) One record for each call, written at claim and completion."""

    title = "(a) record per call"

    def claim(self, call: Call) -> None:
        """Write the record; a write that waits too long is refused."""

        def done(written: bool) -> None:
            waited_ms = self.clock.now_ms - call.at_ms
            granted = written and waited_ms <= GIVE_UP_MS
            self.tell(call, granted)
            if granted:
                self.store.put(lambda written: None)

        self.store.put(done)


class BatchPerShard(Way):
    """(b) Batches of claims and completions, one write in flight."""

    title = "(b) batches per shard"

    def __init__(self, clock: Clock, store: VirtualStore) -> None:
        super().__init__(clock, store)
        self._waiting: list[list[Call | None]] = [[] for _ in range(SHARDS)]
        self._busy = [False] * SHARDS

    def claim(self, call: Call) -> None:
        """Add to the shard's next batch, at the owner."""
        at_owner_ms = self.clock.now_ms + OWNER_MS / 2
        self.clock.at(at_owner_ms, lambda: self._add(call.shard, call))

    def _add(self, shard: int, call: Call | None) -> None:
        if call is not None and self.store.is_down:
            self.tell(call, False)
            return
        self._waiting[shard].append(call)
        if not self._busy[shard]:
            self._linger(shard)

    def _linger(self, shard: int) -> None:
        self._busy[shard] = True
        write_ms = self.clock.now_ms + LINGER_MS
        self.clock.at(write_ms, lambda: self._write(shard))

    def _write(self, shard: int) -> None:
        batch, self._waiting[shard] = self._waiting[shard], []
        self.store.put(lambda written: self._written(shard, batch, written))

    def _written(
        self, shard: int, batch: list[Call | None], written: bool
    ) -> None:
        for call in batch:
            if call is not None:
                self._grant(call, written)
        self._busy[shard] = False
        waiting = self._waiting[shard]
        if waiting and written:
            self._linger(shard)
        elif waiting:
            self._refuse_waiting(shard)

    def _refuse_waiting(self, shard: int) -> None:
        waiting, self._waiting[shard] = self._waiting[shard], []
        for call in waiting:
            if call is not None:
                self.tell(call, False)

    def _grant(self, call: Call, written: bool) -> None:
        told_ms = self.clock.now_ms + OWNER_MS / 2
        self.clock.at(told_ms, lambda: self.tell(call, written))
        if written:
            self.clock.at(told_ms, lambda: self._add(call.shard, None))


class MintedKeys(Way):
    """(c) Keys that carry owner and epoch: judged from memory."""

    title = "(c) keys with owner and epoch"

    def claim(self, call: Call) -> None:
        """Ask the owner; no write."""
        told_ms = self.clock.now_ms + OWNER_MS
        self.clock.at(told_ms, lambda: self.tell(call, True))


class Chosen(BatchPerShard):
    """(b) for keys made by callers and (c) for minted ones."""

    title = "chosen: (b) for callers' keys, (c) for minted"

    def claim(self, call: Call) -> None:
        """Take the way of the key."""
        if call.minted:
            told_ms = self.clock.now_ms + OWNER_MS
            self.clock.at(told_ms, lambda: self.tell(call, True))
        else:
            super().claim(call)


WAYS: Final = (RecordPerCall, BatchPerShard, MintedKeys, Chosen)


class Row(NamedTuple):
    """Figures of one way at one rate."""

    title: str
    rate_per_s: int
    writes_per_s: float
    p50_ms: float
    p95_ms: float
    p99_ms: float
    refused: float
    """Share of the calls refused before the outage."""
    outage_refused: float


def calls(rate_per_s: int, duration_ms: float, seed: int) -> list[Call]:
    """Poisson arrivals; equal for every way."""
    rng = random.Random(f"{seed} {rate_per_s}")
    at_ms, made = 0.0, []
    while True:
        at_ms += rng.expovariate(rate_per_s / 1_000)
        if at_ms >= duration_ms:
            return made
        shard = rng.randrange(SHARDS)
        minted = rng.random() >= CALLER_KEYS
        made.append(Call(at_ms, shard, minted))


def measure(
    way_class: type[Way],
    rate_per_s: int,
    latency_ms: float,
    writes_per_s: float,
    normal_s: int,
    outage_s: int,
    seed: int,
) -> Row:
    """Run one way at one rate, first normally and then in an outage."""
    clock = Clock()
    store = VirtualStore(clock, latency_ms, writes_per_s)
    store.down_from_ms = normal_s * 1_000.0
    way = way_class(clock, store)
    arrivals = calls(rate_per_s, (normal_s + outage_s) * 1_000.0, seed)
    for call in arrivals:
        clock.at(call.at_ms, lambda call=call: way.claim(call))
    clock.run()
    outcome = way.outcome
    normal = sum(call.at_ms < store.down_from_ms for call in arrivals)
    return Row(
        way.title,
        rate_per_s,
        store.writes / normal_s,
        outcome.percentile_ms(0.5),
        outcome.percentile_ms(0.95),
        outcome.percentile_ms(0.99),
        1 - len(outcome.added_ms) / max(1, normal),
        outcome.outage_refused / max(1, outcome.outage_calls),
    )


@click.command()
@click.option("--latency-ms", default=5.0, help="Answer time of the store.")
@click.option("--writes-per-s", default=400.0, help="Rate of the store.")
@click.option("--normal-s", default=60, help="Virtual time before the outage.")
@click.option("--outage-s", default=120, help="Virtual time of the outage.")
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
        for way_class in WAYS:
            row = measure(
                way_class,
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
