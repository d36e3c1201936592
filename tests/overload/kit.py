"""Runs a gateway process with lowered limits and reads its figures."""

from __future__ import annotations

import asyncio
import contextlib
import os
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

import aiohttp

from tests.gateway_kit import HOST, configuration
from tests.scenarios.processes import (
    Process,
    gateway_process,
    is_gateway_ready,
)
from tests.standins.platform_engine import FakePlatformEngine
from tests.standins.platform_store import FakePlatformStore

MEMORY_MB = 96
FILE_DESCRIPTORS = 160
BYTES_PER_MB = 1_000_000
LARGE_ANSWER_BYTES = 4 * 1024 * 1024
EVENT_BYTES = 16 * 1024
STREAM_EVENTS = 2_000
SAMPLE_S = 0.05
GIVE_UP_S = 30.0
"""Time after which a process that does not answer counts as hanging."""
FIGURES_VARIABLE = "OVERLOAD_FIGURES"
"""Environment variable with the file to which each test adds its figures."""


class LargeEngine(FakePlatformEngine):
    """Sends large answers and streams of large events on request."""

    async def _mode_answer(self, request, writer):
        is_large = request.target.endswith("large")
        self.body = bytes(LARGE_ANSWER_BYTES) if is_large else None
        await super()._mode_answer(request, writer)

    def _event(self, number: int) -> bytes:
        text = f"id: {number}\ndata: "
        return text.encode() + b"x" * EVENT_BYTES + b"\n\n"


def status_kb(pid: int, field: str) -> int:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(f"{field}:"):
            return int(line.split()[1])
    raise ValueError(field)


class Watch:
    """Figures of a process while a crowd of clients is at work."""

    def __init__(self, process: Process):
        self.pid = process.popen.pid
        self.rest_kb = status_kb(self.pid, "VmRSS")
        self.most_descriptors = 0

    @property
    def peak_bytes(self) -> int:
        return 1024 * status_kb(self.pid, "VmHWM")

    async def sample(self):
        """Record the most open descriptors until it is cancelled."""
        while True:
            with contextlib.suppress(OSError):
                found = len(os.listdir(f"/proc/{self.pid}/fd"))
                self.most_descriptors = max(self.most_descriptors, found)
            await asyncio.sleep(SAMPLE_S)

    @asynccontextmanager
    async def sampling(self):
        task = asyncio.create_task(self.sample())
        try:
            yield
        finally:
            task.cancel()

    def note(self, name: str, answered: bool):
        """Add the figures to the file that the environment names."""
        if path := os.environ.get(FIGURES_VARIABLE):
            peak_mb = self.peak_bytes / BYTES_PER_MB
            rest_mb = 1024 * self.rest_kb / BYTES_PER_MB
            with Path(path).open("a") as file:
                file.write(
                    f"| {name} | {rest_mb:.1f} | {peak_mb:.1f} "
                    f"| {self.most_descriptors} | {answered} |\n"
                )


class Target:
    """A gateway process, the stand-ins around it and their addresses."""

    def __init__(self, process: Process):
        self.process = process
        listen = process.settings["listen"]
        self.address = listen["frontend"]
        self.readiness = listen["readiness"]
        self.desk: LargeEngine | None = None
        """The plain server."""

    async def answers(self) -> bool:
        """Send ordinary requests until one is answered or time is up."""
        headers = {
            "Host": HOST,
            "X-Gooseberrypost-Attempt-Id": "ordinary",
            "X-Gooseberrypost-Deadline-Ms": "2000",
        }
        url = f"http://{self.address}/safe/ordinary"
        with contextlib.suppress(TimeoutError):
            async with (
                asyncio.timeout(GIVE_UP_S),
                aiohttp.ClientSession() as session,
            ):
                while True:
                    with contextlib.suppress(aiohttp.ClientError):
                        async with session.get(url, headers=headers) as answer:
                            if answer.status == 200:
                                return True
                    await asyncio.sleep(0.1)
        return False

    async def is_ready(self) -> bool:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(GIVE_UP_S):
                while True:
                    if await is_gateway_ready(self.process):
                        return True
                    await asyncio.sleep(0.1)
        return False


async def _add_engine(stack, store, instance, service, stage):
    engine = await LargeEngine(instance, stage).start()
    engine.events = STREAM_EVENTS
    stack.push_async_callback(engine.stop)
    entry = engine.registration(service, slots=64)
    store.put(f"servers/{instance}", entry)
    return engine


def _configuration() -> dict:
    document = configuration(3)
    for service in document["services"]:
        service["max_connections"] = 100
        if "engine" in service:
            changes = {"slots": 64, "kv_capacity_tokens": 1_000_000}
            service["engine"] = {**service["engine"], **changes}
    return document


@asynccontextmanager
async def gateway_under_load(folder: Path, answer_s: float = 0.0, **limits):
    """Run a gateway process whose settings state a small VM.

    Its plain server takes ``answer_s`` for each call of the crowd.
    """
    async with AsyncExitStack() as stack:
        store = FakePlatformStore()
        await store.start()
        stack.push_async_callback(store.stop)
        store.put("op/config", _configuration())
        desk = await _add_engine(stack, store, "d1", "desk", "")
        await _add_engine(stack, store, "p1", "llm", "prefill")
        await _add_engine(stack, store, "e1", "llm", "decode")
        process = gateway_process(0, store.address, folder, {})
        process.settings["limits"] = {
            "memory_mb": MEMORY_MB,
            "file_descriptors": FILE_DESCRIPTORS,
            **limits,
        }
        stack.callback(process.kill)
        process.write_settings()
        process.start()
        target = Target(process)
        assert await target.is_ready(), process.log_lines()[-5:]
        assert await target.answers(), process.log_lines()[-5:]
        desk.answer_s, target.desk = answer_s, desk
        yield target
