"""Balances the prefill and decode pools, from one gateway at a time.

Only the holder of the stage lock sends stage orders to engines. A holder can
lose the lock without detecting it when its lease expires, therefore:

* Before each order, a conditional write to the store records the order and
  confirms that the lock is still held. The order must reach the engine within
  ``CONFIRMATION_VALIDITY_S`` of the confirmation.
* A new holder waits until the latest recorded order of any other gateway is
  older than a lease, so that no order of its predecessor is in transit.
* The fencing token is the store's revision at which the lock was acquired.
* An order names the engine's instance and the number of orders that the engine
  has accepted before, so that an order that arrives late has no effect.
"""

from __future__ import annotations

import time
from abc import ABC, abstractmethod
from dataclasses import replace
from typing import TYPE_CHECKING, Final, TypeGuard

from absl import logging
from mode import Service

from gooseberrypost.errors import Failure
from gooseberrypost.gateway.model import Stage, StageOrder
from gooseberrypost.gateway.tasks import keep_running
from gooseberrypost.gateway.transport import (
    AnswerLost,
    ServerRefused,
    ServerUnreachable,
)
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
    from gooseberrypost.gateway.peers import Peers

CHECK_INTERVAL_S: Final = 0.25
DEBOUNCE_S: Final = 0.6
"""Time for which a change to one stage must be due before it is ordered."""
CONFIRMATION_VALIDITY_S: Final = 0.4
"""Maximum time from the request for the store's confirmation to the end of the
call that sends the order."""
LEASE_MARGIN_S: Final = 0.5
"""Wait in addition to a lease, and before a new lock holder's first order."""


POOLS_LOG_INTERVAL_S: Final = 5.0
"""Interval at which the lock holder logs the balance of the pools."""


def boottime_s() -> float:
    """Return the time since the boot, including suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class StageLockLost(Failure):
    """Another gateway holds the stage lock, or the holder is unknown."""

    code = "duty_lost"


class StageLock(ABC):
    """Lock in the platform's store; its holder may order stage changes."""

    @abstractmethod
    async def acquire(self, name: str, lease: int) -> int:
        """Acquire the lock if it is free and return its fencing token.

        The lock is released when the lease ends. Raises ``StageLockLost``.
        """

    @abstractmethod
    async def record_order(
        self, fencing_token: int, lease: int, order: StageOrder
    ) -> None:
        """Record an order in the store, provided the lock is still held.

        Raises ``StageLockLost``.
        """

    @abstractmethod
    async def cancel_order(
        self, fencing_token: int, lease: int, order: StageOrder
    ) -> None:
        """Replace the record of an order that was refused or not sent.

        ``order`` names the stage that the engine has. A record that is only
        removed may have lapsed with its holder's lease while the engine
        executes the order. Raises ``StageLockLost``.
        """


