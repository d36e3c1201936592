"""HTTP responses to callers, as JSON documents or server-sent events."""

from __future__ import annotations

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
from gooseberrypost.entry.parse import IDEMPOTENCY_KEY_HEADER, OUTCOME_HEADER
from gooseberrypost.errors import CallerGone, Failure, Outcome, Superseded
from gooseberrypost.state.memorybudget import UNBOUNDED, Lease
from gooseberrypost.timeouts import RunningTimeout

if TYPE_CHECKING:
    from collections.abc import Mapping

    from gooseberrypost.entry.sections import LiveRequest
    from gooseberrypost.state.streams import TokenStream

WRITE_BYTES: Final = 32 * 1024
"""Largest part of a response that is written at once."""
FINISH_STOP: Final = "stop"
FINISH_LENGTH: Final = "length"
OK_STATUS: Final = 200


class CallerConnection:
    """Sends the HTTP response to a caller.

    A write that does not complete within the write timeout aborts the
    connection, so that a slow reader cannot hold up its request.
    """

    __slots__ = ("_request", "_response", "_write_timeout_s", "memory")

    def __init__(
        self, request: web.BaseRequest, write_timeout_ms: int
    ) -> None:
        self._request = request
        self._write_timeout_s = write_timeout_ms / 1_000
        self._response: web.StreamResponse | None = None
        self.memory: Lease = UNBOUNDED
        """Memory for the request's body."""

    @property
    def response(self) -> web.StreamResponse | None:
        """The response once its header is being sent; ``None`` before that."""
        return self._response

    async def start(
        self,
        status: int,
        content_type: str,
        headers: Mapping[str, str],
        length: int | None = None,
    ) -> None:
        """Send the response header; ``CallerGone`` on a failed write."""
        response = web.StreamResponse(status=status)
        for name, value in headers.items():
            response.headers.add(name, value)
        response.headers["Content-Type"] = content_type
        response.content_length = length
        self._response = response
        try:
            with RunningTimeout(self._write_timeout_s):
                await response.prepare(self._request)
        except (TimeoutError, ConnectionError) as exc:
            raise self._abort_and_report(exc) from exc

    async def write(self, data: bytes) -> None:
        """Send part of the body; ``CallerGone`` on a failed write."""
        assert self._response is not None
        try:
            with RunningTimeout(self._write_timeout_s):
                # In parts, so that no buffer holds a second copy.
                view = memoryview(data)
                for start in range(0, len(data), WRITE_BYTES):
                    await self._response.write(
                        view[start : start + WRITE_BYTES]
                    )
        except (TimeoutError, ConnectionError) as exc:
            raise self._abort_and_report(exc) from exc

    async def finish(self) -> None:
        """Send the end of the body; ``CallerGone`` on a failed write."""
        assert self._response is not None
        try:
            with RunningTimeout(self._write_timeout_s):
                await self._response.write_eof()
        except (TimeoutError, ConnectionError) as exc:
            raise self._abort_and_report(exc) from exc

    async def send(
        self,
        status: int,
        content_type: str,
        headers: Mapping[str, str],
        body: bytes,
    ) -> None:
        """Send a complete response; ``CallerGone`` on a failed write."""
        await self.start(status, content_type, headers, len(body))
        if body:
            await self.write(body)
        await self.finish()

    def abort(self) -> None:
        """Abort the connection, so that the body is seen to be truncated."""
        if self._request.transport is not None:
            self._request.transport.abort()

    def _abort_and_report(self, exc: Exception) -> CallerGone:
        self.abort()
        return CallerGone(f"write to caller failed or timed out: {exc!r}")


def outcome_headers(
    live: LiveRequest, outcome: Outcome | None
) -> dict[str, str]:
    """Return the headers for the request's key and, if known, its outcome."""
    headers = {}
    if live.key:
        headers[IDEMPOTENCY_KEY_HEADER] = live.key
    if outcome is not None:
        headers[OUTCOME_HEADER] = outcome.value
    return headers


