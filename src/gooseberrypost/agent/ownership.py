"""Frees what belongs to an entry that is gone or silent."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from gooseberrypost.agent.jobs import DecodeJob, is_over
from gooseberrypost.agent.retention import RECORD_RETENTION_MS
from gooseberrypost.state.attempts import Phase

if TYPE_CHECKING:
    from gooseberrypost.agent.cancellation import AttemptCanceller
    from gooseberrypost.agent.context import Context
    from gooseberrypost.agent.jobs import Job
    from gooseberrypost.wire.listener import Session

PAUSE_MS: Final = 1_000
"""A longer time between two checks means that this process was paused."""


class Ownership:
    """Ties jobs and reservations to the connections of entries.

    When a connection breaks, its entry has ``reattach_ms`` to come back. An
    entry that sends nothing for ``entry_silence_ms`` while its jobs run has
    stopped, because a live one sends a heartbeat each second.
    """

    __slots__ = (
        "_context",
        "_enforced_ms",
        "_freeing",
        "_lost",
        "_resumed_ms",
        "_sessions",
    )

    def __init__(self, context: Context, freeing: AttemptCanceller) -> None:
        self._context = context
        self._freeing = freeing
        self._sessions: set[Session] = set()
        self._enforced_ms = self._resumed_ms = context.now_ms()
        self._lost: dict[int, int] = {}
        """Clock time at which each entry incarnation was last connected."""

    def connected(self, session: Session) -> None:
        """Note a new connection."""
        self._sessions.add(session)
        self._lost.pop(session.peer.incarnation, None)
        if session.peer.process_kind == "entry":
            self._context.crashes.add_owner(session.peer.address)

    def disconnected(self, session: Session) -> None:
        """Note the end of a connection; its jobs are orphans now."""
        now_ms = self._context.now_ms()
        self._sessions.discard(session)
        peer = session.peer.incarnation
        if not any(s.peer.incarnation == peer for s in self._sessions):
            self._lost[peer] = now_ms
        for job in self._context.attempts.running:
            if job.session is session:
                job.orphaned_ms = now_ms

    def enforce(self, now_ms: int) -> None:
        """Cancel what has been without its entry for too long."""
        if now_ms - self._enforced_ms > PAUSE_MS:
            # This process was paused: heartbeats wait to be read.
            self._resumed_ms = now_ms
        self._enforced_ms = now_ms
        grace_ms = self._context.cfg.reattach_ms
        for job in list(self._context.attempts.jobs.values()):
            self._enforce_job(job, now_ms, grace_ms)
        for owner, lost_ms in list(self._lost.items()):
            if now_ms - lost_ms >= grace_ms:
                del self._lost[owner]
                self._release_reserved(owner)

    def _enforce_job(self, job: Job, now_ms: int, grace_ms: int) -> None:
        if is_over(job):
            self._forget(job, now_ms, grace_ms)
            return
        if job.phase is Phase.CALL:
            return
        orphaned_ms = job.orphaned_ms
        if orphaned_ms is not None and now_ms - orphaned_ms >= grace_ms:
            self._end(job, now_ms, "entry_gone")
        elif (
            self._silent_ms(job, now_ms) >= self._context.cfg.entry_silence_ms
        ):
            self._end(job, now_ms, "entry_silent")

    def _silent_ms(self, job: Job, now_ms: int) -> float:
        if job.session.closed.is_set():
            return 0
        heard_ms = job.session.last_heard_s * 1_000
        return now_ms - max(heard_ms, self._resumed_ms)

    def _forget(self, job: Job, now_ms: int, grace_ms: int) -> None:
        kept = isinstance(job, DecodeJob) and now_ms - job.ended_ms < grace_ms
        if not kept:
            self._context.remove_job(job)

    def _end(self, job: Job, now_ms: int, reason: str) -> None:
        # A paused entry that comes back must not go on with the attempt.
        expires_ms = now_ms + RECORD_RETENTION_MS
        self._context.attempts.table.revoke(job.attempt, expires_ms)
        self._freeing.cancel_in_background(job.attempt, reason)

    def _release_reserved(self, owner: int) -> None:
        released = self._context.capacity_controller.release_reserved(owner)
        for attempt in released:
            self._context.attempts.table.unreserve(attempt)