class StageController(Service):
    """Acquires the stage lock if it is free and orders stage changes."""

    def __init__(
        self, ctx: GatewayContext, lock: StageLock, peers: Peers
    ) -> None:
        super().__init__()
        self._ctx = ctx
        self._lock = lock
        self._peers = peers
        self._boottime_s = boottime_s
        """Clock that also counts the time for which a VM is suspended."""
        self._fencing_token = 0
        self._lease = 0
        self._acquired_s = 0.0
        self._due_changes: dict[str, tuple[Stage, float]] = {}
        """Target stage of a due change and when it became due, by service."""
        self._estimates: dict[str, WorkloadEstimate] = {}
        """Workload of each service, observed while the lock is held."""
        self._next_pools_log_s: dict[str, float] = {}
        self._rosters: dict[str, EngineRoster] = {}
        """Engines in service or expected back, by service."""

    async def on_started(self) -> None:
        """Check the pools until the service stops."""
        self.add_future(
            keep_running(self, self._check_loop, self._ctx.metrics)
        )

    async def _check_loop(self) -> None:
        while not self.should_stop:
            await self.sleep(CHECK_INTERVAL_S)
            try:
                is_allowed = await self._ensure_lock()
                if self._fencing_token:
                    self._observe_workload()
                if is_allowed:
                    await self._balance_pools()
            except StageLockLost as lost:
                if self._fencing_token:
                    logging.info(
                        "event=duty_lost fence=%d detail=%r",
                        self._fencing_token,
                        lost.detail,
                    )
                self._fencing_token = 0

    def _observe_workload(self) -> None:
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

    async def _ensure_lock(self) -> bool:
        """Acquire or keep the lock; return whether orders may be sent.

        Raises ``StageLockLost``.
        """
        holder = self._ctx.directory.stage_lock_holder
        lease = self._peers.lease
        name = self._ctx.settings.name
        if self._fencing_token and (
            lease != self._lease or holder not in ("", name)
        ):
            raise StageLockLost(f"lock holder {holder!r}, own lease {lease}")
        if not self._fencing_token:
            if holder or not lease:
                return False
            self._fencing_token = await self._lock.acquire(name, lease)
            self._lease = lease
            self._acquired_s = time.monotonic()
            logging.info(
                "event=duty_taken fence=%d lease=%d",
                self._fencing_token,
                lease,
            )
        # Gives the watch time to deliver the records of earlier orders.
        if time.monotonic() - self._acquired_s < LEASE_MARGIN_S:
            return False
        order_times = self._ctx.directory.last_stage_order_s.items()
        last_s = max(
            (at_s for holder, at_s in order_times if holder != name),
            default=0.0,
        )
        wait_s = self._ctx.settings.lease_ms / 1_000 + LEASE_MARGIN_S
        return time.monotonic() - last_s > wait_s

    async def _balance_pools(self) -> None:
        now_s = self._ctx.now_s()
        for service in self._ctx.directory.configuration.services.values():
            if service.engine is None:
                continue
            order = self._choose_order(service.name, now_s)
            if self._is_stable(service.name, order, now_s):
                await self._send_order(service.name, order)

    def _is_stable(
        self, service: str, order: StageOrder | None, now_s: float
    ) -> TypeGuard[StageOrder]:
        """Whether a change to this stage has been due for ``DEBOUNCE_S``."""
        if order is None:
            self._due_changes.pop(service, None)
            return False
        stage, since_s = self._due_changes.get(service, (order.stage, now_s))
        if stage is not order.stage:
            since_s = now_s
        self._due_changes[service] = order.stage, since_s
        return now_s - since_s >= DEBOUNCE_S

    def _choose_order(self, service: str, now_s: float) -> StageOrder | None:
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

    async def _send_order(self, service: str, order: StageOrder) -> None:
        ctx = self._ctx
        self._log_due_change(service, order)
        self._due_changes.pop(service, None)
        known = ctx.directory.servers.of(service, ctx.now_s())
        server = next(
            (one for one in known if one.instance == order.instance), None
        )
        if server is None:
            return
        try:
            report = await ctx.transport.fetch_report(server)
        except ServerUnreachable as failure:
            self._record_outcome(server, order, 0, failure.code)
            return
        if report.is_busy or report.stage is not server.stage:
            self._record_outcome(server, order, report.accepted_orders, "busy")
            return
        record = replace(order, holder=ctx.settings.name)
        confirmed_s = self._boottime_s()
        await self._lock.record_order(self._fencing_token, self._lease, record)
        # The VM may have been suspended since; a successor may then hold the
        # lock and have sent its own orders.
        validity_s = CONFIRMATION_VALIDITY_S - (
            self._boottime_s() - confirmed_s
        )
        if validity_s <= 0:
            self._record_outcome(
                server, order, report.accepted_orders, "confirmation expired"
            )
            await self._cancel_order(server)
            return
        # Set here at once, as the watch delivers the record only later.
        ctx.directory.stage_orders[order.instance] = order.stage, ctx.now_s()
        try:
            await ctx.transport.order_stage(
                server,
                order.stage,
                report.accepted_orders,
                ctx.settings.name,
                self._fencing_token,
                validity_s,
            )
        except ServerRefused as failure:
            self._record_outcome(
                server,
                order,
                report.accepted_orders,
                f"status {failure.status}",
            )
            await self._cancel_order(server)
        except (ServerUnreachable, AnswerLost) as failure:
            # The engine may still execute the order, so the record stays.
            self._record_outcome(
                server, order, report.accepted_orders, failure.code
            )
        else:
            self._record_outcome(
                server, order, report.accepted_orders, "accepted"
            )

    async def _cancel_order(self, server: Server) -> None:
        """Record that an engine keeps its stage."""
        ctx = self._ctx
        kept = StageOrder(server.instance, server.stage, ctx.settings.name)
        ctx.directory.stage_orders.pop(server.instance, None)
        await self._lock.cancel_order(self._fencing_token, self._lease, kept)

    def _log_due_change(self, service: str, order: StageOrder) -> None:
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

    def _record_outcome(
        self, server: Server, order: StageOrder, orders: int, outcome: str
    ) -> None:
        logging.info(
            "event=stage_order server=%s from=%s to=%s fence=%d orders=%d "
            "outcome=%r",
            order.instance,
            server.stage.value,
            order.stage.value,
            self._fencing_token,
            orders,
            outcome,
        )
        self._ctx.metrics.count("stage_orders_total", outcome=outcome)
