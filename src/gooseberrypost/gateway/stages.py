"""Keeps the prefill and decode pools in balance, from one gateway at a time.

The gateway that holds the duty gives the orders. It lost the duty at the
latest when its lease ended without its knowledge, so that

* before each order the store confirms under a condition that the duty is
  still held, and an order is sent only within ``CONFIRMED_S`` of that;
* a new holder waits until the latest order that anybody has noted is older
  than a lease, so that no order of its predecessor is still on its way;
* the fencing token is the store's revision at which the duty was taken;
* an order names the engine's start and the number of orders before it, so
  that one which is carried out late changes nothing.
"""

from __future__ import annotations

import time
from abc import ABC, abstractmethod
from dataclasses import replace
from typing import TYPE_CHECKING, Final, TypeGuard

from absl import logging
from mode import Service

from gooseberrypost.errors import Failure
from gooseberrypost.gateway.transport import (
    AnswerLost,
    ServerRefused,
    ServerUnreachable,
)
from gooseberrypost.policy.poolbalance import (
    PoolEngine,
    Workload,
    choose_stage_change,
)
from gooseberrypost.policy.serverchoice import DEFAULT_PREFILL_MS_PER_TOKEN

if TYPE_CHECKING:
    from gooseberrypost.gateway.context import GatewayContext
    from gooseberrypost.gateway.model import Server, Stage, StageOrder
    from gooseberrypost.gateway.peers import Peers

TICK_S: Final = 0.25
SETTLED_S: Final = 0.6
"""Time for which the same change must be due."""
CONFIRMED_S: Final = 0.4
"""Time from the store's confirmation to the order's arrival, at most."""
LEASE_MARGIN_S: Final = 0.5
RETURN_S: Final = 5.0
"""Time in which an engine that crashed is expected back."""


class DutyLost(Failure):
    """Another gateway holds the duty, or it is not known who does."""

    code = "duty_lost"


class Duty(ABC):
    """The right to order stage changes, kept in the platform's store."""

    @abstractmethod
    async def take(self, name: str, lease: int) -> int:
        """Take the duty if nobody holds it, and return its fencing token.

        Raises ``DutyLost``.
        """

    @abstractmethod
    async def confirm(self, fence: int, lease: int, order: StageOrder) -> None:
        """Note an order if the duty is still held; raises ``DutyLost``."""


