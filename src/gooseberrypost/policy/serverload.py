"""Load and health of backend servers, as a gateway itself observes them.

>>> loads = ServerLoads()
>>> load = loads.of("i@0")
>>> load.failed(now_s=1.0)
>>> load.is_suspect(1.1), load.is_suspect(60.0)
(True, False)
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

MIN_SUSPECT_S: Final = 0.5
MAX_SUSPECT_S: Final = 4.0
"""An engine that crashed is back after some seconds."""
SMOOTHING: Final = 0.2
"""Weight of the newest observation in a moving average."""
FULL_S: Final = 0.04
"""Time for which a server that refused for lack of room is avoided."""


class ServerLoad:
    """What one gateway knows of one start of a server."""

    __slots__ = (
        "failures",
        "full_until_s",
        "kv_tokens",
        "outstanding",
        "prefill_ms_per_token",
        "prefill_tokens",
        "service_ms",
        "suspect_until_s",
        "trial_running",
    )

    def __init__(self) -> None:
        self.outstanding = 0
        """Requests sent and not answered."""
        self.prefill_tokens = 0
        """Prompt tokens sent and not known to be read."""
        self.kv_tokens = 0
        """Tokens of memory that running generations may fill."""
        self.service_ms = 0.0
        """Moving average of the time of one request; 0: not known."""
        self.prefill_ms_per_token = 0.0
        """Moving average while no other prompt waited; 0: not known."""
        self.failures = 0
        """Failures in a row."""
        self.suspect_until_s = float("-inf")
        self.full_until_s = float("-inf")
        self.trial_running = False

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

    def refused(self, now_s: float) -> None:
        """Note that the server had no room."""
        self.full_until_s = now_s + FULL_S

    def succeeded(self, service_ms: float) -> None:
        """Note an answer; one answer ends the suspicion."""
        self.failures = 0
        self.suspect_until_s = float("-inf")
        self.service_ms = _average(self.service_ms, service_ms)

    def prefilled(self, tokens: int, took_ms: float, was_alone: bool) -> None:
        """Note the time that a prompt took."""
        self.failures = 0
        self.suspect_until_s = float("-inf")
        if was_alone and tokens:
            self.prefill_ms_per_token = _average(
                self.prefill_ms_per_token, took_ms / tokens
            )


class ServerLoads:
    """Loads by the identity of a server's start."""

    __slots__ = ("_loads",)

    def __init__(self) -> None:
        self._loads: dict[str, ServerLoad] = {}

    def of(self, identity: str) -> ServerLoad:
        """Return the load of a server, new where it was not seen yet."""
        load = self._loads.get(identity)
        if load is None:
            load = self._loads[identity] = ServerLoad()
        return load

    def forget_except(self, identities: Iterable[str]) -> None:
        """Drop servers that are gone and have no request outstanding."""
        kept = set(identities)
        for identity in list(self._loads):
            if identity not in kept and not self._loads[identity].outstanding:
                del self._loads[identity]


def _average(known: float, observed: float) -> float:
    if not known:
        return observed
    return (1 - SMOOTHING) * known + SMOOTHING * observed
