"""Feed of the configuration and the servers from the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from absl import logging
from result import Err, Result

from gooseberrypost.address import parse_address
from gooseberrypost.gateway.directory import Batch, Feed, FeedLost
from gooseberrypost.gateway.peers import RegistrationFailed, Registry
from gooseberrypost.platform import names
from gooseberrypost.platform.documents import (
    decode_configuration,
    decode_server,
)
from gooseberrypost.platform.store import LeaseEnded

if TYPE_CHECKING:
    from typing import Any

    from gooseberrypost.gateway.model import Configuration, Server
    from gooseberrypost.platform.store import Item, Items, PlatformStore

WAIT_MS: Final = 1_200
"""Wait of a watch.

A watch can be deaf while changes are made; asking again this often finds them
within the 2 s in which a change must be in force.
"""
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
        gateways = await self._store.range(names.GATEWAYS_PREFIX)
        # Changes between the reads are repeated by the first watch.
        items = (*found.items, *servers.items, *gateways.items)
        return _batch(items, found.at, is_whole=True)

    async def wait(self, after: int) -> Batch:
        """Return later changes."""
        found: Items = await self._store.watch(ALL_KEYS, after, WAIT_MS)
        return _batch(found.items, found.at, is_whole=False)


def _batch(items: tuple[Item, ...], at: int, *, is_whole: bool) -> Batch:
    # The last change of a key in the batch decides.
    last = {item.key: item for item in items}
    configurations: list[Configuration] = []
    servers: list[Server] = []
    removed = []
    gateways: dict[str, str | None] = {}
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
    return Batch(
        tuple(configurations),
        tuple(servers),
        tuple(removed),
        at,
        is_whole,
        gateways,
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


class StoreRegistry(Registry):
    """Registrations of the gateways, under leases of the store."""

    def __init__(self, store: PlatformStore) -> None:
        self._store = store

    async def register(self, name: str, address: str, ttl_ms: int) -> int:
        """Write this gateway's address and return the lease."""
        key = f"{names.GATEWAYS_PREFIX}{name}"
        try:
            lease = await self._store.grant_lease(ttl_ms)
            await self._store.put(key, address.encode(), lease)
        except (FeedLost, LeaseEnded) as failure:
            raise RegistrationFailed(str(failure)) from failure
        return lease

    async def renew(self, lease: int) -> None:
        """Renew a lease."""
        try:
            await self._store.keep_lease(lease)
        except (FeedLost, LeaseEnded) as failure:
            raise RegistrationFailed(str(failure)) from failure

    async def end(self, lease: int) -> None:
        """Remove the registration."""
        try:
            await self._store.end_lease(lease)
        except (FeedLost, LeaseEnded) as failure:
            raise RegistrationFailed(str(failure)) from failure
