"""Store calls for the versions of streams, without a network.

Answers streams that begin at 930 a second, over 420 gateways, while servers
of one version or of two serve.
"""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace

import pytest

from gooseberrypost.gateway.directory import Directory, FeedUpdate
from gooseberrypost.gateway.model import (
    Configuration,
    DefaultVersion,
    RequestKind,
    Route,
    Server,
    Target,
)
from gooseberrypost.gateway.versions import (
    MIN_RETENTION_S,
    SAVE_RETRY_S,
    VersionKeeper,
    VersionNotSaved,
    VersionStore,
    VersionUnknown,
    VersionUnrecorded,
)
from gooseberrypost.metrics import Metrics

GATEWAYS = 420
STREAMS_PER_S = 930
SERVICE = "llm"


class SharedStore(VersionStore):
    """Store of all gateways, which passes changes on to them at once."""

    def __init__(self):
        self.streams: dict[str, str] = {}
        self.defaults: dict[str, DefaultVersion] = {}
        self.revision = 1
        self.era = 1
        self.calls = 0
        self.is_down = False
        self.directories: list[Directory] = []

    def _call(self):
        if self.is_down:
            raise VersionNotSaved("down")
        self.calls += 1

    async def save(self, streams):
        self._call()
        self.streams |= streams
        self.publish(streams=dict(streams))

    async def find(self, stream):
        self._call()
        return self.streams.get(stream)

    async def remove(self, streams):
        self._call()
        for stream in streams:
            del self.streams[stream]
        self.publish(streams=dict.fromkeys(streams))

    async def set_default(self, service, version, replaced):
        self._call()
        if self.defaults.get(service) != replaced:
            raise VersionNotSaved("changed")
        self.revision += 1
        self.defaults[service] = DefaultVersion(version, self.revision)
        self.publish(defaults=dict(self.defaults))

    def publish(self, streams=None, defaults=None, *, is_snapshot=False):
        for directory in self.directories:
            directory.freshness.record_answer(directory.now_s())
            directory.apply_versions(
                FeedUpdate(
                    (),
                    (),
                    (),
                    self.revision,
                    is_snapshot,
                    stream_versions=streams or {},
                    default_versions=defaults or {},
                    era=self.era,
                ),
                directory.now_s(),
            )

    def restore(self, streams, defaults):
        """Come back from an older copy."""
        self.era += 1
        self.streams, self.defaults = dict(streams), dict(defaults)
        for directory in self.directories:
            directory.era = self.era
        self.publish(self.streams, self.defaults, is_snapshot=True)


class ClockedDirectory(Directory):
    """Directory of the one clock of a test."""

    __slots__ = ("now_s",)


class Fleet:
    """Gateways on one clock, with the store that they share."""

    def __init__(self, count: int, *versions: str):
        self.at_s = 0.0
        self.store = SharedStore()
        self.versions = versions
        self.keepers = [self.keeper(f"g{n:03}") for n in range(count)]

    def keeper(self, name: str) -> VersionKeeper:
        """Start a gateway that knows no more than the store."""
        directory = ClockedDirectory()
        directory.now_s = lambda: self.at_s
        directory.era = self.store.era
        directory.configuration = Configuration(
            version=1,
            routes=(
                Route(
                    "r",
                    "h",
                    "/",
                    RequestKind.STREAMING,
                    (Target(SERVICE, 1.0),),
                    timeout_ms=14_000,
                    resumable=True,
                ),
            ),
        )
        directory.gateways["g000"] = "127.0.0.1:1"
        self.store.directories.append(directory)
        self.store.publish(
            self.store.streams, self.store.defaults, is_snapshot=True
        )
        keeper = VersionKeeper(
            SimpleNamespace(
                directory=directory,
                now_s=lambda: self.at_s,
                settings=SimpleNamespace(name=name),
                metrics=Metrics(),
                rng=random.Random(1),
                notify_loads_changed=lambda: None,
                loads=SimpleNamespace(
                    peer_count=lambda now_s: len(self.keepers) - 1
                ),
            ),
            self.store,
        )
        self.register(directory)
        return keeper

    def register(self, directory: Directory):
        servers = [
            Server(f"i-{n}", SERVICE, f"10.0.0.{n}:80", "a", version=version)
            for n, version in enumerate(self.versions)
        ]
        directory.servers.apply(servers, (), True, self.at_s)

    def serve_versions(self, *versions: str):
        self.versions = versions
        for directory in self.store.directories:
            self.register(directory)

    async def maintain(self, after_s: float = 0.0):
        self.at_s += after_s
        for keeper in self.keepers:
            await keeper.maintain()

    async def begin(self, attempts, version_of) -> int:
        """Begin streams at all gateways; return the calls that it took."""
        before = self.store.calls
        for number, attempt in enumerate(attempts):
            keeper = self.keepers[number % len(self.keepers)]
            keeper.prepare(SERVICE, attempt, version_of(number))
            await keeper.save_records()
            await keeper.begin(SERVICE, attempt, version_of(number), 14.0)
        return self.store.calls - before


