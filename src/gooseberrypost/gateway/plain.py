"""Requests to plain services, whose answers are buffered before forwarding.

A truncated answer is thus detected before the client has received any of it,
and an idempotent request that a server failed can be sent to another server.
"""

from __future__ import annotations

import math
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any, Final

from gooseberrypost.errors import ServerLimited
from gooseberrypost.gateway.buffering import buffer_answer
from gooseberrypost.gateway.exchange import (
    CONNECT_TIMEOUT_S,
    Exchange,
    NoServer,
)
from gooseberrypost.gateway.model import RequestKind
from gooseberrypost.gateway.plainqueue import WaitingCall
from gooseberrypost.gateway.plainwork import PlainWork
from gooseberrypost.gateway.transport import (
    AnswerLost,
    SendOptions,
    ServerRefused,
    ServerUnreachable,
    WrongInstance,
)
from gooseberrypost.policy.fairshare import share_account
from gooseberrypost.policy.queueorder import (
    first_event_due_in_s,
    retry_after_s,
)
from gooseberrypost.policy.serverchoice import rank_plain

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gooseberrypost.gateway.buffering import BufferedAnswer
    from gooseberrypost.gateway.model import Server

END_CHECK_S: Final = 2.0
"""Time after which a call is repeated if its end cannot be confirmed."""


