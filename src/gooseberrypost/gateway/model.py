"""Immutable descriptions of routes, services and backend servers.

The module does no I/O; a platform adapter decodes the values.

>>> route = Route("r", "a.example", "/x/", RequestKind.IDEMPOTENT,
...               (Target("desk", 1.0),), timeout_ms=800)
>>> cfg = Configuration(3, (route,), {"desk": Service("desk")})
>>> cfg.route("a.example", "/x/y").name, cfg.route("a.example", "/y")
('r', None)
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

    from gooseberrypost.state.accounts import Account


DEFAULT_FIRST_EVENT_OBJECTIVE_S: Final = 1.0
"""Time to the first event that a service without an objective should meet."""


class RequestKind(StrEnum):
    """Kind of a route's requests: how often one may be executed."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"
    """Answered by a stream of events; runs at most once unless resumable."""


class Stage(StrEnum):
    """Inference stage that an engine serves, which is also its pool."""

    NONE = ""
    """A plain backend server, which is no engine."""
    PREFILL = "prefill"
    DECODE = "decode"


@dataclass(slots=True, frozen=True)
class StageOrder:
    """An order to an engine to change its stage."""

    instance: str
    stage: Stage
    holder: str = ""
    """Gateway that sends the order, as holder of the stage lock."""


@dataclass(slots=True, frozen=True)
class EngineReport:
    """State of an engine, as the engine reports it."""

    stage: Stage
    is_busy: bool
    """Whether the engine is executing an order."""
    accepted_orders: int
    """Number of orders accepted since the engine's start."""
    started_ms: int = 0
    """Unix time of the engine's start in ms; 0 if unknown."""


@dataclass(slots=True, frozen=True)
class DefaultVersion:
    """Software version of a service's streams that no record names."""

    version: str
    revision: int
    """Store revision at which it was written."""


@dataclass(slots=True, frozen=True)
class Target:
    """A service that a route sends requests to, and its relative weight."""

    service: str
    weight: float


@dataclass(slots=True, frozen=True)
class Route:
    """Rule that maps requests by host and path prefix to services."""

    name: str
    host: str
    prefix: str
    kind: RequestKind
    targets: tuple[Target, ...]
    timeout_ms: int
    """Upper bound of the time for a request, besides the client's deadline."""
    target_latency_ms: int = 0
    """Objective for the whole answer, or for the first event of a stream."""
    target_gap_ms: int = 0
    """Objective for the time between two events of a stream."""
    priority: int = 0
    """Lower values are served first; 0 is the highest priority."""
    max_attempts: int = 1
    """Maximum number of servers that may execute one client request."""
    resumable: bool = False
    """Whether a stream can resume after the client's last event."""
    is_open: bool = False
    """Whether requests need no key of a client account."""

    def choose_service(self, rng: random.Random) -> str:
        """Return the service for one request, drawn by the weights."""
        if len(self.targets) == 1:
            return self.targets[0].service
        names = [target.service for target in self.targets]
        weights = [target.weight for target in self.targets]
        return rng.choices(names, weights)[0]


@dataclass(slots=True, frozen=True)
class EngineSpec:
    """Properties of the engines of a model service."""

    slots: int = 0
    """Maximum number of requests in a batch."""
    kv_tokens: int = 0
    """KV cache capacity of one engine, in tokens."""
    tokens_per_event: int = 1
    """Number of tokens in one event of a stream."""
    kv_retention_ms: int = 0
    """Time for which an engine keeps a prefilled KV cache for transfer."""


@dataclass(slots=True, frozen=True)
class Service:
    """A service and the properties of its engines."""

    name: str
    engine: EngineSpec | None = None
    """None for a service without engines."""


@dataclass(slots=True, frozen=True)
class ClientLimits:
    """Size and time limits for clients' requests."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclass(slots=True, frozen=True)
class Configuration:
    """One version of the operator's configuration."""

    version: int = 0
    """0 before the first configuration is read."""
    routes: tuple[Route, ...] = ()
    services: Mapping[str, Service] = field(default_factory=dict)
    limits: ClientLimits = ClientLimits()
    accounts: tuple[Account, ...] = ()
    """Client accounts; without any, requests need no key."""
    by_host: Mapping[str, tuple[Route, ...]] = field(
        init=False, repr=False, compare=False
    )
    """Routes by lower-case host, longest prefix first."""
    top_priority: int = field(init=False, repr=False, compare=False)
    """Highest priority of any route or account; the lowest number."""

    def __post_init__(self) -> None:
        hosts: dict[str, list[Route]] = {}
        for route in self.routes:
            hosts.setdefault(route.host.lower(), []).append(route)
        ordered = {
            host: tuple(sorted(routes, key=lambda r: -len(r.prefix)))
            for host, routes in hosts.items()
        }
        object.__setattr__(self, "by_host", ordered)
        priorities = [route.priority for route in self.routes]
        priorities += [
            account.priority
            for account in self.accounts
            if account.priority is not None
        ]
        top = min(priorities, default=0)
        object.__setattr__(self, "top_priority", top)

    def first_event_objective_s(self, service: str) -> float:
        """Return the strictest first-event objective of a service's routes.

        ``DEFAULT_FIRST_EVENT_OBJECTIVE_S`` if no route states one.
        """
        objectives_ms = [
            route.target_latency_ms
            for route in self.routes
            if route.kind is RequestKind.STREAMING
            and route.target_latency_ms
            and any(target.service == service for target in route.targets)
        ]
        if not objectives_ms:
            return DEFAULT_FIRST_EVENT_OBJECTIVE_S
        return min(objectives_ms) / 1_000

    def gap_objective_ms(self, service: str) -> float:
        """Return the strictest objective for gaps of a service's routes.

        0 if no route states one.
        """
        return min(
            (
                route.target_gap_ms
                for route in self.routes
                if route.target_gap_ms
                and any(target.service == service for target in route.targets)
            ),
            default=0,
        )

    def route(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest matching prefix."""
        name = host.rpartition(":")[0] or host if ":" in host else host
        for route in self.by_host.get(name.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


@dataclass(slots=True, frozen=True)
class Server:
    """Registration of a backend server."""

    instance: str
    service: str
    address: str
    """``host:port``."""
    zone: str
    slots: int = 1
    draining: bool = False
    stage: Stage = Stage.NONE
    started_ms: int = 0
    """Unix time of the server's start in ms; 0 if unknown."""
    revision: int = 0
    """Store revision at which the registration was written."""
    era: int = 0
    """Era of that revision; a restored store gives out revisions again."""
    writes: int = 0
    """Number of times that the server has written it since its start."""
    version: str = ""
    """Version of the server's software; what two of them write in one stream
    does not fit together."""

    @property
    def identity(self) -> str:
        """Instance and start time, as an instance may restart."""
        return f"{self.instance}@{self.started_ms}"

    def is_older_than(self, other: Server) -> bool:
        """Whether this registration was written before another one.

        Both are of one instance. In a later era the store may return an
        older registration at any revision.
        """
        if self.era == other.era:
            return self.revision < other.revision
        return (self.started_ms, self.writes) < (
            other.started_ms,
            other.writes,
        )
