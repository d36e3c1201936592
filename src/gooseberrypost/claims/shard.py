"""A shard owned by this entry: its claims, its log and waiting requests."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from absl import logging
from result import Err, Ok, Result

from gooseberrypost.claims._protocol import run_steps
from gooseberrypost.errors import Failure, Superseded, UnknownOutcome
from gooseberrypost.policy.quarantine import Suspicion
from gooseberrypost.state.claim import (
    UNKNOWN_CONTENT,
    Decision,
    GrantRequest,
    RenewedContent,
    Verdict,
)
from gooseberrypost.state.claims import ShardClaims

if TYPE_CHECKING:
    from collections.abc import Callable

    from gooseberrypost.claims.client import StoredAnswer
    from gooseberrypost.claims.evidence import EvidenceStore
    from gooseberrypost.settings.entry import ClaimSettings
    from gooseberrypost.state.leases import HeldLease
    from gooseberrypost.state.shard_log import ShardLog
    from gooseberrypost.stores.keyvalue import KeyValueStore

CONFIRM_TIMEOUT_MS: Final = 1_000
COMPLETE_CONFIRM_TIMEOUT_MS: Final = 2_000
RETRY_AFTER_MS: Final = 2_000


class NotOwner(Failure):
    """This process does not own the shard of the key."""

    code = "not_owner"


class CompletionUnconfirmed(UnknownOutcome):
    """The completion is not in the log yet; it may be sent again."""

    code = "completion_unconfirmed"


@dataclass(slots=True, frozen=True)
class ClaimResult:
    """Result of a claim or renewal."""

    verdict: Verdict
    attempt: int = 0
    suspect: bool = False
    answer: StoredAnswer | None = None
    retry_after_ms: int = 0
    ran_before: bool = False


class OwnedShard:
    """Serves one shard from its takeover until it is lost or released."""

    def __init__(
        self,
        cfg: ClaimSettings,
        log: ShardLog,
        store: KeyValueStore,
        lease: HeldLease,
        evidence_store: EvidenceStore,
        clock_ms: Callable[[], int],
    ) -> None:
        self.log = log
        self.claims = ShardClaims(
            log.shard,
            log.epoch,
            cfg.answers_bytes // cfg.shards,
            cfg.retention_ms,
        )
        self.claims.replay(log.replayed_records, clock_ms())
        log.replayed_records = []
        self.is_lost = False
        self.is_stalled = False
        """The key-value service did not answer the last call of the log."""
        self._linger_ms = cfg.linger_ms
        self._store = store
        self._lease = lease
        self._evidence_store = evidence_store
        self._clock_ms = clock_ms
        self._state_changed = asyncio.Event()
        self._has_records = asyncio.Event()

    async def run_writer(self) -> None:
        """Append records to the log in batches until the shard is lost."""
        while not self.is_lost:
            await self._has_records.wait()
            self._has_records.clear()
            while self.claims.outbox and not self.is_lost:
                # Delays each batch to collect more records. Without the
                # delay between batches, eight shards at 930 calls/s would
                # use the whole call rate of the key-value service.
                await asyncio.sleep(self._linger_ms / 1_000)
                await self._write_batch()

    async def claim(
        self,
        request: GrantRequest,
        holder: str,
        wait_ms: int,
        keep_in_memory: bool,
    ) -> ClaimResult:
        """Decide a claim.

        A resend waits up to ``wait_ms`` for the running attempt. With
        ``keep_in_memory``, new idempotent claims are kept in memory while the
        log cannot be written and the lease is held. They are granted only
        after they are logged: otherwise a successor has no record that they
        ran, and would run and answer them again or report them as not run.
        """
        wait_end_ms = self._clock_ms() + wait_ms
        while not self.is_lost:
            refusal = self._refuse_in_outage(request, keep_in_memory)
            if refusal is not None:
                return refusal
            decision = self.claims.claim(
                request,
                holder,
                self._clock_ms(),
                self._evidence_store.is_convicted(
                    request.digest, request.parts
                ),
            )
            self._wake_writer()
            left_ms = wait_end_ms - self._clock_ms()
            if decision.verdict is not Verdict.RUNNING or left_ms <= 0:
                return await self._result_of(request, decision, keep_in_memory)
            await self._wait_for_change(left_ms)
        return ClaimResult(Verdict.NOT_OWNER)

    async def renew(
        self, key: str, attempt: int, content: RenewedContent = UNKNOWN_CONTENT
    ) -> ClaimResult:
        """Supersede an attempt by the next one of the same holder."""
        if self.is_lost:
            return ClaimResult(Verdict.NOT_OWNER)
        claim = self.claims.claims.get(key)
        digest = claim.digest if claim is not None else content.digest
        parts = claim.parts if claim is not None else content.parts
        suspicion = Suspicion.CLEAN
        if digest:
            suspicion = self._evidence_store.suspicion(digest)
            if self._evidence_store.is_convicted(digest, parts):
                return ClaimResult(Verdict.QUARANTINED)
        decision = self.claims.renew(key, attempt, self._clock_ms(), content)
        self._wake_writer()
        if not await self._wait_until_confirmed(decision, CONFIRM_TIMEOUT_MS):
            return self._unconfirmed_result(Verdict.UNKNOWN)
        return ClaimResult(
            decision.verdict,
            decision.attempt,
            suspicion is Suspicion.SUSPECT,
        )

    async def complete(
        self, key: str, attempt: int, answer: StoredAnswer
    ) -> Result[None, Failure]:
        """Record an answer; after ``Ok`` its final part may be sent."""
        if self.is_lost:
            return Err(NotOwner(f"shard {self.log.shard} is no longer owned"))
        decision = self.claims.complete(key, attempt, answer, self._clock_ms())
        self._wake_writer()
        if decision.verdict is Verdict.SUPERSEDED:
            return Err(
                Superseded(f"attempt {attempt} of {key} is not current")
            )
        if not await self._wait_until_confirmed(
            decision, COMPLETE_CONFIRM_TIMEOUT_MS
        ):
            if self.is_lost:
                return Err(
                    NotOwner(f"shard {self.log.shard} is no longer owned")
                )
            return Err(CompletionUnconfirmed(key))
        claim = self.claims.claims.get(key)
        if claim is not None:
            self._evidence_store.record_answer(claim.parts)
        self._notify_waiters()
        return Ok(None)

    def abandon(self, key: str, attempt: int, not_run: bool) -> None:
        """End an attempt without an answer."""
        self.claims.abandon(key, attempt, not_run, self._clock_ms())
        self._wake_writer()
        self._notify_waiters()

    def holder_lost(self, holder: str) -> None:
        """Start the grace period of an entry whose last session ended."""
        self.claims.holder_disconnected(holder, self._clock_ms())

    def tick(self) -> None:
        """Orphan running claims and delete ended ones where that is due."""
        if self.claims.tick(self._clock_ms()):
            self._notify_waiters()

    def mark_lost(self) -> None:
        """Stop granting; waiting requests are redirected to the successor."""
        self.is_lost = True
        self._has_records.set()
        self._notify_waiters()

    async def flush(self, timeout_ms: int) -> None:
        """Wait until every record is logged, for at most ``timeout_ms``."""
        end_ms = self._clock_ms() + timeout_ms
        while self.claims.unconfirmed and not self.is_lost:
            left_ms = end_ms - self._clock_ms()
            if left_ms <= 0:
                return
            await self._wait_for_change(left_ms)

    async def _write_batch(self) -> None:
        batch = self.claims.take_outbox()
        appended = await run_steps(
            self.log.append(batch), self._store, self._set_stalled
        )
        if isinstance(appended, Err):
            logging.warning(
                "event=shard_lost shard=%d epoch=%d reason=%s",
                self.log.shard,
                self.log.epoch,
                appended.err_value,
            )
            self.mark_lost()
            return
        self.claims.confirm(len(batch))
        self._notify_waiters()

    def _set_stalled(self, answered: bool) -> None:
        self.is_stalled = not answered

    def _refuse_in_outage(
        self, request: GrantRequest, keep_in_memory: bool
    ) -> ClaimResult | None:
        """Refuse a claim that needs a log record while the log is stalled.

        Otherwise each such claim would wait for the log, and the records
        would accumulate for the whole outage.
        """
        if not self.is_stalled or not self.claims.requires_log_write(request):
            return None
        is_held = self._lease.is_held(self._clock_ms())
        if keep_in_memory and request.idempotent and is_held:
            return None
        return self._not_run_result(Verdict.UNAVAILABLE)

    async def _result_of(
        self, request: GrantRequest, decision: Decision, keep_in_memory: bool
    ) -> ClaimResult:
        match decision.verdict:
            case Verdict.GRANTED:
                return await self._result_of_grant(
                    request, decision, keep_in_memory
                )
            case Verdict.QUARANTINED if decision.requires_lease:
                return self._not_run_result(Verdict.QUARANTINED)
            case Verdict.COMPLETED | Verdict.KEY_REUSED:
                if not await self._wait_until_confirmed(
                    decision, CONFIRM_TIMEOUT_MS
                ):
                    return self._unconfirmed_result(Verdict.UNKNOWN)
        return ClaimResult(
            decision.verdict, decision.attempt, answer=decision.answer
        )

    async def _result_of_grant(
        self, request: GrantRequest, decision: Decision, keep_in_memory: bool
    ) -> ClaimResult:
        wait_ms = CONFIRM_TIMEOUT_MS
        if keep_in_memory and request.idempotent:
            left_ms = self._lease.remaining_ms(self._clock_ms())
            wait_ms = max(wait_ms, min(request.deadline_ms, left_ms))
        if not await self._wait_until_confirmed(decision, wait_ms):
            verdict = self.claims.withdraw(
                request.key, decision.attempt, self._clock_ms()
            )
            self._wake_writer()
            self._notify_waiters()
            return self._unconfirmed_result(verdict)
        if not self.claims.mark_grant_sent(request.key, decision.attempt):
            return ClaimResult(Verdict.UNKNOWN)
        suspicion = self._evidence_store.suspicion(request.digest)
        claim = self.claims.claims.get(request.key)
        return ClaimResult(
            Verdict.GRANTED,
            decision.attempt,
            suspicion is Suspicion.SUSPECT,
            ran_before=claim is None or claim.may_have_run_before,
        )

    def _unconfirmed_result(self, verdict: Verdict) -> ClaimResult:
        if self.is_lost:
            return ClaimResult(Verdict.NOT_OWNER)
        if verdict is Verdict.UNAVAILABLE:
            return self._not_run_result(verdict)
        return ClaimResult(verdict, retry_after_ms=RETRY_AFTER_MS)

    def _not_run_result(self, verdict: Verdict) -> ClaimResult:
        """Report that the request was not run, or ``UNKNOWN`` without a lease.

        After the lease has lapsed a successor may have run the request.
        """
        if not self._lease.is_held(self._clock_ms()):
            verdict = Verdict.UNKNOWN
        return ClaimResult(verdict, retry_after_ms=RETRY_AFTER_MS)

    async def _wait_until_confirmed(
        self, decision: Decision, timeout_ms: int
    ) -> bool:
        end_ms = self._clock_ms() + timeout_ms
        while not self.claims.is_confirmed(decision):
            left_ms = end_ms - self._clock_ms()
            if self.is_lost or left_ms <= 0:
                return False
            await self._wait_for_change(left_ms)
        return not self.is_lost

    async def _wait_for_change(self, timeout_ms: float) -> None:
        try:
            async with asyncio.timeout(timeout_ms / 1_000):
                await self._state_changed.wait()
        except TimeoutError:
            return

    def _wake_writer(self) -> None:
        if self.claims.outbox:
            self._has_records.set()

    def _notify_waiters(self) -> None:
        self._state_changed.set()
        self._state_changed = asyncio.Event()
