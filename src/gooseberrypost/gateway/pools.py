"""Observes the pools of each service and chooses their changes.

The workload and the speed of the engines are those that the lock holder has
observed; engines that are about to be replaced count as present.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from absl import logging

from gooseberrypost.gateway.model import Stage, StageOrder
from gooseberrypost.policy.engineroster import EngineRoster
from gooseberrypost.policy.poolbalance import (
    PoolEngine,
    Workload,
    choose_stage_change,
    service_rate,
)
from gooseberrypost.policy.serverload import MIN_PREFILLS
from gooseberrypost.policy.workloadestimate import WorkloadEstimate

if TYPE_CHECKING:
    from gooseberrypost.gateway.context import GatewayContext
    from gooseberrypost.gateway.model import Server

POOLS_LOG_INTERVAL_S: Final = 5.0
"""Interval at which the lock holder logs the balance of the pools."""


class PoolObserver:
    """Workload and engines of each service with engines."""

    def __init__(self, ctx: GatewayContext) -> None:
        self._ctx = ctx
        self._estimates: dict[str, WorkloadEstimate] = {}
        """Workload of each service, observed while the lock is held."""
        self._next_pools_log_s: dict[str, float] = {}
        self._rosters: dict[str, EngineRoster] = {}
        """Engines in service or expected back, by service."""

    def observe(self) -> None:
        """Add the generations of all gateways to each service's estimate."""
        ctx = self._ctx
        now_s = ctx.now_s()
        waiting = (
            ctx.reservation_queue.waiting_count + ctx.loads.queued_at_peers()
        )
        for service in ctx.directory.configuration.services.values():
            if service.engine is None:
                continue
            sizes = [
                size
                for server in ctx.directory.servers.of(service.name, now_s)
                for size in ctx.loads.run_sizes(server.identity, now_s)
            ]
            estimate = self._estimates.setdefault(
                service.name, WorkloadEstimate()
            )
            estimate.update(sizes, waiting, self._run_s(service.name))

    def _run_s(self, service: str) -> float:
        """Return the mean time of a generation at its decode engine.

        It follows from the output rate: the generations that have ended since
        a start are shorter than the mean.
        """
        estimate = self._estimates.get(service)
        tokens_per_s = self._ctx.loads.tokens_per_s
        if estimate is None or not estimate.output_tokens or not tokens_per_s:
            return self._ctx.mean_decode_s(service)
        return estimate.output_tokens / tokens_per_s

    def choose_change(self, service: str, now_s: float) -> StageOrder | None:
        """Return the change that is due for a service, None if none is."""
        ctx = self._ctx
        directory = ctx.directory
        present = [
            server
            for server in directory.servers.of(service, now_s)
            if not server.draining
        ]
        changing_stage = {
            server.instance: directory.stage_orders[server.instance][0]
            for server in present
            if directory.is_changing_stage(server, now_s)
        }
        roster = self._rosters.setdefault(service, EngineRoster())
        expected = roster.expected(present, now_s)
        usual_ms = ctx.loads.usual_prefill_ms_per_token(
            server.identity for server in expected
        )
        workload = self._workload(service)
        if not usual_ms or workload is None:
            return None
        in_service = {server.instance for server in present}
        changing, engines = [], []
        for server in expected:
            stage = changing_stage.get(server.instance, server.stage)
            state = self._engine_state(server, stage, usual_ms)
            # An engine that is missing counts, but cannot change its pool.
            can_change = (
                server.instance in in_service
                and server.instance not in changing_stage
            )
            (engines if can_change else changing).append(state)
        self._log_pools(service, [*engines, *changing], workload, now_s)
        return choose_stage_change(engines, workload, changing)

    def _log_pools(
        self,
        service: str,
        engines: list[PoolEngine],
        workload: Workload,
        now_s: float,
    ) -> None:
        """Log the balance of a service's pools at intervals."""
        if now_s < self._next_pools_log_s.get(service, 0.0):
            return
        self._next_pools_log_s[service] = now_s + POOLS_LOG_INTERVAL_S
        prefill = sum(engine.stage is Stage.PREFILL for engine in engines)
        logging.info(
            "event=pools service=%s prefill=%d decode=%d prompt=%d output=%d "
            "run_ms=%d demand_per_s=%.1f rate_per_s=%.1f",
            service,
            prefill,
            len(engines) - prefill,
            workload.prompt_tokens,
            workload.output_tokens,
            1_000 * workload.run_s,
            workload.demand_per_s,
            service_rate(engines, workload),
        )

    def _workload(self, service: str) -> Workload | None:
        """Return the workload of a service, None if not known well enough."""
        ctx = self._ctx
        estimate = self._estimates.get(service)
        if estimate is None or not estimate.is_settled:
            return None
        return Workload(
            estimate.prompt_tokens,
            estimate.output_tokens,
            self._run_s(service),
            ctx.engine_spec(service).kv_tokens,
            ctx.directory.configuration.first_event_objective_s(service),
            estimate.demand_per_s,
        )

    def _engine_state(
        self, server: Server, stage: Stage, usual_ms: float
    ) -> PoolEngine:
        """Return the state of an engine in one of the pools.

        ``usual_ms`` is the prefill time per token of an engine that this
        gateway has not observed.
        """
        loads = self._ctx.loads
        load = loads.of(server.identity)
        return PoolEngine(
            server.instance,
            stage,
            server.slots,
            load.min_prefill_ms_per_token
            if load.prefills >= MIN_PREFILLS
            else usual_ms,
            loads.run_count(server.identity)
            + loads.prefill_tokens(server.identity),
        )

    def log_due_change(self, service: str, order: StageOrder) -> None:
        """Log a change with the workload that makes it due."""
        workload = self._workload(service)
        if workload is None:
            return
        logging.info(
            "event=stage_change_due server=%s stage=%s prompt=%d output=%d "
            "run_ms=%d kv_tokens=%d first_event_ms=%d per_s=%.1f",
            order.instance,
            order.stage.value,
            workload.prompt_tokens,
            workload.output_tokens,
            1_000 * workload.run_s,
            workload.kv_tokens,
            1_000 * workload.first_event_s,
            workload.demand_per_s,
        )
