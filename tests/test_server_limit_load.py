"""Gateways that keep the rate limit of one server together, without network.

Load pattern: requests arrive at all gateways at random, unevenly and faster
than the server accepts. Notices take some milliseconds and some are lost. The
server gets no more than its limit allows, and most of that.
"""

from __future__ import annotations

import random
from collections import deque

import pytest

from gooseberrypost.policy.serverlimit import ServerLimits
from tests.ratelimits import allowed, most_in_window

SERVER = "i@1"
DURATION_S = 24.0
NOTICE_INTERVAL_S = 0.3
SEEDS = 20


class Gateways:
    """Gateways that send whenever their bucket permits, and their notices."""

    def __init__(self, count: int, seed: int, loss: float, cut: int = 0):
        self.rng = random.Random(seed)
        self.limits = [ServerLimits() for _ in range(count)]
        self.cut = set(range(cut))
        """Gateways whose notices reach nobody, and that get none."""
        self.loss = loss
        self.in_flight: deque = deque()
        self.arrivals_s: list[float] = []
        self.next_notice_s = 0.0

    def run(self, requests_per_s: float, limit_at):
        """Offer requests; ``limit_at`` maps a time to the limit then."""
        now_s = 0.0
        while now_s < DURATION_S:
            now_s += self.rng.expovariate(requests_per_s)
            self._deliver(now_s)
            # A quarter of the gateways gets most of the requests.
            gateway = int(len(self.limits) * self.rng.random() ** 2)
            limits = self.limits[gateway]
            if limits.wait_s(SERVER, now_s) <= 0:
                limits.record_send(SERVER, now_s)
                limits.record(SERVER, limit_at(now_s), now_s)
                self.arrivals_s.append(now_s)
                self._notify(gateway, now_s)
            if now_s >= self.next_notice_s:
                self.next_notice_s = now_s + NOTICE_INTERVAL_S
                for other in range(len(self.limits)):
                    self._notify(other, now_s)

    def _notify(self, sender: int, now_s: float):
        if sender in self.cut:
            return
        for notice in self.limits[sender].notices(now_s):
            for receiver in range(len(self.limits)):
                is_cut = receiver == sender or receiver in self.cut
                if is_cut or self.rng.random() < self.loss:
                    continue
                due_s = now_s + self.rng.uniform(0.001, 0.004)
                self.in_flight.append((due_s, receiver, sender, notice))

    def _deliver(self, now_s: float):
        late = deque()
        while self.in_flight:
            due_s, receiver, sender, notice = self.in_flight.popleft()
            if due_s <= now_s:
                self.limits[receiver].record_peer(f"g{sender}", notice, due_s)
            else:
                late.append((due_s, receiver, sender, notice))
        self.in_flight = late


@pytest.mark.parametrize(
    ("limit_per_s", "count", "seeds"),
    [
        *(
            (limit_per_s, count, SEEDS)
            for limit_per_s in (0.0, 1.0, 3.7, 20.0)
            for count in (1, 4, 40)
        ),
        (20.0, 420, 1),
    ],
)
def test_the_sum_over_all_gateways_keeps_the_limit(limit_per_s, count, seeds):
    """Guards against gateways that each keep a limit by themselves.

    Also against a limit that is split so that busy gateways refuse requests
    while the share of idle ones is unused.
    """
    for seed in range(seeds):
        gateways = Gateways(count, seed, loss=0.03)
        gateways.run(40.0, lambda now_s: limit_per_s)
        most = most_in_window(gateways.arrivals_s, 0.0)
        assert most <= allowed(limit_per_s)
        assert len(gateways.arrivals_s) >= 0.8 * limit_per_s * DURATION_S


def test_gateways_that_hear_no_notices_use_their_share():
    """Guards against an overload while gateways cannot hear each other."""
    for seed in range(SEEDS):
        gateways = Gateways(4, seed, loss=0.0, cut=4)
        for limits in gateways.limits:
            limits.set_share(1 / 4)
        gateways.run(40.0, lambda now_s: 4.0)
        assert most_in_window(gateways.arrivals_s, 0.0) <= allowed(4.0)


def test_a_limit_that_was_withdrawn_binds_nobody():
    """Guards against a limit that outlives the need of its server."""
    for seed in range(SEEDS):
        gateways = Gateways(4, seed, loss=0.03)
        gateways.run(40.0, lambda now_s: 2.0 if now_s < 12.0 else None)
        for limits in gateways.limits:
            assert limits.per_s(SERVER) is None
        late = [at_s for at_s in gateways.arrivals_s if at_s >= 14.0]
        assert len(late) >= 0.8 * 40.0 * (DURATION_S - 14.0)


def test_a_restarted_gateway_learns_the_limit_from_the_others():
    """Guards against a gateway that sends without limit after its start."""
    gateways = Gateways(2, seed=1, loss=0.0)
    gateways.run(40.0, lambda now_s: 2.0)
    restarted = ServerLimits()
    for notice in gateways.limits[0].notices(DURATION_S):
        restarted.record_peer("g0", notice, DURATION_S)
    assert restarted.per_s(SERVER) == 2.0
    # What was sent before its start is not taken from its bucket.
    assert restarted.wait_s(SERVER, DURATION_S) <= 1 / 2.0


def test_an_outdated_notice_does_not_replace_a_newer_answer():
    """Guards against a limit that gateways keep alive by passing it on."""
    first, second, third = (ServerLimits() for _ in range(3))
    first.record(SERVER, 2.0, 1.0)
    (notice,) = first.notices(1.1)
    second.record_peer("first", notice, 1.1)
    assert second.notices(1.2) == []
    second.record(SERVER, 3.0, 2.0)
    third.record(SERVER, None, 5.0)
    (notice,) = second.notices(5.1)
    first.record_peer("second", notice, 5.1)
    assert first.per_s(SERVER) == 3.0
    (notice,) = first.notices(5.2)
    second.record_peer("first", notice, 5.2)
    assert second.per_s(SERVER) == 3.0
