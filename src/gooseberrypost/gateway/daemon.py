"""Gateway daemon: the tree of its services, its signals and its shutdown."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING, Final

from absl import logging
from mode import Service

from gooseberrypost.blackboard import Blackboard
from gooseberrypost.gateway.context import GatewayContext
from gooseberrypost.gateway.directory import Follower, register
from gooseberrypost.gateway.frontend import Frontend, MonitoringServer
from gooseberrypost.gateway.peers import Peers
from gooseberrypost.gateway.stages import StageController
from gooseberrypost.lifecycle import LifecycleController, State

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from gooseberrypost.gateway.directory import Feed
    from gooseberrypost.gateway.frontend import Decoder
    from gooseberrypost.gateway.peers import Registry
    from gooseberrypost.gateway.stages import Duty
    from gooseberrypost.gateway.transport import Transport
    from gooseberrypost.settings.gateway import GatewaySettings

OWNER: Final = "GatewayDaemon"
READINESS_INTERVAL_S: Final = 0.05
CLEANING_INTERVAL_S: Final = 5.0
DRAIN_ACCEPT_S: Final = 2.2
"""Time for the balancer to notice; it asks once a second and twice."""
LAST_ACCEPT_S: Final = 1.0
"""Time before the exit in which no connection is accepted any more."""
EXIT_MARGIN_S: Final = 0.6
"""Time kept for closing before the platform kills the process."""


class GatewayDaemon(Service):
    """One gateway; start and stop it as a service."""

    def __init__(
        self,
        cfg: GatewaySettings,
        transport: Transport,
        feed: Feed,
        registry: Registry,
        duty: Duty,
        decode: Decoder,
        rng: random.Random,
    ) -> None:
        super().__init__()
        board = Blackboard()
        self.settings = cfg
        self.lifecycle = LifecycleController(board)
        directory = register(board, OWNER)
        self.context = GatewayContext(cfg, directory, transport, rng)
        section = self.lifecycle.section
        self.peers = Peers(self.context, registry)
        self.frontend = Frontend(self.context, section, decode)
        for service in (
            self.lifecycle,
            MonitoringServer(self.context, section),
            self.context.reservation_queue,
            self.frontend,
            Follower(feed, directory, cfg.apply_ms),
            self.peers,
            StageController(self.context, duty, self.peers),
        ):
            self.add_dependency(service)

    async def on_started(self) -> None:
        """Become ready once requests can be routed."""
        self.add_future(self._serve_when_able())
        self.add_future(self._clean())

    async def _serve_when_able(self) -> None:
        directory = self.context.directory
        while not directory.is_known:
            # A sleep returns at once when the service stops.
            if self.should_stop:
                return
            await self.sleep(READINESS_INTERVAL_S)
        if self.lifecycle.state is State.STARTING:
            self.lifecycle.serve()
            logging.info(
                "event=serving gateway=%s clients=%s configuration=%d",
                self.settings.name,
                self.frontend.address,
                directory.configuration.version,
            )

    async def _clean(self) -> None:
        while not self.should_stop:
            await self.sleep(CLEANING_INTERVAL_S)
            servers = self.context.directory.servers.all()
            self.context.loads.retain(server.identity for server in servers)

    async def drain(self) -> None:
        """Leave the balancer's rotation and finish what was begun."""
        self.lifecycle.drain()
        logging.info("event=draining in_flight=%d", self.frontend.in_flight)
        ctx = self.context
        now_s = ctx.now_s()
        ctx.shutdown_at_s = (
            now_s + self.settings.grace_ms / 1_000 - EXIT_MARGIN_S
        )
        # The balancer may have nobody else to send clients to, so they are
        # served until the rest of the time is needed for what was begun.
        await asyncio.sleep(max(0.0, min(DRAIN_ACCEPT_S, self._left_s())))
        await self.frontend.wait_idle(self._left_s() - LAST_ACCEPT_S)
        await self.frontend.close_idle()
        await self.frontend.wait_idle(self._left_s())
        if self.frontend.in_flight:
            logging.warning(
                "event=drain_timed_out in_flight=%d", self.frontend.in_flight
            )

    def _left_s(self) -> float:
        return self.context.shutdown_at_s - self.context.now_s()

    async def on_stop(self) -> None:
        """Close the connections to the servers."""
        await self.context.transport.close()


async def serve_until_signal(
    daemon: GatewayDaemon, reload: Callable[[], None]
) -> None:
    """Start, reload at SIGHUP, and drain and stop at SIGTERM or SIGINT."""
    asked = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, asked.set)
    loop.add_signal_handler(signal.SIGHUP, reload)
    logging.info(
        "event=started gateway=%s zone=%s",
        daemon.settings.name,
        daemon.settings.zone,
    )
    await daemon.start()
    await asked.wait()
    await daemon.drain()
    await daemon.stop()
    logging.info("event=stopped gateway=%s", daemon.settings.name)
