"""Load and health of backend servers, as observed by one gateway.

>>> loads = ServerLoads()
>>> load = loads.of("i@0")
>>> load.record_failure(now_s=1.0)
>>> load.is_suspect(1.1), load.is_suspect(60.0)
(True, False)
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from gooseberrypost.policy.decoderate import DecodeRates
from gooseberrypost.policy.enginememory import RunSize, predict_peak_tokens
from gooseberrypost.policy.serverlimit import ServerLimits

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from gooseberrypost.policy.enginememory import Run
    from gooseberrypost.policy.queueorder import QueueRanks
    from gooseberrypost.policy.serverpace import PaceReport

MIN_SUSPECT_S: Final = 0.5
"""Time for which a server is avoided after a first failure."""
MAX_SUSPECT_S: Final = 4.0
"""Longest time for which a server is avoided after repeated failures.

A crashed engine serves again after some seconds.
"""
EWMA_WEIGHT: Final = 0.2
"""Weight of the newest observation in exponential moving averages."""
UNREACHABLE_QUORUM: Final = 2
"""Other gateways that must report a server unreachable before it is avoided.

The server is then avoided without a failure observed by this gateway.
"""
MIN_PREFILLS: Final = 8
"""Prompts from which on the observed prefill time is relied upon."""
MIN_PREFILL_GROWTH: Final = 1.02
"""Factor by which the minimum prefill time rises with each observation.

An engine that has become slow is detected after some tens of prompts.
"""
PEER_TIMEOUT_S: Final = 1.0
"""Time without a notice after which the load of a gateway is dropped.

