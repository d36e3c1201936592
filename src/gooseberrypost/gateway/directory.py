"""Configuration and backend servers, followed from the platform's store.

A feed is read whole once and then followed by its changes. While it is lost
the last known state stays in use, and its age is reported.
"""

from __future__ import annotations

import time
from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, Generic, TypeVar

from absl import logging
from mode import Service as ModeService

from gooseberrypost.blackboard import Section
from gooseberrypost.errors import Failure
from gooseberrypost.gateway.model import Configuration, Server
from gooseberrypost.policy.membership import ServerList

if TYPE_CHECKING:
    from gooseberrypost.blackboard import Blackboard

BATCH_S: Final = 0.15
"""Pause after a change, so that quick successions cost one call.

A change must be in force within 2 s; a store call is priced.
"""
MIN_BACKOFF_S: Final = 0.1
MAX_BACKOFF_S: Final = 0.8
"""A store that is back is used within a second."""


class FeedLost(Failure):
    """The source did not answer."""

    code = "feed_lost"


class HistoryLost(Failure):
    """The changes since the last answer are gone; the feed is read anew."""

    code = "history_lost"


T = TypeVar("T")


@dataclass(slots=True, frozen=True)
class Batch(Generic[T]):
    """Items that are new or changed, keys that are gone, and the revision."""

    items: tuple[T, ...]
    removed: tuple[str, ...]
    at: int
    is_whole: bool
    """Whether everything that exists is among the items."""


class Feed(ABC, Generic[T]):
    """Source of items with a history."""

    @abstractmethod
    async def read(self) -> Batch[T]:
        """Return everything; raises ``FeedLost``."""

    @abstractmethod
    async def wait(self, after: int) -> Batch[T]:
        """Return the changes after a revision, perhaps none.

        Raises ``FeedLost`` or ``HistoryLost``.
        """


class Directory(Section):
    """What is known of routes and servers; written by the followers."""

    __slots__ = ("configuration", "configuration_read_s", "servers")

    def __init__(self) -> None:
        super().__init__()
        self.configuration = Configuration()
        self.configuration_read_s = 0.0
        """Monotonic time of the last answer; 0 before the first."""
        self.servers = ServerList()

    @property
    def is_known(self) -> bool:
        """Whether requests can be routed at all."""
        return self.configuration.version > 0 and self.servers.is_known


class Follower(ModeService, ABC, Generic[T]):
    """Follows one feed."""

    name: str = "feed"

    def __init__(self, feed: Feed[T]) -> None:
        super().__init__()
        self._feed = feed
        self._at = 0
        self._is_lost = False
        self._backoff_s = MIN_BACKOFF_S

    @abstractmethod
    def apply(self, batch: Batch[T], now_s: float) -> None:
        """Take a batch into the blackboard."""

    async def on_started(self) -> None:
        """Follow until the service stops."""
        self.add_future(self._follow())

    async def _follow(self) -> None:
        while not self.should_stop:
            try:
                batch = await (
                    self._feed.wait(self._at)
                    if self._at
                    else self._feed.read()
                )
            except HistoryLost as lost:
                logging.info(
                    "event=history_lost feed=%s at=%d detail=%r",
                    self.name,
                    self._at,
                    lost.detail,
                )
                self._at = 0
                continue
            except FeedLost as lost:
                await self._note_lost(lost)
                continue
            self._note_answer()
            self._at = batch.at
            self.apply(batch, time.monotonic())
            if batch.items or batch.removed:
                await self.sleep(BATCH_S)

    async def _note_lost(self, lost: FeedLost) -> None:
        if not self._is_lost:
            logging.warning(
                "event=dependency_lost feed=%s at=%d detail=%r",
                self.name,
                self._at,
                lost.detail,
            )
            self._is_lost = True
            self.on_lost(time.monotonic())
        await self.sleep(self._backoff_s)
        self._backoff_s = min(2 * self._backoff_s, MAX_BACKOFF_S)

    def _note_answer(self) -> None:
        if self._is_lost:
            logging.info("event=dependency_regained feed=%s", self.name)
            self.on_regained(time.monotonic())
        self._is_lost = False
        self._backoff_s = MIN_BACKOFF_S

    def on_lost(self, now_s: float) -> None:
        """React to the loss of the feed."""

    def on_regained(self, now_s: float) -> None:
        """React to the first answer after a loss."""


class ConfigurationFollower(Follower[Configuration]):
    """Keeps the newest configuration."""

    name = "configuration"

    def __init__(
        self, feed: Feed[Configuration], directory: Directory
    ) -> None:
        super().__init__(feed)
        self._directory = directory

    def apply(self, batch: Batch[Configuration], now_s: float) -> None:
        """Take a newer version; an older one never replaces it."""
        directory = self._directory
        directory.configuration_read_s = now_s
        for cfg in batch.items:
            if cfg.version <= directory.configuration.version:
                continue
            logging.info(
                "event=configuration version=%d before=%d routes=%d",
                cfg.version,
                directory.configuration.version,
                len(cfg.routes),
            )
            directory.configuration = cfg
            directory.notify()


class ServerFollower(Follower[Server]):
    """Keeps the list of servers."""

    name = "servers"

    def __init__(self, feed: Feed[Server], directory: Directory) -> None:
        super().__init__(feed)
        self._directory = directory

    def apply(self, batch: Batch[Server], now_s: float) -> None:
        """Take changes into the list and log each of them."""
        servers = self._directory.servers
        changes = servers.apply(
            batch.items, batch.removed, batch.is_whole, now_s
        )
        for change in changes:
            logging.info("%s", change.line(batch.at))
        if changes:
            self._directory.notify()

    def on_regained(self, now_s: float) -> None:
        """Registrations that lapsed meanwhile may come back."""
        self._directory.servers.note_regained(now_s)


def register(board: Blackboard, owner: str) -> Directory:
    """Add the directory section to a blackboard."""
    board.add(Directory(), owner)
    return board.write(Directory, owner)
