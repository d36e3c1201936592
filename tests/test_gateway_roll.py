"""A short run of planned work on real gateway processes, under load."""

from __future__ import annotations

import asyncio

from tests.scenarios.gateway_roll import roll


def test_planned_work_loses_no_request():
    """Guards against requests that a stop reads and does not answer.

    Their bodies come after their heads, their connections are kept, and the
    event loops of the gateways are late.
    """
    run = asyncio.run(roll(seed=2, seconds=10.0, gateways=3, clients=40))
    assert run.violations == []
    assert run.signals > 2
    assert run.counts()["once 200"] > 300
    assert run.counts()["text 200"] > 50


def test_planned_work_loses_no_stream_of_a_silent_engine():
    """Guards against streams that are let go before they have a successor.

    Engines are silent for seconds, refuse moves, or take time for them; half
    of the streams may be resumed.
    """
    run = asyncio.run(
        roll(
            seed=2,
            seconds=10.0,
            gateways=3,
            clients=40,
            silent_share=0.25,
            break_share=0.05,
            again_weight=2.0,
        )
    )
    assert run.violations == []
    assert run.judge.not_resumed == []
    assert run.signals > 2
    assert run.judge.counts()["silent"] > 10
    assert run.counts()["again 200"] > 30
    assert run.counts()["text 200"] > 30
