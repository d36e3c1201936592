"""Demand of a service: how long its answers have been lately."""

from __future__ import annotations

from typing import Final

WEIGHT: Final = 0.02
"""Weight of the newest answer: the mean follows about 50 answers."""
UNKNOWN_SHARE: Final = 0.5
"""Share of the longest answer assumed before any has ended."""


class OutputEstimate:
    """Mean output of the answers of one service.

    >>> estimate = OutputEstimate()
    >>> estimate.expected(1_000)
    500
    >>> estimate.note(300)
    >>> estimate.expected(1_000)
    300
    """

    __slots__ = ("_mean",)

    def __init__(self) -> None:
        self._mean = 0.0

    def note(self, tokens: int) -> None:
        """Count the output tokens of a whole answer."""
        if self._mean == 0:
            self._mean = float(tokens)
        else:
            self._mean += WEIGHT * (tokens - self._mean)

    def expected(self, max_output_tokens: int) -> int:
        """Expect this many tokens of a request with the given limit."""
        if self._mean == 0:
            return max(1, int(max_output_tokens * UNKNOWN_SHARE))
        return max(1, min(max_output_tokens, int(self._mean)))
