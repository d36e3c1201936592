"""Predicts how much KV cache memory the generations of a decode engine need.

A run is one generation in the batch of a decode engine. All runs of a batch
produce tokens at the same pace, and the length of each output is only
predicted. The memory that an engine needs after a number of further tokens
is therefore a sum of independent terms: for each run, its size at that point
if it is still decoding.

>>> sizes = [RunSize(5_000, 0, 1_000, 8_000), RunSize(6_000, 0, 4_000, 8_000)]
>>> low = predict_peak_tokens(sizes, margin=0.0)
>>> 11_000 < low < predict_peak_tokens(sizes, margin=2.0)
True
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

PREDICTION_LOG_STDDEV: Final = 0.354
"""Standard deviation of the logarithm of actual over predicted output.

In log space, outputs deviate by 0.5 from their mean and client hints by 0.5
from the output. The prediction is the geometric mean of hint and mean, so its
error is half of sqrt(2) times 0.5.
"""
MARGIN_STDDEVS: Final = 1.5
"""Safety margin of the predicted peak, in standard deviations.

The prompt of a preempted generation is prefilled again, which costs more than
admitting one more generation gains.
"""
HINT_WEIGHT: Final = 0.5
"""Weight of the client's length hint against the service mean, in log space.

Hints are right at the median but often far off, so the mix of both predicts
better than either alone.
"""
PEAK_STEPS_TOKENS: Final = (
    800,
    0,
    1_600,
    250,
    500,
    1_200,
    2_000,
    2_600,
    3_200,
    4_000,
)
"""Numbers of further output tokens at which memory is predicted.

Memory changes little around its peak, so a coarse grid is enough. The steps at
which the peak mostly lies come first, so that a prediction above the limit
ends early.
"""
RATIO_RESOLUTION: Final = 32
"""Entries of the survival table per multiple of the predicted output."""
MAX_RATIO: Final = 3
"""Multiple of its prediction that an output hardly ever exceeds."""
MIN_PROBABILITY: Final = 1e-4
"""Lower bound of the survival probability, which is used as a divisor.

Without it the probability of continuing would be undefined for outputs far
beyond their prediction.
"""


def _survival_probability(ratio: float) -> float:
    """Probability that an output exceeds ``ratio`` times its prediction."""
    if ratio <= 0:
        return 1.0
    deviations = math.log(ratio) / PREDICTION_LOG_STDDEV
    probability = 0.5 * math.erfc(deviations / math.sqrt(2))
    return max(probability, MIN_PROBABILITY)


_SURVIVAL: Final = tuple(
    _survival_probability(step / RATIO_RESOLUTION)
    for step in range(MAX_RATIO * RATIO_RESOLUTION + 1)
)
_LAST: Final = len(_SURVIVAL) - 1


class RunSize(NamedTuple):
    """Memory use and predicted output of a run, as gateways exchange it."""

    tokens: int
    """Tokens in the KV cache now: prompt and output."""
    produced: int
    """Output tokens so far; 0 before decoding has started."""
    expected: int
    """Output tokens predicted at the start."""
    max_output: int
    """Upper limit of output tokens."""

    def grown(self, tokens: int) -> RunSize:
        """Return the size after ``tokens`` further output tokens.

        A run that has not started decoding keeps its size.
        """
        if tokens <= 0 or not self.produced:
            return self
        tokens = min(tokens, max(0, self.max_output - self.produced))
        return self._replace(
            tokens=self.tokens + tokens, produced=self.produced + tokens
        )


class Run:
    """A generation that decodes at an engine or is about to start there."""

    __slots__ = ("expected", "max_output", "produced", "prompt_tokens")

    def __init__(
        self,
        prompt_tokens: int,
        expected: int,
        max_output: int | None = None,
    ) -> None:
        self.prompt_tokens = prompt_tokens
        """Tokens in the KV cache before the first output token."""
        self.expected = expected
        """Output tokens predicted at the start."""
        self.max_output = expected if max_output is None else max_output
        self.produced = 0
        """Output tokens so far."""

    @property
    def tokens(self) -> int:
        """Tokens in the KV cache now."""
        return self.prompt_tokens + self.produced

    @property
    def size(self) -> RunSize:
        """Current size, as sent to other gateways."""
        return RunSize(
            self.tokens, self.produced, self.expected, self.max_output
        )


def predict_peak_tokens(
    sizes: Sequence[RunSize],
    margin: float = MARGIN_STDDEVS,
    limit: float = math.inf,
) -> int:
    """Return the peak memory that runs will need, with a safety margin.

    ``margin`` is in standard deviations of the sum. The prediction errors of
    the runs are independent, so their variances add up. The evaluation stops
    once the peak exceeds ``limit``; the result is then a lower bound.
    """
    curves = []
    for tokens, produced, expected, max_output in sizes:
        scale = RATIO_RESOLUTION / max(expected, 1)
        now = _SURVIVAL[min(int(produced * scale), _LAST)]
        left = max(0, max_output - produced)
        curves.append((tokens, produced, scale, now, left))
    peak = 0.0
    for step in PEAK_STEPS_TOKENS:
        mean = variance = 0.0
        for tokens, produced, scale, now, left in curves:
            if step > left:
                continue
            at = int((produced + step) * scale)
            probability = _SURVIVAL[at if at < _LAST else _LAST] / now
            size = tokens + step
            needed = probability * size
            mean += needed
            variance += needed * (size - needed)
        needed = mean + margin * math.sqrt(variance)
        if needed > peak:
            peak = needed
            if peak > limit:
                break
    return math.ceil(peak)


def must_release_reservation(
    sizes: Sequence[RunSize], own: RunSize, kv_tokens: int
) -> bool:
    """Whether to release a reservation that conflicts with concurrent ones.

    Gateways may reserve memory at the same engine before they receive each
    other's load notices. If the predicted peak of ``sizes`` exceeds the
    engine's memory of ``kv_tokens``, only the largest run that has not
    started decoding is placed elsewhere, so that not all of them withdraw.

    >>> small, large = RunSize(5_000, 0, 1, 1), RunSize(6_000, 0, 1, 1)
    >>> sizes = [small, large]
    >>> [must_release_reservation(sizes, own, 10_000) for own in sizes]
    [False, True]
    """
    if len(sizes) < 2 or not kv_tokens:
        return False
    if predict_peak_tokens(sizes, limit=kv_tokens) <= kv_tokens:
        return False
    return own == max(size for size in sizes if not size.produced)


def predict_output_tokens(hint: int, mean: float, max_output: int) -> int:
    """Predict the output tokens of a generation.

    The prediction is the weighted geometric mean of the client's length hint
    and the service's mean output, either of which may be 0 if not known.

    >>> predict_output_tokens(1_000, 4_000, 8_000)
    2000
    >>> predict_output_tokens(0, 0, 8_000)
    8000
    """
    if hint and mean:
        expected = hint**HINT_WEIGHT * mean ** (1 - HINT_WEIGHT)
    else:
        expected = hint or mean or max_output
    return max(1, min(round(expected), max_output))
