"""Latency and CPU time that entry and agents add to a streamed request.

``python -m scripts.path_latency [--quick]`` sends the same requests directly
to the stand-in engines and through the entry and agent processes. It
alternates between both paths within one run and compares the time to first
token and the time between tokens.
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
PROCESSES: Final = ("entry-0", "prefill-0", "decode-1")
PERCENTILES: Final = (50, 95, 99)
MAX_LATENCY_US: Final = 60_000_000
SIGNIFICANT_DIGITS: Final = 3
PROMPT: Final = " ".join(f"w{n}" for n in range(200))
OUTPUT_TOKENS: Final = 40
WARM_UP_S: Final = 3.0
"""Time from readiness of the processes to the first request."""


class LatencyHistograms:
    """Time to first token and time between tokens on one path, in µs."""

    def __init__(self) -> None:
        self.first = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self.gap = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)

    async def record_stream(self, lines: AsyncIterator[bytes]) -> None:
        """Record the latency of each token of a stream, one token a line."""
        last_s, tokens = time.perf_counter(), 0
        async for _ in lines:
            now_s = time.perf_counter()
            histogram = self.gap if tokens else self.first
            histogram.record_value(max(1, int((now_s - last_s) * 1e6)))
            last_s, tokens = now_s, tokens + 1
        assert tokens == OUTPUT_TOKENS, tokens


class Client:
    """Streams completions from the engines or through the entry."""

    def __init__(self, cluster: Deployment, http: Any) -> None:
        self._http = http
        self._prefill = cluster.servers["prefill-0"].address
        self._decode = cluster.servers["decode-1"].address
        self._entry = cluster.http_address("entry-0")
        self._number = 0

    async def direct(self) -> AsyncIterator[bytes]:
        """Prefill and decode a request at the engines, without the entry."""
        self._number += 1
        attempt_fields = {"request": f"direct-{self._number}", "attempt": 1}
        body = {"model": MODEL, "prompt": PROMPT, "priority": 5}
        url = f"http://{self._prefill}/prefill"
        async with self._http.post(url, json=attempt_fields | body) as reply:
            handle = (await reply.json())["handle"]
        body = {
            "handle": handle,
            "source": self._prefill,
            "max_tokens": OUTPUT_TOKENS,
            "first_sequence": 0,
            "priority": 5,
        }
        url = f"http://{self._decode}/decode"
        async with self._http.post(url, json=attempt_fields | body) as reply:
            async for line in reply.content:
                if "end" not in json.loads(line):
                    yield line

    async def routed(self) -> AsyncIterator[bytes]:
        """Stream a completion through the entry."""
        body = {
            "model": MODEL,
            "prompt": PROMPT,
            "max_tokens": OUTPUT_TOKENS,
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
    return any(choice.get("text") for choice in document.get("choices", []))


async def _sample_both_paths(
    client: Client, rounds: int, concurrency: int
) -> dict[str, LatencyHistograms]:
    """Alternate between both paths.

    Other load on the machine then affects both alike.
    """
    latencies = {"direct": LatencyHistograms(), "routed": LatencyHistograms()}
    for _ in range(rounds):
        for path, histograms in latencies.items():
            send = getattr(client, path)
            await asyncio.gather(
                *(histograms.record_stream(send()) for _ in range(concurrency))
            )
    return latencies


def _print_comparison(
    latencies: dict[str, LatencyHistograms], concurrency: int
) -> None:
    for metric in ("first", "gap"):
        direct, routed = (
            getattr(latencies[path], metric) for path in ("direct", "routed")
        )
        for percentile in PERCENTILES:
            direct_ms = direct.get_value_at_percentile(percentile) / 1_000
            routed_ms = routed.get_value_at_percentile(percentile) / 1_000
            print(
                f"{metric:5} at once={concurrency:2} p{percentile} "
                f"direct={direct_ms:.2f} routed={routed_ms:.2f} "
                f"added={routed_ms - direct_ms:.2f} ms "
                f"ratio={routed_ms / direct_ms:.2f}",
                flush=True,
            )


async def _measure_throughput(
    cluster: Deployment, client: Client, rounds: int, concurrency: int
) -> None:
    """Print the throughput, and the CPU time of each process.

    The tokens/s of a process is the rate at which it would use a full core.
    """
    cpu_before_s = {name: cluster.usage(name).cpu_s for name in PROCESSES}
    start_s, latencies = time.perf_counter(), LatencyHistograms()
    for _ in range(rounds):
        await asyncio.gather(
            *(
                latencies.record_stream(client.routed())
                for _ in range(concurrency)
            )
        )
    elapsed_s = time.perf_counter() - start_s
    tokens = rounds * concurrency * OUTPUT_TOKENS
    print(
        f"rate: {tokens / elapsed_s:.0f} tokens/s and "
        f"{tokens / OUTPUT_TOKENS / elapsed_s:.1f} requests/s "
        f"at once={concurrency}"
    )
    for name in PROCESSES:
        cpu_s = cluster.usage(name).cpu_s - cpu_before_s[name]
        print(
            f"{name}: {cpu_s / elapsed_s * 100:.0f}% of a core, "
            f"{cpu_s / tokens * 1e6:.0f} us CPU a token, requests included;"
            f" one core would carry {tokens / cpu_s:.0f} tokens/s"
        )


async def measure(quick: bool) -> None:
    """Print the added latency and the throughput."""
    engine_options = {"token_ms": 5.0, "slots": 200, "pieces": 4_000}
    rounds = 4 if quick else 30
    async with (
        Deployment.started(engine_options=engine_options) as cluster,
        aiohttp.ClientSession() as http,
    ):
        await asyncio.sleep(WARM_UP_S)
        client = Client(cluster, http)
        await _sample_both_paths(client, 2, 1)
        for concurrency in (1, 4):
            latencies = await _sample_both_paths(client, rounds, concurrency)
            _print_comparison(latencies, concurrency)
        await _measure_throughput(cluster, client, rounds // 2, 16)


@click.command()
@click.option("--quick", is_flag=True, help="Fewer requests.")
def main(quick: bool) -> None:
    """Compare the routed path with direct calls."""
    asyncio.run(measure(quick))


if __name__ == "__main__":
    main()
