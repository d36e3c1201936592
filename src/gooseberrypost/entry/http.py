"""HTTP interface for callers."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, Final

from absl import logging
from aiohttp import web
from mode import Service
from result import Err, Ok, Result

from gooseberrypost.clientconnection import ClientConnection
from gooseberrypost.clientrefusals import ClientRefusals
from gooseberrypost.connectiontable import (
    ConnectionTable,
    HeadLimits,
    connection_limit,
)
from gooseberrypost.entry.answer import (
    CallerConnection,
    EventStreamAnswer,
    JsonAnswer,
    outcome_headers,
    send_failure,
)
from gooseberrypost.entry.formats import (
    JSON_TYPE,
    CompletionFormat,
    encode_json,
)
from gooseberrypost.entry.model_request import ModelRequest
from gooseberrypost.entry.parse import (
    CompletionRequest,
    parse_chat,
    parse_completion,
    parse_headers,
)
from gooseberrypost.entry.plain_request import (
    REVOKE_TIMEOUT_MS,
    PlainCall,
    PlainRequest,
    forwarded_headers,
    is_idempotent,
)
from gooseberrypost.entry.protocol import CallerServer
from gooseberrypost.entry.sections import LiveRequest
from gooseberrypost.errors import (
    CallerGone,
    Failure,
    HeadersTooLarge,
    MalformedRequest,
    NotRun,
    Outcome,
    UnknownModel,
    UnknownOutcome,
    UnknownService,
)
from gooseberrypost.httplistener import HttpListener
from gooseberrypost.identity import content_digest
from gooseberrypost.processmemory import BYTES_PER_MB, resident_bytes
from gooseberrypost.requestbody import BodyDiscard, BodyReader, cause_of
from gooseberrypost.state.memorybudget import MemoryBudget
from gooseberrypost.state.memoryuse import Use
from gooseberrypost.state.records import Kind

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from gooseberrypost.entry.collaborators import Guards
    from gooseberrypost.entry.context import EntryContext
    from gooseberrypost.entry.requests import RequestController
    from gooseberrypost.lifecycle import LifecycleController
    from gooseberrypost.state.records import ServiceRecord

SERVICES_PREFIX: Final = "/services/"
HEADER_OVERHEAD_BYTES: Final = 4
"""Bytes of colon, space and CRLF of each header line."""
HANDLER_END_S: Final = 1.0
"""Time for handlers to end before they are cancelled."""
METRICS_CONTENT_TYPE: Final = "text/plain; version=0.0.4"
TEXT_TYPE: Final = "text/plain"
NO_SERVICE: Final = ""
"""Service name for keys minted over HTTP, which belong to no service."""


class UnknownPath(MalformedRequest):
    """The entry has no resource for this method and path."""

    code = "unknown_path"
    http_status = 404


class HttpController(Service):
    """Parses callers' requests and passes them to the request controller."""

    def __init__(
        self,
        ctx: EntryContext,
        requests: RequestController,
        lifecycle: LifecycleController,
    ) -> None:
        super().__init__()
        self._ctx = ctx
        self._requests = requests
        self._lifecycle = lifecycle
        cfg = ctx.settings
        self._memory = MemoryBudget.of_process(
            cfg.memory_budget_bytes,
            BYTES_PER_MB * cfg.memory_mb,
            resident_bytes(),
        )
        self._refusals = ClientRefusals(ctx.metrics)
        self._discard = BodyDiscard(self._refusals, lambda: cfg.max_body_bytes)
        self._listener: HttpListener | None = None
        self.address = ""
        """``host:port`` that the listener is bound to."""
        self._routes: dict[
            tuple[str, str], Callable[[CallerConnection, Any], Awaitable[None]]
        ] = {
            ("POST", "/v1/completions"): self._complete,
            ("POST", "/v1/chat/completions"): self._chat,
            ("POST", "/v1/idempotency-keys"): self._mint,
            ("GET", "/healthz"): self._health,
            ("GET", "/readyz"): self._ready,
            ("GET", "/metrics"): self._metrics,
        }

    async def on_start(self) -> None:
        """Start listening; raises ``OSError`` when the port is in use."""
        cfg = self._ctx.settings
        table = ConnectionTable(
            self._refusals,
            self._memory,
            connection_limit(cfg.file_descriptors, self._memory.total_bytes),
        )
        server = CallerServer(
            self._handle,
            self._ctx.metrics,
            table,
            HeadLimits(
                cfg.max_header_bytes,
                cfg.read_timeout_ms / 1_000,
                cfg.write_timeout_ms / 1_000,
            ),
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=cfg.read_timeout_ms / 1_000,
        )
        self._listener = await HttpListener.open(server, cfg.http_address)
        self.address = self._listener.address

    async def close_connections(self, wait_s: float) -> None:
        """Accept no more connections and close each one once it is idle.

        Ends when all are closed, at the latest after ``wait_s`` seconds.
        """
        if self._listener is not None:
            await self._listener.close_when_idle(wait_s)

    async def on_stop(self) -> None:
        """Stop listening and close the connections."""
        if self._listener is not None:
            await self._listener.close(HANDLER_END_S)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        caller = CallerConnection(request, self._ctx.settings.write_timeout_ms)
        connection = request.protocol
        assert isinstance(connection, ClientConnection)
        # The answer to an earlier request may not have been read.
        await connection.wait_writable()
        try:
            with self._memory.lease() as memory:
                caller.memory = memory
                await self._dispatch(caller, request)
        except CallerGone as caller_gone:
            logging.info("event=caller_gone detail=%r", caller_gone.detail)
        except Failure as failure:
            await self._send_error(caller, failure)
        except Exception:
            logging.exception("event=request_crashed path=%r", request.path)
            await self._send_error(caller, UnknownOutcome("internal error"))
        connection.hold_unsent()
        if not request.content.is_eof():
            await self._discard.run(request)
        return caller.response or web.Response(status=CallerGone.http_status)

    async def _dispatch(
        self, caller: CallerConnection, request: web.BaseRequest
    ) -> None:
        self._check_header_size(request)
        route = self._routes.get((request.method, request.path))
        if route is not None:
            await route(caller, request)
        elif request.path.startswith(SERVICES_PREFIX):
            await self._call_service(caller, request)
        else:
            raise UnknownPath(
                f"no resource for {request.method} {request.path}"
            )

    async def _send_error(
        self, caller: CallerConnection, failure: Failure
    ) -> None:
        """Report a failure that occurred outside the request controller."""
        self._ctx.metrics.count(
            "failures_total", code=failure.code, service=""
        )
        live = LiveRequest(arrived_ms=self._ctx.now_ms())
        try:
            await send_failure(caller, live, failure, failure.outcome)
        except CallerGone:
            return

    def _check_header_size(self, request: web.BaseRequest) -> None:
        limit = self._ctx.settings.max_header_bytes
        size = sum(
            len(name) + len(value) + HEADER_OVERHEAD_BYTES
            for name, value in request.raw_headers
        )
        if size > limit:
            raise HeadersTooLarge(
                f"{size} bytes of headers exceed the limit of {limit}"
            )

    async def _read_body(
        self, caller: CallerConnection, request: web.BaseRequest
    ) -> Result[bytes, NotRun]:
        cfg = self._ctx.settings
        reader = BodyReader(
            request,
            caller.memory,
            cfg.max_body_bytes,
            cfg.read_timeout_ms / 1_000,
        )
        try:
            return Ok(await reader.read())
        except NotRun as failure:
            cause = cause_of(failure)
            if cause is not None:
                self._refusals.record(cause, request.remote or "")
            return Err(failure)

    async def _complete(
        self, caller: CallerConnection, request: web.BaseRequest
    ) -> None:
        await self._serve_completion(caller, request, parse_completion)

    async def _chat(
        self, caller: CallerConnection, request: web.BaseRequest
    ) -> None:
        await self._serve_completion(caller, request, parse_chat)

    async def _serve_completion(
        self,
        caller: CallerConnection,
        request: web.BaseRequest,
        parse: Callable[[bytes], Result[CompletionRequest, NotRun]],
    ) -> None:
        headers = _value_or_raise(parse_headers(request.headers))
        body = _value_or_raise(await self._read_body(caller, request))
        completion = _value_or_raise(parse(body))
        service = self._ctx.catalog.service_of_model(completion.model)
        if service is None:
            raise UnknownModel(f"no service offers model {completion.model!r}")
        digest = content_digest(service.name, body)

        async def run_request(
            live: LiveRequest, guards: Guards
        ) -> Result[None, Failure]:
            return await self._make_model_request(
                caller, live, service, completion, digest, guards
            ).run()

        await self._requests.serve(caller, headers, service, 0, run_request)

    def _make_model_request(
        self,
        caller: CallerConnection,
        live: LiveRequest,
        service: ServiceRecord,
        completion: CompletionRequest,
        digest: bytes,
        guards: Guards,
    ) -> ModelRequest:
        answer_class = EventStreamAnswer if completion.stream else JsonAnswer
        completion_format = CompletionFormat(
            live, completion.model, completion.chat, int(time.time())
        )
        answer = answer_class(
            caller, live, completion_format, completion.prompt_tokens
        )
        return ModelRequest(
            self._ctx,
            live,
            service,
            completion,
            digest,
            answer,
            guards.retries,
        )

    async def _call_service(
        self, caller: CallerConnection, request: web.BaseRequest
    ) -> None:
        headers = _value_or_raise(parse_headers(request.headers))
        name, _, subpath = request.path[len(SERVICES_PREFIX) :].partition("/")
        service = self._ctx.catalog.service(name)
        if service is None or service.kind != Kind.PLAIN:
            raise UnknownService(f"no plain service named {name!r}")
        body = _value_or_raise(await self._read_body(caller, request))
        call = _make_plain_call(request, service, subpath, body)

        async def run_request(
            live: LiveRequest, guards: Guards
        ) -> Result[None, Failure]:
            return await PlainRequest(
                self._ctx, live, service, call, caller, guards.retries
            ).run()

        await self._requests.serve(
            caller, headers, service, REVOKE_TIMEOUT_MS, run_request
        )

    async def _mint(
        self, caller: CallerConnection, request: web.BaseRequest
    ) -> None:
        key = _value_or_raise(
            await self._ctx.collaborators.claims.mint(NO_SERVICE)
        )
        body = encode_json({"key": key})
        headers = outcome_headers(
            LiveRequest(arrived_ms=0, key=key), Outcome.COMPLETED
        )
        await caller.send(201, JSON_TYPE, headers, body)

    async def _health(
        self, caller: CallerConnection, request: web.BaseRequest
    ) -> None:
        await caller.send(200, TEXT_TYPE, {}, b"ok\n")

    async def _ready(
        self, caller: CallerConnection, request: web.BaseRequest
    ) -> None:
        state = self._lifecycle.state
        ready = state == "serving" and bool(self._ctx.catalog.records)
        status = 200 if ready else 503
        await caller.send(status, TEXT_TYPE, {}, f"{state}\n".encode())

    async def _metrics(
        self, caller: CallerConnection, request: web.BaseRequest
    ) -> None:
        metrics = self._ctx.metrics
        metrics.gauge("requests_in_flight", self._requests.in_flight)
        metrics.gauge("memory_budget_bytes", self._memory.total_bytes)
        for use in Use:
            metrics.gauge(
                "memory_budget_used_bytes",
                self._memory.used(use),
                use=use.name.lower(),
            )
        metrics.gauge(
            "configuration_version",
            self._ctx.collaborators.configuration.version,
        )
        await caller.send(
            200, METRICS_CONTENT_TYPE, {}, metrics.render().encode()
        )


def _value_or_raise(result: Result[Any, Failure]) -> Any:
    """Return the value, or raise the failure."""
    if isinstance(result, Err):
        raise result.err_value
    return result.ok_value


def _make_plain_call(
    request: web.BaseRequest, service: ServiceRecord, subpath: str, body: bytes
) -> PlainCall:
    path = f"/{subpath}"
    idempotent = is_idempotent(service, request.method, path)
    if request.query_string:
        path = f"{path}?{request.query_string}"
    headers = forwarded_headers(list(request.headers.items()))
    content_type = request.headers.get("Content-Type")
    if content_type is not None:
        headers.append(("Content-Type", content_type))
    digest_scope = f"{service.name} {request.method} {path}"
    return PlainCall(
        method=request.method,
        path=path,
        headers=headers,
        body=body,
        digest=content_digest(digest_scope, body),
        idempotent=idempotent,
    )
