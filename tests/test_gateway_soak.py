"""A short soak of real gateway processes under random faults."""

from __future__ import annotations

import asyncio

from tests.scenarios.gateway_soak import soak


def test_guarantees_hold_under_random_faults():
    """Guards against repeated executions, false refusals and wrong answers."""
    run = asyncio.run(soak(seed=1, seconds=8.0))
    assert run.violations == []
    assert len(run.trace) > 5
    # The faults must not keep generations from moving between engines.
    assert run.moved > 0
