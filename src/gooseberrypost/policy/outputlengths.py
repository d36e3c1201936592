"""Estimates the output length of a service's generations.

The first generations to end after a start are the short ones. Their mean alone
would predict too little memory, so it counts only as far as there are
samples; the length hints of all arriving requests fill the rest.

>>> lengths = OutputLengths()
>>> for _ in range(10):
...     lengths.record_hint(1_000)
>>> lengths.record_output(100)
>>> round(lengths.mean)
957
"""

from __future__ import annotations

from typing import Final

SMOOTHING: Final = 0.05
"""Smallest weight of the latest sample in the moving averages."""
HINT_SAMPLES: Final = 20
"""Number of ended generations that count as much as the hints."""


class OutputLengths:
    """Moving averages of the hints and the outputs of one service."""

    __slots__ = ("_hint", "_hints", "_output", "_outputs")

    def __init__(self) -> None:
        self._hint = 0.0
        self._hints = 0
        self._output = 0.0
        self._outputs = 0

    def record_hint(self, tokens: int) -> None:
        """Record the length hint of a request; 0 if it has none."""
        if tokens:
            self._hints += 1
            weight = max(SMOOTHING, 1 / self._hints)
            self._hint += weight * (tokens - self._hint)

    def record_output(self, tokens: int) -> None:
        """Record the output of a generation that ended."""
        self._outputs += 1
        weight = max(SMOOTHING, 1 / self._outputs)
        self._output += weight * (tokens - self._output)

    @property
    def mean(self) -> float:
        """Estimated mean output in tokens; 0 if nothing is known."""
        if not self._hints:
            return self._output
        total = self._outputs + HINT_SAMPLES
        known = self._outputs * self._output + HINT_SAMPLES * self._hint
        # The hints count less and less, but are never more than a prior.
        return known / total
