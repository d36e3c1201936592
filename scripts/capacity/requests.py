"""Cost of requests and tokens at each role, from real processes."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING, Any, Final, NamedTuple

from scripts.capacity.deployment import Deployment
from scripts.capacity.fit import report
from tests.scenarios.caller import Completion

if TYPE_CHECKING:
    from collections.abc import Sequence

ROLES: Final = {
    "entry": "entry-0",
    "prefill_agent": "prefill-0",
    "decode_agent": "decode-1",
}
SETTLE_S: Final = 3.0
CONCURRENCY: Final = 12
ENGINE: Final = {"token_ms": 4.0, "slots": 200, "pieces": 4_000}
MODEL: Final = "rig-7b"
LIVE_TOKENS: Final = 800
STAGGER_S: Final = 0.04
_numbers = itertools.count()


class Spent(NamedTuple):
    """What a number of equal requests cost, for each request."""

    cpu_ms: dict[str, float]
    store_calls: float
    internal_bytes: float
    """Between entry and agents, both directions."""


async def measure(quick: bool) -> None:
    """Print CPU and bytes by tokens, and memory by live requests."""
    count = 24 if quick else 300
    async with Deployment.started(engine=dict(ENGINE)) as cluster:
        await asyncio.sleep(SETTLE_S)
        await send(cluster, CONCURRENCY, {"tokens": 10})
        await _by_tokens(cluster, count)
        await _by_key(cluster, count)
        await _by_live(cluster, quick)


async def _by_tokens(cluster: Deployment, count: int) -> None:
    sizes = [10, 40, 160]
    print(
        f"# requests: {count} each, {CONCURRENCY} at once, 200 prompt "
        "tokens, minted keys; sizes are output tokens"
    )
    found = [await spent(cluster, count, {"tokens": s}) for s in sizes]
    for role in ROLES:
        values = [f.cpu_ms[role] for f in found]
        report(f"request.{role}", "CPU ms a request", sizes, values)
    values = [f.internal_bytes for f in found]
    report("request.internal", "bytes a request", sizes, values)
    calls = " ".join(f"{f.store_calls:.3f}" for f in found)
    print(f"request.store_calls a request with a minted key: {calls}")


async def _by_key(cluster: Deployment, count: int) -> None:
    """Print calls to the store when callers make the keys."""
    for concurrency in (1, 4, CONCURRENCY):
        used = await spent(
            cluster, count // 3, {"tokens": 2}, concurrency, True
        )
        print(
            f"request.store_calls a request with a caller-made key, "
            f"{concurrency} at once: {used.store_calls:.2f}; entry and "
            f"owner CPU ms: {used.cpu_ms['entry']:.2f}"
        )


async def _by_live(cluster: Deployment, quick: bool) -> None:
    """Hold streams open; a refused one does not count as live."""
    print("# memory: sizes are streams that run at once")
    held: dict[str, list[float]] = {role: [] for role in ROLES}
    sizes = []
    for size in (10, 20, 40) if quick else (20, 40, 80):
        streams = []
        for _ in range(size):
            address = cluster.http_address("entry-0")
            options = {"tokens": LIVE_TOKENS, "words": 20}
            streams.append(Completion(address, MODEL, options))
            streams[-1].start()
            await asyncio.sleep(STAGGER_S)
        sizes.append(sum(s.tokens > 0 and not s.ended for s in streams))
        for role, name in ROLES.items():
            held[role].append(cluster.usage(name).private_kb)
        await asyncio.gather(*(s.disconnect() for s in streams))
    for role, values in held.items():
        report(f"live.{role}", "private kB", sizes, values)


async def spent(
    cluster: Deployment,
    count: int,
    options: dict[str, Any],
    concurrency: int = CONCURRENCY,
    caller_keys: bool = False,
) -> Spent:
    """Send requests and return what each of them cost."""
    before = {n: cluster.usage(n).cpu_s for n in ROLES.values()}
    calls, sent = cluster.store.total_calls, _internal_bytes(cluster)
    await send(cluster, count, options, concurrency, caller_keys)
    return Spent(
        {
            role: (cluster.usage(n).cpu_s - before[n]) * 1_000 / count
            for role, n in ROLES.items()
        },
        (cluster.store.total_calls - calls) / count,
        (_internal_bytes(cluster) - sent) / count,
    )


def _internal_bytes(cluster: Deployment) -> int:
    return sum(relay.bytes for relay in cluster.relays_to_agents())


async def send(
    cluster: Deployment,
    count: int,
    options: dict[str, Any],
    concurrency: int = CONCURRENCY,
    caller_keys: bool = False,
) -> Sequence[Completion]:
    """Send completions with a limit on how many run at once."""
    limit = asyncio.Semaphore(concurrency)
    address = cluster.http_address("entry-0")

    async def one() -> Completion:
        async with limit:
            key = {"key": f"key-{next(_numbers)}"} if caller_keys else {}
            completion = Completion(address, MODEL, {**options, **key})
            completion.start()
            assert completion.task is not None
            await completion.task
            assert completion.whole, (completion.code, completion.status)
            return completion

    return await asyncio.gather(*(one() for _ in range(count)))
