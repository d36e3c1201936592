"""Clients of the roll of gateways.

They keep their connections and use them until they are closed.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Awaitable

from tests.gateway_kit import HOST
from tests.scenarios.processes import Process
from tests.scenarios.roll_engine import TOKENS_PER_EVENT

CONNECT_TIMEOUT_S = 1.0
STAYING_SHARE = 0.3
"""Share of the clients that do not leave a gateway out of rotation."""
DEADLINES_MS = {"once": 1_500, "safe": 1_500, "text": 14_000, "again": 14_000}
STREAMS = ("text", "again")
PATIENCE_S = 3.6
"""Time without an event after which clients abandon a stream."""


class Abandoned(Exception):
    """The client of a stream waited too long for its next event."""


async def patiently(sent: Sent, read: Awaitable[bytes]) -> bytes:
    """Read from a gateway as long as the client of the request waits."""
    if sent.route not in STREAMS:
        return await read
    try:
        async with asyncio.timeout(PATIENCE_S):
            return await read
    except TimeoutError as exc:
        raise Abandoned from exc


class Sent:
    """One request of a client, and how it ended."""

    def __init__(self, request_id: str, route: str, gateway: Gateway):
        self.id, self.route, self.gateway = request_id, route, gateway
        self.sent_s = self.ended_s = 0.0
        self.status: int | None = None
        self.events = 0
        """Number of events of its stream, if it is one."""
        self.body = bytearray()
        """What came of a stream."""
        self.complete = False
        self.was_abandoned = False
        self.was_reset = False
        self.is_kept = False
        """Whether its connection had been used before."""


class Pause:
    """Time in which a gateway did not run."""

    def __init__(self, started_s: float):
        self.started_s, self.ended_s = started_s, math.inf


class Gateway:
    """A gateway process and what the balancer knows of it."""

    def __init__(self, process: Process, stop_share: float):
        self.process = process
        self.stop_share = stop_share
        """Share of each slice in which the process does not run."""
        self.in_rotation = False
        self.misses = 0
        self.terms_s: list[float] = []
        """Times of SIGTERM."""
        self.busy = False
        """Whether it is being stopped and started."""
        self.pauses: list[Pause] = []

    @property
    def is_paused(self) -> bool:
        return any(math.isinf(pause.ended_s) for pause in self.pauses)

    @property
    def address(self) -> tuple[str, int]:
        host, _, port = self.process.settings["listen"]["frontend"].rpartition(
            ":"
        )
        return host, int(port)


class RollClients:
    """Clients of some gateways, and all that they sent."""

    def __init__(
        self,
        gateways: list[Gateway],
        rng: random.Random,
        again_weight: float = 0.0,
    ):
        self._gateways = gateways
        self._rng = rng
        self._weights = (6, 2, 2, again_weight)
        """Weights of the routes."""
        self.sent: list[Sent] = []

    async def run(self, number: int):
        """Send requests on kept connections, until cancelled."""
        rng = random.Random(f"{number} {self._rng.random()}")
        stays = rng.random() < STAYING_SHARE
        home = rng.choice(self._gateways)
        while True:
            choices = [g for g in self._gateways if g.in_rotation]
            gateway = home if stays or not choices else rng.choice(choices)
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    streams = await asyncio.open_connection(*gateway.address)
            except (OSError, TimeoutError):
                await asyncio.sleep(0.1)
                continue
            try:
                await self._use(rng, gateway, *streams)
            finally:
                streams[1].close()

    async def _use(self, rng, gateway: Gateway, reader, writer):
        """Send on one connection until it is closed."""
        is_kept = False
        while True:
            route = rng.choices(tuple(DEADLINES_MS), self._weights)[0]
            sent = Sent(f"r{len(self.sent)}", route, gateway)
            sent.is_kept = is_kept
            self.sent.append(sent)
            try:
                await self._send(rng, sent, writer)
                closes = await self._receive(sent, reader)
            except Abandoned:
                sent.was_abandoned = closes = True
            except (asyncio.IncompleteReadError, TimeoutError):
                closes = True
            except ConnectionError:
                sent.was_reset = closes = True
            except asyncio.CancelledError:
                sent.complete = True
                raise
            sent.ended_s = asyncio.get_running_loop().time()
            if closes or not sent.complete:
                return
            is_kept = True
            await asyncio.sleep(rng.expovariate(1 / 0.3))

    async def _send(self, rng, sent: Sent, writer):
        events = min(130, max(10, round(rng.gauss(70, 25))))
        lines = [
            f"POST /{sent.route}/{events}-{sent.id} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Gooseberrypost-Attempt-Id: {sent.id}",
            f"X-Gooseberrypost-Deadline-Ms: {DEADLINES_MS[sent.route]}",
            "Content-Length: 4",
        ]
        if sent.route in STREAMS:
            sent.events = events
            hint = round(events * TOKENS_PER_EVENT * rng.lognormvariate(0, 1))
            lines += [
                f"X-Gooseberrypost-Token-Usage: 5200,{130 * TOKENS_PER_EVENT}",
                f"X-Gooseberrypost-Length-Hint: {hint}",
                "X-Gooseberrypost-Prompt-Prefix: "
                f"ab:200,{len(self.sent)}:5000",
            ]
        head = "\r\n".join([*lines, "", ""]).encode()
        if rng.random() < 0.1:
            # The body comes in a packet of its own.
            writer.write(head)
            await asyncio.sleep(rng.uniform(0, 0.1))
            head = b""
        writer.write(head + b"body")
        sent.sent_s = asyncio.get_running_loop().time()
        await writer.drain()

    async def _receive(self, sent: Sent, reader) -> bool:
        """Read an answer; returns whether the connection closes after it."""
        async with asyncio.timeout(DEADLINES_MS[sent.route] / 1_000):
            head = await patiently(sent, reader.readuntil(b"\r\n\r\n"))
            sent.status = int(head.split(b" ", 2)[1])
            lowered = head.lower()
            if b"transfer-encoding: chunked" in lowered:
                while size := int(
                    await patiently(sent, reader.readuntil(b"\r\n")), 16
                ):
                    sent.body += (await reader.readexactly(size + 2))[:-2]
                await reader.readexactly(2)
            else:
                length = lowered.split(b"content-length: ")[1].split(b"\r")[0]
                await reader.readexactly(int(length))
            sent.complete = True
            return b"connection: close" in lowered
