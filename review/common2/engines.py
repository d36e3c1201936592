"""Stand-ins of the platform's servers: plain ones and model engines."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from collections.abc import Callable
from typing import ClassVar

from review.common2.http import RawServer, Received, send, send_json
from review.common2.store import Store

HEARTBEAT_S = 1.2
"""Interval at which a server writes its registration."""
SILENT_HEARTBEATS = 3
"""Heartbeats after which the store removes that of a silent server."""
PROMPT_TOKENS_PER_S = 55_555.6
"""Prompt tokens that an engine reads in a second, as in the sheet."""
DECODE_PREFILL_FACTOR = 2.0
"""Factor of that time on a decode engine."""
KV_TOKENS = 100_615
"""Tokens that fit into the memory of an engine, as in the sheet."""
KV_RETENTION_S = 0.5
"""Time for which a prefilled prompt is kept, as the configuration says."""

_numbers = itertools.count(1)

Note = Callable[..., None]


class Server(RawServer):
    """A server that registers itself, and may crash, leave and return."""

    def __init__(
        self,
        store: Store,
        note: Note,
        service: str,
        *,
        stage: str = "",
        version: str = "v1",
        slots: int = 6,
    ):
        super().__init__()
        self.store, self.note = store, note
        self.service, self.stage, self.version = service, stage, version
        self.slots = slots
        self.instance = ""
        self.state = "ready"
        self.crashed_by_poison = False
        """Whether its last crash came from a part of a prompt."""
        self.running: dict[str, str] = {}
        """Target of each request in execution, by id."""
        self._born = 0
        self._writes = 0
        self._beats: asyncio.Task | None = None

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._beats is not None

    async def start(self):
        """Start a process, which is a new instance."""
        number = next(_numbers)
        self.instance = f"i-{number:04x}{number * 7919 % 65536:04x}"
        self.state, self._writes = "ready", 0
        self._born = round(1_000 * time.time())
        self.running.clear()
        await super().start()
        self._beats = asyncio.create_task(self._beat())
        self.note(
            "server_starts",
            server=self.instance,
            service=self.service,
            version=self.version,
        )

    def stop_heartbeats(self):
        """Write no registration any more."""
        if self._beats is not None:
            self._beats.cancel()

    def end(self, *, resets: bool = True):
        """End the process at once; the store removes its entry later."""
        self.stop_heartbeats()
        self._beats = None
        super().end(resets=resets)
        self.running.clear()

    def crash(self):
        """End as a process that crashed, which tells nobody."""
        self.crashed_by_poison = False
        self.note(
            "server_crashes",
            server=self.instance,
            running=" ".join(sorted(set(self.running.values()))),
        )
        key = f"servers/{self.instance}"
        self.end()
        asyncio.get_running_loop().call_later(
            SILENT_HEARTBEATS * HEARTBEAT_S, self.store.remove, key
        )

    def register(self):
        """Write the registration, if the store answers."""
        if self.store.is_silent:
            return
        self._writes += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "sk-west-a",
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self._writes,
            "born": self._born,
        }
        if self.stage:
            models = [{"name": "m", "version": 1, "adapters": []}]
            entry |= {"stage": self.stage, "models": models}
        self.store.put(f"servers/{self.instance}", entry)

    async def _beat(self):
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    async def handle(self, request: Received, reader, writer):
        """Answer a request, or refuse one for another instance."""
        expected = request.header("Expect-Instance")
        if expected not in (None, self.instance):
            return await self._refuse(request, writer, "421 Misdirected")
        if request.path.startswith("/-/"):
            return await self.control(request, writer)
        return await self.work(request, reader, writer)

    async def control(self, request: Received, writer):
        """Answer a call that is no request of a client."""
        await send(writer, "404 Not Found", {})

    async def work(self, request: Received, reader, writer):
        """Run a request."""
        raise NotImplementedError

    async def _refuse(self, request: Received, writer, status: str):
        echoed = {
            "X-Gooseberrypost-Attempt-Id": request.header("Attempt-Id") or "",
            "X-Gooseberrypost-Not-Executed": "1",
        }
        await send(writer, status, echoed)

    def stamp(self, request: Received) -> dict[str, str]:
        """Return the headers of every answer to a request that ran."""
        return {
            "X-Gooseberrypost-Attempt-Id": request.header("Attempt-Id") or "",
            "X-Gooseberrypost-Server-Stamp": f"{self.instance}.1",
        }


class PlainServer(Server):
    """Runs calls; while it is grey, a part of them fails after its work."""

    def __init__(
        self, store: Store, note: Note, service: str, work_s: float, **options
    ):
        super().__init__(store, note, service, **options)
        self.work_s = work_s
        """Median time of the work of a call; times spread by half."""
        self.fails: Callable[[], bool] = lambda: False
        """Whether the next call fails."""
        self.garbles: Callable[[], bool] = lambda: False
        """Whether the head of the next answer is garbled."""
        self.garbled: list[str] = []
        """Ids of the requests with such an answer."""
        self.ran: list[str] = []
        """Ids of the requests that it has run."""

    async def control(self, request: Received, writer):
        """Answer that a plain server has no such call."""
        await send(writer, "404 Not Found", {})

    async def work(self, request: Received, reader, writer):
        """Run a call, and answer it."""
        request_id = request.header("Attempt-Id") or ""
        self.running[request_id] = request.target
        self.ran.append(request_id)
        self.note("runs", request=request_id, server=self.instance)
        try:
            await asyncio.sleep(self.work_s * random.lognormvariate(0, 0.5))
        finally:
            self.running.pop(request_id, None)
        status = "503 Service Unavailable" if self.fails() else "200 OK"
        body = f"{request.method} {request.target} {request_id}".encode()
        headers = self.stamp(request)
        if self.garbles():
            # A line of a head that is none in HTTP: RFC 9112, section 5.1.
            headers["Transfer-Encoding "] = "chunked"
            self.garbled.append(request_id)
            self.note("garbles", request=request_id, server=self.instance)
            body = f"{len(body):x}\r\n".encode() + body + b"\r\n0\r\n\r\n"
            lines = [f"{name}: {value}" for name, value in headers.items()]
            head = "\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""])
            writer.write(head.encode() + body)
            await writer.drain()
            return
        await send(writer, status, headers, body)


class ModelEngine(Server):
    """Prefills prompts or decodes streams, depending on its stage.

    It does not carry out moves of runs and orders, which a sound engine does.
    A case in which one is asked for is not judged.
    """

    not_carried_out: ClassVar[list[str]] = []
    """Calls that a sound engine would have carried out."""
    handles: ClassVar[set[str]] = set()
    """ADDRESS/HANDLE of each prefilled prompt that was not taken yet."""

    def __init__(self, store: Store, note: Note, service: str, **options):
        super().__init__(store, note, service, **options)
        self.slow = 1.0
        """Factor of the time that each piece of work takes."""
        self.events = 40
        self.event_s = 0.1
        self.is_framed = True
        """Whether streams come in chunks; otherwise they end with their
        connection."""
        self.poison = ""
        """Part of a prompt under which the engine crashes."""
        self.prefilling: set[str] = set()
        """Requests whose prompts are being prefilled."""
        self.poisoned: set[str] = set()
        """Those of them that have the part."""
        self.on_prefill: Callable[[ModelEngine, str], None] | None = None
        """Called as the prefill of a request begins."""
        self.on_decode: Callable[[ModelEngine, str], None] | None = None
        """Called as a request to decode arrives."""
        self.on_hold: Callable[[ModelEngine], None] | None = None
        """Called as memory is reserved."""
        self.holds: set[str] = set()
        """Reservations that are neither used nor lapsed."""
        self._prefills = asyncio.Lock()

    async def control(self, request: Received, writer):
        """Answer a report, a reservation or the release of memory."""
        status, body = 200, {}
        if request.path == "/-/report":
            body = {
                "stage": self.stage,
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False,
                "sequence": 0,
                "queued": 0,
                "running": len(self.running),
                "kv_used": 0,
                "kv_total": KV_TOKENS,
                "kv_handles": 0,
                "born": self._born,
                "state": self.state,
            }
        elif request.path == "/-/hold-take":
            name = f"{next(_numbers):x}"
            ttl_s = request.json()["ttl_ms"] / 1_000
            self.holds.add(name)
            loop = asyncio.get_running_loop()
            loop.call_later(ttl_s, self.holds.discard, name)
            body = {"hold": name}
            if self.on_hold is not None:
                self.on_hold(self)
        elif request.path == "/-/kv-move":
            status = 404
            if request.json()["id"] in self.running:
                self.not_carried_out.append(request.path)
        elif request.path == "/-/order":
            status = 400
            self.not_carried_out.append(request.path)
        elif request.method == "DELETE":
            self.holds.discard(request.last_path_part)
            self.handles.discard(f"{self.address}/{request.last_path_part}")
        await send_json(writer, status, body)

    async def work(self, request: Received, reader, writer):
        """Prefill a prompt, or decode its answer."""
        if request.header("Inference-Stage") == "prefill":
            if self.stage != "prefill":
                await self._refuse(request, writer, "421 Misdirected")
                return
            await self._prefill(request, writer)
        elif self.stage != "decode":
            await self._refuse(request, writer, "421 Misdirected")
        else:
            await self._decode(request, reader, writer)

    async def _prefill(self, request: Received, writer):
        request_id = request.header("Attempt-Id") or ""
        tokens = int((request.header("Token-Usage") or "1,1").split(",")[0])
        self.note("prefills", request=request_id, server=self.instance)
        if self.on_prefill is not None:
            self.on_prefill(self, request_id)
        self.prefilling.add(request_id)
        if self._is_poisoned(request):
            self.poisoned.add(request_id)
        try:
            async with self._prefills:
                await asyncio.sleep(self.slow * tokens / PROMPT_TOKENS_PER_S)
        finally:
            self.prefilling.discard(request_id)
        handle = f"{next(_numbers) * 40503 % 2**32:08x}"
        kept = f"{self.address}/{handle}"
        self.handles.add(kept)
        asyncio.get_running_loop().call_later(
            KV_RETENTION_S, self.handles.discard, kept
        )
        body = {"kv_handle": handle, "tokens": tokens, "version": 1}
        await send_json(writer, 200, body, **self._echo(request))

    def _is_poisoned(self, request: Received) -> bool:
        parts = request.header("Prompt-Prefix") or ""
        return bool(self.poison) and f"{self.poison}:" in parts

    def _echo(self, request: Received) -> dict[str, str]:
        return {
            name.replace("-", "_"): value
            for name, value in self.stamp(request).items()
        }

    async def _decode(self, request: Received, reader, writer):
        request_id = request.header("Attempt-Id") or ""
        after = int(request.headers.get("last-event-id") or 0)
        # One that has lapsed reserves nothing; there is room without it.
        self.holds.discard(request.header("Kv-Hold") or "")
        source = request.header("Kv-Source")
        if source is not None and source not in self.handles:
            self.note("refuses", request=request_id, server=self.instance)
            await self._refuse(request, writer, "503 Service Unavailable")
            return
        self.handles.discard(source or "")
        self.running[request_id] = request.target
        if self.on_decode is not None:
            self.on_decode(self, request_id)
        self.note(
            "decodes",
            request=request_id,
            server=self.instance,
            version=self.version,
            after=after,
        )
        stream = asyncio.create_task(self._stream(request, writer, after))
        left = asyncio.create_task(reader.read(1))
        try:
            await asyncio.wait(
                {stream, left}, return_when=asyncio.FIRST_COMPLETED
            )
            if stream.done() and not stream.cancelled():
                stream.result()
        finally:
            self.running.pop(request_id, None)
            stream.cancel()
            left.cancel()

    async def _stream(self, request: Received, writer, after: int):
        headers = self.stamp(request)
        headers |= {
            "X-Gooseberrypost-Weight-Versions": "1",
            "Content-Type": "text/event-stream",
            "Connection": "close",
        }
        if self.is_framed:
            headers["Transfer-Encoding"] = "chunked"
        lines = ["HTTP/1.1 200 OK"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join([*lines, "", ""]).encode()
        if request.header("Kv-Source") is None:
            usage = request.header("Token-Usage") or "1,1"
            tokens = int(usage.split(",")[0])
            prefill_s = DECODE_PREFILL_FACTOR * tokens / PROMPT_TOKENS_PER_S
            await asyncio.sleep(self.slow * prefill_s)
        for number in range(after + 1, self.events + 1):
            await asyncio.sleep(self.slow * self.event_s)
            if self._is_poisoned(request):
                self.crash()
                self.crashed_by_poison = True
                return
            # The data names who wrote it, so that clients can tell.
            event = f"id: {number}\ndata: {self.version} {self.instance}\n\n"
            data = event.encode()
            if self.is_framed:
                data = f"{len(event):x}\r\n{event}\r\n".encode()
            writer.write(head + data)
            head = b""
            await writer.drain()
        if self.is_framed:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
