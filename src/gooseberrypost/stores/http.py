"""Key-value service over HTTP: every call is a JSON ``POST``.

A call that was certainly not taken fails with ``KeyValueUnavailable``. A
write whose answer did not arrive fails with ``KeyValueUnknown``, because it
may have taken effect.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, Final, Self

import aiohttp
from result import Err, Ok, Result

from gooseberrypost.errors import Failure
from gooseberrypost.stores.keyvalue import (
    Conflict,
    KeyValueStore,
    KeyValueUnavailable,
    KeyValueUnknown,
    LeaseLost,
    ValueTooLarge,
    Versioned,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

TIMEOUT_MS: Final = 2_000
CONNECT_TIMEOUT_MS: Final = 500

_REFUSALS: Final[dict[str, type[Failure]]] = {
    kind.code: kind
    for kind in (Conflict, KeyValueUnavailable, LeaseLost, ValueTooLarge)
}

_NOT_SENT: Final = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
    aiohttp.InvalidURL,
)


class HttpKeyValueStore(KeyValueStore):
    """Client of the service at one or more addresses, tried in turn."""

    def __init__(
        self,
        addresses: Sequence[str],
        timeout_ms: int = TIMEOUT_MS,
        connect_timeout_ms: int = CONNECT_TIMEOUT_MS,
    ) -> None:
        self._addresses = list(addresses)
        self._timeout_ms = timeout_ms
        self._connect_timeout_ms = connect_timeout_ms
        self._session: aiohttp.ClientSession | None = None

    @classmethod
    def from_addresses(cls, addresses: Sequence[str]) -> Self:
        """Client of the service at each ``host:port``."""
        return cls(addresses)

    async def get(self, key: str) -> Result[Versioned, Failure]:
        """Read a key."""
        answer = await self._call("get", {"key": key}, write=False)
        return answer.and_then(_versioned)

    async def put(
        self, key: str, value: str, expect_version: int, lease: int = 0
    ) -> Result[int, Failure]:
        """Write a key by compare-and-swap."""
        body = {
            "key": key,
            "value": value,
            "expect_version": expect_version,
            "lease": lease,
        }
        answer = await self._call("put", body, write=True)
        return answer.and_then(lambda found: _number(found, "version"))

    async def delete(
        self, key: str, expect_version: int
    ) -> Result[None, Failure]:
        """Delete a key by compare-and-swap."""
        body = {"key": key, "expect_version": expect_version}
        answer = await self._call("delete", body, write=True)
        return answer.map(lambda _: None)

    async def grant_lease(self, ttl_ms: int) -> Result[int, Failure]:
        """Create a lease."""
        body = {"ttl_ms": ttl_ms}
        answer = await self._call("lease/grant", body, write=True)
        return answer.and_then(lambda found: _number(found, "lease"))

    async def keep_alive(self, lease: int) -> Result[None, Failure]:
        """Renew a lease."""
        body = {"lease": lease}
        answer = await self._call("lease/keepalive", body, write=True)
        return answer.map(lambda _: None)

    async def revoke_lease(self, lease: int) -> Result[None, Failure]:
        """End a lease."""
        body = {"lease": lease}
        answer = await self._call("lease/revoke", body, write=True)
        return answer.map(lambda _: None)

    async def watch(
        self, key: str, after_version: int, wait_ms: int
    ) -> Result[Versioned, Failure]:
        """Wait for a change of a key."""
        body = {
            "key": key,
            "after_version": after_version,
            "wait_ms": wait_ms,
        }
        answer = await self._call("watch", body, write=False, more_ms=wait_ms)
        return answer.and_then(_versioned)

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def _call(
        self,
        name: str,
        body: dict[str, Any],
        *,
        write: bool,
        more_ms: int = 0,
    ) -> Result[dict[str, Any], Failure]:
        failure: Failure = KeyValueUnavailable("no address is configured")
        for address in self._addresses:
            answer = await self._post(address, name, body, write, more_ms)
            if isinstance(answer, Ok):
                return answer
            failure = answer.err_value
            if not isinstance(failure, KeyValueUnavailable):
                break
        return Err(failure)

    async def _post(
        self,
        address: str,
        name: str,
        body: dict[str, Any],
        write: bool,
        more_ms: int,
    ) -> Result[dict[str, Any], Failure]:
        lost = KeyValueUnknown if write else KeyValueUnavailable
        timeout = aiohttp.ClientTimeout(
            total=(self._timeout_ms + more_ms) / 1_000,
            sock_connect=self._connect_timeout_ms / 1_000,
        )
        try:
            async with self._opened().post(
                f"http://{address}/v1/{name}", json=body, timeout=timeout
            ) as response:
                return _answer(response.status, await response.read(), lost)
        except _NOT_SENT as exc:
            return Err(KeyValueUnavailable(f"{address}: {exc!r}"))
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            return Err(lost(f"{address}: {exc!r}"))

    def _opened(self) -> aiohttp.ClientSession:
        if self._session is None or self._session.closed:
            # Watches wait for long and must not use up the connections.
            connector = aiohttp.TCPConnector(limit=0)
            self._session = aiohttp.ClientSession(connector=connector)
        return self._session


def _answer(
    status: int, content: bytes, lost: type[Failure]
) -> Result[dict[str, Any], Failure]:
    try:
        found = json.loads(content)
    except ValueError:
        return Err(lost(f"status {status} without a JSON body"))
    if not isinstance(found, dict):
        return Err(lost(f"status {status} without a JSON object"))
    if status == 200:
        return Ok(found)
    refusal = _REFUSALS.get(str(found.get("code")), lost)
    return Err(refusal(str(found.get("detail", f"status {status}"))))


def _versioned(found: dict[str, Any]) -> Result[Versioned, Failure]:
    value, version = found.get("value"), found.get("version")
    if isinstance(value, str) and isinstance(version, int):
        return Ok(Versioned(value, version))
    return Err(KeyValueUnavailable("answer without value and version"))


def _number(found: dict[str, Any], name: str) -> Result[int, Failure]:
    value = found.get(name)
    if isinstance(value, int) and not isinstance(value, bool):
        return Ok(value)
    return Err(KeyValueUnknown(f"answer without {name}"))
