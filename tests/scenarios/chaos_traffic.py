"""Request load of a chaos run: random requests and resends."""

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
RESEND_PROBABILITY = 0.3
MAX_RESEND_DELAY_S = 6.0
MINT_TIMEOUT_S = 3.0


@dataclass
class SentRequest:
    """One request as it was sent; times in seconds since the start."""

    key: str
    """Idempotency key that the caller sent; empty if it sent none."""
    entry: str
    exchange: Exchange
    idempotent: bool
    deadline_s: float
    started_s: float
    body: str = ""
    ended_s: float | None = None
    disconnected: bool = False
    poison: bool = False

    @property
    def name(self) -> str:
        """Key under which the request ran: its own, or one the entry gave."""
        return self.key or getattr(self.exchange, "key", "")

    def __str__(self) -> str:
        exchange = self.exchange
        ended = "-" if self.ended_s is None else f"{self.ended_s:.3f}"
        return (
            f"sent={self.started_s:.3f} ended={ended} via={self.entry} "
            f"kind={type(exchange).__name__} idempotent={self.idempotent} "
            f"status={exchange.status} outcome={exchange.outcome} "
            f"code={exchange.code} left={self.disconnected} "
            f"deadline_s={self.deadline_s} bytes={len(exchange.body)}"
        )


class Traffic:
    """Generates random requests and records their results."""

    def __init__(self, chaos: Chaos, rng: random.Random):
        self.chaos, self.rng = chaos, rng
        self.sent_requests: list[SentRequest] = []
        self._numbers = 0

    async def run(self, seconds: float):
        while self.chaos.now_s < seconds:
            self.chaos.spawn(self._request(self._draw()))
            await asyncio.sleep(self.rng.expovariate(REQUESTS_PER_S))

    def _draw(self) -> dict:
        """Draw every choice of a request at once.

        Later choices would depend on the timing of the run, so that the same
        seed would draw other requests.
        """
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
                rng.uniform(0.0, MAX_RESEND_DELAY_S)
                for _ in range(2)
                if rng.random() < RESEND_PROBABILITY
            ],
        }

    async def _request(self, drawn: dict):
        key = await self._choose_key(drawn)
        if key is None:
            return
        first, *others = self._available_entries(drawn["entries"])
        self._send(drawn, key, first)
        if not key:
            return
        started_s = self.chaos.now_s
        for number, after_s in enumerate(sorted(drawn["resends"])):
            await self.chaos.sleep_until(started_s + after_s)
            entries = self._available_entries([*others, first])
            self._send(drawn, key, entries[number % len(entries)])

    def _available_entries(self, entries: list[str]) -> list[str]:
        """Entries that a load balancer would still pick, in drawn order."""
        available = [e for e in entries if not self.chaos.is_down(e)]
        return available or entries

    async def _choose_key(self, drawn: dict) -> str | None:
        """Idempotency key to send; ``None`` if an entry could not mint one."""
        if drawn["key"] == "own":
            return f"own-{self.chaos.seed}-{drawn['number']}"
        if drawn["key"] == "none":
            return ""
        entry = self._available_entries(drawn["entries"])[0]
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

    def _send(self, drawn: dict, key: str, entry: str) -> SentRequest:
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
        sent = SentRequest(
            key=key,
            entry=entry,
            exchange=exchange,
            idempotent=form != "reserve",
            deadline_s=drawn["deadline_s"],
            started_s=self.chaos.now_s,
            body=body,
            poison="prefix" in drawn,
        )
        self.sent_requests.append(sent)
        exchange.start()
        exchange.task.add_done_callback(lambda _: self._ended(sent))
        return sent

    def _ended(self, sent: SentRequest):
        sent.ended_s = self.chaos.now_s

    async def disconnect_one(self, size: float):
        """Disconnect one of the callers that await an answer.

        ``size`` in 0 to 1 selects it.
        """
        waiting = [s for s in self.sent_requests if s.ended_s is None]
        if waiting:
            chosen = waiting[int(size * len(waiting))]
            chosen.disconnected = True
            await chosen.exchange.disconnect()

    def send_poison(self, size: float):
        """Send a prompt that crashes every engine that executes it.

        The crash happens in decode if ``size`` is below 0.5, else in prefill.
        """
        drawn = self._draw()
        drawn["form"] = "stream"
        drawn["prefix"] = "CRASH-DECODE" if size < 0.5 else "CRASH-PREFILL"
        key = f"poison-{self.chaos.seed}-{drawn['number']}"
        self._send(drawn, key, self._available_entries(drawn["entries"])[0])
