"""Cost of requests and output tokens in daemon processes, by role."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING, Any, Final, NamedTuple

from scripts.capacity.deployment import Deployment
from scripts.capacity.fit import print_fit
from tests.scenarios.caller import Completion

if TYPE_CHECKING:
    from collections.abc import Sequence

ROLES: Final = {
    "entry": "entry-0",
    "prefill_agent": "prefill-0",
    "decode_agent": "decode-1",
}
WARM_UP_S: Final = 3.0
"""Time from readiness of the processes to the first request."""
CONCURRENCY: Final = 12
ENGINE_OPTIONS: Final = {"token_ms": 4.0, "slots": 200, "pieces": 4_000}
MODEL: Final = "rig-7b"
STREAM_TOKENS: Final = 800
"""Output tokens of a stream whose memory is measured while it runs."""
STREAM_INTERVAL_S: Final = 0.04
"""Interval between the starts of concurrent streams."""
_key_numbers = itertools.count()


class RequestCost(NamedTuple):
    """Mean cost per request of a number of equal requests."""

    cpu_ms: dict[str, float]
    """CPU time by role."""
    store_calls: float
    internal_bytes: float
    """Bytes between entry and agents, in both directions."""


async def measure(quick: bool) -> None:
    """Print the cost by output tokens, and memory by concurrent streams."""
    count = 24 if quick else 300
    async with Deployment.started(
        engine_options=dict(ENGINE_OPTIONS)
    ) as cluster:
        await asyncio.sleep(WARM_UP_S)
        await send(cluster, CONCURRENCY, {"tokens": 10})
        await _report_by_output_tokens(cluster, count)
        await _report_caller_keys(cluster, count)
        await _report_by_live_streams(cluster, quick)


async def _report_by_output_tokens(cluster: Deployment, count: int) -> None:
    sizes = [10, 40, 160]
    print(
        f"# requests: {count} each, {CONCURRENCY} at once, 200 prompt "
        "tokens, minted keys; sizes are output tokens"
    )
    costs = [await measure_cost(cluster, count, {"tokens": s}) for s in sizes]
    for role in ROLES:
        values = [cost.cpu_ms[role] for cost in costs]
        print_fit(f"request.{role}", "CPU ms a request", sizes, values)
    values = [cost.internal_bytes for cost in costs]
    print_fit("request.internal", "bytes a request", sizes, values)
    calls = " ".join(f"{cost.store_calls:.3f}" for cost in costs)
    print(f"request.store_calls a request with a minted key: {calls}")


async def _report_caller_keys(cluster: Deployment, count: int) -> None:
    """Print the cost of requests whose idempotency keys callers choose.

    The store calls are printed for several levels of concurrency.
    """
    for concurrency in (1, 4, CONCURRENCY):
        cost = await measure_cost(
            cluster, count // 3, {"tokens": 2}, concurrency, True
        )
        print(
            f"request.store_calls a request with a caller-made key, "
            f"{concurrency} at once: {cost.store_calls:.2f}; entry and "
            f"owner CPU ms: {cost.cpu_ms['entry']:.2f}"
        )


async def _report_by_live_streams(cluster: Deployment, quick: bool) -> None:
    """Print the memory of each role by number of running streams.

    Streams that were refused or have ended are not counted.
    """
    print("# memory: sizes are streams that run at once")
    memory_kb: dict[str, list[float]] = {role: [] for role in ROLES}
    sizes = []
    for size in (10, 20, 40) if quick else (20, 40, 80):
        streams = []
        for _ in range(size):
            address = cluster.http_address("entry-0")
            options = {"tokens": STREAM_TOKENS, "words": 20}
            streams.append(Completion(address, MODEL, options))
            streams[-1].start()
            await asyncio.sleep(STREAM_INTERVAL_S)
        sizes.append(sum(s.tokens > 0 and not s.ended for s in streams))
        for role, name in ROLES.items():
            memory_kb[role].append(cluster.usage(name).private_kb)
        await asyncio.gather(*(s.disconnect() for s in streams))
    for role, values in memory_kb.items():
        print_fit(f"live.{role}", "private kB", sizes, values)


async def measure_cost(
    cluster: Deployment,
    count: int,
    options: dict[str, Any],
    concurrency: int = CONCURRENCY,
    caller_keys: bool = False,
) -> RequestCost:
    """Send requests and return their mean cost."""
    cpu_before_s = {n: cluster.usage(n).cpu_s for n in ROLES.values()}
    calls_before, bytes_before = (
        cluster.store.total_calls,
        _internal_bytes(cluster),
    )
    await send(cluster, count, options, concurrency, caller_keys)
    return RequestCost(
        {
            role: (cluster.usage(n).cpu_s - cpu_before_s[n]) * 1_000 / count
            for role, n in ROLES.items()
        },
        (cluster.store.total_calls - calls_before) / count,
        (_internal_bytes(cluster) - bytes_before) / count,
    )


def _internal_bytes(cluster: Deployment) -> int:
    return sum(relay.byte_count for relay in cluster.relays_to_agents())


async def send(
    cluster: Deployment,
    count: int,
    options: dict[str, Any],
    concurrency: int = CONCURRENCY,
    caller_keys: bool = False,
) -> Sequence[Completion]:
    """Send completions, at most ``concurrency`` at a time."""
    semaphore = asyncio.Semaphore(concurrency)
    address = cluster.http_address("entry-0")

    async def send_one() -> Completion:
        async with semaphore:
            key = {"key": f"key-{next(_key_numbers)}"} if caller_keys else {}
            completion = Completion(address, MODEL, {**options, **key})
            completion.start()
            assert completion.task is not None
            await completion.task
            assert completion.whole, (completion.code, completion.status)
            return completion

    return await asyncio.gather(*(send_one() for _ in range(count)))
