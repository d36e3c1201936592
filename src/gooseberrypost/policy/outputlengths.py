"""Estimates the typical output length of a service's generations.

Output lengths are distributed log-normally, so the typical length is their
geometric mean, which is also the median that a length hint aims at.

The first generations to end after a start are the short ones. Alone they
would predict too little memory, so they count only as far as there are
samples; the length hints of all arriving requests fill the rest.

>>> lengths = OutputLengths()
>>> for _ in range(10):
...     lengths.record_hint(1_000)
>>> lengths.record_output(100)
>>> round(lengths.typical)
896
"""

from __future__ import annotations

import math
from typing import Final

SMOOTHING: Final = 0.05
"""Smallest weight of the latest sample in the moving averages."""
HINT_SAMPLES: Final = 20
"""Number of ended generations that count as much as the hints."""


class OutputLengths:
    """Moving averages of the logarithms of one service's hints and outputs."""

    __slots__ = ("_hints", "_log_hint", "_log_output", "_outputs")

    def __init__(self) -> None:
        self._log_hint = 0.0
        self._hints = 0
        self._log_output = 0.0
        self._outputs = 0

    def record_hint(self, tokens: int) -> None:
        """Record the length hint of a request; 0 if it has none."""
        if tokens > 0:
            self._hints += 1
            weight = max(SMOOTHING, 1 / self._hints)
            self._log_hint += weight * (math.log(tokens) - self._log_hint)

    def record_output(self, tokens: int) -> None:
        """Record the output of a generation that ended."""
        if tokens > 0:
            self._outputs += 1
            weight = max(SMOOTHING, 1 / self._outputs)
            self._log_output += weight * (math.log(tokens) - self._log_output)

    @property
    def typical(self) -> float:
        """Estimated median output in tokens; 0 if nothing is known."""
        hint_samples = HINT_SAMPLES if self._hints else 0
        total = self._outputs + hint_samples
        if not total:
            return 0.0
        return math.exp(
            (self._outputs * self._log_output + hint_samples * self._log_hint)
            / total
        )
