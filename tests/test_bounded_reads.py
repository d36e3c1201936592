"""Peers of agents and entries that answer without end."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import pytest
from result import Err, Ok

from gooseberrypost.agent.engine import EngineClient
from gooseberrypost.agent.plain import PlainClient
from gooseberrypost.errors import PeerUnreachable
from gooseberrypost.platform.store import PlatformStore, StoreUnavailable
from gooseberrypost.stores.http import HttpKeyValueStore
from gooseberrypost.stores.keyvalue import KeyValueUnavailable, KeyValueUnknown
from gooseberrypost.stores.vms import HttpVmList
from gooseberrypost.wire.messages import idl

MAX_READ_BYTES = 32 * 1024 * 1024
"""Bytes that may be sent before the caller closes: the largest body and what
the sockets and the buffers of both sides hold."""


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS_FORMS = {
    "no_answer": (b"", b"\x00" * 65_536),
    "head_line": (b"HTTP/1.1 200 OK\r\nX-Fill: ", b"x" * 65_536),
    "head_fields": (b"HTTP/1.1 200 OK\r\n", b"X-Fill: x\r\n" * 6_000),
    "interim": (b"", b"HTTP/1.1 103 Early\r\nX-Fill: x\r\n\r\n" * 2_000),
    "chunk_size": (CHUNKED, b"0" * 65_536),
    "chunk_extension": (CHUNKED + b"1;", b"x" * 65_536),
    "trailers": (CHUNKED + b"0\r\n", b"X-Fill: x\r\n" * 6_000),
}
"""Beginning of an answer, and what follows it without end."""


class EndlessServer:
    """Answers each request with bytes that end when the caller closes."""

    def __init__(self, head: bytes, filler: bytes):
        self.head = head
        self.filler = filler
        self.sent_bytes = 0
        self.busy = 0

    async def serve(self, reader, writer):
        self.busy += 1
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.head)
            while True:
                writer.write(self.filler)
                self.sent_bytes += len(self.filler)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self.busy -= 1
            writer.close()


@asynccontextmanager
async def endless_server(head: bytes, filler: bytes = b" " * 65_536):
    endless = EndlessServer(head, filler)
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


async def read_platform_store(address: str):
    client = PlatformStore(address)
    try:
        return Ok(await client.range("op/"))
    except StoreUnavailable as failure:
        return Err(failure)
    finally:
        await client.close()


async def settle(server: EndlessServer) -> None:
    """Wait until the callers have closed, and check what was sent."""
    for _ in range(100):
        if not server.busy:
            break
        await asyncio.sleep(0.02)
    assert not server.busy
    assert server.sent_bytes <= MAX_READ_BYTES


USES = [
    read_store,
    write_store,
    list_vms,
    read_load,
    call_plain,
    list_requests,
    read_platform_store,
]


@pytest.mark.parametrize("form", ENDLESS_FORMS)
@pytest.mark.parametrize("use", USES)
def test_bytes_without_end_that_are_no_body_are_a_failure(use, form):
    """Guards against a head or framing that fills the memory of a process."""

    async def work():
        async with endless_server(*ENDLESS_FORMS[form]) as (server, address):
            found = await asyncio.wait_for(use(address), 8.0)
            assert isinstance(found, Err)
            assert not isinstance(found.err_value, PeerUnreachable)
            if use is write_store:
                assert isinstance(found.err_value, KeyValueUnknown)
            await settle(server)

    asyncio.run(work())


@pytest.mark.parametrize("status", [200, 500])
@pytest.mark.parametrize("use", USES)
def test_answer_without_end_is_a_failure(use, status):
    """Guards against a peer that fills the memory of an agent or an entry.

    A call that may have run must not be reported as unreachable, nor a write
    as not executed.
    """

    async def work():
        head = f"HTTP/1.1 {status} X\r\n\r\n".encode()
        async with endless_server(head) as (server, address):
            found = await asyncio.wait_for(use(address), 8.0)
            assert isinstance(found, Err)
            assert not isinstance(found.err_value, PeerUnreachable)
            if use is write_store:
                assert isinstance(found.err_value, KeyValueUnknown)
            if use is read_store:
                assert isinstance(found.err_value, KeyValueUnavailable)
            await settle(server)

    asyncio.run(work())
