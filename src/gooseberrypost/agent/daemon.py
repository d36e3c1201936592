"""Agent process: runs beside one backend server and controls access to it."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from typing import TYPE_CHECKING, Any, Final, Self

from mode import Service

from gooseberrypost.agent.cache import CacheController
from gooseberrypost.agent.capacity import CapacityController
from gooseberrypost.agent.context import Context
from gooseberrypost.agent.crash import CrashReporter
from gooseberrypost.agent.engine import EngineClient
from gooseberrypost.agent.execution import ExecutionController
from gooseberrypost.agent.jobs import Attempts
from gooseberrypost.agent.lease import AgentLease, boot_time_ms
from gooseberrypost.agent.lifecycle import DrainReason, LifecycleController
from gooseberrypost.agent.log import log_decision
from gooseberrypost.agent.orders import OrderController
from gooseberrypost.agent.peerengines import PeerEngineProber
from gooseberrypost.agent.plain import PlainClient
from gooseberrypost.agent.reports import ReportHandler
from gooseberrypost.agent.schedule import ScheduleController
from gooseberrypost.blackboard import Blackboard
from gooseberrypost.configsync.controller import ConfigurationController
from gooseberrypost.identity import ProcessId, new_incarnation
from gooseberrypost.state.configuration import Configuration
from gooseberrypost.state.records import Kind
from gooseberrypost.wire.channel import ChannelPool
from gooseberrypost.wire.dispatch import Dispatcher
from gooseberrypost.wire.listener import Listener
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from gooseberrypost.agent.backend import Backend
    from gooseberrypost.settings.agent import AgentSettings
    from gooseberrypost.stores.keyvalue import KeyValueStore

STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)
FINISH_TIMEOUT_MS: Final = 2_000
"""Time for entries to receive the last replies before the agent stops."""


class Agent(Service):
    """Root service of the agent, which owns its controllers."""

    def __init__(
        self,
        cfg: AgentSettings,
        store: KeyValueStore | None,
        vm_list: Any,
        rng: random.Random,
        lease_clock_ms: Callable[[], int],
        wall_clock_ms: Callable[[], int],
    ) -> None:
        super().__init__()
        self.cfg = cfg
        self.process_id = ProcessId(cfg.name, new_incarnation())
        self.board = Blackboard()
        self.dispatcher = Dispatcher()
        self.listener = Listener(self.dispatcher)
        self.backend = make_backend(cfg)
        self.pool = ChannelPool(self._hello_message())
        self.capacity = CapacityController.from_config(cfg.backend, self.board)
        self.lifecycle = LifecycleController(
            cfg, self.board, self.backend, vm_list
        )
        self.cache = CacheController(self.board, self.backend)
        self.configuration = ConfigurationController(
            self.board, self.pool, cfg.peers, store, rng=rng
        )
        self.context = self._make_context()
        self.execution = ExecutionController(self.board, self.context)
        self.lease = AgentLease(
            cfg, self.process_id, store, rng, lease_clock_ms
        )
        self.orders = OrderController(self.context, self.lease)
        prober = PeerEngineProber(
            cfg, self.context.configuration, self.pool, wall_clock_ms
        )
        self.schedule = ScheduleController(
            self.context, self.lease, self.orders, prober, wall_clock_ms
        )
        self._register_handlers()

    @classmethod
    def from_config(
        cls,
        cfg: AgentSettings,
        store: KeyValueStore | None = None,
        vm_list: Any = None,
        lease_clock_ms: Callable[[], int] = boot_time_ms,
        wall_clock_ms: Callable[[], int] | None = None,
    ) -> Self:
        """Build an agent from its settings.

        Without a store the agent cannot get its lease and refuses every
        order. ``wall_clock_ms`` returns milliseconds since 1970 UTC.
        """
        rng = random.Random(cfg.seed)
        clock_ms = wall_clock_ms or unix_time_ms
        return cls(cfg, store, vm_list, rng, lease_clock_ms, clock_ms)

    @property
    def address(self) -> str:
        """Internal ``host:port`` that the listener is bound to."""
        return self.listener.address

    def on_init_dependencies(self) -> Iterable[Any]:
        """Return the controllers in their start order."""
        return [
            self.configuration,
            self.capacity,
            self.lifecycle,
            self.cache,
            self.execution,
            self.lease,
            self.orders,
            self.schedule,
        ]

    async def on_started(self) -> None:
        """Accept connections once all controllers have started."""
        await self.listener.start(self.cfg.internal_address)
        log_decision("listening", server=self.cfg.name, address=self.address)

    async def on_stop(self) -> None:
        """Close the listener before the controllers stop."""
        self.lifecycle.mark_stopped()
        await self.listener.stop()

    async def on_shutdown(self) -> None:
        """Close the connections to other processes and the server."""
        await self.pool.close()
        await self.backend.close()

    async def drain(self) -> None:
        """Refuse new work and wait until nothing runs.

        The wait ends after ``drain_timeout_ms`` at the latest.
        """
        self.lifecycle.drain(DrainReason.SHUTDOWN, True)
        capacity = self.capacity.capacity
        try:
            async with asyncio.timeout(self.cfg.drain_timeout_ms / 1_000):
                while not capacity.ledger.is_idle:
                    await capacity.changed()
        except TimeoutError:
            log_decision(
                "drain_timeout", running=len(capacity.ledger.allocations)
            )
        # The ledger becomes idle before the last replies have been sent.
        await self.listener.finish(FINISH_TIMEOUT_MS)

    def _hello_message(self) -> Any:
        return idl.Hello(
            process_kind="agent",
            name=self.process_id.name,
            incarnation=self.process_id.incarnation,
            zone=self.cfg.zone,
            address=self.cfg.internal_address,
        )

    def _make_context(self) -> Context:
        attempts = Attempts()
        crash_reporter = CrashReporter(
            self.process_id,
            self.backend,
            attempts,
            self.lifecycle,
            self.pool,
            self.cfg.peers,
        )
        return Context(
            cfg=self.cfg,
            process_id=self.process_id,
            backend=self.backend,
            capacity_controller=self.capacity,
            lifecycle_controller=self.lifecycle,
            cache_controller=self.cache,
            attempts=attempts,
            crash_reporter=crash_reporter,
            configuration=self.board.read(Configuration),
            now_ms=monotonic_ms,
        )

    def _register_handlers(self) -> None:
        self.configuration.register(self.dispatcher)
        self.execution.register(self.dispatcher)
        self.orders.register(self.dispatcher)
        ReportHandler(self.context).register(self.dispatcher)


def unix_time_ms() -> int:
    """Return the wall-clock time in milliseconds since 1970 UTC."""
    return time.time_ns() // 1_000_000


def monotonic_ms() -> int:
    """Return the time of the event loop in whole milliseconds."""
    return int(asyncio.get_running_loop().time() * 1_000)


def make_backend(cfg: AgentSettings) -> Backend:
    """Build the client for the configured kind of backend server."""
    kind = EngineClient if cfg.backend.kind == Kind.MODEL else PlainClient
    return kind.from_config(cfg.backend)


async def run(cfg: AgentSettings) -> None:
    """Run an agent until SIGTERM or SIGINT, then drain and stop.

    Raises the exception of a controller that crashed.
    """
    agent = Agent.from_config(cfg, make_store(cfg), make_vm_list(cfg))
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in STOP_SIGNALS:
        loop.add_signal_handler(signal_number, stopping.set)
    await agent.start()
    try:
        if not await agent.wait_for_stopped(stopping):
            await agent.drain()
    finally:
        await agent.stop()
    if agent.crash_reason is not None:
        raise agent.crash_reason


def make_store(cfg: AgentSettings) -> KeyValueStore | None:
    """Build the client of the key-value service, if one is configured."""
    if not cfg.key_value_addresses:
        return None
    from gooseberrypost.stores.http import HttpKeyValueStore

    return HttpKeyValueStore.from_addresses(cfg.key_value_addresses)


def make_vm_list(cfg: AgentSettings) -> Any:
    """Build the client of the platform's VM list, if one is configured."""
    if not cfg.vm_list_address:
        return None
    from gooseberrypost.stores.vms import HttpVmList

    return HttpVmList.from_address(cfg.vm_list_address)
