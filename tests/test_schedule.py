"""Scheduled role changes: the policy, the agent and the entry's pools."""

from __future__ import annotations

import asyncio
import random
from contextlib import AsyncExitStack, asynccontextmanager
from datetime import UTC, datetime, timedelta
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberrypost.blackboard import Blackboard
from gooseberrypost.entry.fleet import REPORT_VALID_MS, FleetController
from gooseberrypost.policy.rolechange import (
    EngineChange,
    EngineState,
    next_change,
)
from gooseberrypost.sheet.current import CurrentAssignments
from gooseberrypost.sheet.schedule import Assignment, Schedule
from gooseberrypost.state.configuration import Configuration
from gooseberrypost.state.records import EngineRecord, ScheduleRecord
from gooseberrypost.wire.messages import idl
from tests.agent_kit import (
    MemoryStore,
    ask,
    collect,
    decode,
    entry,
    prefill,
    reserve,
    running,
    settings,
    until,
)
from tests.standins.engine import Engine
from tests.test_agent_orders import LeaseClock

ZONE = "Europe/Bratislava"
ENGINE = EngineRecord("engine-1", "llm", "127.0.0.1:1", "z1", model="m")
CHANGE_DUE_MS = 1_796_371_200_000
"""2026-12-04 09:00 in Bratislava, a Friday."""
MINUTE = timedelta(minutes=1)


def schedule_row(day, starts, ends, role="prefill", model="m", name="r"):
    return ScheduleRecord(
        name, day, "llm", ENGINE.name, role, model, starts, ends, ZONE
    )


def apply_schedule(configuration, *rows, peer=None):
    """Apply a configuration whose schedule has these rows only."""
    records = {f"schedule/{one.name}": one for one in rows}
    current = configuration.document
    removed = {k: None for k in current.entries if k.startswith("schedule/")}
    changes = {"engine/engine-1": ENGINE, **removed, **records}
    if peer is not None:
        changes[f"engine/{peer.name}"] = peer
    apply_id = str(current.version)
    document = current.propose(current, changes, apply_id).unwrap()
    configuration.apply_document(document)


@pytest.mark.parametrize(
    ("day", "rows", "changes"),
    [
        ("2026-10-25", ["00:00-02:30"], ["22:00 prefill", "01:30 decode"]),
        (
            "2026-10-25",
            ["00:00-02:30", "02:30-24:00 decode"],
            ["22:00 prefill", "00:30 decode"],
        ),
        ("2026-10-25", ["02:15-02:45"], ["00:15 prefill", "01:45 decode"]),
        ("2027-03-28", ["00:00-02:30"], ["23:00 prefill", "01:00 decode"]),
        ("2027-03-28", ["02:30-04:00"], ["01:00 prefill", "02:00 decode"]),
        ("2027-03-28", ["02:10-02:50"], []),
    ],
)
def test_changes_follow_the_local_clock_when_clocks_change(day, rows, changes):
    """Guards against errors when daylight saving time starts or ends.

    A change could be an hour off, be made twice or be lost.
    """
    clock = SimpleNamespace(now=datetime.fromisoformat(f"{day}T00:00+00:00"))
    clock.now -= timedelta(hours=4)
    configuration = Configuration()
    records = []
    for number, text in enumerate(rows):
        hours, _, role = text.partition(" ")
        one = schedule_row(
            day, *hours.split("-"), role or "prefill", name=str(number)
        )
        records.append(one)
    apply_schedule(configuration, *records)
    current = CurrentAssignments(
        configuration, lambda: int(clock.now.timestamp() * 1_000)
    )
    engine, seen = EngineState("decode", "m", ready=True), []
    for _ in range(30 * 60):
        change = next_change(current()["engine-1"], engine, may_order=True)
        if change is not None:
            engine = engine._replace(role=change.role)
            seen.append(f"{clock.now.astimezone(UTC):%H:%M} {change.role}")
        clock.now += MINUTE
    assert seen == changes


def test_an_order_of_unknown_outcome_is_repeated():
    """Guards against an assumed role after an order of unknown outcome."""
    engine = EngineState("prefill", "m", True, {"set_role", "load_model"})
    assignment = Assignment("prefill", "m")
    again = next_change(assignment, engine, may_order=True)
    assert again == EngineChange("prefill", "m")
    for idle in (
        engine._replace(ready=False),
        engine._replace(unconfirmed_kinds=()),
    ):
        assert next_change(assignment, idle, may_order=True) is None


