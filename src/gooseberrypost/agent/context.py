"""What the message handlers of the agent share."""

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
from gooseberrypost.agent.log import refusal
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


@dataclass(slots=True)
class Context:
    """Sections and collaborators of the execution of requests."""

    cfg: AgentSettings
    me: ProcessId
    backend: Backend
    capacity_controller: CapacityController
    lifecycle_controller: LifecycleController
    cache_controller: CacheController
    attempts: Attempts
    crashes: CrashReporter
    configuration: Configuration
    now_ms: Callable[[], int]

    @property
    def capacity(self) -> Capacity:
        """Capacity section, to read."""
        return self.capacity_controller.capacity

    @property
    def engine(self) -> EngineClient:
        """Client of the model engine; plain services have none."""
        assert isinstance(self.backend, EngineClient)
        return self.backend

    def load(self) -> Any:
        """``Load`` message of this moment."""
        lifecycle = self.lifecycle_controller.lifecycle
        load = load_message(
            self.capacity,
            self.now_ms(),
            bool(lifecycle.reasons),
            self.configuration.version,
            self.me.incarnation,
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
        """Log a refusal and send it with the current load."""
        refusal("refuse", failure, key=attempt.key, attempt=attempt.number)
        await session.send(correlation, refusal_message(failure, self.load()))

    def finished(self, job: Job) -> None:
        """Forget a job."""
        if self.attempts.jobs.get(job.attempt) is job:
            del self.attempts.jobs[job.attempt]
        self.attempts.notify()

    async def judged(self, attempt: Attempt, failure: Failure) -> Failure:
        """Tell a crash of the backend server from another failure."""
        if not isinstance(failure, ConnectionLost):
            return failure
        if await self.crashes.detect_crash(attempt):
            self.capacity_controller.release(attempt)
            return EngineCrashed(failure.detail)
        return failure


def error(value: Any) -> Failure | None:
    """Failure of a result; ``None`` when it is ``Ok``."""
    return value.err_value if isinstance(value, Err) else None
