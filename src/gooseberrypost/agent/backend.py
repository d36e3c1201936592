"""Client interface shared by all kinds of backend servers."""

from __future__ import annotations

import time
from abc import ABC, abstractmethod
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

import aiohttp
from result import Err, Ok, Result

from gooseberrypost.agent.http import open_session
from gooseberrypost.agent.log import log_decision, log_refusal
from gooseberrypost.boundedread import MAX_REPLY_BYTES, read_bounded
from gooseberrypost.errors import (
    ConnectionLost,
    Failure,
    PeerUnreachable,
    ProtocolFailure,
    ServerLimited,
    TimedOut,
    failure_from_code,
)
from gooseberrypost.policy.serverlimit import ServerLimits, parse_limit
from gooseberrypost.strictjson import parse_json
from gooseberrypost.timeouts import Deadline, RunningTimeout

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gooseberrypost.settings.agent import BackendSettings

SHORT_CALL_TIMEOUT_MS: Final = 2_000
"""Timeout of requests that run no model, such as the load report."""
UNTIMED: Final = aiohttp.ClientTimeout()
"""For requests that are limited by a timeout of this project."""
ANSWER_READ_S: Final = 0.05
"""Time to read what arrived during a pause past a deadline."""
HTTP_NOT_FOUND: Final = 404
SERVER_LIMIT_HEADER: Final = "Server-Limit"
"""Requests per second that the server accepts."""
MIN_HTTP_ERROR_STATUS: Final = 400
"""Lowest HTTP status that reports an error."""


@dataclass(slots=True, frozen=True)
class LoadReport:
    """Load as the backend server reports it; it may be outdated."""

    slots_used: int = 0
    pieces_used: int = 0
    queue: int = 0
    leaving: bool = False
    """The server is about to shut down."""
    age_ms: int = 0
    """Age of the figures."""
    role: str = ""
    model: str = ""

    @classmethod
    def from_document(
        cls, document: Any
    ) -> Result[LoadReport, ProtocolFailure]:
        """Read a load report from JSON; unknown fields are ignored."""
        if not isinstance(document, dict):
            return Err(ProtocolFailure("load report is not a JSON object"))
        known = cls.__dataclass_fields__
        return Ok(cls(**{n: v for n, v in document.items() if n in known}))


class Backend(ABC):
    """HTTP client of the backend server that this agent manages."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._session: aiohttp.ClientSession | None = None
        self._limits = ServerLimits()

    @classmethod
    def from_config(cls, cfg: BackendSettings) -> Backend:
        """Build a client for the configured address."""
        return cls(cfg.address)

    @property
    def session(self) -> aiohttp.ClientSession:
        """HTTP session of this client, opened at first use."""
        if self._session is None or self._session.closed:
            self._session = open_session(self.address)
        return self._session

    async def close(self) -> None:
        """Close the HTTP session."""
        if self._session is not None:
            await self._session.close()

    def limit_refusal(self) -> ServerLimited | None:
        """Return the refusal of a request now; None if it may be sent.

        The server may name a rate limit in its answers. An agent is the only
        way to its server, so that it alone keeps the limit.
        """
        wait_s = self._limits.wait_s(self.address, time.monotonic())
        if wait_s <= 0:
            return None
        return ServerLimited(
            f"the server accepts {self._limits.per_s(self.address):g} "
            "requests/s",
            retry_after_ms=round(1_000 * wait_s),
        )

    def count_request(self) -> None:
        """Count a request against the server's rate limit."""
        self._limits.record_send(self.address, time.monotonic())

    def record_limit(
        self, reply: aiohttp.ClientResponse, *, is_run: bool = False
    ) -> None:
        """Record the rate limit that a reply names.

        A successful reply to a run shows that there is none; other replies
        may not name it.
        """
        text = reply.headers.get(SERVER_LIMIT_HEADER)
        per_s = None
        if text is not None:
            parsed = parse_limit(text)
            if isinstance(parsed, Err):
                log_refusal("invalid_limit", parsed.err_value)
                return
            per_s = parsed.ok_value
        elif not is_run or reply.status >= MIN_HTTP_ERROR_STATUS:
            return
        if self._limits.record(self.address, per_s, time.monotonic()):
            log_decision("server_limit", per_s=per_s)

    @abstractmethod
    async def load(
        self, timeout_ms: int = SHORT_CALL_TIMEOUT_MS
    ) -> Result[LoadReport, Failure]:
        """Read the load report of the backend server."""

    async def request_json(
        self,
        method: str,
        path: str,
        body: Any = None,
        timeout_ms: float = SHORT_CALL_TIMEOUT_MS,
        *,
        is_run: bool = False,
    ) -> Result[Any, Failure]:
        """Send a JSON request and return the JSON reply or the failure.

        ``is_run`` tells that the server runs a model for it. The timeout of a
        run is a deadline; that of other requests excludes own delays.
        """
        limit = deadline_limit if is_run else RunningTimeout
        try:
            with limit(timeout_ms / 1_000):
                return await self.exchange_json(
                    method, path, body, UNTIMED, is_run=is_run
                )
        except TimeoutError as exc:
            return Err(failure_from_exception(exc))

    async def exchange_json(
        self,
        method: str,
        path: str,
        body: Any,
        timeout: aiohttp.ClientTimeout,
        *,
        is_run: bool = False,
    ) -> Result[Any, Failure]:
        """Send a JSON request under a timeout of the HTTP client.

        Nothing is sent after that timeout, also if this process is late.
        """
        try:
            async with self.session.request(
                method, path, json=body, timeout=timeout
            ) as reply:
                self.record_limit(reply, is_run=is_run)
                if reply.status >= MIN_HTTP_ERROR_STATUS:
                    return Err(await failure_from_reply(reply))
                content = await read_bounded(reply, MAX_REPLY_BYTES)
                return Ok(parse_json(content))
        except (*TRANSPORT_ERRORS, ValueError) as exc:
            return Err(failure_from_exception(exc))


@contextmanager
def deadline_limit(timeout_s: float) -> Iterator[None]:
    """End a block at a deadline, but let it read what has arrived."""
    with Deadline(timeout_s, ANSWER_READ_S) as deadline, deadline.limit():
        yield


TRANSPORT_ERRORS: Final = (aiohttp.ClientError, ConnectionLost, TimeoutError)
"""Exceptions of a request that got no complete reply."""


def failure_from_exception(exc: Exception) -> Failure:
    """Return the failure that an exception of the HTTP client stands for."""
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


async def failure_from_reply(reply: aiohttp.ClientResponse) -> Failure:
    """Return the failure that the JSON body of an error reply names."""
    try:
        document = parse_json(await read_bounded(reply, MAX_REPLY_BYTES))
        code = str(document["error"])
    except (*TRANSPORT_ERRORS, ValueError, TypeError, KeyError):
        return ProtocolFailure(f"backend server replied {reply.status}")
    return failure_from_code(code, f"backend server: {code}")
