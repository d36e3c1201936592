"""Workloads: request classes with shared prefixes, and arrivals."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final
from zlib import crc32

from gooseberrypost.bench.engines import (
    BASE_TOKEN_GAP_MS,
    TOKEN_GAP_PER_REQUEST_MS,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

SLOTS_PER_ENGINE: Final = 20
"""Decode slots per engine."""
NOISY_ACCOUNT: Final = "account-0"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """Distribution and targets of one class of requests of a service.

    ``prefix_tokens`` and ``unique_tokens`` are the ranges of the lengths of
    the shared prefix and of the rest of the prompt.
    """

    service: str
    model: str
    share: float
    """Share of the service's requests."""
    prefixes: int
    """Number of shared prefixes; 0 if prompts share no prefix."""
    prefix_tokens: tuple[int, int]
    unique_tokens: tuple[int, int]
    mean_output_tokens: int
    max_output_tokens: int
    first_token_ms: int
    """Target for the first token, relative to arrival."""
    answer_ms: int = 30_000
    """Deadline of the whole answer, relative to arrival."""
    priority: int = 5
    waste_weight: float = 0.5
    max_wait_ms: int = 0
    """Longest acceptable wait for the first token; 0 if it cannot wait."""


@dataclass(slots=True)
class OfferedRequest:
    """A request of the offered load.

    ``output_tokens`` is the actual length of the answer, which the policies
    do not see.
    """

    number: int
    arrived_ms: float
    kind: RequestClass
    account: str
    region: int
    prompt_tokens: int
    prefix: int
    prefix_tokens: int
    output_tokens: int


MANUAL_CLASSES: Final = (
    RequestClass(
        "manual-llm",
        "manual",
        1.0,
        40,
        (3_000, 16_000),
        (200, 2_000),
        340,
        1_024,
        1_000,
        waste_weight=0.2,
    ),
)
COUNTING_CLASSES: Final = (
    RequestClass(
        "counting-llm",
        "counting",
        0.7,
        12,
        (1_500, 4_000),
        (1_000, 5_000),
        300,
        768,
        1_200,
        waste_weight=0.9,
    ),
    RequestClass(
        "counting-llm",
        "counting",
        0.3,
        0,
        (0, 0),
        (300, 1_200),
        80,
        256,
        2_000,
        priority=8,
        waste_weight=0.9,
        max_wait_ms=8_000,
    ),
)


def fleet_class(model: int) -> RequestClass:
    """Return the request class of one model in the design-target fleet."""
    return RequestClass(
        "fleet-llm",
        f"model-{model}",
        1.0,
        60,
        (500, 12_000),
        (20, 2_500),
        344,
        1_024,
        480,
    )


def mean_output_tokens(kinds: Sequence[RequestClass]) -> float:
    """Return the mean number of output tokens over request classes."""
    total = sum(k.share for k in kinds)
    return sum(k.share * k.mean_output_tokens for k in kinds) / total


def decode_capacity_per_s(kinds: Sequence[RequestClass], decode: int) -> float:
    """Return the request rate that occupies every slot of the engines."""
    gap_ms = BASE_TOKEN_GAP_MS + TOKEN_GAP_PER_REQUEST_MS * SLOTS_PER_ENGINE
    return (
        decode
        * SLOTS_PER_ENGINE
        * 1_000
        / (mean_output_tokens(kinds) * gap_ms)
    )


class RequestGenerator:
    """Generates random requests of a set of classes."""

    __slots__ = ("_accounts", "_kinds", "_last_number", "_rng", "_sizes")

    def __init__(
        self,
        kinds: Sequence[RequestClass],
        accounts: int,
        rng: random.Random,
        first_number: int = 0,
    ) -> None:
        self._kinds = list(kinds)
        self._accounts = accounts
        self._rng = rng
        self._last_number = first_number
        self._sizes = {
            (index, prefix): rng.randint(*kind.prefix_tokens)
            for index, kind in enumerate(kinds)
            for prefix in range(kind.prefixes)
        }

    def arrivals(
        self,
        rate_per_s: Callable[[float], float],
        peak_per_s: float,
        until_ms: float,
        regions: int = 1,
        account: str = "",
    ) -> list[OfferedRequest]:
        """Generate Poisson arrivals with a time-dependent rate.

        ``rate_per_s`` maps a time in ms to a rate, at most ``peak_per_s``.
        """
        offered = []
        time_ms = 0.0
        while True:
            time_ms += self._rng.expovariate(peak_per_s / 1_000)
            if time_ms >= until_ms:
                return offered
            if self._rng.random() * peak_per_s < rate_per_s(time_ms):
                offered.append(self._draw(time_ms, regions, account))

    def _draw(
        self, time_ms: float, regions: int, account: str
    ) -> OfferedRequest:
        rng = self._rng
        weights = [k.share for k in self._kinds]
        index = rng.choices(range(len(self._kinds)), weights)[0]
        kind = self._kinds[index]
        prefix, prefix_tokens = self._prefix(index, kind)
        unique = _log_uniform(kind.unique_tokens, rng)
        self._last_number += 1
        return OfferedRequest(
            self._last_number,
            time_ms,
            kind,
            account or f"account-{rng.randrange(self._accounts)}",
            rng.randrange(regions),
            prefix_tokens + unique,
            prefix,
            prefix_tokens,
            _output_tokens(kind, rng),
        )

    def _prefix(self, index: int, kind: RequestClass) -> tuple[int, int]:
        if not kind.prefixes:
            return -1, 0
        # Zipf-like popularity: rank r is requested about 1/r as often.
        rank = int(math.exp(self._rng.random() * math.log(kind.prefixes + 1)))
        prefix = min(kind.prefixes, rank) - 1
        name = _prefix_name(kind, index, prefix)
        return name, self._sizes[index, prefix]

    def prefixes(self) -> list[tuple[str, int, int]]:
        """Return the model, id and token count of every shared prefix."""
        return [
            (
                self._kinds[index].model,
                _prefix_name(self._kinds[index], index, prefix),
                tokens,
            )
            for (index, prefix), tokens in self._sizes.items()
        ]


def _prefix_name(kind: RequestClass, index: int, prefix: int) -> int:
    return crc32(f"{kind.model}:{index}:{prefix}".encode())


def _log_uniform(bounds: tuple[int, int], rng: random.Random) -> int:
    low, high = bounds
    return int(math.exp(rng.uniform(math.log(low), math.log(high))))


def _output_tokens(kind: RequestClass, rng: random.Random) -> int:
    """Draw a log-normal length around the class mean, within its limit."""
    sigma = 0.6
    mu = math.log(kind.mean_output_tokens) - sigma * sigma / 2
    return max(
        1, min(kind.max_output_tokens, int(rng.lognormvariate(mu, sigma)))
    )
