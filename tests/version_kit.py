"""Gateways in front of engines of several software versions."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager, suppress

import aiohttp

from tests.gateway_kit import HOST, serving
from tests.standins.versioned_engine import (
    VersionedEngine,
    numbers_and_versions,
)

STREAMS = 24
"""Streams of the tests in which all gateways die."""


def run(work):
    asyncio.run(work())


@asynccontextmanager
async def serving_versions(*versions: str, **changes):
    """Run a gateway with a decode engine of each version, ``d0`` and on."""
    async with serving(("p", "llm", "prefill"), **changes) as kit:
        for number, version in enumerate(versions):
            await add_engine(kit, f"d{number}", version)
        yield kit


async def add_engine(kit, instance: str, version: str) -> VersionedEngine:
    engine = await kit.add(
        instance,
        "llm",
        "decode",
        VersionedEngine,
        version=version,
        slots=2 * STREAMS,
    )
    engine.version = version
    servers = kit.daemon.context.directory.servers
    await kit.until(lambda: is_listed(servers, instance))
    return engine


def is_listed(servers, instance: str) -> bool:
    return any(server.instance == instance for server in servers.all())


class NotBegun(Exception):
    """A stream ended before its first event."""


async def begin(kit, request: str, gateway=None) -> bytes:
    """Begin a stream and leave it after its first event."""
    url = f"http://{(gateway or kit.daemon).frontend.address}/again/x"
    async with aiohttp.request(
        "POST", url, headers=headers(request), data=b"body"
    ) as response:
        if response.status != 200:
            raise NotBegun(f"status {response.status}")
        body = b""
        while not body.endswith(b"\n\n"):
            body += await response.content.readany()
        return body


async def begin_in_two_tries(kit, request: str) -> tuple[str, bytes]:
    """Begin a stream like a client that returns once if none begins.

    Returns the name of the attempt that brought the first event, too.
    """
    try:
        return request, await begin(kit, request)
    except NotBegun:
        return f"{request}-2", await begin(kit, f"{request}-2")


async def read(kit, request: str) -> bytes:
    """Read a stream as far as it goes."""
    url = f"http://{kit.daemon.frontend.address}/again/x"
    body = b""
    async with aiohttp.request(
        "POST", url, headers=headers(request), data=b"body"
    ) as response:
        with suppress(aiohttp.ClientError):
            async for chunk in response.content.iter_any():
                body += chunk
    return body


async def take_up(kit, request: str, begun_by: str, body: bytes):
    """Take a stream up; return the status and all bytes of the stream."""
    numbers, _ = numbers_and_versions(body)
    resumed = {"Last-Event-Id": str(numbers[-1]), "Resumes": begun_by}
    url = f"http://{kit.daemon.frontend.address}/again/x"
    async with aiohttp.request(
        "POST", url, headers=headers(request) | resumed, data=b"body"
    ) as response:
        rest = b""
        with suppress(aiohttp.ClientError):
            rest = await response.read()
        return response.status, body + (rest if response.ok else b"")


def headers(request: str) -> dict[str, str]:
    return {
        "Host": HOST,
        "X-Gooseberrypost-Attempt-Id": request,
        "X-Gooseberrypost-Deadline-Ms": "2000",
        "X-Gooseberrypost-Token-Usage": "100,10",
        "X-Gooseberrypost-Prompt-Prefix": "ab:100",
    }


async def replace_gateway(kit, name: str):
    """Let the only gateway die, and start one that knows nothing of it."""
    await kit.daemon.stop()
    kit.daemon = await kit.gateway(name)
    await kit.until(lambda: kit.daemon.lifecycle.state == "serving")


async def default_version(kit) -> str:
    """Wait until the service has a default version, and return it."""
    directory = kit.daemon.context.directory
    await kit.until(lambda: "llm" in directory.default_versions)
    return directory.default_versions["llm"].version