def retry_after_headers(failure: Failure) -> dict[str, str]:
    """Return ``Retry-After`` in seconds, rounded up, at least 1.

    There is none if the failure has no retry delay.
    """
    if failure.retry_after_ms is None:
        return {}
    return {"Retry-After": str(max(1, -(-failure.retry_after_ms // 1_000)))}


async def send_failure(
    caller: CallerConnection,
    live: LiveRequest,
    failure: Failure,
    outcome: Outcome,
) -> None:
    """Report a failure to the caller.

    It is sent as an error response, or as the final event once an event
    stream has started. Other responses that have started are aborted, as are
    event streams of a superseded attempt, since another attempt answers.
    """
    if caller.response is None:
        headers = outcome_headers(live, outcome) | retry_after_headers(failure)
        body = encode_json(error_document(failure, live.key, outcome))
        await caller.send(failure.http_status, JSON_TYPE, headers, body)
        return
    content_type = caller.response.content_type
    if isinstance(failure, Superseded) or content_type != EVENT_STREAM_TYPE:
        caller.abort()
        return
    await caller.write(error_event(failure, live.key, outcome))
    await caller.finish()


async def replay_stored_answer(
    caller: CallerConnection, live: LiveRequest, answer: StoredAnswer
) -> None:
    """Send the stored answer of an earlier request with the same key."""
    headers = outcome_headers(live, Outcome.DUPLICATE)
    await caller.send(answer.status, answer.content_type, headers, answer.body)


class CompletionAnswer(ABC):
    """Response to a completion request, built from streamed tokens.

    ``finalize`` is called after the last token, and ``finish`` once the
    stored answer has been recorded with the claim.
    """

    def __init__(
        self,
        caller: CallerConnection,
        live: LiveRequest,
        completion_format: CompletionFormat,
        prompt_tokens: int,
    ) -> None:
        self._caller = caller
        self._live = live
        self._format = completion_format
        self._prompt_tokens = prompt_tokens

    @abstractmethod
    async def write_tokens(self, texts: list[str]) -> None:
        """Accept the next tokens; ``CallerGone`` if they cannot be sent."""

    @abstractmethod
    def finalize(
        self, stream: TokenStream, finish_reason: str
    ) -> StoredAnswer:
        """Render the rest of the answer and return all of it for storage."""

    @abstractmethod
    async def finish(self) -> None:
        """Send what ``finalize`` rendered and end the response."""


class JsonAnswer(CompletionAnswer):
    """Response sent as one JSON document when all tokens have arrived."""

    async def write_tokens(self, texts: list[str]) -> None:
        """Do nothing: ``finalize`` takes the text from the token stream."""

    def finalize(
        self, stream: TokenStream, finish_reason: str
    ) -> StoredAnswer:
        """Render the JSON document."""
        body = self._format.json_body(
            stream.text,
            finish_reason,
            self._prompt_tokens,
            stream.next_sequence,
        )
        self._stored_answer = StoredAnswer(OK_STATUS, body, JSON_TYPE)
        return self._stored_answer

    async def finish(self) -> None:
        """Send the JSON document."""
        headers = outcome_headers(self._live, Outcome.COMPLETED)
        await self._caller.send(
            OK_STATUS, JSON_TYPE, headers, self._stored_answer.body
        )


class EventStreamAnswer(CompletionAnswer):
    """Response sent as server-sent events; ``[DONE]`` marks completion.

    The response header is sent with the first token, before the outcome is
    known, so it has no outcome header.
    """

    def __init__(
        self,
        caller: CallerConnection,
        live: LiveRequest,
        completion_format: CompletionFormat,
        prompt_tokens: int,
    ) -> None:
        super().__init__(caller, live, completion_format, prompt_tokens)
        self._sent_events: list[bytes] = []
        self._final_events = b""

    async def write_tokens(self, texts: list[str]) -> None:
        """Send one event per token."""
        if not texts:
            return
        await self._start()
        data = b"".join(self._format.token_event(text) for text in texts)
        self._sent_events.append(data)
        await self._caller.write(data)

    def finalize(
        self, stream: TokenStream, finish_reason: str
    ) -> StoredAnswer:
        """Render the final events and return the body of the whole stream."""
        self._final_events = self._format.final_events(finish_reason)
        body = b"".join([*self._sent_events, self._final_events])
        return StoredAnswer(OK_STATUS, body, EVENT_STREAM_TYPE)

    async def finish(self) -> None:
        """Send the final events."""
        await self._start()
        await self._caller.write(self._final_events)
        await self._caller.finish()

    async def _start(self) -> None:
        if self._caller.response is None:
            headers = outcome_headers(self._live, None)
            headers["Cache-Control"] = "no-cache"
            await self._caller.start(OK_STATUS, EVENT_STREAM_TYPE, headers)
