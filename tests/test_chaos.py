"""The chaos driver: the faults that it draws and the checks that it makes."""

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
from tests.scenarios.chaos_faults import GROUPS, KINDS, MAX_ACTIVE_FAULTS, draw
from tests.scenarios.chaos_traffic import SentRequest


@given(st.integers(0, 10_000))
def test_a_schedule_leaves_a_member_of_each_group(seed):
    """Guards against runs that fail because a whole group is disabled."""
    schedule = draw(random.Random(seed), 30.0)
    for fault in schedule:
        active = [f for f in schedule if f.at_s <= fault.at_s < f.until_s]
        assert len(active) <= MAX_ACTIVE_FAULTS
        disabled = {f.target for f in active if KINDS[f.kind].disables}
        assert not any(set(group) <= disabled for group in GROUPS.values())


def sent(at_s, outcome, body=b""):
    exchange = SimpleNamespace(
        outcome=outcome, status=200, code=None, body=body, done=True
    )
    return SentRequest("k", "e1", exchange, False, 8.0, at_s, ended_s=at_s + 1)


@pytest.mark.parametrize(
    ("requests", "runs", "rules"),
    [
        ([sent(0, "not-run")], [], []),
        ([sent(0, "not-run")], [0.5], ["executed despite not-run"]),
        ([sent(0, "not-run")], [5.0], ["executed despite not-run"]),
        ([sent(0, "not-run"), sent(2, "unknown")], [2.5], []),
        (
            [sent(0, "completed"), sent(2, "not-run")],
            [0.5],
            ["not-run after execution"],
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
def test_a_violation_is_found(requests, runs, rules):
    """Guards against checks that miss a violation."""
    found = [
        *_check_trace("k", requests, runs),
        *_check_not_run("k", requests, runs),
    ]
    names = [violation.rule for violation in found]
    assert [rule for rule, _ in groupby(names)] == rules


def test_a_short_run_of_random_faults_breaks_no_rule(tmp_path):
    """Guards against combinations of faults that no scenario covers."""
    assert asyncio.run(run_chaos(7, 15.0, tmp_path)) == []
