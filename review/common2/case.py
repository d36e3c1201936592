"""Runs a case: gateway processes, stand-ins, a record and a verdict."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.common2.engines import KV_RETENTION_S, ModelEngine
from review.common2.store import Store

ROOT = Path(__file__).resolve().parents[2]
METRICS_PORT = 9464
READY_S = 20.0
HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit codes of a case."""


class CaseNotRun(Exception):
    """The case could not be run as intended."""


class Record:
    """Lines on what was sent, answered and run, with their time."""

    def __init__(self, path: Path):
        self._file = path.open("w")
        self._began_s = time.monotonic()

    def note(self, event: str, **fields: object):
        """Write a line."""
        after_s = time.monotonic() - self._began_s
        words = [f"{name}={value}" for name, value in fields.items()]
        line = " ".join([f"{after_s:8.3f}", event, *words])
        self._file.write(line + "\n")
        self._file.flush()

    def say(self, text: str):
        """Write a line and print it."""
        self.note("case", text=text)
        print(text, flush=True)


class Gateway:
    """A gateway process, started as the deploy file says."""

    def __init__(self, number: int, store: str, folder: Path):
        self.name = f"edge-sk-west-a-{number}"
        self._settings = folder / f"{self.name}.json"
        self._log = folder / f"{self.name}.log"
        ip = free_ip(number)
        ports = free_ports(ip, 4)
        self.frontend = f"{ip}:{ports[0]}"
        self.readiness = f"{ip}:{ports[1]}"
        settings = {
            "node_name": self.name,
            "role": "gateway",
            "machine_class": "edge",
            "serves": ["edge"],
            "ip": ip,
            "zone": "sk-west-a",
            "region": "sk-west",
            "zones": {"sk-west-a": "sk-west"},
            "listen": {
                "frontend": self.frontend,
                "readiness": self.readiness,
            },
            "internal_port_range": [ports[2], ports[2] + 15],
            "seed_nodes": [],
            "bootstrap": True,
            "limits": {
                "cpu_share": 0.817,
                "cores": 1,
                "memory_mb": 150,
                "file_descriptors": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "heartbeat_ms": 1200,
            "bounds": {
                "stable_window_ms": 3000,
                "drain_ms": 2000,
                "grace_s": 8,
                "config_apply_ms": 2000,
                "retry_budget_ratio": 0.2,
                "budget_window_s": 10,
                "budget_slack": 54,
                "lease_ms": 3000,
            },
            "platform": {"address": store, "form": "kv"},
        }
        self._settings.write_text(json.dumps(settings))
        self._process: subprocess.Popen | None = None

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def start(self):
        """Start the process."""
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["GOOSEBERRYPOST_BOOT"] = str(self._settings)
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                ["python3", "-m", "gooseberrypost", "gateway"],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env=env,
            )

    def signal(self, number: signal.Signals):
        """Send a signal to the process."""
        if self._process is not None and self.is_running:
            self._process.send_signal(number)

    def kill(self):
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    async def is_ready(self) -> bool:
        """Ask once, as the platform does."""
        host, _, port = self.readiness.rpartition(":")
        try:
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    def log_text(self) -> str:
        """Return what the process has logged."""
        return self._log.read_text(errors="replace")


class Deployment:
    """The store and the gateways of a case."""

    def __init__(self, record: Record, folder: Path):
        self.record, self.note = record, record.note
        self.folder = folder
        self.store = Store()
        self.gateways: list[Gateway] = []
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.rng = random.Random(1)

    async def start_gateways(self, count: int):
        """Start gateways and wait until they are ready."""
        for number in range(1, count + 1):
            gateway = Gateway(number, self.store.address, self.folder)
            self.gateways.append(gateway)
            gateway.start()
        await self.until_ready()

    async def until_ready(self):
        """Wait until all gateways are ready."""
        until_s = time.monotonic() + READY_S
        while not all([await g.is_ready() for g in self.gateways]):
            if time.monotonic() > until_s:
                raise CaseNotRun("gateways are not ready in time")
            await asyncio.sleep(0.1)

    async def pick_ready(self) -> Gateway:
        """Return a gateway in rotation, as the platform forwards to one."""
        until_s = time.monotonic() + READY_S
        while time.monotonic() < until_s:
            order = self.rng.sample(self.gateways, len(self.gateways))
            for gateway in order:
                if await gateway.is_ready():
                    return gateway
            await asyncio.sleep(0.1)
        raise CaseNotRun("no gateway is ready")

    def stop(self):
        """End all processes."""
        for gateway in self.gateways:
            gateway.kill()


