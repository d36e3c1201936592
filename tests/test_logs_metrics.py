"""Decision log and metrics."""

from __future__ import annotations

import json
import re

from hypothesis import given
from hypothesis import strategies as st

from gooseberrypost.logs import DecisionLog, RefusalDecision, quote
from gooseberrypost.metrics import MAX_SERIES, Metrics


@given(st.text(max_size=30))
def test_values_can_be_read_back_from_one_line(text):
    """Guards against log injection: text that forges fields or lines."""
    quoted = quote(text)
    assert quoted.isprintable()
    if quoted.startswith('"'):
        assert json.loads(quoted) == text
    else:
        assert quoted == text and not re.search(r'[\s="]', quoted)


def test_the_least_recent_requests_are_evicted():
    """Guards against unbounded memory for the lines that are kept."""
    log = DecisionLog(capacity=2)
    for key in ("a", "b", "a", "c"):
        log.record(RefusalDecision(key, "s", "draining", ""))
    assert log.explain("b") == []
    assert [len(log.explain(key)) for key in "ac"] == [2, 1]


def test_percentiles_are_exported_and_series_are_bounded():
    """Guards against missing tail latencies and unbounded label values."""
    metrics = Metrics()
    for n in range(1, 1_001):
        metrics.observe("wait_ms", n, service='a"b')
    for n in range(2 * MAX_SERIES):
        metrics.count("x_total", label=str(n))
    text = metrics.render()
    label = r'service="a\"b",quantile="0.99"'
    line = next(x for x in text.splitlines() if label in x)
    assert 980 <= float(line.split()[-1]) <= 1_000
    assert text.count("gooseberrypost_x_total{") == MAX_SERIES
