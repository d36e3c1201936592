"""Memory of a decode engine: what its generations will need, and when.

Generations that run in one batch grow at the same pace and end one after the
other, so that the most memory is needed at one of their ends and not when
all have their final size.

>>> runs = [Run(tokens=5_000, remaining=1_000), Run(6_000, 4_000)]
>>> peak_tokens(runs)
13000
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

OVERDUE_SHARE: Final = 0.3
"""Share of its output that a generation beyond its estimate still adds."""
ESTIMATE_ERROR: Final = 0.33
"""Standard deviation of the logarithm of an output against its estimate."""
MARGIN: Final = 1.5
"""Standard deviations kept free. A preempted generation is read again, which
costs more than the generation that was squeezed in is worth."""
HINT_WEIGHT: Final = 0.5
"""Weight of a client's estimate against the mean of the service, in logs.

Estimates are right at the median and often far off, so that neither alone is
the best prediction.
"""


class Run:
    """One generation at an engine, or one that is about to start there."""

    __slots__ = ("expected", "max_output", "produced", "prompt")

    def __init__(
        self,
        tokens: int,
        remaining: int,
        max_output: int | None = None,
    ) -> None:
        self.prompt = tokens
        """Tokens in memory at the start."""
        self.expected = remaining
        """Output tokens expected at the start."""
        self.max_output = remaining if max_output is None else max_output
        self.produced = 0
        """Output tokens so far."""

    @property
    def tokens(self) -> int:
        """Tokens in memory now."""
        return self.prompt + self.produced

    @property
    def remaining(self) -> int:
        """Tokens that are expected to be added."""
        left = self.expected - self.produced
        if left <= 0:
            left = round(OVERDUE_SHARE * self.produced)
        return max(0, min(left, self.max_output - self.produced))


def peak_tokens(runs: Iterable[Run]) -> int:
    """Most memory in tokens that runs need until the last has ended."""
    return peak_of([(run.remaining, run.tokens) for run in runs])


def peak_of(sizes: list[tuple[int, int]]) -> int:
    """Most memory of runs given as remaining and present tokens."""
    sizes = sorted(sizes)
    present = sum(tokens for _, tokens in sizes)
    peak = present
    for ended, (remaining, tokens) in enumerate(sizes):
        running = len(sizes) - ended
        peak = max(peak, present + running * remaining)
        present -= tokens
    return peak


def safe_peak_of(sizes: list[tuple[int, int]]) -> int:
    """Peak of runs with a margin for the errors of their estimates.

    The errors are independent, so that their sum grows with the root of the
    sum of their squares: relatively, few large runs need more margin.
    """
    spread = math.sqrt(sum(remaining**2 for remaining, _ in sizes))
    return peak_of(sizes) + round(MARGIN * ESTIMATE_ERROR * spread)


def expected_output(hint: int, mean: float, max_output: int) -> int:
    """Output tokens to plan with, from a client's estimate and the mean.

    >>> expected_output(1_000, 4_000, 8_000), expected_output(0, 0, 8_000)
    (2000, 8000)
    """
    if hint and mean:
        expected = hint**HINT_WEIGHT * mean ** (1 - HINT_WEIGHT)
    else:
        expected = hint or mean or max_output
    return max(1, min(round(expected), max_output))