class StageController(Service):
    """Takes the duty where it is free and orders stage changes."""

    def __init__(self, ctx: GatewayContext, duty: Duty, peers: Peers) -> None:
        super().__init__()
        self._ctx = ctx
        self._duty = duty
        self._peers = peers
        self._fence = 0
        self._lease = 0
        self._held_since_s = 0.0
        self._due: dict[str, tuple[Stage, float]] = {}
        """Direction of the change that is due in a service, since when."""
        self._seen: dict[str, tuple[Server, float]] = {}
        """Engines and when they were last registered."""

    async def on_started(self) -> None:
        """Look at the pools until the service stops."""
        self.add_future(self._watch())

    async def _watch(self) -> None:
        while not self.should_stop:
            await self.sleep(TICK_S)
            try:
                if await self._hold():
                    await self._balance()
            except DutyLost as lost:
                if self._fence:
                    logging.info(
                        "event=duty_lost fence=%d detail=%r",
                        self._fence,
                        lost.detail,
                    )
                self._fence = 0

    async def _hold(self) -> bool:
        """Hold the duty; returns whether orders may be given."""
        holder = self._ctx.directory.stage_holder
        lease = self._peers.lease
        name = self._ctx.settings.name
        if self._fence and (lease != self._lease or holder not in ("", name)):
            raise DutyLost(f"held by {holder!r}, lease {lease}")
        if not self._fence:
            if holder or not lease:
                return False
            self._fence = await self._duty.take(name, lease)
            self._lease = lease
            self._held_since_s = time.monotonic()
            logging.info(
                "event=duty_taken fence=%d lease=%d", self._fence, lease
            )
        # The notes of former orders are in the directory by then.
        if time.monotonic() - self._held_since_s < LEASE_MARGIN_S:
            return False
        given = self._ctx.directory.stage_order_s.items()
        last_s = max(
            (at_s for holder, at_s in given if holder != name), default=0.0
        )
        wait_s = self._ctx.settings.lease_ms / 1_000 + LEASE_MARGIN_S
        return time.monotonic() - last_s > wait_s

    async def _balance(self) -> None:
        now_s = self._ctx.now_s()
        services = self._ctx.directory.configuration.services
        for service in services.values():
            if service.engine is None:
                continue
            order = self._change(service.name, now_s)
            if self._has_settled(service.name, order, now_s):
                await self._order(service.name, order)

    def _has_settled(
        self, service: str, order: StageOrder | None, now_s: float
    ) -> TypeGuard[StageOrder]:
        """Whether a change in the same direction is due for some time."""
        if order is None:
            self._due.pop(service, None)
            return False
        stage, since_s = self._due.get(service, (order.stage, now_s))
        if stage is not order.stage:
            since_s = now_s
        self._due[service] = order.stage, since_s
        return now_s - since_s >= SETTLED_S

    def _change(self, service: str, now_s: float) -> StageOrder | None:
        ctx = self._ctx
        directory = ctx.directory
        present = [
            server
            for server in directory.servers.of(service, now_s)
            if not server.draining
        ]
        switching = {
            server.instance: directory.stage_orders[server.instance][0]
            for server in present
            if directory.is_switching(server, now_s)
        }
        changing, engines = [], []
        for server in self._expected(service, present, now_s):
            stage = switching.get(server.instance)
            if stage is None:
                engines.append(self._engine(server, server.stage))
            else:
                changing.append(self._engine(server, stage))
        demand = Workload(
            ctx.mean_prompt(service),
            ctx.mean_output(service),
            ctx.mean_decode_s(service),
            ctx.engine_spec(service).kv_tokens,
        )
        if not demand.prompt_tokens or not demand.output_tokens:
            return None
        order = choose_stage_change(engines, demand, changing)
        if order is None or order.instance not in {
            server.instance for server in present
        }:
            return None
        return order

    def _expected(
        self, service: str, present: list[Server], now_s: float
    ) -> list[Server]:
        """Engines that are registered, and those that may have crashed."""
        for server in present:
            self._seen[server.instance] = server, now_s
        registered = self._ctx.directory.servers.of(service, now_s)
        known = {server.instance for server in registered}
        # An engine may come back at its address as another instance.
        in_use = {server.address for server in registered}
        expected = list(present)
        for instance, (server, seen_s) in list(self._seen.items()):
            is_replaced = instance not in known and server.address in in_use
            if is_replaced or now_s - seen_s > RETURN_S:
                del self._seen[instance]
            elif server.service == service and instance not in known:
                expected.append(server)
        return expected

    def _engine(self, server: Server, stage: Stage) -> PoolEngine:
        loads = self._ctx.loads
        load = loads.of(server.identity)
        return PoolEngine(
            server.instance,
            stage,
            server.slots,
            load.min_prefill_ms_per_token or DEFAULT_PREFILL_MS_PER_TOKEN,
            loads.run_count(server.identity)
            + loads.prefill_tokens(server.identity),
        )

    async def _order(self, service: str, order: StageOrder) -> None:
        ctx = self._ctx
        known = ctx.directory.servers.of(service, ctx.now_s())
        server = next(one for one in known if one.instance == order.instance)
        self._due.pop(service, None)
        try:
            report = await ctx.transport.report(server)
        except ServerUnreachable as failure:
            self._log(server, order, 0, failure.code)
            return
        if report.is_busy or report.stage is not server.stage:
            self._log(server, order, report.orders, "busy")
            return
        note = replace(order, holder=ctx.settings.name)
        await self._duty.confirm(self._fence, self._lease, note)
        # Until the note comes back by the watch.
        ctx.directory.stage_orders[order.instance] = order.stage, ctx.now_s()
        try:
            await ctx.transport.order_stage(
                server,
                order.stage,
                report.orders,
                ctx.settings.name,
                self._fence,
                CONFIRMED_S,
            )
        except ServerRefused as failure:
            self._log(server, order, report.orders, f"status {failure.status}")
            await self._duty.withdraw(self._fence, order)
        except (ServerUnreachable, AnswerLost) as failure:
            # The order may be carried out yet: the note stays.
            self._log(server, order, report.orders, failure.code)
        else:
            self._log(server, order, report.orders, "accepted")

    def _log(
        self, server: Server, order: StageOrder, orders: int, outcome: str
    ) -> None:
        logging.info(
            "event=stage_order server=%s from=%s to=%s fence=%d orders=%d "
            "outcome=%r",
            order.instance,
            server.stage.value,
            order.stage.value,
            self._fence,
            orders,
            outcome,
        )
        self._ctx.metrics.count("stage_orders_total", outcome=outcome)
