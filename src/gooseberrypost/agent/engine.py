"""Client of the HTTP interface of a model engine."""

from __future__ import annotations

from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

import aiohttp
from result import Err, Ok, Result

from gooseberrypost.agent.backend import (
    MIN_HTTP_ERROR_STATUS,
    SHORT_CALL_TIMEOUT_MS,
    TRANSPORT_ERRORS,
    Backend,
    LoadReport,
    failure_from_exception,
    failure_from_reply,
)
from gooseberrypost.errors import Failure, ProtocolFailure
from gooseberrypost.identity import Attempt
from gooseberrypost.state.cache import CacheEvent
from gooseberrypost.strictjson import parse_json

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

RELEASE_TIMEOUT_MS: Final = 500


@dataclass(slots=True, frozen=True)
class PrefillResult:
    """KV cache of a prompt; decode engines can import it until it expires."""

    handle: str
    tokens: int
    cached_tokens: int
    """Part of ``tokens`` that was found in the prefix cache."""
    lives_ms: int
    """Time for which the engine keeps the KV cache."""


@dataclass(slots=True, frozen=True)
class TokenLine:
    """Line of a token stream with one generated token."""

    sequence: int
    text: str


@dataclass(slots=True, frozen=True)
class EndLine:
    """Last line of a token stream whose answer is complete."""

    tokens: int


@dataclass(slots=True, frozen=True)
class EngineRequest:
    """Request in the engine's list of requests that hold memory."""

    attempt: Attempt
    state: str
    pieces: int
    """Memory pieces that the request holds."""


class TokenStream:
    """Token stream in the reply to a decode or resume request."""

    __slots__ = ("_reply",)

    def __init__(self, reply: aiohttp.ClientResponse) -> None:
        self._reply = reply

    async def next(self) -> TokenLine | EndLine:
        """Read one line; raises a ``Failure`` if the stream breaks off."""
        try:
            line = await self._reply.content.readline()
            if not line.endswith(b"\n"):
                raise aiohttp.ClientPayloadError(
                    "token stream ended without an end line"
                )
            document = parse_json(line)
            if "end" in document:
                return EndLine(int(document["tokens"]))
            return TokenLine(int(document["seq"]), str(document["text"]))
        except TRANSPORT_ERRORS as exc:
            raise failure_from_exception(exc) from exc
        except (ValueError, KeyError, TypeError) as exc:
            raise ProtocolFailure(f"token stream: {exc!r}") from exc


class EngineClient(Backend):
    """Client of the engine protocol."""

    async def load(
        self, timeout_ms: int = SHORT_CALL_TIMEOUT_MS
    ) -> Result[LoadReport, Failure]:
        """Read the load report of the engine."""
        reply = await self.request_json("GET", "/load", None, timeout_ms)
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
        body = _attempt_fields(attempt) | {
            "model": model,
            "prompt": prompt,
            "priority": priority,
        }
        reply = await self.request_json(
            "POST", "/prefill", body, timeout_ms, is_run=True
        )
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
        """Generate from a KV cache; yields the stream after its import."""
        body = _attempt_fields(attempt) | options
        async with self._stream("/decode", body) as stream:
            yield stream

    @asynccontextmanager
    async def resume(
        self, attempt: Attempt, next_sequence: int
    ) -> AsyncIterator[TokenStream]:
        """Continue a stream whose connection broke."""
        body = _attempt_fields(attempt) | {"next_sequence": next_sequence}
        async with self._stream("/resume", body) as stream:
            yield stream

    async def cancel(self, attempt: Attempt) -> Result[Any, Failure]:
        """Stop an attempt in any state and free its slot and memory."""
        return await self.request_json(
            "POST", "/cancel", _attempt_fields(attempt), RELEASE_TIMEOUT_MS
        )

    async def release(self, handle: str) -> Result[Any, Failure]:
        """Drop a prefill result that will not be imported."""
        return await self.request_json(
            "POST", "/release", {"handle": handle}, RELEASE_TIMEOUT_MS
        )

    async def requests(self) -> Result[list[EngineRequest], Failure]:
        """List the requests for which the engine holds memory."""
        reply = await self.request_json("GET", "/requests")
        if isinstance(reply, Err):
            return reply
        try:
            return Ok([_parse_request(item) for item in reply.ok_value])
        except (KeyError, TypeError) as exc:
            return Err(ProtocolFailure(f"request list: {exc!r}"))

    async def events(self, after: int) -> Result[list[CacheEvent], Failure]:
        """List the prefix cache events that follow event ``after``."""
        reply = await self.request_json("GET", f"/events?after={after}")
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
        """Send an order, such as a role change, to the engine."""
        timeout = aiohttp.ClientTimeout(total=timeout_ms / 1_000)
        return await self.exchange_json("POST", "/orders", body, timeout)

    @asynccontextmanager
    async def _stream(
        self, path: str, body: dict[str, Any]
    ) -> AsyncIterator[TokenStream]:
        try:
            reply = await self.session.post(path, json=body)
        except TRANSPORT_ERRORS as exc:
            raise failure_from_exception(exc) from exc
        try:
            self.record_limit(reply, is_run=True)
            if reply.status >= MIN_HTTP_ERROR_STATUS:
                raise await failure_from_reply(reply)
            yield TokenStream(reply)
        finally:
            reply.close()


def _attempt_fields(attempt: Attempt) -> dict[str, Any]:
    return {"request": attempt.key, "attempt": attempt.number}


def _parse_request(item: dict[str, Any]) -> EngineRequest:
    return EngineRequest(
        attempt=Attempt(item["request"], item["attempt"]),
        state=item["state"],
        pieces=item["pieces"],
    )
