"""Clients that do not behave, as raw connections that end by themselves."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable

from tests.gateway_kit import HOST

LEGAL_BODY_BYTES = 4 * 1024 * 1024
"""Largest body that the default limits of the configuration allow."""
OVER_LIMIT_BYTES = 16 * 1024 * 1024
FRAME_BYTES = 4 * 1024 * 1024
"""Largest frame of the internal protocol."""
PIECE_BYTES = 1_400
CHUNK_BYTES = 16 * 1024
LEGAL_FIELDS = 2_000
"""Number of short fields that fit a head of the default size."""
PIPELINED_REQUESTS = 20_000
SLOW_INTERVAL_S = 0.05
RECEIVE_BUFFER_BYTES = 4_096
HOLD_S = 2.5
"""Time for which each client keeps its connection open."""

Client = Callable[[asyncio.StreamWriter, str], Awaitable[None]]


def head(path: str, *fields: str, method: str = "POST") -> bytes:
    """Return a head with what a request of the gateway needs."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        "X-Gooseberrypost-Attempt-Id: crowd",
        "X-Gooseberrypost-Deadline-Ms: 2000",
        *fields,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


async def send(writer: asyncio.StreamWriter, data: bytes):
    writer.write(data)
    await writer.drain()


async def whole_body(writer, path, size=LEGAL_BODY_BYTES):
    """Leave out the last byte of a body that is sent in one piece."""
    await send(writer, head(path, f"Content-Length: {size}"))
    await send(writer, bytes(size - 1))


async def complete_bodies(writer, path, size=LEGAL_BODY_BYTES):
    """Send whole bodies on end, whether they are refused or answered."""
    whole = head(path, f"Content-Length: {size}") + bytes(size)
    while True:
        await send(writer, whole)


async def body_in_pieces(writer, path):
    """Leave out the last byte of a body that is sent in small pieces."""
    await send(writer, head(path, f"Content-Length: {LEGAL_BODY_BYTES}"))
    for _ in range(LEGAL_BODY_BYTES // PIECE_BYTES):
        await send(writer, bytes(PIECE_BYTES))
        await asyncio.sleep(0)


def chunk(size: int) -> bytes:
    return f"{size:x}\r\n".encode() + bytes(size) + b"\r\n"


async def body_in_chunks(writer, path, size=LEGAL_BODY_BYTES):
    """Stop a chunked body of legal size one byte before its end."""
    await send(writer, head(path, "Transfer-Encoding: chunked"))
    for _ in range(size // CHUNK_BYTES - 1):
        await send(writer, chunk(CHUNK_BYTES))
    await send(writer, chunk(CHUNK_BYTES)[:-3])


async def declared_over_limit(writer, path):
    """Declare a body over the limit and send it."""
    await send(writer, head(path, f"Content-Length: {OVER_LIMIT_BYTES}"))
    for _ in range(OVER_LIMIT_BYTES // CHUNK_BYTES):
        await send(writer, bytes(CHUNK_BYTES))


async def chunked_over_limit(writer, path):
    """Send a chunked body over the limit."""
    await send(writer, head(path, "Transfer-Encoding: chunked"))
    for _ in range(OVER_LIMIT_BYTES // CHUNK_BYTES):
        await send(writer, chunk(CHUNK_BYTES))


async def chunks_of_one_byte(writer, path):
    """Send a body with six bytes of framing for each of its bytes."""
    await send(writer, head(path, "Transfer-Encoding: chunked"))
    for _ in range(200):
        await send(writer, chunk(1) * 10_000)


async def many_fields(writer, path):
    """Send heads of legal size made of short fields, the last one in part."""
    fields = [f"{number:x}:" for number in range(LEGAL_FIELDS)]
    whole = head(path, *fields, method="GET")
    for _ in range(50):
        await send(writer, whole)
    await send(writer, whole[:-2])


async def some_fields(writer, path):
    """Send heads with fewer fields than the parser allows by default."""
    fields = [f"{number:x}:" for number in range(120)]
    whole = head(path, *fields, method="GET")
    for _ in range(1_000):
        await send(writer, whole)
    await send(writer, whole[:-2])


async def head_without_end(writer, path):
    """Send fields of legal size without ever ending the head."""
    await send(writer, head(path)[:-2])
    for number in range(100):
        await send(writer, f"f{number}: {'x' * 16_000}\r\n".encode())


async def pipelined(writer, path):
    """Send many requests without reading an answer."""
    block = head(path, method="GET") * 100
    for _ in range(PIPELINED_REQUESTS // 100):
        await send(writer, block)


async def slow_head(writer, path):
    """Send a head byte by byte."""
    for byte in head(path) * 100:
        await send(writer, bytes([byte]))
        await asyncio.sleep(SLOW_INTERVAL_S)


async def slow_body(writer, path):
    """Send a body of legal size byte by byte."""
    await send(writer, head(path, f"Content-Length: {LEGAL_BODY_BYTES}"))
    while True:
        await send(writer, b"x")
        await asyncio.sleep(SLOW_INTERVAL_S)


async def unread_answers(writer, path):
    """Ask for large answers, one after the other, without reading any."""
    for _ in range(10):
        await send(writer, head(f"{path}large", method="GET"))


async def unread_stream(writer, path):
    """Ask for a long stream without reading it."""
    usage = "X-Gooseberrypost-Token-Usage: 100,10"
    prompt = "X-Gooseberrypost-Prompt-Prefix: ab:100"
    fields = (usage, prompt, "Content-Length: 4")
    await send(writer, head(path, *fields) + b"body")


async def unread_metrics(writer, path):
    """Ask for the metrics many times without reading an answer."""
    block = head("/metrics", method="GET") * 100
    for _ in range(200):
        await send(writer, block)


async def frame_without_end(writer, path):
    """Leave out the last byte of a frame of the internal protocol."""
    await send(writer, FRAME_BYTES.to_bytes(4, "big"))
    await send(writer, bytes(FRAME_BYTES - 1))


async def silent(writer, path):
    """Send nothing."""


async def attack(address: str, path: str, client: Client, count: int):
    """Run ``count`` clients of one kind at once, each for ``HOLD_S``."""
    await asyncio.gather(*(_run(address, path, client) for _ in range(count)))


async def attack_again(address: str, path: str, client: Client, count: int):
    """Run clients that connect again at once, for ``HOLD_S``."""

    async def come_back():
        while True:
            await _run(address, path, client, stays=False)
            await asyncio.sleep(0)

    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(HOLD_S):
            await asyncio.gather(*(come_back() for _ in range(count)))


async def attack_mixed(address: str, path: str, clients: list[Client]):
    """Run one client of each kind in a list at once."""
    await asyncio.gather(*(_run(address, path, one) for one in clients))


async def _run(address: str, path: str, client: Client, stays: bool = True):
    """Run a client, which keeps its connection open at its end if it stays."""
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    sock.setblocking(False)
    # Small, so that the kernel holds little of what is not read.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(HOLD_S):
            await loop.sock_connect(sock, (host, int(port)))
            _, writer = await asyncio.open_connection(
                sock=sock, limit=RECEIVE_BUFFER_BYTES
            )
            try:
                with contextlib.suppress(OSError):
                    await client(writer, path)
                if stays:
                    await asyncio.sleep(HOLD_S)
            finally:
                writer.transport.abort()
    except (TimeoutError, OSError):
        sock.close()
