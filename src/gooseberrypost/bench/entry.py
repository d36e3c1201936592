"""Entry of the bench: drives the decisions with the views it has."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Final

from result import Err

from gooseberrypost.bench.delivery import FULL_RETRY_MS
from gooseberrypost.bench.desk import ServiceDesk
from gooseberrypost.errors import NoCapacity
from gooseberrypost.policy.admission import DeadlineAdmission
from gooseberrypost.policy.limits import service_occupancy
from gooseberrypost.policy.subset import (
    DECODE_SUBSET_SIZE,
    PREFILL_SUBSET_SIZE,
    choose_subset,
)
from gooseberrypost.state.records import (
    AccountRecord,
    EngineRole,
)

if TYPE_CHECKING:
    import random

    from gooseberrypost.bench.engines import FakeEngine
    from gooseberrypost.bench.flow import Flow
    from gooseberrypost.bench.system import System
    from gooseberrypost.errors import NotRun
    from gooseberrypost.policy.placement import EnginePair
    from gooseberrypost.policy.views import AgentView, RequestView

PROBE_AGE_MS: Final = 250
PROBES: Final = 2


class Entry:
    """One entry with its partial, lagging view of the engines."""

    def __init__(
        self,
        system: System,
        name: str,
        zone: str,
        region: int,
        rng: random.Random,
    ) -> None:
        self.system = system
        self.name = name
        self.zone = zone
        self.region = region
        self.rng = rng
        self.alive = True
        self.views: dict[str, AgentView] = {}
        self.down: set[str] = set()
        self.flows: dict[Flow, None] = {}
        self._desks: dict[str, ServiceDesk] = {}
        self._members: dict[tuple[str, str], list[FakeEngine]] = {}
        self._members_epoch = -1
        self._admission = DeadlineAdmission()
        self._placement = system.strategy.placement()

    def desk(self, service: str) -> ServiceDesk:
        """Return the state of a service, made on first use."""
        if service not in self._desks:
            self._desks[service] = ServiceDesk(service)
        return self._desks[service]

    # Views ----------------------------------------------------------------

    def members(self, model: str, role: str) -> list[FakeEngine]:
        """Engines of a pool that this entry deals with."""
        if self._members_epoch != self.system.epoch:
            self._members = {}
            self._members_epoch = self.system.epoch
        key = (model, role)
        if key not in self._members:
            self._members[key] = self._choose(model, role)
        return self._members[key]

    def _choose(self, model: str, role: str) -> list[FakeEngine]:
        pool = {
            e.spec.name: e
            for e in self.system.pool(model, role, self.region)
            if e.spec.name not in self.down
        }
        if self.system.strategy.omniscient:
            return list(pool.values())
        size = (
            PREFILL_SUBSET_SIZE
            if role == EngineRole.PREFILL
            else DECODE_SUBSET_SIZE
        )
        specs = [e.spec for e in pool.values()]
        chosen = choose_subset(self.name, self.zone, specs, size)
        return [pool[spec.name] for spec in chosen]

    def look(
        self, req: RequestView, role: str, prefix: int
    ) -> list[AgentView]:
        """Return the views of a pool, with cache hints for the prefix."""
        views = []
        for engine in self.members(req.model, role):
            name = engine.spec.name
            if self.system.strategy.omniscient:
                if not engine.alive:
                    continue
                view = engine.exact_view()
            elif name in self.down:
                continue
            else:
                view = self.views.get(name) or self._refresh(engine)
            if role == EngineRole.PREFILL and prefix >= 0:
                hint = self.system.cached_hint(engine, prefix)
                if hint:
                    hint = min(hint, req.prompt_tokens)
                    view = dataclasses.replace(view, cached_tokens=hint)
            views.append(view)
        return views

    def _refresh(self, engine: FakeEngine) -> AgentView:
        view = engine.view()
        self.views[engine.spec.name] = view
        return view

    def heard(self, engine: FakeEngine) -> None:
        """Take the load that rides on a reply of the agent."""
        if self.system.strategy.admits and engine.alive:
            self._refresh(engine)

    def lost(self, engine: FakeEngine) -> None:
        """Note that an agent cannot be reached."""
        if engine.spec.name not in self.down:
            self.down.add(engine.spec.name)
            self._members = {}

    def sent(
        self,
        engine: FakeEngine,
        tokens: int = 0,
        slots: int = 0,
        pieces: int = 0,
    ) -> None:
        """Add what this entry just sent to its view of the agent."""
        view = self.views.get(engine.spec.name)
        if view is None or not self.system.strategy.admits:
            return
        self.views[engine.spec.name] = dataclasses.replace(
            view,
            queue_tokens=view.queue_tokens + tokens,
            slots_used=view.slots_used + slots,
            pieces_used=view.pieces_used + pieces,
        )

    # Decisions ------------------------------------------------------------

    def arrive(self, flow: Flow) -> None:
        """Apply the limits to a new request, then consider it."""
        self.flows[flow] = None
        desk = self.desk(flow.req.service)
        if self.system.strategy.admits:
            decode = self.look(flow.req, EngineRole.DECODE, -1)
            acquired = desk.limiter.acquire(
                AccountRecord(flow.req.account),
                self.system.clock.now_ms,
                service_occupancy(decode),
                flow.offered.kind.output_mean,
            )
            if isinstance(acquired, Err):
                flow.refuse(acquired.err_value)
                return
            flow.counted = True
        desk.budget.record_request(self.system.clock.now_ms)
        self.consider(flow)

    def consider(self, flow: Flow) -> None:
        """Probe stale candidates, then decide about the request."""
        if not self.system.strategy.admits:
            flow.place(self.rank(flow))
            return
        delay = self._probe(flow)
        if delay > 0:
            self.system.clock.after(delay, lambda: self._enqueue(flow))
        else:
            self._enqueue(flow)

    def _probe(self, flow: Flow) -> float:
        """Refresh the best stale candidates; returns the round trip in ms."""
        if self.system.strategy.omniscient:
            return 0.0
        now = self.system.clock.now
        delay = 0.0
        for role in (EngineRole.PREFILL, EngineRole.DECODE):
            views = self.look(flow.req, role, flow.offered.prefix)
            views.sort(
                key=lambda v: (v.queue_tokens - v.cached_tokens, v.slots_used)
            )
            for view in views[:PROBES]:
                if now - view.observed_ms <= PROBE_AGE_MS:
                    continue
                engine = self.system.engines[view.name]
                if engine.alive:
                    self._refresh(engine)
                elif engine.silent:
                    self.lost(engine)
                    delay = max(delay, self.system.silence_ms)
                else:
                    self.lost(engine)
                trip = 2 * self.system.latency(self.zone, view.zone)
                delay = max(delay, trip)
        return delay

    def _enqueue(self, flow: Flow) -> None:
        if flow.ended or not self.alive:
            return
        desk = self.desk(flow.req.service)
        desk.waiting.add(flow.req)
        desk.flows[flow.req.key] = flow
        self.pump(flow.req.service)

    def pump(self, service: str) -> None:
        """Decide about the waiting requests, the most urgent first."""
        desk = self.desk(service)
        if desk.pumping:
            return
        desk.pumping = True
        self._pump_all(service, desk)
        desk.pumping = False

    def _pump_all(self, service: str, desk: ServiceDesk) -> None:
        if desk.results.offer():
            # New requests would take the slots that results are waiting for.
            self._pump_later(service, desk, FULL_RETRY_MS)
            return
        now = self.system.clock.now_ms
        for req in desk.waiting.by_priority(now):
            flow = desk.flows[req.key]
            if flow.ended:
                self._forget(desk, req.key)
                continue
            prefix = flow.offered.prefix
            prefill = self.look(req, EngineRole.PREFILL, prefix)
            decode = self.look(req, EngineRole.DECODE, -1)
            decided = self._admission.decide(req, prefill, decode, now)
            if isinstance(decided, Err):
                failure = decided.err_value
                if not isinstance(failure, NoCapacity):
                    self._forget(desk, req.key)
                    self._late(flow, failure, desk, decode)
                    continue
                self._pump_later(service, desk, failure.retry_after_ms or 20)
                if req.max_wait_ms > 0:
                    # It may only have left headroom for the ones behind it.
                    continue
                return
            self._forget(desk, req.key)
            flow.place(
                self._placement.rank(req, prefill, decode, now, self.rng)
            )

    def _late(
        self,
        flow: Flow,
        failure: NotRun,
        desk: ServiceDesk,
        decode: list[AgentView],
    ) -> None:
        """Refuse what is too late, unless it warms a shared prefix."""
        prefix, now = flow.offered.prefix, self.system.clock.now_ms
        pressure = service_occupancy(decode)
        if prefix >= 0 and desk.cold.should_warm_up(prefix, now, pressure):
            flow.relax()
            self.consider(flow)
        else:
            flow.refuse(failure)

    def _forget(self, desk: ServiceDesk, key: str) -> None:
        desk.waiting.remove(key)
        desk.flows.pop(key, None)

    def _pump_later(
        self, service: str, desk: ServiceDesk, delay: float
    ) -> None:
        at = self.system.clock.now + delay
        if desk.pump_at <= at and desk.pump_at > self.system.clock.now:
            return
        desk.pump_at = at

        def due() -> None:
            if self.alive and desk.pump_at == at:
                desk.pump_at = float("inf")
                self._probe_full(desk)
                self.pump(service)

        self.system.clock.at(at, due)

    def _probe_full(self, desk: ServiceDesk) -> None:
        """Ask two decode agents again before the next decision."""
        flow = next(iter(desk.flows.values()), None)
        if flow is None or self.system.strategy.omniscient:
            return
        members = self.members(flow.req.model, EngineRole.DECODE)
        for engine in self.rng.sample(members, min(PROBES, len(members))):
            if engine.alive:
                self._refresh(engine)

    def rank(self, flow: Flow) -> list[EnginePair]:
        """Rank pairs for a request without admission."""
        return self._placement.rank(
            flow.req,
            self.look(flow.req, EngineRole.PREFILL, -1),
            self.look(flow.req, EngineRole.DECODE, -1),
            self.system.clock.now_ms,
            self.rng,
        )

    def die(self) -> None:
        """Stop; engines free what its requests hold when they notice."""
        self.alive = False
        for flow in list(self.flows):
            flow.abandon()
