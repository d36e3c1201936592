"""Calls to the platform's store over HTTP, with limits on their responses.

The time for a response to begin follows the responses of its kind of call. A
response that has begun lasts as long as it makes progress.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Any, Final

import aiohttp
from absl import logging
from yarl import URL

from gooseberrypost.answerprotocol import is_framed, new_connector
from gooseberrypost.boundedread import MAX_STORE_BYTES, read_bounded
from gooseberrypost.errors import ConnectionLost
from gooseberrypost.gateway.directory import FeedLost, FeedUnusable
from gooseberrypost.logs import LineLimit, format_fields
from gooseberrypost.platform import names
from gooseberrypost.platform.connections import new_tcp_socket
from gooseberrypost.policy.responsetimeout import ResponseTimeouts
from gooseberrypost.singlesend import disable_automatic_retry
from gooseberrypost.timeouts import TransferTimeout

if TYPE_CHECKING:
    from collections.abc import Mapping

MIN_RESPONSE_TIMEOUT_S: Final = 0.5
"""Time for a response to begin, in addition to the wait of a watch.

A call usually takes a few ms. The timeout is short enough to detect a dead
connection within the 2 s in which a change of the configuration must take
effect.
"""
MAX_RESPONSE_TIMEOUT_S: Final = 2.0
"""Upper bound of this time, for a store that is slow."""
MAX_PAUSE_S: Final = 1.0
"""Longest pause in a response that has begun.