HOURS = st.integers(0, 23)
ROWS = st.lists(st.tuples(HOURS, HOURS, st.booleans()), max_size=3)


@given(st.lists(st.tuples(st.integers(0, 50 * 3_600), ROWS), max_size=8))
def test_cached_assignments_equal_a_full_evaluation(steps):
    """Guards against an outdated cached assignment.

    The configuration changes and the wall clock jumps, also backwards.
    """
    clock = SimpleNamespace(ms=0)
    start_ms = 1_792_879_200_000  # 2026-10-25 00:00 in Bratislava.
    configuration = Configuration()
    current = CurrentAssignments(configuration, lambda: clock.ms)
    for offset_s, rows in steps:
        clock.ms = start_ms + offset_s * 1_000
        apply_schedule(
            configuration,
            *(
                schedule_row(
                    "sunday" if weekly else "2026-10-26",
                    f"{starts:02}:00",
                    f"{(starts + 1 + length % 23) % 24:02}:00",
                    name=f"r{starts}-{length}",
                )
                for starts, length, weekly in rows
            ),
        )
        for shift_ms in (0, 1_800_000, -3_600_000, 90_000_000):
            clock.ms += shift_ms
            schedule = Schedule.from_records(configuration.records)
            assignment = schedule.assignment_at("engine-1", clock.ms)
            assert current()["engine-1"] == assignment


class WallClock:
    """Wall clock in ms, set by the test; counts its reads."""

    def __init__(self):
        self.ms, self.reads = CHANGE_DUE_MS - 1, 0

    def __call__(self):
        self.reads += 1
        return self.ms

    async def wait_for_reads(self):
        """Wait until the agent has evaluated the schedule a few times."""
        enough = self.reads + 3
        await until(lambda: self.reads >= enough)


class Rig:
    """A prefill engine, and a decode engine with a scheduled change."""

    async def start_stream(self):
        """Start a decode stream and return its replies."""
        reserved = await ask(self.decode_channel, reserve())
        prefilled = await ask(self.prefill_channel, prefill())
        replies = await self.stack.enter_async_context(
            self.decode_channel.stream(decode(reserved, prefilled))
        )
        (await replies.next(1_000)).unwrap()
        return replies

    @property
    def drain_reasons(self):
        return self.agent.lifecycle.lifecycle.drain_reasons


@asynccontextmanager
async def scheduled_agent(rows, kind=Engine):
    """Run the agent of a decode engine with a valid lease and a schedule."""
    rig = Rig()
    rig.wall, rig.lease, rig.store = WallClock(), LeaseClock(), MemoryStore()
    async with AsyncExitStack() as rig.stack:
        enter = rig.stack.enter_async_context
        source = await enter(Engine.serving())
        rig.engine = await enter(
            kind.serving(token_ms=100, role="decode", model="m")
        )
        prefiller = await enter(running(settings(source)))
        rig.agent = await enter(
            running(
                settings(rig.engine, reattach_ms=0),
                store=rig.store,
                lease_clock_ms=rig.lease,
                wall_clock_ms=rig.wall,
            )
        )
        rig.prefill_channel = await enter(entry(prefiller))
        rig.decode_channel = await enter(entry(rig.agent))
        rig.configuration = rig.agent.context.configuration
        await until(rig.agent.lease.remaining_ms)
        apply_schedule(rig.configuration, *rows)
        yield rig


SCHEDULED_CHANGE = schedule_row("friday", "09:00", "12:00", model="m2")


def test_a_planned_change_waits_for_running_requests():
    """Guards against a change that interrupts a stream (P7).

    Until then new work is refused. The model is loaded only when nothing
    runs, and before the role is set.
    """

    async def run():
        async with scheduled_agent([SCHEDULED_CHANGE]) as rig:
            await rig.wall.wait_for_reads()
            assert not rig.drain_reasons
            replies = await rig.start_stream()
            rig.wall.ms += 1
            await until(lambda: rig.drain_reasons)
            late = await ask(rig.decode_channel, reserve("late"))
            assert late.code == "draining"
            _, end = await collect(replies)
            assert (end.code, end.tokens) == ("", 20)
            await until(lambda: not rig.drain_reasons)
            orders = [
                (o["kind"], o["model"], o["role"], o["running"], o["fencing"])
                for o in rig.engine.orders
            ]
            assert orders == [
                ("load_model", "m2", "", 0, 1),
                ("set_role", "", "prefill", 0, 1),
            ]
            other = await ask(rig.decode_channel, prefill("other"))
            assert other.code == "no_capacity"
            assert (other.load.role, other.load.model) == (1, "m2")
            done = await ask(rig.decode_channel, prefill("new", model="m2"))
            assert isinstance(done, idl.Prefilled)

    asyncio.run(run())


