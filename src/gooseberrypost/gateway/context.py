"""State and collaborators shared by all requests of one gateway."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from absl import logging

from gooseberrypost.gateway.authentication import Authenticator
from gooseberrypost.gateway.freshness import FreshnessCheck
from gooseberrypost.gateway.model import EngineSpec
from gooseberrypost.gateway.plainqueue import PlainQueues, QueueEnvironment
from gooseberrypost.gateway.prefillgate import PrefillGate
from gooseberrypost.gateway.quarantine import Quarantine
from gooseberrypost.gateway.quotas import GatewayQuotas
from gooseberrypost.gateway.reservation_queue import ReservationQueue
from gooseberrypost.logs import format_fields
from gooseberrypost.metrics import Metrics
from gooseberrypost.policy.fairshare import FairShares
from gooseberrypost.policy.gatewayretry import (
    BUDGET_UTILIZATION,
    PROBES_PER_WINDOW,
    GatewayRetryBudget,
    RetryBreaker,
)
from gooseberrypost.policy.outputlengths import OutputLengths
from gooseberrypost.policy.serverload import ServerLoads
from gooseberrypost.policy.workchoice import DecodeExpectation
from gooseberrypost.policy.workrouting import WorkRouting
from gooseberrypost.processmemory import resident_bytes
from gooseberrypost.state.memorybudget import MemoryBudget
from gooseberrypost.state.memoryuse import Use

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Coroutine
    from typing import Any

    from gooseberrypost.gateway.directory import Directory
    from gooseberrypost.gateway.model import Server
    from gooseberrypost.gateway.request import ClientRequest
    from gooseberrypost.gateway.transport import Transport
    from gooseberrypost.gateway.versions import VersionKeeper
    from gooseberrypost.settings.gateway import GatewaySettings

MEAN_SMOOTHING: Final = 0.05
"""Weight of the latest sample in a service's moving averages.

The averages are those of prompt size, output size and decode time.
"""
DEFAULT_FIRST_EVENT_DELAY_S: Final = 0.15
"""Mean delay of the first event that is assumed before any measurement."""
FIRST_EVENT_DELAY_MARGIN: Final = 1.5
"""Multiple of the mean within which most first events arrive."""
MAX_FIRST_EVENT_DELAY_S: Final = 0.4
"""Upper bound of the predicted delay of the first event.

