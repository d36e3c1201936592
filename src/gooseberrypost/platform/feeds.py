"""Feeds of the configuration and of the servers from the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from absl import logging
from result import Err

from gooseberrypost.gateway.directory import Batch, Feed
from gooseberrypost.gateway.model import Configuration, Server
from gooseberrypost.platform import names
from gooseberrypost.platform.documents import (
    decode_configuration,
    decode_server,
)

if TYPE_CHECKING:
    from gooseberrypost.platform.store import Item, Items, PlatformStore

WAIT_MS: Final = 20_000
"""Wait of a watch; each costs a call, and probes notice a silent one."""


class ConfigurationFeed(Feed[Configuration]):
    """The operator's newest configuration."""

    def __init__(self, store: PlatformStore) -> None:
        self._store = store

    async def read(self) -> Batch[Configuration]:
        """Return the configuration, if there is one."""
        found = await self._store.range(names.CONFIGURATION_PREFIX)
        return self._batch(found, is_whole=True)

    async def wait(self, after: int) -> Batch[Configuration]:
        """Return later versions."""
        found = await self._store.watch(
            names.CONFIGURATION_PREFIX, after, WAIT_MS
        )
        return self._batch(found, is_whole=False)

    def _batch(self, found: Items, is_whole: bool) -> Batch[Configuration]:
        versions = []
        for item in found.items:
            if item.key != names.CONFIGURATION_KEY or item.value is None:
                continue
            decoded = decode_configuration(item.value)
            if isinstance(decoded, Err):
                _log_invalid(item, decoded.err_value)
                continue
            versions.append(decoded.ok_value)
        return Batch(tuple(versions), (), found.at, is_whole)


class ServerFeed(Feed[Server]):
    """Registrations of the backend servers."""

    def __init__(self, store: PlatformStore) -> None:
        self._store = store

    async def read(self) -> Batch[Server]:
        """Return all registrations."""
        found = await self._store.range(names.SERVERS_PREFIX)
        return self._batch(found, is_whole=True)

    async def wait(self, after: int) -> Batch[Server]:
        """Return later registrations and removals."""
        found = await self._store.watch(names.SERVERS_PREFIX, after, WAIT_MS)
        return self._batch(found, is_whole=False)

    def _batch(self, found: Items, is_whole: bool) -> Batch[Server]:
        # The last change of a key in the batch decides.
        last = {item.key: item for item in found.items}
        written, removed = [], []
        for key, item in last.items():
            instance = key.removeprefix(names.SERVERS_PREFIX)
            if item.value is None:
                removed.append(instance)
                continue
            decoded = decode_server(instance, item.value, item.revision)
            if isinstance(decoded, Err):
                _log_invalid(item, decoded.err_value)
                continue
            written.append(decoded.ok_value)
        return Batch(tuple(written), tuple(removed), found.at, is_whole)


def _log_invalid(item: Item, failure: Exception) -> None:
    logging.warning(
        "event=invalid_entry key=%r revision=%d detail=%r",
        item.key,
        item.revision,
        str(failure),
    )
