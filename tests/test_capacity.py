"""The measurements behind the capacity page."""

from __future__ import annotations

import os
import re

import pytest
from scripts.capacity import gateway, held, spread
from scripts.capacity.fit import Fit
from scripts.capacity.records import ALL_RECORDS, ZONES, records
from scripts.capacity.usage import Usage

from gooseberrypost.configsync.members import WATCHERS_PER_ZONE

LINE = re.compile(r"^(\S+) \[[^]]+\] fixed=\S+ slope=(\S+) ")


def test_the_fit_recovers_fixed_part_and_slope():
    """Guards against a page whose slopes are not those measured."""
    fit = Fit.of([1, 2, 4], [5.0, 7.0, 12.0])
    assert fit.slope == pytest.approx(33 / 14)
    assert fit.fixed == pytest.approx(8 - 33 / 14 * 7 / 3)
    assert fit.residual == pytest.approx(3 / 14)


def test_the_records_have_the_size_to_design_for():
    """Guards against a configuration smaller than the page states."""
    made = records(ALL_RECORDS)
    assert len(made) == ALL_RECORDS
    assert sum(key.startswith("engine/") for key in made) == 1_400
    assert sum(key.startswith("account/") for key in made) == 5_400


def test_cpu_time_and_memory_of_a_process_are_read():
    """Guards against counters taken from the wrong fields."""
    before, begun = Usage.of(os.getpid()), sum(os.times()[:2])
    while sum(os.times()[:2]) - begun < 0.1:
        pass
    after = Usage.of(os.getpid())
    assert 0.05 < after.cpu_s - before.cpu_s < 5
    assert after.private_kb > 1_000


def test_quick_measurements_print_a_slope_for_each_line(capsys):
    """Guards against a measurement that no longer runs."""
    held.measure(quick=True)
    spread.measure(quick=True)
    lines = [LINE.match(x) for x in capsys.readouterr().out.splitlines()]
    found = {m[1]: float(m[2]) for m in lines if m}
    flat = {name for name in found if found[name] <= 0}
    # These do not grow with the size measured; their fitted slope is noise.
    assert flat <= {
        "config.answer_same_version_ms",
        "config.one_change_bytes",
        "config.watchers",
    }
    assert found["held.configuration_record"] > 100
    assert "config.watchers" in found


def test_two_entries_of_each_zone_watch_at_full_size():
    """Guards against watchers that grow with the number of entries."""
    assert spread._watchers(420) == WATCHERS_PER_ZONE * ZONES


def test_measurements_of_a_gateway_run(capsys, monkeypatch):
    """Guards against measurements left behind by a change of the product."""
    monkeypatch.setattr(gateway, "REPEATS", 1)
    gateway.measure(quick=True)
    assert "gateway.choose_decode" in capsys.readouterr().out
