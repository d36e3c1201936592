"""Calls to backend servers over HTTP/1.1."""

from __future__ import annotations

import asyncio
import functools
from contextlib import asynccontextmanager, contextmanager
from typing import TYPE_CHECKING, Any, Final

import aiohttp
from absl import logging
from result import Err
from yarl import URL

from gooseberrypost.answerprotocol import is_framed, new_connector
from gooseberrypost.bodypayload import BodyPayload
from gooseberrypost.boundedread import MAX_CONTROL_BYTES, read_bounded
from gooseberrypost.errors import ConnectionLost
from gooseberrypost.gateway.transport import (
    Answer,
    AnswerLost,
    ForeignAnswer,
    KvHandle,
    MovedRun,
    ProcessState,
    Reservation,
    SendOptions,
    ServerRefused,
    ServerUnreachable,
    Transport,
    WrongInstance,
)
from gooseberrypost.platform import names
from gooseberrypost.platform.connections import new_tcp_socket
from gooseberrypost.platform.documents import decode_report
from gooseberrypost.platform.requests import encode_headers
from gooseberrypost.policy.serverlimit import parse_limit
from gooseberrypost.singlesend import disable_automatic_retry
from gooseberrypost.strictjson import Fields
from gooseberrypost.timeouts import Deadline, RunningTimeout, is_own_delay

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

    from gooseberrypost.gateway.model import EngineReport, Server, Stage
    from gooseberrypost.gateway.request import ClientRequest

MISDIRECTED: Final = 421
UNAVAILABLE: Final = 503
CONTROL_TIMEOUT_S: Final = 0.25
"""Timeout of a control call, which takes one round trip of a few ms."""
READ_BUFFER_BYTES: Final = 32 * 1024
"""Bytes read ahead of a slow client, per request."""
SKIPPED_AUTO_HEADERS: Final = frozenset(
    ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
)
"""Headers that aiohttp must not add to a forwarded request by itself."""
NO_TIMEOUT: Final = aiohttp.ClientTimeout()
"""Timeout of aiohttp, which would fire before late data is read."""
REPEATABLE_CONTROL_METHODS: Final = frozenset(("GET", "DELETE"))
"""Methods of control calls that are repeated after a lost connection."""
STAGE_PREFILL: Final = "prefill"
EVENT_STREAM: Final = "text/event-stream"
CALL_ERRORS: Final = (
    aiohttp.ClientError,
    ConnectionLost,
    OSError,
    TimeoutError,
)
"""Exceptions of a call without a complete answer."""