def attempts(count: int, prefix: str = "a") -> list[str]:
    return [f"{prefix}{number}" for number in range(count)]


def test_streams_of_one_version_cost_no_store_calls():
    """Guards against a write for each of 930 streams a second."""

    async def work():
        fleet = Fleet(GATEWAYS, "v1", "v1")
        await fleet.maintain()
        assert await fleet.begin(attempts(STREAMS_PER_S), lambda n: "v1") == 0

    asyncio.run(work())


def test_streams_of_two_versions_cost_a_call_each_at_most():
    """Guards against more writes than streams of the newer version.

    The default stays the version of the streams that have no record.
    """

    async def work():
        fleet = Fleet(GATEWAYS, "v1", "v1")
        await fleet.maintain()
        fleet.serve_versions("v1", "v2", "v2")
        await fleet.maintain(1.0)
        calls = await fleet.begin(
            attempts(STREAMS_PER_S), lambda n: f"v{1 + n % 2}"
        )
        assert calls <= STREAMS_PER_S // 2

    asyncio.run(work())


def test_streams_that_begin_during_a_call_share_the_next_one():
    """Guards against as many calls as streams where many begin at once."""

    async def work():
        fleet = Fleet(1, "v1")
        await fleet.maintain()
        (keeper,) = fleet.keepers
        before = fleet.store.calls
        for attempt in attempts(STREAMS_PER_S):
            keeper.prepare(SERVICE, attempt, "v2")
        await keeper.save_records()
        assert fleet.store.calls - before <= 1 + STREAMS_PER_S // 32

    asyncio.run(work())


@pytest.mark.parametrize("left", [(), ("v1",)])
def test_all_versions_are_found_after_the_death_of_all_gateways(left):
    """Guards against a guess, or a refusal, of streams that began before.

    Also where the servers of the default version have just left.
    """

    async def work():
        fleet = Fleet(8, "v1", "v1")
        await fleet.maintain()
        await fleet.begin(attempts(100, "old"), lambda n: "v1")
        fleet.serve_versions("v1", "v2")
        await fleet.maintain(1.0)
        await fleet.begin(attempts(100, "new"), lambda n: f"v{1 + n % 2}")
        fleet.serve_versions(*({"v1", "v2"} - set(left)))
        fleet.at_s += 2.0
        keeper = fleet.keeper("g100")
        for number in range(100):
            assert await keeper.find(SERVICE, f"old{number}") == "v1"
            found = await keeper.find(SERVICE, f"new{number}")
            assert found == f"v{1 + number % 2}"

    asyncio.run(work())


def test_the_default_changes_only_when_its_streams_have_ended():
    """Guards against a stream of the former default at the new one."""

    async def work():
        fleet = Fleet(4, "v1")
        await fleet.maintain()
        fleet.serve_versions("v1", "v2")
        await fleet.maintain(1.0)
        fleet.serve_versions("v2")
        for _ in range(int(MIN_RETENTION_S) - 2):
            await fleet.maintain(1.0)
            assert fleet.store.defaults[SERVICE].version == "v1"
        for keeper in fleet.keepers[1:]:
            fleet.keepers.remove(keeper)
        await fleet.maintain(4.0)
        assert fleet.store.defaults[SERVICE].version == "v2"
        assert await fleet.begin(attempts(100), lambda n: "v2") == 0

    asyncio.run(work())


