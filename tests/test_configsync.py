"""Configuration controllers over loopback connections."""

from __future__ import annotations

import asyncio

from gooseberrypost.configsync.apply import Applier, ApplyUnknown
from gooseberrypost.configsync.members import PEER_SUBSET, Members
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
from tests.fleet import change, everywhere, fleet, spread
from tests.standins.keyvalue import monotonic_ms

# 16 s in force everywhere, at a pull every 2 s.
MAX_PULL_INTERVALS = 8


def test_a_change_reaches_all_while_the_service_is_down():
    """Guards against an accepted change that only the service knows (P8)."""
    took, *_ = asyncio.run(spread(40, 300, 2, down=True))
    assert max(took) <= MAX_PULL_INTERVALS


def test_a_process_that_starts_in_an_outage_learns_from_its_peers():
    """Guards against serving an old configuration after a restart (P8)."""

    async def run():
        store = InMemoryKeyValueStore(monotonic_ms)
        async with fleet(4, store, 50) as processes:
            document = await change(store, "one", 3)
            await everywhere(processes, document.version)
            store.set_down(True)
            first = processes[0]
            restarted = type(first.section)()
            first.controller._section = restarted
            await first.controller.on_start()
            assert restarted.version == document.version
            assert restarted.records["account/a"].burst == 3

    asyncio.run(run())


def test_a_start_takes_few_whole_configurations(monkeypatch):
    """Guards against whole configurations from every peer at a start."""
    whole = []
    delta_since = Configuration.delta_since

    def counted(section, since):
        delta = delta_since(section, since)
        whole.append(delta.since == 0 and bool(delta.records))
        return delta

    async def run():
        store = InMemoryKeyValueStore(monotonic_ms)
        async with fleet(24, store, 60_000) as processes:
            document = await change(store, "one", 3)
            for process in processes[1:]:
                process.section.apply_document(document)
            monkeypatch.setattr(Configuration, "delta_since", counted)
            for down, most in ((False, 0), (True, 2)):
                whole.clear()
                store.set_down(down)
                controller = processes[0].controller
                controller._section = Configuration()
                await controller.on_start()
                assert controller._section.version == document.version
                assert len(whole) >= 23
                assert sum(whole) <= most

    asyncio.run(run())


def test_the_start_asks_every_peer_but_keeps_few_connections():
    """Guards against missing the newest version, and 1,820 connections."""

    async def run():
        store = InMemoryKeyValueStore(monotonic_ms)
        async with fleet(24, store, 60_000) as processes:
            document = await change(store, "one", 3)
            store.set_down(True)
            reader = processes[0].controller
            far = {p.address for p in processes} - set(reader._near)
            far.discard(processes[0].address)
            for process in processes:
                if process.address in far:
                    process.section.apply_document(document)
            await reader.on_start()
            assert processes[0].section.version == document.version
            assert len(far) == 23 - PEER_SUBSET
            assert not far & reader._pool._channels.keys()

    asyncio.run(run())


def test_two_entries_of_each_zone_watch():
    """Guards against every process waking the key-value service."""
    names = [f"e{n}" for n in range(10)]
    chosen = []
    for name in names:
        members = Members(name, "z1", 1_000)
        for other in names:
            members.heard("entry", other, "z1", 0)
            members.heard("entry", other + "-far", "z2", 0)
            members.heard("agent", other + "-agent", "z1", 0)
        chosen.append(members.watches(500))
        # All others are silent for longer than the window.
        assert members.watches(1_500)
    assert sum(chosen) == 2


def test_an_unsettled_write_is_unknown_and_its_id_settles_it():
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
        await change(store, "two", 9)
        again = await applier.apply(changes, "one")
        assert again.unwrap().version == 1

    asyncio.run(run())


def test_a_collision_names_exactly_the_rows():
    """Guards against sending a planner to look at rows that did not clash."""
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
    assert failure.rows == ["account/a", "account/b", "account/d"]
    # Changed back to the text of the base, which is a change all the same.
    back = head.propose(head, rows, "3").unwrap()
    change_b = {"account/b": AccountRecord("b", burst=4)}
    assert back.propose(base, change_b, "4").is_err()


def test_forgotten_removals_lead_to_a_whole_delta():
    """Guards against a removed record that stays with a late process."""
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


def test_the_two_year_size_fits_and_more_is_a_typed_failure():
    """Guards against a write that the key-value service cannot keep."""
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
