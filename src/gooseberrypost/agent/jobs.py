"""Jobs of the agent: one for each phase of an attempt that it runs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from gooseberrypost.blackboard import Section
from gooseberrypost.state.attempts import AttemptTable, Phase
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from collections.abc import Sequence

    from gooseberrypost.errors import Failure
    from gooseberrypost.identity import Attempt
    from gooseberrypost.wire.listener import Session


class Job:
    """One phase of an attempt that runs in the backend server."""

    __slots__ = (
        "attempt",
        "digest",
        "orphaned_ms",
        "parts",
        "phase",
        "session",
        "task",
    )

    def __init__(
        self,
        attempt: Attempt,
        phase: Phase,
        session: Session,
        digest: bytes,
        parts: Sequence[bytes] = (),
    ) -> None:
        self.attempt = attempt
        self.phase = phase
        self.session = session
        """Newest connection of the entry that owns the job."""
        self.digest = digest
        self.parts = parts
        """Digests of the parts of the prompt that others may share."""
        self.orphaned_ms: int | None = None
        """Clock time at which the connection broke; ``None`` if it is open."""
        self.task: asyncio.Task[Any] | None = None

    @property
    def has_begun(self) -> bool:
        """Whether part of the answer was produced."""
        return False


class DecodeJob(Job):
    """A token stream that retains its tokens so that entries can reattach."""

    __slots__ = (
        "_changed",
        "_latest_sender",
        "end",
        "ended_ms",
        "first_sequence",
        "token_texts",
    )

    def __init__(
        self,
        attempt: Attempt,
        session: Session,
        digest: bytes,
        first_sequence: int,
        parts: Sequence[bytes] = (),
    ) -> None:
        super().__init__(attempt, Phase.DECODE, session, digest, parts)
        self.first_sequence = first_sequence
        """Sequence number of the first retained token."""
        self.token_texts: list[str] = []
        self.end: Any = None
        """``End`` message of the stream; ``None`` while it runs."""
        self.ended_ms = 0
        self._changed = asyncio.Event()
        self._latest_sender = 0

    @property
    def has_begun(self) -> bool:
        """Whether the engine has produced a token."""
        return bool(self.token_texts)

    @property
    def next_sequence(self) -> int:
        """Sequence number of the next token expected from the engine."""
        return self.first_sequence + len(self.token_texts)

    def append(self, text: str) -> None:
        """Append the next token and wake the sending task."""
        self.token_texts.append(text)
        self._notify()

    def finish(self, failure: Failure | None, load: Any, now_ms: int) -> None:
        """End the stream; no failure means that the answer is complete."""
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
        self._notify()

    async def send_tokens(
        self, session: Session, correlation: int, sequence: int
    ) -> None:
        """Send the tokens from ``sequence`` on, and the end, to a connection.

        A later call replaces this one: only the newest connection is served.
        """
        self._latest_sender += 1
        sender = self._latest_sender
        self.session = session
        self.orphaned_ms = None
        self._notify()
        while sender == self._latest_sender:
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
            text=self.token_texts[sequence - self.first_sequence],
        )

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class Attempts(Section):
    """Attempt table and jobs, as a section of the blackboard."""

    __slots__ = ("jobs", "table")

    def __init__(self) -> None:
        super().__init__()
        self.table = AttemptTable()
        self.jobs: dict[Attempt, Job] = {}
        """Running jobs, and ended token streams retained for a reattach."""

    @property
    def running(self) -> list[Job]:
        """Jobs that are not finished."""
        return [job for job in self.jobs.values() if not is_finished(job)]


def is_finished(job: Job) -> bool:
    """Whether the backend server no longer runs a job."""
    if isinstance(job, DecodeJob):
        return job.end is not None
    return job.task is not None and job.task.done()
