"""Ranks servers by the expected end of a request, or of a stage.

Gateways see the loads of others late, so not all of them may take the server
that seems best: two candidates are drawn at random, faster servers more often,
and the better one of the two is taken.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from gooseberrypost.gateway.model import Server
    from gooseberrypost.policy.serverload import ServerLoads
    from gooseberrypost.policy.workrouting import ExpectedCost, WorkRouting

CROSS_ZONE_PENALTY_MS: Final = 2.0
"""Round trip to a server in another zone, added to its expected time."""
OWN_ZONE_WEIGHT: Final = 3.0
"""Factor by which servers of the gateway's own zone are drawn more often.

At six servers and 0.8 of capacity the requests that leave their zone fall from
65 % to some 45 %, with the same latency. Work left still decides of the two
that are drawn.
"""
TIE_MS: Final = 0.5 * CROSS_ZONE_PENALTY_MS
"""Difference of expected ends of idle servers that counts as none."""
FAILURE_COSTS: Final = 3.0
"""Requests of usual cost that a refused or failed one is worth.

It is sent again elsewhere, or is lost for its client.
"""
MIN_EXCESS_FAILURES: Final = 0.15
"""Share of failures above the mean of its service that counts at a server.

A service may answer some requests with an error at each of its servers, and
the share of the last ten answers varies by about as much.
"""
SLOWER_DECODE: Final = 1.25
"""Ratio of the time for a token to the shortest from which on an engine is
clearly slower."""


class DecodeExpectation(NamedTuple):
    """What the choice of a decode engine knows of pace."""

    work: WorkRouting
    gap_ms: float
    """Objective for the time between two events; 0 for none."""
    tokens_per_event: int

    def tiers(
        self, engines: Sequence[tuple[Server, int]], now_s: float
    ) -> list[int]:
        """Return the tier of each engine, given its runs; 0 is the best.

        An engine falls by one tier if its events are expected too late, and
        by one if it is clearly slower than the fastest.
        """
        servers = [server for server, _ in engines]
        if self.work.has_even_paces(servers, now_s):
            return [0] * len(engines)
        times_ms = [
            self.work.decode_ms_per_token(server, running + 1, now_s) or 0.0
            for server, running in engines
        ]
        slow_ms = SLOWER_DECODE * min(times_ms)
        gap_ms = self.gap_ms / max(self.tokens_per_event, 1)
        return [(ms > slow_ms) + (0 < gap_ms < ms) for ms in times_ms]


def rank_by_work(
    servers: Sequence[Server],
    loads: ServerLoads,
    work: WorkRouting,
    expected: ExpectedCost,
    zone: str,
    now_s: float,
    rng: random.Random,
) -> list[Server]:
    """Return up to two candidates for a plain request, the better one first.

    An idle server that nobody could beat is taken without a draw.
    """
    paces = [work.paces.of(server.identity, now_s) for server in servers]
    idle_ms = [
        expected.ms / pace
        + (CROSS_ZONE_PENALTY_MS if server.zone != zone else 0.0)
        for server, pace in zip(servers, paces, strict=True)
    ]
    _add_failures(idle_ms, servers, work, expected.usual_ms, now_s)
    if loads.limits:
        for number, server in enumerate(servers):
            wait_s = loads.limit_wait_s(server.identity, now_s)
            idle_ms[number] += 1_000 * wait_s
    fastest = _fastest(idle_ms, rng)
    if work.work.is_idle(servers[fastest].identity, now_s):
        return [servers[fastest]]

    def end_ms(number: int) -> float:
        server, pace = servers[number], paces[number]
        left_ms = work.work.left_ms(server, expected.usual_ms, pace, now_s)
        return idle_ms[number] + left_ms / (max(server.slots, 1) * pace)

    weights = [
        (OWN_ZONE_WEIGHT if server.zone == zone else 1.0) * server.slots * pace
        for server, pace in zip(servers, paces, strict=True)
    ]
    drawn = sorted(_draw_two(weights, rng), key=end_ms)
    return [servers[number] for number in drawn]


def _fastest(idle_ms: Sequence[float], rng: random.Random) -> int:
    """Return one of the servers that would be first if all were idle."""
    limit_ms = min(idle_ms) + TIE_MS
    best = [number for number, ms in enumerate(idle_ms) if ms <= limit_ms]
    return best[0] if len(best) == 1 else rng.choice(best)


def _add_failures(
    idle_ms: list[float],
    servers: Sequence[Server],
    work: WorkRouting,
    usual_ms: float,
    now_s: float,
) -> None:
    """Add the expected cost of a refusal or an error to each time."""
    if not work.failures:
        return
    shares = [
        work.failures.share(server.identity, now_s) for server in servers
    ]
    usual = sum(shares) / len(shares) + MIN_EXCESS_FAILURES
    for number, share in enumerate(shares):
        if share > usual:
            idle_ms[number] += FAILURE_COSTS * usual_ms * (share - usual)


def _draw_two(weights: list[float], rng: random.Random) -> list[int]:
    """Draw two different indices, or the only one, by their weights."""
    if len(weights) <= 2:
        return list(range(len(weights)))
    first = _draw(weights, rng)
    weights[first] = 0.0
    return [first, _draw(weights, rng)]


def _draw(weights: Sequence[float], rng: random.Random) -> int:
    left = rng.random() * sum(weights)
    for number, weight in enumerate(weights):
        left -= weight
        if left < 0:
            return number
    return max(range(len(weights)), key=weights.__getitem__)
