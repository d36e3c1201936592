"""Stand-in of a model engine with slots, a prefill queue and streams.

It follows our pages where the project's own stand-in is simpler: a run needs a
slot, a reservation holds one for its time, prompts are read one after the
other, and an order to change the stage takes its time.
"""

from __future__ import annotations

import asyncio
import itertools
import json
from collections.abc import Callable

from tests.standins.platform_engine import FakePlatformEngine

TOKENS_PER_EVENT = 59
EVENT_S = 0.0438
"""Time of an event: 59 steps of 0.743 ms."""
TOKENS_PER_MS = 55.5556
STAGE_SWITCH_S = 6.0
LEAVING_HEADER = "Server-Leaving: 1"


class ModelEngine(FakePlatformEngine):
    """Model engine in one stage, with a limited number of slots."""

    def __init__(
        self,
        instance: str,
        stage: str,
        slots: int = 32,
        pieces: Callable[[], int] = lambda: 40,
    ):
        super().__init__(instance, stage)
        self.slots = slots
        self.event_s = EVENT_S
        self.supports_moves = True
        self.pieces = pieces
        """Number of events of the next stream."""
        self.holds: dict[str, asyncio.TimerHandle] = {}
        self.prefilled: list[str] = []
        self.finished: list[str] = []
        """Streams that were sent whole."""
        self.hangs: Callable[[], bool] = lambda: False
        """Whether the next prompt is taken and never answered."""
        self.hung: list[str] = []
        self.changing = False
        self.on_stage: Callable[[], None] = lambda: None
        """Called when the stage has changed."""
        self._ids = itertools.count(1)
        self._reading = asyncio.Lock()

    def registration(self, service: str, **changes) -> dict:
        """Return the entry for the store."""
        changes.setdefault("slots", self.slots)
        return super().registration(service, **changes)

    @property
    def used(self) -> int:
        """Slots that are taken or held."""
        return len(self.running) + len(self.holds)

    def _control(self, request):
        path = request.target
        if path == "/-/hold-take":
            if self.changing or self.used >= self.slots:
                return 503, {}
            hold = f"{self.instance}-h{next(self._ids)}"
            ttl_s = json.loads(request.body)["ttl_ms"] / 1_000
            loop = asyncio.get_running_loop()
            self.holds[hold] = loop.call_later(ttl_s, self._drop, hold)
            return 200, {"hold": hold}
        if path.startswith("/-/hold-drop/"):
            self._drop(path.removeprefix("/-/hold-drop/"))
            return 200, {}
        if path == "/-/report":
            return 200, {
                "stage": self.stage,
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": self.changing,
                "sequence": self.orders,
                "queued": 0,
                "running": len(self.running),
                "kv_used": 0,
                "kv_total": 100_615,
                "kv_handles": 0,
                "born": self.born,
            }
        if path == "/-/order":
            return self._order(json.loads(request.body))
        return super()._control(request)

    def _drop(self, hold: str):
        timer = self.holds.pop(hold, None)
        if timer is not None:
            timer.cancel()

    def _order(self, order: dict):
        if order.get("stage") == self.stage:
            return 200, {}
        if self.changing or order.get("precondition", self.orders) != (
            self.orders
        ):
            return 409, {}
        self.orders += 1
        self.changing = True
        task = asyncio.ensure_future(self._change_stage(order["stage"]))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return 202, {}

    async def _change_stage(self, stage: str):
        if self.running:
            await asyncio.wait(list(self.running.values()))
        await asyncio.sleep(STAGE_SWITCH_S)
        self.stage, self.changing = stage, False
        self.on_stage()

    async def _handle(self, request, reader, writer):
        if request.target.startswith("/-/"):
            return await super()._handle(request, reader, writer)
        if request.header("Expect-Instance") != self.instance:
            return await super()._handle(request, reader, writer)
        if request.header("Inference-Stage") == "prefill":
            return await self._prefill(request, writer)
        hold = request.header("Kv-Hold")
        is_held = hold in self.holds
        if hold:
            self._drop(hold)
        is_full = not is_held and self.used >= self.slots
        if self.stage != "decode" or self.changing or is_full:
            return await self._refuse(request, writer)
        return await super()._handle(request, reader, writer)

    async def _refuse(self, request, writer):
        self.received.append(request)
        status = "503 Service Unavailable"
        if self.stage != "decode" and not self.changing:
            status = "421 Misdirected Request"
        await self._send(writer, status, ["X-Gooseberrypost-Not-Executed: 1"])

    async def _prefill(self, request, writer):
        if self.stage != "prefill" or self.changing:
            return await self._send(
                writer,
                "421 Misdirected Request",
                ["X-Gooseberrypost-Not-Executed: 1"],
            )
        request_id = request.header("Attempt-Id")
        if self.hangs():
            self.hung.append(request_id)
            await asyncio.sleep(3_600)
        tokens = int(request.header("Token-Usage").split(",")[0])
        async with self._reading:
            await asyncio.sleep(tokens / TOKENS_PER_MS / 1_000)
        self.prefilled.append(request_id)
        handle = f"{self.instance}-{next(self._ids)}"
        body = {"kv_handle": handle, "tokens": tokens, "version": 1}
        await self._json(writer, 200, body)

    async def _stream(self, request, writer):
        self.events = self.pieces()
        events = self.events
        head = self._head(
            request,
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        )
        writer.write(head)
        first = int(request.headers.get("last-event-id") or 0)
        for number in range(first + 1, events + 1):
            event = self._event(number)
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.finished.append(request.header("Attempt-Id"))
