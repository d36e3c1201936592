"""Prefill and decode side of the engine stand-in."""

from __future__ import annotations

import asyncio
import heapq
import json
from contextlib import suppress
from dataclasses import dataclass, field

import aiohttp
from aiohttp import web

from gooseberrypost.state.prefix import BLOCK_TOKENS, prefix_hashes
from tests.standins.generation import next_token, state_of
from tests.standins.server import StandIn, refuse


@dataclass
class Work:
    """A request that holds memory."""

    key: tuple[str, int]
    state: str
    pieces: int
    slot: bool = False
    prompt: str = ""
    model_state: bytes = b""
    texts: list[str] = field(default_factory=list)
    first: int = 0
    finished: bool = False
    gone: bool = False
    delivered: bool = False
    handle: str = ""
    task: asyncio.Task | None = None
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()


class PrefillSide(StandIn):
    async def prefill(self, request):
        body = await request.json()
        work = self.admit(body, "queued", len(body["prompt"].split()), False)
        if work is None:
            return refuse(503, "no_capacity")
        work.prompt = body["prompt"]
        heapq.heappush(
            self.queue, (body.get("priority") or 0, next(self.numbers), work)
        )
        self.wakeup.set()
        while not work.finished:
            if work.gone:
                return refuse(409, "caller_gone")
            await work.changed.wait()
        tokens = len(work.prompt.split())
        return web.json_response(
            {
                "handle": work.handle,
                "tokens": tokens,
                "cached_tokens": work.first,
                "lives_ms": self.options.lives_ms,
            }
        )

    async def prefill_forever(self):
        while True:
            await self.wakeup.wait()
            self.wakeup.clear()
            while self.queue:
                work = heapq.heappop(self.queue)[2]
                if not work.gone:
                    await self.compute(work)

    async def compute(self, work: Work):
        if self.options.crash_marker in work.prompt:
            self.spawn(self.crash())
            return
        work.state = "prefilling"
        hashes = prefix_hashes(work.prompt)
        cached = 0
        for value in hashes:
            if value not in self.cache:
                break
            self.cache.move_to_end(value)
            cached += BLOCK_TOKENS
        left = float(len(work.prompt.split()) - cached)
        while left > 0 and not work.gone:
            rate = self.options.prefill_tokens_per_s / self.slow
            step = min(left, rate * 0.01)
            await asyncio.sleep(step / rate)
            self.prefilled_tokens += step
            left -= step
        if work.gone:
            return
        self.remember(hashes)
        work.model_state = state_of(work.prompt)
        work.first, work.finished, work.state = cached, True, "prefilled"
        work.handle = f"h{next(self.numbers)}"
        self.handles[work.handle] = work
        self.spawn(self.lapse(work))
        work.wake()

    async def lapse(self, work: Work):
        await asyncio.sleep(self.options.lives_ms / 1_000)
        self.free(work)

    def remember(self, hashes: list[int]):
        for value in hashes:
            if value not in self.cache:
                self.cache[value] = None
                self.note("stored", value)
        while len(self.cache) * BLOCK_TOKENS > self.options.cache_tokens:
            value, _ = self.cache.popitem(last=False)
            self.note("removed", value)

    def note(self, kind: str, value: int):
        number = len(self.events) + 1
        event = {"n": number, "kind": kind, "hash": value}
        self.events.append((self.now_s(), event))

    async def export(self, request):
        work = self.handles.get(request.match_info["handle"])
        if work is None:
            return refuse(410, "handle_expired")
        return web.json_response(
            {"prompt": work.prompt, "state": work.model_state.hex()}
        )

    async def release(self, request):
        work = self.handles.get((await request.json())["handle"])
        if work is not None:
            self.free(work)
        return web.json_response({"released": work is not None})


class DecodeSide(StandIn):
    async def decode(self, request):
        body = await request.json()
        # The slot is held from the start of the transfer on.
        work = self.admit(body, "transferring", body["max_tokens"], True)
        if work is None:
            return refuse(503, "no_capacity")
        work.task = self.spawn(self.transfer(work, body))
        await asyncio.wait([work.task])
        if work.gone or work.task.cancelled():
            return refuse(409, "caller_gone")
        code = work.task.result()
        if code:
            work.task = None
            self.free(work)
            return refuse(410, code)
        if self.options.decode_crash_marker in work.prompt:
            self.spawn(self.crash())
            await work.changed.wait()
            return refuse(503, "engine_crashed")
        work.first = body["first_sequence"]
        work.task = self.spawn(self.generate(work, body["max_tokens"]))
        return await self.stream(request, work, work.first)

    async def transfer(self, work: Work, body) -> str:
        """Pull a prefill result; returns the code of a failure."""
        base = f"http://{body['source']}"
        try:
            async with aiohttp.ClientSession() as session:
                path = f"{base}/export/{body['handle']}"
                async with session.get(path) as reply:
                    if reply.status != 200:
                        return "handle_expired"
                    found = await reply.json()
                await self.carry(found["prompt"])
                handle = {"handle": body["handle"]}
                async with session.post(
                    f"{base}/release", json=handle
                ) as reply:
                    if not (await reply.json())["released"]:
                        return "handle_expired"
        except aiohttp.ClientError:
            return "handle_expired"
        work.prompt = found["prompt"]
        work.model_state = bytes.fromhex(found["state"])
        tokens = len(work.prompt.split()) + body["max_tokens"]
        work.pieces = -(-tokens // self.options.piece_tokens)
        self.oversold += self.pieces_used > self.options.pieces
        return ""

    async def carry(self, prompt: str):
        kb = len(prompt.split()) * self.options.kb_per_token
        async with self.link:
            await self.flowing.wait()
            if self.options.link_kb_per_s:
                await asyncio.sleep(kb / self.options.link_kb_per_s)

    async def generate(self, work: Work, max_tokens: int):
        work.state = "decoding"
        while work.first + len(work.texts) < max_tokens:
            await asyncio.sleep(self.options.token_ms * self.slow / 1_000)
            work.model_state, text = next_token(work.model_state)
            work.texts.append(text)
            work.wake()
        work.finished = True
        work.wake()

    async def stream(self, request, work: Work, sequence: int):
        """Send lines; memory stays held until the last one is sent."""
        response = web.StreamResponse()
        response.content_type = "application/x-ndjson"
        await response.prepare(request)
        with suppress(ConnectionError):
            await self.send_lines(response, work, sequence)
        if work.gone and not work.delivered and request.transport is not None:
            request.transport.abort()
        return response

    async def send_lines(self, response, work: Work, sequence: int):
        while not work.gone:
            changed = work.changed
            if sequence < work.first + len(work.texts):
                text = work.texts[sequence - work.first]
                await write(response, {"seq": sequence, "text": text})
                sequence += 1
            elif work.finished:
                await write(response, {"end": True, "tokens": sequence})
                work.task, work.delivered = None, True
                self.free(work)
            else:
                await changed.wait()

    async def resume(self, request):
        body = await request.json()
        work = self.works.get((body["request"], body["attempt"]))
        if work is None or body["next_sequence"] < work.first:
            return refuse(404, "unknown_request")
        return await self.stream(request, work, body["next_sequence"])


async def write(response: web.StreamResponse, line: dict):
    await response.write(json.dumps(line).encode() + b"\n")
