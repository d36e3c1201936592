"""State and collaborators shared by the agent's message handlers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

from result import Err

from gooseberrypost.agent.capacity import (
    Capacity,
    CapacityController,
    load_message,
)
from gooseberrypost.agent.engine import EngineClient
from gooseberrypost.agent.jobs import Attempts, Job
from gooseberrypost.agent.log import log_refusal
from gooseberrypost.errors import ConnectionLost, EngineCrashed, Failure
from gooseberrypost.state.records import EngineRole
from gooseberrypost.wire.listener import Session, refusal_message
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from collections.abc import Callable

    from gooseberrypost.agent.backend import Backend
    from gooseberrypost.agent.cache import CacheController
    from gooseberrypost.agent.crash import CrashReporter
    from gooseberrypost.agent.lifecycle import LifecycleController
    from gooseberrypost.identity import Attempt, ProcessId
    from gooseberrypost.settings.agent import AgentSettings
    from gooseberrypost.state.configuration import Configuration

ROLE_NUMBERS: Final = {
    EngineRole.PREFILL: idl.Role.PREFILL,
    EngineRole.DECODE: idl.Role.DECODE,
    EngineRole.PLAIN: idl.Role.PLAIN,
}
"""Value of each role in messages."""


@dataclass(slots=True)
class Context:
    """Sections, controllers and clients that request handlers use."""

    cfg: AgentSettings
    process_id: ProcessId
    backend: Backend
    capacity_controller: CapacityController
    lifecycle_controller: LifecycleController
    cache_controller: CacheController
    attempts: Attempts
    crash_reporter: CrashReporter
    configuration: Configuration
    now_ms: Callable[[], int]
    """Returns the monotonic clock time in milliseconds."""

    @property
    def capacity(self) -> Capacity:
        """Capacity section; only ``capacity_controller`` may change it."""
        return self.capacity_controller.capacity

    @property
    def engine(self) -> EngineClient:
        """Client of the model engine; only for agents of an engine."""
        assert isinstance(self.backend, EngineClient)
        return self.backend

    def load(self) -> Any:
        """Build a ``Load`` message with the current load."""
        lifecycle = self.lifecycle_controller.lifecycle
        load = load_message(
            self.capacity,
            self.now_ms(),
            bool(lifecycle.drain_reasons),
            self.configuration.version,
            self.process_id.incarnation,
        )
        if lifecycle.role is not None:
            load.role = ROLE_NUMBERS[lifecycle.role]
        load.model = lifecycle.model or None
        return load

    async def refuse(
        self,
        session: Session,
        correlation: int,
        attempt: Attempt,
        failure: Failure,
    ) -> None:
        """Log a refusal and reply with it and the current load."""
        log_refusal("refuse", failure, key=attempt.key, attempt=attempt.number)
        await session.send(correlation, refusal_message(failure, self.load()))

    def remove_job(self, job: Job) -> None:
        """Remove a finished job, unless a newer one has replaced it."""
        if self.attempts.jobs.get(job.attempt) is job:
            del self.attempts.jobs[job.attempt]
        self.attempts.notify()

    async def classify_failure(
        self, attempt: Attempt, failure: Failure
    ) -> Failure:
        """Turn a lost connection into ``EngineCrashed`` if the server crashed.

        After a crash the allocation of the attempt is released at once.
        """
        if not isinstance(failure, ConnectionLost):
            return failure
        if await self.crash_reporter.detect_crash(attempt):
            self.capacity_controller.release(attempt)
            return EngineCrashed(failure.detail)
        return failure


def error_or_none(value: Any) -> Failure | None:
    """Return the failure of a result; ``None`` if it is ``Ok``."""
    return value.err_value if isinstance(value, Err) else None
