"""Cancels jobs and reservations of disconnected or silent entries."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from gooseberrypost.agent.jobs import DecodeJob, is_finished
from gooseberrypost.agent.retention import RECORD_RETENTION_MS
from gooseberrypost.state.attempts import Phase

if TYPE_CHECKING:
    from gooseberrypost.agent.cancellation import AttemptCanceller
    from gooseberrypost.agent.context import Context
    from gooseberrypost.agent.jobs import Job
    from gooseberrypost.wire.listener import Session

PAUSE_THRESHOLD_MS: Final = 1_000
"""A longer interval between two checks means that this process was paused."""


class OwnerMonitor:
    """Watches the entries that own jobs and reservations.

    After its connection breaks, an entry has ``reattach_ms`` to reconnect. An
    entry that sends nothing for ``entry_silence_ms`` while its jobs run is
    considered dead, because a live one sends a heartbeat each second.
    """

    __slots__ = (
        "_canceller",
        "_context",
        "_disconnected_ms",
        "_last_check_ms",
        "_resumed_ms",
        "_sessions",
    )

    def __init__(self, context: Context, canceller: AttemptCanceller) -> None:
        self._context = context
        self._canceller = canceller
        self._sessions: set[Session] = set()
        self._last_check_ms = self._resumed_ms = context.now_ms()
        self._disconnected_ms: dict[int, int] = {}
        """Clock time at which each lost entry incarnation disconnected."""

    def connected(self, session: Session) -> None:
        """Record a new connection."""
        self._sessions.add(session)
        self._disconnected_ms.pop(session.peer.incarnation, None)
        if session.peer.process_kind == "entry":
            self._context.crash_reporter.add_claim_owner(session.peer.address)

    def disconnected(self, session: Session) -> None:
        """Record the end of a connection and mark its jobs as orphaned."""
        now_ms = self._context.now_ms()
        self._sessions.discard(session)
        peer = session.peer.incarnation
        if not any(s.peer.incarnation == peer for s in self._sessions):
            self._disconnected_ms[peer] = now_ms
        for job in self._context.attempts.running:
            if job.session is session:
                job.orphaned_ms = now_ms

    def postpone(self, delay_ms: int) -> None:
        """Give disconnected entries more time, after a delay of the agent."""
        for owner in self._disconnected_ms:
            self._disconnected_ms[owner] += delay_ms
        for job in self._context.attempts.jobs.values():
            if job.orphaned_ms is not None:
                job.orphaned_ms += delay_ms
            if isinstance(job, DecodeJob):
                job.ended_ms += delay_ms

    def cancel_orphans(self, now_ms: int) -> None:
        """Cancel jobs of disconnected or silent entries.

        Reservations of disconnected entries are released.
        """
        if now_ms - self._last_check_ms > PAUSE_THRESHOLD_MS:
            # Heartbeats received during the pause may not have been read yet,
            # so silence is counted from now on.
            self._resumed_ms = now_ms
        self._last_check_ms = now_ms
        grace_ms = self._context.cfg.reattach_ms
        for job in list(self._context.attempts.jobs.values()):
            self._check_job(job, now_ms, grace_ms)
        for owner, disconnected_ms in list(self._disconnected_ms.items()):
            if now_ms - disconnected_ms >= grace_ms:
                del self._disconnected_ms[owner]
                self._release_reserved(owner)

    def _check_job(self, job: Job, now_ms: int, grace_ms: int) -> None:
        if is_finished(job):
            self._forget_ended(job, now_ms, grace_ms)
            return
        if job.phase is Phase.CALL:
            return
        orphaned_ms = job.orphaned_ms
        if orphaned_ms is not None and now_ms - orphaned_ms >= grace_ms:
            self._cancel(job, now_ms, "entry_gone")
        elif (
            self._silence_ms(job, now_ms) >= self._context.cfg.entry_silence_ms
        ):
            self._cancel(job, now_ms, "entry_silent")

    def _silence_ms(self, job: Job, now_ms: int) -> float:
        if job.session.closed.is_set():
            return 0
        received_ms = job.session.last_received_s * 1_000
        return now_ms - max(received_ms, self._resumed_ms)

    def _forget_ended(self, job: Job, now_ms: int, grace_ms: int) -> None:
        retained = (
            isinstance(job, DecodeJob) and now_ms - job.ended_ms < grace_ms
        )
        if not retained:
            self._context.remove_job(job)

    def _cancel(self, job: Job, now_ms: int, reason: str) -> None:
        # A paused entry that resumes must not continue the attempt.
        expires_ms = now_ms + RECORD_RETENTION_MS
        self._context.attempts.table.revoke(job.attempt, expires_ms)
        self._canceller.cancel_in_background(job.attempt, reason)

    def _release_reserved(self, owner: int) -> None:
        released = self._context.capacity_controller.release_reserved(owner)
        for attempt in released:
            self._context.attempts.table.unreserve(attempt)
