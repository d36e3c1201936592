"""Linear least-squares fit.

>>> fit = LinearFit.of([1, 2, 3], [12.0, 14.0, 16.0])
>>> round(fit.intercept, 6), round(fit.slope, 6), round(fit.max_residual, 6)
(10.0, 2.0, 0.0)
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Self

if TYPE_CHECKING:
    from collections.abc import Sequence


class LinearFit(NamedTuple):
    """Line ``intercept + slope * size`` and the largest absolute residual."""

    intercept: float
    slope: float
    max_residual: float

    @classmethod
    def of(cls, sizes: Sequence[float], values: Sequence[float]) -> Self:
        """Fit a line to the values at two or more different sizes."""
        mean_size = sum(sizes) / len(sizes)
        mean_value = sum(values) / len(values)
        sum_of_squares = sum((s - mean_size) ** 2 for s in sizes)
        pairs = list(zip(sizes, values, strict=True))
        sum_of_products = sum(
            (s - mean_size) * (v - mean_value) for s, v in pairs
        )
        slope = sum_of_products / sum_of_squares
        intercept = mean_value - slope * mean_size
        max_residual = max(abs(v - intercept - slope * s) for s, v in pairs)
        return cls(intercept, slope, max_residual)


def print_fit(
    name: str, unit: str, sizes: Sequence[float], values: Sequence[float]
) -> None:
    """Print the fit and the value measured at each size.

    The intercept is printed as ``fixed``.
    """
    fit = LinearFit.of(sizes, values)
    samples = " ".join(
        f"{s:g}:{v:.4g}" for s, v in zip(sizes, values, strict=True)
    )
    print(
        f"{name} [{unit}] fixed={fit.intercept:.4g} slope={fit.slope:.4g} "
        f"max_residual={fit.max_residual:.2g} | {samples}",
        flush=True,
    )
