"""Output length: running estimate of a service's output tokens per answer."""

from __future__ import annotations

from typing import Final

SMOOTHING_FACTOR: Final = 0.02
"""Weight of the newest answer: the mean covers about 50 answers."""
INITIAL_SHARE: Final = 0.5
"""Share of the output limit that is assumed before any answer has ended."""


class OutputLengthEstimate:
    """Exponential moving average of the output tokens of one service.

    >>> estimate = OutputLengthEstimate()
    >>> estimate.expected(1_000)
    500
    >>> estimate.observe(300)
    >>> estimate.expected(1_000)
    300
    """

    __slots__ = ("_mean",)

    def __init__(self) -> None:
        self._mean = 0.0

    def observe(self, tokens: int) -> None:
        """Add the output tokens of a complete answer to the average."""
        if self._mean == 0:
            self._mean = float(tokens)
        else:
            self._mean += SMOOTHING_FACTOR * (tokens - self._mean)

    def expected(self, max_output_tokens: int) -> int:
        """Return the output tokens expected of a request with this limit."""
        if self._mean == 0:
            return max(1, int(max_output_tokens * INITIAL_SHARE))
        return max(1, min(max_output_tokens, int(self._mean)))
