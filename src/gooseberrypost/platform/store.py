"""Client of the platform's key-value store.

It reads ranges, watches keys, writes in transactions and renews leases.
"""

from __future__ import annotations

import base64
import binascii
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

from absl import logging

from gooseberrypost.errors import Failure
from gooseberrypost.gateway.directory import HistoryLost
from gooseberrypost.platform import names
from gooseberrypost.platform.storecalls import (
    CallKind,
    ResponseUnusable,
    StoreCall,
    StoreCaller,
    StoreUnavailable,
)
from gooseberrypost.strictjson import parse_json

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

MAX_PAGES: Final = 1_000
"""Maximum number of pages read of a range; a page has 500 items.

It ends the read of a range whose pages never end.
"""


class LeaseEnded(Failure):
    """The lease has expired, and its keys were removed."""

    code = "lease_ended"


class CallNotExecuted(StoreUnavailable):
    """The store states that it has done nothing."""

    code = "store_call_not_executed"


class ConditionFailed(Failure):
    """A key has a different revision than required; nothing was written."""

    code = "condition_failed"

    def __init__(self, detail: str = "", items: Sequence[Item] = ()) -> None:
        super().__init__(detail)
        self.items = items
        """Current state of the keys of the condition."""


@dataclass(slots=True, frozen=True)
class Item:
    """A key, its value and the revision of its last write.

    ``value`` is None if the key was deleted.
    """

    key: str
    value: bytes | None
    revision: int


@dataclass(slots=True, frozen=True)
class Put:
    """A key to write; with a lease, it is removed when the lease ends.

    A lease of 0 means none.
    """

    key: str
    value: bytes
    lease: int = 0


@dataclass(slots=True, frozen=True)
class Items:
    """Items, and the revision and era of the store when they were read."""

    items: tuple[Item, ...]
    revision: int
    era: int


@dataclass(slots=True, frozen=True)
class Commit:
    """Revision of a transaction, and the era that the revision belongs to."""

    revision: int
    era: int


class PlatformStore:
    """Client of the store.

    Calls raise ``StoreUnavailable`` on a failure, and ``HistoryLost``,
    ``LeaseEnded`` or ``ConditionFailed`` as answered by the store.

    A store that comes back from an older copy begins a new era. An answer from
    an earlier era counts as a failure: what it says is lost.
    """

    __slots__ = (
        "_caller",
        "_era",
        "_lease_eras",
    )

    def __init__(self, address: str) -> None:
        self._caller = StoreCaller(address)
        self._era = 0
        """Newest era that an answer named; 0 before the first one."""
        self._lease_eras: dict[int, int] = {}
        """Era in which each lease was granted.

        Its id may be given out again in a later one.
        """

    @property
    def address(self) -> str:
        """Address of the store; another address may mean another store."""
        return self._caller.address

    @address.setter
    def address(self, address: str) -> None:
        if address != self._caller.address:
            self._caller.address, self._era = address, 0

    @property
    def is_receiving_changes(self) -> bool:
        """Whether a part of the answer to an open watch has arrived."""
        return self._caller.is_receiving(CallKind.WATCH)

    async def range(self, prefix: str) -> Items:
        """Read all items under a prefix, page by page.

        The pages are not one snapshot. The result has the revision of the
        first page, so that a watch from there repeats the changes made while
        the pages were read. They are of one era.
        """
        items: list[Item] = []
        revision, after, era = 0, "", 0
        for _ in range(MAX_PAGES):
            query = {"path_prefix": prefix}
            if after:
                query["after"] = after
            answer, page_era = await self._call(
                CallKind.RANGE, "GET", names.RANGE_PATH, query
            )
            if items and page_era != era:
                raise StoreUnavailable(
                    f"{names.RANGE_PATH}: era {page_era} after {era}"
                )
            era = page_era
            page = _items(answer, "items")
            items += page
            revision = revision or _integer(answer, "at")
            if not answer.get("has_more") or not page:
                break
            after = page[-1].key
        return Items(tuple(items), revision, era)

    async def watch(
        self, prefix: str, after_revision: int, wait_ms: int
    ) -> Items:
        """Return the changes after a revision; none if ``wait_ms`` passes."""
        query = {
            "path_prefix": prefix,
            "after": str(after_revision),
            "wait_ms": str(wait_ms),
        }
        answer, era = await self._call(
            CallKind.WATCH,
            "GET",
            names.WATCH_PATH,
            query,
            wait_s=wait_ms / 1_000,
        )
        events = tuple(_items(answer, "events"))
        return Items(events, _integer(answer, "at"), era)

    async def write(
        self,
        puts: Sequence[Put],
        conditions: Mapping[str, int] | None = None,
        removed: Sequence[str] = (),
        timeout_s: float = 0.0,
    ) -> Commit:
        """Write and remove keys in a transaction.

        ``conditions`` maps keys to their required revisions, 0 for a key that
        must not exist. Raises ``ConditionFailed`` if a revision differs, and
        ``LeaseEnded`` if a lease has been lost with its era.
        """
        leases = [put.lease for put in puts if put.lease]
        for lease in leases:
            self._check_lease(lease)
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
        answer, era = await self._call(
            CallKind.WRITE,
            "POST",
            names.TXN_PATH,
            body=body,
            timeout_s=timeout_s,
        )
        for lease in leases:
            self._check_lease(lease)
        return Commit(_integer(answer, "revision"), era)

    async def grant_lease(self, ttl_ms: int) -> int:
        """Create a lease and return its id."""
        answer, era = await self._call(
            CallKind.GRANT, "POST", names.LEASE_PATH, body={"ttl_ms": ttl_ms}
        )
        lease = _integer(answer, "lease")
        self._lease_eras = {
            known: known_era
            for known, known_era in self._lease_eras.items()
            if known_era == era
        }
        self._lease_eras[lease] = era
        return lease

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease.

        Raises ``LeaseEnded`` if it has expired or was lost with its era.
        """
        self._check_lease(lease)
        path = f"{names.LEASE_RENEW_PATH}{lease}"
        await self._call(CallKind.RENEW, "POST", path)
        self._check_lease(lease)

    def _check_lease(self, lease: int) -> None:
        if self._lease_eras.get(lease) != self._era:
            raise LeaseEnded(f"lease {lease} is not of era {self._era}")

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, which removes its keys.

        Raises ``LeaseEnded`` likewise.
        """
        self._check_lease(lease)
        path = f"{names.LEASE_REVOKE_PATH}{lease}"
        await self._call(CallKind.REVOKE, "DELETE", path)

    async def close(self) -> None:
        """Close the connections."""
        await self._caller.close()

    async def _call(
        self,
        kind: CallKind,
        method: str,
        path: str,
        query: Mapping[str, str] | None = None,
        body: Any = None,
        wait_s: float = 0.0,
        timeout_s: float = 0.0,
    ) -> tuple[dict[str, Any], int]:
        """Make a call and return its answer and the answer's era."""
        call = StoreCall(kind, method, path, query, body, wait_s, timeout_s)
        response = await self._caller.send(call)
        era = self._record_era(path, response.era_text)
        answer = _decode_response(path, response.status, response.content)
        return answer, era

    def _record_era(self, path: str, text: str | None) -> int:
        """Return the era of an answer; 0 from a store that names none."""
        try:
            era = int(text or 0)
        except ValueError as exc:
            raise StoreUnavailable(f"{path}: era {text!r:.40}") from exc
        if era < self._era:
            raise StoreUnavailable(f"{path}: era {era} after {self._era}")
        if self._era and era > self._era:
            logging.warning(
                "event=store_restored era=%d before=%d call=%s",
                era,
                self._era,
                path,
            )
        self._era = era
        return era


