"""Model engine with places, handles that can be used once, and moves."""

from __future__ import annotations

import asyncio
import json
import math
import socket

from tests.standins.platform_engine import FakePlatformEngine

PROMPT_RETENTION_S = 1.0
"""Time for which the KV of a prompt is kept for a decode engine."""
RUN_RETENTION_S = 3.0
"""Time for which the KV of a stopped run is kept."""


class Handle:
    """KV of a prompt, or of a run that was stopped."""

    def __init__(
        self, request_id: str | None, expires_s: float, copy_at: str | None
    ):
        self.request_id = request_id
        """Request whose run was stopped; None for the KV of a prompt."""
        self.expires_s = expires_s
        self.copy_at = copy_at
        """Address of the engine that holds a copy of the run."""
        self.refusals = 0
        """How often the engine with the copy will refuse it."""


class Run:
    """Execution of a request at one engine."""

    def __init__(self, engine: MovingEngine, started_s: float):
        self.engine = engine
        self.started_s, self.ended_s = started_s, math.inf
        self.continues = False
        """Whether it goes on from the KV of a stopped run."""
        self.end = "running"
        """How it ended: done, closed, stopped, ``stopped unheard`` (by a
        caller that had left) or broke off."""


class Ledger:
    """Handles and runs of all engines of a test."""

    def __init__(self):
        self.engines: dict[str, MovingEngine] = {}
        self.handles: dict[str, Handle] = {}
        """By ADDRESS/HANDLE of the engine that names them."""
        self.runs: dict[str, list[Run]] = {}
        """By request id."""
        self.prefills = self.used_prefills = 0
        self.moves = 0

    def live(self, source: str) -> Handle | None:
        handle = self.handles.get(source)
        if handle is None or handle.expires_s < now():
            return None
        return handle

    def copies_at(self, address: str) -> int:
        return sum(
            handle.copy_at == address and handle.expires_s >= now()
            for handle in self.handles.values()
        )


def now() -> float:
    return asyncio.get_running_loop().time()