def test_records_are_removed_when_their_streams_have_ended():
    """Guards against records that fill the store."""

    async def work():
        fleet = Fleet(4, "v1", "v2")
        await fleet.maintain()
        default = fleet.store.defaults[SERVICE].version
        other = {"v1": "v2", "v2": "v1"}[default]
        await fleet.begin(attempts(100), lambda n: other)
        assert len(fleet.store.streams) == 100
        await fleet.maintain(MIN_RETENTION_S - 1.0)
        assert len(fleet.store.streams) == 100
        before = fleet.store.calls
        await fleet.maintain(2.0)
        assert not fleet.store.streams
        assert fleet.store.calls - before <= 4

    asyncio.run(work())


def test_a_restored_store_gets_its_records_and_defaults_again():
    """Guards against another default, and lost records, in an older copy."""

    async def work():
        fleet = Fleet(4, "v1")
        await fleet.maintain()
        fleet.serve_versions("v1", "v2", "v2")
        await fleet.maintain(1.0)
        await fleet.begin(attempts(20), lambda n: "v2")
        fleet.store.restore({}, {})
        for keeper in fleet.keepers:
            try:
                await keeper.maintain()
            except VersionNotSaved:
                # Another gateway was first.
                continue
            await keeper.save_records()
        assert fleet.store.defaults[SERVICE].version == "v1"
        for keeper in fleet.keepers:
            await keeper.save_records()
        assert len(fleet.store.streams) == 20

    asyncio.run(work())


def test_nothing_is_guessed_while_the_store_is_away():
    """Guards against a joined stream where its record cannot be read.

    What other gateways told in notices is known all the same, and so is the
    version of a service that has only one.
    """

    async def work():
        fleet = Fleet(2, "v1")
        await fleet.maintain()
        fleet.store.is_down = True
        first, second = fleet.keepers
        assert await second.find(SERVICE, "earlier") == "v1"
        fleet.serve_versions("v1", "v2")
        for keeper in fleet.keepers:
            with pytest.raises(VersionUnknown):
                await keeper.find(SERVICE, "earlier")
        fleet.store.is_down = False
        await fleet.maintain(1.0)
        first.prepare(SERVICE, "b", "v2")
        await first.save_records()
        fleet.store.is_down = True
        await first.begin(SERVICE, "a", "v1", 14.0)
        await first.begin(SERVICE, "b", "v2", 14.0)
        second.apply_notice(first.recent_streams())
        assert await second.find(SERVICE, "a") == "v1"
        assert await second.find(SERVICE, "b") == "v2"

    asyncio.run(work())


def test_a_stream_that_begins_elsewhere_than_prepared_is_found_there():
    """Guards against the record of an attempt that failed before any event."""

    async def work():
        fleet = Fleet(2, "v1", "v1", "v2")
        await fleet.maintain()
        first, second = fleet.keepers
        for prepared, begun in (("v2", "v1"), ("v1", "v2")):
            first.prepare(SERVICE, begun, prepared)
            await first.save_records()
            saving = asyncio.create_task(
                first.begin(SERVICE, begun, begun, 14.0)
            )
            await asyncio.sleep(0)
            assert not saving.done()
            second.apply_notice(first.recent_streams())
            await first.save_records()
            await saving
            assert await first.find(SERVICE, begun) == begun
            assert await second.find(SERVICE, begun) == begun
            assert await fleet.keeper("g100").find(SERVICE, begun) == begun

    asyncio.run(work())


async def fail_to_save(keeper: VersionKeeper, attempt: str, version: str):
    """Ask for the record of a stream while the store is away."""
    keeper.prepare(SERVICE, attempt, version)
    with pytest.raises(VersionNotSaved):
        await keeper.save_records()


