"""Distribution of the configuration over loopback connections."""

from __future__ import annotations

import asyncio
import json

import pytest

from gooseberrypost.configsync.apply import Applier, ApplyUnknown
from gooseberrypost.configsync.members import PEER_SUBSET_SIZE, ZoneMembers
from gooseberrypost.state.configuration import (
    MAX_TOMBSTONES,
    Collision,
    Configuration,
    Document,
)
from gooseberrypost.state.document import (
    ConfigurationTooLarge,
    format_document,
    parse_head,
)
from gooseberrypost.state.records import AccountRecord, EngineRecord
from gooseberrypost.stores.memory import InMemoryKeyValueStore
from tests.configuration_cluster import (
    apply_change,
    measure_propagation,
    run_processes,
    wait_for_version,
)
from tests.standins.keyvalue import monotonic_ms

# A change must reach every process within 16 s; processes pull every 2 s.
MAX_PULL_INTERVALS = 8


def test_a_pushed_change_reaches_all_processes_in_an_outage():
    """Guards against a change known only to the key-value service (P8)."""
    intervals, *_ = asyncio.run(measure_propagation(40, 300, 2, down=True))
    assert max(intervals) <= MAX_PULL_INTERVALS


def test_a_process_started_in_an_outage_pulls_from_its_peers():
    """Guards against serving an old configuration after a restart (P8)."""

    async def run():
        store = InMemoryKeyValueStore(monotonic_ms)
        async with run_processes(4, store, 50) as processes:
            document = await apply_change(store, "one", 3)
            await wait_for_version(processes, document.version)
            store.set_down(True)
            first = processes[0]
            restarted = type(first.section)()
            first.controller._section = restarted
            await first.controller.on_start()
            assert restarted.version == document.version
            assert restarted.records["account/a"].burst == 3

    asyncio.run(run())


def test_a_start_pulls_few_snapshots(monkeypatch):
    """Guards against a snapshot from every peer at a start."""
    is_snapshot = []
    delta_since = Configuration.delta_since

    def counting_delta_since(section, since):
        delta = delta_since(section, since)
        is_snapshot.append(delta.since == 0 and bool(delta.records))
        return delta

    async def run():
        store = InMemoryKeyValueStore(monotonic_ms)
        async with run_processes(24, store, 60_000) as processes:
            document = await apply_change(store, "one", 3)
            for process in processes[1:]:
                process.section.apply_document(document)
            monkeypatch.setattr(
                Configuration, "delta_since", counting_delta_since
            )
            for down, max_snapshots in ((False, 0), (True, 2)):
                is_snapshot.clear()
                store.set_down(down)
                controller = processes[0].controller
                controller._section = Configuration()
                await controller.on_start()
                assert controller._section.version == document.version
                assert len(is_snapshot) >= 23
                assert sum(is_snapshot) <= max_snapshots

    asyncio.run(run())


def test_a_start_pulls_from_every_peer_but_keeps_few_connections():
    """Guards against a missed newer version, and 1,820 open connections."""

    async def run():
        store = InMemoryKeyValueStore(monotonic_ms)
        async with run_processes(24, store, 60_000) as processes:
            document = await apply_change(store, "one", 3)
            store.set_down(True)
            controller = processes[0].controller
            outside_subset = {p.address for p in processes} - set(
                controller._pull_peers
            )
            outside_subset.discard(processes[0].address)
            for process in processes:
                if process.address in outside_subset:
                    process.section.apply_document(document)
            await controller.on_start()
            assert processes[0].section.version == document.version
            assert len(outside_subset) == 23 - PEER_SUBSET_SIZE
            assert not outside_subset & controller._pool._channels.keys()

    asyncio.run(run())


def test_two_entries_of_a_zone_watch_the_key_value_service():
    """Guards against a watch by every process."""
    names = [f"e{n}" for n in range(10)]
    chosen = []
    for name in names:
        members = ZoneMembers(name, "z1", 1_000)
        for other in names:
            members.observe("entry", other, "z1", 0)
            members.observe("entry", other + "-far", "z2", 0)
            members.observe("agent", other + "-agent", "z1", 0)
        chosen.append(members.is_watcher(500))
        # No other entry was seen within the member timeout.
        assert members.is_watcher(1_500)
    assert sum(chosen) == 2


