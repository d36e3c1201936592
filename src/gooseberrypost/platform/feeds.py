"""Feed of the configuration and the registrations in the store."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Final

from absl import logging
from result import Err, Result

from gooseberrypost.address import is_usable
from gooseberrypost.gateway.directory import Feed, FeedUpdate
from gooseberrypost.gateway.model import DefaultVersion
from gooseberrypost.platform import names
from gooseberrypost.platform.documents import (
    decode_configuration,
    decode_crash,
    decode_server,
    decode_stage_order,
)
from gooseberrypost.platform.storecalls import StoreUnavailable
from gooseberrypost.strictjson import MAX_WHOLE

if TYPE_CHECKING:
    from typing import Any

    from gooseberrypost.gateway.model import (
        Configuration,
        Server,
        StageOrder,
    )
    from gooseberrypost.gateway.quarantine import CrashRecord
    from gooseberrypost.platform.store import Item, Items, PlatformStore

ALL_KEYS: Final = ""
"""Prefix that matches every key, so that a single watch covers all of them."""


class StoreFeed(Feed):
    """Configuration, servers and gateway records, read from the store."""

    def __init__(self, store: PlatformStore) -> None:
        self._store = store

    async def read(self) -> FeedUpdate:
        """Return a snapshot."""
        servers = await self._store.range(names.SERVERS_PREFIX)
        product = await self._store.range(names.PRODUCT_PREFIX)
        # The largest range is read last, so that the failure of another one
        # does not have it read again.
        configuration = await self._store.range(names.CONFIGURATION_PREFIX)
        # The first watch starts from the earliest revision and repeats the
        # changes made in between.
        items = (*servers.items, *product.items, *configuration.items)
        if not configuration.era == servers.era == product.era:
            raise StoreUnavailable("restored while it was read")
        read = replace(servers, items=items)
        return _update(read, is_snapshot=True)

    @property
    def is_receiving(self) -> bool:
        """Whether changes are arriving."""
        return self._store.is_receiving_changes

    async def probe(self) -> None:
        """Return once the store has answered a read of no keys."""
        await self._store.range(names.UNUSED_PREFIX)

    async def watch(self, after_revision: int, wait_ms: int) -> FeedUpdate:
        """Return the changes after a revision."""
        changes = await self._store.watch(ALL_KEYS, after_revision, wait_ms)
        # The watch covers all keys, so each revision is one of its events. A
        # store that has dropped its history may leave events out.
        shown = max(
            (item.revision for item in changes.items), default=after_revision
        )
        update = _update(replace(changes, revision=shown), is_snapshot=False)
        return replace(update, hides_changes=changes.revision > shown)


def _update(read: Items, *, is_snapshot: bool) -> FeedUpdate:
    # Only the last change of each key counts.
    last_items = {item.key: item for item in read.items}
    configurations: list[Configuration] = []
    servers: list[Server] = []
    removed = []
    gateways: dict[str, str | None] = {}
    lock_holder: str | None = None
    convictions: dict[str, int | None] = {}
    crashes: dict[str, CrashRecord | None] = {}
    streams: dict[str, str | None] = {}
    defaults: dict[str, DefaultVersion | None] = {}
    orders: list[StageOrder] = []
    removed_orders: list[str] = []
    for key, item in last_items.items():
        if key == names.CONFIGURATION_KEY and item.value is not None:
            configurations += _keep_valid(
                item, decode_configuration(item.value)
            )
        elif key.startswith(names.SERVERS_PREFIX):
            instance = key.removeprefix(names.SERVERS_PREFIX)
            if item.value is None:
                removed.append(instance)
                servers += _drained(instance, read)
            else:
                decoded = decode_server(
                    instance, item.value, item.revision, read.era
                )
                servers += _keep_valid(item, decoded)
        elif key.startswith(names.GATEWAYS_PREFIX):
            name = key.removeprefix(names.GATEWAYS_PREFIX)
            gateways[name] = _address(item)
        elif key.startswith(names.QUARANTINE_PREFIX):
            content = key.removeprefix(names.QUARANTINE_PREFIX)
            convictions[content] = _convicted_ms(item)
        elif key.startswith(names.CRASHES_PREFIX):
            crash = key.removeprefix(names.CRASHES_PREFIX)
            crashes[crash] = None
            if item.value is not None:
                for record in _keep_valid(item, decode_crash(item.value)):
                    crashes[crash] = record
        elif key.startswith(names.STREAM_VERSIONS_PREFIX):
            stream = key.removeprefix(names.STREAM_VERSIONS_PREFIX)
            streams[stream] = _text(item)
        elif key.startswith(names.DEFAULT_VERSIONS_PREFIX):
            service = key.removeprefix(names.DEFAULT_VERSIONS_PREFIX)
            version = _text(item)
            defaults[service] = (
                None
                if version is None
                else DefaultVersion(version, item.revision)
            )
        elif key == names.STAGE_HOLDER_KEY:
            lock_holder = (item.value or b"").decode("utf-8", "replace")
        elif key.startswith(names.STAGE_ORDERS_PREFIX):
            instance = key.removeprefix(names.STAGE_ORDERS_PREFIX)
            if item.value is None:
                removed_orders.append(instance)
                continue
            decoded = decode_stage_order(instance, item.value, item.revision)
            orders += _keep_valid(item, decoded)
    return FeedUpdate(
        tuple(configurations),
        tuple(servers),
        tuple(removed),
        read.revision,
        is_snapshot,
        gateways,
        lock_holder,
        tuple(orders),
        tuple(removed_orders),
        convictions,
        crashes,
        streams,
        defaults,
        read.era,
    )


def _drained(instance: str, read: Items) -> list[Server]:
    """Return the last registration of a removed server if it drained.

    Without it, the removal could be a registration that lapsed.
    """
    key = names.SERVERS_PREFIX + instance
    written = [item for item in read.items if item.key == key and item.value]
    if not written:
        return []
    last = written[-1]
    decoded = decode_server(
        instance, last.value or b"", last.revision, read.era
    )
    return [server for server in _keep_valid(last, decoded) if server.draining]


def _text(item: Item) -> str | None:
    """Return the text of an item; None if it was removed."""
    if item.value is None:
        return None
    return item.value.decode("utf-8", "replace")


def _address(item: Item) -> str | None:
    """Return a gateway's address; None if removed or invalid."""
    text = (item.value or b"").decode("ascii", "replace")
    return text if is_usable(text) else None


def _convicted_ms(item: Item) -> int | None:
    """Return the time of a conviction; None if removed or invalid.

    It is negative for one that was withdrawn.
    """
    try:
        at_ms = int(item.value or b"")
    except ValueError:
        return None
    return at_ms if abs(at_ms) <= MAX_WHOLE else None


def _keep_valid(item: Item, decoded: Result[Any, Exception]) -> list[Any]:
    if isinstance(decoded, Err):
        logging.warning(
            "event=invalid_entry key=%r revision=%d detail=%r",
            item.key,
            item.revision,
            str(decoded.err_value),
        )
        return []
    return [decoded.ok_value]
