"""A short run of random faults over real gateway processes."""

from __future__ import annotations

import asyncio

from tests.scenarios.gateway_soak import soak


def test_guarantees_hold_under_random_faults():
    """Guards against second runs, false refusals and broken answers."""
    run = asyncio.run(soak(seed=1, seconds=8.0))
    assert run.violations == []
    assert len(run.trace) > 5
    # Migrations between engines continue under the faults.
    assert run.moved > 0
