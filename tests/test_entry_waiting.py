"""Requests that wait at an entry for room on a decode engine."""

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


class FullUntilOpened(AdmissionPolicy):
    """Says that no engine has room until ``room`` is raised."""

    def __init__(self):
        self.room = 0
        self.asked = asyncio.Event()
        self.admitted = []

    def decide(self, req, prefill, decode, now_ms):
        self.asked.set()
        if self.room <= 0:
            return Err(NoCapacity("", retry_after_ms=1))
        return Ok(Prediction(now_ms, now_ms))


def with_policy(rig, **changes):
    policy = FullUntilOpened()
    parts = rig.daemon.context.parts
    parts.admission = policy
    records = parts.configuration.records
    records["service/llm"] = dataclasses.replace(
        records["service/llm"], **changes
    )
    return policy


def test_a_request_waits_for_room_and_is_then_served():
    """Guards against refusing what its service allows to wait."""

    async def scenario(rig):
        policy = with_policy(rig, max_wait_ms=5_000)
        asked = asyncio.create_task(rig.complete().__aenter__())
        await policy.asked.wait()
        assert len(rig.daemon.context.queue) == 1
        assert rig.agents["d1"].of(idl.Reserve) == []
        policy.room = 1
        assert (await asked).status == 200
        assert len(rig.daemon.context.queue) == 0

    run(scenario)


def test_waiting_ends_at_the_first_token_target():
    """Guards against holding a request that can no longer be in time."""

    async def scenario(rig):
        with_policy(rig, first_token_ms=100)
        async with rig.complete() as response:
            error = (await response.json())["error"]
        assert (error["code"], error["outcome"]) == ("no_capacity", "not-run")

    run(scenario)


def test_a_caller_that_leaves_does_not_wait_on():
    """Guards against serving a queued request whose caller has gone (P1)."""

    async def scenario(rig):
        policy = with_policy(rig, max_wait_ms=5_000)
        asked = asyncio.create_task(rig.complete(key="k1").__aenter__())
        await policy.asked.wait()
        assert len(rig.daemon.context.queue) == 1
        asked.cancel()
        await rig.daemon.requests.idle()
        policy.room = 1
        assert len(rig.daemon.context.queue) == 0
        assert rig.agents["d1"].of(idl.Reserve) == []
        assert rig.claims.abandoned == [("k1", 1, True)]

    run(scenario)


def test_refused_reservations_wait_for_room_again():
    """Guards against a 503 when only the loads were out of date."""

    async def scenario(rig):
        for name in ("d1", "d2"):
            rig.agents[name].script[idl.Reserve] = [refuse("no_capacity")]
        async with rig.complete() as response:
            assert response.status == 200

    run(scenario)


def test_a_barred_attempt_is_renewed_before_it_is_tried_again():
    """Guards against an attempt that every agent refuses as stale (P3)."""

    async def scenario(rig):
        decoders = [rig.agents[name] for name in ("d1", "d2")]
        for agent in decoders:
            agent.script[idl.Reserve] = [refuse("stale_attempt")]
        async with rig.complete() as response:
            assert response.status == 200
        asked = [m.attempt for a in decoders for m in a.of(idl.Reserve)]
        assert sorted(asked) == [1, 1, 2]

    run(scenario)


def test_the_schedule_moves_engines_between_pools():
    """Guards against planned roles that come into force late or never."""
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
        # Without rows the record's own role and model hold.
        assert planned()["e2"] == Assignment("decode", "")
    assert roles == ["decode", "prefill", "prefill", "decode"]


def test_a_suspect_has_one_server_for_all_entries():
    """Guards against copies of a suspect on two servers at once (P9)."""

    async def scenario(rig):
        fleet = rig.daemon.context.fleet
        digests = [bytes([number] * 16) for number in range(32)]
        chosen = [
            [v.name for v in fleet.isolated("llm", "decode", "m", digest)]
            for digest in digests
        ]
        assert {len(names) for names in chosen} == {1}
        assert {names[0] for names in chosen} == {"d1", "d2"}
        name = chosen[0][0]
        others = fleet.isolated("llm", "decode", "m", digests[0], {name})
        assert [v.name for v in others] == [{"d1": "d2", "d2": "d1"}[name]]
        fleet.mark_draining("d1")
        fleet.mark_draining("d2")
        assert len(fleet.isolated("llm", "decode", "m", digests[0])) == 1
        fleet.observe("d2", idl.Load(**LOAD))
        assert {
            fleet.isolated("llm", "decode", "m", digest)[0].name
            for digest in digests
        } == {"d2"}

    run(scenario)
