"""Discrete-event simulation of regions, entries, engines and requests.

Load reports and cache events reach the entries late, and some cache events
are lost.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Final

from gooseberrypost.bench.clock import VirtualClock
from gooseberrypost.bench.engines import SimulatedEngine
from gooseberrypost.bench.enginetypes import EngineSpec, PrefillJob
from gooseberrypost.bench.entry import Entry
from gooseberrypost.bench.request import SimulatedRequest
from gooseberrypost.state.records import EngineRole

if TYPE_CHECKING:
    from gooseberrypost.bench.strategy import Strategy
    from gooseberrypost.bench.workload import OfferedRequest

SAME_ZONE_LATENCY_MS: Final = 0.1
"""One-way message latency within an availability zone."""
LOAD_REPORT_INTERVAL_MS: Final = 1_000
"""Interval of load broadcasts, used by strategies without admission."""
LOAD_REPORT_LAG_MS: Final = 250
ENGINE_POLL_INTERVAL_MS: Final = 500
CACHE_EVENT_LAG_MS: Final = (200, 1_000)
"""Range of the delivery delay of cache events."""
CACHE_EVENT_LOSS_SHARE: Final = 0.1
"""Share of cache events that are never delivered."""
REPLY_TIMEOUT_MS: Final = 100
"""Time after which a message without a reply counts as lost."""
MODEL_LOAD_MS: Final = 3_000
"""Time that an engine takes to load a model in a role change."""
MIN_RESEND_DELAY_MS: Final = 500
MAX_RESENDS: Final = 3


@dataclass(slots=True)
class Region:
    """A region: its zones, engines and number of entries per zone."""

    zones: list[str]
    engines: list[EngineSpec]
    entries_per_zone: int
    cross_zone_latency_ms: float


@dataclass(slots=True)
class RunTotals:
    """Counts and samples collected over one run."""

    offered: int = 0
    within_targets: int = 0
    by_outcome: dict[str, int] = field(default_factory=dict)
    first_token_ms: list[float] = field(default_factory=list)
    token_gap_ms: list[float] = field(default_factory=list)
    computed_tokens: float = 0.0
    wasted_tokens: float = 0.0
    oversold_engines: int = 0
    """Engines that exceeded their number of slots at any time."""
    served_after_max_wait: int = 0
    """Requests whose first token came after their maximum wait."""


class Simulation:
    """Simulated deployment of one run, on one virtual clock."""

    def __init__(
        self, strategy: Strategy, regions: list[Region], seed: int
    ) -> None:
        self.clock = VirtualClock()
        self.strategy = strategy
        self.rng = random.Random(seed)
        self.engines: dict[str, SimulatedEngine] = {}
        self.entries: list[Entry] = []
        self.jobs: list[tuple[SimulatedRequest, PrefillJob]] = []
        self.pool_epoch = 0
        self.reply_timeout_ms = REPLY_TIMEOUT_MS
        self.callers_resend = False
        self.totals = RunTotals()
        self._last_id = 0
        self._cross_zone_latency_ms: dict[str, float] = {}
        self._region_of: dict[str, int] = {}
        self._pools: dict[tuple[str, str, int], list[SimulatedEngine]] = {}
        self._cache_hints: dict[tuple[str, int], int] = {}
        for number, region in enumerate(regions):
            self._add_region(number, region)
        if not strategy.admits:
            self.clock.call_at(0, self._broadcast_load)
        self.clock.call_at(ENGINE_POLL_INTERVAL_MS, self._poll_engines)

    def _add_region(self, number: int, region: Region) -> None:
        for zone in region.zones:
            self._cross_zone_latency_ms[zone] = region.cross_zone_latency_ms
            for index in range(region.entries_per_zone):
                rng = random.Random(self.rng.getrandbits(64))
                name = f"entry-{zone}-{index}"
                self.entries.append(Entry(self, name, zone, number, rng))
        for spec in region.engines:
            engine = SimulatedEngine(self.clock, spec)
            engine.on_cache_change = self._on_cache_change
            self.engines[spec.name] = engine
            self._region_of[spec.name] = number

    def next_id(self) -> int:
        """Return an id that is unique among jobs and reservations."""
        self._last_id += 1
        return self._last_id

    def latency(self, zone: str, other: str) -> float:
        """Return the one-way message latency between zones, in ms."""
        return (
            SAME_ZONE_LATENCY_MS
            if zone == other
            else self._cross_zone_latency_ms[zone]
        )

    def pool(
        self, model: str, role: str, region: int
    ) -> list[SimulatedEngine]:
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

    def invalidate_pools(self) -> None:
        """Make every entry recompute its engine subsets."""
        self.pool_epoch += 1
        self._pools = {}

    # Requests -------------------------------------------------------------

    def schedule_arrivals(
        self,
        offered: list[OfferedRequest],
        measured: tuple[float, float],
        unmeasured_account: str = "",
    ) -> None:
        """Schedule the arrivals of requests on the clock.

        Requests that arrive within the ``measured`` window (ms) count in the
        totals, except those of ``unmeasured_account``.
        """
        for item in offered:
            counts = (
                measured[0] <= item.arrived_ms < measured[1]
                and item.account != unmeasured_account
            )
            self.clock.call_at(
                item.arrived_ms, lambda i=item, c=counts: self._arrive(i, c)
            )

    def _arrive(self, offered: OfferedRequest, measured: bool) -> None:
        live_entries = [
            e for e in self.entries if e.alive and e.region == offered.region
        ]
        entry = self.rng.choice(live_entries)
        entry.receive(SimulatedRequest(entry, offered, measured))

    def request_ended(
        self, request: SimulatedRequest, retry_after_ms: int | None
    ) -> None:
        """Record an ended request; its caller may resend it if it failed."""
        if request.measured:
            self._record_outcome(request)
        may_resend = request.outcome in ("refused", "lost")
        if (
            self.callers_resend
            and may_resend
            and request.resend_count < MAX_RESENDS
        ):
            delay_ms = max(MIN_RESEND_DELAY_MS, retry_after_ms or 0)
            delay_ms *= 0.5 + self.rng.random()
            self.clock.call_later(delay_ms, lambda: self._resend(request))

    def _resend(self, request: SimulatedRequest) -> None:
        offered = replace(
            request.offered, number=-self.next_id(), arrived_ms=self.clock.now
        )
        entry = self.rng.choice([e for e in self.entries if e.alive])
        resent = SimulatedRequest(entry, offered, measured=False)
        resent.resend_count = request.resend_count + 1
        entry.receive(resent)

    def _record_outcome(self, request: SimulatedRequest) -> None:
        totals, kind = self.totals, request.offered.kind
        arrived_ms = request.offered.arrived_ms
        totals.offered += 1
        outcome = request.outcome
        if outcome == "completed":
            first_token_ms = request.first_token_at_ms - arrived_ms
            completion_ms = request.completed_ms - arrived_ms
            totals.first_token_ms.append(first_token_ms)
            tokens = max(1, request.offered.output_tokens - 1)
            totals.token_gap_ms.append(
                (request.completed_ms - request.first_token_at_ms) / tokens
            )
            first_token_limit_ms = max(kind.first_token_ms, kind.max_wait_ms)
            if (
                first_token_ms <= first_token_limit_ms
                and completion_ms <= kind.answer_ms
            ):
                totals.within_targets += 1
            else:
                outcome = "completed_late"
            if 0 < kind.max_wait_ms < first_token_ms:
                totals.served_after_max_wait += 1
        counts = totals.by_outcome
        counts[outcome] = counts.get(outcome, 0) + 1

    def summarize(self) -> RunTotals:
        """Complete the totals at the end of the run and return them."""
        totals = self.totals
        for _, job in self.jobs:
            totals.computed_tokens += job.computed_tokens
            if not job.imported:
                totals.wasted_tokens += job.computed_tokens
        totals.oversold_engines = sum(
            e.slots_peak > e.spec.slots for e in self.engines.values()
        )
        return totals

    # Reports and hints ----------------------------------------------------

    def _poll_engines(self) -> None:
        for engine in self.engines.values():
            if engine.alive:
                engine.poll()
        self.clock.call_later(ENGINE_POLL_INTERVAL_MS, self._poll_engines)

    def _broadcast_load(self) -> None:
        views = {
            name: e.reported_view()
            for name, e in self.engines.items()
            if e.alive
        }

        def deliver() -> None:
            for entry in self.entries:
                entry.views = views

        self.clock.call_later(LOAD_REPORT_LAG_MS, deliver)
        self.clock.call_later(LOAD_REPORT_INTERVAL_MS, self._broadcast_load)

    def _on_cache_change(
        self, engine: SimulatedEngine, prefix: int, tokens: int
    ) -> None:
        if self.rng.random() < CACHE_EVENT_LOSS_SHARE:
            return
        key = (engine.spec.name, prefix)

        def deliver() -> None:
            self._cache_hints[key] = tokens

        self.clock.call_later(self.rng.uniform(*CACHE_EVENT_LAG_MS), deliver)

    def warm_caches(self, prefixes: list[tuple[str, int, int]]) -> None:
        """Cache each prefix on one prefill engine of each region."""
        regions = sorted(set(self._region_of.values()))
        for number, (model, prefix, tokens) in enumerate(prefixes):
            for region in regions:
                pool = self.pool(model, EngineRole.PREFILL, region)
                engine = pool[number % len(pool)]
                engine.cache.insert(prefix, tokens)
                self._cache_hints[engine.spec.name, prefix] = tokens

    def cached_hint(self, engine: SimulatedEngine, prefix: int) -> int:
        """Return the tokens of a prefix that are believed to be cached.

        The omniscient strategy sees the exact value.
        """
        if self.strategy.omniscient:
            return engine.cache.tokens(prefix)
        return self._cache_hints.get((engine.spec.name, prefix), 0)

    # Role changes ---------------------------------------------------------

    def change_role(
        self, engine: SimulatedEngine, role: str, model: str
    ) -> None:
        """Drain an engine, then load a model in another role."""
        engine.draining = True
        if not engine.is_idle():
            self.clock.call_later(
                100, lambda: self.change_role(engine, role, model)
            )
            return

        def loaded() -> None:
            engine.assign(role, model)
            self.invalidate_pools()

        self.clock.call_later(MODEL_LOAD_MS, loaded)
