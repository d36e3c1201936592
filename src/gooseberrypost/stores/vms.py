"""Client of the platform's list of live and leaving VMs.

The list is eventually consistent: it lags behind the actual state.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import StrEnum
from typing import Any, Final, NamedTuple, Self

import aiohttp
from result import Err, Ok, Result

from gooseberrypost.answerprotocol import new_connector
from gooseberrypost.boundedread import MAX_STORE_BYTES, read_bounded
from gooseberrypost.errors import Failure, NotRun
from gooseberrypost.strictjson import parse_json

REQUEST_TIMEOUT_MS: Final = 1_000


class VmListUnavailable(NotRun):
    """The list could not be read; the last known list stays in use."""

    code = "vm_list_unavailable"


class VmState(StrEnum):
    """State of a VM as the platform reports it."""

    LIVE = "live"
    LEAVING = "leaving"


class VmRecord(NamedTuple):
    """Entry of the list for one VM."""

    vm: str
    address: str
    zone: str
    state: str
    """``live`` or ``leaving``; unknown states of a newer platform are kept."""


class VmList(ABC):
    """Interface of the VM list."""

    @abstractmethod
    async def list(self) -> Result[list[VmRecord], Failure]:
        """Return the VMs; ``VmListUnavailable`` if the read failed."""

    @abstractmethod
    async def close(self) -> None:
        """Close the connections."""


class HttpVmList(VmList):
    """Client of ``GET /v1/vms``."""

    def __init__(
        self, address: str, timeout_ms: int = REQUEST_TIMEOUT_MS
    ) -> None:
        self._address = address
        self._timeout = aiohttp.ClientTimeout(total=timeout_ms / 1_000)
        self._session: aiohttp.ClientSession | None = None

    @classmethod
    def from_address(cls, address: str) -> Self:
        """Create a client of the list at ``host:port``."""
        return cls(address)

    async def list(self) -> Result[list[VmRecord], Failure]:
        """Read the list once."""
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=new_connector(), timeout=self._timeout
            )
        url = f"http://{self._address}/v1/vms"
        try:
            async with self._session.get(url) as response:
                if response.status != 200:
                    return Err(VmListUnavailable(f"status {response.status}"))
                content = await read_bounded(response, MAX_STORE_BYTES)
                return _parse_records(parse_json(content))
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as exc:
            return Err(VmListUnavailable(f"{self._address}: {exc!r}"))

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None


def _parse_records(document: Any) -> Result[list[VmRecord], Failure]:
    if not isinstance(document, list):
        return Err(VmListUnavailable("the response is not a JSON list"))
    records = []
    for item in document:
        if not isinstance(item, dict):
            return Err(VmListUnavailable(f"{item!r} is not a valid VM entry"))
        values = [item.get(name) for name in VmRecord._fields]
        if not all(isinstance(value, str) for value in values):
            return Err(VmListUnavailable(f"{item!r} is not a valid VM entry"))
        records.append(VmRecord(*values))
    return Ok(records)
