"""Selects the backend server of a request, or of a stage of a generation.

Pure functions: servers, loads, time and randomness are arguments.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from gooseberrypost.gateway.model import Server, Stage
from gooseberrypost.policy.inlineprefill import DECODE_PREFILL_SLOWDOWN
from gooseberrypost.policy.migration import can_accept
from gooseberrypost.policy.workchoice import (
    CROSS_ZONE_PENALTY_MS,
    rank_by_work,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Iterable, Sequence

    from gooseberrypost.policy.enginememory import RunSize
    from gooseberrypost.policy.serverload import ServerLoads
    from gooseberrypost.policy.workchoice import DecodeExpectation
    from gooseberrypost.policy.workrouting import ExpectedCost, WorkRouting

DEFAULT_SERVICE_MS: Final = 50.0
"""Assumed time per request of a server that has not answered yet."""
DEFAULT_PREFILL_MS_PER_TOKEN: Final = 0.02
"""Assumed prefill time per prompt token of an engine without a prefill yet."""
PEAK_MEMORY_SHARE: Final = 0.98
"""Share of an engine's memory that a predicted peak may fill."""
MAX_CANDIDATES: Final = 40
"""Maximum number of engines whose memory is predicted for one choice.

A prediction takes some 20 us, and one of 40 randomly drawn engines has free
memory unless nearly all are full.
"""
RANDOM_CHOICES: Final = 2
"""Candidates drawn at random; the one with more free memory comes first."""


def eligible_servers(
    servers: Iterable[Server],
    loads: ServerLoads,
    now_s: float,
    excluded: Collection[str] = (),
) -> list[Server]:
    """Return the servers to choose from.

    Draining and excluded servers are never eligible. Servers that recently
    refused a request, or whose rate limit permits none at the moment, are
    eligible only if no other healthy server is left, and suspect servers only
    if no healthy server is left at all.
    """
    present = [
        server
        for server in servers
        if not server.draining and server.identity not in excluded
    ]
    healthy = [
        server
        for server in present
        if not loads.is_suspect(server.identity, now_s)
    ]
    free = [
        server
        for server in healthy
        if not loads.of(server.identity).is_full(now_s)
    ]
    if loads.limits:
        free = [
            server
            for server in free
            if not loads.limit_wait_s(server.identity, now_s)
        ]
    return free or healthy or present


def choose_plain(
    servers: Sequence[Server],
    loads: ServerLoads,
    zone: str,
    now_s: float,
    rng: random.Random,
) -> Server | None:
    """Return the server with the shortest expected time for a plain request.

    A plain request is one that is not a generation. None if there are no
    servers.
    """
    return next(iter(rank_plain(servers, loads, zone, now_s, rng)), None)


def rank_plain(
    servers: Sequence[Server],
    loads: ServerLoads,
    zone: str,
    now_s: float,
    rng: random.Random,
    work: WorkRouting | None = None,
    expected: ExpectedCost | None = None,
) -> list[Server]:
    """Return the server for a plain request, and the next best one if any.

    Where servers are equally fast and requests cost the same, the number of
    outstanding requests tells the work left; otherwise the expected ``work``
    does. The time includes the wait for the server's rate limit.
    """
    if work is not None and expected is not None and len(servers) > 1:
        service = servers[0].service
        if not (
            work.has_even_paces(servers, now_s)
            and work.has_even_costs(service, now_s)
        ):
            return rank_by_work(
                servers, loads, work, expected, zone, now_s, rng
            )

    def expected_ms(server: Server) -> tuple[float, float]:
        load = loads.of(server.identity)
        service_ms = load.service_ms or DEFAULT_SERVICE_MS
        queued = loads.outstanding(server.identity) / max(server.slots, 1)
        penalty_ms = CROSS_ZONE_PENALTY_MS if server.zone != zone else 0.0
        if loads.limits:
            penalty_ms += 1_000 * loads.limit_wait_s(server.identity, now_s)
        return service_ms * (1 + queued) + penalty_ms, rng.random()

    return sorted(servers, key=expected_ms)[:RANDOM_CHOICES]


def choose_prefill(
    servers: Iterable[Server],
    loads: ServerLoads,
    tokens: int,
    now_s: float,
    rng: random.Random,
    work: WorkRouting | None = None,
) -> Server | None:
    """Return the prefill engine expected to finish a prompt first.

    Where engines differ in pace, the pace that all gateways have observed
    counts, not this gateway's own times. None if there is no prefill engine.
    """
    engines = [server for server in servers if server.stage is Stage.PREFILL]
    by_pace = work is not None and not work.has_even_paces(
        engines, now_s, prefill=True
    )

    def end_ms(server: Server) -> tuple[float, float]:
        ms = work.prefill_ms_per_token(server, now_s) if by_pace else None
        time_ms = (
            prefill_time_ms(server, loads, tokens)
            if ms is None
            else ms * (loads.prefill_tokens(server.identity) + tokens)
        )
        wait_s = loads.limit_wait_s(server.identity, now_s)
        return time_ms + 1_000 * wait_s, rng.random()

    return min(engines, key=end_ms, default=None)


