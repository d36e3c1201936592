"""Answers on a caller's connection, whole or as server-sent events."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Final

from aiohttp import web

from gooseberrypost.claims.client import StoredAnswer
from gooseberrypost.entry.formats import (
    EVENT_STREAM_TYPE,
    JSON_TYPE,
    CompletionFormat,
    encode_json,
    error_document,
    error_event,
)
from gooseberrypost.entry.parse import KEY_HEADER, OUTCOME_HEADER
from gooseberrypost.errors import CallerGone, Failure, Outcome, Superseded

if TYPE_CHECKING:
    from collections.abc import Mapping

    from gooseberrypost.entry.sections import LiveRequest
    from gooseberrypost.state.streams import TokenStream

FINISH_STOP: Final = "stop"
FINISH_LENGTH: Final = "length"
OK_STATUS: Final = 200


class CallerConnection:
    """Writes to a caller within the time that a slow reader is given."""

    __slots__ = ("_request", "_response", "_write_timeout_s")

    def __init__(
        self, request: web.BaseRequest, write_timeout_ms: int
    ) -> None:
        self._request = request
        self._write_timeout_s = write_timeout_ms / 1_000
        self._response: web.StreamResponse | None = None

    @property
    def response(self) -> web.StreamResponse | None:
        """Response whose header was sent; ``None`` before."""
        return self._response

    async def start(
        self,
        status: int,
        content_type: str,
        headers: Mapping[str, str],
        length: int | None = None,
    ) -> None:
        """Send the response header; ``CallerGone`` when it is not taken."""
        response = web.StreamResponse(status=status)
        for name, value in headers.items():
            response.headers.add(name, value)
        response.headers["Content-Type"] = content_type
        response.content_length = length
        self._response = response
        try:
            async with asyncio.timeout(self._write_timeout_s):
                await response.prepare(self._request)
        except (TimeoutError, ConnectionError) as exc:
            raise self._gone(exc) from exc

    async def write(self, data: bytes) -> None:
        """Send a piece of the body; ``CallerGone`` when it is not taken."""
        assert self._response is not None
        try:
            async with asyncio.timeout(self._write_timeout_s):
                await self._response.write(data)
        except (TimeoutError, ConnectionError) as exc:
            raise self._gone(exc) from exc

    async def finish(self) -> None:
        """End the body."""
        assert self._response is not None
        try:
            async with asyncio.timeout(self._write_timeout_s):
                await self._response.write_eof()
        except (TimeoutError, ConnectionError) as exc:
            raise self._gone(exc) from exc

    async def send(
        self,
        status: int,
        content_type: str,
        headers: Mapping[str, str],
        body: bytes,
    ) -> None:
        """Send a whole response."""
        await self.start(status, content_type, headers, len(body))
        if body:
            await self.write(body)
        await self.finish()

    def abort(self) -> None:
        """Drop the connection, so that the caller sees no end of the body."""
        if self._request.transport is not None:
            self._request.transport.abort()

    def _gone(self, exc: Exception) -> CallerGone:
        self.abort()
        return CallerGone(f"caller does not take its answer: {exc!r}")


def headers_of(live: LiveRequest, outcome: Outcome | None) -> dict[str, str]:
    """Response headers that name the request and its outcome."""
    headers = {}
    if live.key:
        headers[KEY_HEADER] = live.key
    if outcome is not None:
        headers[OUTCOME_HEADER] = outcome.value
    return headers


def retry_after_headers(failure: Failure) -> dict[str, str]:
    """``Retry-After`` in whole seconds, where waiting helps."""
    if failure.retry_after_ms is None:
        return {}
    return {"Retry-After": str(max(1, -(-failure.retry_after_ms // 1_000)))}


async def send_failure(
    caller: CallerConnection,
    live: LiveRequest,
    failure: Failure,
    outcome: Outcome,
) -> None:
    """Tell the caller a failure, as a response or at the end of a stream."""
    if caller.response is None:
        headers = headers_of(live, outcome) | retry_after_headers(failure)
        body = encode_json(error_document(failure, live.key, outcome))
        await caller.send(failure.http_status, JSON_TYPE, headers, body)
        return
    content_type = caller.response.content_type
    if isinstance(failure, Superseded) or content_type != EVENT_STREAM_TYPE:
        caller.abort()
        return
    await caller.write(error_event(failure, live.key, outcome))
    await caller.finish()


async def send_stored(
    caller: CallerConnection, live: LiveRequest, answer: StoredAnswer
) -> None:
    """Replay the answer that the first sending of a request was given."""
    headers = headers_of(live, Outcome.DUPLICATE)
    await caller.send(answer.status, answer.content_type, headers, answer.body)


class CompletionAnswer(ABC):
    """Answer to a completion request, built from tokens."""

    def __init__(
        self,
        caller: CallerConnection,
        live: LiveRequest,
        form: CompletionFormat,
        prompt_tokens: int,
    ) -> None:
        self._caller = caller
        self._live = live
        self._form = form
        self._prompt_tokens = prompt_tokens

    @abstractmethod
    async def pass_on(self, texts: list[str]) -> None:
        """Take the next tokens; ``CallerGone`` if they are not taken."""

    @abstractmethod
    def seal(self, stream: TokenStream, finish_reason: str) -> StoredAnswer:
        """Return the whole answer, final part included."""

    @abstractmethod
    async def finish(self) -> None:
        """Send the final part of a sealed answer."""


class WholeAnswer(CompletionAnswer):
    """Answer sent as one JSON document."""

    async def pass_on(self, texts: list[str]) -> None:
        """Keep nothing: the token stream has the text."""

    def seal(self, stream: TokenStream, finish_reason: str) -> StoredAnswer:
        """Render the document."""
        body = self._form.whole(
            stream.text,
            finish_reason,
            self._prompt_tokens,
            stream.next_sequence,
        )
        self._stored = StoredAnswer(OK_STATUS, body, JSON_TYPE)
        return self._stored

    async def finish(self) -> None:
        """Send the document."""
        headers = headers_of(self._live, Outcome.COMPLETED)
        await self._caller.send(
            OK_STATUS, JSON_TYPE, headers, self._stored.body
        )


class EventStreamAnswer(CompletionAnswer):
    """Answer sent as server-sent events; ``[DONE]`` means completed.

    The header leaves with the first token, before the outcome is known, so
    it has no outcome.
    """

    def __init__(
        self,
        caller: CallerConnection,
        live: LiveRequest,
        form: CompletionFormat,
        prompt_tokens: int,
    ) -> None:
        super().__init__(caller, live, form, prompt_tokens)
        self._sent: list[bytes] = []
        self._final = b""

    async def pass_on(self, texts: list[str]) -> None:
        """Send one event for each token."""
        if not texts:
            return
        await self._start()
        data = b"".join(self._form.piece(text) for text in texts)
        self._sent.append(data)
        await self._caller.write(data)

    def seal(self, stream: TokenStream, finish_reason: str) -> StoredAnswer:
        """Render the final events; the stored answer is the whole body."""
        self._final = self._form.final(finish_reason)
        body = b"".join([*self._sent, self._final])
        return StoredAnswer(OK_STATUS, body, EVENT_STREAM_TYPE)

    async def finish(self) -> None:
        """Send the final events."""
        await self._start()
        await self._caller.write(self._final)
        await self._caller.finish()

    async def _start(self) -> None:
        if self._caller.response is None:
            headers = headers_of(self._live, None)
            headers["Cache-Control"] = "no-cache"
            await self._caller.start(OK_STATUS, EVENT_STREAM_TYPE, headers)