def test_an_outage_at_the_scheduled_time_delays_the_change():
    """Guards against an order on a lease that could not be renewed (P8).

    Until the agent has a valid lease again, its engine keeps the old role.
    """

    async def run():
        async with scheduled_agent([SCHEDULED_CHANGE]) as rig:
            rig.store.up = False
            rig.lease.ms += rig.agent.cfg.lease_ms
            rig.wall.ms += 1
            await rig.wall.wait_for_reads()
            assert not rig.drain_reasons
            assert not rig.engine.orders
            granted = await ask(rig.decode_channel, reserve("late"))
            release = idl.ReleaseReservation(
                reservation=granted.reservation, key="late", attempt=1
            )
            await ask(rig.decode_channel, release)
            rig.store.up = True
            rig.store.lapse(1)
            while (await rig.agent.lease.refresh()).is_err():
                pass
            await until(lambda: len(rig.engine.orders) == 2)
            assert [o["epoch"] for o in rig.engine.orders] == [2, 2]

    asyncio.run(run())


@pytest.mark.parametrize("cause", ["schedule", "lease"])
def test_a_waiting_change_is_withdrawn(cause):
    """Guards against an engine that drains for a change no longer due."""

    async def run():
        async with scheduled_agent([SCHEDULED_CHANGE]) as rig:
            replies = await rig.start_stream()
            rig.wall.ms += 1
            await until(lambda: rig.drain_reasons)
            if cause == "schedule":
                apply_schedule(rig.configuration)
            else:
                rig.store.up = False
                rig.lease.ms += rig.agent.cfg.lease_ms
            await until(lambda: not rig.drain_reasons)
            assert rig.engine.attempts
            _, end = await collect(replies)
            assert (end.code, end.tokens) == ("", 20)
            assert not rig.engine.orders

    asyncio.run(run())


class DropsFirstReply(Engine):
    """Engine whose reply to the first order is lost."""

    async def order(self, request):
        reply = await super().order(request)
        if len(self.orders) == 1:
            request.transport.abort()
        return reply


def test_new_work_waits_until_the_effect_of_an_order_is_known():
    """Guards against work sent to an engine whose role is unknown."""

    async def run():
        change = schedule_row("friday", "09:00", "12:00")
        async with scheduled_agent([change], kind=DropsFirstReply) as rig:
            rig.wall.ms += 1
            await until(lambda: rig.engine.orders)
            refused = await ask(rig.decode_channel, reserve("late"))
            assert refused.code == "draining"
            await until(lambda: not rig.drain_reasons)
            assert [o["role"] for o in rig.engine.orders] == ["prefill"] * 2

    asyncio.run(run())


def test_an_entry_prefers_reports_to_the_schedule():
    """Guards against routing by the schedule before the engine has changed.

    A reported role and model override the schedule while they are valid.
    """

    async def run():
        configuration = Configuration()
        apply_schedule(configuration)
        clock = SimpleNamespace(ms=1_000)
        assigned = {"engine-1": Assignment("prefill", "m")}
        collaborators = SimpleNamespace(
            configuration=configuration,
            schedule=lambda: assigned,
            clock=lambda: clock.ms,
            choose_subset=lambda entry_name, zone, members, size: members,
            rng=random.Random(1),
        )
        fleet = FleetController("e1", "z1", collaborators, Blackboard(), None)
        fleet.refresh()

        def pools():
            return [
                [view.name for view in fleet.candidates("llm", role, "m")]
                for role in ("prefill", "decode")
            ]

        def load(**fields):
            return idl.Load(slots=1, **{"role": 2, "model": "m", **fields})

        assert pools() == [["engine-1"], []]
        fleet.observe("engine-1", load(draining=True))
        assert pools() == [["engine-1"], []]
        fleet.observe("engine-1", load())
        assert pools() == [[], ["engine-1"]]
        fleet.observe("engine-1", load(role=None))
        assert pools() == [[], ["engine-1"]]
        fleet.observe("engine-1", load(model="m2"))
        assert pools() == [[], []]
        clock.ms += REPORT_VALID_MS + 1
        fleet.refresh()
        assert pools() == [["engine-1"], []]

    asyncio.run(run())
