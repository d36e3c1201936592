"""Prefill and decode side of the fake model engine."""

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
from tests.standins.server import FakeServer, refuse


@dataclass
class Attempt:
    """One attempt of a request, which holds memory until it is freed."""

    key: tuple[str, int]
    """Request id and attempt number."""
    state: str
    pieces: int
    slot: bool = False
    prompt: str = ""
    model_state: bytes = b""
    texts: list[str] = field(default_factory=list)
    first: int = 0
    """Cached prompt tokens after prefill; first sequence number in decode."""
    finished: bool = False
    freed: bool = False
    delivered: bool = False
    """Whether the end of the stream was sent."""
    handle: str = ""
    task: asyncio.Task | None = None
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()


class PrefillSide(FakeServer):
    async def prefill(self, request):
        body = await request.json()
        attempt = self.admit(
            body, "queued", len(body["prompt"].split()), False
        )
        if attempt is None:
            return refuse(503, "no_capacity")
        attempt.prompt = body["prompt"]
        heapq.heappush(
            self.queue,
            (body.get("priority") or 0, next(self.numbers), attempt),
        )
        self.wakeup.set()
        while not attempt.finished:
            if attempt.freed:
                return refuse(409, "caller_gone")
            await attempt.changed.wait()
        tokens = len(attempt.prompt.split())
        return web.json_response(
            {
                "handle": attempt.handle,
                "tokens": tokens,
                "cached_tokens": attempt.first,
                "lives_ms": self.options.lives_ms,
            }
        )

    async def run_prefills(self):
        while True:
            await self.wakeup.wait()
            self.wakeup.clear()
            while self.queue:
                attempt = heapq.heappop(self.queue)[2]
                if not attempt.freed:
                    await self.compute(attempt)

    async def compute(self, attempt: Attempt):
        if self.options.crash_marker in attempt.prompt:
            self.spawn(self.crash())
            return
        attempt.state = "prefilling"
        hashes = prefix_hashes(attempt.prompt)
        cached = 0
        for value in hashes:
            if value not in self.cache:
                break
            self.cache.move_to_end(value)
            cached += BLOCK_TOKENS
        left = float(len(attempt.prompt.split()) - cached)
        while left > 0 and not attempt.freed:
            rate = self.options.prefill_tokens_per_s / self.slow
            step = min(left, rate * 0.01)
            await asyncio.sleep(step / rate)
            self.prefilled_tokens += step
            left -= step
        if attempt.freed:
            return
        self.cache_blocks(hashes)
        attempt.model_state = state_of(attempt.prompt)
        attempt.first, attempt.finished, attempt.state = (
            cached,
            True,
            "prefilled",
        )
        attempt.handle = f"h{next(self.numbers)}"
        self.handles[attempt.handle] = attempt
        self.spawn(self.expire(attempt))
        attempt.notify()

    async def expire(self, attempt: Attempt):
        await asyncio.sleep(self.options.lives_ms / 1_000)
        self.free(attempt)

    def cache_blocks(self, hashes: list[int]):
        for value in hashes:
            if value not in self.cache:
                self.cache[value] = None
                self.record_event("stored", value)
        while len(self.cache) * BLOCK_TOKENS > self.options.cache_tokens:
            value, _ = self.cache.popitem(last=False)
            self.record_event("removed", value)

    def record_event(self, kind: str, value: int):
        number = len(self.events) + 1
        event = {"n": number, "kind": kind, "hash": value}
        self.events.append((self.now_s(), event))

    async def export(self, request):
        attempt = self.handles.get(request.match_info["handle"])
        if attempt is None:
            return refuse(410, "handle_expired")
        return web.json_response(
            {"prompt": attempt.prompt, "state": attempt.model_state.hex()}
        )

    async def release(self, request):
        attempt = self.handles.get((await request.json())["handle"])
        if attempt is not None:
            self.free(attempt)
        return web.json_response({"released": attempt is not None})