class HttpTransport(Transport):
    """Sends each request on a new connection.

    A reused idle connection may be closed, unresponsive or hold bytes of an
    earlier answer. A non-idempotent request lost on it could not be retried.
    """

    def __init__(self) -> None:
        self._session = aiohttp.ClientSession(
            connector=new_connector(socket_factory=new_tcp_socket),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=SKIPPED_AUTO_HEADERS,
            read_bufsize=READ_BUFFER_BYTES,
            middlewares=(disable_automatic_retry,),
        )

    @asynccontextmanager
    async def open(
        self, server: Server, req: ClientRequest, options: SendOptions
    ) -> AsyncIterator[Answer]:
        """Send a request and yield the answer once its headers arrived."""
        headers = encode_headers(server, req, options)
        with (
            Deadline(options.timeout_s) as deadline,
            _payload(req.body) as body,
        ):
            response = await self._send(
                server, req, headers, body, options, deadline
            )
            try:
                self._check_response(server, req, response)
                yield _answer(response, deadline)
            finally:
                response.close()

    async def prefill(
        self, server: Server, req: ClientRequest, options: SendOptions
    ) -> KvHandle:
        """Prefill the prompt at an engine."""
        headers = encode_headers(server, req, options)
        headers[names.STAGE] = STAGE_PREFILL
        with (
            Deadline(options.timeout_s) as deadline,
            _payload(req.body) as body,
        ):
            response = await self._send(
                server, req, headers, body, options, deadline
            )
            try:
                self._check_response(server, req, response)
                content = await _read_control(response, deadline)
            finally:
                response.close()
        if response.status != 200:
            raise AnswerLost(f"prefill: status {response.status}")
        return _kv_handle(server, content)

    async def reserve(
        self, server: Server, tokens: int, ttl_ms: int
    ) -> Reservation:
        """Reserve a slot and memory at an engine."""
        status, content = await self._control(
            "POST",
            server,
            names.RESERVE_PATH,
            {"tokens": tokens, "ttl_ms": ttl_ms},
        )
        if status != 200:
            raise ServerRefused(server.address, status=status)
        return _reservation(server, content, tokens)

    async def cancel_reservation(self, reservation: Reservation) -> None:
        """Cancel an unused reservation."""
        path = f"{names.CANCEL_RESERVATION_PATH}{reservation.id}"
        await self._delete(reservation.server, path)

    async def stop_and_copy(
        self,
        server: Server,
        req: ClientRequest,
        target: Server,
        timeout_s: float,
    ) -> MovedRun:
        """Stop a generation and copy its KV cache to another engine."""
        body = {"id": req.id, "target": target.address, "last": True}
        status, content = await self._control(
            "POST", server, names.KV_MOVE_PATH, body, timeout_s
        )
        handle = _moved_handle(content)
        if not handle or status not in (200, 503):
            raise ServerRefused(server.address, status=status)
        # A 503 with a handle means that the target lacked capacity; the source
        # engine then keeps the KV cache of the stopped generation.
        holder = target if status == 200 else server
        return MovedRun(KvHandle(server, handle, 0), holder)

    async def release_kv(self, kv: KvHandle) -> None:
        """Free a KV cache that is not needed."""
        await self._delete(kv.server, f"{names.KV_HANDLE_PATH}{kv.handle}")

    async def fetch_report(self, server: Server) -> EngineReport:
        """Return an engine's state."""
        status, content = await self._control("GET", server, names.REPORT_PATH)
        decoded = decode_report(content)
        if status != 200 or isinstance(decoded, Err):
            raise ServerUnreachable(
                f"report of {server.address}: status {status}"
            )
        return decoded.ok_value

    async def process_state(
        self, server: Server, timeout_s: float
    ) -> ProcessState:
        """Ask for the server's report, which servers without one refuse."""
        try:
            status, content = await self._control(
                "GET", server, names.REPORT_PATH, timeout_s=timeout_s
            )
        except ServerUnreachable as failure:
            cause = failure.__cause__
            is_refused = isinstance(
                cause, aiohttp.ClientConnectorError
            ) and isinstance(cause.os_error, ConnectionRefusedError)
            return ProcessState.ENDED if is_refused else ProcessState.UNKNOWN
        if status == MISDIRECTED:
            return ProcessState.ENDED
        report = decode_report(content)
        started_ms = (
            0 if isinstance(report, Err) else report.ok_value.started_ms
        )
        known = started_ms and server.started_ms
        if known and started_ms != server.started_ms:
            return ProcessState.ENDED
        return ProcessState.RUNNING

    async def order_stage(
        self,
        server: Server,
        stage: Stage,
        expected_orders: int,
        holder: str,
        fencing_token: int,
        timeout_s: float,
    ) -> None:
        """Order an engine to change to another stage."""
        body = {
            "operation": "stage",
            "stage": stage.value,
            "holder": holder,
            "fencing_token": fencing_token,
            # The engine refuses the order if it has accepted another one
            # since its report.
            "precondition": expected_orders,
        }
        try:
            # Never prolonged, as another gateway may order stages thereafter.
            async with asyncio.timeout(timeout_s):
                status, _ = await self._control(
                    "POST", server, names.ORDER_PATH, body, timeout_s
                )
        except TimeoutError as exc:
            raise ServerUnreachable(f"{server.address}: {exc!r}") from exc
        if status not in (200, 202):
            raise ServerRefused(server.address, status=status)

    async def _delete(self, server: Server, path: str) -> None:
        try:
            await self._control("DELETE", server, path)
        except ServerUnreachable as failure:
            logging.warning(
                "event=release_failed server=%s path=%s detail=%r",
                server.instance,
                path,
                failure.detail,
            )

    async def _control(
        self,
        method: str,
        server: Server,
        path: str,
        body: Any = None,
        timeout_s: float = CONTROL_TIMEOUT_S,
    ) -> tuple[int, bytes]:
        """Send a control call, which executes no request."""
        call = functools.partial(
            self._control_once, method, server, path, body, timeout_s
        )
        try:
            try:
                return await call()
            except ConnectionLost:
                if method not in REPEATABLE_CONTROL_METHODS:
                    raise
                return await call()
        except CALL_ERRORS as exc:
            raise ServerUnreachable(
                f"{server.address}: {exc!r}", is_own_delay=is_own_delay(exc)
            ) from exc

    async def _control_once(
        self,
        method: str,
        server: Server,
        path: str,
        body: Any,
        timeout_s: float,
    ) -> tuple[int, bytes]:
        url = URL(f"http://{server.address}{path}", encoded=True)
        # A different engine at the address answers 421.
        headers = {names.EXPECT_INSTANCE: server.instance}
        with RunningTimeout(timeout_s):
            async with self._session.request(
                method, url, json=body, timeout=NO_TIMEOUT, headers=headers
            ) as response:
                content = await read_bounded(response, MAX_CONTROL_BYTES)
                if response.status != MISDIRECTED:
                    self._report_state(server, response)
                return response.status, content

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def _send(
        self,
        server: Server,
        req: ClientRequest,
        headers: Any,
        body: bytes | BodyPayload | None,
        options: SendOptions,
        deadline: Deadline,
    ) -> aiohttp.ClientResponse:
        url = URL(f"http://{server.address}{req.target}", encoded=True)
        timeout = aiohttp.ClientTimeout(sock_connect=options.connect_timeout_s)
        try:
            with deadline.limit():
                return await self._session.request(
                    req.method,
                    url,
                    headers=headers,
                    data=body,
                    timeout=timeout,
                    allow_redirects=False,
                )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as exc:
            raise ServerUnreachable(
                f"{server.address}: {exc!r}", is_own_delay=is_own_delay(exc)
            ) from exc
        except CALL_ERRORS as exc:
            raise AnswerLost(
                f"{server.address}: {exc!r}", is_own_delay=is_own_delay(exc)
            ) from exc

    def _check_response(
        self,
        server: Server,
        req: ClientRequest,
        response: aiohttp.ClientResponse,
    ) -> None:
        """Raise if another request was answered or this one did not run."""
        headers = response.headers
        echoed = headers.get(names.REQUEST_ID)
        if echoed is not None and echoed != req.id:
            raise ForeignAnswer(f"{server.address} answered request {echoed}")
        is_refusal = names.NOT_EXECUTED in headers
        # An application that ran the request may answer with any status.
        is_misdirected = response.status == MISDIRECTED and (
            is_refusal or names.SIGNATURE not in headers
        )
        if echoed is None and (is_refusal or is_misdirected):
            # It may be of an earlier request, and this one may run.
            raise ForeignAnswer(f"{server.address} refused without an id")
        if is_misdirected:
            raise WrongInstance(server.address, status=MISDIRECTED)
        self._report_state(server, response)
        if is_refusal:
            raise ServerRefused(server.address, status=response.status)

    def _report_state(
        self, server: Server, response: aiohttp.ClientResponse
    ) -> None:
        """Report what an answer tells of its server."""
        headers = response.headers
        if names.SERVER_LEAVING in headers:
            self.on_leaving(server)
        if response.status == UNAVAILABLE and names.RETRY_AFTER in headers:
            pause_s = _number(server, headers[names.RETRY_AFTER])
            if pause_s is not None:
                self.on_pause(server, pause_s)
        text = headers.get(names.SERVER_LIMIT)
        if text is not None:
            per_s = _number(server, text)
            if per_s is not None:
                self.on_rate_limit(server, per_s)
        elif names.SIGNATURE in headers:
            # Only a signed answer shows that there is no limit: control calls
            # and refusals may not name it.
            self.on_rate_limit(server, None)


