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
from dataclasses import replace
from typing import TYPE_CHECKING, Final, TypeGuard

from absl import logging
from mode import Service

from gooseberrypost.gateway.model import StageOrder
from gooseberrypost.gateway.pools import PoolObserver
from gooseberrypost.gateway.stagelock import StageLockLost
from gooseberrypost.gateway.tasks import keep_running
from gooseberrypost.gateway.transport import (
    AnswerLost,
    ServerRefused,
    ServerUnreachable,
)

if TYPE_CHECKING:
    from gooseberrypost.gateway.context import GatewayContext
    from gooseberrypost.gateway.model import Server, Stage
    from gooseberrypost.gateway.peers import Peers
    from gooseberrypost.gateway.stagelock import StageLock

CHECK_INTERVAL_S: Final = 0.25
DEBOUNCE_S: Final = 0.6
"""Time for which a change to one stage must be due before it is ordered."""
CONFIRMATION_VALIDITY_S: Final = 0.4
"""Maximum time from the request for the store's confirmation to the end of the
call that sends the order."""
LEASE_MARGIN_S: Final = 0.5
"""Wait in addition to a lease, and before a new lock holder's first order."""


def boottime_s() -> float:
    """Return the time since the boot, including suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


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
        self._pools = PoolObserver(ctx)

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
                    self._pools.observe()
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
            # The key of this gateway itself remains if it gave up the lock.
            if holder not in ("", name) or not lease:
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
            order = self._pools.choose_change(service.name, now_s)
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

    async def _send_order(self, service: str, order: StageOrder) -> None:
        ctx = self._ctx
        self._pools.log_due_change(service, order)
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
        """Record that an engine keeps its stage.

        The removal of the record would not say so: a record is also removed
        when its holder's lease ends while the engine executes the order.
        """
        ctx = self._ctx
        kept = StageOrder(server.instance, server.stage, ctx.settings.name)
        ctx.directory.stage_orders.pop(server.instance, None)
        await self._lock.record_order(self._fencing_token, self._lease, kept)

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
