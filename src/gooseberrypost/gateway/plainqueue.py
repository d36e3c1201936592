"""Requests to plain services that wait for a place at a server.

What is decided is in ``policy/plainqueue.py``. Until a server of a service
has refused a request, nothing waits and nothing is awaited.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from gooseberrypost.errors import Failure, NotRun
from gooseberrypost.gateway.queueing import DeferralLog
from gooseberrypost.policy.plainqueue import (
    AnswerTime,
    Forecast,
    PlainLine,
    QueuedCall,
    unanswerable,
)
from gooseberrypost.policy.queueorder import retry_after_s
from gooseberrypost.policy.serverplaces import ServerPlaces

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable, Sequence

    from gooseberrypost.gateway.model import Server
    from gooseberrypost.metrics import Metrics
    from gooseberrypost.policy.fairshare import FairShares
    from gooseberrypost.policy.serverload import ServerLoads

PASSES_PER_ANSWER: Final = 4
"""Passes over the queue in the usual time of an answer.

Places that requests of other gateways leave free are noticed by these.
"""
MIN_PASS_INTERVAL_S: Final = 0.005
MAX_PASS_INTERVAL_S: Final = 0.05
"""Bounds of the interval between two passes."""
SCARCE_PLACES: Final = 2
"""Free places of a server up to which other gateways are told of changes."""
MIN_NOTICE_INTERVAL_S: Final = 0.005
"""Minimum interval between two of these notices.

