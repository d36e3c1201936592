"""Decodes clients' requests and encodes the headers for backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from multidict import CIMultiDict
from result import Err, Ok, Result

from gooseberrypost.errors import MalformedRequest
from gooseberrypost.gateway.request import ClientRequest, Prompt
from gooseberrypost.platform import names

if TYPE_CHECKING:
    from aiohttp import web

    from gooseberrypost.gateway.model import Server
    from gooseberrypost.gateway.transport import SendOptions

MAX_DEADLINE_MS: Final = 3_600_000
"""Upper bound of a client's deadline, which keeps the arithmetic finite."""
MAX_TOKENS: Final = 2**30
"""Most tokens of one prompt or output; sums of two fit load notices."""


def decode_request(
    request: web.BaseRequest, arrived_s: float
) -> Result[ClientRequest, MalformedRequest]:
    """Decode a request's line and headers, without its body.

    A request without a deadline gets ``MAX_DEADLINE_MS``; the route's timeout
    bounds it further.
    """
    headers = request.headers
    request_id = headers.get(names.REQUEST_ID, "")
    if not request_id:
        return Err(MalformedRequest(f"{names.REQUEST_ID} is missing"))
    begun_by = headers.get(names.RESUMES, "")
    if not (_is_text(request_id) and _is_text(begun_by)):
        return Err(MalformedRequest("id of a request is not UTF-8"))
    deadline = _milliseconds(headers.get(names.DEADLINE_MS))
    if deadline is None:
        return Err(MalformedRequest(f"{names.DEADLINE_MS} is not a number"))
    prompt = _prompt(headers)
    if isinstance(prompt, Err):
        return prompt
    return Ok(
        ClientRequest(
            id=request_id,
            method=request.method,
            target=request.raw_path,
            host=headers.get("Host", ""),
            headers=_forwarded_headers(headers),
            arrived_s=arrived_s,
            deadline_s=arrived_s + deadline / 1_000,
            prompt=prompt.ok_value,
            resume_after=headers.get(names.LAST_EVENT_ID, ""),
            begun_by=begun_by,
            key=headers.get(names.CREDENTIAL, ""),
            key_header=names.CREDENTIAL,
        )
    )


def encode_headers(
    server: Server, req: ClientRequest, options: SendOptions
) -> CIMultiDict[str]:
    """Return the headers of one attempt to send a request."""
    headers = req.headers.copy()
    headers[names.DEADLINE_MS] = str(max(1, int(options.timeout_s * 1_000)))
    headers[names.EXPECT_INSTANCE] = server.instance
    if options.reservation is not None:
        headers[names.KV_HOLD] = options.reservation.id
    if options.kv is not None:
        headers[names.KV_SOURCE] = (
            f"{options.kv.server.address}/{options.kv.handle}"
        )
    if req.account:
        headers[names.ACCOUNT] = req.account
    if options.resume_after:
        headers[names.LAST_EVENT_ID] = options.resume_after
    return headers


def _forwarded_headers(headers: CIMultiDict[str]) -> CIMultiDict[str]:
    named = {
        name.strip().lower()
        for value in headers.getall("Connection", ())
        for name in value.split(",")
    }
    dropped = names.CONNECTION_HEADERS | names.SYSTEM_HEADERS | named
    return CIMultiDict(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in dropped
    )


def _is_text(value: str) -> bool:
    """Whether a header is UTF-8; other bytes are read as lone surrogates."""
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def _milliseconds(text: str | None) -> float | None:
    if text is None:
        return MAX_DEADLINE_MS
    try:
        value = float(text)
    except ValueError:
        return None
    # The comparison is also false for NaN.
    return min(value, MAX_DEADLINE_MS) if value >= 0 else None


def _prompt(
    headers: CIMultiDict[str],
) -> Result[Prompt | None, MalformedRequest]:
    usage = headers.get(names.TOKEN_USAGE)
    if usage is None:
        return Ok(None)
    try:
        tokens, output = (int(part) for part in usage.split(","))
        hint = int(float(headers.get(names.LENGTH_HINT, "0")))
        parts = []
        listed = headers.get(names.PROMPT_PREFIX, "").split(",")
        for entry in filter(None, listed):
            part, _, size = entry.strip().partition(":")
            parts.append((part, int(size)))
    except (ValueError, OverflowError) as exc:
        return Err(MalformedRequest(f"invalid prompt sizes: {exc}"))
    if min(tokens, output) < 0 or max(tokens, output) > MAX_TOKENS:
        return Err(MalformedRequest("number of tokens is out of range"))
    hint = min(max(hint, 0), MAX_TOKENS)
    return Ok(Prompt(tokens, output, hint, tuple(parts)))
