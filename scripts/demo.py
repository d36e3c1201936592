"""Demonstration: stand-ins, agents and two entries on loopback.

Sends a streamed completion, an idempotent call and a non-idempotent call,
the last one twice under one key, and prints the answers with the decision
lines of the entry. Ends every process that it started.
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
ANY_PORT: Final = f"{LOOPBACK}:0"
LIMIT_S: Final = 110
READY_PAUSE_S: Final = 0.1
STOP_TIMEOUT_S: Final = 10

ZONE: Final = "sk-west-a"
MODEL_SERVICE: Final = "manual-llm"
PLAIN_SERVICE: Final = "booking"
MODEL: Final = "manuals-7b"
ENGINES: Final = {
    "prefill-1": "prefill",
    "prefill-2": "prefill",
    "decode-1": "decode",
    "decode-2": "decode",
}
SERVERS: Final = ("booking-1", "booking-2")
ENTRIES: Final = ("entry-1", "entry-2")


def free_address() -> str:
    """Return a loopback address whose port is free at the moment."""
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return f"{LOOPBACK}:{probe.getsockname()[1]}"


class Demo:
    """Processes of the demonstration, and the directory of their files."""

    def __init__(self, directory: Path, stack: AsyncExitStack) -> None:
        self._directory = directory
        self._stack = stack
        self._processes: dict[str, Any] = {}
        self.key_value = ""
        self.owners: list[str] = []
        """Internal addresses of the entries."""
        self.agents: dict[str, str] = {}
        self.entries: dict[str, str] = {}

    def log_of(self, name: str) -> str:
        """Return what a process logged so far."""
        return (self._directory / f"{name}.log").read_text()

    async def start(self, name: str, *arguments: str) -> Any:
        """Run a Python module until the demonstration ends."""
        process = await self._stack.enter_async_context(
            running(self._directory / f"{name}.log", *arguments)
        )
        self._processes[name] = process
        return process

    def check(self) -> None:
        """Stop the demonstration when a process ended on its own."""
        for name, process in self._processes.items():
            if process.returncode is not None:
                print(self.log_of(name), file=sys.stderr)
                raise SystemExit(f"{name} ended with {process.returncode}")

    async def start_standin(self, module: str, options: dict[str, Any]) -> str:
        """Run a stand-in and return the address that it prints."""
        number = len(list(self._directory.iterdir()))
        arguments = [f"tests.standins.{module}", "--address", ANY_PORT]
        if options:
            arguments += ["--options", json.dumps(options)]
        process = await self.start(f"{module}-{number}", *arguments)
        line = await process.stdout.readline()
        return line.decode().strip()

    async def start_daemon(self, kind: str, settings: dict[str, Any]) -> None:
        """Run an entry or agent with a settings file."""
        name = settings["name"]
        path = self._directory / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2))
        await self.start(name, "gooseberrypost", kind, "--config", str(path))

    async def start_agent(
        self, name: str, service: str, kind: str, backend: str
    ) -> None:
        """Run an agent beside a stand-in."""
        self.agents[name] = free_address()
        await self.start_daemon(
            "agent",
            {
                "name": name,
                "vm": f"vm-{name}",
                "zone": ZONE,
                "service": service,
                "internal_address": self.agents[name],
                "backend": {"kind": kind, "address": backend},
                "peers": self.owners,
                "key_value_addresses": [self.key_value],
            },
        )


@asynccontextmanager
async def running(
    log: Path, *arguments: str
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Run a Python module with its log in a file; ended by its id."""
    path = os.pathsep.join([str(ROOT / "src"), str(ROOT)])
    with log.open("wb") as file:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *arguments,
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": path},
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