Individual prefills take longer after a fault. A prediction based on these
would refuse requests that can be served in time.
"""
FIRST_EVENT_DELAY_SMOOTHING: Final = 0.2
"""Weight of the latest delay of a first event in the moving average."""
DECODE_TIME_MARGIN: Final = 1.4
"""Multiple of the expected time within which most generations end."""
DEFAULT_DECODE_S: Final = 3.0
"""Mean decode time that is assumed before any generation has ended."""


@dataclass(slots=True)
class GatewayContext:
    """Shared collaborators, load statistics and retry budgets."""

    settings: GatewaySettings
    directory: Directory
    transport: Transport
    rng: random.Random
    loads: ServerLoads = field(default_factory=ServerLoads)
    metrics: Metrics = field(default_factory=Metrics)
    shutdown_at_s: float = float("inf")
    """Monotonic time at which this gateway shuts down.

    Generations that are not expected to end before it are refused.
    """
    out_of_rotation_s: float = float("inf")
    """Monotonic time at which the balancer sends no more connections.

    A generation is then accepted only if its longest output fits.
    """
    now_s: Callable[[], float] = time.monotonic
    prefill_gate: PrefillGate = field(init=False)
    relative_use: Callable[[str], float] = lambda account: 1.0
    """Recent use of an account relative to the mean; 1 is a fair share."""
    shares: FairShares = field(init=False)
    """Tells the accounts over their share, by ``relative_use``."""
    reservation_queue: ReservationQueue = field(init=False)
    plain_queues: PlainQueues = field(init=False)
    notify_loads_changed: Callable[[], None] = lambda: None
    """Callback to call when this gateway's load on the engines changes."""
    quarantine: Quarantine = field(init=False)
    freshness: FreshnessCheck = field(init=False)
    """Tells whether an unknown route or key may be refused for good."""
    authenticator: Authenticator = field(init=False)
    versions: VersionKeeper = field(init=False)
    """Software versions of streams; set by the daemon."""
    quotas: GatewayQuotas = field(init=False)
    """Charges requests to the quotas of client accounts."""
    work: WorkRouting | None = field(init=False)
    """Costs and paces by which servers are chosen; None if switched off."""
    memory: MemoryBudget = field(init=False)
    """Bounds the memory of what clients send and are sent."""
    ids_count_events: dict[str, bool] = field(default_factory=dict)
    """Whether the ids of a service's events count them, by its last stream."""
    _output_lengths: dict[str, OutputLengths] = field(default_factory=dict)
    """Output lengths by service; the next four are by service too."""
    _mean_first_event_delays_s: dict[str, float] = field(default_factory=dict)
    _usual_pauses_s: dict[str, float] = field(default_factory=dict)
    _mean_decode_times_s: dict[str, float] = field(default_factory=dict)
    _rates: int = 0
    """Number of generations whose output rate was recorded."""
    _budgets: dict[str, GatewayRetryBudget] = field(default_factory=dict)
    _retry_breakers: dict[str, RetryBreaker] = field(default_factory=dict)
    _background: set[asyncio.Task[None]] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.prefill_gate = PrefillGate(self.directory, self.loads)
        self.shares = FairShares(
            lambda account: self.relative_use(account), lambda: self.now_s()
        )
        self.reservation_queue = ReservationQueue(self)
        self.plain_queues = PlainQueues(
            QueueEnvironment(
                self.loads,
                self.shares,
                self.metrics,
                self.rng,
                lambda: self.now_s(),
                self.gateway_count,
                lambda: self.notify_loads_changed(),
                self.settings.queue_plain_requests,
            )
        )
        self.quarantine = Quarantine(self)
        self.freshness = FreshnessCheck(
            self.directory,
            self.settings.propagation_ms / 1_000,
            lambda: self.loads.refresh(),
            self.now_s,
        )
        self.authenticator = Authenticator(
            self.directory, self.metrics, self.freshness, self.now_s
        )
        self.quotas = GatewayQuotas(
            self.directory, self.metrics, self.rng, lambda: self.now_s()
        )
        by_work = self.settings.routing_by_work
        self.work = WorkRouting(self.loads) if by_work else None
        cfg = self.settings
        self.memory = MemoryBudget.of_process(
            cfg.memory_budget_bytes,
            cfg.memory_bytes,
            resident_bytes(),
            {Use.ANSWER: cfg.answer_buffer_bytes},
        )

    def record_rate_limit(self, server: Server, per_s: float | None) -> None:
        """Record the rate limit that an answer of a server named.

        None if the answer shows that there is no limit.
        """
        limits = self.loads.limits
        before = limits.per_s(server.identity)
        if limits.record(server.identity, per_s, self.now_s()):
            self.notify_loads_changed()
            logging.info(
                "event=server_limit server=%s service=%s per_s=%s before=%s",
                server.instance,
                server.service,
                per_s,
                before,
            )
            self.metrics.count("server_limit_changes_total")

    def record_leaving(self, server: Server) -> None:
        """Record that a server said in an answer that it leaves."""
        if self.directory.servers.record_leaving(server):
            logging.info(
                "event=server change=leaving server=%s service=%s",
                server.instance,
                server.service,
            )
            self.reservation_queue.wake()

    def record_server_pause(self, server: Server, pause_s: float) -> None:
        """Record that a server refused a request and asked for a pause."""
        self.loads.limits.record_pause(server.identity, pause_s, self.now_s())
        logging.info(
            "event=server_pause server=%s service=%s pause_s=%s",
            server.instance,
            server.service,
            pause_s,
        )
        self.metrics.count("server_pauses_total")

    def budget(self, service: str) -> GatewayRetryBudget:
        """Return the retry budget of a service."""
        budget = self._budgets.get(service)
        cfg = self.settings
        if budget is None:
            budget = GatewayRetryBudget(
                BUDGET_UTILIZATION * cfg.retry_budget_ratio,
                0.0,
                cfg.retry_budget_window_ms / 1_000,
            )
            self._budgets[service] = budget
        budget.allowance = (
            BUDGET_UTILIZATION
            * cfg.retry_budget_allowance
            / self.gateway_count()
        )
        return budget

    def gateway_count(self) -> int:
        """Return the number of gateways, this one included.

        These are the ones that are registered or that send load notices.
        """
        return max(
            1 + self.loads.peer_count(self.now_s()),
            len(self.directory.gateways),
        )

    def count_send(self, server: Server) -> None:
        """Count a request against the server's rate limit, if it has one."""
        if self.loads.limits.record_send(server.identity, self.now_s()):
            self.notify_loads_changed()

    def retry_breaker(self, service: str) -> RetryBreaker:
        """Return the breaker for retries of a service's server errors."""
        breaker = self._retry_breakers.get(service)
        if breaker is None:
            window_s = self.settings.retry_budget_window_ms / 1_000
            breaker = RetryBreaker(window_s / PROBES_PER_WINDOW)
            self._retry_breakers[service] = breaker
        return breaker

    def engine_spec(self, service: str) -> EngineSpec:
        """Return the engine properties of a model service."""
        known = self.directory.configuration.services.get(service)
        return (known.engine if known else None) or EngineSpec()

    def decode_expectation(
        self, service: str, gap_ms: float
    ) -> DecodeExpectation | None:
        """Return what to expect of a service's decode engines, by pace."""
        if self.work is None:
            return None
        stride = self.engine_spec(service).tokens_per_event
        return DecodeExpectation(self.work, gap_ms, stride)

    def typical_output(self, service: str) -> float:
        """Return the median of output tokens; 0 if unknown.

        It combines the averages of all gateways, as a single gateway may have
        served only a few generations.
        """
        own = self._lengths(service).typical
        return self.loads.mean_output_tokens(service, own)

    def first_event_delay_s(self, service: str) -> float:
        """Predict the time from reservation to first event, with a margin."""
        predicted_s = (
            FIRST_EVENT_DELAY_MARGIN
            * self._mean_first_event_delays_s.get(
                service, DEFAULT_FIRST_EVENT_DELAY_S
            )
        )
        return min(predicted_s, MAX_FIRST_EVENT_DELAY_S)

    def record_first_event_delay(self, service: str, took_s: float) -> None:
        """Record a time from reservation to first event."""
        mean_s = self._mean_first_event_delays_s.get(
            service, DEFAULT_FIRST_EVENT_DELAY_S
        )
        self._mean_first_event_delays_s[service] = (
            mean_s + FIRST_EVENT_DELAY_SMOOTHING * (took_s - mean_s)
        )

    def usual_pause_s(self, service: str) -> float:
        """Return the mean of the longest pauses of streams; 0 if unknown."""
        return self._usual_pauses_s.get(service, 0.0)

    def record_pause(self, service: str, longest_s: float) -> None:
        """Record the longest pause between two events of a stream."""
        mean_s = self._usual_pauses_s.get(service, longest_s)
        self._usual_pauses_s[service] = mean_s + MEAN_SMOOTHING * (
            longest_s - mean_s
        )

    def local_typical_outputs(self) -> dict[str, float]:
        """Return this gateway's own median output tokens by service."""
        return {
            service: lengths.typical
            for service, lengths in self._output_lengths.items()
            if lengths.typical
        }

    def _lengths(self, service: str) -> OutputLengths:
        lengths = self._output_lengths.get(service)
        if lengths is None:
            lengths = self._output_lengths[service] = OutputLengths()
        return lengths

    def record_hint(self, service: str, tokens: int) -> None:
        """Record a client's estimate of its output; 0 if it gave none."""
        self._lengths(service).record_hint(tokens)

    def mean_decode_s(self, service: str) -> float:
        """Return the moving average of the decode time of a generation."""
        return self._mean_decode_times_s.get(service, DEFAULT_DECODE_S)

    def expected_decode_s(self, service: str, output: int) -> float:
        """Predict the decode time for an output length, with a margin."""
        tokens_per_s = self.loads.tokens_per_s
        expected_s = (
            output / tokens_per_s
            if tokens_per_s
            else self.mean_decode_s(service)
        )
        return DECODE_TIME_MARGIN * expected_s

    def record_generation(
        self, service: str, tokens: int, took_s: float
    ) -> None:
        """Record the output size and decode time of a completed generation."""
        self._lengths(service).record_output(tokens)
        mean_s = self.mean_decode_s(service)
        self._mean_decode_times_s[service] = mean_s + MEAN_SMOOTHING * (
            took_s - mean_s
        )
        if took_s > 0:
            rate = tokens / took_s
            self._rates += 1
            # The first ones count alike: a single slow one would otherwise
            # stand for the service until twenty others have ended.
            weight = max(MEAN_SMOOTHING, 1 / self._rates)
            mean = self.loads.tokens_per_s
            self.loads.tokens_per_s = mean + weight * (rate - mean)

    def log(self, event: str, req: ClientRequest, **fields: object) -> None:
        """Log an event of a request, with the configuration version."""
        version = self.directory.configuration.version
        pairs = [
            ("event", event),
            ("request", req.id),
            ("after_ms", round(1_000 * (self.now_s() - req.arrived_s))),
            *fields.items(),
            ("configuration", version),
        ]
        logging.info("%s", format_fields(pairs))

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine that may outlive its request."""
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
