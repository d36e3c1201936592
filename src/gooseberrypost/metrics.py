"""Counters and HDR histograms, exported as Prometheus text.

>>> metrics = Metrics()
>>> metrics.count("requests_total", outcome="completed")
>>> print(metrics.render(), end="")
# TYPE gooseberrypost_requests_total counter
gooseberrypost_requests_total{outcome="completed"} 1
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from collections.abc import Iterator

PREFIX: Final = "gooseberrypost_"
MAX_RECORDED_VALUE: Final = 3_600_000
"""Upper bound of histogram values; one hour if the unit is milliseconds."""
SIGNIFICANT_DIGITS: Final = 2
MAX_SERIES: Final = 1_000
"""Limit on series, separately for counters, gauges and histograms.

Further series are dropped, so that label values that callers choose cannot
exhaust the memory.
"""
QUANTILES: Final = (0.5, 0.95, 0.99, 0.999)

OTHER: Final = "other"
"""Label value that stands for all names beyond a limit."""

Series = tuple[str, tuple[tuple[str, str], ...]]


def _escape(value: str) -> str:
    escaped = value.replace("\\", r"\\").replace('"', r"\"")
    return escaped.replace("\n", r"\n")


def _format_series(name: str, labels: tuple[tuple[str, str], ...]) -> str:
    if not labels:
        return PREFIX + name
    pairs = ",".join(f'{key}="{_escape(value)}"' for key, value in labels)
    return f"{PREFIX}{name}{{{pairs}}}"


class LabelNames:
    """Names used as values of a label; those beyond a limit share one.

    >>> names = LabelNames(1)
    >>> names.label("desk"), names.label("kiosk"), names.label("desk")
    ('desk', 'other', 'desk')
    """

    __slots__ = ("_limit", "_names")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._names: set[str] = set()

    def label(self, name: str) -> str:
        """Return the value for a name; the first names keep their own."""
        if name not in self._names:
            if len(self._names) >= self._limit:
                return OTHER
            self._names.add(name)
        return name


class Metrics:
    """Counters, gauges and histograms of one process."""

    __slots__ = ("_counters", "_gauges", "_histograms")

    def __init__(self) -> None:
        self._counters: dict[Series, int] = {}
        self._gauges: dict[Series, float] = {}
        self._histograms: dict[Series, HdrHistogram] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Increment a counter; its name ends in ``_total``."""
        series = (name, tuple(sorted(labels.items())))
        if series in self._counters or len(self._counters) < MAX_SERIES:
            self._counters[series] = self._counters.get(series, 0) + amount

    def value(self, name: str, **labels: str) -> int:
        """Return the value of a counter; 0 if it was never incremented."""
        return self._counters.get((name, tuple(sorted(labels.items()))), 0)

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        series = (name, tuple(sorted(labels.items())))
        if series in self._gauges or len(self._gauges) < MAX_SERIES:
            self._gauges[series] = value

    def observe(self, name: str, value: float, **labels: str) -> None:
        """Record a value in a histogram; the name ends in its unit."""
        series = (name, tuple(sorted(labels.items())))
        histogram = self._histograms.get(series)
        if histogram is None:
            if len(self._histograms) >= MAX_SERIES:
                return
            histogram = HdrHistogram(1, MAX_RECORDED_VALUE, SIGNIFICANT_DIGITS)
            self._histograms[series] = histogram
        histogram.record_value(min(max(round(value), 0), MAX_RECORDED_VALUE))

    def render(self) -> str:
        """Return all series in the Prometheus text format."""
        lines = [
            *_sample_lines(self._counters, "counter"),
            *_sample_lines(self._gauges, "gauge"),
            *self._summary_lines(),
        ]
        return "".join(f"{line}\n" for line in lines)

    def _summary_lines(self) -> Iterator[str]:
        declared = ""
        for (name, labels), histogram in sorted(
            self._histograms.items(), key=lambda item: item[0]
        ):
            if name != declared:
                yield f"# TYPE {PREFIX}{name} summary"
                declared = name
            for quantile in QUANTILES:
                value = histogram.get_value_at_percentile(quantile * 100)
                quantile_labels = (*labels, ("quantile", str(quantile)))
                yield f"{_format_series(name, quantile_labels)} {value}"
            count = histogram.get_total_count()
            total = round(histogram.get_mean_value() * count) if count else 0
            yield f"{_format_series(name + '_count', labels)} {count}"
            yield f"{_format_series(name + '_sum', labels)} {total}"


def _sample_lines(
    values: dict[Series, int] | dict[Series, float], kind: str
) -> Iterator[str]:
    declared = ""
    for (name, labels), value in sorted(values.items()):
        if name != declared:
            yield f"# TYPE {PREFIX}{name} {kind}"
            declared = name
        yield f"{_format_series(name, labels)} {value}"