Engines stop a request when its connection is lost, so a gateway that has
ended leaves no load behind.
"""
REFUSAL_BACKOFF_S: Final = 0.04
"""Time for which a server is avoided after it refused for lack of memory."""


class ServerLoad:
    """Load and health of one server incarnation, observed by this gateway."""

    __slots__ = (
        "failures",
        "full_until_s",
        "min_prefill_ms_per_token",
        "outstanding",
        "prefill_ms_per_token",
        "prefill_tokens",
        "prefills",
        "runs",
        "service_ms",
        "suspect_until_s",
        "unreachable_until_s",
    )

    def __init__(self) -> None:
        self.outstanding = 0
        """Requests sent and not answered yet."""
        self.prefill_tokens = 0
        """Prompt tokens sent for prefill and not known to be processed."""
        self.runs: set[Run] = set()
        """Runs that decode on the server or are about to start there."""
        self.service_ms = 0.0
        """Moving average of the time per request; 0 if not known."""
        self.prefill_ms_per_token = 0.0
        """Moving average, prompts queued before included; 0 if not known."""
        self.prefills = 0
        """Prompts that had no others queued before them."""
        self.min_prefill_ms_per_token = 0.0
        """Recent minimum, which excludes queueing; 0 if not known."""
        self.failures = 0
        """Consecutive failures."""
        self.suspect_until_s = float("-inf")
        self.full_until_s = float("-inf")
        self.unreachable_until_s = float("-inf")
        """Time until which load notices report the server as unreachable."""

    def is_suspect(self, now_s: float) -> bool:
        """Whether the server is avoided because of recent failures."""
        return now_s < self.suspect_until_s

    def is_full(self, now_s: float) -> bool:
        """Whether the server recently refused a request for lack of memory."""
        return now_s < self.full_until_s

    def record_failure(self, now_s: float) -> None:
        """Record a lost answer or connection.

        The time for which the server is suspect doubles with each
        consecutive failure, up to ``MAX_SUSPECT_S``.
        """
        self.failures += 1
        period_s = min(
            MIN_SUSPECT_S * 2 ** min(self.failures - 1, 8), MAX_SUSPECT_S
        )
        self.suspect_until_s = now_s + period_s

    def record_unreachable(self, now_s: float) -> None:
        """Record that no server of this identity answers at its address."""
        self.record_failure(now_s)
        self.unreachable_until_s = self.suspect_until_s

    def record_refusal(self, now_s: float) -> None:
        """Record that the server refused a request for lack of memory."""
        self.full_until_s = now_s + REFUSAL_BACKOFF_S

    def record_success(self, service_ms: float) -> None:
        """Record an answer, after which the server is no longer suspect."""
        self._clear_failures()
        self.service_ms = _moving_average(self.service_ms, service_ms)

    def record_server_error(self) -> None:
        """Record an answer that reports an error of the server.

        The server is reachable. Its time is not averaged, as a server that
        fails at once would then seem to be the fastest.
        """
        self._clear_failures()

    def record_prefill(
        self, tokens: int, took_ms: float, queued_tokens: int = 0
    ) -> None:
        """Record the time of a prefill.

        ``queued_tokens`` counts the prompts that were queued before it. Part
        of these may have been processed already, so only prompts without any
        show the speed of the engine.
        """
        self._clear_failures()
        if not tokens:
            return
        self.prefill_ms_per_token = _moving_average(
            self.prefill_ms_per_token, took_ms / (tokens + queued_tokens)
        )
        if not queued_tokens:
            self.prefills += 1
            observed = took_ms / tokens
            minimum = self.min_prefill_ms_per_token * MIN_PREFILL_GROWTH
            self.min_prefill_ms_per_token = (
                min(minimum, observed) if minimum else observed
            )

    def _clear_failures(self) -> None:
        self.failures = 0
        self.suspect_until_s = float("-inf")
        self.unreachable_until_s = float("-inf")


class PeerLoad:
    """Load that another gateway puts on one server."""

    __slots__ = (
        "outstanding",
        "pace",
        "prefill_pace",
        "prefill_tokens",
        "runs",
        "work_ms",
    )

    def __init__(
        self,
        outstanding: int,
        prefill_tokens: int,
        runs: list[RunSize],
        work_ms: float | None = None,
        pace: PaceReport | None = None,
        prefill_pace: PaceReport | None = None,
    ) -> None:
        self.outstanding = outstanding
        self.prefill_tokens = prefill_tokens
        self.runs = runs
        """Size of each run that decodes on the server or is about to."""
        self.work_ms = work_ms
        """Expected work left of what is outstanding; None if not told."""
        self.pace = pace
        """Pace at plain requests or decoding; None if not reported."""
        self.prefill_pace = prefill_pace


class ServerLoads:
    """Loads of this gateway and its peers, by server identity.

    A server's identity is its instance and start time, so that a restarted
    server begins without load and failures.
    """

    __slots__ = (
        "_loads",
        "_outputs",
        "_peers",
        "_queue_ranks",
        "_queued",
        "_unreachable",
        "decode_rates",
        "limits",
        "pace",
        "refresh",
        "tokens_per_s",
    )

    def __init__(self) -> None:
        self.tokens_per_s = 0.0
        """Output rate of a single run; 0 before the first one has ended."""
        self.limits = ServerLimits()
        self.decode_rates = DecodeRates()
        self.refresh: Callable[[], None] = _no_op
        """Applies pending load notices of peers; called before each read."""
        self.pace: Callable[[str, float], float] = _usual_pace
        """Pace of an engine at decoding, relative to its service."""
        self._loads: dict[str, ServerLoad] = {}
        self._peers: dict[str, tuple[float, dict[str, PeerLoad]]] = {}
        self._queued: dict[str, int] = {}
        self._unreachable: dict[str, frozenset[str]] = {}
        """Servers that each peer reports as unreachable."""
        self._queue_ranks: dict[str, tuple[QueueRanks, float]] = {}
        """Ranks of each peer's first queued generations, and their time."""
        self._outputs: dict[str, dict[str, float]] = {}
        """Mean output tokens by service, for each peer."""

    def of(self, identity: str) -> ServerLoad:
        """Return this gateway's load on a server, created on first use."""
        load = self._loads.get(identity)
        if load is None:
            load = self._loads[identity] = ServerLoad()
        return load

    def usual_prefill_ms_per_token(self, identities: Iterable[str]) -> float:
        """Return the prefill time of a service's engines, without queueing.

        It is that of the fastest engine observed, as the first prompts at an
        engine may have queued behind those of other gateways; 0 before
        ``MIN_PREFILLS`` prompts.
        """
        observed = [
            load
            for identity in identities
            if (load := self._loads.get(identity)) is not None
            and load.prefills
        ]
        if sum(load.prefills for load in observed) < MIN_PREFILLS:
            return 0.0
        return min(load.min_prefill_ms_per_token for load in observed)

    def items(self) -> Iterable[tuple[str, ServerLoad]]:
        """Return this gateway's own load for each server identity."""
        return self._loads.items()

    def update_peer(
        self,
        name: str,
        now_s: float,
        loads: dict[str, PeerLoad],
        queued: int = 0,
        outputs: dict[str, float] | None = None,
        ranks_ms: QueueRanks | None = None,
        unreachable: Iterable[str] = (),
    ) -> None:
        """Replace the recorded state of a peer by its latest load notice.

        ``ranks_ms`` are the queue ranks of its first queued generations; the
        mean ``outputs`` are kept where the notice has none.
        """
        if ranks_ms is None:
            self._queue_ranks.pop(name, None)
        else:
            self._queue_ranks[name] = ranks_ms, now_s
        if outputs:
            self._outputs[name] = outputs
        self._peers[name] = (now_s, loads)
        self.decode_rates.observe(
            name,
            {identity: load.runs for identity, load in loads.items()},
            now_s,
        )
        self._queued[name] = queued
        self._unreachable[name] = frozenset(unreachable)

    def is_suspect(self, identity: str, now_s: float) -> bool:
        """Whether a server is avoided after failures here or at peers.

        Reports of peers count from ``UNREACHABLE_QUORUM`` gateways on, as a
        single one may itself be cut off from the network.
        """
        if self.of(identity).is_suspect(now_s):
            return True
        self.refresh()
        reports = sum(
            identity in servers for servers in self._unreachable.values()
        )
        return reports >= UNREACHABLE_QUORUM

    def unreachable(self, now_s: float) -> list[str]:
        """Return the servers that this gateway itself found unreachable."""
        return [
            identity
            for identity, load in self._loads.items()
            if now_s < load.unreachable_until_s
        ]

    def peer_count(self, now_s: float) -> int:
        """Return the number of peers with a recent load notice."""
        self.refresh()
        self.drop_stale_peers(now_s)
        return len(self._peers)

    def peers_ahead(self, service: str, rank_ms: int, now_s: float) -> int:
        """Return the number of peers whose first generation ranks earlier.

        Generations of other services do not compete for the same memory.
        """
        self.refresh()
        return sum(
            peer_rank_ms - 1_000 * (now_s - received_s) < rank_ms
            for ranks_ms, received_s in self._queue_ranks.values()
            if (peer_rank_ms := ranks_ms.of(service)) is not None
        )

    def mean_output_tokens(self, service: str, own: float) -> float:
        """Return the mean output over this gateway and its peers.

        ``own`` is this gateway's mean; 0 stands for unknown, also in the
        result.
        """
        self.refresh()
        means = [
            outputs[service]
            for outputs in self._outputs.values()
            if service in outputs
        ]
        if own:
            means.append(own)
        return sum(means) / len(means) if means else 0.0

    def queued_at_peers(self) -> int:
        """Return the number of generations queued for memory at peers."""
        self.refresh()
        return sum(self._queued.values())

    def limit_wait_s(self, identity: str, now_s: float) -> float:
        """Return the time until a server's rate limit permits a request."""
        self.refresh()
        return self.limits.wait_s(identity, now_s)

    def outstanding(self, identity: str) -> int:
        """Return the outstanding requests of all gateways at a server."""
        return self.of(identity).outstanding + sum(
            load.outstanding for load in self._peer_loads(identity)
        )

    def prefill_tokens(self, identity: str) -> int:
        """Return the prompt tokens of all gateways queued at a server."""
        return self.of(identity).prefill_tokens + sum(
            load.prefill_tokens for load in self._peer_loads(identity)
        )

    def run_sizes(self, identity: str, now_s: float) -> list[RunSize]:
        """Return the sizes of the runs of all gateways at a server.

        Sizes reported by peers are extrapolated to ``now_s`` at the output
        rate of the engine, or at ``tokens_per_s`` until that is known.
        """
        self.refresh()
        sizes = [run.size for run in self.of(identity).runs]
        rate = self.decode_rates.tokens_per_s(identity) or self.tokens_per_s
        for received_s, loads in self._peers.values():
            load = loads.get(identity)
            if load is not None:
                grown = round(rate * (now_s - received_s))
                sizes += [size.grown(grown) for size in load.runs]
        return sizes

    def predict_peak_tokens(
        self,
        identity: str,
        now_s: float,
        new: Iterable[RunSize] = (),
        limit: float = math.inf,
    ) -> int:
        """Predict the peak memory of a server if the ``new`` runs are added.

        Above ``limit`` the result is a lower bound.
        """
        sizes = [*self.run_sizes(identity, now_s), *new]
        return predict_peak_tokens(sizes, limit=limit)

    def observe_own_runs(self, now_s: float) -> None:
        """Record the progress of this gateway's runs at their engines."""
        runs = {
            identity: [run.size for run in load.runs]
            for identity, load in self._loads.items()
            if load.runs
        }
        self.decode_rates.observe("", runs, now_s)

    def run_count(self, identity: str) -> int:
        """Return the number of runs of all gateways at a server."""
        return len(self.of(identity).runs) + sum(
            len(load.runs) for load in self._peer_loads(identity)
        )

    def retain(self, identities: Iterable[str]) -> None:
        """Drop all other servers that have no outstanding request."""
        kept = set(identities)
        for identity in list(self._loads):
            if identity not in kept and not self._loads[identity].outstanding:
                del self._loads[identity]
        self.limits.retain(kept)
        self.decode_rates.retain(kept)

    def drop_stale_peers(self, now_s: float) -> None:
        """Drop peers without a load notice for ``PEER_TIMEOUT_S``."""
        for name in list(self._peers):
            if now_s - self._peers[name][0] > PEER_TIMEOUT_S:
                del self._peers[name]
                self.decode_rates.forget(name)
                self._queued.pop(name, None)
                self._queue_ranks.pop(name, None)
                self._unreachable.pop(name, None)

    def _peer_loads(self, identity: str) -> list[PeerLoad]:
        self.refresh()
        return [
            loads[identity]
            for _, loads in self._peers.values()
            if identity in loads
        ]


def _no_op() -> None:
    """Do nothing: the default ``refresh`` of a gateway without peers."""


def _usual_pace(identity: str, now_s: float) -> float:
    """Return 1: the default ``pace`` where none is observed."""
    return 1.0


def _moving_average(average: float, observed: float) -> float:
    if not average:
        return observed
    return (1 - EWMA_WEIGHT) * average + EWMA_WEIGHT * observed
