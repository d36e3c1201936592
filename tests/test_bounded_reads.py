"""Peers of agents and entries that answer without end."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import pytest
from result import Err

from gooseberrypost.agent.engine import EngineClient
from gooseberrypost.agent.plain import PlainClient
from gooseberrypost.errors import PeerUnreachable
from gooseberrypost.stores.http import HttpKeyValueStore
from gooseberrypost.stores.keyvalue import KeyValueUnavailable, KeyValueUnknown
from gooseberrypost.stores.vms import HttpVmList
from gooseberrypost.wire.messages import idl

MAX_READ_BYTES = 32 * 1024 * 1024
"""Bytes that may be sent before the caller closes: the largest body and what
the sockets and the buffers of both sides hold."""


class EndlessServer:
    """Answers each request with a body that ends when the caller closes."""

    def __init__(self, status: int):
        self.head = f"HTTP/1.1 {status} X\r\n\r\n".encode()
        self.sent_bytes = 0
        self.busy = 0

    async def serve(self, reader, writer):
        self.busy += 1
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.head)
            while True:
                writer.write(b" " * 65_536)
                self.sent_bytes += 65_536
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self.busy -= 1
            writer.close()


@asynccontextmanager
async def endless_server(status: int):
    endless = EndlessServer(status)
    server = await asyncio.start_server(endless.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield endless, f"{host}:{port}"
    finally:
        server.close()


async def read_store(address: str):
    store = HttpKeyValueStore([address])
    found = await store.get("key")
    await store.close()
    return found


async def write_store(address: str):
    store = HttpKeyValueStore([address])
    found = await store.put("key", "value", 0)
    await store.close()
    return found


async def list_vms(address: str):
    vms = HttpVmList(address)
    found = await vms.list()
    await vms.close()
    return found


async def read_load(address: str):
    client = PlainClient(address)
    found = await client.load(5_000)
    await client.close()
    return found


async def call_plain(address: str):
    client = PlainClient(address)
    call = idl.Call(method="GET", path="/x", headers=[], body=b"", key="k")
    found = await client.call(call, 5_000)
    await client.close()
    return found


async def list_requests(address: str):
    client = EngineClient(address)
    found = await client.requests()
    await client.close()
    return found


@pytest.mark.parametrize("status", [200, 500])
@pytest.mark.parametrize(
    "use",
    [
        read_store,
        write_store,
        list_vms,
        read_load,
        call_plain,
        list_requests,
    ],
)
def test_answer_without_end_is_a_failure(use, status):
    """Guards against a peer that fills the memory of an agent or an entry.

    A call that may have run must not be reported as unreachable, nor a write
    as not executed.
    """

    async def work():
        async with endless_server(status) as (server, address):
            found = await asyncio.wait_for(use(address), 8.0)
            assert isinstance(found, Err)
            assert not isinstance(found.err_value, PeerUnreachable)
            if use is write_store:
                assert isinstance(found.err_value, KeyValueUnknown)
            if use is read_store:
                assert isinstance(found.err_value, KeyValueUnavailable)
            for _ in range(100):
                if not server.busy:
                    break
                await asyncio.sleep(0.02)
            assert not server.busy
            assert server.sent_bytes <= MAX_READ_BYTES

    asyncio.run(work())
