"""Load and health of backend servers, as a gateway itself observes them.

>>> loads = ServerLoads()
>>> load = loads.of("i@0")
>>> load.failed(now_s=1.0)
>>> load.is_suspect(1.1), load.is_suspect(60.0)
(True, False)
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from gooseberrypost.policy.enginememory import RunSize, safe_peak

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from gooseberrypost.policy.enginememory import Run

MIN_SUSPECT_S: Final = 0.5
MAX_SUSPECT_S: Final = 4.0
"""An engine that crashed is back after some seconds."""
SMOOTHING: Final = 0.2
"""Weight of the newest observation in a moving average."""
WITNESSES: Final = 2
"""Other gateways that must have found a server gone to avoid it here."""
LEAST_DECAY: Final = 1.02
"""Factor by which the least time rises with each observation, so that an
engine that turned slow is known as slow after some tens of prompts."""
PEER_SILENT_S: Final = 1.0
"""Time after which a gateway's loads are dropped; engines stop a request when
its connection is lost, so a gateway that ended leaves nothing behind."""
FULL_S: Final = 0.04
"""Time for which a server that refused for lack of room is avoided."""


class ServerLoad:
    """What one gateway knows of one start of a server."""

    __slots__ = (
        "failures",
        "full_until_s",
        "gone_until_s",
        "least_prefill_ms_per_token",
        "outstanding",
        "prefill_ms_per_token",
        "prefill_tokens",
        "runs",
        "service_ms",
        "suspect_until_s",
    )

    def __init__(self) -> None:
        self.outstanding = 0
        """Requests sent and not answered."""
        self.prefill_tokens = 0
        """Prompt tokens sent and not known to be read."""
        self.runs: set[Run] = set()
        """Generations that decode there, or are about to."""
        self.service_ms = 0.0
        """Moving average of the time of one request; 0: not known."""
        self.prefill_ms_per_token = 0.0
        """Moving average over a prompt and those before it; 0: not known."""
        self.least_prefill_ms_per_token = 0.0
        """Time without waiting, from the fastest of late; 0: not known."""
        self.failures = 0
        """Failures in a row."""
        self.suspect_until_s = float("-inf")
        self.full_until_s = float("-inf")
        self.gone_until_s = float("-inf")
        """Until when other gateways are told that nothing answers there."""

    def is_suspect(self, now_s: float) -> bool:
        """Whether the server is avoided after failures."""
        return now_s < self.suspect_until_s

    def is_full(self, now_s: float) -> bool:
        """Whether the server refused a request a moment ago."""
        return now_s < self.full_until_s

    def failed(self, now_s: float) -> None:
        """Note a lost answer or connection; doubles the time of suspicion."""
        self.failures += 1
        period_s = min(
            MIN_SUSPECT_S * 2 ** min(self.failures - 1, 8), MAX_SUSPECT_S
        )
        self.suspect_until_s = now_s + period_s

    def unreachable(self, now_s: float) -> None:
        """Note that no server of this identity is at the address."""
        self.failed(now_s)
        self.gone_until_s = self.suspect_until_s

    def refused(self, now_s: float) -> None:
        """Note that the server had no room."""
        self.full_until_s = now_s + FULL_S

    def succeeded(self, service_ms: float) -> None:
        """Note an answer; one answer ends the suspicion."""
        self._sound()
        self.service_ms = _average(self.service_ms, service_ms)

    def prefilled(self, tokens: int, took_ms: float) -> None:
        """Note the time of a prompt and of those before it, in tokens."""
        self._sound()
        if tokens:
            observed = took_ms / tokens
            self.prefill_ms_per_token = _average(
                self.prefill_ms_per_token, observed
            )
            least = self.least_prefill_ms_per_token * LEAST_DECAY
            self.least_prefill_ms_per_token = (
                min(least, observed) if least else observed
            )

    def _sound(self) -> None:
        self.failures = 0
        self.suspect_until_s = float("-inf")
        self.gone_until_s = float("-inf")


class PeerLoad:
    """Load that another gateway puts on one server."""

    __slots__ = ("outstanding", "prefill_tokens", "runs")

    def __init__(
        self,
        outstanding: int,
        prefill_tokens: int,
        runs: list[RunSize],
    ) -> None:
        self.outstanding = outstanding
        self.prefill_tokens = prefill_tokens
        self.runs = runs
        """Size of each generation that decodes there."""


class ServerLoads:
    """Loads by the identity of a server's start, with those of the peers."""

    __slots__ = (
        "_gone",
        "_loads",
        "_outputs",
        "_peers",
        "_turns",
        "_waiting",
        "refresh",
        "tokens_per_s",
    )

    def __init__(self) -> None:
        self.tokens_per_s = 0.0
        """Output of a generation; 0 before the first one has ended."""
        self.refresh: Callable[[], None] = _nothing
        """Takes what other gateways have sent; called before each reading."""
        self._loads: dict[str, ServerLoad] = {}
        self._peers: dict[str, tuple[float, dict[str, PeerLoad]]] = {}
        self._waiting: dict[str, int] = {}
        self._gone: dict[str, frozenset[str]] = {}
        """Servers that each gateway has found gone."""
        self._turns: dict[str, tuple[int, float]] = {}
        """Turn of each gateway's first waiting generation, and when."""
        self._outputs: dict[str, dict[str, float]] = {}
        """Mean outputs by service, of each gateway that was heard of."""

    def of(self, identity: str) -> ServerLoad:
        """Return the load of a server, new where it was not seen yet."""
        load = self._loads.get(identity)
        if load is None:
            load = self._loads[identity] = ServerLoad()
        return load

    def items(self) -> Iterable[tuple[str, ServerLoad]]:
        """Return this gateway's own loads."""
        return self._loads.items()

    def note_peer(
        self,
        name: str,
        now_s: float,
        loads: dict[str, PeerLoad],
        waiting: int = 0,
        outputs: dict[str, float] | None = None,
        turn_ms: int | None = None,
        gone: Iterable[str] = (),
    ) -> None:
        """Take the loads that another gateway reports of itself."""
        if turn_ms is None:
            self._turns.pop(name, None)
        else:
            self._turns[name] = turn_ms, now_s
        if outputs:
            self._outputs[name] = outputs
        self._peers[name] = (now_s, loads)
        self._waiting[name] = waiting
        self._gone[name] = frozenset(gone)

    def is_suspect(self, identity: str, now_s: float) -> bool:
        """Whether a server is avoided, as seen here or by other gateways.

        One gateway alone may be cut off itself, so that ``WITNESSES`` count.
        """
        if self.of(identity).is_suspect(now_s):
            return True
        self.refresh()
        found = sum(identity in gone for gone in self._gone.values())
        return found >= WITNESSES

    def gone(self, now_s: float) -> list[str]:
        """Return the servers that this gateway has found gone itself."""
        return [
            identity
            for identity, load in self._loads.items()
            if now_s < load.gone_until_s
        ]

    def peers(self, now_s: float) -> int:
        """Return the number of other gateways heard of lately."""
        self.refresh()
        self.forget_silent(now_s)
        return len(self._peers)

    def before(self, turn_ms: int, now_s: float) -> int:
        """Return the gateways whose generations have an earlier turn."""
        self.refresh()
        return sum(
            theirs - 1_000 * (now_s - since_s) < turn_ms
            for theirs, since_s in self._turns.values()
        )

    def mean_with_peers(self, service: str, own: float) -> float:
        """Return the mean of the gateways' mean outputs; 0: not known."""
        self.refresh()
        means = [
            outputs[service]
            for outputs in self._outputs.values()
            if service in outputs
        ]
        if own:
            means.append(own)
        return sum(means) / len(means) if means else 0.0

    def waiting_at_peers(self) -> int:
        """Return the generations that wait for room at other gateways."""
        self.refresh()
        return sum(self._waiting.values())

    def outstanding(self, identity: str) -> int:
        """Return the requests of all gateways at a server."""
        return self.of(identity).outstanding + sum(
            load.outstanding for load in self._of_peers(identity)
        )

    def prefill_tokens(self, identity: str) -> int:
        """Return the prompt tokens that a server has not read yet."""
        return self.of(identity).prefill_tokens + sum(
            load.prefill_tokens for load in self._of_peers(identity)
        )

    def run_sizes(self, identity: str, now_s: float) -> list[RunSize]:
        """Return the generations of all gateways at a server.

        Those of other gateways have grown since they were heard of.
        """
        self.refresh()
        sizes = [run.size for run in self.of(identity).runs]
        for heard_s, loads in self._peers.values():
            load = loads.get(identity)
            if load is not None:
                grown = round(self.tokens_per_s * (now_s - heard_s))
                sizes += [size.grown(grown) for size in load.runs]
        return sizes

    def peak_with(
        self,
        identity: str,
        now_s: float,
        new: Iterable[RunSize] = (),
        limit: float = math.inf,
    ) -> int:
        """Return the memory a server will need with further generations.

        Above ``limit`` the result is only known to be at least as high.
        """
        sizes = [*self.run_sizes(identity, now_s), *new]
        return safe_peak(sizes, limit=limit)

    def run_count(self, identity: str) -> int:
        """Return the generations of all gateways at a server."""
        return len(self.of(identity).runs) + sum(
            len(load.runs) for load in self._of_peers(identity)
        )

    def forget_except(self, identities: Iterable[str]) -> None:
        """Drop servers that are gone and have no request outstanding."""
        kept = set(identities)
        for identity in list(self._loads):
            if identity not in kept and not self._loads[identity].outstanding:
                del self._loads[identity]

    def forget_silent(self, now_s: float) -> None:
        """Drop the loads of gateways that were not heard of lately."""
        for name in list(self._peers):
            if now_s - self._peers[name][0] > PEER_SILENT_S:
                del self._peers[name]
                self._waiting.pop(name, None)
                self._turns.pop(name, None)
                self._gone.pop(name, None)

    def _of_peers(self, identity: str) -> list[PeerLoad]:
        self.refresh()
        return [
            loads[identity]
            for _, loads in self._peers.values()
            if identity in loads
        ]


def _nothing() -> None:
    """Stand for a gateway without others."""


def _average(known: float, observed: float) -> float:
    if not known:
        return observed
    return (1 - SMOOTHING) * known + SMOOTHING * observed
