"""Client of a plain service."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final, NamedTuple

import aiohttp
from result import Err, Ok, Result
from yarl import URL

from gooseberrypost.agent.backend import (
    HTTP_NOT_FOUND,
    SHORT_CALL_TIMEOUT_MS,
    TRANSPORT_ERRORS,
    Backend,
    LoadReport,
    failure_from_exception,
)
from gooseberrypost.errors import Failure, MalformedRequest

if TYPE_CHECKING:
    from collections.abc import Iterable

KEY_HEADER: Final = "Idempotency-Key"
HOP_HEADERS: Final = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "idempotency-key",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that concern one connection or that the agent sets itself."""


class PlainAnswer(NamedTuple):
    """Whole answer of a plain service."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class PlainClient(Backend):
    """Passes calls on, each at most once."""

    async def load(
        self, timeout_ms: int = SHORT_CALL_TIMEOUT_MS
    ) -> Result[LoadReport, Failure]:
        """Ask for the load report; a service without one is idle."""
        timeout = aiohttp.ClientTimeout(total=timeout_ms / 1_000)
        try:
            async with self.session.get("/load", timeout=timeout) as reply:
                if reply.status == HTTP_NOT_FOUND:
                    return Ok(LoadReport())
                document = await reply.json(content_type=None)
            return LoadReport.from_document(document)
        except (*TRANSPORT_ERRORS, ValueError) as exc:
            return Err(failure_from_exception(exc))

    async def call(
        self, call: Any, timeout_ms: int
    ) -> Result[PlainAnswer, Failure]:
        """Send a ``Call`` message and read the whole answer.

        ``PeerUnreachable`` means that nothing was sent.
        """
        if not call.path.startswith("/"):
            return Err(MalformedRequest(f"path {call.path!r} is not absolute"))
        # Joining to the base URL would let "//host" choose another server.
        url = URL(f"http://{self.address}{call.path}", encoded=True)
        headers = passed_on((h.name, h.value) for h in call.headers or ())
        headers.append((KEY_HEADER, call.key))
        timeout = aiohttp.ClientTimeout(total=timeout_ms / 1_000)
        try:
            async with self.session.request(
                call.method,
                url,
                data=call.body,
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
            ) as reply:
                body = await reply.read()
                kept = passed_on(reply.headers.items())
                return Ok(PlainAnswer(reply.status, kept, body))
        except (*TRANSPORT_ERRORS, ValueError) as exc:
            return Err(failure_from_exception(exc))


def passed_on(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Headers without those that concern one connection.

    >>> passed_on([("Host", "a"), ("Accept", "b")])
    [('Accept', 'b')]
    """
    return [(n, v) for n, v in headers if n.lower() not in HOP_HEADERS]
