"""Measurements of ``scripts.capacity``."""

from __future__ import annotations

import os
import re

import pytest
from scripts.capacity import config_distribution, gateway, retained_memory
from scripts.capacity.fit import LinearFit
from scripts.capacity.records import TOTAL_RECORDS, ZONE_COUNT, make_records
from scripts.capacity.usage import Usage

from gooseberrypost.configsync.members import WATCHERS_PER_ZONE

LINE = re.compile(r"^(\S+) \[[^]]+\] fixed=\S+ slope=(\S+) ")


def test_fit_recovers_intercept_slope_and_largest_residual():
    """Guards against printed slopes that are not a least-squares fit."""
    fit = LinearFit.of([1, 2, 4], [5.0, 7.0, 12.0])
    assert fit.slope == pytest.approx(33 / 14)
    assert fit.intercept == pytest.approx(8 - 33 / 14 * 7 / 3)
    assert fit.max_residual == pytest.approx(3 / 14)


def test_records_have_the_design_size():
    """Guards against measurements of a smaller configuration than stated."""
    records = make_records(TOTAL_RECORDS)
    assert len(records) == TOTAL_RECORDS
    assert sum(key.startswith("engine/") for key in records) == 1_400
    assert sum(key.startswith("account/") for key in records) == 5_400


def test_cpu_time_and_memory_of_a_process_are_read():
    """Guards against counters read from the wrong fields of ``/proc``."""
    before, cpu_start_s = Usage.of(os.getpid()), sum(os.times()[:2])
    while sum(os.times()[:2]) - cpu_start_s < 0.1:
        pass
    after = Usage.of(os.getpid())
    assert 0.05 < after.cpu_s - before.cpu_s < 5
    assert after.private_kb > 1_000


def test_quick_measurements_print_growing_costs(capsys):
    """Guards against a measurement that fails or prints no fit."""
    retained_memory.measure(quick=True)
    config_distribution.measure(quick=True)
    lines = [LINE.match(line) for line in capsys.readouterr().out.splitlines()]
    slopes = {m[1]: float(m[2]) for m in lines if m}
    not_growing = {name for name in slopes if slopes[name] <= 0}
    # These do not depend on the size, so that their slope is noise.
    assert not_growing <= {
        "config.answer_same_version_ms",
        "config.one_change_bytes",
        "config.watchers",
    }
    assert slopes["held.configuration_record"] > 100
    assert "config.watchers" in slopes


def test_two_entries_per_zone_watch_in_a_large_deployment():
    """Guards against a number of watchers that grows with the entries.

    An entry that loses contact with the watchers of its zone elects itself.
    """
    assert (
        config_distribution._count_watchers(420)
        == WATCHERS_PER_ZONE * ZONE_COUNT
    )


def test_gateway_measurements_run(capsys, monkeypatch):
    """Guards against measurements that no longer match the product code."""
    monkeypatch.setattr(gateway, "ITERATIONS", 1)
    gateway.measure(quick=True)
    assert "gateway.choose_decode" in capsys.readouterr().out