Places of a burst stay empty for the interval: at 50 ms, 23 gateways answered 4
points less in time than at 5 ms (virtual clock).
"""


class NoPlace(NotRun):
    """No server can answer the request before its deadline."""

    code = "no_place"


@dataclass(slots=True, eq=False)
class WaitingCall(QueuedCall):
    """A queued request and the future of its place."""

    request: str = ""
    """Request id, for the log."""
    check: Callable[[], None] = lambda: None
    """Raises if the request must not be sent any more."""
    granted: asyncio.Future[None] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )
    """Done once the request may be sent, or its failure."""


@dataclass(slots=True)
class QueueEnvironment:
    """What the queues of all plain services of a gateway use."""

    loads: ServerLoads
    shares: FairShares
    metrics: Metrics
    rng: random.Random
    now_s: Callable[[], float]
    gateway_count: Callable[[], int]
    notify_loads_changed: Callable[[], None]
    """Sends the rank of the first request, and places that changed."""
    is_enabled: bool = True
    """Whether requests wait for servers that have refused some."""


class PlainQueue:
    """Queue of one plain service at this gateway."""

    __slots__ = (
        "_answers",
        "_deferrals",
        "_env",
        "_line",
        "_next_notice_s",
        "_pass",
        "_places",
        "_service",
    )

    def __init__(self, service: str, env: QueueEnvironment) -> None:
        self._service = service
        self._env = env
        self._places = ServerPlaces(env.loads.outstanding)
        self._line = PlainLine(self._places, env.shares.is_over)
        self._deferrals = DeferralLog(env.shares, env.now_s)
        self._pass: asyncio.TimerHandle | None = None
        """The next pass over the queue."""
        self._next_notice_s = float("-inf")
        self._answers = AnswerTime()

    def __len__(self) -> int:
        return len(self._line)

    def must_wait(self, servers: Callable[[], Sequence[Server]]) -> bool:
        """Whether a request has to wait for a place at one of the servers."""
        if not self._places:
            return False
        if self._line:
            return True
        candidates = servers()
        return bool(candidates) and not self._line.has_place(candidates)

    def with_place(self, servers: list[Server]) -> list[Server]:
        """Return the servers that have a free place; all if none has."""
        if not self._places:
            return servers
        return [
            server
            for server in servers
            if self._places.free(server.identity, server.slots) > 0
        ] or servers

    async def wait(self, call: WaitingCall) -> None:
        """Wait for a place, which is free when this returns.

        Raises ``NoPlace`` once the request cannot be answered before its
        deadline, and what its ``check`` raises.
        """
        env = self._env
        self._refuse_at_once(call)
        self._deferrals.record(call.request, call.account)
        call.queued_s = env.now_s()
        self._line.add(call)
        self._run_pass()
        self.notify()
        try:
            await call.granted
            waited_ms = 1_000 * (env.now_s() - call.queued_s)
            env.metrics.observe(
                "plain_queue_wait_ms", waited_ms, service=self._service
            )
        finally:
            self._line.remove(call)
            if call.place:
                self._places.take_back(call.place)
            self._show_length()
            if call.place:
                # If the request was cancelled, the next one gets its place.
                # It is taken first otherwise, as this runs in a later step.
                asyncio.get_running_loop().call_soon(self.wake)

    def record_refusal(self, server: Server) -> None:
        """Learn the places of a server that has refused a request."""
        if not self._env.is_enabled:
            return
        self._places.record_refusal(server.identity, server.slots)

    def record_answer(self, server: Server, took_s: float) -> None:
        """Learn from an answer that the server had a place."""
        self._places.record_answer(server.identity, server.slots)
        self._answers.record(took_s)

    def retain(self, identities: Iterable[str]) -> None:
        """Forget all servers but these."""
        self._places.retain(identities)
        self.wake()

    def wake(self) -> None:
        """Give free places to waiting requests, if there are any."""
        if self._line:
            self._run_pass()

    def notify(self, server: Server | None = None) -> None:
        """Send the rank of the queue's head, or the load of a full server.

        Load notices are sent at a bounded rate, and only while places are
        scarce.
        """
        now_s = self._env.now_s()
        if now_s < self._next_notice_s:
            return
        if server is not None and not self._line:
            free = self._places.free(server.identity, server.slots)
            if free > SCARCE_PLACES:
                return
        self._next_notice_s = now_s + MIN_NOTICE_INTERVAL_S
        self._env.notify_loads_changed()

    def head_rank_ms(self) -> int | None:
        """Return the rank of the first request; None if none waits."""
        return self._line.head_rank_ms(self._env.now_s())

    def _refuse_at_once(self, call: WaitingCall) -> None:
        now_s = self._env.now_s()
        forecast = self._forecast(call.candidates())
        position = self._ordered(now_s, call).index(call)
        if not forecast.is_answerable(call, position, now_s):
            raise self._refusal(call, forecast.wait_s(position))

    def _refusal(self, call: WaitingCall, wait_s: float) -> NoPlace:
        env = self._env
        env.metrics.count("plain_queue_refusals_total", service=self._service)
        after_s = retry_after_s(
            wait_s, call.abandon_s - env.now_s(), env.rng.random()
        )
        return NoPlace(
            f"{len(self._line)} requests queued for {self._service}, "
            f"expected wait {wait_s:.3f} s",
            retry_after_ms=int(1_000 * after_s),
        )

    def _run_pass(self) -> None:
        """Refuse what cannot be answered, and give free places away."""
        if self._pass is not None:
            self._pass.cancel()
            self._pass = None
        now_s = self._env.now_s()
        ordered = [
            call for call in self._ordered(now_s) if self._may_wait(call)
        ]
        if ordered:
            forecast = self._forecast(ordered[0].candidates())
            for call in unanswerable(ordered, now_s, forecast):
                self._end(call, self._refusal(call, forecast.wait_s(0)))
                ordered.remove(call)
        for call in self._line.give_places(ordered, now_s, self._peers_ahead):
            call.granted.set_result(None)
        if self._line:
            self._pass = asyncio.get_running_loop().call_later(
                self._pass_interval_s(), self._run_pass
            )
        self._show_length()

    def _ordered(self, now_s: float, *new: WaitingCall) -> list[WaitingCall]:
        return self._line.ordered(now_s, self._answers.with_margin_s, *new)

    def _may_wait(self, call: WaitingCall) -> bool:
        """Whether a request still waits; it is ended if its check fails."""
        if call.granted.done():
            # Its client has left.
            self._line.remove(call)
            return False
        try:
            call.check()
        except Failure as failure:
            self._end(call, failure)
            return False
        return True

    def _end(self, call: WaitingCall, failure: Failure) -> None:
        self._line.remove(call)
        if not call.granted.done():
            call.granted.set_exception(failure)

    def _forecast(self, servers: Sequence[Server]) -> Forecast:
        loads = self._env.loads
        return Forecast.from_load(
            self._answers.mean_s,
            sum(loads.of(server.identity).outstanding for server in servers),
            sum(
                self._places.limit(server.identity, server.slots)
                for server in servers
            ),
            self._env.gateway_count(),
        )

    def _peers_ahead(self, rank_ms: int) -> int:
        env = self._env
        return env.loads.peers_ahead(self._service, rank_ms, env.now_s())

    def _pass_interval_s(self) -> float:
        interval_s = self._answers.mean_s / PASSES_PER_ANSWER
        return min(max(interval_s, MIN_PASS_INTERVAL_S), MAX_PASS_INTERVAL_S)

    def _show_length(self) -> None:
        self._env.metrics.gauge(
            "plain_queue_length", len(self._line), service=self._service
        )


class PlainQueues:
    """Queues of all plain services at this gateway."""

    __slots__ = ("_by_service", "_env")

    def __init__(self, env: QueueEnvironment) -> None:
        self._env = env
        self._by_service: dict[str, PlainQueue] = {}

    def of(self, service: str) -> PlainQueue:
        """Return the queue of a service, created on first use."""
        queue = self._by_service.get(service)
        if queue is None:
            queue = self._by_service[service] = PlainQueue(service, self._env)
        return queue

    def head_ranks_ms(self) -> dict[str, int]:
        """Return the rank of the first request of each service."""
        return {
            service: rank_ms
            for service, queue in self._by_service.items()
            if (rank_ms := queue.head_rank_ms()) is not None
        }

    def retain(self, identities: Iterable[str]) -> None:
        """Forget what was learned of all servers but these."""
        kept = set(identities)
        for queue in self._by_service.values():
            queue.retain(kept)
