"""Time until a change is in force, around outages, on a virtual clock."""

from __future__ import annotations

import asyncio
import time

import pytest

from gooseberrypost.gateway.directory import (
    UNKNOWN_HOLDER,
    Directory,
    Feed,
    FeedLost,
    FeedUpdate,
    HistoryLost,
)
from gooseberrypost.gateway.feedwatch import FeedWatcher
from gooseberrypost.gateway.model import Configuration
from gooseberrypost.metrics import Metrics
from gooseberrypost.platform.storecalls import (
    MAX_RESPONSE_TIMEOUT_S,
    MIN_RESPONSE_TIMEOUT_S,
)
from gooseberrypost.policy.responsetimeout import ResponseTimeouts
from tests.gateway_kit import serving
from tests.virtual_loop import run_virtual

ROUND_TRIP_S = 0.004
PHASES = 23
"""Times of an outage that are tried within one watch."""


class TimedFeed(Feed):
    """Feed of a store with an outage, a change and a slow link.

    Calls have the timeouts of the store's client.
    """

    def __init__(
        self, mode: str, outage: tuple[float, float], change_s: float
    ):
        self.mode = mode
        self.begin_s, self.end_s = outage
        self.change_s = change_s
        self.transfer_s = 0.0
        self.loop = asyncio.get_running_loop()
        self.timeouts = ResponseTimeouts(
            MIN_RESPONSE_TIMEOUT_S, MAX_RESPONSE_TIMEOUT_S
        )
        self.is_compacted = False
        self.calls: list[float] = []

    @property
    def version(self) -> int:
        return 2 if self.loop.time() >= self.change_s else 1

    def update(self, known: int, *, is_snapshot: bool) -> FeedUpdate:
        version = self.version
        is_new = is_snapshot or version > known
        listed = (Configuration(version),) if is_new else ()
        return FeedUpdate(listed, (), (), version, is_snapshot)

    @property
    def is_receiving(self) -> bool:
        return False

    async def read(self):
        return await self.call("read", 0.0, 0)

    async def probe(self):
        await self.call("probe", 0.0, None)

    async def watch(self, after_revision, wait_ms):
        return await self.call("watch", wait_ms / 1_000, after_revision)

    async def call(self, kind: str, wait_s: float, known: int | None):
        began_s = self.loop.time()
        self.calls.append(began_s)
        limit_s = self.timeouts.of(kind) + wait_s
        try:
            async with asyncio.timeout(limit_s):
                await self.wait_for_answer(wait_s, known)
        except TimeoutError:
            self.timeouts.record_timeout(kind)
            raise FeedLost("timeout") from None
        response_s = max(0.0, self.loop.time() - began_s - wait_s)
        self.timeouts.record_response(kind, response_s)
        if known is None:
            return None
        if known and self.is_compacted and self.loop.time() >= self.begin_s:
            raise HistoryLost("compacted")
        update = self.update(known, is_snapshot=not known)
        if update.configurations:
            await asyncio.sleep(self.transfer_s)
        return update

    async def wait_for_answer(self, wait_s: float, known: int | None):
        end_s = self.loop.time() + wait_s
        await self.pass_through(ROUND_TRIP_S)
        while known == self.version and self.loop.time() < end_s:
            now_s = self.loop.time()
            times_s = (self.begin_s, self.change_s, end_s)
            next_s = min(at_s for at_s in times_s if at_s > now_s)
            await self.pass_through(next_s - now_s)

    async def pass_through(self, time_s: float):
        """Wait; hang or fail if the store is away in the meantime."""
        await asyncio.sleep(time_s)
        if self.begin_s <= self.loop.time() < self.end_s:
            if self.mode == "refused":
                raise FeedLost("status 429")
            # The connection stays dead after the outage.
            await asyncio.sleep(3_600)


async def time_to_force(feed: TimedFeed, propagation_s: float) -> float:
    """Return how long after the change, or the outage, it was in force."""
    directory = Directory()
    watcher = FeedWatcher(
        feed,
        directory,
        round(1_000 * propagation_s),
        Metrics(),
        feed.loop.time,
    )
    await watcher.start()
    async with asyncio.timeout(feed.end_s + 10 * propagation_s):
        while directory.configuration.version < 2:
            await directory.changed()
    at_s = feed.loop.time()
    await watcher.stop()
    return at_s - max(feed.change_s, feed.end_s)


