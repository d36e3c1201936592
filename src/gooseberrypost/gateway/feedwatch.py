"""Follows the feed: the configuration and the registrations in the store.

The watcher reads a snapshot once and then watches for changes. While the
store is unavailable the last known state stays in use, and so does the
revision from which to watch: an outage does not lose the history.
"""

from __future__ import annotations

import asyncio
import time
from contextlib import contextmanager
from typing import TYPE_CHECKING, Final

from absl import logging
from mode import Service

from gooseberrypost.gateway.directory import (
    STAGE_ORDER_TIMEOUT_S,
    UNKNOWN_HOLDER,
    FeedLost,
    FeedOutdated,
    FeedUnusable,
    HistoryLost,
)
from gooseberrypost.gateway.feedprobes import ProbeInterval, open_probes
from gooseberrypost.gateway.tasks import keep_running

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from gooseberrypost.gateway.directory import Directory, Feed, FeedUpdate
    from gooseberrypost.metrics import Metrics

COALESCE_SHARE: Final = 0.075
"""Pause after a change, so that changes in quick succession share one call,
as a fraction of the time limit for a change to take effect."""
STREAMS_COALESCE_SHARE: Final = 0.2
"""The same after records of streams alone, which are looked up in the store
if they are not known here."""
WATCH_WAIT_SHARE: Final = 0.5
"""Duration of one watch call, as a fraction of the time limit for a change to
take effect.

The timeout of a dead connection, a probe and the transfer of the change come
on top of it. A watch may miss changes that are made while it is open; the next
call, from the same revision, returns them.
"""
PEER_CHECK_SHARE: Final = 0.125
"""Interval at which an open watch is compared with the versions of the other
gateways, as a fraction of the same time limit."""


@contextmanager
def cancelled_at_end(task: asyncio.Future[FeedUpdate]) -> Iterator[None]:
    """Cancel a task that is not done at the end of a block."""
    try:
        yield
    finally:
        task.cancel()


