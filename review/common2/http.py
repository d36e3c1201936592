"""A minimal HTTP/1.1 server on raw connections, for stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import struct
from urllib.parse import parse_qsl, unquote


class Received:
    """One request, as a stand-in has read it."""

    def __init__(self, method: str, target: str, headers: dict, body: bytes):
        self.method, self.target = method, target
        self.headers, self.body = headers, body
        self.path, _, query = target.partition("?")
        self.query = dict(parse_qsl(query, keep_blank_values=True))

    def header(self, name: str) -> str | None:
        """Return a header by the end of its name, None if it is missing."""
        return self.headers.get(f"x-gooseberrypost-{name}".lower())

    def json(self) -> dict:
        """Return the body as JSON."""
        return json.loads(self.body)

    @property
    def last_path_part(self) -> str:
        """Last part of the path."""
        return unquote(self.path.rpartition("/")[2])


class RawServer:
    """Serves one request on each connection; subclasses ``handle`` it."""

    def __init__(self):
        self.host, self.port = "127.0.0.1", 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    @property
    def address(self) -> str:
        """Bound ``host:port``."""
        return f"{self.host}:{self.port}"

    async def start(self):
        """Listen, at the same port as before if there was one."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def end(self, *, resets: bool):
        """Stop listening and end all connections, as a process that ends."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            if resets:
                sock = writer.get_extra_info("socket")
                with contextlib.suppress(OSError):
                    linger = struct.pack("ii", 1, 0)
                    sock.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, linger
                    )
            writer.transport.abort()
        for task in self._tasks - {asyncio.current_task()}:
            task.cancel()

    async def handle(
        self,
        request: Received,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ):
        """Answer a request."""
        raise NotImplementedError

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            request = await _read(reader)
            if request is not None:
                await self.handle(request, reader, writer)
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            return
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()


async def _read(reader: asyncio.StreamReader) -> Received | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    return Received(method, target, headers, await reader.readexactly(length))


async def send(
    writer: asyncio.StreamWriter,
    status: str,
    headers: dict[str, str],
    body: bytes = b"",
):
    """Send an answer with a length."""
    lines = [f"HTTP/1.1 {status}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
    writer.write("\r\n".join(lines).encode() + body)
    await writer.drain()


async def send_json(
    writer: asyncio.StreamWriter, status: int, body: dict, **headers: str
):
    """Send an answer with a JSON body."""
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    named["Content-Type"] = "application/json"
    await send(writer, f"{status} X", named, json.dumps(body).encode())
