"""Chooses the backend server of a request, or of a stage of a generation.

Pure functions: servers, loads, time and randomness are arguments.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from gooseberrypost.gateway.model import Server, Stage
from gooseberrypost.policy.relief import has_room

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Iterable, Sequence

    from gooseberrypost.policy.enginememory import RunSize
    from gooseberrypost.policy.serverload import ServerLoads

DEFAULT_SERVICE_MS: Final = 50.0
"""Time of one request at a server that has not answered yet."""
DEFAULT_PREFILL_MS_PER_TOKEN: Final = 0.02
"""Time for a prompt token at an engine that has not read any yet."""
DIRECT_SLOWDOWN: Final = 2.0
"""A decode engine reads a prompt at half the speed of a prefill engine."""
MEMORY_SHARE: Final = 0.98
"""Share of an engine's memory that predicted peaks may fill."""
LOOKED_AT: Final = 40
"""Engines whose memory is predicted for one choice.

A prediction takes some 20 us, and with 40 engines drawn at random one has
room unless nearly all are full.
"""
DRAWN: Final = 2
"""Engines with room of which the emptier one is taken."""
MAX_PREFILL_WAIT_MS: Final = 1_000.0
"""Wait at the prefill engines for which a prompt stays off decode engines."""
OTHER_ZONE_MS: Final = 2.0
"""Handicap of a server in another zone: the round trip."""


def usable(
    servers: Iterable[Server],
    loads: ServerLoads,
    now_s: float,
    excluded: Collection[str] = (),
) -> list[Server]:
    """Servers to choose from, the better class of them where it is not empty.

    Leaving and excluded servers are never used. Suspects are used only when
    nothing else is left, and so are servers that refused a moment ago.
    """
    present = [
        server
        for server in servers
        if not server.draining and server.identity not in excluded
    ]
    sound = [
        server
        for server in present
        if not loads.is_suspect(server.identity, now_s)
    ]
    free = [
        server
        for server in sound
        if not loads.of(server.identity).is_full(now_s)
    ]
    return free or sound or present


def choose_plain(
    servers: Sequence[Server],
    loads: ServerLoads,
    zone: str,
    rng: random.Random,
) -> Server | None:
    """Return the server with the shortest expected time, None without any."""

    def expected_ms(server: Server) -> tuple[float, float]:
        load = loads.of(server.identity)
        service_ms = load.service_ms or DEFAULT_SERVICE_MS
        queued = loads.outstanding(server.identity) / max(server.slots, 1)
        other = OTHER_ZONE_MS if server.zone != zone else 0.0
        return service_ms * (1 + queued) + other, rng.random()

    return min(servers, key=expected_ms, default=None)


def choose_prefill(
    servers: Iterable[Server],
    loads: ServerLoads,
    tokens: int,
    rng: random.Random,
) -> Server | None:
    """Return the prefill engine that reads a prompt first."""
    return min(
        (server for server in servers if server.stage is Stage.PREFILL),
        key=lambda server: (
            prefill_time_ms(server, loads, tokens),
            rng.random(),
        ),
        default=None,
    )


def decode_order(
    servers: Iterable[Server],
    loads: ServerLoads,
    size: RunSize,
    kv_tokens: int,
    zone: str,
    now_s: float,
    rng: random.Random,
) -> list[Server]:
    """Decode engines with room for a generation, in the order to try them.

    The first is the emptier one of two that are drawn: gateways that see the
    same loads would all take the emptiest engine at once.

    An engine has room if the predicted peak of its memory stays below
    ``kv_tokens``; more makes it preempt generations, whose prompts are then
    read again.
    """
    peaks = []
    for server in _sample(list(servers), rng):
        if server.stage is Stage.PREFILL:
            continue
        identity = server.identity
        running = loads.run_count(identity)
        if running >= max(server.slots, 1):
            continue
        limit = MEMORY_SHARE * kv_tokens if kv_tokens else math.inf
        peak = loads.peak_with(identity, now_s, [size], limit)
        if running and peak > limit:
            continue
        # A prompt read between tokens slows every stream of the engine.
        in_use = peak + loads.prefill_tokens(identity)
        key = (in_use, server.zone != zone, rng.random())
        peaks.append((key, server))
    peaks.sort(key=lambda one: one[0])
    if len(peaks) > DRAWN:
        drawn = min(rng.sample(range(len(peaks)), DRAWN))
        peaks.insert(0, peaks.pop(drawn))
    return [server for _, server in peaks]


def _sample(servers: list[Server], rng: random.Random) -> list[Server]:
    """Draw the engines to look at where there are very many."""
    if len(servers) <= LOOKED_AT:
        return servers
    return rng.sample(servers, LOOKED_AT)


def relief_target(
    servers: Sequence[Server],
    loads: ServerLoads,
    size: RunSize,
    kv_tokens: int,
    zone: str,
    now_s: float,
) -> Server | None:
    """Decode engine that a generation can move to, the emptiest of its zone.

    A move between zones takes twice as long and is dearer.
    """
    found = []
    for server in servers:
        if server.stage is Stage.PREFILL:
            continue
        sizes = loads.run_sizes(server.identity, now_s)
        if has_room(sizes, size, server.slots, kv_tokens):
            present = sum(one.tokens for one in sizes)
            found.append((server.zone != zone, present, server.instance))
    if not found:
        return None
    _, _, instance = min(found)
    return next(one for one in servers if one.instance == instance)


def reads_itself(
    prefill: Server | None, decode: Server, loads: ServerLoads, tokens: int
) -> bool:
    """Whether the decode engine should read a prompt.

    That makes pauses in all of its streams, so a wait at the prefill engines
    is the lesser evil up to ``MAX_PREFILL_WAIT_MS``.
    """
    if prefill is None:
        return True
    apart_ms = prefill_time_ms(prefill, loads, tokens)
    if apart_ms <= MAX_PREFILL_WAIT_MS:
        return False
    return DIRECT_SLOWDOWN * prefill_time_ms(decode, loads, tokens) < apart_ms


def prefill_time_ms(server: Server, loads: ServerLoads, tokens: int) -> float:
    """Time until an engine has read a prompt behind those sent before."""
    rate = loads.of(server.identity).prefill_ms_per_token
    waiting = loads.prefill_tokens(server.identity)
    return (waiting + tokens) * (rate or DEFAULT_PREFILL_MS_PER_TOKEN)
