"""Demonstration cluster on the loopback interface.

Starts stand-ins for the key-value service and the backend servers, an agent
for each server, and two entries. Sends a streamed completion, an idempotent
call and a non-idempotent call; the non-idempotent call is sent twice with the
same idempotency key. Prints each response with the entry's log lines for the
request, and stops every process at the end.
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
import sys
import tempfile
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import aiohttp

from gooseberrypost.configsync.apply import Applier
from gooseberrypost.state.records import (
    EngineRecord,
    EngineRole,
    Kind,
    Record,
    ServiceRecord,
)
from gooseberrypost.stores.http import HttpKeyValueStore

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

ROOT: Final = Path(__file__).resolve().parent.parent
LOOPBACK: Final = "127.0.0.1"
EPHEMERAL_ADDRESS: Final = f"{LOOPBACK}:0"
DEMO_TIMEOUT_S: Final = 110
READY_POLL_INTERVAL_S: Final = 0.1
STOP_TIMEOUT_S: Final = 10

ZONE: Final = "sk-west-a"
MODEL_SERVICE: Final = "manual-llm"
PLAIN_SERVICE: Final = "booking"
MODEL: Final = "manuals-7b"
ENGINE_ROLES: Final = {
    "prefill-1": "prefill",
    "prefill-2": "prefill",
    "decode-1": "decode",
    "decode-2": "decode",
}
PLAIN_SERVERS: Final = ("booking-1", "booking-2")
ENTRIES: Final = ("entry-1", "entry-2")


def free_address() -> str:
    """Return a loopback address with a port that is currently unused."""
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return f"{LOOPBACK}:{probe.getsockname()[1]}"


class Demo:
    """Processes of the cluster, and the directory of their files."""

    def __init__(self, directory: Path, stack: AsyncExitStack) -> None:
        self._directory = directory
        self._stack = stack
        self._processes: dict[str, Any] = {}
        self.key_value_address = ""
        self.entry_internal_addresses: list[str] = []
        self.agent_addresses: dict[str, str] = {}
        """Internal address of each agent, by name of its backend server."""
        self.entry_http_addresses: dict[str, str] = {}

    def read_log(self, name: str) -> str:
        """Return the log of a process up to now."""
        return (self._directory / f"{name}.log").read_text()

    async def start(self, name: str, *arguments: str) -> Any:
        """Run a Python module as a process until the demonstration ends."""
        process = await self._stack.enter_async_context(
            running_module(self._directory / f"{name}.log", *arguments)
        )
        self._processes[name] = process
        return process

    def check_processes(self) -> None:
        """Abort the demonstration if a process has exited."""
        for name, process in self._processes.items():
            if process.returncode is not None:
                print(self.read_log(name), file=sys.stderr)
                raise SystemExit(
                    f"{name} ended unexpectedly with code {process.returncode}"
                )

    async def start_standin(self, module: str, options: dict[str, Any]) -> str:
        """Run a stand-in and return the address that it listens on."""
        number = len(list(self._directory.iterdir()))
        arguments = [
            f"tests.standins.{module}",
            "--address",
            EPHEMERAL_ADDRESS,
        ]
        if options:
            arguments += ["--options", json.dumps(options)]
        process = await self.start(f"{module}-{number}", *arguments)
        line = await process.stdout.readline()
        return line.decode().strip()

    async def start_daemon(self, kind: str, settings: dict[str, Any]) -> None:
        """Run an entry or agent with these settings."""
        name = settings["name"]
        path = self._directory / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2))
        await self.start(name, "gooseberrypost", kind, "--config", str(path))

    async def start_agent(
        self, name: str, service: str, kind: str, backend_address: str
    ) -> None:
        """Run an agent for a stand-in of a backend server."""
        self.agent_addresses[name] = free_address()
        await self.start_daemon(
            "agent",
            {
                "name": name,
                "vm": f"vm-{name}",
                "zone": ZONE,
                "service": service,
                "internal_address": self.agent_addresses[name],
                "backend": {"kind": kind, "address": backend_address},
                "peers": self.entry_internal_addresses,
                "key_value_addresses": [self.key_value_address],
            },
        )


@asynccontextmanager
async def running_module(
    log: Path, *arguments: str
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Run a Python module as a process that logs to a file.

    On exit the process is terminated, and killed if it is still running after
    ``STOP_TIMEOUT_S``.
    """
    python_path = os.pathsep.join([str(ROOT / "src"), str(ROOT)])
    with log.open("wb") as file:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *arguments,
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": python_path},
            stdout=asyncio.subprocess.PIPE,
            stderr=file,
        )
    try:
        yield process
    finally:
        if process.returncode is None:
            process.terminate()
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()


