"""Simulated entry: routes requests using partial and stale load views."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Final

from result import Err

from gooseberrypost.bench.delivery import CAPACITY_RETRY_MS
from gooseberrypost.bench.servicestate import ServiceState
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

    from gooseberrypost.bench.engines import SimulatedEngine
    from gooseberrypost.bench.request import SimulatedRequest
    from gooseberrypost.bench.simulation import Simulation
    from gooseberrypost.errors import NotRun
    from gooseberrypost.policy.placement import EnginePair
    from gooseberrypost.policy.views import AgentView, RequestView

MAX_VIEW_AGE_MS: Final = 250
"""Age above which a view is refreshed by a probe before a decision."""
PROBES_PER_POOL: Final = 2
"""Number of engines per pool that are probed for a decision."""


class Entry:
    """Simulated entry, which sees a subset of the engines with some lag."""

    def __init__(
        self,
        simulation: Simulation,
        name: str,
        zone: str,
        region: int,
        rng: random.Random,
    ) -> None:
        self.simulation = simulation
        self.name = name
        self.zone = zone
        self.region = region
        self.rng = rng
        self.alive = True
        self.views: dict[str, AgentView] = {}
        self.unreachable: set[str] = set()
        self.requests: dict[SimulatedRequest, None] = {}
        self._service_states: dict[str, ServiceState] = {}
        self._subsets: dict[tuple[str, str], list[SimulatedEngine]] = {}
        self._subsets_epoch = -1
        self._admission = DeadlineAdmission()
        self._placement = simulation.strategy.placement()

    def service_state(self, service: str) -> ServiceState:
        """Return the state of a service, creating it on first use."""
        if service not in self._service_states:
            self._service_states[service] = ServiceState(service)
        return self._service_states[service]

    # Views ----------------------------------------------------------------

    def engine_subset(self, model: str, role: str) -> list[SimulatedEngine]:
        """Return the engines of a pool that this entry routes to."""
        if self._subsets_epoch != self.simulation.pool_epoch:
            self._subsets = {}
            self._subsets_epoch = self.simulation.pool_epoch
        key = (model, role)
        if key not in self._subsets:
            self._subsets[key] = self._choose_subset(model, role)
        return self._subsets[key]

    def _choose_subset(self, model: str, role: str) -> list[SimulatedEngine]:
        pool = {
            e.spec.name: e
            for e in self.simulation.pool(model, role, self.region)
            if e.spec.name not in self.unreachable
        }
        if self.simulation.strategy.omniscient:
            return list(pool.values())
        size = (
            PREFILL_SUBSET_SIZE
            if role == EngineRole.PREFILL
            else DECODE_SUBSET_SIZE
        )
        specs = [e.spec for e in pool.values()]
        chosen = choose_subset(self.name, self.zone, specs, size)
        return [pool[spec.name] for spec in chosen]

    def agent_views(
        self, req: RequestView, role: str, prefix: int
    ) -> list[AgentView]:
        """Return the load views of a pool, with cache hints for a prefix.

        Engines known to be unreachable are left out. A negative prefix means
        that the prompt shares no prefix.
        """
        views = []
        for engine in self.engine_subset(req.model, role):
            name = engine.spec.name
            if self.simulation.strategy.omniscient:
                if not engine.alive:
                    continue
                view = engine.exact_view()
            elif name in self.unreachable:
                continue
            else:
                view = self.views.get(name) or self._refresh(engine)
            if role == EngineRole.PREFILL and prefix >= 0:
                hint = self.simulation.cached_hint(engine, prefix)
                if hint:
                    hint = min(hint, req.prompt_tokens)
                    view = dataclasses.replace(view, cached_tokens=hint)
            views.append(view)
        return views

    def _refresh(self, engine: SimulatedEngine) -> AgentView:
        view = engine.reported_view()
        self.views[engine.spec.name] = view
        return view

    def observe_load(self, engine: SimulatedEngine) -> None:
        """Update the view from the load piggybacked on an agent's reply."""
        if self.simulation.strategy.admits and engine.alive:
            self._refresh(engine)

    def mark_unreachable(self, engine: SimulatedEngine) -> None:
        """Exclude an unreachable agent from further routing."""
        if engine.spec.name not in self.unreachable:
            self.unreachable.add(engine.spec.name)
            self._subsets = {}

    def record_sent(
        self,
        engine: SimulatedEngine,
        tokens: int = 0,
        slots: int = 0,
        pieces: int = 0,
    ) -> None:
        """Add work that was just sent to this entry's view of the agent.

        The agent's load reports do not include this work yet.
        """
        view = self.views.get(engine.spec.name)
        if view is None or not self.simulation.strategy.admits:
            return
        self.views[engine.spec.name] = dataclasses.replace(
            view,
            queue_tokens=view.queue_tokens + tokens,
            slots_used=view.slots_used + slots,
            pieces_used=view.pieces_used + pieces,
        )

    # Decisions ------------------------------------------------------------

    def receive(self, request: SimulatedRequest) -> None:
        """Apply the service and account limits, then schedule the request."""
        self.requests[request] = None
        service_state = self.service_state(request.view.service)
        if self.simulation.strategy.admits:
            decode = self.agent_views(request.view, EngineRole.DECODE, -1)
            acquired = service_state.limiter.acquire(
                AccountRecord(request.view.account),
                self.simulation.clock.now_ms,
                service_occupancy(decode),
                request.offered.kind.mean_output_tokens,
            )
            if isinstance(acquired, Err):
                request.refuse(acquired.err_value)
                return
            request.limit_acquired = True
        service_state.retry_budget.record_request(self.simulation.clock.now_ms)
        self.schedule(request)

    def schedule(self, request: SimulatedRequest) -> None:
        """Place a request, or queue it for admission after probing.

        Strategies without admission control place the request at once.
        """
        if not self.simulation.strategy.admits:
            request.place(self.rank(request))
            return
        delay_ms = self._probe_stale(request)
        if delay_ms > 0:
            self.simulation.clock.call_later(
                delay_ms, lambda: self._enqueue(request)
            )
        else:
            self._enqueue(request)

    def _probe_stale(self, request: SimulatedRequest) -> float:
        """Refresh stale views of the best candidates.

        Returns the delay in ms that the probes cost: the longest round trip,
        or the reply timeout for an agent that failed silently.
        """
        if self.simulation.strategy.omniscient:
            return 0.0
        now = self.simulation.clock.now
        delay_ms = 0.0
        for role in (EngineRole.PREFILL, EngineRole.DECODE):
            views = self.agent_views(
                request.view, role, request.offered.prefix
            )
            views.sort(
                key=lambda v: (v.queue_tokens - v.cached_tokens, v.slots_used)
            )
            for view in views[:PROBES_PER_POOL]:
                if now - view.observed_ms <= MAX_VIEW_AGE_MS:
                    continue
                engine = self.simulation.engines[view.name]
                if engine.alive:
                    self._refresh(engine)
                elif engine.silent:
                    self.mark_unreachable(engine)
                    delay_ms = max(delay_ms, self.simulation.reply_timeout_ms)
                else:
                    self.mark_unreachable(engine)
                round_trip_ms = 2 * self.simulation.latency(
                    self.zone, view.zone
                )
                delay_ms = max(delay_ms, round_trip_ms)
        return delay_ms

    def _enqueue(self, request: SimulatedRequest) -> None:
        if request.ended or not self.alive:
            return
        service_state = self.service_state(request.view.service)
        service_state.waiting.add(request.view)
        service_state.requests[request.view.key] = request
        self.dispatch(request.view.service)

    def dispatch(self, service: str) -> None:
        """Place the waiting requests of a service, the most urgent first.

        Does nothing when called again from within its own dispatch loop.
        """
        service_state = self.service_state(service)
        if service_state.dispatching:
            return
        service_state.dispatching = True
        self._dispatch_waiting(service, service_state)
        service_state.dispatching = False

    def _dispatch_waiting(
        self, service: str, service_state: ServiceState
    ) -> None:
        if service_state.undelivered.retry_all():
            # Dispatching now would take the decode slots that finished prefill
            # results are waiting for.
            self._dispatch_later(service, service_state, CAPACITY_RETRY_MS)
            return
        now = self.simulation.clock.now_ms
        for req in service_state.waiting.by_priority(now):
            request = service_state.requests[req.key]
            if request.ended:
                self._dequeue(service_state, req.key)
                continue
            prefix = request.offered.prefix
            prefill = self.agent_views(req, EngineRole.PREFILL, prefix)
            decode = self.agent_views(req, EngineRole.DECODE, -1)
            decided = self._admission.decide(req, prefill, decode, now)
            if isinstance(decided, Err):
                failure = decided.err_value
                if not isinstance(failure, NoCapacity):
                    self._dequeue(service_state, req.key)
                    self._refuse_or_warm_up(
                        request, failure, service_state, decode
                    )
                    continue
                self._dispatch_later(
                    service, service_state, failure.retry_after_ms or 20
                )
                if req.max_wait_ms > 0:
                    # A request that can wait may be held back only to keep
                    # headroom, so the requests behind it may still fit.
                    continue
                return
            self._dequeue(service_state, req.key)
            request.place(
                self._placement.rank(req, prefill, decode, now, self.rng)
            )

    def _refuse_or_warm_up(
        self,
        request: SimulatedRequest,
        failure: NotRun,
        service_state: ServiceState,
        decode: list[AgentView],
    ) -> None:
        """Refuse a request that would miss its deadline, or serve it late.

        It is served late if its shared prefix should be loaded into a cache.
        """
        prefix, now = request.offered.prefix, self.simulation.clock.now_ms
        occupancy = service_occupancy(decode)
        if prefix >= 0 and service_state.cold_prefixes.should_warm_up(
            prefix, now, occupancy
        ):
            request.waive_first_token_target()
            self.schedule(request)
        else:
            request.refuse(failure)

    def _dequeue(self, service_state: ServiceState, key: str) -> None:
        service_state.waiting.remove(key)
        service_state.requests.pop(key, None)

    def _dispatch_later(
        self, service: str, service_state: ServiceState, delay_ms: float
    ) -> None:
        at_ms = self.simulation.clock.now + delay_ms
        if (
            service_state.dispatch_at_ms <= at_ms
            and service_state.dispatch_at_ms > self.simulation.clock.now
        ):
            return
        service_state.dispatch_at_ms = at_ms

        def due() -> None:
            if self.alive and service_state.dispatch_at_ms == at_ms:
                service_state.dispatch_at_ms = float("inf")
                self._probe_decode_agents(service_state)
                self.dispatch(service)

        self.simulation.clock.call_at(at_ms, due)

    def _probe_decode_agents(self, service_state: ServiceState) -> None:
        """Refresh the views of random decode agents before a new dispatch."""
        request = next(iter(service_state.requests.values()), None)
        if request is None or self.simulation.strategy.omniscient:
            return
        engines = self.engine_subset(request.view.model, EngineRole.DECODE)
        for engine in self.rng.sample(
            engines, min(PROBES_PER_POOL, len(engines))
        ):
            if engine.alive:
                self._refresh(engine)

    def rank(self, request: SimulatedRequest) -> list[EnginePair]:
        """Rank engine pairs for a request, bypassing admission control."""
        return self._placement.rank(
            request.view,
            self.agent_views(request.view, EngineRole.PREFILL, -1),
            self.agent_views(request.view, EngineRole.DECODE, -1),
            self.simulation.clock.now_ms,
            self.rng,
        )

    def crash(self) -> None:
        """Crash: all requests of the entry are lost.

        Agents release the resources of these requests after
        ``ENTRY_TIMEOUT_MS``.
        """
        self.alive = False
        for request in list(self.requests):
            request.abandon()
