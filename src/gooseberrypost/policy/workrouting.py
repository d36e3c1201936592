"""What a gateway has learned of costs, paces and work left.

The state behind the choice of servers by work: it records answers, takes in
the notices of other gateways and answers what a request is expected to cost.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final, NamedTuple

from gooseberrypost.policy.requestcost import CostKey, RequestCosts, cost_key
from gooseberrypost.policy.serverfailures import ServerFailures
from gooseberrypost.policy.serverload import PEER_TIMEOUT_S
from gooseberrypost.policy.serverpace import PaceReport, ServerPaces
from gooseberrypost.policy.serverwork import SentRequest, ServerWork

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from gooseberrypost.gateway.model import Server
    from gooseberrypost.policy.serverload import PeerLoad, ServerLoads

DEFAULT_COST_MS: Final = 50.0
"""Assumed work of a request of a service without any answer yet."""
MIN_SERVED_SHARE: Final = 0.3
"""Least part of the time of an answer that counts as its work.

The wait in the server's queue is only estimated, and what is taken off too
much makes the next estimate smaller.
"""
EVEN_PACES: Final = 1.2
"""Ratio of paces up to which servers count as equal.

Estimates of equal servers differ by some percent.
"""
EVEN_COSTS: Final = 1.5
"""Ratio of the 90 % and the 10 % quantile up to which costs count as equal."""
EVEN_INTERVAL_S: Final = 0.1
"""Time for which the comparison of a service's servers is kept."""
MICROSECONDS: Final = 1_000.0
"""In a millisecond; engines take less than that for a token."""
REPORT_TIMEOUT_S: Final = 5 * PEER_TIMEOUT_S
"""Time without a notice after which a gateway's paces are dropped.

The load of a gateway that ends is gone, but the paces that it saw still hold.
"""

_DECODE: Final = "decode"
_PREFILL: Final = "prefill"
_COSTS: Final = "costs"


class ExpectedCost(NamedTuple):
    """Expected work of one request."""

    key: CostKey
    ms: float
    """At a server of usual pace."""
    usual_ms: float
    """Of a usual request of the service."""


