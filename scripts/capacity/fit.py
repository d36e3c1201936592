"""Least-squares fit of a fixed part and a slope.

>>> fit = Fit.of([1, 2, 3], [12.0, 14.0, 16.0])
>>> round(fit.fixed, 6), round(fit.slope, 6), round(fit.residual, 6)
(10.0, 2.0, 0.0)
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Self

if TYPE_CHECKING:
    from collections.abc import Sequence


class Fit(NamedTuple):
    """``fixed + slope * size`` and the largest distance from it."""

    fixed: float
    slope: float
    residual: float

    @classmethod
    def of(cls, sizes: Sequence[float], values: Sequence[float]) -> Self:
        """Fit at least two sizes that differ."""
        mean_size = sum(sizes) / len(sizes)
        mean_value = sum(values) / len(values)
        spread = sum((s - mean_size) ** 2 for s in sizes)
        pairs = list(zip(sizes, values, strict=True))
        shared = sum((s - mean_size) * (v - mean_value) for s, v in pairs)
        slope = shared / spread
        fixed = mean_value - slope * mean_size
        residual = max(abs(v - fixed - slope * s) for s, v in pairs)
        return cls(fixed, slope, residual)


def report(
    name: str, unit: str, sizes: Sequence[float], values: Sequence[float]
) -> None:
    """Print what was measured at each size, and the fit."""
    fit = Fit.of(sizes, values)
    points = " ".join(
        f"{s:g}:{v:.4g}" for s, v in zip(sizes, values, strict=True)
    )
    print(
        f"{name} [{unit}] fixed={fit.fixed:.4g} slope={fit.slope:.4g} "
        f"max_residual={fit.residual:.2g} | {points}",
        flush=True,
    )
