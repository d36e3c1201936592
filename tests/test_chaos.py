"""The driver of random faults: what it draws and what it detects."""

from __future__ import annotations

import asyncio
import random
from itertools import groupby
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.scenarios.chaos import run_chaos
from tests.scenarios.chaos_checks import _check_not_run, _check_trace
from tests.scenarios.chaos_faults import GROUPS, KINDS, MAX_AT_ONCE, draw
from tests.scenarios.chaos_traffic import Sending


@given(st.integers(0, 10_000))
def test_a_schedule_leaves_a_member_of_each_group(seed):
    """Guards against runs that fail because nothing is left to serve."""
    schedule = draw(random.Random(seed), 30.0)
    for fault in schedule:
        active = [f for f in schedule if f.at_s <= fault.at_s < f.until_s]
        assert len(active) <= MAX_AT_ONCE
        disabled = {f.target for f in active if KINDS[f.kind].disables}
        assert not any(set(group) <= disabled for group in GROUPS.values())


def sent(at_s, outcome, body=b""):
    exchange = SimpleNamespace(
        outcome=outcome, status=200, code=None, body=body, done=True
    )
    return Sending("k", "e1", exchange, False, 8.0, at_s, ended_s=at_s + 1)


@pytest.mark.parametrize(
    ("sendings", "runs", "rules"),
    [
        ([sent(0, "not-run")], [], []),
        ([sent(0, "not-run")], [0.5], ["executed though told not-run"]),
        ([sent(0, "not-run")], [5.0], ["executed though told not-run"]),
        ([sent(0, "not-run"), sent(2, "unknown")], [2.5], []),
        (
            [sent(0, "completed"), sent(2, "not-run")],
            [0.5],
            ["told not-run after it ran"],
        ),
        ([sent(0, "unknown"), sent(0.2, "not-run")], [0.5], []),
        (
            [sent(0, "unknown")],
            [0.5, 0.6],
            ["non-idempotent call run twice"],
        ),
        (
            [sent(0, "completed", b"a"), sent(2, "completed", b"a")],
            [0.5],
            ["answered twice"],
        ),
        (
            [sent(0, "completed", b"a"), sent(2, "duplicate", b"b")],
            [0.5],
            ["replayed with other bytes"],
        ),
    ],
)
def test_a_violated_guarantee_is_found(sendings, runs, rules):
    """Guards against a driver that reports no violation whatever it saw."""
    found = [
        *_check_trace("k", sendings, runs),
        *_check_not_run("k", sendings, runs),
    ]
    names = [broken.rule for broken in found]
    assert [rule for rule, _ in groupby(names)] == rules


def test_a_short_run_of_random_faults_breaks_no_rule(tmp_path):
    """Guards against faults whose combination no scenario tries."""
    assert asyncio.run(run_chaos(7, 15.0, tmp_path)) == []