@pytest.mark.parametrize("propagation_s", [2.0, 3.0, 16.0])
@pytest.mark.parametrize("mode", ["silent", "refused", "compacted", "calm"])
def test_change_is_in_force_within_its_time_after_an_outage(
    mode, propagation_s
):
    """Guards against bounds that add up past the time for a change.

    An outage of several lengths begins at any time of a watch; the change is
    made before, in and after it, and takes a fifth of the time to arrive.
    """
    waits_s = []
    for length_s in (0.0,) if mode == "calm" else (0.1, 2.5, 6.0):
        for phase in range(PHASES):
            begin_s = propagation_s * (3 + phase / PHASES)
            for change_s in (
                begin_s + 0.05,
                begin_s + length_s / 2,
                begin_s + length_s + 0.3,
            ):

                async def work(
                    outage=(begin_s, begin_s + length_s), change_s=change_s
                ):
                    feed = TimedFeed(mode, outage, change_s)
                    feed.is_compacted = mode == "compacted"
                    feed.transfer_s = 0.2 * propagation_s
                    return await time_to_force(feed, propagation_s)

                waits_s.append(run_virtual(work()))
    assert max(waits_s) <= propagation_s


@pytest.mark.parametrize("propagation_s", [2.0, 3.0, 16.0])
def test_dead_connection_does_not_hide_a_change(propagation_s):
    """Guards against a watch on a dead connection that hides a change.

    The connection dies just before the change, and new ones work at once.
    """
    waits_s = []
    for phase in range(PHASES):
        begin_s = propagation_s * (3 + phase / PHASES)

        async def work(begin_s=begin_s):
            feed = TimedFeed(
                "silent", (begin_s, begin_s + 2 * ROUND_TRIP_S), begin_s
            )
            return await time_to_force(feed, propagation_s)

        waits_s.append(run_virtual(work()))
    assert max(waits_s) <= propagation_s


def test_store_that_is_away_gets_few_calls():
    """Guards against gateways that press on a store in trouble."""

    async def work():
        feed = TimedFeed("refused", (1.0, 21.0), 22.0)
        await time_to_force(feed, 2.0)
        during = [at_s for at_s in feed.calls if 1.0 <= at_s < 21.0]
        assert len(during) <= 20.0 / 0.4

    run_virtual(work())


async def used_after_a_loss_of_contact(
    *, is_store_in_use: bool = False, has_drained: bool = False
) -> set[str]:
    """Return the servers in use, one of which was removed meanwhile."""
    async with serving(("a", "desk", ""), ("b", "desk", "")) as kit:
        servers = kit.daemon.context.directory.servers
        kit.store.refusal = 503
        kit.store.abort_connections()
        await asyncio.sleep(0.3)
        if is_store_in_use:
            kit.store.put("gooseberrypost/gateways/other", b"127.0.0.1:9")
        if has_drained:
            kit.register("b", "desk", state="draining")
        kit.store.remove("servers/b")
        kit.store.refusal = 0
        feed = kit.daemon.context.directory.freshness
        await kit.until(lambda: feed.age_s(time.monotonic()) < 0.2)
        used = servers.of("desk", time.monotonic())
        return {server.instance for server in used}


def test_server_that_left_during_a_loss_of_contact_is_not_used():
    """Guards against using a server for seconds after it has left.

    Only this gateway had lost the store, in which others wrote meanwhile.
    """
    used = asyncio.run(used_after_a_loss_of_contact(is_store_in_use=True))
    assert used == {"a"}


def test_server_that_drained_during_a_loss_of_contact_is_not_used():
    """Guards against using a server for seconds after it has left.

    Its last registration is in the changes, and says that it drains.
    """
    used = asyncio.run(used_after_a_loss_of_contact(has_drained=True))
    assert used == {"a"}


def test_server_that_lapsed_during_an_outage_stays_in_use():
    """Guards against dropping servers whose registrations a store has lost.

    They are written again soon after the outage.
    """
    used = asyncio.run(used_after_a_loss_of_contact())
    assert used == {"a", "b"}


def test_store_that_refuses_all_but_small_calls_is_not_pressed():
    """Guards against calls at the shortest interval while a store is busy.

    It answers probes and refuses each watch.
    """

    async def work():
        async with serving(("a", "desk", "")) as kit:
            kit.store.refuses_watches = True
            kit.store.abort_connections()
            kit.store.queries.clear()
            await asyncio.sleep(3.0)
            paths = [path for path, _ in kit.store.queries]
            watches = [path for path in paths if "watch" in path]
            # Two in the first 0.3 s, and then one each 0.5 s.
            assert 2 <= len(watches) <= 9

    asyncio.run(work())


def test_order_of_another_holder_may_have_been_sent_during_an_outage():
    """Guards against two lock holders that order within one lease.

    A record that was written and removed meanwhile is not among the changes.
    """

    async def work():
        async with serving(("a", "desk", "")) as kit:
            directory = kit.daemon.context.directory
            await asyncio.sleep(0.3)
            kit.store.refusal = 503
            kit.store.abort_connections()
            await asyncio.sleep(0.3)
            kit.store.put("gooseberrypost/stage-orders/i", b"{}")
            kit.store.remove("gooseberrypost/stage-orders/i")
            regained_s = time.monotonic()
            kit.store.refusal = 0
            await kit.until(
                lambda: directory.freshness.age_s(time.monotonic()) < 0.2
            )
            assert directory.last_stage_order_s[UNKNOWN_HOLDER] > regained_s

    asyncio.run(work())
