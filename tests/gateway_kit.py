"""Runs a gateway against in-process fakes of the store and the engines."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import socket
from contextlib import asynccontextmanager

import aiohttp

from gooseberrypost.gateway.daemon import GatewayDaemon
from gooseberrypost.platform.coordination import (
    PlatformConvictionStore,
    PlatformVersionStore,
    StoreRegistry,
    StoreStageLock,
)
from gooseberrypost.platform.engines import HttpTransport
from gooseberrypost.platform.feeds import StoreFeed
from gooseberrypost.platform.requests import decode_request
from gooseberrypost.platform.store import PlatformStore
from gooseberrypost.settings.gateway import GatewaySettings
from gooseberrypost.wire.codec import Frame, encode
from gooseberrypost.wire.messages import idl
from tests.standins.platform_engine import FakePlatformEngine
from tests.standins.platform_store import FakePlatformStore

HOST = "h.example"
ROUTES = {
    "safe": {"kind": "idempotent", "service": "desk", "max_attempts": 2},
    "once": {"kind": "non_idempotent", "service": "desk"},
    "text": {"kind": "streaming", "service": "llm", "resumable": False},
    "again": {
        "kind": "streaming",
        "service": "llm",
        "resumable": True,
        "max_attempts": 2,
    },
}


def configuration(version: int, timeout_ms: int = 2_000, **limits) -> dict:
    routes = [
        {
            "name": name,
            "host": HOST,
            "path_prefix": f"/{name}/",
            "timeout_ms": timeout_ms,
            "target_latency_ms": 900,
            "target_gap_ms": 300,
            "max_attempts": 1,
            **route,
        }
        for name, route in ROUTES.items()
    ]
    engine = {"slots": 4, "kv_capacity_tokens": 10_000, "stride": 1}
    engine |= {"kv_retention_s": 0.5, "stage_switch_s": 6.0}
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "desk", "health_path": "/h", "max_connections": 10},
            {"name": "llm", "max_connections": 10, "engine": engine},
            {"name": "quiet-llm", "max_connections": 10, "engine": engine},
        ],
        "limits": limits,
    }


MAX_PORT_TRIES = 10


def version_notice(version: int, sequence: int) -> bytes:
    """Return a load notice of another gateway with a version."""
    message = idl.LoadNotice(
        name="other",
        incarnation=1,
        sequence=sequence,
        servers=[],
        configuration_version=version,
    )
    return encode(Frame(sequence, message))


class ClientResponse:
    """Response as a client received it.

    ``complete`` is false if the body was truncated.
    """

    def __init__(self, status, headers, body, complete):
        self.status = status
        self.headers = headers
        self.body = body
        self.complete = complete


class GatewayKit:
    """Fakes of the platform, one gateway and an HTTP client."""

    def __init__(self):
        self.store = FakePlatformStore()
        self.engines: dict[str, FakePlatformEngine] = {}
        self.clients: list[PlatformStore] = []
        self.requests = 0
        self.address = ""
        """Address of a gateway process; empty for ``daemon``."""

    async def add(
        self,
        instance: str,
        service: str = "desk",
        stage: str = "",
        kind: type[FakePlatformEngine] = FakePlatformEngine,
        **changes,
    ) -> FakePlatformEngine:
        engine = await kind(instance, stage).start()
        self.engines[instance] = engine
        self.register(instance, service, **changes)
        return engine

    def register(self, instance: str, service: str, **changes):
        entry = self.engines[instance].registration(service, **changes)
        self.store.put(f"servers/{instance}", entry)

    async def gateway(self, name: str = "gateway-1", **changes):
        cfg = GatewaySettings(
            **{
                "name": name,
                "zone": "a",
                "client_address": "127.0.0.1:0",
                "readiness_address": own_address(),
                "store_address": self.store.address,
                "internal_address": own_address(),
                "retry_budget_ratio": 0.2,
                "retry_budget_allowance": 54.0,
                **changes,
            }
        )
        client = PlatformStore(cfg.store_address)
        self.clients.append(client)
        daemon = GatewayDaemon(
            cfg,
            HttpTransport(),
            StoreFeed(client),
            StoreRegistry(client),
            StoreStageLock(client),
            PlatformConvictionStore(client),
            PlatformVersionStore(client),
            decode_request,
            random.Random(1),
        )
        await daemon.start()
        return daemon

    async def until(self, condition, wait_s: float = 5.0):
        deadline_s = asyncio.get_running_loop().time() + wait_s
        while not condition():
            assert asyncio.get_running_loop().time() < deadline_s
            await asyncio.sleep(0.01)

    async def call(
        self, path: str, method: str = "POST", body=b"body", **headers
    ) -> ClientResponse:
        self.requests += 1
        sent = {
            "Host": HOST,
            "X-Gooseberrypost-Attempt-Id": f"r{self.requests}",
            "X-Gooseberrypost-Deadline-Ms": "2000",
        }
        sent |= {name.replace("_", "-"): v for name, v in headers.items()}
        address = self.address or self.daemon.frontend.address
        url = f"http://{address}{path}"
        async with aiohttp.request(
            method, url, headers=sent, data=body
        ) as response:
            content, complete = b"", False
            with contextlib.suppress(aiohttp.ClientError):
                async for chunk in response.content.iter_any():
                    content += chunk
                complete = True
            return ClientResponse(
                response.status, response.headers, content, complete
            )

    async def generate(self, path: str = "/text/x", **headers):
        return await self.call(
            path,
            X_Gooseberrypost_Token_Usage="100,10",
            X_Gooseberrypost_Prompt_Prefix="ab:100",
            **headers,
        )


def own_address() -> str:
    """Return a free address on a loopback host of this process.

    On 127.0.0.1 another process may take the port before it is bound here.
    """
    high, low = divmod(os.getpid() % 62_500, 250)
    host = f"127.{high + 2}.{low + 1}.1"
    for _ in range(MAX_PORT_TRIES):
        with (
            socket.socket() as stream,
            socket.socket(type=socket.SOCK_DGRAM) as datagram,
        ):
            stream.bind((host, 0))
            port = stream.getsockname()[1]
            # A gateway of this process may have the port for datagrams.
            with contextlib.suppress(OSError):
                datagram.bind((host, port))
                return f"{host}:{port}"
    raise AssertionError("no port is free for streams and datagrams")


@asynccontextmanager
async def serving(*engines: tuple[str, str, str], **changes):
    """Run a gateway with engines, each given as (instance, service, stage)."""
    kit = GatewayKit()
    await kit.store.start()
    kit.store.put("op/config", configuration(3))
    for instance, service, stage in engines:
        await kit.add(instance, service, stage)
    kit.daemon = await kit.gateway(**changes)
    try:
        await kit.until(lambda: kit.daemon.lifecycle.state == "serving")
        yield kit
    finally:
        with contextlib.suppress(asyncio.CancelledError):
            await kit.daemon.stop()
        for client in kit.clients:
            await client.close()
        for engine in kit.engines.values():
            await engine.stop()
        await kit.store.stop()
