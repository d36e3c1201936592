"""Client of a model engine."""

from __future__ import annotations

import json
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

import aiohttp
from result import Err, Ok, Result

from gooseberrypost.agent.backend import (
    HTTP_ERROR,
    LOST,
    SHORT_CALL_TIMEOUT_MS,
    Backend,
    LoadReport,
    failure_of,
    translate,
)
from gooseberrypost.errors import Failure, ProtocolFailure
from gooseberrypost.identity import Attempt
from gooseberrypost.state.cache import CacheEvent

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

RELEASE_TIMEOUT_MS: Final = 500


@dataclass(slots=True, frozen=True)
class PrefillResult:
    """KV cache of a prompt, importable while it lives."""

    handle: str
    tokens: int
    cached_tokens: int
    lives_ms: int


@dataclass(slots=True, frozen=True)
class TokenLine:
    """One generated token."""

    sequence: int
    text: str


@dataclass(slots=True, frozen=True)
class EndLine:
    """End of a whole answer."""

    tokens: int


@dataclass(slots=True, frozen=True)
class EngineRequest:
    """A request as the engine lists it."""

    attempt: Attempt
    state: str
    pieces: int


class TokenStream:
    """Lines of a decode or resume reply."""

    __slots__ = ("_reply",)

    def __init__(self, reply: aiohttp.ClientResponse) -> None:
        self._reply = reply

    async def next(self) -> TokenLine | EndLine:
        """Read one line; raises a ``Failure`` when there is none."""
        try:
            line = await self._reply.content.readline()
            if not line.endswith(b"\n"):
                raise aiohttp.ClientPayloadError("stream ended early")
            document = json.loads(line)
            if "end" in document:
                return EndLine(int(document["tokens"]))
            return TokenLine(int(document["seq"]), str(document["text"]))
        except LOST as exc:
            raise translate(exc) from exc
        except (ValueError, KeyError, TypeError) as exc:
            raise ProtocolFailure(f"token stream: {exc!r}") from exc


class EngineClient(Backend):
    """Speaks the engine protocol."""

    async def load(
        self, timeout_ms: int = SHORT_CALL_TIMEOUT_MS
    ) -> Result[LoadReport, Failure]:
        """Ask for the load report."""
        reply = await self.exchange("GET", "/load", None, timeout_ms)
        return reply.and_then(LoadReport.from_document)

    async def prefill(
        self,
        attempt: Attempt,
        model: str,
        prompt: str,
        priority: int,
        timeout_ms: int,
    ) -> Result[PrefillResult, Failure]:
        """Compute the KV cache of a prompt."""
        body = _named(attempt) | {
            "model": model,
            "prompt": prompt,
            "priority": priority,
        }
        reply = await self.exchange("POST", "/prefill", body, timeout_ms)
        if isinstance(reply, Err):
            return reply
        document = reply.ok_value
        try:
            return Ok(
                PrefillResult(
                    handle=document["handle"],
                    tokens=document["tokens"],
                    cached_tokens=document["cached_tokens"],
                    lives_ms=document["lives_ms"],
                )
            )
        except (KeyError, TypeError) as exc:
            return Err(ProtocolFailure(f"prefill reply: {exc!r}"))

    @asynccontextmanager
    async def decode(
        self, attempt: Attempt, options: dict[str, Any]
    ) -> AsyncIterator[TokenStream]:
        """Import a KV cache and generate; yields once it is imported."""
        body = _named(attempt) | options
        async with self._stream("/decode", body) as stream:
            yield stream

    @asynccontextmanager
    async def resume(
        self, attempt: Attempt, next_sequence: int
    ) -> AsyncIterator[TokenStream]:
        """Continue a stream whose connection broke."""
        body = _named(attempt) | {"next_sequence": next_sequence}
        async with self._stream("/resume", body) as stream:
            yield stream

    async def cancel(self, attempt: Attempt) -> Result[Any, Failure]:
        """Stop an attempt in any state and free its slot and memory."""
        return await self.exchange(
            "POST", "/cancel", _named(attempt), RELEASE_TIMEOUT_MS
        )

    async def release(self, handle: str) -> Result[Any, Failure]:
        """Drop a prefill result."""
        return await self.exchange(
            "POST", "/release", {"handle": handle}, RELEASE_TIMEOUT_MS
        )

    async def requests(self) -> Result[list[EngineRequest], Failure]:
        """List everything that the engine holds memory for."""
        reply = await self.exchange("GET", "/requests")
        if isinstance(reply, Err):
            return reply
        try:
            return Ok([_listed(item) for item in reply.ok_value])
        except (KeyError, TypeError) as exc:
            return Err(ProtocolFailure(f"request list: {exc!r}"))

    async def events(self, after: int) -> Result[list[CacheEvent], Failure]:
        """List cache events with a higher number, as far as known."""
        reply = await self.exchange("GET", f"/events?after={after}")
        if isinstance(reply, Err):
            return reply
        try:
            return Ok(
                [
                    CacheEvent(int(e["n"]), str(e["kind"]), int(e["hash"]))
                    for e in reply.ok_value
                ]
            )
        except (KeyError, TypeError, ValueError) as exc:
            return Err(ProtocolFailure(f"cache events: {exc!r}"))

    async def order(
        self, body: dict[str, Any], timeout_ms: float
    ) -> Result[Any, Failure]:
        """Forward an order."""
        return await self.exchange("POST", "/orders", body, timeout_ms)

    @asynccontextmanager
    async def _stream(
        self, path: str, body: dict[str, Any]
    ) -> AsyncIterator[TokenStream]:
        try:
            reply = await self.session.post(path, json=body)
        except LOST as exc:
            raise translate(exc) from exc
        try:
            if reply.status >= HTTP_ERROR:
                raise await failure_of(reply)
            yield TokenStream(reply)
        finally:
            reply.close()


def _named(attempt: Attempt) -> dict[str, Any]:
    return {"request": attempt.key, "attempt": attempt.number}


def _listed(item: dict[str, Any]) -> EngineRequest:
    return EngineRequest(
        attempt=Attempt(item["request"], item["attempt"]),
        state=item["state"],
        pieces=item["pieces"],
    )
