"""Cluster of daemon processes that are connected by byte-counting relays."""

from __future__ import annotations

import asyncio
import tempfile
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

from result import Ok
from scripts.capacity.records import make_records
from scripts.capacity.usage import Usage
from tests.scenarios.cluster import Cluster
from tests.scenarios.relay import CHUNK_BYTES, Relay

from gooseberrypost.configsync.apply import Applier

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

# Kinds of links. A link is the relay of the connections that one process
# opens to the key-value service, to its backend server or to a peer.
STORE: Final = "store"
SERVER: Final = "server"
PEERS: Final = "peers"


class CountingRelay(Relay):
    """Relay that counts the bytes forwarded in both directions."""

    def __init__(self, target: str) -> None:
        super().__init__(target)
        self.byte_count = 0

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                self.byte_count += len(data)
                writer.write(data)
                await writer.drain()
        writer.transport.abort()


class Deployment(Cluster):
    """Cluster in which the bytes on the links of each process are counted."""

    def __init__(self, folder: Path, stack: Any) -> None:
        super().__init__(folder, stack)
        self.links: dict[tuple[str, str], list[CountingRelay]] = {}
        """Links by name of the process and kind of link."""

    @classmethod
    @asynccontextmanager
    async def started(
        cls,
        *,
        entry_count: int = 1,
        agent_count: int = 2,
        record_count: int = 0,
        engine_options: dict[str, Any] | None = None,
        claim_settings: dict[str, Any] | None = None,
    ) -> AsyncIterator[Deployment]:
        """Run entries and agents; the first entry owns all claim shards."""
        with tempfile.TemporaryDirectory() as folder:
            async with cls.running(Path(folder)) as cluster:
                await cluster._add_processes(
                    agent_count, entry_count, engine_options, claim_settings
                )
                cluster.add_services()
                if record_count:
                    await cluster._apply_records(record_count)
                await cluster.start_processes()
                yield cluster

    async def _add_processes(
        self,
        agent_count: int,
        entry_count: int,
        engine_options: dict[str, Any] | None,
        claim_settings: dict[str, Any] | None,
    ) -> None:
        for n in range(agent_count):
            role = "decode" if n % 2 else "prefill"
            await self.add_engine(f"{role}-{n}", role, engine_options or {})
            settings = self.processes[f"{role}-{n}"].settings
            settings["lease_ms"] = 60_000
            settings["lease_renewal_ms"] = 2_000
            backend = settings["backend"]
            backend["address"] = await self._open_link(
                f"{role}-{n}", SERVER, backend["address"]
            )
        for n in range(entry_count):
            name = f"entry-{n}"
            self.add_entry(name, {})
            self.processes[name].settings["claims"] = {
                "own": n == 0,
                **(claim_settings or {}),
            }
        for name, process in self.processes.items():
            address = process.settings["key_value_addresses"][0]
            link = await self._open_link(name, STORE, address)
            process.settings["key_value_addresses"] = [link]
        for name, process in self.processes.items():
            await self._link_peers(name, process.settings)

    async def _link_peers(self, name: str, settings: dict[str, Any]) -> None:
        settings["peers"] = [
            await self._open_link(
                name, PEERS, peer.settings["internal_address"]
            )
            for other, peer in self.processes.items()
            if peer.kind == "entry" and other != name
        ]
        self.processes[name].write_settings()

    def _connect_peers(self) -> None:
        """Leave the peer settings alone: ``_link_peers`` has written them."""

    async def _open_link(self, name: str, kind: str, target: str) -> str:
        relay = await self.stack.enter_async_context(
            CountingRelay.serving(target)
        )
        self.links.setdefault((name, kind), []).append(relay)
        return relay.address

    async def _apply_records(self, count: int) -> None:
        result = await Applier(self.store).apply(make_records(count), "fill")
        assert isinstance(result, Ok), result

    async def _add_relay(self, name: str, target: str) -> str:
        relay = await self.stack.enter_async_context(
            CountingRelay.serving(target)
        )
        self.relays[name] = relay
        return relay.address

    def relays_to_agents(self) -> list[CountingRelay]:
        """Return the relays between the entries and the agents."""
        return [
            relay
            for name, relay in self.relays.items()
            if name != STORE and isinstance(relay, CountingRelay)
        ]

    def usage(self, name: str) -> Usage:
        """Return the CPU time and memory of a daemon."""
        popen = self.processes[name].popen
        assert popen is not None
        return Usage.of(popen.pid)

    def link_bytes(self, name: str, kind: str) -> int:
        """Return the bytes on a process's links of one kind."""
        return sum(
            relay.byte_count for relay in self.links.get((name, kind), [])
        )

    def served_pull_bytes(self, name: str) -> int:
        """Return the bytes of configuration pulls that an entry has served."""
        internal_address = self.processes[name].settings["internal_address"]
        return sum(
            relay.byte_count
            for (_, kind), relays in self.links.items()
            for relay in relays
            if kind == PEERS and relay.target == internal_address
        )