class WorkRouting:
    """Costs, paces, failures and work left, as one gateway knows them."""

    __slots__ = (
        "_even",
        "_loads",
        "_notice_s",
        "_token_costs",
        "costs",
        "failures",
        "paces",
        "prefill_paces",
        "shown",
        "work",
    )

    def __init__(self, loads: ServerLoads) -> None:
        self._loads = loads
        self.costs = RequestCosts()
        """Work of plain requests in ms."""
        self.paces = ServerPaces()
        """Paces of plain servers, and of engines at decoding."""
        self.prefill_paces = ServerPaces()
        self.failures = ServerFailures()
        self.work = ServerWork(loads)
        self.shown: set[str] = set()
        """Servers that the gauge of work left names."""
        self._token_costs = RequestCosts()
        """Time of engines of usual pace for one token in us."""
        self._even: dict[tuple[str, str], tuple[float, bool]] = {}
        """Whether servers are equal, and until when that holds."""
        self._notice_s: dict[str, float] = {}
        """Time of each gateway's last notice."""
        loads.pace = self.paces.of

    def expect(
        self, service: str, route: str, method: str, path: str, size: int
    ) -> ExpectedCost:
        """Return the expected work of a request."""
        key = cost_key(service, route, method, path, size)
        usual_ms = self.costs.usual_ms(service)
        if usual_ms is None:
            return ExpectedCost(key, DEFAULT_COST_MS, DEFAULT_COST_MS)
        return ExpectedCost(
            key, self.costs.expected_ms(key) or usual_ms, usual_ms
        )

    def expect_reported(
        self, expected: ExpectedCost, servers: Sequence[Server]
    ) -> ExpectedCost:
        """Return the cost that others report while none was observed."""
        if self.costs.usual_ms(expected.key[0]) is not None:
            return expected
        identities = {server.identity for server in servers}
        self._loads.refresh()
        usual_ms = self.work.reported_usual_ms(identities)
        if usual_ms is None:
            return expected
        return ExpectedCost(expected.key, usual_ms, usual_ms)

    def start(
        self, server: Server, expected: ExpectedCost, now_s: float
    ) -> SentRequest:
        """Count a request that is being sent to a plain server."""
        wait_ms = self.wait_ms(server, expected, now_s)
        sent = SentRequest(
            server.identity, expected.key, expected.ms, wait_ms, now_s
        )
        self.work.start(sent)
        return sent

    def wait_ms(
        self, server: Server, expected: ExpectedCost, now_s: float
    ) -> float:
        """Return the time that a request waits at a server for a slot."""
        slots = max(server.slots, 1)
        ahead = self.work.count(server.identity, now_s)
        if ahead < slots:
            return 0.0
        pace = self.paces.of(server.identity, now_s)
        left_ms = self.work.left_ms(server, expected.usual_ms, pace, now_s)
        # The work ahead, less that of the requests which it need not outlast.
        return left_ms * (ahead - slots + 1) / ahead / (slots * pace)

    def record_answer(
        self, service: str, sent: SentRequest, took_ms: float, now_s: float
    ) -> float | None:
        """Record an answer; returns its actual work over the expected.

        None if nothing was known of the cost before.
        """
        identity = sent.identity
        self.failures.record(identity, has_failed=False, now_s=now_s)
        served_ms = max(took_ms - sent.wait_ms, MIN_SERVED_SHARE * took_ms)
        expected_ms = self.costs.expected_ms(sent.key)
        cost_ms = served_ms * self.paces.of(identity, now_s)
        if expected_ms is not None:
            self.paces.record(service, identity, expected_ms, served_ms, now_s)
        self.costs.record(sent.key, cost_ms, now_s)
        return cost_ms / expected_ms if expected_ms else None

    def record_stream(
        self,
        server: Server,
        tokens: int,
        took_s: float,
        running: int,
        now_s: float,
    ) -> None:
        """Record the output and decode time of a stream.

        ``running`` counts the runs of the engine, this one included.
        """
        if tokens > 0 and took_s > 0:
            self._record_tokens(
                self.paces,
                _token_key(server.service, _DECODE, running),
                server,
                1_000 * MICROSECONDS * took_s / tokens,
                now_s,
            )

    def record_prefill(
        self,
        server: Server,
        tokens: int,
        took_ms: float,
        queued_tokens: int,
        now_s: float,
    ) -> None:
        """Record a prefill; one behind others does not show the pace."""
        if tokens > 0 and took_ms > 0 and not queued_tokens:
            self._record_tokens(
                self.prefill_paces,
                _token_key(server.service, _PREFILL, 1),
                server,
                MICROSECONDS * took_ms / tokens,
                now_s,
            )

    def decode_ms_per_token(
        self, server: Server, running: int, now_s: float
    ) -> float | None:
        """Predict the time for a token at an occupancy; None if unknown."""
        key = _token_key(server.service, _DECODE, running)
        usual_us = self._token_costs.expected_ms(key)
        if usual_us is None:
            return None
        pace = self.paces.of(server.identity, now_s)
        return usual_us / MICROSECONDS / pace

    def prefill_ms_per_token(
        self, server: Server, now_s: float
    ) -> float | None:
        """Predict the prefill time for a token; None if unknown."""
        key = _token_key(server.service, _PREFILL, 1)
        usual_us = self._token_costs.expected_ms(key)
        if usual_us is None:
            return None
        pace = self.prefill_paces.of(server.identity, now_s)
        return usual_us / MICROSECONDS / pace

    def has_even_paces(
        self, servers: Sequence[Server], now_s: float, *, prefill: bool = False
    ) -> bool:
        """Whether servers of one service count as equally fast."""
        if not servers:
            return True
        kept_key = servers[0].service, _PREFILL if prefill else ""
        until_s, is_even = self._even.get(kept_key, (-math.inf, True))
        if now_s < until_s:
            return is_even
        self._loads.refresh()
        tracker = self.prefill_paces if prefill else self.paces
        paces = [tracker.of(server.identity, now_s) for server in servers]
        is_even = max(paces) <= EVEN_PACES * min(paces)
        self._even[kept_key] = now_s + EVEN_INTERVAL_S, is_even
        return is_even

    def has_even_costs(self, service: str, now_s: float) -> bool:
        """Whether the requests of a service cost about the same."""
        kept_key = service, _COSTS
        until_s, is_even = self._even.get(kept_key, (-math.inf, True))
        if now_s >= until_s:
            is_even = self.costs.spread(service) <= EVEN_COSTS
            self._even[kept_key] = now_s + EVEN_INTERVAL_S, is_even
        return is_even

    def update_peer(
        self, gateway: str, received_s: float, loads: Mapping[str, PeerLoad]
    ) -> None:
        """Replace what another gateway reports on servers.

        Only some of its notices have paces; the latest ones are kept.
        """
        self.work.update_peer(gateway, received_s, loads)
        paces, prefill_paces = {}, {}
        for identity, load in loads.items():
            if load.pace is not None:
                paces[identity] = load.pace
            if load.prefill_pace is not None:
                prefill_paces[identity] = load.prefill_pace
        if paces or prefill_paces:
            self.paces.update_peer(gateway, paces)
            self.prefill_paces.update_peer(gateway, prefill_paces)
        self._notice_s.pop(gateway, None)
        self._notice_s[gateway] = received_s
        self._drop_stale(received_s)

    def own_left_ms(self, identity: str, now_s: float) -> float | None:
        """Return the work left of own plain requests, for a notice.

        None for an engine, whose work is told by its runs and prompts.
        """
        if not self.work.has_own(identity):
            return None
        pace = self.paces.of(identity, now_s)
        return self.work.own_left_ms(identity, DEFAULT_COST_MS, pace, now_s)

    def reports(
        self, busy: Iterable[str], now_s: float
    ) -> tuple[dict[str, PaceReport], dict[str, PaceReport]]:
        """Return the paces for a notice: plain or decode, and prefill."""
        busy = set(busy)
        return (
            self.paces.reports(busy, now_s),
            self.prefill_paces.reports(busy, now_s),
        )

    def retain(self, identities: Iterable[str]) -> None:
        """Drop what was learned of servers that have left or restarted."""
        kept = set(identities)
        self.paces.retain(kept)
        self.prefill_paces.retain(kept)
        self.failures.retain(kept)

    def _record_tokens(
        self,
        paces: ServerPaces,
        key: CostKey,
        server: Server,
        us_per_token: float,
        now_s: float,
    ) -> None:
        identity = server.identity
        expected_us = self._token_costs.expected_ms(key)
        if expected_us is not None:
            paces.record(
                server.service, identity, expected_us, us_per_token, now_s
            )
        cost_us = us_per_token * paces.of(identity, now_s)
        self._token_costs.record(key, cost_us, now_s)

    def _drop_stale(self, now_s: float) -> None:
        """Drop gateways without a notice, the longest silent first."""
        while self._notice_s:
            gateway, received_s = next(iter(self._notice_s.items()))
            if now_s - received_s <= REPORT_TIMEOUT_S:
                return
            del self._notice_s[gateway]
            self.work.update_peer(gateway, now_s, {})
            self.paces.update_peer(gateway, {})
            self.prefill_paces.update_peer(gateway, {})


def _token_key(service: str, stage: str, running: int) -> CostKey:
    """Return the key of the time for a token at an occupancy.

    Stages share no mean: a token takes hundreds of times as long to decode.
    """
    occupancy = round(2 * math.log2(max(running, 1)))
    return f"{service} {stage}", stage, "", "", occupancy
