"""Time and CPU that entry and agents add to a streamed request.

``python -m scripts.path_latency [--quick]`` sends the same requests to the
stand-in engines directly and through the real processes, in turns within one
run, and compares the time to the first token and between later tokens.
"""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING, Any, Final

import aiohttp
import click
from hdrh.histogram import HdrHistogram
from scripts.capacity.deployment import Deployment

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

MODEL: Final = "rig-7b"
ROLES: Final = ("entry-0", "prefill-0", "decode-1")
QUANTILES: Final = (50, 95, 99)
MAX_US: Final = 60_000_000
DIGITS: Final = 3
PROMPT: Final = " ".join(f"w{n}" for n in range(200))
TOKENS: Final = 40
SETTLE_S: Final = 3.0


class Times:
    """First-token time and gaps of one way, in microseconds."""

    def __init__(self) -> None:
        self.first = HdrHistogram(1, MAX_US, DIGITS)
        self.gap = HdrHistogram(1, MAX_US, DIGITS)

    async def read(self, lines: AsyncIterator[bytes]) -> None:
        """Record when each token of a stream comes."""
        last, tokens = time.perf_counter(), 0
        async for _ in lines:
            now = time.perf_counter()
            histogram = self.gap if tokens else self.first
            histogram.record_value(max(1, int((now - last) * 1e6)))
            last, tokens = now, tokens + 1
        assert tokens == TOKENS, tokens


class Caller:
    """Sends one request by either way."""

    def __init__(self, cluster: Deployment, http: Any) -> None:
        self._http = http
        self._prefill = cluster.servers["prefill-0"].address
        self._decode = cluster.servers["decode-1"].address
        self._entry = cluster.http_address("entry-0")
        self._number = 0

    async def direct(self) -> AsyncIterator[bytes]:
        """Prefill and decode at the engines."""
        self._number += 1
        named = {"request": f"direct-{self._number}", "attempt": 1}
        body = {"model": MODEL, "prompt": PROMPT, "priority": 5}
        url = f"http://{self._prefill}/prefill"
        async with self._http.post(url, json=named | body) as reply:
            handle = (await reply.json())["handle"]
        body = {
            "handle": handle,
            "source": self._prefill,
            "max_tokens": TOKENS,
            "first_sequence": 0,
            "priority": 5,
        }
        url = f"http://{self._decode}/decode"
        async with self._http.post(url, json=named | body) as reply:
            async for line in reply.content:
                if "end" not in json.loads(line):
                    yield line

    async def routed(self) -> AsyncIterator[bytes]:
        """Send a streamed completion to the entry."""
        body = {
            "model": MODEL,
            "prompt": PROMPT,
            "max_tokens": TOKENS,
            "stream": True,
        }
        url = f"http://{self._entry}/v1/completions"
        async with self._http.post(url, json=body) as reply:
            assert reply.status == 200, await reply.text()
            async for line in reply.content:
                if line.startswith(b"data: {") and _has_text(line):
                    yield line


def _has_text(line: bytes) -> bool:
    document = json.loads(line.removeprefix(b"data: "))
    assert "error" not in document, document
    return any(c.get("text") for c in document.get("choices", []))


async def _rounds(
    caller: Caller, count: int, concurrency: int
) -> dict[str, Times]:
    """Take turns between both ways, so that other work hits both."""
    times = {"direct": Times(), "routed": Times()}
    for _ in range(count):
        for way, found in times.items():
            send = getattr(caller, way)
            await asyncio.gather(
                *(found.read(send()) for _ in range(concurrency))
            )
    return times


def _print(times: dict[str, Times], concurrency: int) -> None:
    for kind in ("first", "gap"):
        direct, routed = (
            getattr(times[way], kind) for way in ("direct", "routed")
        )
        for q in QUANTILES:
            base = direct.get_value_at_percentile(q) / 1_000
            through = routed.get_value_at_percentile(q) / 1_000
            print(
                f"{kind:5} at once={concurrency:2} p{q} "
                f"direct={base:.2f} routed={through:.2f} "
                f"added={through - base:.2f} ms ratio={through / base:.2f}",
                flush=True,
            )


async def _capacity(
    cluster: Deployment, caller: Caller, count: int, concurrency: int
) -> None:
    """Print what the busiest process carries, and CPU at each role."""
    before = {role: cluster.usage(role).cpu_s for role in ROLES}
    began, times = time.perf_counter(), Times()
    for _ in range(count):
        await asyncio.gather(
            *(times.read(caller.routed()) for _ in range(concurrency))
        )
    wall_s = time.perf_counter() - began
    tokens = count * concurrency * TOKENS
    print(
        f"rate: {tokens / wall_s:.0f} tokens/s and "
        f"{tokens / TOKENS / wall_s:.1f} requests/s at once={concurrency}"
    )
    for role in ROLES:
        used_s = cluster.usage(role).cpu_s - before[role]
        print(
            f"{role}: {used_s / wall_s * 100:.0f}% of a core, "
            f"{used_s / tokens * 1e6:.0f} us CPU a token, requests included;"
            f" one core would carry {tokens / used_s:.0f} tokens/s"
        )


async def measure(quick: bool) -> None:
    """Print latency added and rates carried."""
    engine = {"token_ms": 5.0, "slots": 200, "pieces": 4_000}
    rounds = 4 if quick else 30
    async with (
        Deployment.started(engine=engine) as cluster,
        aiohttp.ClientSession() as http,
    ):
        await asyncio.sleep(SETTLE_S)
        caller = Caller(cluster, http)
        await _rounds(caller, 2, 1)
        for concurrency in (1, 4):
            times = await _rounds(caller, rounds, concurrency)
            _print(times, concurrency)
        await _capacity(cluster, caller, rounds // 2, 16)


@click.command()
@click.option("--quick", is_flag=True, help="Fewer requests.")
def main(quick: bool) -> None:
    """Compare the routed path with direct calls."""
    asyncio.run(measure(quick))


if __name__ == "__main__":
    main()
