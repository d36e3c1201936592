"""Fake of a model engine with prefill, decode, KV handles and prefix cache.

Run with ``python -m tests.standins.engine --address HOST:PORT``; ``--options``
is a JSON object of the fields of ``Options``.
"""

from __future__ import annotations

import asyncio
import itertools
from collections import OrderedDict
from dataclasses import dataclass

from aiohttp import web

from tests.standins.phases import Attempt, DecodeSide, PrefillSide
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
    """Time after which an unused prefill handle expires."""
    cache_tokens: int = 100_000
    load_lag_ms: int = 200
    """Age that a load report may have before it is renewed."""
    event_lag_ms: int = 200
    """Delay until a cache event is visible."""
    event_gap: int = 7
    """Cache events whose number is a multiple of this are lost."""
    checks_fencing: bool = True
    crash_marker: str = "CRASH-PREFILL"
    """Text in a prompt that makes the engine crash in prefill."""
    decode_crash_marker: str = "CRASH-DECODE"
    restart_ms: int = 300
    role: str = ""
    model: str = ""


class Engine(PrefillSide, DecodeSide):
    def __init__(self, **options):
        super().__init__()
        self.options = Options(**options)
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.handles: dict[str, Attempt] = {}
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
        self.link_open = asyncio.Event()
        self.link_open.set()
        await super().start(address)
        self.spawn(self.run_prefills())

    @property
    def slots_used(self) -> int:
        return sum(attempt.slot for attempt in self.attempts.values())

    @property
    def pieces_used(self) -> int:
        return sum(attempt.pieces for attempt in self.attempts.values())

    def now_s(self) -> float:
        return asyncio.get_running_loop().time()

    def admit(
        self, body, state: str, tokens: int, slot: bool
    ) -> Attempt | None:
        """Reserve memory and a slot; ``None`` if there is too little.

        An agent with a correct ledger is never refused, so each refusal
        counts as oversold.
        """
        pieces = -(-tokens // self.options.piece_tokens)
        if (
            self.pieces_used + pieces > self.options.pieces
            or self.slots_used + slot > self.options.slots
        ):
            self.oversold += 1
            return None
        key = (body["request"], body["attempt"])
        attempt = Attempt(key, state, pieces, slot)
        self.attempts[key] = attempt
        return attempt

    def free(self, attempt: Attempt):
        attempt.freed, attempt.slot = True, False
        if self.attempts.get(attempt.key) is attempt:
            del self.attempts[attempt.key]
        self.handles.pop(attempt.handle, None)
        if attempt.task is not None:
            attempt.task.cancel()
        attempt.notify()

    async def cancel(self, request):
        body = await request.json()
        attempt = self.attempts.get((body["request"], body["attempt"]))
        if attempt is not None:
            self.free(attempt)
        return web.json_response({"cancelled": attempt is not None})

    async def requests(self, request):
        return web.json_response(
            [
                {
                    "request": attempt.key[0],
                    "attempt": attempt.key[1],
                    "state": attempt.state,
                    "pieces": attempt.pieces,
                }
                for attempt in self.attempts.values()
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
        self.orders.append(body | {"running": len(self.attempts)})
        self.options.role = body.get("role") or self.options.role
        return web.json_response({})

    async def crash(self):
        """Lose requests, cache and connections; restart after a delay."""
        self.crashes += 1
        await asyncio.sleep(0)
        for attempt in list(self.attempts.values()):
            self.free(attempt)
        self.queue.clear()
        self.cache.clear()
        await self.restart(self.options.restart_ms)

    def switch(self, name: str, value):
        match name:
            case "crash":
                self.spawn(self.crash())
            case "cut":
                self.abort_connections()
            case "lose":
                for attempt in list(self.handles.values()):
                    self.free(attempt)
            case "stall":
                (self.link_open.clear if value else self.link_open.set)()
            case "slow" | "leaving":
                setattr(self, name, value)
            case _:
                raise web.HTTPNotFound


if __name__ == "__main__":
    run_from_command_line(Engine)