async def start_cluster(demo: Demo) -> None:
    """Start the stand-ins, their agents and the entries."""
    internal_addresses = {name: free_address() for name in ENTRIES}
    demo.entry_internal_addresses = list(internal_addresses.values())
    demo.key_value_address = await demo.start_standin("keyvalue", {})
    for name, role in ENGINE_ROLES.items():
        engine = await demo.start_standin(
            "engine", {"role": role, "model": MODEL}
        )
        await demo.start_agent(name, MODEL_SERVICE, "model", engine)
    for name in PLAIN_SERVERS:
        server = await demo.start_standin("plain", {})
        await demo.start_agent(name, PLAIN_SERVICE, "plain", server)
    for name in ENTRIES:
        demo.entry_http_addresses[name] = free_address()
        peers = [
            address
            for other, address in internal_addresses.items()
            if other != name
        ]
        await demo.start_daemon(
            "entry",
            {
                "name": name,
                "zone": ZONE,
                "http_address": demo.entry_http_addresses[name],
                "internal_address": internal_addresses[name],
                "peers": peers,
                "key_value_addresses": [demo.key_value_address],
            },
        )


def demo_records(demo: Demo) -> dict[str, Record]:
    """Return the configuration records of the cluster, by key."""
    records: dict[str, Record] = {
        f"service/{MODEL_SERVICE}": ServiceRecord(
            MODEL_SERVICE, models=[MODEL], first_token_ms=2_000
        ),
        f"service/{PLAIN_SERVICE}": ServiceRecord(
            PLAIN_SERVICE,
            kind=Kind.PLAIN,
            non_idempotent=["POST /reservations"],
        ),
    }
    for name, address in demo.agent_addresses.items():
        is_model_engine = name in ENGINE_ROLES
        records[f"engine/{name}"] = EngineRecord(
            name,
            service=MODEL_SERVICE if is_model_engine else PLAIN_SERVICE,
            agent_address=address,
            zone=ZONE,
            role=ENGINE_ROLES.get(name, EngineRole.PLAIN),
            model=MODEL if is_model_engine else "",
        )
    return records


async def apply_configuration(demo: Demo) -> None:
    """Write the configuration to the key-value service.

    The entries read it from there.
    """
    store = HttpKeyValueStore.from_addresses([demo.key_value_address])
    try:
        result = await Applier(store).apply(demo_records(demo), "demo")
    finally:
        await store.close()
    print(f"== configuration version {result.unwrap().version} accepted")


async def wait_until_ready(
    demo: Demo, http: aiohttp.ClientSession, address: str
) -> None:
    """Wait until an entry is ready and issues idempotency keys."""
    while True:
        demo.check_processes()
        try:
            async with http.get(f"http://{address}/readyz") as readiness:
                pass
            url = f"http://{address}/v1/idempotency-keys"
            async with http.post(url) as key_response:
                pass
            if readiness.status == 200 and key_response.status == 201:
                return
        except aiohttp.ClientError:
            pass
        await asyncio.sleep(READY_POLL_INTERVAL_S)


async def send(
    demo: Demo,
    http: aiohttp.ClientSession,
    title: str,
    entry: str,
    method: str,
    path: str,
    **options: Any,
) -> None:
    """Send a request; print the response and the entry's log lines for it."""
    url = f"http://{demo.entry_http_addresses[entry]}{path}"
    async with http.request(method, url, **options) as response:
        body = await response.text()
        key = response.headers.get("Idempotency-Key", "")
        outcome = response.headers.get("X-Gooseberrypost-Outcome", "streamed")
    print(f"== {title} through {entry}: {response.status} {outcome}")
    print(body.strip())
    for line in demo.read_log(entry).splitlines():
        if f"request={key} " in line:
            print(line)
    if response.status >= 400:
        raise SystemExit(f"{title} failed")


async def send_all(demo: Demo, http: aiohttp.ClientSession) -> None:
    """Send one request of each kind, and resend the non-idempotent one."""
    completion = {
        "model": MODEL,
        "prompt": "Which shackle fits a twelve tonne bow rig?",
        "max_tokens": 8,
        "stream": True,
    }
    await send(
        demo,
        http,
        "streamed completion",
        "entry-1",
        "POST",
        "/v1/completions",
        json=completion,
    )
    await send(
        demo,
        http,
        "availability check",
        "entry-2",
        "GET",
        f"/services/{PLAIN_SERVICE}/availability?rig=7",
    )
    for entry in ENTRIES:
        await send(
            demo,
            http,
            "reservation",
            entry,
            "POST",
            f"/services/{PLAIN_SERVICE}/reservations",
            json={"rig": 7},
            headers={"Idempotency-Key": "demo-reservation-7"},
        )


async def main() -> None:
    """Run the demonstration; limited to ``DEMO_TIMEOUT_S`` seconds."""
    async with asyncio.timeout(DEMO_TIMEOUT_S), AsyncExitStack() as stack:
        directory = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        http = await stack.enter_async_context(aiohttp.ClientSession())
        demo = Demo(directory, stack)
        await start_cluster(demo)
        await apply_configuration(demo)
        for address in demo.entry_http_addresses.values():
            await wait_until_ready(demo, http, address)
        await send_all(demo, http)


if __name__ == "__main__":
    asyncio.run(main())
