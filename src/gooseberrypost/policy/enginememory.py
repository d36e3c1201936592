"""Memory of a decode engine: what its generations will need, and when.

Generations of one batch grow at the same pace, and each ends at a length that
is only estimated. The memory that an engine needs after so many further
tokens is therefore a sum of independent terms: the size that a generation
has by then, if it still runs.

>>> sizes = [RunSize(5_000, 0, 1_000, 8_000), RunSize(6_000, 0, 4_000, 8_000)]
>>> 11_000 < safe_peak(sizes, margin=0.0) < safe_peak(sizes, margin=2.0)
True
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

ESTIMATE_ERROR: Final = 0.354
"""Standard deviation of the logarithm of an output against its estimate.

Outputs vary by 0.5 around their mean and clients' estimates by 0.5 around the
output; the mean of both is off by half of the root of two times that.
"""
MARGIN: Final = 1.5
"""Standard deviations of the needed memory that are kept free.

A preempted generation is read again, which costs more than the generation
that was squeezed in is worth.
"""
HINT_WEIGHT: Final = 0.5
"""Weight of a client's estimate against the mean of the service, in logs.

Estimates are right at the median and often far off, so that neither alone is
the best prediction.
"""
STEPS: Final = (800, 0, 1_600, 250, 500, 1_200, 2_000, 2_600, 3_200, 4_000)
"""Further output tokens at which the memory is predicted; the peak is flat.

Those at which the peak mostly lies come first, as a limit is often exceeded.
"""
RATIO_STEPS: Final = 32
"""Resolution of the table of lengths, per multiple of the estimate."""
MAX_RATIO: Final = 3
"""Multiple of its estimate that an output hardly ever exceeds."""
LEAST_CHANCE: Final = 1e-4
"""Keeps the chance of going on defined for outputs far beyond the estimate."""


def _chance_of_exceeding(ratio: float) -> float:
    """Chance that an output is longer than a multiple of its estimate."""
    if ratio <= 0:
        return 1.0
    deviations = math.log(ratio) / ESTIMATE_ERROR
    chance = 0.5 * math.erfc(deviations / math.sqrt(2))
    return max(chance, LEAST_CHANCE)


_CHANCES: Final = tuple(
    _chance_of_exceeding(step / RATIO_STEPS)
    for step in range(MAX_RATIO * RATIO_STEPS + 1)
)
_LAST: Final = len(_CHANCES) - 1


class RunSize(NamedTuple):
    """Size of a generation as gateways tell each other."""

    tokens: int
    """Tokens in memory now."""
    produced: int
    """Output tokens so far."""
    expected: int
    """Output tokens expected at the start."""
    max_output: int
    """Output tokens at most."""

    def grown(self, tokens: int) -> RunSize:
        """Return the size after further tokens; one not begun stays."""
        if tokens <= 0 or not self.produced:
            return self
        tokens = min(tokens, max(0, self.max_output - self.produced))
        return self._replace(
            tokens=self.tokens + tokens, produced=self.produced + tokens
        )


class Run:
    """One generation at an engine, or one that is about to start there."""

    __slots__ = ("expected", "max_output", "produced", "prompt")

    def __init__(
        self,
        tokens: int,
        expected: int,
        max_output: int | None = None,
    ) -> None:
        self.prompt = tokens
        """Tokens in memory at the start."""
        self.expected = expected
        """Output tokens expected at the start."""
        self.max_output = expected if max_output is None else max_output
        self.produced = 0
        """Output tokens so far."""

    @property
    def tokens(self) -> int:
        """Tokens in memory now."""
        return self.prompt + self.produced

    @property
    def size(self) -> RunSize:
        """Size at this moment."""
        return RunSize(
            self.tokens, self.produced, self.expected, self.max_output
        )


def safe_peak(
    sizes: Sequence[RunSize],
    margin: float = MARGIN,
    limit: float = math.inf,
) -> int:
    """Return the most memory that generations need, with a margin.

    The errors of the estimates are independent, so that the margin grows
    with the root of the sum of their squares. Above ``limit`` it is enough
    to know that the peak is no lower than what is returned.
    """
    curves = []
    for tokens, produced, expected, max_output in sizes:
        scale = RATIO_STEPS / max(expected, 1)
        now = _CHANCES[min(int(produced * scale), _LAST)]
        left = max(0, max_output - produced)
        curves.append((tokens, produced, scale, now, left))
    peak = 0.0
    for step in STEPS:
        mean = variance = 0.0
        for tokens, produced, scale, now, left in curves:
            if step > left:
                continue
            at = int((produced + step) * scale)
            chance = _CHANCES[at if at < _LAST else _LAST] / now
            size = tokens + step
            needed = chance * size
            mean += needed
            variance += needed * (size - needed)
        needed = mean + margin * math.sqrt(variance)
        if needed > peak:
            peak = needed
            if peak > limit:
                break
    return math.ceil(peak)


def must_yield(sizes: Sequence[RunSize], own: RunSize, kv_tokens: int) -> bool:
    """Whether a reservation is given back, as others took the same room.

    Gateways reserve at the same engine before they hear of each other. Of
    the generations that have not begun the largest goes elsewhere, so that
    not all of them do.

    >>> small, large = RunSize(5_000, 0, 1, 1), RunSize(6_000, 0, 1, 1)
    >>> [must_yield([small, large], own, 10_000) for own in (small, large)]
    [False, True]
    """
    if len(sizes) < 2 or not kv_tokens:
        return False
    if safe_peak(sizes, limit=kv_tokens) <= kv_tokens:
        return False
    return own == max(size for size in sizes if not size.produced)


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
