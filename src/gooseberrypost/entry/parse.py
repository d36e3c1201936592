"""Parsing of callers' requests: headers and completion bodies.

>>> parse_completion(b'{"model": "m", "prompt": "hi"}').unwrap().prompt
'hi'
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

from result import Err, Ok, Result

from gooseberrypost.errors import MalformedRequest, NotRun
from gooseberrypost.identity import check_key

if TYPE_CHECKING:
    from collections.abc import Mapping

IDEMPOTENCY_KEY_HEADER: Final = "Idempotency-Key"
DEADLINE_HEADER: Final = "X-Gooseberrypost-Deadline-Ms"
ACCOUNT_HEADER: Final = "X-Gooseberrypost-Account"
OUTCOME_HEADER: Final = "X-Gooseberrypost-Outcome"

MAX_DEADLINE_MS: Final = 3_600_000
MAX_ACCOUNT_CHARS: Final = 128
MAX_OUTPUT_TOKENS: Final = 1_000_000
CHARS_PER_TOKEN: Final = 4
"""Characters per token to estimate prompt lengths: usual for English text.

Engines report the exact count later.
"""


@dataclass(slots=True, frozen=True)
class RequestHeaders:
    """Parsed values of the request headers that this project defines."""

    key: str
    """Idempotency key; empty when the caller sent none."""
    deadline_ms: int
    """Milliseconds after arrival; 0 when the caller sent none."""
    account: str
    """Account name; empty for an anonymous caller."""


@dataclass(slots=True, frozen=True)
class CompletionRequest:
    """Parsed body of a completion request."""

    model: str
    prompt: str
    max_tokens: int
    """Limit on output tokens; 0 when the caller set none."""
    stream: bool
    chat: bool

    @property
    def prompt_tokens(self) -> int:
        """Estimated length of the prompt in tokens, at least 1.

        Each word has at least one token, so the estimate is no less than the
        number of words.
        """
        words = len(self.prompt.split())
        return max(1, words, -(-len(self.prompt) // CHARS_PER_TOKEN))


def parse_headers(
    headers: Mapping[str, str],
) -> Result[RequestHeaders, MalformedRequest]:
    """Parse the headers; ``MalformedRequest`` names an invalid one.

    The mapping must ignore case, as HTTP header names are case-insensitive.
    """
    key = headers.get(IDEMPOTENCY_KEY_HEADER, "")
    if IDEMPOTENCY_KEY_HEADER in headers:
        checked = check_key(key)
        if isinstance(checked, Err):
            return checked
    deadline = _parse_deadline(headers.get(DEADLINE_HEADER))
    if isinstance(deadline, Err):
        return deadline
    account = headers.get(ACCOUNT_HEADER, "")
    if len(account) > MAX_ACCOUNT_CHARS or not account.isascii():
        return Err(
            MalformedRequest(
                f"{ACCOUNT_HEADER} must be at most {MAX_ACCOUNT_CHARS} "
                "ASCII characters"
            )
        )
    return Ok(RequestHeaders(key, deadline.ok_value, account))


def _parse_deadline(text: str | None) -> Result[int, MalformedRequest]:
    if text is None:
        return Ok(0)
    if text.isascii() and text.isdigit() and len(text) <= 9:
        deadline_ms = int(text)
        if 1 <= deadline_ms <= MAX_DEADLINE_MS:
            return Ok(deadline_ms)
    return Err(
        MalformedRequest(
            f"{DEADLINE_HEADER} must be 1 to {MAX_DEADLINE_MS} milliseconds"
        )
    )


def parse_completion(body: bytes) -> Result[CompletionRequest, NotRun]:
    """Parse the body of ``POST /v1/completions``."""
    match _parse_object(body):
        case Ok(document):
            prompt = document.get("prompt")
            if not isinstance(prompt, str) or not prompt:
                return _field_error("prompt", "a non-empty string")
            return _make_completion_request(document, prompt, chat=False)
        case Err(failure):
            return Err(failure)


def parse_chat(body: bytes) -> Result[CompletionRequest, NotRun]:
    """Parse the body of ``POST /v1/chat/completions``."""
    match _parse_object(body):
        case Ok(document):
            prompt = _chat_prompt(document.get("messages"))
            if prompt is None:
                return _field_error(
                    "messages", "a list of objects with role and content"
                )
            return _make_completion_request(document, prompt, chat=True)
        case Err(failure):
            return Err(failure)


def _parse_object(body: bytes) -> Result[dict[str, Any], MalformedRequest]:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as exc:
        return Err(MalformedRequest(f"request body is not valid JSON: {exc}"))
    if not isinstance(document, dict):
        return Err(MalformedRequest("request body must be a JSON object"))
    return Ok(document)


def _chat_prompt(messages: Any) -> str | None:
    if not isinstance(messages, list) or not messages:
        return None
    lines: list[str] = []
    for message in messages:
        if not isinstance(message, dict):
            return None
        role, content = message.get("role"), message.get("content")
        if not isinstance(role, str) or not isinstance(content, str):
            return None
        lines.append(f"{role}: {content}\n")
    return "".join(lines)


def _make_completion_request(
    document: dict[str, Any], prompt: str, *, chat: bool
) -> Result[CompletionRequest, NotRun]:
    model = document.get("model")
    if not isinstance(model, str) or not model:
        return _field_error("model", "a non-empty string")
    limit = document.get("max_tokens")
    if limit is None:
        limit = 0
    elif type(limit) is not int or not 1 <= limit <= MAX_OUTPUT_TOKENS:
        return _field_error("max_tokens", f"1 to {MAX_OUTPUT_TOKENS}")
    stream = document.get("stream", False)
    if not isinstance(stream, bool):
        return _field_error("stream", "true or false")
    if not (_is_encodable(model) and _is_encodable(prompt)):
        return _field_error("text", "free of unpaired surrogates")
    return Ok(CompletionRequest(model, prompt, limit, stream, chat))


def _is_encodable(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _field_error(field: str, requirement: str) -> Err[NotRun]:
    return Err(MalformedRequest(f"field {field!r} must be {requirement}"))