def _decode_response(path: str, status: int, content: bytes) -> dict[str, Any]:
    if status == 410:
        raise HistoryLost(path)
    if status == 412:
        raise ConditionFailed(path, _current_items(path, content))
    if status == 404:
        # The store answers 404 only to calls that name a lease.
        raise LeaseEnded(path)
    if status == 503:
        raise CallNotExecuted(f"{path}: status {status}")
    if status != 200:
        raise StoreUnavailable(f"{path}: status {status}")
    return _decode_object(path, content) if content else {}


def _decode_object(path: str, content: bytes) -> dict[str, Any]:
    try:
        answer = parse_json(content)
    except ValueError as exc:
        raise ResponseUnusable(f"{path}: {exc!r}") from exc
    if not isinstance(answer, dict):
        raise ResponseUnusable(f"{path}: not a JSON object")
    return answer


def _current_items(path: str, content: bytes) -> list[Item]:
    """Return the keys of a failed condition that exist."""
    answer = _decode_object(path, content)
    listed = answer.get("items")
    existing = [
        item
        for item in (listed if isinstance(listed, list) else ())
        if isinstance(item, dict) and "value" in item
    ]
    return _items({"items": existing}, "items")


def _items(answer: Mapping[str, Any], field: str) -> list[Item]:
    try:
        return [_item(entry) for entry in answer[field]]
    except (ValueError, TypeError, LookupError) as exc:
        raise ResponseUnusable(f"{field}: {exc!r}") from exc


def _item(answer: Mapping[str, Any]) -> Item:
    value = None
    if not answer.get("deleted"):
        try:
            value = base64.b64decode(answer["value"], validate=True)
        except binascii.Error:
            # Another client wrote the value. The decoder of the entry reports
            # the empty value as invalid.
            value = b""
    return Item(str(answer["key"]), value, int(answer["revision"]))


def _integer(answer: Mapping[str, Any], field: str) -> int:
    value = answer.get(field)
    if isinstance(value, int):
        return value
    raise ResponseUnusable(f"answer has no integer {field!r}")