class FeedWatcher(Service):
    """Watches the feed and applies its updates to the directory."""

    def __init__(
        self,
        feed: Feed,
        directory: Directory,
        propagation_ms: int,
        metrics: Metrics,
        now_s: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._metrics = metrics
        self._feed = feed
        self._now_s = now_s
        self._propagation_s = propagation_s = propagation_ms / 1_000
        self._watch_wait_ms = round(WATCH_WAIT_SHARE * propagation_ms)
        self._coalesce_s = COALESCE_SHARE * propagation_s
        self._streams_coalesce_s = STREAMS_COALESCE_SHARE * propagation_s
        self._interval = ProbeInterval(propagation_s)
        self._directory = directory
        self._revision = 0
        """Revision to watch from; 0 to read a snapshot next."""
        self._wait_ms = self._watch_wait_ms
        """Wait of the last watch."""
        self._is_store_unavailable = False
        self._is_hiding = False
        """Whether the last answer left out changes that the store has."""
        self._sought_version = 0
        """Highest version of another gateway for which a snapshot was read."""

    async def on_started(self) -> None:
        """Watch the feed until the service stops."""
        self.add_future(keep_running(self, self._watch_feed, self._metrics))

    async def _watch_feed(self) -> None:
        while not self.should_stop:
            called_s = self._now_s()
            try:
                update = await self._next_update()
            except (HistoryLost, FeedOutdated) as lost:
                self._read_again(lost.code, lost.detail)
                continue
            except FeedLost as lost:
                self._record_lost(lost)
                await self._wait_for_store()
                continue
            self._record_answer()
            if update.era != self._directory.era and not update.is_snapshot:
                # The revision belongs to a history that the store has lost.
                self._revision = 0
                continue
            try:
                now_s = self._now_s()
                self.apply(update, now_s)
                self._record_evidence(update, called_s, now_s)
            except Exception:
                # A failed update must not stop the watch.
                logging.exception("event=batch_failed at=%d", update.revision)
            if self._are_changes_lost(update):
                self._read_again("changes_hidden")
            elif update.revision != self._revision:
                self._revision = update.revision
                await self.sleep(
                    self._coalesce_s
                    if update.is_urgent
                    else self._streams_coalesce_s
                )

    def _read_again(self, event: str, detail: str = "") -> None:
        """Have a snapshot read next, as a watch does not show all changes."""
        logging.info("event=%s at=%d detail=%r", event, self._revision, detail)
        self._revision = 0

    def _are_changes_lost(self, update: FeedUpdate) -> bool:
        """Whether watches from this revision will not show all changes.

        One may end just before a change; the next one then shows it at once.
        """
        is_repeated = self._is_hiding and update.revision == self._revision
        self._is_hiding = update.hides_changes
        return update.hides_changes and is_repeated

    async def _next_update(self) -> FeedUpdate:
        is_resumed = self._is_store_unavailable
        if is_resumed and self._directory.is_behind(self._propagation_s):
            # The changes may have several versions of the configuration.
            self._revision = 0
        if not self._revision:
            return await self._feed.read()
        # Changes that are known to be there are returned at once.
        is_due = is_resumed or self._is_hiding
        self._wait_ms = 0 if is_due else self._watch_wait_ms
        watch = asyncio.ensure_future(
            self._feed.watch(self._revision, self._wait_ms)
        )
        with cancelled_at_end(watch):
            return await self._wait_unless_behind(watch)

    async def _wait_unless_behind(
        self, watch: asyncio.Future[FeedUpdate]
    ) -> FeedUpdate:
        """Wait for a watch, unless others know of a change that it hides.

        Its connection may be dead. Raises ``FeedOutdated``.
        """
        was_behind = False
        while True:
            done, _ = await asyncio.wait(
                {watch}, timeout=PEER_CHECK_SHARE * self._propagation_s
            )
            if done:
                return watch.result()
            is_behind = not self._feed.is_receiving and self._has_to_seek()
            if is_behind and was_behind:
                version = self._directory.freshness.peer_version
                self._sought_version = version
                raise FeedOutdated(f"another gateway has version {version}")
            was_behind = is_behind

    def _has_to_seek(self) -> bool:
        """Whether another gateway has a version that was not looked for.

        A version that is not in the store is looked for once.
        """
        directory = self._directory
        return (
            directory.freshness.peer_version > self._sought_version
            and directory.is_behind(self._propagation_s)
        )

    def _record_evidence(
        self, update: FeedUpdate, called_s: float, answered_s: float
    ) -> None:
        """Record until when the store had nothing newer than this answer.

        The store answers a watch when its wait ends at the latest. An answer
        that is handled later, by a process that was paused, proves no more
        than that. A snapshot is read at the start of its call.
        """
        if update.hides_changes:
            return
        wait_s = 0.0 if update.is_snapshot else self._wait_ms / 1_000
        self._directory.freshness.record_answer(
            min(answered_s, called_s + wait_s)
        )

    def _record_lost(self, lost: FeedLost) -> None:
        kind = "watch" if self._revision else "read"
        self._metrics.count("feed_failures_total", call=kind)
        if not self._is_store_unavailable:
            logging.warning(
                "event=dependency_lost dependency=store at=%d detail=%r",
                self._revision,
                lost.detail,
            )
        self._is_store_unavailable = True
        if isinstance(lost, FeedUnusable):
            # A list of changes may have several versions of a key, and so be
            # longer than a snapshot.
            self._revision = 0

    async def _wait_for_store(self) -> None:
        """Call the store at growing intervals until it answers.

        The probes are small, so that a link which other traffic fills does not
        delay the recovery further. A store that answers them may still fail
        the call that follows, so the interval grows until one succeeds.
        """
        await self.sleep(self._interval.next_s())
        with open_probes(self._feed) as probes:
            while not self.should_stop:
                probes.start()
                if await probes.wait(self._interval.next_s()):
                    return

    def _record_answer(self) -> None:
        if self._is_store_unavailable:
            now_s = self._now_s()
            logging.info(
                "event=dependency_regained dependency=store age_ms=%d",
                self._directory.age_ms(now_s),
            )
            self._directory.servers.record_reconnect(now_s)
            # The changes do not show an order whose record was removed again.
            self._directory.last_stage_order_s[UNKNOWN_HOLDER] = now_s
        self._is_store_unavailable = False
        self._interval.reset()

    def apply(self, update: FeedUpdate, now_s: float) -> None:
        """Apply an update to the directory and log each change."""
        directory = self._directory
        if update.era != directory.era:
            if directory.is_loaded:
                logging.warning(
                    "event=feed_restored era=%d before=%d at=%d",
                    update.era,
                    directory.era,
                    update.revision,
                )
                self._metrics.count("store_restores_total")
                # Servers whose registrations were lost write them again.
                directory.servers.record_reconnect(now_s)
            directory.era = update.era
        for cfg in update.configurations:
            # Ignore a configuration that is not newer than the current one.
            if cfg.version > directory.configuration.version:
                logging.info(
                    "event=configuration version=%d before=%d routes=%d at=%d",
                    cfg.version,
                    directory.configuration.version,
                    len(cfg.routes),
                    update.revision,
                )
                directory.apply_configuration(cfg)
        for change in directory.servers.apply(
            update.servers, update.removed, update.is_snapshot, now_s
        ):
            logging.info("%s", change.log_line(update.revision))
        if update.is_snapshot:
            directory.gateways.clear()
        for name, address in update.gateways.items():
            if address is None:
                directory.gateways.pop(name, None)
            else:
                directory.gateways[name] = address
        self._apply_convictions(update)
        directory.apply_versions(update, now_s)
        self._apply_stages(update, now_s)
        if not update.is_empty:
            directory.notify()

    def _apply_convictions(self, update: FeedUpdate) -> None:
        directory = self._directory
        if update.is_snapshot:
            directory.convictions.clear()
            directory.withdrawn.clear()
            directory.crashes.clear()
        for key, at_ms in update.convictions.items():
            directory.convictions.pop(key, None)
            directory.withdrawn.pop(key, None)
            if at_ms is not None and at_ms >= 0:
                directory.convictions[key] = at_ms
            elif at_ms is not None:
                directory.withdrawn[key] = -at_ms
        for key, record in update.crashes.items():
            if record is None:
                directory.crashes.pop(key, None)
            else:
                directory.crashes[key] = record

    def _apply_stages(self, update: FeedUpdate, now_s: float) -> None:
        directory = self._directory
        if update.is_snapshot:
            # Order records are removed with their holder's lease, so a
            # snapshot does not show those of a former lock holder. Assume
            # that such an order was sent just now.
            directory.last_stage_order_s[UNKNOWN_HOLDER] = now_s
            directory.stage_lock_holder = update.stage_lock_holder or ""
        elif update.stage_lock_holder is not None:
            directory.stage_lock_holder = update.stage_lock_holder
        # A record is removed when its holder's lease ends. The engine may
        # still execute the order, so it counts until the engine registers with
        # the stage, or until ``STAGE_ORDER_TIMEOUT_S``.
        for instance, (_, since_s) in list(directory.stage_orders.items()):
            if now_s - since_s > STAGE_ORDER_TIMEOUT_S:
                del directory.stage_orders[instance]
        for order in update.stage_orders:
            directory.stage_orders[order.instance] = order.stage, now_s
            directory.last_stage_order_s[order.holder] = now_s
            logging.info(
                "event=stage_ordered server=%s stage=%s holder=%s at=%d",
                order.instance,
                order.stage.value,
                order.holder,
                update.revision,
            )
        for server in update.servers:
            ordered = directory.stage_orders.get(server.instance)
            if ordered is not None and ordered[0] is server.stage:
                del directory.stage_orders[server.instance]
