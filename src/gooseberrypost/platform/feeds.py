"""Feed of the configuration and the servers from the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from absl import logging
from result import Err, Result

from gooseberrypost.address import parse_address
from gooseberrypost.gateway.directory import Batch, Feed
from gooseberrypost.platform import names
from gooseberrypost.platform.documents import (
    decode_configuration,
    decode_server,
    decode_stage_order,
)

if TYPE_CHECKING:
    from typing import Any

    from gooseberrypost.gateway.model import (
        Configuration,
        Server,
        StageOrder,
    )
    from gooseberrypost.platform.store import Item, Items, PlatformStore

ALL_KEYS: Final = ""
"""Prefix of one watch for the configuration and the servers together."""


class StoreFeed(Feed):
    """Everything that the operator and the servers write."""

    def __init__(self, store: PlatformStore) -> None:
        self._store = store

    async def read(self) -> Batch:
        """Return everything."""
        found = await self._store.range(names.CONFIGURATION_PREFIX)
        servers = await self._store.range(names.SERVERS_PREFIX)
        own = await self._store.range(names.OWN_PREFIX)
        # Changes between the reads are repeated by the first watch.
        items = (*found.items, *servers.items, *own.items)
        return _batch(items, found.at, is_whole=True)

    async def wait(self, after: int, wait_ms: int) -> Batch:
        """Return later changes."""
        found: Items = await self._store.watch(ALL_KEYS, after, wait_ms)
        return _batch(found.items, found.at, is_whole=False)


def _batch(items: tuple[Item, ...], at: int, *, is_whole: bool) -> Batch:
    # The last change of a key in the batch decides.
    last = {item.key: item for item in items}
    configurations: list[Configuration] = []
    servers: list[Server] = []
    removed = []
    gateways: dict[str, str | None] = {}
    holder: str | None = None
    orders: list[StageOrder] = []
    withdrawn: list[str] = []
    for key, item in last.items():
        if key == names.CONFIGURATION_KEY and item.value is not None:
            configurations += _valid(item, decode_configuration(item.value))
        elif key.startswith(names.SERVERS_PREFIX):
            instance = key.removeprefix(names.SERVERS_PREFIX)
            if item.value is None:
                removed.append(instance)
            else:
                decoded = decode_server(instance, item.value, item.revision)
                servers += _valid(item, decoded)
        elif key.startswith(names.GATEWAYS_PREFIX):
            name = key.removeprefix(names.GATEWAYS_PREFIX)
            gateways[name] = _address(item)
        elif key == names.STAGE_HOLDER_KEY:
            holder = (item.value or b"").decode("utf-8", "replace")
        elif key.startswith(names.STAGE_ORDERS_PREFIX):
            instance = key.removeprefix(names.STAGE_ORDERS_PREFIX)
            if item.value is None:
                withdrawn.append(instance)
                continue
            decoded = decode_stage_order(instance, item.value, item.revision)
            orders += _valid(item, decoded)
    return Batch(
        tuple(configurations),
        tuple(servers),
        tuple(removed),
        at,
        is_whole,
        gateways,
        holder,
        tuple(orders),
        tuple(withdrawn),
    )


def _address(item: Item) -> str | None:
    """Address in a gateway's registration, None where it is gone."""
    text = (item.value or b"").decode("ascii", "replace")
    return text if parse_address(text).is_ok() else None


def _valid(item: Item, decoded: Result[Any, Exception]) -> list[Any]:
    if isinstance(decoded, Err):
        logging.warning(
            "event=invalid_entry key=%r revision=%d detail=%r",
            item.key,
            item.revision,
            str(decoded.err_value),
        )
        return []
    return [decoded.ok_value]
