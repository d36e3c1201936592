"""Running work of the agent, one job for each attempt and phase."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from gooseberrypost.blackboard import Section
from gooseberrypost.state.attempts import AttemptTable, Phase
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from gooseberrypost.errors import Failure
    from gooseberrypost.identity import Attempt
    from gooseberrypost.wire.listener import Session


class Job:
    """One phase of an attempt in the backend server."""

    __slots__ = (
        "attempt",
        "digest",
        "orphaned_ms",
        "phase",
        "session",
        "task",
    )

    def __init__(
        self, attempt: Attempt, phase: Phase, session: Session, digest: bytes
    ) -> None:
        self.attempt = attempt
        self.phase = phase
        self.session = session
        """Connection of the entry that owns the job."""
        self.digest = digest
        self.orphaned_ms: int | None = None
        """Clock time at which the connection of the entry broke."""
        self.task: asyncio.Task[Any] | None = None


class DecodeJob(Job):
    """A token stream; keeps its tokens so that an entry can reattach."""

    __slots__ = (
        "_changed",
        "_generation",
        "end",
        "ended_ms",
        "first",
        "texts",
    )

    def __init__(
        self, attempt: Attempt, session: Session, digest: bytes, first: int
    ) -> None:
        super().__init__(attempt, Phase.DECODE, session, digest)
        self.first = first
        """Sequence number of the first token kept."""
        self.texts: list[str] = []
        self.end: Any = None
        """``End`` message, once the stream is over."""
        self.ended_ms = 0
        self._changed = asyncio.Event()
        self._generation = 0

    @property
    def next_sequence(self) -> int:
        """Sequence number of the next token expected from the engine."""
        return self.first + len(self.texts)

    def append(self, text: str) -> None:
        """Keep the next token and wake the reader."""
        self.texts.append(text)
        self._wake()

    def finish(self, failure: Failure | None, load: Any, now_ms: int) -> None:
        """End the stream; without a failure the answer is whole."""
        if self.end is not None:
            return
        self.end = idl.End(
            key=self.attempt.key,
            attempt=self.attempt.number,
            tokens=self.next_sequence,
            code=failure.code if failure else "",
            detail=failure.detail if failure else "",
            load=load,
        )
        self.ended_ms = now_ms
        self._wake()

    async def pump(
        self, session: Session, correlation: int, sequence: int
    ) -> None:
        """Send the tokens from ``sequence`` and the end to one connection.

        A later call replaces this one: only the newest connection is served.
        """
        self._generation += 1
        generation = self._generation
        self.session = session
        self.orphaned_ms = None
        self._wake()
        while generation == self._generation:
            changed = self._changed
            if sequence < self.next_sequence:
                token = self._token(sequence)
                if not await session.send(correlation, token):
                    return
                sequence += 1
            elif self.end is not None:
                await session.send(correlation, self.end)
                return
            else:
                await changed.wait()

    def _token(self, sequence: int) -> Any:
        return idl.Token(
            key=self.attempt.key,
            attempt=self.attempt.number,
            sequence=sequence,
            text=self.texts[sequence - self.first],
        )

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class Attempts(Section):
    """Attempt table and running jobs."""

    __slots__ = ("jobs", "table")

    def __init__(self) -> None:
        super().__init__()
        self.table = AttemptTable()
        self.jobs: dict[Attempt, Job] = {}
        """Jobs that run, and token streams kept for a late reattach."""

    @property
    def running(self) -> list[Job]:
        """Jobs that are not over."""
        return [job for job in self.jobs.values() if not is_over(job)]


def is_over(job: Job) -> bool:
    """Whether the backend server has finished with a job."""
    if isinstance(job, DecodeJob):
        return job.end is not None
    return job.task is not None and job.task.done()
