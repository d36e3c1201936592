"""Handlers of the messages in which entries reserve, run and cancel attempts.

An attempt is one try to run a request, identified by the request's idempotency
key and an attempt number.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final

from mode import Service
from result import Err

from gooseberrypost.agent.calls import CallRunner
from gooseberrypost.agent.cancellation import AttemptCanceller
from gooseberrypost.agent.checks import attempt_of, register_validated
from gooseberrypost.agent.context import Context, error_or_none
from gooseberrypost.agent.decoding import DecodeRunner
from gooseberrypost.agent.jobs import DecodeJob
from gooseberrypost.agent.log import log_decision
from gooseberrypost.agent.owndelay import OwnDelay
from gooseberrypost.agent.ownership import OwnerMonitor
from gooseberrypost.agent.prefilling import PrefillRunner
from gooseberrypost.agent.reconcile import Reconciler
from gooseberrypost.agent.retention import (
    MAX_RESERVATION_MS,
    RECORD_RETENTION_MS,
    RECORDS_INCOMPLETE_MS,
)
from gooseberrypost.blackboard import Blackboard
from gooseberrypost.errors import Failure, StaleAttempt
from gooseberrypost.identity import Attempt
from gooseberrypost.state.attempts import AttemptState, Phase
from gooseberrypost.state.ledger import Allocation, ReservationRequest
from gooseberrypost.state.records import EngineRole
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from gooseberrypost.wire.dispatch import Dispatcher
    from gooseberrypost.wire.listener import Session

OWNER: Final = "ExecutionController"
MAINTENANCE_INTERVAL_MS: Final = 100
"""Interval between checks for expired reservations and lost entries."""


class ExecutionController(Service):
    """Reserves capacity for attempts, runs them and cancels them.

    It is the only writer of the attempts section of the blackboard.
    """

    def __init__(self, board: Blackboard, context: Context) -> None:
        super().__init__()
        board.add(context.attempts, OWNER)
        self._context = context
        self._canceller = AttemptCanceller(context)
        self._decode_runner = DecodeRunner(context, self._canceller)
        self._call_runner = CallRunner(context)
        self._prefill_runner = PrefillRunner(context, self._canceller)
        self._owner_monitor = OwnerMonitor(context, self._canceller)
        self.reconciler = Reconciler(context, self._canceller)
        self._started_ms = context.now_ms()
        self._own_delay = OwnDelay(MAINTENANCE_INTERVAL_MS, self._started_ms)

    def register(self, dispatcher: Dispatcher) -> None:
        """Register the handlers of attempt messages and of connections."""
        handlers = {
            idl.Reserve: self._reserve,
            idl.ReleaseReservation: self._release_reservation,
            idl.Prefill: self._prefill_runner.prefill,
            idl.ReleasePrefill: self._prefill_runner.release,
            idl.Decode: self._decode,
            idl.Reattach: self._reattach,
            idl.Call: self._call_runner.call,
            idl.Cancel: self._cancel,
            idl.Revoke: self._revoke,
        }
        for message_type, handler in handlers.items():
            register_validated(dispatcher, message_type, handler)
        dispatcher.on_connect(self._owner_monitor.connected)
        dispatcher.on_disconnect(self._owner_monitor.disconnected)

    async def on_stop(self) -> None:
        """Stop the jobs but leave their work running in the backend server.

        The next agent process adopts that work. Calls are not interrupted.
        """
        await self._canceller.close()
        for job in self._context.attempts.running:
            if job.task is not None and job.phase is not Phase.CALL:
                job.task.cancel()

    async def _reserve(
        self, session: Session, correlation: int, req: Any
    ) -> None:
        attempt = attempt_of(req)
        allocation = self._reserve_capacity(session, attempt, req)
        if isinstance(allocation, Failure):
            await self._context.refuse(
                session, correlation, attempt, allocation
            )
            return
        self._canceller.cancel_superseded(attempt)
        log_decision(
            "admit", key=req.key, attempt=req.attempt, phase="reserve"
        )
        now_ms = self._context.now_ms()
        booking = allocation.booking
        reply = idl.Reserved(
            reservation=allocation.number,
            load=self._context.load(),
            link_start_ms=max(0, booking.start_ms - now_ms) if booking else 0,
            link_kb_per_s=booking.kb_per_s if booking else 0,
        )
        await session.send(correlation, reply)

    def _reserve_capacity(
        self, session: Session, attempt: Attempt, req: Any
    ) -> Allocation | Failure:
        context = self._context
        lifecycle = context.lifecycle_controller.lifecycle
        table = context.attempts.table
        stale = error_or_none(table.check(attempt, Phase.DECODE))
        if stale is not None:
            return stale
        # A repeated message renews the reservation that the attempt has.
        is_new = context.capacity.ledger.find(attempt) is None
        if is_new:
            refusal = (
                lifecycle.refusal(EngineRole.DECODE, req.model)
                or context.backend.limit_refusal()
            )
            if refusal is not None:
                return refusal
        now_ms = context.now_ms()
        ttl_ms = min(req.ttl_ms, MAX_RESERVATION_MS)
        request = ReservationRequest(
            holder=attempt,
            owner=session.peer.incarnation,
            pieces=req.pieces,
            ttl_ms=ttl_ms,
            suspect=req.suspect,
            digest=req.digest,
            parts=tuple(req.parts or ()),
            transfer_kb=req.transfer_kb,
            expected_start_ms=req.expected_start_ms,
        )
        reserved = context.capacity_controller.reserve(request, now_ms)
        if isinstance(reserved, Err):
            return reserved.err_value
        if is_new:
            context.backend.count_request()
        table.reserve(attempt, now_ms + ttl_ms + RECORD_RETENTION_MS)
        return reserved.ok_value

    async def _release_reservation(
        self, session: Session, correlation: int, req: Any
    ) -> None:
        attempt = attempt_of(req)
        allocation = self._context.capacity.ledger.find(attempt)
        if (
            allocation is not None
            and allocation.number == req.reservation
            and not allocation.held_by_server
        ):
            self._context.capacity_controller.release(attempt)
            self._context.attempts.table.unreserve(attempt)
        await session.send(correlation, idl.Ok())

    async def _decode(
        self, session: Session, correlation: int, req: Any
    ) -> None:
        context = self._context
        attempt = attempt_of(req)
        allocation = self._start_decode(attempt, req)
        if isinstance(allocation, Failure):
            await context.refuse(session, correlation, attempt, allocation)
            return
        log_decision(
            "admit", key=req.key, attempt=req.attempt, phase=Phase.DECODE
        )
        job = DecodeJob(
            attempt,
            session,
            allocation.digest,
            req.first_sequence,
            allocation.parts,
        )
        context.attempts.jobs[attempt] = job
        coroutine = self._decode_runner.run(job, req, allocation.booking)
        job.task = asyncio.create_task(coroutine)
        await job.send_tokens(session, correlation, job.first_sequence)

    def _start_decode(
        self, attempt: Attempt, req: Any
    ) -> Allocation | Failure:
        context = self._context
        table = context.attempts.table
        now_ms = context.now_ms()
        stale = error_or_none(table.check(attempt, Phase.DECODE))
        if stale is not None:
            return stale
        # What the ledger still holds has been given to nobody else. The time
        # limit may have passed while this process did not read the request.
        held = context.capacity.ledger.find(attempt)
        valid_ms = min(now_ms, held.expires_ms - 1) if held else now_ms
        started = context.capacity_controller.start_reservation(
            req.reservation, attempt, valid_ms
        )
        if isinstance(started, Err):
            return started.err_value
        expires_ms = now_ms + req.deadline_ms + RECORD_RETENTION_MS
        table.begin(attempt, Phase.DECODE, expires_ms)
        return started.ok_value

    async def _reattach(
        self, session: Session, correlation: int, req: Any
    ) -> None:
        context = self._context
        attempt = attempt_of(req)
        job = context.attempts.jobs.get(attempt)
        if job is None and self.reconciler.pop_adopted(attempt):
            job = DecodeJob(attempt, session, b"", req.next_sequence)
            context.attempts.jobs[attempt] = job
            coroutine = self._decode_runner.run_adopted(
                job, self.reconciler.adopted_timeout_ms
            )
            job.task = asyncio.create_task(coroutine)
        if not isinstance(job, DecodeJob) or (
            context.attempts.table.state(attempt, Phase.DECODE)
            in (None, AttemptState.REVOKED)
        ):
            stale = StaleAttempt("no token stream of this attempt is retained")
            await context.refuse(session, correlation, attempt, stale)
            return
        if not job.first_sequence <= req.next_sequence <= job.next_sequence:
            stale = StaleAttempt(f"token {req.next_sequence} is not retained")
            await context.refuse(session, correlation, attempt, stale)
            return
        log_decision("reattach", key=req.key, attempt=req.attempt)
        await job.send_tokens(session, correlation, req.next_sequence)

    async def _cancel(
        self, session: Session, correlation: int, req: Any
    ) -> None:
        attempt = attempt_of(req)
        self._revoke_attempt(attempt)
        await self._canceller.cancel(attempt, "cancel")
        await session.send(correlation, idl.Ok())

    async def _revoke(
        self, session: Session, correlation: int, req: Any
    ) -> None:
        attempt = attempt_of(req)
        certain = self._received_all_messages(req.incarnation)
        never_started = self._revoke_attempt(attempt) and certain
        log_decision(
            "revoke",
            key=req.key,
            attempt=req.attempt,
            never_started=never_started,
        )
        self._canceller.cancel_in_background(attempt, "revoked")
        await session.send(
            correlation, idl.Revoked(never_started=never_started)
        )

    def _revoke_attempt(self, attempt: Attempt) -> bool:
        context = self._context
        expires_ms = context.now_ms() + RECORD_RETENTION_MS
        return context.attempts.table.revoke(attempt, expires_ms)

    def _received_all_messages(self, incarnation: int) -> bool:
        """Whether no earlier agent process can have received the attempt.

        ``incarnation`` identifies the agent process that the attempt was sent
        to. It is 0 if the entry does not know it; then the time since this
        process started decides.
        """
        if incarnation:
            return incarnation == self._context.process_id.incarnation
        elapsed_ms = self._context.now_ms() - self._started_ms
        return elapsed_ms >= RECORDS_INCOMPLETE_MS

    @Service.task
    async def _maintain_periodically(self) -> None:
        while not self.should_stop:
            self.maintain()
            await asyncio.sleep(MAINTENANCE_INTERVAL_MS / 1_000)

    def maintain(self) -> None:
        """Free expired reservations and cancel the jobs of lost entries.

        A delay of this process does not count, and what arrived meanwhile is
        read first.
        """
        context = self._context
        now_ms = context.now_ms()
        delay_ms = self._own_delay.check(now_ms)
        context.capacity_controller.postpone_expiry(delay_ms)
        self._owner_monitor.postpone(delay_ms)
        if self._own_delay.may_be_unread:
            return
        for attempt in context.capacity_controller.expire(now_ms):
            context.attempts.table.unreserve(attempt)
        self._owner_monitor.cancel_orphans(now_ms)
        context.attempts.table.expire(now_ms)

    @Service.task
    async def _reconcile(self) -> None:
        await self.reconciler.run(lambda: self.should_stop)