class MovingEngine(FakePlatformEngine):
    """Keeps its places, and stops and copies runs as the platform does."""

    def __init__(self, instance: str, stage: str, ledger: Ledger, slots: int):
        super().__init__(instance, stage)
        self.ledger, self.slots = ledger, slots
        self.holds: dict[str, float] = {}
        """Time at which each reservation ends."""
        self._hold_count = 0
        self._moving: set[str] = set()
        """Requests whose run is being copied."""
        self._listener: socket.socket | None = None
        self._late: asyncio.Task[None] | None = None

    def copy_s(self, request_id: str) -> float:
        """Return the time that the copy of a run takes."""
        return 0.0

    def move_fault(self, request_id: str) -> str:
        """Return what befalls the move of a run.

        ``no_room``: the copy fails, ``late``: the target accepts no
        connection for a while after the copy, ``refused``: the target refuses
        the request once; or nothing.
        """
        return ""

    async def start(self, address: str = "127.0.0.1:0"):
        host, _, port = address.rpartition(":")
        self._listener = socket.create_server((host, int(port)))
        self.port = self._listener.getsockname()[1]
        self.ledger.engines[self.address] = self
        await self._accept()
        return self

    async def _accept(self):
        self.server = await asyncio.start_server(
            self._serve, sock=self._listener.dup()
        )

    async def stop(self):
        if self._late is not None:
            self._late.cancel()
        await super().stop()
        self._listener.close()

    async def _accept_late(self, late_s: float):
        """Establish no connection for a while, as a late event loop."""
        listening = self.server.sockets[0].fileno()
        asyncio.get_running_loop().remove_reader(listening)
        # Connections that were just accepted would be reset by the close.
        await asyncio.sleep(0.01)
        self.server.close()
        self._listener.listen(0)
        with socket.socket() as filler:
            # It fills the queue of the listening socket.
            filler.setblocking(False)
            filler.connect_ex((self.host, self.port))
            await asyncio.sleep(late_s)
        await self._accept()

    @property
    def taken(self) -> int:
        """Number of places that runs, reservations and copies take."""
        for hold in [h for h, end_s in self.holds.items() if end_s < now()]:
            del self.holds[hold]
        copies = self.ledger.copies_at(self.address)
        return len(self.running) + len(self.holds) + copies

    def has_place(self) -> bool:
        return self.taken < self.slots

    async def _handle(self, request, reader, writer):
        if request.target != "/-/kv-move":
            try:
                return await super()._handle(request, reader, writer)
            finally:
                if request.run is not None:
                    request.run.ended_s = now()
        self.control.append(request)
        status, body = await self._move(json.loads(request.body), reader)
        await self._json(writer, status, body)

    def _control(self, request):
        path, _, name = request.target.rpartition("/")
        if request.target == "/-/hold-take" and self.stage:
            return self._reserve(json.loads(request.body)["ttl_ms"])
        if path == "/-/hold-drop":
            self.holds.pop(name, None)
        if path == "/-/kv-handle":
            self.ledger.handles.pop(f"{self.address}/{name}", None)
        return super()._control(request)

    def _reserve(self, ttl_ms: int):
        if not self.has_place():
            return 503, {}
        self._hold_count += 1
        hold = f"hold-{self._hold_count}"
        self.holds[hold] = now() + ttl_ms / 1_000
        return 200, {"hold": hold}

    def _keep_prompt(self) -> str:
        self.ledger.prefills += 1
        name = f"prompt-{self.ledger.prefills}"
        handle = Handle(None, now() + PROMPT_RETENTION_S, None)
        self.ledger.handles[f"{self.address}/{name}"] = handle
        return name

    def _admit(self, request) -> bool:
        request_id = request.header("Attempt-Id")
        if not self.stage:
            return super()._admit(request)
        source = request.header("Kv-Source")
        handle = self.ledger.live(source) if source else None
        if source and not (handle and self._holds_copy(source, handle)):
            return False
        run = Run(self, now())
        run.continues = handle is not None and handle.request_id is not None
        hold = request.header("Kv-Hold")
        is_reserved = self.holds.get(hold, 0) >= now()
        if not run.continues and not is_reserved and not self.has_place():
            return False
        self.holds.pop(hold, None)
        if handle is not None:
            del self.ledger.handles[source]
            self.ledger.used_prefills += not run.continues
            if run.continues and handle.request_id != request_id:
                self.mismatched_sources.append(request_id)
        request.run = run
        (self.resumed if run.continues else self.executed).append(request_id)
        self.ledger.runs.setdefault(request_id, []).append(run)
        return True

    def _holds_copy(self, source: str, handle: Handle) -> bool:
        """Whether a run can go on here, or a prompt be fetched."""
        if handle.request_id is None:
            return True
        if self.address != handle.copy_at:
            return source.startswith(f"{self.address}/")
        handle.refusals -= 1
        return handle.refusals < 0

    async def _move(self, call: dict, reader) -> tuple[int, dict]:
        """Stop a run and copy its KV; calls without ``last`` are unknown."""
        request_id = call["id"]
        if request_id in self._moving:
            return 409, {}
        is_known = self.supports_moves and call.get("last")
        if not is_known or request_id not in self.running:
            return 404, {}
        runs = self.ledger.runs[request_id]
        run = next(run for run in reversed(runs) if run.engine is self)
        is_heard = not reader.at_eof() and reader.exception() is None
        run.end = "stopped" if is_heard else "stopped unheard"
        self.running[request_id].cancel()
        self.ledger.moves += 1
        name = f"moved-{self.ledger.moves}"
        target = self.ledger.engines.get(call["target"])
        fault = self.move_fault(request_id)
        has_room = target not in (None, self) and target.has_place()
        handle = Handle(
            request_id, math.inf, call["target"] if has_room else None
        )
        self.ledger.handles[f"{self.address}/{name}"] = handle
        self._moving.add(request_id)
        await asyncio.sleep(self.copy_s(request_id))
        self._moving.discard(request_id)
        handle.expires_s = now() + RUN_RETENTION_S
        if not has_room or fault == "no_room":
            handle.copy_at = None
            return 503, {"kv_handle": name}
        if fault == "refused":
            handle.refusals = 1
        if fault == "late" and target.server.is_serving():
            target._late = asyncio.create_task(target._accept_late(0.3))
        return 200, {"kv_handle": name, "created": 0}

    async def _mode_answer(self, request, writer):
        run = request.run
        if run is None:
            return await super()._mode_answer(request, writer)
        try:
            await super()._mode_answer(request, writer)
            end = "done"
        except (asyncio.CancelledError, ConnectionError):
            end = "closed"
        if run.end == "running":
            run.end = end
