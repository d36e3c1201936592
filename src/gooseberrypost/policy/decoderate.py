"""Output rate of each decode engine, as the runs of all gateways show it.

Load notices state how many tokens each run has produced. Two notices that
list the same run give the rate of its engine, so that a gateway knows the
engines at which it has no run of its own.

>>> rates = DecodeRates()
>>> early = RunSize(5_000, 100, 900, 9_000)
>>> late = RunSize(5_400, 500, 900, 9_000)
>>> rates.observe("other", {"e@1": [early]}, now_s=10.0)
>>> rates.observe("other", {"e@1": [late]}, now_s=10.5)
>>> rates.tokens_per_s("e@1")
800.0
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from gooseberrypost.policy.enginememory import RunSize

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping, Sequence

MIN_SPAN_S: Final = 0.25
"""Shortest time between two sizes of a run that show its rate.

A single event holds many tokens, so shorter spans measure the events.
"""
SMOOTHING: Final = 0.2
"""Weight of the latest rate in an engine's moving average."""

RunKey = tuple[str, str, int, int, int]
"""Gateway, engine, prompt tokens, expected and maximum output of a run."""


class DecodeRates:
    """Output rate of a run by engine, in tokens per second."""

    __slots__ = ("_anchors", "_rates")

    def __init__(self) -> None:
        self._anchors: dict[str, dict[RunKey, tuple[float, int]]] = {}
        """Time and output at which each run of a gateway was last sampled."""
        self._rates: dict[str, float] = {}

    def observe(
        self, name: str, runs: Mapping[str, Sequence[RunSize]], now_s: float
    ) -> None:
        """Record the runs that a gateway lists, by engine."""
        before = self._anchors.get(name, {})
        anchors: dict[RunKey, tuple[float, int]] = {}
        for identity, sizes in runs.items():
            for size in sizes:
                if not size.produced:
                    continue
                prompt = size.tokens - size.produced
                key = (name, identity, prompt, size.expected, size.max_output)
                since_s, produced = before.get(key, (now_s, size.produced))
                if now_s - since_s >= MIN_SPAN_S:
                    rate = (size.produced - produced) / (now_s - since_s)
                    self._record(identity, rate)
                    since_s, produced = now_s, size.produced
                anchors[key] = since_s, produced
        self._anchors[name] = anchors

    def forget(self, name: str) -> None:
        """Drop the runs of a gateway that has ended."""
        self._anchors.pop(name, None)

    def retain(self, identities: Collection[str]) -> None:
        """Drop all other engines."""
        for identity in self._rates.keys() - set(identities):
            del self._rates[identity]

    def tokens_per_s(self, identity: str) -> float:
        """Return the rate of a run at an engine; 0 if it is not known."""
        return self._rates.get(identity, 0.0)

    def fastest(self, identities: Iterable[str]) -> float:
        """Return the highest rate of several engines; 0 if none is known."""
        return max(map(self.tokens_per_s, identities), default=0.0)

    def _record(self, identity: str, rate: float) -> None:
        if rate <= 0:
            return
        mean = self._rates.get(identity, rate)
        self._rates[identity] = mean + SMOOTHING * (rate - mean)
