"""Call to a plain service: claim, choice of a server, retries, answer."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

from multidict import CIMultiDict
from result import Err, Ok, Result

from gooseberrypost.claims.client import StoredAnswer
from gooseberrypost.entry.answer import outcome_headers
from gooseberrypost.entry.context import RequestClaim, next_attempt
from gooseberrypost.entry.parse import (
    ACCOUNT_HEADER,
    DEADLINE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    OUTCOME_HEADER,
)
from gooseberrypost.entry.sections import Stage
from gooseberrypost.errors import (
    DeadlinePassed,
    Failure,
    NoCapacity,
    NotRun,
    Outcome,
    PeerUnreachable,
    UnknownOutcome,
)
from gooseberrypost.logs import RoutingDecision
from gooseberrypost.state.records import EngineRole
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from gooseberrypost.claims.client import Grant
    from gooseberrypost.entry.answer import CallerConnection
    from gooseberrypost.entry.collaborators import RetryBudget
    from gooseberrypost.entry.context import EntryContext
    from gooseberrypost.entry.sections import LiveRequest
    from gooseberrypost.policy.views import AgentView
    from gooseberrypost.state.records import ServiceRecord

MAX_SERVER_TRIES: Final = 4
"""Backend servers tried when each one refuses without running the call."""
REVOKE_TIMEOUT_MS: Final = 1_000
NO_CAPACITY_RETRY_MS: Final = 500
"""Delay advised to the caller when a server gives none, in ms."""
SUSPECT_PAUSE_S: Final = 0.1
"""Pause while the server runs another suspect call, in seconds."""
CAPACITY_PAUSE_S: Final = 0.3
"""Pause while no server accepts a call that has lost its own, in seconds."""
DEFAULT_CONTENT_TYPE: Final = "application/octet-stream"

UNFORWARDED_HEADERS: Final = frozenset(
    {
        "connection",
        "content-length",
        "content-type",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        ACCOUNT_HEADER.lower(),
        DEADLINE_HEADER.lower(),
        IDEMPOTENCY_KEY_HEADER.lower(),
        OUTCOME_HEADER.lower(),
    }
)
"""Hop-by-hop headers, and headers that the entry or the agent handles."""


@dataclass(slots=True, frozen=True)
class PlainCall:
    """A call to a plain service, as the caller sent it."""

    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    digest: bytes
    idempotent: bool


def is_idempotent(service: ServiceRecord, method: str, path: str) -> bool:
    """Return whether the configuration allows a call to be retried.

    Each pattern in ``non_idempotent`` excludes calls by a method, or ``*``
    for any, and a prefix of the path.

    >>> from gooseberrypost.state.records import ServiceRecord
    >>> booking = ServiceRecord("booking", non_idempotent=["POST /reserve"])
    >>> is_idempotent(booking, "POST", "/reserve/7")
    False
    """
    for pattern in service.non_idempotent:
        pattern_method, _, prefix = pattern.partition(" ")
        if pattern_method in ("*", method) and path.startswith(prefix):
            return False
    return True


def forwarded_headers(headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers to forward, without ``UNFORWARDED_HEADERS``.

    Values with control characters are dropped: a line break in a value would
    end the header line early and inject another header.
    """
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in UNFORWARDED_HEADERS and value.isprintable()
    ]


