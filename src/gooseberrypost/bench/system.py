"""The system under the bench: zones, engines, entries and what is lost."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Final

from gooseberrypost.bench.clock import VirtualClock
from gooseberrypost.bench.engines import FakeEngine
from gooseberrypost.bench.entry import Entry
from gooseberrypost.bench.flow import Flow
from gooseberrypost.bench.parts import EngineSpec, PrefillJob
from gooseberrypost.state.records import EngineRole

if TYPE_CHECKING:
    from gooseberrypost.bench.strategy import Strategy
    from gooseberrypost.bench.workload import Offered

SAME_ZONE_MS: Final = 0.1
REPORT_INTERVAL_MS: Final = 1_000
REPORT_LAG_MS: Final = 250
POLL_MS: Final = 500
HINT_LAG_MS: Final = (200, 1_000)
HINT_GAP_SHARE: Final = 0.1
"""Share of cache events that are never delivered."""
SILENCE_MS: Final = 100
"""Time after which an unanswered message counts as lost."""
LOAD_MODEL_MS: Final = 3_000
RESEND_MS: Final = 500
MAX_RESENDS: Final = 3


@dataclass(slots=True)
class Region:
    """A region: its zones, engines and number of entries per zone."""

    zones: list[str]
    engines: list[EngineSpec]
    entries_per_zone: int
    cross_zone_ms: float


@dataclass(slots=True)
class Totals:
    """What one run measured."""

    offered: int = 0
    good: int = 0
    by_outcome: dict[str, int] = field(default_factory=dict)
    first_token_ms: list[float] = field(default_factory=list)
    gap_ms: list[float] = field(default_factory=list)
    computed: float = 0.0
    wasted: float = 0.0
    oversold: int = 0
    """Engines that ever held more than their slots."""
    waited_over: int = 0
    """Answers to requests that can wait which came after that time."""


class System:
    """Everything that one run consists of."""

    def __init__(
        self, strategy: Strategy, regions: list[Region], seed: int
    ) -> None:
        self.clock = VirtualClock()
        self.strategy = strategy
        self.rng = random.Random(seed)
        self.engines: dict[str, FakeEngine] = {}
        self.entries: list[Entry] = []
        self.jobs: list[tuple[Flow, PrefillJob]] = []
        self.epoch = 0
        self.silence_ms = SILENCE_MS
        self.resends = False
        self.totals = Totals()
        self._number = 0
        self._cross_ms: dict[str, float] = {}
        self._region_of: dict[str, int] = {}
        self._pools: dict[tuple[str, str, int], list[FakeEngine]] = {}
        self._hints: dict[tuple[str, int], int] = {}
        for number, region in enumerate(regions):
            self._add_region(number, region)
        if not strategy.admits:
            self.clock.at(0, self._report)
        self.clock.at(POLL_MS, self._poll)

    def _add_region(self, number: int, region: Region) -> None:
        for zone in region.zones:
            self._cross_ms[zone] = region.cross_zone_ms
            for index in range(region.entries_per_zone):
                rng = random.Random(self.rng.getrandbits(64))
                name = f"entry-{zone}-{index}"
                self.entries.append(Entry(self, name, zone, number, rng))
        for spec in region.engines:
            engine = FakeEngine(self.clock, spec)
            engine.on_cache = self._cache_event
            self.engines[spec.name] = engine
            self._region_of[spec.name] = number

    def next_number(self) -> int:
        """Return a number that no job or hold had before."""
        self._number += 1
        return self._number

    def latency(self, zone: str, other: str) -> float:
        """One-way time of a message, in ms."""
        return SAME_ZONE_MS if zone == other else self._cross_ms[zone]

    def pool(self, model: str, role: str, region: int) -> list[FakeEngine]:
        """Engines with a role and model in a region."""
        key = (model, role, region)
        if key not in self._pools:
            self._pools[key] = [
                e
                for e in self.engines.values()
                if e.spec.role == role
                and e.spec.model == model
                and self._region_of[e.spec.name] == region
            ]
        return self._pools[key]

    def changed(self) -> None:
        """Make every entry choose its engines anew."""
        self.epoch += 1
        self._pools = {}

    # Requests -------------------------------------------------------------

    def offer(
        self,
        offered: list[Offered],
        measured: tuple[float, float],
        only_others: str = "",
    ) -> None:
        """Schedule requests; those that arrive in the window are measured."""
        for item in offered:
            counts = (
                measured[0] <= item.arrived < measured[1]
                and item.account != only_others
            )
            self.clock.at(
                item.arrived, lambda i=item, c=counts: self._arrive(i, c)
            )

    def _arrive(self, offered: Offered, measured: bool) -> None:
        live = [
            e for e in self.entries if e.alive and e.region == offered.region
        ]
        entry = self.rng.choice(live)
        entry.arrive(Flow(entry, offered, measured))

    def ended(self, flow: Flow, retry_after_ms: int | None) -> None:
        """Count an ended request; callers may send a refused one again."""
        if flow.measured:
            self._count(flow)
        resend = flow.outcome in ("refused", "lost")
        if self.resends and resend and flow.resend < MAX_RESENDS:
            wait = max(RESEND_MS, retry_after_ms or 0)
            wait *= 0.5 + self.rng.random()
            self.clock.after(wait, lambda: self._resend(flow))

    def _resend(self, flow: Flow) -> None:
        again = replace(
            flow.offered, number=-self.next_number(), arrived=self.clock.now
        )
        entry = self.rng.choice([e for e in self.entries if e.alive])
        resent = Flow(entry, again, measured=False)
        resent.resend = flow.resend + 1
        entry.arrive(resent)

    def _count(self, flow: Flow) -> None:
        totals, kind = self.totals, flow.offered.kind
        arrived = flow.offered.arrived
        totals.offered += 1
        outcome = flow.outcome
        if outcome == "completed":
            first = flow.first_token - arrived
            whole = flow.completed - arrived
            totals.first_token_ms.append(first)
            tokens = max(1, flow.offered.output - 1)
            totals.gap_ms.append((flow.completed - flow.first_token) / tokens)
            due = max(kind.first_token_ms, kind.max_wait_ms)
            if first <= due and whole <= kind.answer_ms:
                totals.good += 1
            else:
                outcome = "completed_late"
            if 0 < kind.max_wait_ms < first:
                totals.waited_over += 1
        counts = totals.by_outcome
        counts[outcome] = counts.get(outcome, 0) + 1

    def finish(self) -> Totals:
        """Sum up the run."""
        totals = self.totals
        for _, job in self.jobs:
            totals.computed += job.computed
            if not job.used:
                totals.wasted += job.computed
        totals.oversold = sum(
            e.slots_peak > e.spec.slots for e in self.engines.values()
        )
        return totals

    # Reports and hints ----------------------------------------------------

    def _poll(self) -> None:
        for engine in self.engines.values():
            if engine.alive:
                engine.poll()
        self.clock.after(POLL_MS, self._poll)

    def _report(self) -> None:
        views = {name: e.view() for name, e in self.engines.items() if e.alive}

        def deliver() -> None:
            for entry in self.entries:
                entry.views = views

        self.clock.after(REPORT_LAG_MS, deliver)
        self.clock.after(REPORT_INTERVAL_MS, self._report)

    def _cache_event(
        self, engine: FakeEngine, prefix: int, tokens: int
    ) -> None:
        if self.rng.random() < HINT_GAP_SHARE:
            return
        key = (engine.spec.name, prefix)

        def deliver() -> None:
            self._hints[key] = tokens

        self.clock.after(self.rng.uniform(*HINT_LAG_MS), deliver)

    def warm(self, prefixes: list[tuple[str, int, int]]) -> None:
        """Cache each prefix on one prefill engine of each region."""
        regions = sorted(set(self._region_of.values()))
        for number, (model, prefix, tokens) in enumerate(prefixes):
            for region in regions:
                pool = self.pool(model, EngineRole.PREFILL, region)
                engine = pool[number % len(pool)]
                engine.cache.touch(prefix, tokens)
                self._hints[engine.spec.name, prefix] = tokens

    def cached_hint(self, engine: FakeEngine, prefix: int) -> int:
        """Tokens of a prefix believed to be cached; exact for the bound."""
        if self.strategy.omniscient:
            return engine.cache.tokens(prefix)
        return self._hints.get((engine.spec.name, prefix), 0)

    # Role changes ---------------------------------------------------------

    def set_role(self, engine: FakeEngine, role: str, model: str) -> None:
        """Drain an engine, then load a model in another role."""
        engine.draining = True
        if not engine.is_idle():
            self.clock.after(100, lambda: self.set_role(engine, role, model))
            return

        def loaded() -> None:
            engine.assign(role, model)
            self.changed()

        self.clock.after(LOAD_MODEL_MS, loaded)
