"""Client of the platform's store: ranges, watches, transactions, leases."""

from __future__ import annotations

import base64
import binascii
import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

import aiohttp
from yarl import URL

from gooseberrypost.errors import Failure
from gooseberrypost.gateway.directory import FeedLost, HistoryLost
from gooseberrypost.platform import names
from gooseberrypost.platform.engines import tcp_socket

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

MIN_ANSWER_S: Final = 0.5
"""Time for an answer, beside the wait of a watch; usual are some ms.

A connection that fell silent is noticed within the 2 s in which a change of
the configuration must be in force.
"""
MAX_ANSWER_S: Final = 2.0
"""Time for an answer while the store is slow; it doubles at each failure."""
CONNECT_TIMEOUT_S: Final = 1.0
MAX_PAGES: Final = 1_000
"""Pages of 500 items; a range that is longer than this is not a range."""


class StoreUnavailable(FeedLost):
    """The store did not answer, or did nothing."""

    code = "store_unavailable"


class LeaseEnded(Failure):
    """The lease has ended and its keys are removed."""

    code = "lease_ended"


class ConditionFailed(Failure):
    """A key has another revision; nothing was written."""

    code = "condition_failed"


@dataclass(slots=True, frozen=True)
class Item:
    """A key and its value; ``value`` is None where it was deleted."""

    key: str
    value: bytes | None
    revision: int


@dataclass(slots=True, frozen=True)
class Put:
    """A key to write; it is removed when its lease ends (0: none)."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(slots=True, frozen=True)
class Items:
    """Items and the store's revision at which they were read."""

    items: tuple[Item, ...]
    at: int


class PlatformStore:
    """Calls to the store; every failure is a ``StoreUnavailable``."""

    __slots__ = ("_answer_s", "_session", "address")

    def __init__(self, address: str) -> None:
        self.address = address
        self._answer_s = MIN_ANSWER_S
        # Idle connections may all have fallen silent; each would cost the
        # time of a call that is not answered.
        connector = aiohttp.TCPConnector(
            limit=0, force_close=True, socket_factory=tcp_socket
        )
        self._session = aiohttp.ClientSession(
            connector=connector, cookie_jar=aiohttp.DummyCookieJar()
        )

    async def range(self, prefix: str) -> Items:
        """Read all items under a prefix, page by page.

        The pages are no snapshot: the revision is that of the first page, so
        that a watch from there repeats what changed in between.
        """
        items: list[Item] = []
        at, after = 0, ""
        for _ in range(MAX_PAGES):
            query = {"path_prefix": prefix}
            if after:
                query["after"] = after
            found = await self._call("GET", names.RANGE_PATH, query)
            page = _items(found, "items")
            items += page
            at = at or _whole_number(found, "at")
            if not found.get("has_more") or not page:
                break
            after = page[-1].key
        return Items(tuple(items), at)

    async def watch(self, prefix: str, after: int, wait_ms: int) -> Items:
        """Wait for changes after a revision; none when the time is over."""
        query = {
            "path_prefix": prefix,
            "after": str(after),
            "wait_ms": str(wait_ms),
        }
        found = await self._call(
            "GET", names.WATCH_PATH, query, wait_s=wait_ms / 1_000
        )
        return Items(
            tuple(_items(found, "events")), _whole_number(found, "at")
        )

    async def write(
        self,
        puts: Sequence[Put],
        conditions: Mapping[str, int] | None = None,
        removed: Sequence[str] = (),
        timeout_s: float = 0.0,
    ) -> int:
        """Write and remove keys if all conditions hold; return the revision.

        A condition is the revision of a key, 0 for one that does not exist;
        ``ConditionFailed`` where one differs.
        """
        body = {
            "precondition": [
                {"key": key, "revision": revision}
                for key, revision in (conditions or {}).items()
            ],
            "puts": [
                {
                    "key": put.key,
                    "value": base64.b64encode(put.value).decode(),
                    "lease": put.lease,
                }
                for put in puts
            ],
            "remove": list(removed),
        }
        found = await self._call(
            "POST", names.TXN_PATH, body=body, timeout_s=timeout_s
        )
        return _whole_number(found, "revision")

    async def grant_lease(self, ttl_ms: int) -> int:
        """Create a lease and return its number."""
        found = await self._call(
            "POST", names.LEASE_PATH, body={"ttl_ms": ttl_ms}
        )
        return _whole_number(found, "lease")

    async def keep_lease(self, lease: int) -> None:
        """Renew a lease; ``LeaseEnded`` where it is gone."""
        await self._call("POST", f"{names.KEEP_PATH}{lease}")

    async def end_lease(self, lease: int) -> None:
        """End a lease, which removes its keys."""
        await self._call("DELETE", f"{names.LEASE_END_PATH}{lease}")

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()

    async def _call(
        self,
        method: str,
        path: str,
        query: Mapping[str, str] | None = None,
        body: Any = None,
        wait_s: float = 0.0,
        timeout_s: float = 0.0,
    ) -> dict[str, Any]:
        url = URL(f"http://{self.address}{path}")
        timeout = aiohttp.ClientTimeout(
            total=(timeout_s or self._answer_s) + wait_s,
            sock_connect=CONNECT_TIMEOUT_S,
        )
        try:
            async with self._session.request(
                method, url, params=query, json=body, timeout=timeout
            ) as response:
                content = await response.read()
                status = response.status
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            self._answer_s = min(2 * self._answer_s, MAX_ANSWER_S)
            raise StoreUnavailable(f"{path}: {exc!r}") from exc
        self._answer_s = MIN_ANSWER_S
        return _decoded(path, status, content)


def _decoded(path: str, status: int, content: bytes) -> dict[str, Any]:
    if status == 410:
        raise HistoryLost(path)
    if status == 412:
        raise ConditionFailed(path)
    if status == 404:
        # Only calls that name a lease are answered so.
        raise LeaseEnded(path)
    if status != 200:
        raise StoreUnavailable(f"{path}: status {status}")
    if not content:
        return {}
    try:
        found = json.loads(content)
    except ValueError as exc:
        raise StoreUnavailable(f"{path}: {exc!r}") from exc
    if not isinstance(found, dict):
        raise StoreUnavailable(f"{path}: not an object")
    return found


def _items(found: Mapping[str, Any], field: str) -> list[Item]:
    try:
        return [_item(one) for one in found[field]]
    except (ValueError, TypeError, LookupError) as exc:
        raise StoreUnavailable(f"{field}: {exc!r}") from exc


def _item(found: Mapping[str, Any]) -> Item:
    value = None
    if not found.get("deleted"):
        try:
            value = base64.b64decode(found["value"], validate=True)
        except binascii.Error:
            # An entry of another writer; its decoder reports it as invalid.
            value = b""
    return Item(str(found["key"]), value, int(found["revision"]))


def _whole_number(found: Mapping[str, Any], field: str) -> int:
    value = found.get(field)
    if isinstance(value, int):
        return value
    raise StoreUnavailable(f"answer without {field}")