def rank_decode_engines(
    servers: Iterable[Server],
    loads: ServerLoads,
    size: RunSize,
    kv_tokens: int,
    zone: str,
    now_s: float,
    rng: random.Random,
    decode: DecodeExpectation | None = None,
) -> list[Server]:
    """Return the decode engines that can admit a run, in the order to try.

    The first is the one with more free memory out of two that are drawn at
    random: gateways that see the same loads would otherwise all choose the
    emptiest engine at once.

    An engine can admit the run if it has a free slot and the predicted peak
    of its memory stays below ``PEAK_MEMORY_SHARE`` of ``kv_tokens``; beyond
    that it would preempt runs, whose prompts are then prefilled again. An
    empty engine admits a run of any size.

    Engines of which ``decode`` expects late events or a clearly slower output
    come after all others.
    """
    peaks = []
    for server in _sample(list(servers), rng):
        if server.stage is Stage.PREFILL:
            continue
        identity = server.identity
        running = loads.run_count(identity)
        if running >= max(server.slots, 1):
            continue
        limit = PEAK_MEMORY_SHARE * kv_tokens if kv_tokens else math.inf
        peak = loads.predict_peak_tokens(identity, now_s, [size], limit)
        if running and peak > limit:
            continue
        # A prefill between decode steps slows every stream of the engine.
        in_use = peak + loads.prefill_tokens(identity)
        key = (in_use, server.zone != zone, rng.random())
        peaks.append((0, key, server, running))
    if decode is not None and peaks:
        tiers = decode.tiers([entry[2:] for entry in peaks], now_s)
        peaks = [
            (tier, *entry[1:])
            for tier, entry in zip(tiers, peaks, strict=True)
        ]
    peaks.sort(key=lambda entry: entry[:2])
    first = sum(entry[0] == peaks[0][0] for entry in peaks)
    if first > RANDOM_CHOICES:
        drawn = min(rng.sample(range(first), RANDOM_CHOICES))
        peaks.insert(0, peaks.pop(drawn))
    return [server for _, _, server, _ in peaks]


def has_places(
    servers: Iterable[Server],
    loads: ServerLoads,
    size: RunSize,
    kv_tokens: int,
    needed: int,
    now_s: float,
) -> bool:
    """Whether decode engines can admit ``needed`` more runs of a size.

    The bounds are those of ``rank_decode_engines``.
    """
    limit = PEAK_MEMORY_SHARE * kv_tokens if kv_tokens else math.inf
    for server in servers:
        if server.stage is Stage.PREFILL:
            continue
        running = loads.run_count(server.identity)
        places = min(max(server.slots, 1) - running, needed)
        while places > 0:
            peak = loads.predict_peak_tokens(
                server.identity, now_s, [size] * places, limit
            )
            if peak <= limit or running + places == 1:
                break
            places -= 1
        needed -= max(places, 0)
        if needed <= 0:
            return True
    return False


def _sample(servers: list[Server], rng: random.Random) -> list[Server]:
    """Draw ``MAX_CANDIDATES`` servers at random if there are more."""
    if len(servers) <= MAX_CANDIDATES:
        return servers
    return rng.sample(servers, MAX_CANDIDATES)


def migration_target(
    servers: Sequence[Server],
    loads: ServerLoads,
    size: RunSize,
    kv_tokens: int,
    zone: str,
    now_s: float,
) -> Server | None:
    """Return the decode engine to migrate a run to, None if none has memory.

    It is the one with the least memory in use; engines in ``zone`` come
    first, as a migration between zones takes twice as long and costs more.
    """
    found = []
    for server in servers:
        if server.stage is Stage.PREFILL:
            continue
        sizes = loads.run_sizes(server.identity, now_s)
        if can_accept(sizes, size, server.slots, kv_tokens):
            used = sum(run.tokens for run in sizes)
            found.append((server.zone != zone, used, server.instance))
    if not found:
        return None
    _, _, instance = min(found)
    return next(server for server in servers if server.instance == instance)


def should_prefill_on_decode(
    prefill: Server | None,
    decode: Server,
    loads: ServerLoads,
    tokens: int,
    objective_ms: float,
    now_s: float,
) -> bool:
    """Whether to prefill a prompt on the decode engine itself.

    A prefill there pauses all streams of the engine, so a prefill engine is
    preferred if it finishes within the first-event objective, even where the
    decode engine would be faster.
    """
    if prefill is None:
        return True
    prefill_ms = prefill_time_ms(prefill, loads, tokens)
    prefill_ms += 1_000 * loads.limit_wait_s(prefill.identity, now_s)
    if prefill_ms <= objective_ms:
        return False
    return (
        DECODE_PREFILL_SLOWDOWN * prefill_time_ms(decode, loads, tokens)
        < prefill_ms
    )


def prefill_time_ms(server: Server, loads: ServerLoads, tokens: int) -> float:
    """Predict the time until an engine has processed a prompt.

    It includes the prompts that are queued ahead of it.
    """
    rate = loads.of(server.identity).prefill_ms_per_token
    queued = loads.prefill_tokens(server.identity)
    return (queued + tokens) * (rate or DEFAULT_PREFILL_MS_PER_TOKEN)
