"""Client of the key-value service; each call is an HTTP POST with JSON.

A call that the service certainly did not execute fails with
``KeyValueUnavailable``. A write without a response fails with
``KeyValueUnknown``, because it may have taken effect.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final, Self

import aiohttp
from result import Err, Ok, Result

from gooseberrypost.answerprotocol import new_connector
from gooseberrypost.boundedread import MAX_STORE_BYTES, read_bounded
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
from gooseberrypost.strictjson import parse_json
from gooseberrypost.timeouts import TransferTimeout

if TYPE_CHECKING:
    from collections.abc import Sequence

REQUEST_TIMEOUT_MS: Final = 2_000
"""Time for a response to begin, and longest pause in it."""
CONNECT_TIMEOUT_MS: Final = 500
MIN_BYTES_PER_S: Final = 16 * 1024
"""Rate below which a response is given up, as it would never end."""

_FAILURES_BY_CODE: Final[dict[str, type[Failure]]] = {
    kind.code: kind
    for kind in (Conflict, KeyValueUnavailable, LeaseLost, ValueTooLarge)
}

_CONNECT_ERRORS: Final = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
    aiohttp.InvalidURL,
)


class HttpKeyValueStore(KeyValueStore):
    """Client of the service at one or more addresses, tried in order."""

    def __init__(
        self,
        addresses: Sequence[str],
        timeout_ms: int = REQUEST_TIMEOUT_MS,
        connect_timeout_ms: int = CONNECT_TIMEOUT_MS,
    ) -> None:
        self._addresses = list(addresses)
        self._timeout_ms = timeout_ms
        self._connect_timeout_ms = connect_timeout_ms
        self._session: aiohttp.ClientSession | None = None

    @classmethod
    def from_addresses(cls, addresses: Sequence[str]) -> Self:
        """Create a client of the service at ``host:port`` addresses."""
        return cls(addresses)

    async def get(self, key: str) -> Result[Versioned, Failure]:
        """Read a key."""
        response = await self._call("get", {"key": key}, write=False)
        return response.and_then(_parse_versioned)

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
        response = await self._call("put", body, write=True)
        return response.and_then(
            lambda document: _parse_integer(document, "version")
        )

    async def delete(
        self, key: str, expect_version: int
    ) -> Result[None, Failure]:
        """Delete a key by compare-and-swap."""
        body = {"key": key, "expect_version": expect_version}
        response = await self._call("delete", body, write=True)
        return response.map(lambda _: None)

    async def grant_lease(self, ttl_ms: int) -> Result[int, Failure]:
        """Create a lease."""
        body = {"ttl_ms": ttl_ms}
        response = await self._call("lease/grant", body, write=True)
        return response.and_then(
            lambda document: _parse_integer(document, "lease")
        )

    async def keep_alive(self, lease: int) -> Result[None, Failure]:
        """Renew a lease."""
        body = {"lease": lease}
        response = await self._call("lease/keepalive", body, write=True)
        return response.map(lambda _: None)

    async def revoke_lease(self, lease: int) -> Result[None, Failure]:
        """Revoke a lease and delete the keys bound to it."""
        body = {"lease": lease}
        response = await self._call("lease/revoke", body, write=True)
        return response.map(lambda _: None)

    async def watch(
        self, key: str, after_version: int, wait_ms: int
    ) -> Result[Versioned, Failure]:
        """Wait up to ``wait_ms`` for a change of a key."""
        body = {
            "key": key,
            "after_version": after_version,
            "wait_ms": wait_ms,
        }
        response = await self._call(
            "watch", body, write=False, extra_timeout_ms=wait_ms
        )
        return response.and_then(_parse_versioned)

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
        extra_timeout_ms: int = 0,
    ) -> Result[dict[str, Any], Failure]:
        failure: Failure = KeyValueUnavailable("no address is configured")
        for address in self._addresses:
            response = await self._post(
                address, name, body, write, extra_timeout_ms
            )
            if isinstance(response, Ok):
                return response
            failure = response.err_value
            if not isinstance(failure, KeyValueUnavailable):
                break
        return Err(failure)

    async def _post(
        self,
        address: str,
        name: str,
        body: dict[str, Any],
        write: bool,
        extra_timeout_ms: int,
    ) -> Result[dict[str, Any], Failure]:
        no_response_failure = KeyValueUnknown if write else KeyValueUnavailable
        timeout = aiohttp.ClientTimeout(
            connect=self._connect_timeout_ms / 1_000
        )
        # A value of 1 MiB may take seconds over a link that is in use.
        transfer = TransferTimeout(
            (self._timeout_ms + extra_timeout_ms) / 1_000,
            self._timeout_ms / 1_000,
            MIN_BYTES_PER_S,
        )
        try:
            with transfer:
                async with self._open_session().post(
                    f"http://{address}/v1/{name}", json=body, timeout=timeout
                ) as response:
                    content = await read_bounded(
                        response, MAX_STORE_BYTES, transfer.receive
                    )
                return _parse_response(
                    response.status, content, no_response_failure
                )
        except _CONNECT_ERRORS as exc:
            return Err(KeyValueUnavailable(f"{address}: {exc!r}"))
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            return Err(no_response_failure(f"{address}: {exc!r}"))

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None or self._session.closed:
            self._session = aiohttp.ClientSession(connector=new_connector())
        return self._session


def _parse_response(
    status: int, content: bytes, no_response_failure: type[Failure]
) -> Result[dict[str, Any], Failure]:
    try:
        document = parse_json(content)
    except ValueError:
        return Err(no_response_failure(f"status {status} without a JSON body"))
    if not isinstance(document, dict):
        return Err(
            no_response_failure(f"status {status} without a JSON object")
        )
    if status == 200:
        return Ok(document)
    failure_type = _FAILURES_BY_CODE.get(
        str(document.get("code")), no_response_failure
    )
    return Err(failure_type(str(document.get("detail", f"status {status}"))))


def _parse_versioned(document: dict[str, Any]) -> Result[Versioned, Failure]:
    value, version = document.get("value"), document.get("version")
    if isinstance(value, str) and isinstance(version, int):
        return Ok(Versioned(value, version))
    return Err(KeyValueUnavailable("response without value and version"))


def _parse_integer(
    document: dict[str, Any], name: str
) -> Result[int, Failure]:
    value = document.get(name)
    if isinstance(value, int) and not isinstance(value, bool):
        return Ok(value)
    return Err(KeyValueUnknown(f"response without {name}"))
