"""Requests of an entry whose own event loop stands still."""

from __future__ import annotations

import asyncio
import socket
import time

from tests.entry_fakes import run

PAUSE_S = 0.6
"""Longer than each of the timeouts here."""
TIMEOUT_MS = 300
REQUEST = b'{"model": "m", "prompt": "hello"}'


def stand_still(pause_s: float = PAUSE_S):
    time.sleep(pause_s)


def connect(rig):
    host, port = rig.daemon.http.address.split(":")
    return socket.create_connection((host, int(port)), 5)


async def read_all(sock):
    """Read an answer until the entry closes the connection."""
    sock.setblocking(False)
    reader, writer = await asyncio.open_connection(sock=sock)
    try:
        return await reader.read()
    finally:
        writer.close()


def head(length):
    lines = (
        "POST /v1/completions HTTP/1.1",
        "Host: e1",
        "Connection: close",
        f"Content-Length: {length}",
        *("", ""),
    )
    return "\r\n".join(lines).encode()


def test_body_that_came_in_a_pause_is_read():
    """Guards against refusing a sound caller after a pause of the entry."""

    async def scenario(rig):
        sock = connect(rig)
        sock.sendall(head(len(REQUEST)) + REQUEST[:5])
        await asyncio.sleep(TIMEOUT_MS / 3_000)
        sock.sendall(REQUEST[5:])
        stand_still()
        assert b" 200 OK" in await read_all(sock)

    run(scenario, read_timeout_ms=TIMEOUT_MS)
