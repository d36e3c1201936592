"""A small cluster: fake servers in this process, daemons as subprocesses."""

from __future__ import annotations

import asyncio
import dataclasses
import signal
import time
from contextlib import AsyncExitStack, asynccontextmanager
from datetime import UTC, datetime, timedelta
from pathlib import Path

import aiohttp
from result import Ok

from gooseberrypost.configsync.apply import Applier
from gooseberrypost.state.records import (
    EngineRecord,
    ScheduleRecord,
    ServiceRecord,
)
from gooseberrypost.stores.memory import InMemoryKeyValueStore
from gooseberrypost.wire.channel import Channel
from gooseberrypost.wire.messages import idl
from tests.scenarios.processes import Process, reserve_address
from tests.scenarios.relay import Relay
from tests.standins.engine import Engine
from tests.standins.keyvalue import KeyValueService, serving
from tests.standins.plain import PlainService

READY_TIMEOUT_S = 30
ENTRY_SETTINGS = {"drain_timeout_ms", "seed", "write_timeout_ms"}
PLAIN_OPTIONS = {"restart_ms"}
HELLO = idl.Hello(
    process_kind="operator", name="test", incarnation=1, zone="", address=""
)


class Cluster:
    """Fake servers, daemons, relays and records, each by name."""

    def __init__(self, folder: Path, stack: AsyncExitStack):
        self.folder, self.stack = folder, stack
        self.store = InMemoryKeyValueStore(
            lambda: time.monotonic_ns() // 1_000_000
        )
        self.servers: dict[str, Engine | PlainService] = {}
        self.processes: dict[str, Process] = {}
        self.relays: dict[str, Relay] = {}
        self.records: dict[str, ServiceRecord | EngineRecord] = {}

    @classmethod
    @asynccontextmanager
    async def running(cls, folder: Path):
        async with AsyncExitStack() as stack:
            cluster = cls(folder, stack)
            app = KeyValueService(cluster.store).application()
            address = await stack.enter_async_context(serving(app))
            await cluster._add_relay("store", address)
            try:
                yield cluster
            finally:
                for process in cluster.processes.values():
                    process.kill()

    async def _add_relay(self, name: str, target: str) -> str:
        relay = await self.stack.enter_async_context(Relay.serving(target))
        self.relays[name] = relay
        return relay.address

    async def add_engine(self, name: str, role: str, options: dict):
        options = dict(options)
        zone = options.pop("zone", "a")
        service = options.pop("service", "manual-llm")
        model = options.pop("model", "rig-7b")
        behind_relay = options.pop("relay", "no") == "yes"
        engine = await self.stack.enter_async_context(
            Engine.serving(role=role, model=model, **options)
        )
        self.servers[name] = engine
        engine_options = engine.options
        backend = {
            "kind": "model",
            "address": engine.address,
            "checks_fencing": engine_options.checks_fencing,
            "slots": engine_options.slots,
            "pieces": engine_options.pieces,
            "link_kb_per_s": int(engine_options.link_kb_per_s),
        }
        address = await self._add_agent(
            name, zone, service, backend, behind_relay
        )
        self.records[f"engine/{name}"] = EngineRecord(
            name,
            service=service,
            agent_address=address,
            zone=zone,
            role=role,
            model=model,
            slots=engine_options.slots,
            pieces=engine_options.pieces,
            prefill_tokens_per_s=engine_options.prefill_tokens_per_s,
        )

    async def add_plain(self, name: str, options: dict):
        zone = options.get("zone", "a")
        service = options.get("service", "booking")
        server = await self.stack.enter_async_context(PlainService.serving())
        self.servers[name] = server
        backend = {"kind": "plain", "address": server.address}
        behind_relay = options.get("relay", "no") == "yes"
        address = await self._add_agent(
            name, zone, service, backend, behind_relay
        )
        self.records[f"engine/{name}"] = EngineRecord(
            name,
            service=service,
            agent_address=address,
            zone=zone,
            role="plain",
        )

    async def _add_agent(
        self,
        name: str,
        zone: str,
        service: str,
        backend: dict,
        behind_relay: bool,
    ) -> str:
        """Define an agent's process and return the address for entries.

        A relay accepts connections even while its agent does not listen, which
        hides a refused connection. So only agents whose connections are cut or
        stalled are behind one.
        """
        address = reserve_address(self.stack)
        self.processes[name] = Process(
            "agent",
            {
                "name": name,
                "vm": f"vm-{name}",
                "zone": zone,
                "service": service,
                "internal_address": address,
                "backend": backend,
                "key_value_addresses": [self.relays["store"].address],
                "lease_ms": 6_000,
                "lease_renewal_ms": 1_000,
            },
            self.folder,
        )
        return (
            await self._add_relay(name, address) if behind_relay else address
        )

    def add_entry(self, name: str, options: dict):
        self.processes[name] = Process(
            "entry",
            {
                "name": name,
                "zone": options.get("zone", "a"),
                "http_address": reserve_address(self.stack),
                "internal_address": reserve_address(self.stack),
                "key_value_addresses": [self.relays["store"].address],
                "claims": {
                    "shards": options.get("shards", 4),
                    "lease_ms": options.get("lease_ms", 3_000),
                },
                **{k: v for k, v in options.items() if k in ENTRY_SETTINGS},
            },
            self.folder,
        )

    def add_services(self):
        """Add the records of the two services unless they exist."""
        self.records.setdefault(
            "service/manual-llm",
            ServiceRecord(
                "manual-llm",
                kind="model",
                models=["rig-7b"],
                first_token_ms=10_000,
                token_gap_ms=1_000,
            ),
        )
        self.records.setdefault(
            "service/booking",
            ServiceRecord(
                "booking",
                kind="plain",
                non_idempotent=["POST /reserve"],
            ),
        )

    async def start_processes(self):
        """Apply the configuration, start all daemons and await readiness."""
        self.add_services()
        self._connect_peers()
        accepted = await Applier(self.store).apply(self.records, "initial")
        assert isinstance(accepted, Ok), accepted
        for process in self.processes.values():
            process.start()
        async with asyncio.timeout(READY_TIMEOUT_S):
            for name in self.processes:
                await self._wait_until_ready(name)

    async def configure(self, service: str, changes: dict):
        """Apply a configuration change to fields of a service's record."""
        key = f"service/{service}"
        self.records[key] = dataclasses.replace(self.records[key], **changes)
        accepted = await Applier(self.store).apply(
            {key: self.records[key]}, f"change-{time.monotonic_ns()}"
        )
        assert isinstance(accepted, Ok), accepted

    async def schedule(self, engine: str, role: str, options: dict):
        """Schedule a role for an engine, all day today and tomorrow (UTC)."""
        today = datetime.now(UTC).date()
        changes = {}
        for day in (today, today + timedelta(days=1)):
            row = ScheduleRecord(
                f"{engine}-{day}",
                day=day.isoformat(),
                service=self.records[f"engine/{engine}"].service,
                engine=engine,
                role=role,
                model=options.get("model", "rig-7b"),
                starts="00:00",
                ends="24:00",
                time_zone="UTC",
            )
            changes[f"schedule/{row.name}"] = row
        apply_id = f"sheet-{time.monotonic_ns()}"
        accepted = await Applier(self.store).apply(changes, apply_id)
        assert isinstance(accepted, Ok), accepted

    def _connect_peers(self):
        entries = [p for p in self.processes.values() if p.kind == "entry"]
        addresses = [p.settings["internal_address"] for p in entries]
        for process in self.processes.values():
            own = process.settings["internal_address"]
            process.settings["peers"] = [a for a in addresses if a != own]
            process.write_settings()

    async def _wait_until_ready(self, name: str):
        process = self.processes[name]
        while not await self.is_ready(name):
            assert process.running, "\n".join(process.log_lines()[-20:])
            await asyncio.sleep(0.05)

    async def is_ready(self, name: str) -> bool:
        if self.processes[name].kind == "entry":
            return await self.readiness_status(name) == 200
        status = await self.status(name)
        return status is not None and status.state == "serving"

    async def readiness_status(self, name: str) -> int:
        """HTTP status of an entry's ``/readyz``; 0 if it does not answer."""
        url = f"http://{self.http_address(name)}/readyz"
        timeout = aiohttp.ClientTimeout(total=1)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.get(url) as reply,
            ):
                return reply.status
        except (aiohttp.ClientError, TimeoutError):
            return 0

    def http_address(self, name: str) -> str:
        return self.processes[name].settings["http_address"]

    async def status(self, name: str):
        """``Status`` of a daemon, or ``None`` if it does not answer."""
        address = self.processes[name].settings["internal_address"]
        match await Channel.connect(address, HELLO, 500):
            case Ok(channel):
                reply = await channel.request(idl.StatusRequest(), 1_000)
                await channel.close()
                return reply.ok()
        return None

    def freeze(self, name: str):
        self.processes[name].signal(signal.SIGSTOP)

    def thaw(self, name: str):
        self.processes[name].signal(signal.SIGCONT)
