"""Configuration and backend servers, followed from the platform's store.

A feed is read whole once and then followed by its changes. While it is lost
the last known state stays in use, and its age is reported.
"""

from __future__ import annotations

import time
from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from absl import logging
from mode import Service

from gooseberrypost.blackboard import Section
from gooseberrypost.errors import Failure
from gooseberrypost.gateway.model import (
    Configuration,
    Server,
    Stage,
    StageOrder,
)
from gooseberrypost.policy.membership import ServerList

if TYPE_CHECKING:
    from collections.abc import Mapping

    from gooseberrypost.blackboard import Blackboard

BATCH_SHARE: Final = 0.075
"""Pause after a change, so that quick successions cost one call; a share of
the time in which a change must be in force."""
WATCH_SHARE: Final = 0.6
"""Wait of a watch, as a share of the time in which a change must be in force.

A watch can be deaf while changes are made; the next one finds them.
"""
MIN_BACKOFF_S: Final = 0.1
UNKNOWN_HOLDER: Final = ""
"""Name for a holder whose orders were not seen."""
ORDER_LAPSES_S: Final = 15.0
"""Time after which an order that had no effect is no longer waited for.

A change takes 6 s, and an order may be carried out 12 s late; an engine that
refuses meanwhile says that it did not run the request.
"""
MAX_BACKOFF_S: Final = 0.8
"""A store that is back is used within a second."""


class FeedLost(Failure):
    """The source did not answer."""

    code = "feed_lost"


class HistoryLost(Failure):
    """The changes since the last answer are gone; the feed is read anew."""

    code = "history_lost"


@dataclass(slots=True, frozen=True)
class Batch:
    """What is new, changed or gone, and the revision of the source."""

    configurations: tuple[Configuration, ...]
    servers: tuple[Server, ...]
    removed: tuple[str, ...]
    """Instances whose registrations are gone."""
    at: int
    is_whole: bool = False
    """Whether everything that exists is in the batch."""

    gateways: Mapping[str, str | None] = field(default_factory=dict)
    """Addresses of gateways by name; None where the registration is gone."""

    stage_holder: str | None = None
    """Gateway that orders stage changes; empty where there is none now."""
    stage_orders: tuple[StageOrder, ...] = ()
    stage_orders_gone: tuple[str, ...] = ()
    """Engines whose orders are no longer waited for."""

    @property
    def is_empty(self) -> bool:
        """Whether nothing changed."""
        return not (
            self.configurations
            or self.servers
            or self.removed
            or self.gateways
            or self.stage_orders
            or self.stage_orders_gone
            or self.stage_holder is not None
        )


class Feed(ABC):
    """Source of the configuration and the servers, with a history."""

    @abstractmethod
    async def read(self) -> Batch:
        """Return everything; raises ``FeedLost``."""

    @abstractmethod
    async def wait(self, after: int, wait_ms: int) -> Batch:
        """Return the changes after a revision, none when the time is over.

        Raises ``FeedLost`` or ``HistoryLost``.
        """


class Directory(Section):
    """What is known of routes and servers; written by the follower."""

    __slots__ = (
        "configuration",
        "gateways",
        "servers",
        "stage_holder",
        "stage_order_s",
        "stage_orders",
    )

    def __init__(self) -> None:
        super().__init__()
        self.configuration = Configuration()
        self.servers = ServerList()
        self.gateways: dict[str, str] = {}
        """Internal addresses of the registered gateways, by name."""
        self.stage_holder = ""
        """Gateway that orders stage changes; empty: none."""
        self.stage_order_s: dict[str, float] = {}
        """When a gateway may have given its last order, by name."""
        self.stage_orders: dict[str, tuple[Stage, float]] = {}
        """Stage that an engine was ordered to take, and when."""

    def serving(self, service: str, now_s: float) -> list[Server]:
        """Servers of a service, without engines that change their pool."""
        return [
            server
            for server in self.servers.of(service, now_s)
            if not self.is_switching(server, now_s)
        ]

    def is_switching(self, server: Server, now_s: float) -> bool:
        """Whether an engine was ordered to a pool that it is not in yet."""
        ordered = self.stage_orders.get(server.instance)
        if ordered is None:
            return False
        stage, since_s = ordered
        return stage is not server.stage and now_s - since_s < ORDER_LAPSES_S

    @property
    def is_known(self) -> bool:
        """Whether requests can be routed at all."""
        return self.configuration.version > 0 and self.servers.is_loaded


