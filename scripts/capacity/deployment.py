"""Daemons as processes behind relays that count bytes."""

from __future__ import annotations

import asyncio
import tempfile
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

from result import Ok
from scripts.capacity.records import records
from scripts.capacity.usage import Usage
from tests.scenarios.cluster import Cluster
from tests.scenarios.relay import CHUNK_BYTES, Relay

from gooseberrypost.configsync.apply import Applier

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

STORE: Final = "store"
SERVER: Final = "server"
PEERS: Final = "peers"


class CountingRelay(Relay):
    """Forwards and counts the bytes of both directions."""

    def __init__(self, target: str) -> None:
        super().__init__(target)
        self.bytes = 0

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                self.bytes += len(data)
                writer.write(data)
                await writer.drain()
        writer.transport.abort()


class Deployment(Cluster):
    """A cluster in which each process has its own counted links."""

    def __init__(self, folder: Path, stack: Any) -> None:
        super().__init__(folder, stack)
        self.links: dict[tuple[str, str], list[CountingRelay]] = {}

    @classmethod
    @asynccontextmanager
    async def started(
        cls,
        *,
        entries: int = 1,
        agents: int = 2,
        record_count: int = 0,
        engine: dict[str, Any] | None = None,
        claims: dict[str, Any] | None = None,
    ) -> AsyncIterator[Deployment]:
        """Run entries (the first owns the shards) and agents."""
        with tempfile.TemporaryDirectory() as folder:
            async with cls.running(Path(folder)) as cluster:
                await cluster._add(agents, entries, engine, claims)
                cluster.add_services()
                if record_count:
                    await cluster._fill(record_count)
                await cluster.start_processes()
                yield cluster

    async def _add(
        self,
        agents: int,
        entries: int,
        engine: dict[str, Any] | None,
        claims: dict[str, Any] | None,
    ) -> None:
        for n in range(agents):
            role = "decode" if n % 2 else "prefill"
            await self.add_engine(f"{role}-{n}", role, engine or {})
            settings = self.processes[f"{role}-{n}"].settings
            settings["lease_ms"] = 60_000
            settings["lease_renewal_ms"] = 2_000
            backend = settings["backend"]
            backend["address"] = await self._link(
                f"{role}-{n}", SERVER, backend["address"]
            )
        for n in range(entries):
            name = f"entry-{n}"
            self.add_entry(name, {})
            self.processes[name].settings["claims"] = {
                "own": n == 0,
                **(claims or {}),
            }
        for name, process in self.processes.items():
            address = process.settings["key_value_addresses"][0]
            link = await self._link(name, STORE, address)
            process.settings["key_value_addresses"] = [link]
        for name, process in self.processes.items():
            await self._link_peers(name, process.settings)

    async def _link_peers(self, name: str, settings: dict[str, Any]) -> None:
        settings["peers"] = [
            await self._link(name, PEERS, p.settings["internal_address"])
            for other, p in self.processes.items()
            if p.kind == "entry" and other != name
        ]
        self.processes[name].write_settings()

    def _connect_peers(self) -> None:
        """Keep the links made above."""

    async def _link(self, name: str, kind: str, target: str) -> str:
        relay = await self.stack.enter_async_context(
            CountingRelay.serving(target)
        )
        self.links.setdefault((name, kind), []).append(relay)
        return relay.address

    async def _fill(self, count: int) -> None:
        accepted = await Applier(self.store).apply(records(count), "fill")
        assert isinstance(accepted, Ok), accepted

    async def _add_relay(self, name: str, target: str) -> str:
        relay = await self.stack.enter_async_context(
            CountingRelay.serving(target)
        )
        self.relays[name] = relay
        return relay.address

    def relays_to_agents(self) -> list[CountingRelay]:
        """Links that entries use to reach agents."""
        return [
            relay
            for name, relay in self.relays.items()
            if name != STORE and isinstance(relay, CountingRelay)
        ]

    def usage(self, name: str) -> Usage:
        """CPU and memory of a daemon."""
        popen = self.processes[name].popen
        assert popen is not None
        return Usage.of(popen.pid)

    def link_bytes(self, name: str, kind: str) -> int:
        """Bytes on the links of a kind that a process opened."""
        return sum(r.bytes for r in self.links.get((name, kind), []))

    def answered_bytes(self, name: str) -> int:
        """Bytes of the pulls that an entry answered."""
        own = self.processes[name].settings["internal_address"]
        return sum(
            relay.bytes
            for (_, kind), relays in self.links.items()
            for relay in relays
            if kind == PEERS and relay.target == own
        )
