"""Entry daemon: its services, readiness, drain and shutdown."""

from __future__ import annotations

import asyncio
import random
import signal
from typing import TYPE_CHECKING, Final

from absl import logging
from mode import Service
from result import Err

from gooseberrypost.blackboard import Blackboard
from gooseberrypost.entry.admission_queue import AdmissionQueue
from gooseberrypost.entry.agents import AgentClient, BackgroundTasks
from gooseberrypost.entry.collaborators import Catalog, Collaborators
from gooseberrypost.entry.context import EntryContext
from gooseberrypost.entry.fleet import FleetController
from gooseberrypost.entry.http import HttpController
from gooseberrypost.entry.operators import OperatorHandlers
from gooseberrypost.entry.requests import (
    ANSWER_READ_S,
    RequestController,
)
from gooseberrypost.identity import new_incarnation
from gooseberrypost.lifecycle import LifecycleController, State
from gooseberrypost.logs import DecisionLog
from gooseberrypost.metrics import Metrics
from gooseberrypost.timeouts import Deadline
from gooseberrypost.wire.channel import ChannelPool
from gooseberrypost.wire.dispatch import Dispatcher
from gooseberrypost.wire.listener import Listener
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from collections.abc import Callable

    from gooseberrypost.settings.entry import EntrySettings

READINESS_CHECK_INTERVAL_S: Final = 0.1
"""Pause between readiness checks while the entry starts, in seconds."""
BACKGROUND_TIMEOUT_S: Final = 2.0
"""Time limit for background clean-up, such as cancellations sent to agents.

It applies after a drain and again at the stop, in seconds.
"""


LAST_ANSWERS_S: Final = 1.0
"""Time in which the last answers of a drain reach their callers."""


class WireController(Service):
    """Internal listener, and channels to agents and other entries."""

    def __init__(
        self, listener: Listener, dispatcher: Dispatcher, pool: ChannelPool
    ) -> None:
        super().__init__()
        self._listener = listener
        self.dispatcher = dispatcher
        self.pool = pool

    async def on_stop(self) -> None:
        """Close the channels, then the listener."""
        await self.pool.close()
        await self._listener.stop()


class EntryDaemon(Service):
    """One entry, as a service that starts and stops all its services."""

    def __init__(
        self,
        cfg: EntrySettings,
        collaborators: Collaborators,
        board: Blackboard,
        wire: WireController,
        incarnation: int,
        services: list[Service],
        shards: Callable[[], list[int]],
    ) -> None:
        super().__init__()
        self.settings = cfg
        self.shards = shards
        """Returns the claim shards that this entry owns."""
        self._background = BackgroundTasks()
        self.lifecycle = LifecycleController(board)
        self.fleet = FleetController(
            cfg.name, cfg.zone, collaborators, board, wire.pool
        )
        self.context = EntryContext(
            settings=cfg,
            collaborators=collaborators,
            catalog=Catalog(collaborators.configuration),
            fleet=self.fleet,
            agents=AgentClient(wire.pool, self.fleet, self._background),
            queue=AdmissionQueue(collaborators, self.fleet),
            background=self._background,
            decisions=DecisionLog(cfg.explanations),
            metrics=Metrics(),
        )
        self.requests = RequestController(self.context, board, self.lifecycle)
        self.http = HttpController(self.context, self.requests, self.lifecycle)
        OperatorHandlers(
            self.context, self.requests, self.lifecycle, incarnation, shards
        ).register(wire.dispatcher)
        # Services stop in reverse order: the HTTP server first, so that no
        # new requests arrive, and the internal connections last.
        for service in (
            wire,
            *services,
            self.lifecycle,
            self.fleet,
            self.requests,
            self.http,
        ):
            self.add_dependency(service)

    @classmethod
    async def from_config(
        cls,
        cfg: EntrySettings,
        collaborators: Collaborators,
        *,
        board: Blackboard | None = None,
        wire: WireController | None = None,
        incarnation: int | None = None,
        services: list[Service] | None = None,
        shards: Callable[[], list[int]] = list,
    ) -> EntryDaemon:
        """Build an entry; its controllers start after ``services``."""
        if incarnation is None:
            incarnation = new_incarnation()
        if wire is None:
            wire = await open_wire(cfg, incarnation)
        return cls(
            cfg,
            collaborators,
            board or Blackboard(),
            wire,
            incarnation,
            services or [],
            shards,
        )

    async def on_started(self) -> None:
        """Become ready once a configuration and a claim owner are available.

        Requests can then be claimed and placed.
        """
        if not await self._serve_if_ready():
            self.add_future(self._serve_when_ready())

    async def _serve_when_ready(self) -> None:
        # Without a configuration or a reachable claim owner, the entry would
        # refuse every request that the load balancer sends to it.
        while not self.should_stop:
            await self.sleep(READINESS_CHECK_INTERVAL_S)
            if self.lifecycle.state is not State.STARTING:
                return
            if await self._serve_if_ready():
                return

    async def _serve_if_ready(self) -> bool:
        collaborators = self.context.collaborators
        if collaborators.configuration.version == 0:
            return False
        if isinstance(await collaborators.claims.mint(""), Err):
            return False
        self.lifecycle.serve()
        logging.info(
            "event=serving entry=%s http=%s",
            self.settings.name,
            self.http.address,
        )
        return True

    async def drain(self) -> None:
        """Refuse new requests and wait for those in flight.

        The wait for requests is limited by ``drain_timeout_ms``. What is then
        unfinished is answered with a failure.
        """
        self.lifecycle.drain()
        logging.info("event=draining in_flight=%d", self.requests.in_flight)
        timeout_s = self.settings.drain_timeout_ms / 1_000
        try:
            with (
                Deadline(timeout_s, ANSWER_READ_S) as deadline,
                deadline.limit(),
            ):
                await self.requests.idle()
        except TimeoutError:
            logging.warning(
                "event=drain_timed_out in_flight=%d", self.requests.in_flight
            )
            self.requests.stop_unfinished()
        await self.http.close_connections(LAST_ANSWERS_S)
        await self._background.wait_or_cancel(BACKGROUND_TIMEOUT_S)

    async def on_stop(self) -> None:
        """Stop the HTTP server, then wait for the cancellations it causes."""
        await self.http.stop()
        await self._background.wait_or_cancel(BACKGROUND_TIMEOUT_S)


async def open_wire(cfg: EntrySettings, incarnation: int) -> WireController:
    """Bind the internal listener; every ``Hello`` carries its address."""
    dispatcher = Dispatcher()
    listener = Listener(dispatcher)
    await listener.start(cfg.internal_address)
    hello = idl.Hello(
        process_kind="entry",
        name=cfg.name,
        incarnation=incarnation,
        zone=cfg.zone,
        address=listener.address,
    )
    return WireController(listener, dispatcher, ChannelPool(hello))


async def run(cfg: EntrySettings) -> None:
    """Run an entry until SIGTERM or SIGINT, then drain and stop it."""
    from gooseberrypost.entry.wiring import build

    daemon = await build(cfg, random.Random(cfg.seed))
    await serve_until_signal(daemon)


async def serve_until_signal(daemon: EntryDaemon) -> None:
    """Start the entry, wait for SIGTERM or SIGINT, drain and stop it."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    await daemon.start()
    await stop_requested.wait()
    await daemon.drain()
    await daemon.stop()
