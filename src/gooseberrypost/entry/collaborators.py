"""Replaceable dependencies of an entry, such as its clock and policies."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Protocol

from gooseberrypost.state.records import AccountRecord, ServiceRecord

if TYPE_CHECKING:
    from result import Result

    from gooseberrypost.claims.client import ClaimClient
    from gooseberrypost.errors import NotRun
    from gooseberrypost.policy.admission import AdmissionPolicy
    from gooseberrypost.policy.placement import PlacementPolicy
    from gooseberrypost.policy.views import AgentView
    from gooseberrypost.sheet.schedule import Assignment
    from gooseberrypost.state.records import Record

SubsetChooser = Callable[[str, str, Sequence[Any], int], list[Any]]
"""Chooses at most the given number of members for an entry in a zone.

The choice is stable over time.
"""

ScheduleReader = Callable[[], "Mapping[str, Assignment]"]
"""Returns the currently scheduled role and model of each engine, by name."""


def loop_clock_ms() -> int:
    """Return the time of the event loop in whole milliseconds."""
    return int(asyncio.get_running_loop().time() * 1_000)


class ConfigurationView(Protocol):
    """Part of the configuration section that an entry reads."""

    records: dict[str, Any]
    version: int

    async def changed(self) -> None:
        """Wait until the section changes."""


class Catalog:
    """Services and accounts of the current configuration."""

    __slots__ = ("_models", "_models_version", "configuration")

    def __init__(self, configuration: ConfigurationView) -> None:
        self.configuration = configuration
        self._models: dict[str, ServiceRecord] = {}
        self._models_version = -1

    @property
    def records(self) -> Mapping[str, Record]:
        """Configuration records by key."""
        return self.configuration.records

    def service(self, name: str) -> ServiceRecord | None:
        """Return a service by name, or ``None`` if it is not configured."""
        record = self.records.get(f"service/{name}")
        return record if isinstance(record, ServiceRecord) else None

    def account(self, name: str) -> AccountRecord | None:
        """Return an account by name, or ``None`` if it is not configured."""
        record = self.records.get(f"account/{name}")
        return record if isinstance(record, AccountRecord) else None

    def service_of_model(self, model: str) -> ServiceRecord | None:
        """Return the service that offers a model; the first one by name."""
        if self._models_version != self.configuration.version:
            self._models_version = self.configuration.version
            self._models = {
                offered: record
                for _, record in sorted(self.records.items(), reverse=True)
                if isinstance(record, ServiceRecord)
                for offered in record.models
            }
        return self._models.get(model)


class Limiter(Protocol):
    """Request limits of one service at this entry; see ``policy.limits``."""

    def acquire(
        self,
        account: AccountRecord,
        now_ms: int,
        occupancy: float = 0.0,
        cost: float = 1.0,
    ) -> Result[None, NotRun]:
        """Admit a request and count it as in flight, or refuse it."""

    def release(self, account_name: str, now_ms: int) -> None:
        """Stop counting an admitted request as in flight."""

    def reconfigure(self, service: ServiceRecord) -> None:
        """Apply new limits and keep the count of requests in flight."""


class RetryBudget(Protocol):
    """Retry budget of one service; see ``policy.retry``."""

    def record_request(self, now_ms: int) -> None:
        """Count the first attempt of a request."""

    def retry(
        self, attempt: int, now_ms: int, deadline_ms: int, rng: random.Random
    ) -> Result[int, Any]:
        """Return the delay in ms before the next attempt, or refuse it."""

    def retry_displaced(
        self,
        displacements: int,
        attempt: int,
        now_ms: int,
        deadline_ms: int,
        rng: random.Random,
    ) -> Result[int, Any]:
        """Return the delay in ms before a displaced request is moved.

        A displaced request has lost the engine that was running it.
        """


@dataclass(slots=True)
class Guards:
    """Limits and retry budget of one service."""

    service: ServiceRecord
    limiter: Limiter
    retries: RetryBudget


@dataclass(slots=True)
class Collaborators:
    """Dependencies that an entry is built from, besides its settings."""

    configuration: ConfigurationView
    claims: ClaimClient
    admission: AdmissionPolicy
    placement: PlacementPolicy
    make_limiter: Callable[[ServiceRecord], Limiter]
    make_retries: Callable[[ServiceRecord], RetryBudget]
    choose_subset: SubsetChooser
    occupancy: Callable[[Sequence[AgentView]], float]
    """Returns the occupancy of a service's decode engines, 0 to 1."""
    schedule: ScheduleReader | None = None
    clock: Callable[[], int] = loop_clock_ms
    rng: random.Random = field(default_factory=random.Random)
