"""Fake of the platform's backend servers: plain servers and model engines."""

from __future__ import annotations

import asyncio
import json
import socket
import struct
from collections.abc import Callable

SIGNATURE = "X-Gooseberrypost-Server-Stamp: sig"
NOT_EXECUTED = "X-Gooseberrypost-Not-Executed: 1"
UNAVAILABLE = "503 Service Unavailable"
TRUNCATED_LENGTH = 5_000
"""Length in bytes that a truncated answer declares.

No repeated refusal behind the part that is sent makes it that long.
"""


class Received:
    """One request as received by the server."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.run = None
        """Its execution, where the server keeps account of them."""

    def header(self, name: str) -> str | None:
        return self.headers.get(f"x-gooseberrypost-{name}".lower())


STOPPED_RUNS: dict[str, str] = {}
"""Request id of each stopped run that was not resumed yet; shared by engines
and keyed by the ADDRESS/HANDLE of its KV."""


class FakePlatformEngine:
    """Answers on raw TCP connections, so that responses can be malformed."""

    def __init__(self, instance: str, stage: str = ""):
        self.instance = instance
        self.stage = stage
        self.version = "v1"
        """Version of the software."""
        self.host, self.port = "127.0.0.1", 0
        self.received: list[Received] = []
        self.executed: list[str] = []
        self.control: list[Received] = []
        self.closed_early: list[str] = []
        self.mode = "answer"
        """How requests are answered: answer, refuse, reset, hang,
        unframed_reset, unframed_exit, unframed_restart, foreign, truncate,
        unsigned, error, own_status."""
        self.born = 1
        """Start of the process in ms, as reports and entries state it."""
        self.events = 3
        self.event_s = 0.0
        self.event_bytes = 0
        """Least size of the data of an event."""
        self.body: bytes | None = None
        """Body of the answers to plain calls; None for a short one."""
        self.answer_s = 0.0
        """Time that a plain call takes."""
        self.own_status = 503
        """Status of the answers of mode ``own_status``, after a run."""
        self.prefill_s = 0.0
        """Time that a prefill takes."""
        self.late_refusal: asyncio.Future[str] | None = None
        """Result of the next refusal, which waits for it."""
        self.has_room = True
        self.orders = 0
        self.registrations = 0
        """Number of times that the entry in the store was written."""
        self.refuses_orders = False
        self.stopped = 0
        """Number of runs that were stopped in order to move."""
        self.supports_moves = False
        """Whether a run can be stopped, and resumed elsewhere from its KV."""
        self.running: dict[str, asyncio.Future[None]] = {}
        """Requests in execution, by id."""
        self.resumed: list[str] = []
        """Requests that resumed here from the KV of another engine."""
        self.mismatched_sources: list[str] = []
        """Requests that named the KV of another request as their source."""
        self.refuses_kv_sources = False
        """Whether requests that fetch KV from another engine get 503."""
        self.tasks: set[asyncio.Task] = set()
        self.connections: set[asyncio.StreamWriter] = set()
        self.crashes_on: Callable[[Received], bool] = lambda request: False
        """Which requests end the server's process as their answer begins."""
        self.crash_after_s = 0.02
        """Time from the start of such a request to the end of the process."""
        self.crashes_begun = False
        """Whether the first event of such an answer is sent before."""
        self.crashes = 0
        self.report_delay_s = 0.0
        """Time before a report is answered, in addition."""
        self.control_delay_s = 0.0
        """Time before a control call is answered."""
        self.limit_per_s: str | None = None
        """Rate limit that each answer names."""
        self.leaves = False
        """Whether each answer says that the server is about to leave."""
        self.retry_after: str | None = None
        """Time to come back that each refusal names."""
        self.states_refusals = True
        """Whether refusals state that the request was not executed."""
        self.old_refusal: str | None = None
        """When a refusal without an id is written once more: ``early``, as a
        connection opens, or ``after`` each answer."""
        self.arrivals_s: list[float] = []
        """Monotonic time at which each request was received."""

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    def registration(self, service: str, **changes) -> dict:
        self.registrations += 1
        return {
            "service": service,
            "address": self.address,
            "zone": "a",
            "version": self.version,
            "slots": 4,
            "state": "ready",
            "cold_remaining_ms": 0,
            "stage": self.stage,
            "sequence": self.registrations,
            "born": self.born,
            **changes,
        }

    async def start(self, address: str = "127.0.0.1:0"):
        host, _, port = address.rpartition(":")
        self.server = await asyncio.start_server(self._serve, host, int(port))
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def stop(self):
        self.server.close()
        for task in list(self.tasks):
            task.cancel()

    def crash(self):
        """Stop listening and reset every connection, as a killed process.

        What else it was running ends with it.
        """
        if not self.server.is_serving():
            return
        self.crashes += 1
        self.server.close()
        for writer in list(self.connections):
            reset_connection(writer)
        for task in self.tasks - {asyncio.current_task()}:
            task.cancel()

    async def restart(self, instance: str):
        """Listen again at the same address, as another instance."""
        self.instance, self.registrations = instance, 0
        await self.start(self.address)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        self.connections.add(writer)
        try:
            if self.old_refusal == "early":
                await self._send(writer, "503 Old", [NOT_EXECUTED])
            request = await self._read(reader)
            if request is not None:
                await self._handle(request, reader, writer)
                if self.old_refusal == "after":
                    await self._send(writer, "503 Old", [NOT_EXECUTED])
        except ConnectionError:
            return
        finally:
            self.tasks.discard(task)
            self.connections.discard(writer)
            writer.close()

    async def _read(self, reader) -> Received | None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            return None
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ")
        headers = {}
        for line in filter(None, lines[1:]):
            name, _, value = line.partition(": ")
            headers[name.lower()] = value
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        return Received(method, target, headers, body)

    async def _handle(self, request, reader, writer):
        if request.target.startswith("/-/"):
            delay_s = self.control_delay_s
            if request.target == "/-/report":
                delay_s += self.report_delay_s
            await asyncio.sleep(delay_s)
            self.control.append(request)
            status, body = self._control(request)
            return await self._json(writer, status, body)
        self.received.append(request)
        self.arrivals_s.append(asyncio.get_running_loop().time())
        if request.header("Expect-Instance") != self.instance:
            return await self._refuse(request, writer, "421 Misdirected")
        if request.header("Inference-Stage") == "prefill":
            await asyncio.sleep(self.prefill_s)
            handle = self._keep_prompt()
            body = {"kv_handle": handle, "tokens": 10, "version": 1}
            return await self._json(writer, 200, body)
        has_source = request.header("Kv-Source") is not None
        refuses = self.mode == "refuse" or (
            has_source and self.refuses_kv_sources
        )
        if refuses:
            headers = []
            if self.retry_after is not None:
                headers.append(f"Retry-After: {self.retry_after}")
            return await self._refuse(request, writer, UNAVAILABLE, *headers)
        request_id = request.header("Attempt-Id")
        if not self._admit(request):
            return await self._refuse(request, writer, UNAVAILABLE)
        if self.crashes_on(request):
            if self.crashes_begun:
                await self._begin_stream(request, writer)
            await asyncio.sleep(self.crash_after_s)
            return self.crash()
        execution = asyncio.ensure_future(
            getattr(self, f"_mode_{self.mode}")(request, writer)
        )
        disconnect_watch = asyncio.create_task(
            self._cancel_on_disconnect(reader, request_id, execution)
        )
        self.running[request_id] = execution
        try:
            await asyncio.wait({execution})
        finally:
            self.running.pop(request_id, None)
            disconnect_watch.cancel()
            execution.cancel()

    def _keep_prompt(self) -> str:
        """Return the handle of a prompt's KV, which was just prefilled."""
        return "h1"

    def _admit(self, request) -> bool:
        """Take a request, unless the KV that it names is gone."""
        request_id = request.header("Attempt-Id")
        source = request.header("Kv-Source") or ""
        if source in STOPPED_RUNS:
            owner = STOPPED_RUNS.pop(source)
            self.resumed.append(request_id)
            if owner != request_id:
                self.mismatched_sources.append(request_id)
        elif "/moved-" in source:
            return False
        else:
            self.executed.append(request_id)
        return True

    async def _cancel_on_disconnect(self, reader, request_id, execution):
        """Cancel a request whose client disconnects before its end."""
        try:
            closed = not await reader.read(1)
        except ConnectionError:
            closed = True
        if closed:
            self.closed_early.append(request_id)
            execution.cancel()

    def _control(self, request):
        path = request.target
        if path == "/-/hold-take":
            if self.has_room:
                return 200, {"hold": "hold-1"}
            return 503, {}
        if path == "/-/report":
            return 200, {
                "stage": self.stage,
                "busy": False,
                "sequence": self.orders,
                "born": self.born,
            }
        if path == "/-/kv-move" and self.supports_moves:
            return self._stop_run(json.loads(request.body)["id"])
        if path == "/-/kv-move":
            return 404, {}
        if path == "/-/order" and self.refuses_orders:
            return 409, {}
        if path == "/-/order":
            self.orders += 1
            return 202, {}
        return 200, {}

    def _stop_run(self, request_id: str):
        """Stop a run; the same request can resume from its KV, once."""
        execution = self.running.get(request_id)
        if execution is None:
            return 404, {}
        execution.cancel()
        self.stopped += 1
        handle = f"moved-{self.stopped}"
        STOPPED_RUNS[f"{self.address}/{handle}"] = request_id
        return 200, {"kv_handle": handle, "created": 0}

    async def _refuse(self, request, writer, status: str, *headers: str):
        request_id = request.header("Attempt-Id")
        echoed = f"X-Gooseberrypost-Attempt-Id: {request_id}"
        stated = [NOT_EXECUTED] if self.states_refusals else []
        await self._send(writer, status, [*stated, echoed, *headers])

    async def _json(self, writer, status, body):
        content = json.dumps(body).encode()
        await self._send(
            writer, f"{status} X", ["Content-Type: application/json"], content
        )

    def _state_headers(self) -> list[str]:
        """Return the headers by which each answer tells of the server."""
        found = []
        if self.limit_per_s is not None:
            found.append(f"Server-Limit: {self.limit_per_s}")
        if self.leaves:
            found.append("Server-Leaving: 1")
        return found

    async def _send(self, writer, status, headers, body=b""):
        lines = [
            f"HTTP/1.1 {status}",
            *headers,
            *self._state_headers(),
            f"Content-Length: {len(body)}",
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await writer.drain()

    def _head(self, request, *headers) -> bytes:
        lines = [
            "HTTP/1.1 200 OK",
            f"X-Gooseberrypost-Attempt-Id: {request.header('Attempt-Id')}",
            SIGNATURE,
            *self._state_headers(),
            *headers,
        ]
        return "\r\n".join([*lines, "", ""]).encode()

    async def _mode_answer(self, request, writer):
        if self.stage:
            return await self._stream(request, writer)
        await asyncio.sleep(self.answer_s)
        body = self.body
        if body is None:
            text = f"{self.instance} {request.method} {request.target}"
            body = text.encode()
        head = self._head(request, f"Content-Length: {len(body)}")
        writer.write(head if request.method == "HEAD" else head + body)
        await writer.drain()

    def _stream_head(self, request) -> bytes:
        return self._head(
            request,
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        )

    async def _begin_stream(self, request, writer):
        """Send the first event of a stream."""
        last = int(request.headers.get("last-event-id") or 0)
        event = self._event(last + 1)
        writer.write(self._stream_head(request))
        writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        await writer.drain()

    async def _stream(self, request, writer):
        writer.write(self._stream_head(request))
        first = int(request.headers.get("last-event-id") or 0)
        for number in range(first + 1, self.events + 1):
            event = self._event(number)
            if self.mode == "truncate" and number == 2:
                event = event[:6]
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            if self.mode == "truncate" and number == 2:
                return
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def _event(self, number: int) -> bytes:
        data = str(number).ljust(self.event_bytes, "x")
        return f"id: {number}\ndata: {data}\n\n".encode()

    async def _mode_unframed(self, request, writer):
        """Answer without a length or chunks, ended by its connection."""
        if self.stage:
            await self._stream_unframed(request, writer, self.events, b"")
        else:
            writer.write(self._head(request) + b"whole")
            writer.write_eof()

    async def _mode_unframed_cut(self, request, writer):
        """Stream likewise, and close properly inside the second event."""
        await self._stream_unframed(request, writer, 1, b"id: 2")

    async def _mode_unframed_empty(self, request, writer):
        """Stream likewise, and close properly before the first event."""
        await self._stream_unframed(request, writer, 0, b"")

    async def _mode_unframed_exit(self, request, writer):
        """Answer likewise in part, as the process ends.

        The kernel then closes its connections properly.
        """
        self.server.close()
        await self._answer_unframed_in_part(request, writer)

    async def _mode_unframed_restart(self, request, writer):
        """Answer likewise in part, as the process ends and starts again."""
        self.born += 1
        await self._answer_unframed_in_part(request, writer)

    async def _answer_unframed_in_part(self, request, writer):
        if self.stage:
            await self._stream_unframed(request, writer, 2, b"")
        else:
            writer.write(self._head(request) + b"part")
            writer.write_eof()

    async def _stream_unframed(self, request, writer, events, rest):
        writer.write(self._head(request, "Content-Type: text/event-stream"))
        first = int(request.headers.get("last-event-id") or 0)
        for number in range(first + 1, events + 1):
            writer.write(f"id: {number}\ndata: {number}\n\n".encode())
            await writer.drain()
        writer.write(rest)
        await writer.drain()
        writer.write_eof()

    async def _mode_truncate(self, request, writer):
        if self.stage:
            return await self._stream(request, writer)
        length = f"Content-Length: {TRUNCATED_LENGTH}"
        writer.write(self._head(request, length) + b"part")
        await writer.drain()

    async def _mode_own_status(self, request, writer):
        """Answer with a status of the application, which ran the request."""
        echoed = f"X-Gooseberrypost-Attempt-Id: {request.header('Attempt-Id')}"
        headers = [SIGNATURE, echoed, "Retry-After: 0.05"]
        await self._send(writer, f"{self.own_status} Own", headers, b"own")

    async def _mode_reset(self, request, writer):
        reset_connection(writer)

    async def _mode_late_refusal(self, request, writer):
        """Refuse a call once ``refuse_running`` is called."""
        self.late_refusal = asyncio.get_running_loop().create_future()
        if await self.late_refusal == "reset":
            return reset_connection(writer)
        await self._refuse(request, writer, UNAVAILABLE)

    def refuse_running(self, how: str):
        """Refuse the call that waits for it, if there is one."""
        if self.late_refusal is not None:
            self.late_refusal.set_result(how)

    async def _mode_hang(self, request, writer):
        await asyncio.sleep(3_600)

    async def _mode_unframed_reset(self, request, writer):
        writer.write(self._head(request) + b"part")
        await writer.drain()
        await asyncio.sleep(0.05)
        reset_connection(writer)

    async def _mode_foreign(self, request, writer):
        request.headers["x-gooseberrypost-attempt-id"] = "another"
        await self._mode_answer(request, writer)

    async def _mode_unsigned(self, request, writer):
        await self._send(writer, "200 OK", [], b"no signature")

    async def _mode_error(self, request, writer):
        body = self.body or b"failed"
        await self._send(writer, "500 Oops", [SIGNATURE], body)


def reset_connection(writer: asyncio.StreamWriter):
    """Close with a TCP reset; aborting the transport alone sends a FIN."""
    sock = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    if sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
