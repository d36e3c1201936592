"""Parts of an entry that vary: clock, limits, retries and configuration."""

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
"""Picks at most ``n`` members for an owner in a zone, stable over time."""

ScheduleReader = Callable[[], "Mapping[str, Assignment]"]
"""Roles and models that the schedule gives now, by name of engine."""


def loop_clock_ms() -> int:
    """Event-loop time in whole milliseconds."""
    return int(asyncio.get_running_loop().time() * 1_000)


class ConfigurationView(Protocol):
    """What an entry reads of the configuration section."""

    records: dict[str, Any]
    version: int

    async def changed(self) -> None:
        """Wait until the section changes."""


class Catalog:
    """Services and accounts of the configuration in force."""

    __slots__ = ("_models", "_models_version", "configuration")

    def __init__(self, configuration: ConfigurationView) -> None:
        self.configuration = configuration
        self._models: dict[str, ServiceRecord] = {}
        self._models_version = -1

    @property
    def records(self) -> Mapping[str, Record]:
        """Typed records by key."""
        return self.configuration.records

    def service(self, name: str) -> ServiceRecord | None:
        """Return a service by name."""
        record = self.records.get(f"service/{name}")
        return record if isinstance(record, ServiceRecord) else None

    def account(self, name: str) -> AccountRecord | None:
        """Return an account by name."""
        record = self.records.get(f"account/{name}")
        return record if isinstance(record, AccountRecord) else None

    def service_of_model(self, model: str) -> ServiceRecord | None:
        """Return the first service, by name, that offers a model."""
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
    """Limits of one service at this entry; see ``policy.limits``."""

    def acquire(
        self,
        account: AccountRecord,
        now_ms: int,
        occupancy: float = 0.0,
        cost: float = 1.0,
    ) -> Result[None, NotRun]:
        """Count a request in, or refuse it."""

    def release(self, account_name: str, now_ms: int) -> None:
        """Count a request out that was counted in."""

    def reconfigure(self, service: ServiceRecord) -> None:
        """Apply new limits and keep what is in flight."""


class RetryBudget(Protocol):
    """Retry budget of one service; see ``policy.retry``."""

    def note_request(self, now_ms: int) -> None:
        """Count a first attempt."""

    def retry(
        self, attempt: int, now_ms: int, deadline_ms: int, rng: random.Random
    ) -> Result[int, Any]:
        """Return the delay in ms before the next attempt, or refuse it."""

    def displace(
        self,
        displacements: int,
        attempt: int,
        now_ms: int,
        deadline_ms: int,
        rng: random.Random,
    ) -> Result[int, Any]:
        """Return the delay in ms before a displaced request is moved."""


@dataclass(slots=True)
class Guards:
    """Limits and retry budget of one service."""

    service: ServiceRecord
    limiter: Limiter
    retries: RetryBudget


@dataclass(slots=True)
class Collaborators:
    """What an entry is built from besides its settings."""

    configuration: ConfigurationView
    claims: ClaimClient
    admission: AdmissionPolicy
    placement: PlacementPolicy
    make_limiter: Callable[[ServiceRecord], Limiter]
    make_retries: Callable[[ServiceRecord], RetryBudget]
    choose_subset: SubsetChooser
    pressure: Callable[[Sequence[AgentView]], float]
    """Occupancy of a service's decode engines, 0 to 1."""
    schedule: ScheduleReader | None = None
    clock: Callable[[], int] = loop_clock_ms
    rng: random.Random = field(default_factory=random.Random)
