"""Workloads: services, prompts with shared prefixes, and arrivals."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final
from zlib import crc32

from gooseberrypost.bench.engines import GAP_ALONE_MS, GAP_PER_REQUEST_MS

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

SLOTS: Final = 20
HOT_ACCOUNT: Final = "account-0"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One kind of request of a service. Token counts are of the prompt."""

    service: str
    model: str
    share: float
    """Share of the service's requests."""
    prefixes: int
    """Number of shared prefixes; 0: prompts share nothing."""
    prefix_tokens: tuple[int, int]
    own_tokens: tuple[int, int]
    output_mean: int
    max_output: int
    first_token_ms: int
    answer_ms: int = 30_000
    priority: int = 5
    waste_weight: float = 0.5
    max_wait_ms: int = 0


@dataclass(slots=True)
class Offered:
    """A request as a caller sends it, with the truth about its answer."""

    number: int
    arrived: float
    kind: RequestClass
    account: str
    region: int
    prompt: int
    prefix: int
    prefix_tokens: int
    output: int


MANUAL: Final = (
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
COUNTING: Final = (
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
    """Make the requests of one model at the size to design for."""
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


def mean_output(kinds: Sequence[RequestClass]) -> float:
    """Mean output tokens over the classes of a service."""
    total = sum(k.share for k in kinds)
    return sum(k.share * k.output_mean for k in kinds) / total


def capacity_per_s(kinds: Sequence[RequestClass], decode: int) -> float:
    """Requests/s that keep every slot of the decode engines busy."""
    gap_ms = GAP_ALONE_MS + GAP_PER_REQUEST_MS * SLOTS
    return decode * SLOTS * 1_000 / (mean_output(kinds) * gap_ms)


class Generator:
    """Draws requests of a set of classes."""

    __slots__ = ("_accounts", "_kinds", "_number", "_rng", "_sizes")

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
        self._number = first_number
        self._sizes = {
            (index, prefix): rng.randint(*kind.prefix_tokens)
            for index, kind in enumerate(kinds)
            for prefix in range(kind.prefixes)
        }

    def arrivals(
        self,
        rate_per_s: Callable[[float], float],
        peak_per_s: float,
        until: float,
        regions: int = 1,
        account: str = "",
    ) -> list[Offered]:
        """Poisson arrivals with a rate that changes over time (ms)."""
        offered = []
        time = 0.0
        while True:
            time += self._rng.expovariate(peak_per_s / 1_000)
            if time >= until:
                return offered
            if self._rng.random() * peak_per_s < rate_per_s(time):
                offered.append(self._draw(time, regions, account))

    def _draw(self, time: float, regions: int, account: str) -> Offered:
        rng = self._rng
        weights = [k.share for k in self._kinds]
        index = rng.choices(range(len(self._kinds)), weights)[0]
        kind = self._kinds[index]
        prefix, prefix_tokens = self._prefix(index, kind)
        own = _log_uniform(kind.own_tokens, rng)
        self._number += 1
        return Offered(
            self._number,
            time,
            kind,
            account or f"account-{rng.randrange(self._accounts)}",
            rng.randrange(regions),
            prefix_tokens + own,
            prefix,
            prefix_tokens,
            _output(kind, rng),
        )

    def _prefix(self, index: int, kind: RequestClass) -> tuple[int, int]:
        if not kind.prefixes:
            return -1, 0
        # Zipf-like popularity: rank r is asked about 1/r as often.
        rank = int(math.exp(self._rng.random() * math.log(kind.prefixes + 1)))
        prefix = min(kind.prefixes, rank) - 1
        name = _prefix_name(kind, index, prefix)
        return name, self._sizes[index, prefix]

    def prefixes(self) -> list[tuple[str, int, int]]:
        """Model, name and tokens of every shared prefix."""
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


def _output(kind: RequestClass, rng: random.Random) -> int:
    """Log-normal length with the mean of the class, within its limit."""
    sigma = 0.6
    mu = math.log(kind.output_mean) - sigma * sigma / 2
    return max(1, min(kind.max_output, int(rng.lognormvariate(mu, sigma))))