A configuration may take seconds over a link that it shares with traffic.
"""
MIN_BYTES_PER_S: Final = 16 * 1024
"""Rate below which a response is given up, as it would never end."""
CONNECT_TIMEOUT_S: Final = 1.0
FAILURE_LOG_INTERVAL_S: Final = 0.5
"""Interval of log lines on failed calls, for each kind of call."""


class StoreUnavailable(FeedLost):
    """The store did not answer, or answered with an error."""

    code = "store_unavailable"


class ResponseUnusable(StoreUnavailable, FeedUnusable):
    """The response broke off, stalled, is too large or cannot be decoded."""

    code = "store_response_unusable"


class CallKind(Enum):
    """Calls of the store that differ in the size or time of their answers."""

    RANGE = "range"
    WATCH = "watch"
    WRITE = "write"
    GRANT = "grant"
    RENEW = "renew"
    REVOKE = "revoke"


class CallProgress:
    """Times and size of the answer to a call so far."""

    __slots__ = ("answered_s", "began_s", "received_bytes")

    def __init__(self) -> None:
        self.began_s = time.monotonic()
        self.answered_s: float | None = None
        """Monotonic time at which the first data of the body arrived."""
        self.received_bytes = 0

    @property
    def response_s(self) -> float:
        """Time after which the answer began; until now if it has not."""
        answered_s = self.answered_s
        return (answered_s or time.monotonic()) - self.began_s

    def record_data(self, size: int) -> None:
        """Record that a part of the body has arrived."""
        if self.answered_s is None:
            self.answered_s = time.monotonic()
        self.received_bytes += size


@dataclass(slots=True, frozen=True)
class StoreCall:
    """A call, and how long its response may take to begin.

    The store may let a watch wait for ``wait_s``. A ``timeout_s`` of 0 stands
    for the usual one of the kind of call.
    """

    kind: CallKind
    method: str
    path: str
    query: Mapping[str, str] | None = None
    body: Any = None
    wait_s: float = 0.0
    timeout_s: float = 0.0


@dataclass(slots=True, frozen=True)
class StoreResponse:
    """Status and body of a response, and the era that it names."""

    status: int
    content: bytes
    era_text: str | None


class StoreCaller:
    """Sends calls to one address."""

    __slots__ = (
        "_failure_lines",
        "_open_calls",
        "_session",
        "_timeouts",
        "address",
    )

    def __init__(self, address: str) -> None:
        self.address = address
        self._open_calls: dict[CallKind, CallProgress] = {}
        """Last open call of each kind."""
        self._timeouts = ResponseTimeouts(
            MIN_RESPONSE_TIMEOUT_S, MAX_RESPONSE_TIMEOUT_S
        )
        self._failure_lines = {
            kind: LineLimit(FAILURE_LOG_INTERVAL_S) for kind in CallKind
        }
        # Each call has a new connection. After a network fault every pooled
        # connection may be dead, and each would cost one call's timeout.
        self._session = aiohttp.ClientSession(
            connector=new_connector(socket_factory=new_tcp_socket),
            cookie_jar=aiohttp.DummyCookieJar(),
            middlewares=(disable_automatic_retry,),
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()

    def is_receiving(self, kind: CallKind) -> bool:
        """Whether a part of the response to the open call has arrived."""
        progress = self._open_calls.get(kind)
        return progress is not None and progress.answered_s is not None

    async def send(self, call: StoreCall) -> StoreResponse:
        """Send a call; a read whose connection is lost is sent once more.

        Raises ``StoreUnavailable``, or ``ResponseUnusable`` if the response
        had begun.
        """
        return await self._send(call, may_repeat=call.method == "GET")

    async def _send(
        self, call: StoreCall, *, may_repeat: bool
    ) -> StoreResponse:
        limit_s = call.wait_s + (
            call.timeout_s or self._timeouts.of(call.kind)
        )
        self._open_calls[call.kind] = progress = CallProgress()
        try:
            response = await self._receive(call, limit_s, progress)
        except (
            aiohttp.ClientError,
            ConnectionLost,
            OSError,
            TimeoutError,
        ) as exc:
            # The store cuts watches at times.
            if may_repeat and isinstance(exc, ConnectionLost):
                return await self._send(call, may_repeat=False)
            self._log_failure(call, progress, limit_s, repr(exc))
            if progress.answered_s is not None:
                raise ResponseUnusable(f"{call.path}: {exc!r}") from exc
            if isinstance(exc, TimeoutError):
                self._timeouts.record_timeout(call.kind)
            raise StoreUnavailable(f"{call.path}: {exc!r}") from exc
        finally:
            self._open_calls.pop(call.kind, None)
        # The store may answer a watch at any time of its wait.
        response_s = max(0.0, progress.response_s - call.wait_s)
        self._timeouts.record_response(call.kind, response_s)
        if response.status >= 500 or response.status == 429:
            detail = f"status {response.status}"
            self._log_failure(call, progress, limit_s, detail)
        return response

    async def _receive(
        self, call: StoreCall, limit_s: float, progress: CallProgress
    ) -> StoreResponse:
        """Return a response that arrived as a whole."""
        url = URL(f"http://{self.address}{call.path}")
        timeout = aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S)
        transfer = TransferTimeout(limit_s, MAX_PAUSE_S, MIN_BYTES_PER_S)

        def record_data(size: int) -> None:
            progress.record_data(size)
            transfer.receive(size)

        with transfer:
            async with self._session.request(
                call.method,
                url,
                params=call.query,
                json=call.body,
                timeout=timeout,
            ) as response:
                content = await read_bounded(
                    response, MAX_STORE_BYTES, record_data
                )
                if not (content or is_framed(response)):
                    raise ConnectionLost("answer ended in or before its body")
                era_text = response.headers.get(names.STORE_ERA)
                return StoreResponse(response.status, content, era_text)

    def _log_failure(
        self,
        call: StoreCall,
        progress: CallProgress,
        limit_s: float,
        detail: str,
    ) -> None:
        """Log a call that failed, with what had arrived of its answer."""
        lines = self._failure_lines[call.kind]
        if not lines.admit():
            return
        after_s = time.monotonic() - progress.began_s
        fields = [
            ("event", "store_call_failed"),
            ("call", call.kind.value),
            ("after_ms", round(1_000 * after_s)),
            ("limit_ms", round(1_000 * limit_s)),
            ("received", progress.received_bytes),
            ("detail", detail),
            ("omitted", lines.omitted),
        ]
        logging.warning("%s", format_fields(fields))
