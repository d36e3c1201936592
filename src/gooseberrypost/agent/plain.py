"""HTTP client of a plain service, a backend server that runs no model."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final, NamedTuple

from result import Err, Ok, Result
from yarl import URL

from gooseberrypost.agent.backend import (
    HTTP_NOT_FOUND,
    SHORT_CALL_TIMEOUT_MS,
    TRANSPORT_ERRORS,
    UNTIMED,
    Backend,
    LoadReport,
    deadline_limit,
    failure_from_exception,
)
from gooseberrypost.answerprotocol import is_framed
from gooseberrypost.boundedread import MAX_REPLY_BYTES, read_bounded
from gooseberrypost.errors import (
    ConnectionLost,
    Failure,
    MalformedRequest,
    ProtocolFailure,
)
from gooseberrypost.strictjson import parse_json
from gooseberrypost.timeouts import RunningTimeout

if TYPE_CHECKING:
    from collections.abc import Iterable

IDEMPOTENCY_KEY_HEADER: Final = "Idempotency-Key"
UNFORWARDED_HEADERS: Final = frozenset(
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
"""Hop-by-hop headers and headers that the agent sets itself."""


class PlainResponse(NamedTuple):
    """Complete HTTP response of a plain service."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class PlainClient(Backend):
    """Forwards each call to the plain service at most once."""

    async def load(
        self, timeout_ms: int = SHORT_CALL_TIMEOUT_MS
    ) -> Result[LoadReport, Failure]:
        """Fetch the load report.

        A service that has no ``/load`` path counts as idle.
        """
        try:
            with RunningTimeout(timeout_ms / 1_000):
                return await self._load()
        except (*TRANSPORT_ERRORS, ValueError) as exc:
            return Err(failure_from_exception(exc))

    async def _load(self) -> Result[LoadReport, Failure]:
        async with self.session.get("/load", timeout=UNTIMED) as reply:
            if reply.status == HTTP_NOT_FOUND:
                return Ok(LoadReport())
            content = await read_bounded(reply, MAX_REPLY_BYTES)
            document = parse_json(content)
        return LoadReport.from_document(document)

    async def call(
        self, call: Any, timeout_ms: int
    ) -> Result[PlainResponse, Failure]:
        """Forward a ``Call`` message and read the complete response.

        The failure ``PeerUnreachable`` means that nothing was sent.
        """
        if not call.path.startswith("/"):
            return Err(
                MalformedRequest(f"path {call.path!r} must start with /")
            )
        try:
            with deadline_limit(timeout_ms / 1_000):
                return await self._forward(call)
        except (*TRANSPORT_ERRORS, ValueError) as exc:
            return Err(failure_from_exception(exc))

    async def _forward(self, call: Any) -> Result[PlainResponse, Failure]:
        # Joined to a base URL, a path like "//host" would select another host.
        url = URL(f"http://{self.address}{call.path}", encoded=True)
        headers = forwarded_headers(
            (h.name, h.value) for h in call.headers or ()
        )
        headers.append((IDEMPOTENCY_KEY_HEADER, call.key))
        async with self.session.request(
            call.method,
            url,
            data=call.body,
            headers=headers,
            timeout=UNTIMED,
            allow_redirects=False,
        ) as reply:
            self.record_limit(reply, is_run=True)
            body = await read_bounded(reply, MAX_REPLY_BYTES)
            if not is_framed(reply) and not await self._is_running():
                return Err(
                    ConnectionLost(
                        "response ended without framing and its server "
                        "does not respond"
                    )
                )
            response_headers = forwarded_headers(reply.headers.items())
            return Ok(PlainResponse(reply.status, response_headers, body))

    async def _is_running(self) -> bool:
        """Whether the service responds, with a load report or without."""
        loaded = await self.load()
        return isinstance(loaded, Ok) or isinstance(
            loaded.err_value, ProtocolFailure
        )


def forwarded_headers(
    headers: Iterable[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Return the headers without those that must not be forwarded.

    >>> forwarded_headers([("Host", "a"), ("Accept", "b")])
    [('Accept', 'b')]
    """
    return [(n, v) for n, v in headers if n.lower() not in UNFORWARDED_HEADERS]