def test_an_unconfirmed_write_is_resolved_by_its_apply_id():
    """Guards against a change applied twice or reported as not written."""

    async def run():
        now = [0]
        store = InMemoryKeyValueStore(lambda: now[0])

        async def sleep(seconds):
            now[0] += 1_000
            store.down = True

        changes = {"account/a": AccountRecord("a")}
        store.lose_answers = 1
        applier = Applier(store, clock=lambda: now[0], sleep=sleep)
        lost = await applier.apply(changes, "one")
        assert isinstance(lost.unwrap_err(), ApplyUnknown)
        store.down = False
        await apply_change(store, "two", 9)
        again = await applier.apply(changes, "one")
        assert again.unwrap().version == 1

    asyncio.run(run())


def test_a_collision_names_exactly_the_conflicting_records():
    """Guards against reporting records that do not conflict."""
    rows = {f"account/{n}": AccountRecord(n) for n in "abc"}
    base = Document().propose(Document(), rows, "0").unwrap()
    one = {
        "account/a": None,
        "account/b": AccountRecord("b", burst=1),
        "account/d": AccountRecord("d", burst=1),
    }
    head = base.propose(base, one, "1").unwrap()
    other = {k: AccountRecord(k[8:], burst=2) for k in (*rows, *one)}
    failure = head.propose(base, other, "2").unwrap_err()
    assert isinstance(failure, Collision)
    assert failure.keys == ["account/a", "account/b", "account/d"]
    # Restoring the text of the base is also a change.
    back = head.propose(head, rows, "3").unwrap()
    conflicting = {"account/b": AccountRecord("b", burst=4)}
    assert back.propose(base, conflicting, "4").is_err()


def test_dropped_tombstones_lead_to_a_snapshot():
    """Guards against a removed record that an outdated process keeps."""
    count = MAX_TOMBSTONES + 10
    rows = {f"account/{n}": AccountRecord(str(n)) for n in range(count)}
    document = Document().propose(Document(), rows, "0").unwrap()
    late = Configuration()
    assert late.apply_document(document)
    for number, key in enumerate(rows):
        document = document.propose(document, {key: None}, str(number))
        document = document.unwrap()
    assert len(document.tombstones) == MAX_TOMBSTONES
    assert late.apply_delta(document.delta_since(late.version))
    assert late.records == {}


@pytest.mark.parametrize(
    "text",
    [
        '{"name": "a", "burst": "10"}',
        '{"name": "a", "burst": null}',
        '{"name": "a", "requests_per_s": true}',
        '{"name": ["a"]}',
        '{"burst": 10}',
        "[]",
    ],
)
def test_a_record_with_a_field_of_another_type_is_invalid(text):
    """Guards against an exception where the limits of requests are used."""
    assert AccountRecord.from_json(text).is_err()


@pytest.mark.parametrize(
    "changes",
    [
        {"version": "7"},
        {"version": -1},
        {"records": {"account/a": ["{}", "7"]}},
        {"records": {"account/a": [5, 7]}},
        {"records": {"account/a": ["\ud800", 7]}},
        {"records": {"account/a": "ab"}},
        {"records": {"account/\ud800": ["{}", 7]}},
        {"removed": {"account/b": None}},
        {"removed": [["account/b", 1]]},
        {"applies": [["a", []]]},
    ],
)
def test_a_head_with_a_value_of_another_type_is_invalid(changes):
    """Guards against one stored value that ends every entry that reads it."""
    head = {"version": 7, "floor": 0, "applies": []}
    head |= {"records": {}, "removed": {}, **changes}
    assert parse_head(json.dumps(head)).is_err()


def test_the_planned_two_year_size_fits_and_more_is_too_large():
    """Guards against a write that the key-value service cannot store."""
    engines = {
        f"engine/e{n}": EngineRecord(f"e{n}", "s", f"10.0.0.{n}:1", "z")
        for n in range(1_400)
    }
    accounts = {
        f"account/a{n}": AccountRecord(f"a{n}", requests_per_s=n)
        for n in range(5_400)
    }
    rows = {**engines, **accounts}
    document = Document().propose(Document(), rows, "0").unwrap()
    text = format_document(document).unwrap()
    assert parse_head(text).unwrap() == document
    more = {f"account/b{n}": AccountRecord(f"b{n}") for n in range(30_000)}
    document = document.propose(document, more, "1").unwrap()
    failure = format_document(document).unwrap_err()
    assert isinstance(failure, ConfigurationTooLarge)
    assert parse_head(text[:-9]).is_err()
