"""Waiting for capacity, scheduled roles and isolated suspects at an entry."""

from __future__ import annotations

import asyncio
import dataclasses
from datetime import UTC, datetime

from result import Err, Ok

from gooseberrypost.errors import NoCapacity
from gooseberrypost.policy.admission import AdmissionPolicy, Prediction
from gooseberrypost.sheet.current import CurrentAssignments
from gooseberrypost.sheet.schedule import Assignment
from gooseberrypost.state.records import EngineRecord, ScheduleRecord
from gooseberrypost.wire.messages import idl
from tests.entry_fakes import LOAD, FilledConfiguration, refuse, run


class NoCapacityUntilSet(AdmissionPolicy):
    """Refuses with ``NoCapacity`` until ``capacity`` is positive."""

    def __init__(self):
        self.capacity = 0
        self.decide_called = asyncio.Event()
        self.admitted = []

    def decide(self, req, prefill, decode, now_ms):
        self.decide_called.set()
        if self.capacity <= 0:
            return Err(NoCapacity("", retry_after_ms=1))
        return Ok(Prediction(now_ms, now_ms))


def with_policy(rig, **changes):
    policy = NoCapacityUntilSet()
    collaborators = rig.daemon.context.collaborators
    collaborators.admission = policy
    records = collaborators.configuration.records
    records["service/llm"] = dataclasses.replace(
        records["service/llm"], **changes
    )
    return policy


def test_a_request_waits_for_capacity_and_is_then_served():
    """Guards against refusing a request that its service allows to wait."""

    async def scenario(rig):
        policy = with_policy(rig, max_wait_ms=5_000)
        request = asyncio.create_task(rig.complete().__aenter__())
        await policy.decide_called.wait()
        assert len(rig.daemon.context.queue) == 1
        assert rig.agents["d1"].messages_of(idl.Reserve) == []
        policy.capacity = 1
        assert (await request).status == 200
        assert len(rig.daemon.context.queue) == 0

    run(scenario)


def test_waiting_ends_at_the_first_token_target():
    """Guards against queueing a request that cannot meet its target."""

    async def scenario(rig):
        with_policy(rig, first_token_ms=100)
        async with rig.complete() as response:
            error = (await response.json())["error"]
        assert (error["code"], error["outcome"]) == ("no_capacity", "not-run")

    run(scenario)


def test_a_disconnected_caller_leaves_the_queue():
    """Guards against serving a queued request after a disconnect (P1)."""

    async def scenario(rig):
        policy = with_policy(rig, max_wait_ms=5_000)
        request = asyncio.create_task(rig.complete(key="k1").__aenter__())
        await policy.decide_called.wait()
        assert len(rig.daemon.context.queue) == 1
        request.cancel()
        await rig.daemon.requests.idle()
        policy.capacity = 1
        assert len(rig.daemon.context.queue) == 0
        assert rig.agents["d1"].messages_of(idl.Reserve) == []
        assert rig.claims.abandoned == [("k1", 1, True)]

    run(scenario)


def test_refused_reservations_wait_for_capacity_again():
    """Guards against a 503 when only the known loads were out of date."""

    async def scenario(rig):
        for name in ("d1", "d2"):
            rig.agents[name].script[idl.Reserve] = [refuse("no_capacity")]
        async with rig.complete() as response:
            assert response.status == 200

    run(scenario)


def test_a_stale_attempt_is_renewed_before_a_retry():
    """Guards against retrying an attempt that agents refuse as stale (P3)."""

    async def scenario(rig):
        decoders = [rig.agents[name] for name in ("d1", "d2")]
        for agent in decoders:
            agent.script[idl.Reserve] = [refuse("stale_attempt")]
        async with rig.complete() as response:
            assert response.status == 200
        attempts = [
            m.attempt for a in decoders for m in a.messages_of(idl.Reserve)
        ]
        assert sorted(attempts) == [1, 1, 2]

    run(scenario)


def test_the_schedule_moves_engines_between_pools():
    """Guards against scheduled roles that take effect late or never."""
    records = {
        "engine/e1": EngineRecord("e1", "llm", "127.0.0.1:1", "z", "decode"),
        "engine/e2": EngineRecord("e2", "llm", "127.0.0.1:2", "z", "decode"),
        "schedule/1": ScheduleRecord(
            "1",
            day="2026-07-01",
            service="llm",
            engine="e1",
            role="prefill",
            model="m",
            starts="08:00",
            ends="09:00",
            time_zone="Europe/Bratislava",
        ),
    }
    starts_ms = int(datetime(2026, 7, 1, 6, tzinfo=UTC).timestamp()) * 1_000
    now_ms = [0]
    planned = CurrentAssignments(
        FilledConfiguration(records), lambda: now_ms[0]
    )
    roles = []
    for offset_ms in (-1, 0, 3_599_999, 3_600_000):
        now_ms[0] = starts_ms + offset_ms
        roles.append(planned()["e1"].role)
        # Without a schedule row, the engine record's role and model apply.
        assert planned()["e2"] == Assignment("decode", "")
    assert roles == ["decode", "prefill", "prefill", "decode"]


def test_a_suspect_has_one_server_for_all_entries():
    """Guards against running copies of a suspect on two servers (P9)."""

    async def scenario(rig):
        fleet = rig.daemon.context.fleet
        digests = [bytes([number] * 16) for number in range(32)]
        chosen = [
            [
                v.name
                for v in fleet.isolation_candidates(
                    "llm", "decode", "m", digest
                )
            ]
            for digest in digests
        ]
        assert {len(names) for names in chosen} == {1}
        assert {names[0] for names in chosen} == {"d1", "d2"}
        name = chosen[0][0]
        alternatives = fleet.isolation_candidates(
            "llm", "decode", "m", digests[0], {name}
        )
        assert [v.name for v in alternatives] == [
            {"d1": "d2", "d2": "d1"}[name]
        ]
        fleet.mark_draining("d1")
        fleet.mark_draining("d2")
        assert (
            len(fleet.isolation_candidates("llm", "decode", "m", digests[0]))
            == 1
        )
        fleet.observe("d2", idl.Load(**LOAD))
        assert {
            fleet.isolation_candidates("llm", "decode", "m", digest)[0].name
            for digest in digests
        } == {"d2"}

    run(scenario)