class PlainRequest:
    """Runs one call of one caller to a plain service."""

    def __init__(
        self,
        ctx: EntryContext,
        live: LiveRequest,
        service: ServiceRecord,
        call: PlainCall,
        caller: CallerConnection,
        retries: RetryBudget,
    ) -> None:
        self._ctx = ctx
        self._live = live
        self._service = service
        self._call = call
        self._caller = caller
        self._retries = retries
        self._claim = RequestClaim(ctx, live)
        self._excluded: set[str] = set()
        """Servers that the current attempt does not try."""
        self._lost: set[str] = set()
        """Servers on which the call failed or was lost."""
        self._sent_to: AgentView | None = None
        """Agent that may be running the call."""

    async def run(self) -> Result[None, Failure]:
        """Answer the caller, or return the failure to report to it."""
        try:
            granted = await self._claim.acquire(
                self._call.digest, self._call.idempotent
            )
            if isinstance(granted, Err):
                return granted
            replied = await self._run_attempts(granted.ok_value)
            if isinstance(replied, Err):
                return replied
            return await self._finish(replied.ok_value)
        finally:
            self._live.stage = Stage.RELEASE
            self._cancel()
            self._claim.release()

    async def _run_attempts(self, grant: Grant) -> Result[Any, Failure]:
        while True:
            replied = await self._run_attempt(grant)
            if isinstance(replied, Ok):
                return replied
            failure = replied.err_value
            if isinstance(failure, NoCapacity) and self._may_wait(grant):
                renewed = await self._renew_refused(grant)
                if isinstance(renewed, Err):
                    return renewed
                grant = renewed.ok_value
                continue
            if isinstance(failure, NoCapacity | DeadlinePassed):
                return replied
            if not self._call.idempotent and self._live.may_have_run:
                return Err(UnknownOutcome(str(failure)))
            renewed = await next_attempt(
                self._ctx, self._live, self._claim, self._retries, failure
            )
            if isinstance(renewed, Err):
                return renewed
            grant = renewed.ok_value

    def _may_wait(self, grant: Grant) -> bool:
        """Return whether a call waits for a server until its deadline.

        A suspect does, as a server runs one suspect at a time. So does a call
        that lost its server, as its caller could not tell whether it has run,
        as long as there is a server that has only refused it.
        """
        return grant.suspect or (
            self._live.may_have_run and bool(self._excluded - self._lost)
        )

    async def _renew_refused(self, grant: Grant) -> Result[Grant, Failure]:
        """Pause, then renew the attempt of a call that servers refused.

        A server that has refused an attempt does not accept it again, so the
        next try needs a new number.
        """
        pause_s = SUSPECT_PAUSE_S if grant.suspect else CAPACITY_PAUSE_S
        await asyncio.sleep(pause_s)
        self._excluded = set() if grant.suspect else set(self._lost)
        return await self._claim.renew()

    async def _run_attempt(self, grant: Grant) -> Result[Any, Failure]:
        """Try servers until one runs the call or its outcome is unknown."""
        last_failure: Failure = NoCapacity(
            "no backend server is available",
            retry_after_ms=NO_CAPACITY_RETRY_MS,
        )
        for _ in range(MAX_SERVER_TRIES):
            if self._ctx.now_ms() >= self._live.deadline_ms:
                return Err(DeadlinePassed(str(last_failure)))
            agent = await self._choose_server(grant)
            if agent is None:
                return Err(last_failure)
            replied = await self._call_server(agent, grant)
            if isinstance(replied, Ok):
                return replied
            failure = replied.err_value
            self._excluded.add(agent.name)
            if not isinstance(failure, NotRun):
                self._lost.add(agent.name)
                return replied
            last_failure = NoCapacity(
                f"{agent.name}: {failure}",
                retry_after_ms=failure.retry_after_ms or NO_CAPACITY_RETRY_MS,
            )
            self._ctx.log_retry(self._live, failure, "next_server")
        return Err(last_failure)

    async def _choose_server(self, grant: Grant) -> AgentView | None:
        """Choose the less occupied of two random servers."""
        fleet, name = self._ctx.fleet, self._service.name
        # The probes include draining servers, to notice when these are
        # available again.
        await fleet.probe(name, fleet.candidates(name, EngineRole.PLAIN))
        views = self._candidates(grant)
        if not views:
            return None
        rng = self._ctx.collaborators.rng
        pair = rng.sample(views, min(2, len(views)))
        chosen = min(pair, key=lambda v: v.slots_used / max(1, v.slots))
        self._ctx.decisions.record(
            RoutingDecision(
                request=self._live.key,
                service=name,
                attempt=grant.attempt,
                candidates=[v.name for v in views],
                prefill="",
                decode=chosen.name,
                first_token_ms=0,
                completion_ms=0,
                reason="less_occupied_of_two",
            )
        )
        return chosen

    def _candidates(self, grant: Grant) -> list[AgentView]:
        fleet, name = self._ctx.fleet, self._service.name
        views = fleet.candidates(name, EngineRole.PLAIN)
        if grant.suspect:
            digest = self._call.digest
            views = fleet.isolation_candidates(
                name, EngineRole.PLAIN, "", digest
            )
        return [
            v
            for v in views
            if v.name not in self._excluded
            and not v.draining
            and not (grant.suspect and v.suspects)
        ]

    async def _call_server(
        self, agent: AgentView, grant: Grant
    ) -> Result[Any, Failure]:
        live, call = self._live, self._call
        live.stage = Stage.CALL
        remaining_ms = max(1, live.deadline_ms - self._ctx.now_ms())
        message = idl.Call(
            key=live.key,
            attempt=grant.attempt,
            service_name=self._service.name,
            method=call.method,
            path=call.path,
            headers=[idl.Header(name=n, value=v) for n, v in call.headers],
            body=call.body,
            idempotent=call.idempotent,
            deadline_ms=remaining_ms,
            digest=call.digest,
            suspect=grant.suspect,
        )
        incarnation = self._ctx.fleet.incarnation(agent.name)
        previous_may_have_run, live.may_have_run = live.may_have_run, True
        self._sent_to = agent
        replied = await self._ctx.agents.request(agent, message, remaining_ms)
        if isinstance(replied, Ok):
            self._sent_to = None
            return replied
        failure = replied.err_value
        if await self._was_never_started(agent, grant, failure, incarnation):
            failure = PeerUnreachable(
                f"call revoked before it started: {failure}"
            )
        if isinstance(failure, NotRun):
            live.may_have_run = previous_may_have_run
            self._sent_to = None
        return Err(failure)

    async def _was_never_started(
        self,
        agent: AgentView,
        grant: Grant,
        failure: Failure,
        incarnation: int,
    ) -> bool:
        """Revoke a call without a reply; return whether it had not started.

        An agent that confirms this also refuses the attempt if it arrives
        later. A restarted agent process cannot confirm it for a call that was
        sent to its predecessor, hence the incarnation in the message.
        """
        if not isinstance(failure, UnknownOutcome):
            return False
        message = idl.Revoke(
            key=self._live.key,
            attempt=grant.attempt,
            incarnation=incarnation or None,
        )
        replied = await self._ctx.agents.request(
            agent, message, REVOKE_TIMEOUT_MS
        )
        return isinstance(replied, Ok) and bool(
            getattr(replied.ok_value, "never_started", False)
        )

    async def _finish(self, reply: Any) -> Result[None, Failure]:
        headers = [(h.name, h.value) for h in reply.headers]
        content_type = next(
            (v for n, v in headers if n.lower() == "content-type"),
            DEFAULT_CONTENT_TYPE,
        )
        body = reply.body or b""
        if isinstance(body, str):
            body = body.encode()
        completed = await self._claim.complete(
            StoredAnswer(reply.status, body, content_type)
        )
        if isinstance(completed, Err):
            return completed
        response_headers = CIMultiDict(forwarded_headers(headers))
        response_headers.extend(outcome_headers(self._live, Outcome.COMPLETED))
        await self._caller.send(
            reply.status, content_type, response_headers, body
        )
        return Ok(None)

    def _cancel(self) -> None:
        agent, self._sent_to = self._sent_to, None
        if agent is not None:
            self._ctx.agents.cancel(agent, self._live.key, self._live.attempt)
