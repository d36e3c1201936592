"""Client of the rate-limited weight store.

A fetch keeps below a rate in bytes per second, continues a broken transfer
at the byte where it broke, and checks the SHA-256 digest of the whole.
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
from gooseberrypost.stores._bucket import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

CHUNK_BYTES: Final = 64 * 1024
BURST_BYTES: Final = 256 * 1024
TRIES_WITHOUT_PROGRESS: Final = 5
RETRY_MS: Final = 200
SILENCE_MS: Final = 5_000

_RANGE: Final = re.compile(r"bytes (\d+)-\d+/(\d+)")


class WeightsUnavailable(NotRun):
    """The store did not deliver the whole; the sink is incomplete."""

    code = "weights_unavailable"


class UnknownWeights(NotRun):
    """The store has no weights of that name."""

    code = "unknown_weights"
    http_status = 404


class DigestMismatch(ExecutionFailed):
    """The bytes received are not those that were asked for."""

    code = "digest_mismatch"


class WeightSink(ABC):
    """Receives the weights piece by piece."""

    @abstractmethod
    async def write(self, piece: bytes) -> None:
        """Take the next bytes."""

    @abstractmethod
    async def restart(self) -> None:
        """Discard what was written; the store starts again at byte 0."""


class WeightStore(ABC):
    """Delivers the weights of models."""

    @abstractmethod
    async def fetch(
        self, model: str, sha256: str, sink: WeightSink
    ) -> Result[int, Failure]:
        """Write the weights to the sink and return their size in bytes.

        Fails with ``UnknownWeights``, ``WeightsUnavailable`` or
        ``DigestMismatch``; after each, the sink must not be used.
        """

    @abstractmethod
    async def close(self) -> None:
        """Release the connections."""


class HttpWeightStore(WeightStore):
    """Client of ``GET /v1/weights/{model}`` with byte ranges."""

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
        """Client of the store at ``host:port``."""
        return cls(address, bytes_per_s)

    async def fetch(
        self, model: str, sha256: str, sink: WeightSink
    ) -> Result[int, Failure]:
        """Fetch all bytes, resuming where a transfer broke."""
        transfer = _Transfer(sink)
        tries = 0
        while tries < TRIES_WITHOUT_PROGRESS:
            before = transfer.size
            failure = await self._continue(model, transfer)
            if failure is None:
                return transfer.finished(sha256)
            if not isinstance(failure, WeightsUnavailable):
                return Err(failure)
            tries = 0 if transfer.size > before else tries + 1
            await self._sleep(RETRY_MS / 1_000)
        return Err(failure)

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def _continue(
        self, model: str, transfer: _Transfer
    ) -> Failure | None:
        if self._session is None:
            timeout = aiohttp.ClientTimeout(
                total=None,
                sock_connect=SILENCE_MS / 1_000,
                sock_read=SILENCE_MS / 1_000,
            )
            self._session = aiohttp.ClientSession(timeout=timeout)
        url = f"http://{self._address}/v1/weights/{quote(model, safe='')}"
        try:
            async with self._session.get(
                url, headers=transfer.headers()
            ) as response:
                if failure := await transfer.begin(response):
                    return failure
                async for piece in response.content.iter_chunked(CHUNK_BYTES):
                    wait_ms = self._bucket.take(len(piece), self._clock())
                    if wait_ms:
                        await self._sleep(wait_ms / 1_000)
                    await transfer.add(piece)
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            return WeightsUnavailable(f"{self._address}: {exc!r}")
        return transfer.missing()


class _Transfer:
    """Bytes received so far of one fetch."""

    def __init__(self, sink: WeightSink) -> None:
        self.size = 0
        self._total = 0
        self._tag = ""
        self._hash = hashlib.sha256()
        self._sink = sink

    def headers(self) -> dict[str, str]:
        if not self.size:
            return {}
        headers = {"Range": f"bytes={self.size}-"}
        if self._tag:
            headers["If-Range"] = self._tag
        return headers

    async def begin(self, response: aiohttp.ClientResponse) -> Failure | None:
        if response.status == 404:
            return UnknownWeights(str(response.url))
        if response.status not in (200, 206):
            return WeightsUnavailable(f"status {response.status}")
        if response.status == 206:
            return self._resume(response.headers.get("Content-Range", ""))
        if self.size:
            await self._sink.restart()
        self.size = 0
        self._hash = hashlib.sha256()
        self._total = response.content_length or 0
        self._tag = response.headers.get("ETag", "")
        return None

    def _resume(self, content_range: str) -> Failure | None:
        match = _RANGE.fullmatch(content_range)
        if match is None or int(match[1]) != self.size:
            return WeightsUnavailable(
                f"range {content_range!r} does not start at {self.size}"
            )
        self._total = int(match[2])
        return None

    async def add(self, piece: bytes) -> None:
        await self._sink.write(piece)
        self._hash.update(piece)
        self.size += len(piece)

    def missing(self) -> Failure | None:
        if self._total and self.size < self._total:
            return WeightsUnavailable(f"{self.size} of {self._total} bytes")
        return None

    def finished(self, sha256: str) -> Result[int, Failure]:
        found = self._hash.hexdigest()
        if found != sha256.lower():
            return Err(DigestMismatch(f"{found} is not {sha256}"))
        return Ok(self.size)