@contextmanager
def _payload(body: bytes) -> Iterator[bytes | BodyPayload | None]:
    """Provide a body as aiohttp is to send it, for the time of the call."""
    if len(body) <= READ_BUFFER_BYTES:
        yield body or None
        return
    payload = BodyPayload(body)
    try:
        yield payload
    finally:
        payload.release()


def _number(server: Server, text: str) -> float | None:
    """Read a number that a server names; None if it is not one."""
    decoded = parse_limit(text)
    if isinstance(decoded, Err):
        logging.warning(
            "event=invalid_server_limit server=%s detail=%r",
            server.instance,
            decoded.err_value.detail,
        )
        return None
    return decoded.ok_value


def _answer(response: aiohttp.ClientResponse, deadline: Deadline) -> Answer:
    headers = [
        (name, value)
        for name, value in response.headers.items()
        if name.lower() not in names.CONNECTION_HEADERS
    ]
    return Answer(
        status=response.status,
        headers=headers,
        is_signed=names.SIGNATURE in response.headers,
        chunks=_chunks(response, deadline),
        is_event_stream=response.content_type == EVENT_STREAM,
        is_framed=is_framed(response),
        length=None if response.method == "HEAD" else response.content_length,
    )


async def _chunks(
    response: aiohttp.ClientResponse, deadline: Deadline
) -> AsyncIterator[bytes]:
    try:
        while True:
            with deadline.limit():
                chunk = await response.content.readany()
            if not chunk:
                return
            yield chunk
    except (aiohttp.ClientError, OSError, TimeoutError) as exc:
        raise AnswerLost(
            f"body: {exc!r}", is_own_delay=is_own_delay(exc)
        ) from exc


async def _read_control(
    response: aiohttp.ClientResponse, deadline: Deadline
) -> bytes:
    try:
        with deadline.limit():
            return await read_bounded(response, MAX_CONTROL_BYTES)
    except (aiohttp.ClientError, OSError, TimeoutError) as exc:
        raise AnswerLost(
            f"body: {exc!r}", is_own_delay=is_own_delay(exc)
        ) from exc


def _kv_handle(server: Server, content: bytes) -> KvHandle:
    try:
        result = Fields.parse(content)
        return KvHandle(
            server, result.token("kv_handle"), result.whole("tokens")
        )
    except ValueError as exc:
        raise AnswerLost(f"prefill result: {exc!r}") from exc


def _reservation(server: Server, content: bytes, tokens: int) -> Reservation:
    try:
        hold = Fields.parse(content).token("hold")
        return Reservation(server, hold, tokens)
    except ValueError as exc:
        raise ServerUnreachable(f"reservation: {exc!r}") from exc


def _moved_handle(content: bytes) -> str:
    """Return the handle of a stopped generation; empty if there is none."""
    try:
        return Fields.parse(content).token("kv_handle")
    except ValueError:
        return ""