class PlainExchange(Exchange):
    """Sends a request to one server at a time until one answers."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._plain_work = PlainWork(self)
        self._next_best: Server | None = None
        """Server that was the second choice of the current attempt."""

    @property
    def is_repeatable(self) -> bool:
        """Whether the request may be executed again on another server."""
        return self.route.kind is RequestKind.IDEMPOTENT

    @property
    def cancels_on_disconnect(self) -> bool:
        """Whether to cancel the call when the client disconnects.

        A non-idempotent call that was sent runs to completion. If it turns out
        not to have run, ``serve`` ends it.
        """
        return self.is_repeatable or not self.attempts

    @property
    def may_execute_again(self) -> bool:
        """Whether another attempt may execute the request."""
        return self.is_repeatable and self.attempts < self.route.max_attempts

    @property
    def end_check_s(self) -> float:
        """Time for which a server is asked whether its answer is whole."""
        return END_CHECK_S if self.may_execute_again else math.inf

    async def serve(self) -> None:
        """Answer the client, retrying on other servers."""
        answer = await self._request()
        await self.reply.send(answer.status, answer.headers, answer.body)

    async def _request(self) -> BufferedAnswer:
        """Return the answer of the first server that gives one."""
        queue = self.ctx.plain_queues.of(self.service)
        while True:
            self.departure.check()
            self.check_deadline()
            self.check_quarantine()
            if queue.must_wait(self.servers):
                await queue.wait(self._waiting_call())
                self.check_deadline()
                self.check_quarantine()
                self.check_account()
            server = self._choose_server()
            if not await self.take_turn(server):
                continue
            self.check_shutdown()
            self.check_account()
            sent_s = self.ctx.now_s()
            try:
                queue.notify(server)
                answer = await self._attempt(server)
            except ServerUnreachable as failure:
                self.attempts -= 1
                self.handle_unreachable(server, failure)
            except ServerRefused as failure:
                self.attempts -= 1
                if not isinstance(failure, WrongInstance):
                    queue.record_refusal(server)
                self.handle_refusal(server, failure)
            except AnswerLost as failure:
                self.handle_lost_answer(
                    server,
                    failure,
                    repeatable=self.may_execute_again,
                )
            else:
                queue.record_answer(server, self.ctx.now_s() - sent_s)
                self.check_refusal(answer.status)
                if not (answer.is_server_error and self.is_repeatable):
                    return answer
                self.keep_error(server, answer)
            finally:
                queue.wake()
                queue.notify(server)

    def servers(self) -> list[Server]:
        """Return the servers to choose from, those with a place if any."""
        queue = self.ctx.plain_queues.of(self.service)
        return queue.with_place(super().servers())

    def _waiting_call(self) -> WaitingCall:
        """Return the request as it waits for a place.

        While it waits it is refused for what refuses it on arrival.
        """
        req, route = self.req, self.route
        cfg = self.ctx.directory.configuration
        objective_s = (route.target_latency_ms or route.timeout_ms) / 1_000
        due_s = req.arrived_s + first_event_due_in_s(
            req.deadline_s - req.arrived_s,
            route.timeout_ms / 1_000,
            objective_s,
        )
        return WaitingCall(
            first_event_due_s=due_s,
            answer_due_s=due_s,
            objective_s=objective_s,
            abandon_s=self.deadline_s,
            priority=self.priority,
            account=share_account(
                req.account, has_accounts=bool(cfg.accounts)
            ),
            route_priority=route.priority,
            candidates=super().servers,
            request=req.id,
            check=self._check_waiting,
        )

    def _check_waiting(self) -> None:
        """Raise if a request must not wait any longer."""
        self.check_quarantine()
        self.check_account()
        self.check_shutdown()

    def _choose_server(self) -> Server:
        servers = self.servers()
        cfg = self.ctx.settings
        loads, now_s = self.ctx.loads, self.ctx.now_s()
        expected = self._plain_work.expect(servers)
        ranked = rank_plain(
            servers,
            loads,
            cfg.zone,
            now_s,
            self.ctx.rng,
            self.ctx.work,
            expected,
        )
        if not ranked:
            raise NoServer(f"no usable server for service {self.service}")
        server, *others = ranked
        self._next_best = others[0] if others else None
        wait_s = loads.limit_wait_s(server.identity, now_s)
        usual_s = loads.of(server.identity).service_ms / 1_000
        if wait_s and now_s + wait_s + usual_s > self._answer_due_s:
            after_s = retry_after_s(
                wait_s, self.req.deadline_s - now_s, self.ctx.rng.random()
            )
            raise ServerLimited(
                f"all servers of {self.service} are at their rate limits, "
                f"the first for {wait_s:.2f} s",
                retry_after_ms=round(1_000 * after_s),
            )
        return server

    @property
    def _answer_due_s(self) -> float:
        """Time by which an answer is due for which the request may wait.

        A client that has returned after a refusal is late already, and waits
        until its deadline.
        """
        req, route = self.req, self.route
        due_in_s = first_event_due_in_s(
            req.deadline_s - req.arrived_s,
            route.timeout_ms / 1_000,
            route.target_latency_ms / 1_000,
        )
        if due_in_s <= 0:
            return self.deadline_s
        return min(req.arrived_s + due_in_s, self.deadline_s)

    async def _attempt(self, server: Server) -> BufferedAnswer:
        remaining_s = self.remaining_s
        self.departure.log_send(server, "request")
        self.log(
            "routed",
            server=server.instance,
            **self.account_field,
            outstanding=self.ctx.loads.of(server.identity).outstanding,
            limit_per_s=self.ctx.loads.limits.per_s(server.identity),
            left_ms=round(1_000 * remaining_s),
            **self._plain_work.log_fields(server, self._next_best),
        )
        options = SendOptions(
            timeout_s=remaining_s,
            connect_timeout_s=min(CONNECT_TIMEOUT_S, remaining_s),
        )
        self.attempts += 1
        with (
            self._plain_work.counted(server) as sent,
            self._outstanding_counted(server),
        ):
            started_s = self.ctx.now_s()
            async with self.ctx.transport.open(
                server, self.req, options
            ) as answer:
                buffered = await buffer_answer(
                    answer, self.req.memory, self.remaining_s
                )
            took_ms = 1_000 * (self.ctx.now_s() - started_s)
            await self.confirm_end(server, answer)
        self.record_answer(answer)
        load = self.ctx.loads.of(server.identity)
        if buffered.is_server_error:
            load.record_server_error()
            self._plain_work.record_error(server)
        else:
            load.record_success(took_ms)
            self._plain_work.record_answer(sent, took_ms)
        self.log(
            "answered",
            server=server.instance,
            status=buffered.status,
            framed=answer.is_framed,
            server_ms=round(took_ms),
            attempts=self.attempts,
        )
        self.ctx.metrics.observe("server_ms", took_ms, service=self.service)
        return buffered

    @contextmanager
    def _outstanding_counted(self, server: Server) -> Iterator[None]:
        """Count the request in the server's load while it is in flight."""
        load = self.ctx.loads.of(server.identity)
        load.outstanding += 1
        try:
            yield
        finally:
            load.outstanding -= 1
