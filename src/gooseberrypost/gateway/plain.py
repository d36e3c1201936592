"""Requests to plain services: the answer is passed on once it is whole."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING, Final

from gooseberrypost.gateway.exchange import CONNECT_S, Exchange, NoServer
from gooseberrypost.gateway.model import RequestKind
from gooseberrypost.gateway.transport import (
    AnswerLost,
    SendOptions,
    ServerRefused,
    ServerUnreachable,
)
from gooseberrypost.policy.serverchoice import choose_plain

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gooseberrypost.gateway.model import Server
    from gooseberrypost.gateway.transport import Answer

MAX_ANSWER_BYTES: Final = 8 * 1024 * 1024
"""Largest answer held in memory until it is whole."""


class PlainExchange(Exchange):
    """Sends a request to one server after the other until one answers."""

    @property
    def is_repeatable(self) -> bool:
        """Whether another server may execute the request as well."""
        return self.route.kind is RequestKind.IDEMPOTENT

    @property
    def is_abandoned_with_client(self) -> bool:
        """A call that is not idempotent runs to its end once it was sent."""
        return self.is_repeatable or not self.attempts

    async def serve(self) -> None:
        """Answer the client."""
        while True:
            self.check_time()
            server = self._choose()
            try:
                await self._attempt(server)
                return
            except ServerUnreachable as failure:
                self.attempts -= 1
                self.note_unreachable(server, failure)
            except ServerRefused as failure:
                self.attempts -= 1
                self.note_refused(server, failure)
            except AnswerLost as failure:
                self.note_lost(
                    server,
                    failure,
                    repeatable=self.is_repeatable
                    and self.attempts < self.route.max_attempts,
                )

    def _choose(self) -> Server:
        servers = self.servers()
        cfg = self.ctx.settings
        server = choose_plain(servers, self.ctx.loads, cfg.zone, self.ctx.rng)
        if server is None:
            raise NoServer(f"{self.service} has no server")
        return server

    async def _attempt(self, server: Server) -> None:
        left_s = self.left_s
        self.log(
            "routed",
            server=server.instance,
            outstanding=self.ctx.loads.of(server.identity).outstanding,
            left_ms=round(1_000 * left_s),
        )
        send = SendOptions(
            timeout_s=left_s, connect_timeout_s=min(CONNECT_S, left_s)
        )
        self.attempts += 1
        with self._counted(server):
            started_s = self.ctx.now_s()
            async with self.ctx.transport.open(
                server, self.req, send
            ) as answer:
                body = await _whole(answer)
            took_ms = 1_000 * (self.ctx.now_s() - started_s)
        self.ctx.loads.of(server.identity).succeeded(took_ms)
        self.log(
            "answered",
            server=server.instance,
            status=answer.status,
            server_ms=round(took_ms),
            attempts=self.attempts,
        )
        self.ctx.metrics.observe("server_ms", took_ms, service=self.service)
        await self.reply.send(answer.status, answer.headers, body)

    @contextmanager
    def _counted(self, server: Server) -> Iterator[None]:
        load = self.ctx.loads.of(server.identity)
        load.outstanding += 1
        try:
            yield
        finally:
            load.outstanding -= 1


async def _whole(answer: Answer) -> bytes:
    parts, size = [], 0
    async for chunk in answer.chunks:
        parts.append(chunk)
        size += len(chunk)
        if size > MAX_ANSWER_BYTES:
            raise AnswerLost(f"the answer exceeds {MAX_ANSWER_BYTES} bytes")
    if not answer.is_signed:
        raise AnswerLost(f"status {answer.status} without a signature")
    return b"".join(parts)
