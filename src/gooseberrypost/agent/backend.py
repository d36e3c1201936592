"""What every backend server offers to its agent."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

import aiohttp
from result import Err, Ok, Result

from gooseberrypost.agent.http import open_session
from gooseberrypost.errors import (
    ConnectionLost,
    Failure,
    PeerUnreachable,
    ProtocolFailure,
    TimedOut,
    failure_from_code,
)

if TYPE_CHECKING:
    from gooseberrypost.settings.agent import BackendSettings

SHORT_CALL_TIMEOUT_MS: Final = 2_000
HTTP_NOT_FOUND: Final = 404
HTTP_ERROR: Final = 400


@dataclass(slots=True, frozen=True)
class LoadReport:
    """Load as the backend server reports it, possibly late."""

    slots_used: int = 0
    pieces_used: int = 0
    queue: int = 0
    leaving: bool = False
    age_ms: int = 0
    role: str = ""
    model: str = ""

    @classmethod
    def from_document(
        cls, document: Any
    ) -> Result[LoadReport, ProtocolFailure]:
        """Read the known fields of a JSON object; others are ignored."""
        if not isinstance(document, dict):
            return Err(ProtocolFailure("load report is no JSON object"))
        known = cls.__dataclass_fields__
        return Ok(cls(**{n: v for n, v in document.items() if n in known}))


class Backend(ABC):
    """HTTP client of the backend server beside this agent."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._session: aiohttp.ClientSession | None = None

    @classmethod
    def from_config(cls, cfg: BackendSettings) -> Backend:
        """Make the client for the configured kind of backend server."""
        return cls(cfg.address)

    @property
    def session(self) -> aiohttp.ClientSession:
        """Session of this client, opened at first use."""
        if self._session is None or self._session.closed:
            self._session = open_session(self.address)
        return self._session

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    @abstractmethod
    async def load(
        self, timeout_ms: int = SHORT_CALL_TIMEOUT_MS
    ) -> Result[LoadReport, Failure]:
        """Ask for the load report."""

    async def exchange(
        self,
        method: str,
        path: str,
        body: Any = None,
        timeout_ms: float = SHORT_CALL_TIMEOUT_MS,
    ) -> Result[Any, Failure]:
        """Exchange JSON documents; an error reply becomes its failure."""
        timeout = aiohttp.ClientTimeout(total=timeout_ms / 1_000)
        try:
            async with self.session.request(
                method, path, json=body, timeout=timeout
            ) as reply:
                if reply.status >= HTTP_ERROR:
                    return Err(await failure_of(reply))
                return Ok(await reply.json(content_type=None))
        except (*LOST, ValueError) as exc:
            return Err(translate(exc))


LOST: Final = (aiohttp.ClientError, ConnectionLost, TimeoutError)


def translate(exc: Exception) -> Failure:
    """Typed failure for an exception of the HTTP client."""
    if isinstance(exc, Failure):
        return exc
    if isinstance(exc, aiohttp.ClientConnectorError):
        return PeerUnreachable(f"backend server: {exc}")
    if isinstance(exc, aiohttp.ConnectionTimeoutError):
        return PeerUnreachable(f"backend server: {exc}")
    if isinstance(exc, TimeoutError):
        return TimedOut("backend server did not reply in time")
    if isinstance(exc, ValueError):
        return ProtocolFailure(f"backend server: {exc}")
    return ConnectionLost(f"backend server: {exc!r}")


async def failure_of(reply: aiohttp.ClientResponse) -> Failure:
    """Failure named by the JSON body of an error reply."""
    try:
        document = await reply.json(content_type=None)
        code = str(document["error"])
    except (ValueError, TypeError, KeyError):
        return ProtocolFailure(f"backend server replied {reply.status}")
    return failure_from_code(code, f"backend server: {code}")
