"""Gateway daemon: service tree, signal handling and graceful shutdown."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING, Final

from absl import logging
from mode import Service

from gooseberrypost.blackboard import Blackboard
from gooseberrypost.clientrefusals import ClientRefusals
from gooseberrypost.gateway.authentication import RevocationWatch
from gooseberrypost.gateway.context import GatewayContext
from gooseberrypost.gateway.convictions import ConvictionKeeper
from gooseberrypost.gateway.crashrecords import CrashKeeper
from gooseberrypost.gateway.directory import add_directory
from gooseberrypost.gateway.feedwatch import FeedWatcher
from gooseberrypost.gateway.frontend import Frontend
from gooseberrypost.gateway.monitoring import MonitoringServer
from gooseberrypost.gateway.peers import Peers
from gooseberrypost.gateway.stages import StageController
from gooseberrypost.gateway.tasks import keep_running
from gooseberrypost.gateway.versions import VersionKeeper
from gooseberrypost.lifecycle import LifecycleController, State

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from gooseberrypost.gateway.convictions import ConvictionStore
    from gooseberrypost.gateway.directory import Feed
    from gooseberrypost.gateway.frontend import Decoder
    from gooseberrypost.gateway.peers import Registry
    from gooseberrypost.gateway.stagelock import StageLock
    from gooseberrypost.gateway.transport import Transport
    from gooseberrypost.gateway.versions import VersionStore
    from gooseberrypost.settings.gateway import GatewaySettings

DIRECTORY_OWNER: Final = "GatewayDaemon"
READINESS_INTERVAL_S: Final = 0.05
CLEANUP_INTERVAL_S: Final = 5.0
DRAIN_ACCEPT_S: Final = 2.2
"""Time for the balancer to detect the drain: it probes readiness once a second
and needs two failed probes."""
STOP_ACCEPT_S: Final = 1.0
"""Time before the exit at which the gateway stops accepting connections."""
LAST_ANSWERS_S: Final = 0.3
"""Time in which the failures of unfinished requests reach their clients."""
EXIT_MARGIN_S: Final = 0.6
"""Time reserved for cleanup before the platform kills the process."""


class GatewayDaemon(Service):
    """A gateway process, as a tree of services."""

    def __init__(
        self,
        cfg: GatewaySettings,
        transport: Transport,
        feed: Feed,
        registry: Registry,
        stage_lock: StageLock,
        convictions: ConvictionStore,
        versions: VersionStore,
        decode: Decoder,
        rng: random.Random,
    ) -> None:
        super().__init__()
        board = Blackboard()
        self.settings = cfg
        self.lifecycle = LifecycleController(board)
        directory = add_directory(board, DIRECTORY_OWNER)
        directory.servers.heartbeat_s = cfg.heartbeat_ms / 1_000
        self.context = GatewayContext(cfg, directory, transport, rng)
        transport.on_rate_limit = self.context.record_rate_limit
        transport.on_leaving = self.context.record_leaving
        transport.on_pause = self.context.record_server_pause
        self.context.versions = VersionKeeper(self.context, versions)
        self.context.relative_use = self.context.quotas.relative_use
        section = self.lifecycle.section
        self.peers = Peers(self.context, registry)
        self.stages = StageController(self.context, stage_lock, self.peers)
        refusals = ClientRefusals(self.context.metrics)
        self.frontend = Frontend(self.context, section, decode, refusals)
        for service in (
            self.lifecycle,
            MonitoringServer(
                self.context,
                section,
                refusals,
                lambda: self.frontend.unread_connections,
            ),
            self.context.reservation_queue,
            self.frontend,
            FeedWatcher(
                feed, directory, cfg.propagation_ms, self.context.metrics
            ),
            self.peers,
            self.stages,
            ConvictionKeeper(self.context, convictions),
            CrashKeeper(self.context, convictions),
            self.context.versions,
            RevocationWatch(
                directory, self.frontend.refuse_revoked, self.context.metrics
            ),
        ):
            self.add_dependency(service)

    async def on_started(self) -> None:
        """Become ready once the configuration and the servers are loaded."""
        metrics = self.context.metrics
        self.add_future(keep_running(self, self._serve_when_loaded, metrics))
        self.add_future(
            keep_running(self, self._forget_removed_servers, metrics)
        )

    async def _serve_when_loaded(self) -> None:
        directory = self.context.directory
        while not directory.is_loaded:
            # Once the service is stopping, ``sleep`` returns at once, and a
            # loop without this check would spin.
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

    async def _forget_removed_servers(self) -> None:
        while not self.should_stop:
            await self.sleep(CLEANUP_INTERVAL_S)
            servers = self.context.directory.servers.all()
            identities = {server.identity for server in servers}
            self.context.loads.retain(identities)
            self.context.plain_queues.retain(identities)
            if self.context.work is not None:
                self.context.work.retain(identities)

    async def drain(self, signalled_s: float | None = None) -> None:
        """Fail the readiness probe and finish the requests in flight.

        ``signalled_s`` is the monotonic time of the signal, from which the
        grace period counts; by default now.
        """
        ctx = self.context
        now_s = ctx.now_s()
        if signalled_s is None:
            signalled_s = now_s
        self.lifecycle.drain()
        logging.info(
            "event=draining in_flight=%d late_ms=%d",
            self.frontend.in_flight,
            1_000 * (now_s - signalled_s),
        )
        ctx.shutdown_at_s = (
            signalled_s + self.settings.grace_ms / 1_000 - EXIT_MARGIN_S
        )
        ctx.out_of_rotation_s = signalled_s + DRAIN_ACCEPT_S
        # The balancer may have no other gateway for its clients, so new
        # requests are accepted until the remaining time is needed to finish
        # those in flight.
        await asyncio.sleep(max(0.0, min(DRAIN_ACCEPT_S, self._remaining_s())))
        await self.frontend.wait_idle(self._remaining_s() - STOP_ACCEPT_S)
        await self.frontend.close_connections(self._remaining_s())
        if self.frontend.in_flight:
            logging.warning(
                "event=drain_timed_out in_flight=%d", self.frontend.in_flight
            )
            self.frontend.stop_unfinished()
            await self.frontend.close_connections(LAST_ANSWERS_S)

    def _remaining_s(self) -> float:
        return self.context.shutdown_at_s - self.context.now_s()

    async def on_stop(self) -> None:
        """Close the connections to the backend servers."""
        await self.context.transport.close()


async def serve_until_signal(
    daemon: GatewayDaemon, reload: Callable[[], None]
) -> None:
    """Run a daemon until SIGTERM or SIGINT, then drain and stop it.

    SIGHUP calls ``reload``.
    """
    signalled: asyncio.Future[float] = asyncio.Future()
    loop = asyncio.get_running_loop()

    def request_stop(*_: object) -> None:
        # Runs at once, also while the event loop is late.
        now_s = daemon.context.now_s()
        loop.call_soon_threadsafe(_set_first, signalled, now_s)

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, request_stop)
    loop.add_signal_handler(signal.SIGHUP, reload)
    logging.info(
        "event=started gateway=%s zone=%s",
        daemon.settings.name,
        daemon.settings.zone,
    )
    await daemon.start()
    await daemon.drain(await signalled)
    await daemon.stop()
    logging.info("event=stopped gateway=%s", daemon.settings.name)


def _set_first(fut: asyncio.Future[float], value: float) -> None:
    """Set a result, unless there is one."""
    if not fut.done():
        fut.set_result(value)
