"""Client of the rate-limited weight store.

A fetch stays below a rate limit in bytes per second, resumes an interrupted
transfer with a range request, and verifies the SHA-256 digest of the complete
file.
"""

from __future__ import annotations

import asyncio
import hashlib
import re
import time
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Final, Self
from urllib.parse import quote

import aiohttp
from result import Err, Ok, Result

from gooseberrypost.errors import ExecutionFailed, Failure, NotRun
from gooseberrypost.policy.tokenbucket import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

CHUNK_BYTES: Final = 64 * 1024
BURST_BYTES: Final = 256 * 1024
MAX_ATTEMPTS_WITHOUT_PROGRESS: Final = 5
RETRY_DELAY_MS: Final = 200
IDLE_TIMEOUT_MS: Final = 5_000

_CONTENT_RANGE: Final = re.compile(r"bytes (\d+)-\d+/(\d+)")


class WeightsUnavailable(NotRun):
    """The store did not deliver the complete file; the sink is incomplete."""

    code = "weights_unavailable"


class UnknownWeights(NotRun):
    """The store has no weights for the model."""

    code = "unknown_weights"
    http_status = 404


class DigestMismatch(ExecutionFailed):
    """The received file does not have the requested SHA-256 digest."""

    code = "digest_mismatch"


class WeightSink(ABC):
    """Destination of a fetch, written chunk by chunk."""

    @abstractmethod
    async def write(self, chunk: bytes) -> None:
        """Append the next bytes."""

    @abstractmethod
    async def restart(self) -> None:
        """Discard what was written; the transfer restarts at byte 0."""


class WeightStore(ABC):
    """Interface of the weight store."""

    @abstractmethod
    async def fetch(
        self, model: str, sha256: str, sink: WeightSink
    ) -> Result[int, Failure]:
        """Write the weights to the sink and return their size in bytes.

        Fails with ``UnknownWeights``, ``WeightsUnavailable`` or
        ``DigestMismatch``; the content of the sink is then invalid.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close the connections."""


class HttpWeightStore(WeightStore):
    """Client of ``GET /v1/weights/{model}`` with range requests."""

    def __init__(
        self,
        address: str,
        bytes_per_s: float,
        clock: Callable[[], int] = lambda: time.monotonic_ns() // 1_000_000,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._address = address
        self._bucket = TokenBucket(bytes_per_s, min(bytes_per_s, BURST_BYTES))
        self._clock = clock
        self._sleep = sleep
        self._session: aiohttp.ClientSession | None = None

    @classmethod
    def from_address(cls, address: str, bytes_per_s: float) -> Self:
        """Create a client of the store at ``host:port``."""
        return cls(address, bytes_per_s)

    async def fetch(
        self, model: str, sha256: str, sink: WeightSink
    ) -> Result[int, Failure]:
        """Fetch the complete file, resuming interrupted transfers."""
        transfer = _Transfer(sink)
        stalled_attempts = 0
        while stalled_attempts < MAX_ATTEMPTS_WITHOUT_PROGRESS:
            size_before = transfer.size
            failure = await self._fetch_remaining(model, transfer)
            if failure is None:
                return transfer.verify_digest(sha256)
            if not isinstance(failure, WeightsUnavailable):
                return Err(failure)
            stalled_attempts = (
                0 if transfer.size > size_before else stalled_attempts + 1
            )
            await self._sleep(RETRY_DELAY_MS / 1_000)
        return Err(failure)

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def _fetch_remaining(
        self, model: str, transfer: _Transfer
    ) -> Failure | None:
        if self._session is None:
            timeout = aiohttp.ClientTimeout(
                total=None,
                sock_connect=IDLE_TIMEOUT_MS / 1_000,
                sock_read=IDLE_TIMEOUT_MS / 1_000,
            )
            self._session = aiohttp.ClientSession(timeout=timeout)
        url = f"http://{self._address}/v1/weights/{quote(model, safe='')}"
        try:
            async with self._session.get(
                url, headers=transfer.range_headers()
            ) as response:
                if failure := await transfer.accept_response(response):
                    return failure
                async for chunk in response.content.iter_chunked(CHUNK_BYTES):
                    wait_ms = self._bucket.take(len(chunk), self._clock())
                    if wait_ms:
                        await self._sleep(wait_ms / 1_000)
                    await transfer.append(chunk)
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            return WeightsUnavailable(f"{self._address}: {exc!r}")
        return transfer.check_complete()


class _Transfer:
    """Progress of one fetch, which may take several HTTP requests."""

    def __init__(self, sink: WeightSink) -> None:
        self.size = 0
        self._total = 0
        self._etag = ""
        self._hash = hashlib.sha256()
        self._sink = sink

    def range_headers(self) -> dict[str, str]:
        if not self.size:
            return {}
        headers = {"Range": f"bytes={self.size}-"}
        if self._etag:
            headers["If-Range"] = self._etag
        return headers

    async def accept_response(
        self, response: aiohttp.ClientResponse
    ) -> Failure | None:
        if response.status == 404:
            return UnknownWeights(str(response.url))
        if response.status not in (200, 206):
            return WeightsUnavailable(f"status {response.status}")
        if response.status == 206:
            return self._resume_at_range(
                response.headers.get("Content-Range", "")
            )
        if self.size:
            await self._sink.restart()
        self.size = 0
        self._hash = hashlib.sha256()
        self._total = response.content_length or 0
        self._etag = response.headers.get("ETag", "")
        return None

    def _resume_at_range(self, content_range: str) -> Failure | None:
        match = _CONTENT_RANGE.fullmatch(content_range)
        if match is None or int(match[1]) != self.size:
            return WeightsUnavailable(
                f"range {content_range!r} does not start at {self.size}"
            )
        self._total = int(match[2])
        return None

    async def append(self, chunk: bytes) -> None:
        await self._sink.write(chunk)
        self._hash.update(chunk)
        self.size += len(chunk)

    def check_complete(self) -> Failure | None:
        if self._total and self.size < self._total:
            return WeightsUnavailable(
                f"transfer truncated: got {self.size} of {self._total} bytes"
            )
        return None

    def verify_digest(self, sha256: str) -> Result[int, Failure]:
        actual = self._hash.hexdigest()
        if actual != sha256.lower():
            return Err(
                DigestMismatch(f"digest is {actual}, expected {sha256}")
            )
        return Ok(self.size)