def free_ip(number: int) -> str:
    """Return a loopback address of this process.

    The port of the metrics is fixed, so each gateway needs its own address.
    """
    pid = os.getpid()
    for shift in range(50):
        ip = f"127.{2 + (pid + shift) // 250 % 250}.{1 + pid % 250}.{number}"
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.bind((ip, METRICS_PORT))
            return ip
    raise CaseNotRun("no loopback address is free")


def free_ports(ip: str, count: int) -> list[int]:
    """Return ports that nobody uses."""
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in socks:
            sock.bind((ip, 0))
        return sorted(sock.getsockname()[1] for sock in socks)


def route(name: str, kind: str, service: str, **changes: object) -> dict:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": "ficu95.example",
        "path_prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout_ms": 14_000,
        "target_latency_ms": 900,
        "target_gap_ms": 300,
        "max_attempts": 1,
        "priority": 1,
        **changes,
    }


def configuration(routes: list[dict], services: list[dict]) -> dict:
    """Return a configuration as the operator writes it."""
    limits = {
        "max_header_bytes": 16_384,
        "max_body_bytes": 4_194_304,
        "header_timeout_ms": 3_000,
        "idle_timeout_ms": 15_000,
    }
    return {
        "version": 7,
        "routes": routes,
        "services": services,
        "limits": limits,
    }


def plain_service(name: str) -> dict:
    """Return a service without engines."""
    return {"name": name, "health_path": "/healthz", "max_connections": 100}


def model_service(name: str) -> dict:
    """Return a service of model engines."""
    engine = {
        "slots": 32,
        "kv_capacity_tokens": 100_615,
        "stride": 59,
        "kv_retention_s": KV_RETENTION_S,
        "stage_switch_s": 6.0,
    }
    return {**plain_service(name), "engine": engine}


def run_case(
    folder: Path, case: Callable[[Deployment], Awaitable[bool]]
) -> int:
    """Run a case, which returns whether the rule was broken."""
    if not (ROOT / "target" / "deps" / "gooseberrypost").is_dir():
        print("target/deps is missing: run the build of deploy/system.toml")
        return NOT_RUN
    record = Record(folder / "record.txt")

    async def run(temporary: Path) -> bool:
        deployment = Deployment(record, temporary)
        try:
            await deployment.store.start()
            async with asyncio.timeout(110):
                is_broken = await case(deployment)
            if ModelEngine.not_carried_out:
                raise CaseNotRun(f"asked for {ModelEngine.not_carried_out}")
            return is_broken
        finally:
            deployment.stop()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for gateway in deployment.gateways:
                    name = f"{gateway.name}.log"
                    (Path(keep) / name).write_text(gateway.log_text())

    with tempfile.TemporaryDirectory() as temporary:
        try:
            is_broken = asyncio.run(run(Path(temporary)))
        except Exception as failure:
            # An error of the case itself shows nothing of the gateways.
            record.say(f"could not run: {failure!r}")
            return NOT_RUN
    record.say("rule broken" if is_broken else "rule held")
    return BROKEN if is_broken else HELD


def main(file: str, case: Callable[[Deployment], Awaitable[bool]]):
    """Run the case in a file and exit."""
    sys.exit(run_case(Path(file).resolve().parent, case))