class Follower(Service):
    """Follows the feed and owns the directory."""

    def __init__(
        self, feed: Feed, directory: Directory, apply_ms: int
    ) -> None:
        super().__init__()
        self._feed = feed
        self._wait_ms = round(WATCH_SHARE * apply_ms)
        self._batch_s = BATCH_SHARE * apply_ms / 1_000
        self._directory = directory
        self._at = 0
        """Revision to continue from; 0: everything is read."""
        self._is_lost = False
        self._backoff_s = MIN_BACKOFF_S

    async def on_started(self) -> None:
        """Follow until the service stops."""
        self.add_future(self._follow())

    async def _follow(self) -> None:
        while not self.should_stop:
            try:
                batch = await self._next()
            except HistoryLost as lost:
                logging.info(
                    "event=history_lost at=%d detail=%r", self._at, lost.detail
                )
                self._at = 0
                continue
            except FeedLost as lost:
                await self._note_lost(lost)
                continue
            self._note_answer()
            try:
                self.apply(batch, time.monotonic())
            except Exception:
                # The next batches are taken all the same.
                logging.exception("event=batch_failed at=%d", batch.at)
            if not batch.is_empty:
                # After an answer without changes the same revision is asked
                # for again: a watch that was deaf while something changed
                # has answered with a revision behind the change.
                self._at = batch.at
                await self.sleep(self._batch_s)

    async def _next(self) -> Batch:
        if self._at:
            return await self._feed.wait(self._at, self._wait_ms)
        return await self._feed.read()

    async def _note_lost(self, lost: FeedLost) -> None:
        if not self._is_lost:
            logging.warning(
                "event=dependency_lost dependency=store at=%d detail=%r",
                self._at,
                lost.detail,
            )
        self._is_lost = True
        # Read everything next: the answer comes at once and tells what
        # lapsed meanwhile.
        self._at = 0
        await self.sleep(self._backoff_s)
        self._backoff_s = min(2 * self._backoff_s, MAX_BACKOFF_S)

    def _note_answer(self) -> None:
        if self._is_lost:
            logging.info("event=dependency_regained dependency=store")
            self._directory.servers.record_reconnect(time.monotonic())
        self._is_lost = False
        self._backoff_s = MIN_BACKOFF_S

    def apply(self, batch: Batch, now_s: float) -> None:
        """Take a batch into the directory and log each change."""
        directory = self._directory
        for cfg in batch.configurations:
            # An older version never replaces a newer one.
            if cfg.version > directory.configuration.version:
                logging.info(
                    "event=configuration version=%d before=%d routes=%d at=%d",
                    cfg.version,
                    directory.configuration.version,
                    len(cfg.routes),
                    batch.at,
                )
                directory.configuration = cfg
        for change in directory.servers.apply(
            batch.servers, batch.removed, batch.is_whole, now_s
        ):
            logging.info("%s", change.log_line(batch.at))
        for name, address in batch.gateways.items():
            if address is None:
                directory.gateways.pop(name, None)
            else:
                directory.gateways[name] = address
        self._apply_stages(batch, now_s)
        if not batch.is_empty:
            directory.notify()

    def _apply_stages(self, batch: Batch, now_s: float) -> None:
        directory = self._directory
        if batch.is_whole:
            # Notes go with the lease of their holder, so that a whole list
            # does not show those of a former one.
            directory.stage_order_s[UNKNOWN_HOLDER] = now_s
            directory.stage_holder = batch.stage_holder or ""
        elif batch.stage_holder is not None:
            directory.stage_holder = batch.stage_holder
        for instance in batch.stage_orders_gone:
            directory.stage_orders.pop(instance, None)
        for order in batch.stage_orders:
            directory.stage_orders[order.instance] = order.stage, now_s
            directory.stage_order_s[order.holder] = now_s
            logging.info(
                "event=stage_ordered server=%s stage=%s holder=%s at=%d",
                order.instance,
                order.stage.value,
                order.holder,
                batch.at,
            )
        for server in batch.servers:
            ordered = directory.stage_orders.get(server.instance)
            if ordered is not None and ordered[0] is server.stage:
                del directory.stage_orders[server.instance]


def register(board: Blackboard, owner: str) -> Directory:
    """Add the directory section to a blackboard."""
    board.add(Directory(), owner)
    return board.write(Directory, owner)
