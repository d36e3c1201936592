"""Clients at the limits of a gateway, and beyond them."""

from __future__ import annotations

import asyncio
import gc
import tracemalloc

import pytest

from gooseberrypost.clientconnection import CHUNK_OVERHEAD_BYTES
from gooseberrypost.gateway.peers import MAX_NOTICE_BYTES, MAX_PENDING_BYTES
from tests.gateway_kit import HOST, configuration, serving

DESK = ("a", "desk", "")
HEADER_TIMEOUT_MS = 300


def head(path: str, *fields: str, method: str = "POST") -> bytes:
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        "X-Gooseberrypost-Attempt-Id: r1",
        "X-Gooseberrypost-Deadline-Ms: 2000",
        *fields,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


async def connect(kit):
    host, _, port = kit.daemon.frontend.address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def read_status(reader) -> int:
    answer = await reader.readuntil(b"\r\n\r\n")
    for line in answer.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            await reader.readexactly(int(line.split(b":")[1]))
    return int(answer.split()[1])


def refusals(kit, cause: str) -> int:
    metrics = kit.daemon.context.metrics
    return metrics.value("client_refusals_total", cause=cause)


async def with_short_limits(kit):
    """Lower the timeout of heads and bodies."""
    limits = {"header_timeout_ms": HEADER_TIMEOUT_MS}
    kit.store.put("op/config", configuration(4, **limits))
    directory = kit.daemon.context.directory
    await kit.until(lambda: directory.configuration.version == 4)


def run(work, *engines, **changes):
    async def in_gateway():
        async with serving(*(engines or (DESK,)), **changes) as kit:
            await work(kit)

    asyncio.run(in_gateway())


def test_a_body_is_asked_for_where_the_client_waits_for_it():
    """Guards against clients that wait in vain for 100 Continue."""

    async def work(kit):
        reader, writer = await connect(kit)
        fields = ("Content-Length: 4", "Expect: 100-continue")
        writer.write(head("/safe/x", *fields))
        assert await read_status(reader) == 100
        writer.write(b"body")
        assert await read_status(reader) == 200
        writer.write(head("/nowhere/x", *fields))
        assert await read_status(reader) == 404
        writer.close()

    run(work)


def test_a_kept_connection_is_not_taken_for_a_slow_head():
    """Guards against a body in a packet of its own counting as a head."""

    async def work(kit):
        await with_short_limits(kit)
        reader, writer = await connect(kit)
        for _ in range(3):
            writer.write(head("/safe/x", "Content-Length: 4"))
            await asyncio.sleep(0.05)
            writer.write(b"body")
            assert await read_status(reader) == 200
            await asyncio.sleep(2 * HEADER_TIMEOUT_MS / 1_000)
        assert not refusals(kit, "slow_head")
        writer.close()

    run(work)


def test_pipelined_requests_with_bodies_are_all_answered():
    """Guards against a parser that stops behind bodies that came late."""

    async def work(kit):
        reader, writer = await connect(kit)
        for _ in range(4):
            writer.write(head("/safe/x", "Content-Length: 4"))
            await asyncio.sleep(0.02)
            writer.write(b"body")
            assert await read_status(reader) == 200
        writer.write((head("/safe/x", "Content-Length: 4") + b"body") * 20)
        async with asyncio.timeout(10):
            for _ in range(20):
                assert await read_status(reader) == 200
        writer.close()

    run(work)


@pytest.mark.parametrize(
    ("sent", "status", "cause"),
    [
        (head("/safe/x")[:-2], 408, "slow_head"),
        (head("/safe/x", "Content-Length: 9") + b"x", 408, "slow_body"),
        (
            head("/safe/x", "Transfer-Encoding: chunked")
            + b"1\r\nx\r\n" * CHUNK_OVERHEAD_BYTES,
            400,
            "chunk_overhead",
        ),
        (
            head("/safe/x", *(f"{n:x}:" for n in range(400)), method="GET"),
            400,
            "malformed",
        ),
        (
            head("/safe/x")[:-2] + b"a: %b\r\n" % (b"b" * 12_000) * 4,
            431,
            "head_too_large",
        ),
        (
            head("/safe/x", "Content-Length: 5000000"),
            413,
            "body_too_large",
        ),
    ],
    ids=lambda value: value if isinstance(value, str) else "",
)
def test_a_client_beyond_a_limit_is_told_so(sent, status, cause):
    """Guards against refusals without a cause for the operator."""

    async def work(kit):
        await with_short_limits(kit)
        reader, writer = await connect(kit)
        writer.write(sent)
        async with asyncio.timeout(5):
            assert await read_status(reader) == status
        assert refusals(kit, cause)
        assert kit.engines["a"].executed == []
        writer.close()

    run(work)