class DecodeSide(FakeServer):
    async def decode(self, request):
        body = await request.json()
        # A request holds its slot as soon as its transfer starts.
        attempt = self.admit(body, "transferring", body["max_tokens"], True)
        if attempt is None:
            return refuse(503, "no_capacity")
        attempt.task = self.spawn(self.transfer(attempt, body))
        await asyncio.wait([attempt.task])
        if attempt.freed or attempt.task.cancelled():
            return refuse(409, "caller_gone")
        code = attempt.task.result()
        if code:
            attempt.task = None
            self.free(attempt)
            return refuse(410, code)
        if self.options.decode_crash_marker in attempt.prompt:
            self.spawn(self.crash())
            await attempt.changed.wait()
            return refuse(503, "engine_crashed")
        attempt.first = body["first_sequence"]
        attempt.task = self.spawn(self.generate(attempt, body["max_tokens"]))
        return await self.stream(request, attempt, attempt.first)

    async def transfer(self, attempt: Attempt, body) -> str:
        """Fetch a prefill result; returns an error code, empty on success."""
        base = f"http://{body['source']}"
        try:
            async with aiohttp.ClientSession() as session:
                path = f"{base}/export/{body['handle']}"
                async with session.get(path) as reply:
                    if reply.status != 200:
                        return "handle_expired"
                    found = await reply.json()
                await self.occupy_link(found["prompt"])
                handle = {"handle": body["handle"]}
                async with session.post(
                    f"{base}/release", json=handle
                ) as reply:
                    if not (await reply.json())["released"]:
                        return "handle_expired"
        except aiohttp.ClientError:
            return "handle_expired"
        attempt.prompt = found["prompt"]
        attempt.model_state = bytes.fromhex(found["state"])
        tokens = len(attempt.prompt.split()) + body["max_tokens"]
        attempt.pieces = -(-tokens // self.options.piece_tokens)
        self.oversold += self.pieces_used > self.options.pieces
        return ""

    async def occupy_link(self, prompt: str):
        kb = len(prompt.split()) * self.options.kb_per_token
        async with self.link:
            await self.link_open.wait()
            if self.options.link_kb_per_s:
                await asyncio.sleep(kb / self.options.link_kb_per_s)

    async def generate(self, attempt: Attempt, max_tokens: int):
        attempt.state = "decoding"
        while attempt.first + len(attempt.texts) < max_tokens:
            await asyncio.sleep(self.options.token_ms * self.slow / 1_000)
            attempt.model_state, text = next_token(attempt.model_state)
            attempt.texts.append(text)
            attempt.notify()
        attempt.finished = True
        attempt.notify()

    async def stream(self, request, attempt: Attempt, sequence: int):
        """Stream the output; memory is held until the last line is sent."""
        response = web.StreamResponse()
        response.content_type = "application/x-ndjson"
        await response.prepare(request)
        with suppress(ConnectionError):
            await self.send_lines(response, attempt, sequence)
        if (
            attempt.freed
            and not attempt.delivered
            and request.transport is not None
        ):
            request.transport.abort()
        return response

    async def send_lines(self, response, attempt: Attempt, sequence: int):
        while not attempt.freed:
            changed = attempt.changed
            if sequence < attempt.first + len(attempt.texts):
                text = attempt.texts[sequence - attempt.first]
                await write_line(response, {"seq": sequence, "text": text})
                sequence += 1
            elif attempt.finished:
                await write_line(response, {"end": True, "tokens": sequence})
                attempt.task, attempt.delivered = None, True
                self.free(attempt)
            else:
                await changed.wait()

    async def resume(self, request):
        body = await request.json()
        attempt = self.attempts.get((body["request"], body["attempt"]))
        if attempt is None or body["next_sequence"] < attempt.first:
            return refuse(404, "unknown_request")
        return await self.stream(request, attempt, body["next_sequence"])


async def write_line(response: web.StreamResponse, line: dict):
    await response.write(json.dumps(line).encode() + b"\n")
