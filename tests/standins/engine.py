"""Stand-in for a model engine.

Run with ``python -m tests.standins.engine --address HOST:PORT``; ``--options``
is a JSON object of the fields of ``Options``.
"""

from __future__ import annotations

import asyncio
import itertools
from collections import OrderedDict
from dataclasses import dataclass

from aiohttp import web

from tests.standins.phases import DecodeSide, PrefillSide, Work
from tests.standins.server import refuse, run_from_command_line


@dataclass
class Options:
    slots: int = 20
    pieces: int = 200
    piece_tokens: int = 2_000
    prefill_tokens_per_s: float = 200_000.0
    token_ms: float = 2.0
    link_kb_per_s: float = 0.0
    kb_per_token: float = 1.0
    lives_ms: int = 800
    cache_tokens: int = 100_000
    load_lag_ms: int = 200
    event_lag_ms: int = 200
    event_gap: int = 7
    """Every so manieth event is lost."""
    checks_fencing: bool = True
    crash_marker: str = "CRASH-PREFILL"
    decode_crash_marker: str = "CRASH-DECODE"
    restart_ms: int = 300
    role: str = ""
    model: str = ""


class Engine(PrefillSide, DecodeSide):
    def __init__(self, **options):
        super().__init__()
        self.options = Options(**options)
        self.works: dict[tuple[str, int], Work] = {}
        self.handles: dict[str, Work] = {}
        self.queue: list = []
        self.numbers = itertools.count(1)
        self.cache: OrderedDict[int, None] = OrderedDict()
        self.events: list[tuple[float, dict]] = []
        self.orders: list[dict] = []
        self.fencing = 0
        self.slow, self.leaving = 1.0, False
        self.crashes = self.oversold = self.prefilled_tokens = 0
        self.snapshot: dict | None = None
        self.snapshot_s = 0.0
        routes = self.app.router
        routes.add_post("/prefill", self.prefill)
        routes.add_post("/decode", self.decode)
        routes.add_post("/resume", self.resume)
        routes.add_post("/cancel", self.cancel)
        routes.add_post("/release", self.release)
        routes.add_get("/export/{handle}", self.export)
        routes.add_get("/requests", self.requests)
        routes.add_get("/load", self.load)
        routes.add_get("/events", self.list_events)
        routes.add_post("/orders", self.order)

    async def start(self, address: str = "127.0.0.1:0"):
        self.wakeup = asyncio.Event()
        self.link = asyncio.Lock()
        self.flowing = asyncio.Event()
        self.flowing.set()
        await super().start(address)
        self.spawn(self.prefill_forever())

    @property
    def slots_used(self) -> int:
        return sum(work.slot for work in self.works.values())

    @property
    def pieces_used(self) -> int:
        return sum(work.pieces for work in self.works.values())

    def now_s(self) -> float:
        return asyncio.get_running_loop().time()

    def admit(self, body, state: str, tokens: int, slot: bool) -> Work | None:
        """Take memory; an agent that keeps count is never refused."""
        pieces = -(-tokens // self.options.piece_tokens)
        if (
            self.pieces_used + pieces > self.options.pieces
            or self.slots_used + slot > self.options.slots
        ):
            self.oversold += 1
            return None
        key = (body["request"], body["attempt"])
        work = Work(key, state, pieces, slot)
        self.works[key] = work
        return work

    def free(self, work: Work):
        work.gone, work.slot = True, False
        if self.works.get(work.key) is work:
            del self.works[work.key]
        self.handles.pop(work.handle, None)
        if work.task is not None:
            work.task.cancel()
        work.wake()

    async def cancel(self, request):
        body = await request.json()
        work = self.works.get((body["request"], body["attempt"]))
        if work is not None:
            self.free(work)
        return web.json_response({"cancelled": work is not None})

    async def requests(self, request):
        return web.json_response(
            [
                {
                    "request": work.key[0],
                    "attempt": work.key[1],
                    "state": work.state,
                    "pieces": work.pieces,
                }
                for work in self.works.values()
            ]
        )

    async def load(self, request):
        now_s = self.now_s()
        age_ms = (now_s - self.snapshot_s) * 1_000
        if self.snapshot is None or age_ms >= self.options.load_lag_ms:
            self.snapshot_s, age_ms = now_s, 0
            self.snapshot = {
                "slots": self.options.slots,
                "slots_used": self.slots_used,
                "pieces": self.options.pieces,
                "pieces_used": self.pieces_used,
                "queue": len(self.queue),
                "leaving": self.leaving,
                "role": self.options.role,
                "model": self.options.model,
            }
        return web.json_response(self.snapshot | {"age_ms": int(age_ms)})

    async def list_events(self, request):
        after = int(request.query.get("after", "0"))
        seen_s = self.now_s() - self.options.event_lag_ms / 1_000
        return web.json_response(
            [
                event
                for at_s, event in self.events[after:]
                if at_s <= seen_s and event["n"] % self.options.event_gap
            ]
        )

    async def order(self, request):
        body = await request.json()
        if self.options.checks_fencing and body["fencing"] < self.fencing:
            return refuse(409, "stale_order")
        self.fencing = max(self.fencing, body["fencing"])
        self.orders.append(body | {"running": len(self.works)})
        self.options.role = body.get("role") or self.options.role
        return web.json_response({})

    async def crash(self):
        """Lose all state and connections, then come back."""
        self.crashes += 1
        await asyncio.sleep(0)
        for work in list(self.works.values()):
            self.free(work)
        self.queue.clear()
        self.cache.clear()
        await self.restart(self.options.restart_ms)

    def switch(self, name: str, value):
        match name:
            case "crash":
                self.spawn(self.crash())
            case "cut":
                self.cut()
            case "lose":
                for work in list(self.handles.values()):
                    self.free(work)
            case "stall":
                (self.flowing.clear if value else self.flowing.set)()
            case "slow" | "leaving":
                setattr(self, name, value)
            case _:
                raise web.HTTPNotFound


if __name__ == "__main__":
    run_from_command_line(Engine)