def test_a_body_of_the_largest_size_is_served_in_calm():
    """Guards against a budget that refuses what the limits allow."""

    async def work(kit):
        size = kit.daemon.context.directory.configuration.limits.max_body_bytes
        kit.engines["a"].body = bytes(7 * 1024 * 1024)
        got = await kit.call("/once/x", body=bytes(size))
        assert got.status == 200
        assert got.body == kit.engines["a"].body
        assert len(kit.engines["a"].received[0].body) == size
        memory = kit.daemon.context.memory
        await kit.until(lambda: not memory.used_bytes)

    run(work, memory_bytes=1)


@pytest.mark.parametrize("mode", ["answer", "error"])
@pytest.mark.parametrize("path", ["/safe/x", "/once/x"])
def test_nothing_large_of_an_ended_request_is_left(path, mode):
    """Guards against memory that is free by the count and is still held.

    Without the garbage collector, as what refers to itself waits for it.
    """
    large = 1024 * 1024

    async def work(kit):
        engine = kit.engines["a"]
        engine.mode, engine.body = mode, bytes(large)
        await kit.call(path, body=bytes(large))
        before, _ = tracemalloc.get_traced_memory()
        for _ in range(5):
            await kit.call(path, body=bytes(large))
            engine.received.clear()
        memory = kit.daemon.context.memory
        await kit.until(lambda: not memory.used_bytes)
        after, _ = tracemalloc.get_traced_memory()
        assert after - before < 2 * large

    gc.disable()
    tracemalloc.start()
    try:
        run(work)
    finally:
        tracemalloc.stop()
        gc.enable()


def test_answers_wait_for_memory_and_all_arrive():
    """Guards against answers of calls that ran being lost to others."""

    async def work(kit):
        kit.engines["a"].body = bytes(3 * 1024 * 1024)
        calls = [kit.call(f"/once/{number}") for number in range(8)]
        answers = await asyncio.gather(*calls)
        assert [got.status for got in answers] == [200] * 8
        assert all(got.body == kit.engines["a"].body for got in answers)
        memory = kit.daemon.context.memory
        await kit.until(lambda: not memory.used_bytes)

    run(work, memory_budget_bytes=8_000_000)


def test_a_client_that_reads_nothing_is_closed_at_its_deadline():
    """Guards against answers that stay in memory for good."""

    async def work(kit):
        await with_short_limits(kit)
        kit.engines["a"].body = bytes(7 * 1024 * 1024)
        _, writer = await connect(kit)
        writer.transport.pause_reading()
        writer.write(head("/safe/x", method="GET"))
        memory = kit.daemon.context.memory
        await kit.until(lambda: memory.used_bytes > 6_000_000)
        await kit.until(lambda: refusals(kit, "unread"))
        await kit.until(lambda: not memory.used_bytes)
        writer.close()

    run(work)


def test_ordinary_calls_are_served_while_large_answers_are_not_read():
    """Guards against small answers that wait behind large ones."""

    async def work(kit):
        kit.engines["a"].body = bytes(3 * 1024 * 1024)
        unread = [await connect(kit) for _ in range(8)]
        for _, writer in unread:
            writer.transport.pause_reading()
            writer.write(head("/once/x", method="GET"))
        memory = kit.daemon.context.memory
        await kit.until(lambda: memory.used_bytes > 6_000_000)
        await kit.until(lambda: len(kit.engines["a"].executed) == 8)
        kit.engines["a"].body = None
        for _ in range(3):
            assert (await kit.call("/once/y")).status == 200
        for _, writer in unread:
            writer.close()

    run(work, memory_budget_bytes=9_000_000)


def test_silent_connections_make_room_for_new_ones():
    """Guards against connections without requests that keep others out."""

    async def work(kit):
        silent = [await connect(kit) for _ in range(20)]
        for _ in range(3):
            assert (await kit.call("/safe/x")).status == 200
        assert refusals(kit, "connections")
        for _, writer in silent:
            writer.close()

    run(work, file_descriptors=64)


def test_datagrams_that_are_no_notice_do_not_pile_up():
    """Guards against invented senders that take a gateway's memory."""

    async def work(kit):
        peers = kit.daemon.peers
        peers.datagram_received(bytes(MAX_NOTICE_BYTES + 1), ("10.0.0.1", 1))
        metrics = kit.daemon.context.metrics
        assert metrics.value("notices_dropped_total", cause="size") == 1
        for port in range(1_000):
            peers.datagram_received(bytes(10_000), ("10.0.0.1", port))
            held = sum(len(data) for data, _ in peers._pending.values())
            assert held <= MAX_PENDING_BYTES

    run(work)


def test_the_budget_and_its_use_are_gauges():
    """Guards against a budget that operators cannot see."""

    async def work(kit):
        address = kit.daemon.settings.readiness_address
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
        text = await reader.readuntil(b'use="unsent"')
        assert b"memory_budget_bytes 5000000\n" in text
        assert b'memory_budget_used_bytes{use="body"} 0\n' in text
        writer.close()

    run(work, memory_budget_bytes=5_000_000)
