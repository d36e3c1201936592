"""Callers of a random run: a steady mix of requests and resends."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp

from tests.scenarios.caller import Call, Completion, Exchange

if TYPE_CHECKING:
    from tests.scenarios.chaos import Chaos

REQUESTS_PER_S = 7.0
RESEND_SHARE = 0.3
LATEST_RESEND_S = 6.0
MINT_TIMEOUT_S = 3.0


@dataclass
class Sending:
    """One request of a caller; times in seconds from the start."""

    key: str
    """Key that the caller sent; empty when it sent none."""
    entry: str
    exchange: Exchange
    idempotent: bool
    deadline_s: float
    started_s: float
    body: str = ""
    ended_s: float | None = None
    left: bool = False
    poison: bool = False

    @property
    def name(self) -> str:
        """Key under which the request ran, as far as it is known."""
        return self.key or getattr(self.exchange, "key", "")

    def __str__(self) -> str:
        exchange = self.exchange
        ended = "-" if self.ended_s is None else f"{self.ended_s:.3f}"
        return (
            f"sent={self.started_s:.3f} ended={ended} via={self.entry} "
            f"kind={type(exchange).__name__} idempotent={self.idempotent} "
            f"status={exchange.status} outcome={exchange.outcome} "
            f"code={exchange.code} left={self.left} "
            f"deadline_s={self.deadline_s} bytes={len(exchange.body)}"
        )


class Traffic:
    """Sends requests until it is stopped; keeps what became of them."""

    def __init__(self, chaos: Chaos, rng: random.Random):
        self.chaos, self.rng = chaos, rng
        self.sendings: list[Sending] = []
        self._numbers = 0

    async def run(self, seconds: float):
        while self.chaos.now_s < seconds:
            self.chaos.spawn(self._request(self._draw()))
            await asyncio.sleep(self.rng.expovariate(REQUESTS_PER_S))

    def _draw(self) -> dict:
        """Draw all that a request does, so that timing changes no draw."""
        self._numbers += 1
        rng = self.rng
        return {
            "number": self._numbers,
            "form": rng.choice(["stream", "stream", "reserve", "check"]),
            "key": rng.choice(["none", "own", "own", "minted"]),
            "words": rng.randint(5, 400),
            "tokens": rng.randint(5, 150),
            "deadline_s": rng.choice([4.0, 8.0, 12.0]),
            "entries": rng.sample(["e1", "e2", "e3"], 3),
            "resends": [
                rng.uniform(0.0, LATEST_RESEND_S)
                for _ in range(2)
                if rng.random() < RESEND_SHARE
            ],
        }

    async def _request(self, drawn: dict):
        key = await self._key(drawn)
        if key is None:
            return
        first, *others = self._up(drawn["entries"])
        self._send(drawn, key, first)
        if not key:
            return
        started_s = self.chaos.now_s
        for number, after_s in enumerate(sorted(drawn["resends"])):
            await self.chaos.until(started_s + after_s)
            entries = self._up([*others, first])
            self._send(drawn, key, entries[number % len(entries)])

    def _up(self, entries: list[str]) -> list[str]:
        """Entries that the balancer would pick, in the order drawn."""
        up = [e for e in entries if not self.chaos.is_down(e)]
        return up or entries

    async def _key(self, drawn: dict) -> str | None:
        """Key to send; ``None`` when none could be minted."""
        if drawn["key"] == "own":
            return f"own-{self.chaos.seed}-{drawn['number']}"
        if drawn["key"] == "none":
            return ""
        entry = self._up(drawn["entries"])[0]
        address = self.chaos.cluster.http_address(entry)
        url = f"http://{address}/v1/idempotency-keys"
        timeout = aiohttp.ClientTimeout(total=MINT_TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.post(url) as reply,
            ):
                return (await reply.json()).get("key")
        except (aiohttp.ClientError, TimeoutError):
            return None

    def _send(self, drawn: dict, key: str, entry: str) -> Sending:
        options = {"deadline": int(drawn["deadline_s"] * 1_000)}
        if key:
            options["key"] = key
        address = self.chaos.cluster.http_address(entry)
        number, form, body = drawn["number"], drawn["form"], ""
        exchange: Exchange
        if form == "stream":
            options["tokens"] = drawn["tokens"]
            words = " ".join(f"w{n}" for n in range(drawn["words"]))
            prompt = f"{drawn.get('prefix', '')} request {number} {words}"
            options["prompt"] = prompt
            exchange = Completion(address, "rig-7b", options)
        else:
            body = options["body"] = f"desk {number}"
            path = f"/services/booking/{form}"
            exchange = Call(address, "POST", path, options)
        sending = Sending(
            key=key,
            entry=entry,
            exchange=exchange,
            idempotent=form != "reserve",
            deadline_s=drawn["deadline_s"],
            started_s=self.chaos.now_s,
            body=body,
            poison="prefix" in drawn,
        )
        self.sendings.append(sending)
        exchange.start()
        exchange.task.add_done_callback(lambda _: self._ended(sending))
        return sending

    def _ended(self, sending: Sending):
        sending.ended_s = self.chaos.now_s

    async def leave(self, size: float):
        """One of the callers that wait now disconnects."""
        waiting = [s for s in self.sendings if s.ended_s is None]
        if waiting:
            chosen = waiting[int(size * len(waiting))]
            chosen.left = True
            await chosen.exchange.leave()

    def send_poison(self, size: float):
        """Send a prompt that crashes each engine that runs it."""
        drawn = self._draw()
        drawn["form"] = "stream"
        drawn["prefix"] = "CRASH-DECODE" if size < 0.5 else "CRASH-PREFILL"
        key = f"poison-{self.chaos.seed}-{drawn['number']}"
        self._send(drawn, key, self._up(drawn["entries"])[0])