async def start_all(demo: Demo) -> None:
    """Start the stand-ins, their agents and the entries."""
    internal = {name: free_address() for name in ENTRIES}
    demo.owners = list(internal.values())
    demo.key_value = await demo.start_standin("keyvalue", {})
    for name, role in ENGINES.items():
        engine = await demo.start_standin(
            "engine", {"role": role, "model": MODEL}
        )
        await demo.start_agent(name, MODEL_SERVICE, "model", engine)
    for name in SERVERS:
        server = await demo.start_standin("plain", {})
        await demo.start_agent(name, PLAIN_SERVICE, "plain", server)
    for name in ENTRIES:
        demo.entries[name] = free_address()
        peers = [a for n, a in internal.items() if n != name]
        await demo.start_daemon(
            "entry",
            {
                "name": name,
                "zone": ZONE,
                "http_address": demo.entries[name],
                "internal_address": internal[name],
                "peers": peers,
                "key_value_addresses": [demo.key_value],
            },
        )


def records(demo: Demo) -> dict[str, Record]:
    """Return the configuration of the demonstration."""
    found: dict[str, Record] = {
        f"service/{MODEL_SERVICE}": ServiceRecord(
            MODEL_SERVICE, models=[MODEL], first_token_ms=2_000
        ),
        f"service/{PLAIN_SERVICE}": ServiceRecord(
            PLAIN_SERVICE,
            kind=Kind.PLAIN,
            non_idempotent=["POST /reservations"],
        ),
    }
    for name, address in demo.agents.items():
        is_engine = name in ENGINES
        found[f"engine/{name}"] = EngineRecord(
            name,
            service=MODEL_SERVICE if is_engine else PLAIN_SERVICE,
            agent_address=address,
            zone=ZONE,
            role=ENGINES.get(name, EngineRole.PLAIN),
            model=MODEL if is_engine else "",
        )
    return found


async def apply_configuration(demo: Demo) -> None:
    """Write the configuration; the entries learn it from there."""
    store = HttpKeyValueStore.from_addresses([demo.key_value])
    try:
        accepted = await Applier(store).apply(records(demo), "demo")
    finally:
        await store.close()
    print(f"== configuration version {accepted.unwrap().version} accepted")


async def wait_until_ready(
    demo: Demo, http: aiohttp.ClientSession, address: str
) -> None:
    """Wait until an entry has its configuration and can mint keys."""
    while True:
        demo.check()
        try:
            async with http.get(f"http://{address}/readyz") as ready:
                pass
            url = f"http://{address}/v1/idempotency-keys"
            async with http.post(url) as minted:
                pass
            if ready.status == 200 and minted.status == 201:
                return
        except aiohttp.ClientError:
            pass
        await asyncio.sleep(READY_PAUSE_S)


async def send(
    demo: Demo,
    http: aiohttp.ClientSession,
    title: str,
    entry: str,
    method: str,
    path: str,
    **options: Any,
) -> None:
    """Send a request and print its answer and decision lines."""
    url = f"http://{demo.entries[entry]}{path}"
    async with http.request(method, url, **options) as response:
        body = await response.text()
        key = response.headers.get("Idempotency-Key", "")
        outcome = response.headers.get("X-Gooseberrypost-Outcome", "streamed")
    print(f"== {title} through {entry}: {response.status} {outcome}")
    print(body.strip())
    for line in demo.log_of(entry).splitlines():
        if f"request={key} " in line:
            print(line)
    if response.status >= 400:
        raise SystemExit(f"{title} failed")


async def send_all(demo: Demo, http: aiohttp.ClientSession) -> None:
    """Send one request of each kind, and a resend."""
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
    """Run the demonstration within ``LIMIT_S``."""
    async with asyncio.timeout(LIMIT_S), AsyncExitStack() as stack:
        directory = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        http = await stack.enter_async_context(aiohttp.ClientSession())
        demo = Demo(directory, stack)
        await start_all(demo)
        await apply_configuration(demo)
        for address in demo.entries.values():
            await wait_until_ready(demo, http, address)
        await send_all(demo, http)


if __name__ == "__main__":
    asyncio.run(main())