def test_no_stream_begins_without_its_record():
    """Guards against streams that a store that is back counts as default.

    Those of the default version begin at once.
    """

    async def work():
        fleet = Fleet(1, "v1")
        await fleet.maintain()
        fleet.serve_versions("v1", "v2")
        (keeper,) = fleet.keepers
        fleet.store.is_down = True
        await fail_to_save(keeper, "a", "v2")
        with pytest.raises(VersionUnrecorded):
            await keeper.begin(SERVICE, "a", "v2", 0.0)
        await keeper.begin(SERVICE, "b", "v1", 0.0)
        assert await keeper.find(SERVICE, "b") == "v1"

    asyncio.run(work())


def test_first_event_goes_out_once_a_failed_write_is_repeated():
    """Guards against streams that end although the store is back in time."""

    async def work():
        fleet = Fleet(1, "v1")
        await fleet.maintain()
        (keeper,) = fleet.keepers
        fleet.store.is_down = True
        await fail_to_save(keeper, "a", "v2")
        begun = asyncio.create_task(keeper.begin(SERVICE, "a", "v2", 14.0))
        await asyncio.sleep(0)
        assert not begun.done()
        fleet.store.is_down = False
        await keeper.save_records()
        await begun
        assert await fleet.keeper("g100").find(SERVICE, "a") == "v2"

    asyncio.run(work())


def test_a_late_write_does_not_change_the_version_of_a_stream():
    """Guards against a write without an answer that is executed later.

    Its stream fails at once where it would begin at another version.
    """

    async def work():
        fleet = Fleet(1, "v1")
        await fleet.maintain()
        (keeper,) = fleet.keepers
        fleet.store.is_down = True
        await fail_to_save(keeper, "a", "v2")
        late = dict(keeper._unsaved)
        fleet.store.is_down = False
        async with asyncio.timeout(1.0):
            with pytest.raises(VersionUnrecorded):
                await keeper.begin(SERVICE, "a", "v1", 14.0)
        await keeper.save_records()
        await keeper.begin(SERVICE, "a", "v2", 14.0)
        await fleet.store.save(late)
        assert await fleet.keeper("g100").find(SERVICE, "a") == "v2"

    asyncio.run(work())


def test_stream_whose_write_fails_under_way_begins_nowhere_else():
    """Guards against a record of another version beside a lost write."""

    async def work():
        fleet = Fleet(1, "v1")
        await fleet.maintain()
        (keeper,) = fleet.keepers
        is_lost = asyncio.Event()

        async def lose(streams):
            await is_lost.wait()
            raise VersionNotSaved("lost")

        fleet.store.save = lose
        keeper.prepare(SERVICE, "a", "v2")
        saving = asyncio.create_task(keeper.save_records())
        await asyncio.sleep(0)
        begun = asyncio.create_task(keeper.begin(SERVICE, "a", "v1", 14.0))
        await asyncio.sleep(0)
        is_lost.set()
        with pytest.raises(VersionNotSaved):
            await saving
        with pytest.raises(VersionUnrecorded):
            await begun

    asyncio.run(work())


def test_records_are_saved_again_once_the_store_is_back():
    """Guards against a gateway that uses the default version for good."""

    async def work():
        fleet = Fleet(1, "v1")
        await fleet.maintain()
        fleet.serve_versions("v1", "v2")
        (keeper,) = fleet.keepers
        async with keeper:
            fleet.store.is_down = True
            keeper.prepare(SERVICE, "a", "v2")
            await asyncio.sleep(0.05)
            assert keeper.required_version(SERVICE, "b") == "v1"
            fleet.store.is_down = False
            await asyncio.sleep(2 * SAVE_RETRY_S)
            assert keeper.required_version(SERVICE, "b") is None

    asyncio.run(work())


def test_gateway_that_lost_the_store_long_ago_doubts_the_default():
    """Guards against a default that others have changed meanwhile."""

    async def work():
        fleet = Fleet(2, "v1")
        await fleet.maintain()
        fleet.serve_versions("v1", "v2")
        await fleet.maintain(1.0)
        first = fleet.keepers[0]
        fleet.store.is_down = True
        fleet.at_s += MIN_RETENTION_S - 1.0
        await first.begin(SERVICE, "a", "v1", 0.0)
        fleet.at_s += 2.0
        with pytest.raises(VersionUnrecorded):
            await first.begin(SERVICE, "b", "v1", 0.0)

    asyncio.run(work())
