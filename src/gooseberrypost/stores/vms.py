"""The platform's lagging list of live and leaving VMs."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import StrEnum
from typing import Any, Final, NamedTuple, Self

import aiohttp
from result import Err, Ok, Result

from gooseberrypost.errors import Failure, NotRun

TIMEOUT_MS: Final = 1_000


class VmListUnavailable(NotRun):
    """The list was not read; the last one known stays in use."""

    code = "vm_list_unavailable"


class VmState(StrEnum):
    """What the platform says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


class VmRecord(NamedTuple):
    """One VM of the list."""

    vm: str
    address: str
    zone: str
    state: str
    """``live`` or ``leaving``; a state of a newer platform is kept as is."""


class VmList(ABC):
    """Reads the list."""

    @abstractmethod
    async def list(self) -> Result[list[VmRecord], Failure]:
        """Return the VMs; ``VmListUnavailable`` when the read failed."""

    @abstractmethod
    async def close(self) -> None:
        """Release the connections."""


class HttpVmList(VmList):
    """Client of ``GET /v1/vms``."""

    def __init__(self, address: str, timeout_ms: int = TIMEOUT_MS) -> None:
        self._address = address
        self._timeout = aiohttp.ClientTimeout(total=timeout_ms / 1_000)
        self._session: aiohttp.ClientSession | None = None

    @classmethod
    def from_address(cls, address: str) -> Self:
        """Client of the list at ``host:port``."""
        return cls(address)

    async def list(self) -> Result[list[VmRecord], Failure]:
        """Read the list once."""
        if self._session is None:
            self._session = aiohttp.ClientSession(timeout=self._timeout)
        url = f"http://{self._address}/v1/vms"
        try:
            async with self._session.get(url) as response:
                if response.status != 200:
                    return Err(VmListUnavailable(f"status {response.status}"))
                return _records(await response.json())
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as exc:
            return Err(VmListUnavailable(f"{self._address}: {exc!r}"))

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None


def _records(found: Any) -> Result[list[VmRecord], Failure]:
    if not isinstance(found, list):
        return Err(VmListUnavailable("the answer is not a list"))
    records = []
    for item in found:
        if not isinstance(item, dict):
            return Err(VmListUnavailable(f"{item!r} is not a VM"))
        values = [item.get(name) for name in VmRecord._fields]
        if not all(isinstance(value, str) for value in values):
            return Err(VmListUnavailable(f"{item!r} is not a VM"))
        records.append(VmRecord(*values))
    return Ok(records)
