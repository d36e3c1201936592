"""One shard held by this entry: its claims, its log and those who wait."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from absl import logging
from result import Err, Ok, Result

from gooseberrypost.claims._store import run_steps
from gooseberrypost.errors import Failure, Superseded, UnknownOutcome
from gooseberrypost.policy.quarantine import Suspicion
from gooseberrypost.state.claim import Decision, GrantRequest, Verdict
from gooseberrypost.state.claims import ShardClaims

if TYPE_CHECKING:
    from collections.abc import Callable

    from gooseberrypost.claims.client import StoredAnswer
    from gooseberrypost.claims.evidence import EvidenceKeeper
    from gooseberrypost.settings.entry import ClaimSettings
    from gooseberrypost.state.leases import HeldLease
    from gooseberrypost.state.shard_log import ShardLog
    from gooseberrypost.stores.keyvalue import KeyValueStore

CONFIRM_WAIT_MS: Final = 1_000
COMPLETE_WAIT_MS: Final = 2_000
RETRY_AFTER_MS: Final = 2_000


class NotOwner(Failure):
    """This process does not own the shard of the key."""

    code = "not_owner"


class CompletionUnconfirmed(UnknownOutcome):
    """The completion is not in the log yet; sending it again is safe."""

    code = "completion_unconfirmed"


@dataclass(slots=True, frozen=True)
class Judgement:
    """Reply to a claim or renewal."""

    verdict: Verdict
    attempt: int = 0
    suspect: bool = False
    answer: StoredAnswer | None = None
    retry_after_ms: int = 0
    ran_before: bool = False


class HeldShard:
    """Serves one shard from the end of its takeover until it is lost."""

    def __init__(
        self,
        cfg: ClaimSettings,
        log: ShardLog,
        store: KeyValueStore,
        lease: HeldLease,
        keeper: EvidenceKeeper,
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
        """The key-value service did not answer the last call."""
        self._linger_ms = cfg.linger_ms
        self._store = store
        self._lease = lease
        self._keeper = keeper
        self._clock_ms = clock_ms
        self._changed = asyncio.Event()
        self._has_records = asyncio.Event()

    async def write(self) -> None:
        """Append batches, one at a time, until the shard is lost."""
        while not self.is_lost:
            await self._has_records.wait()
            self._has_records.clear()
            while self.claims.outbox and not self.is_lost:
                # Also between two batches: without it eight shards at
                # 930 calls/s used the whole rate of the key-value service.
                await asyncio.sleep(self._linger_ms / 1_000)
                await self._write_batch()

    async def claim(
        self, ask: GrantRequest, holder: str, wait_ms: int, memory: bool
    ) -> Judgement:
        """Judge a claim; a resend waits for the first up to ``wait_ms``.

        ``memory`` keeps new idempotent calls in memory while nothing can be
        written, for as long as the lease is held. It does not grant them: a
        successor would not know that they ran, and would run and answer them
        again, or say that they were not run.
        """
        wait_until_ms = self._clock_ms() + wait_ms
        while not self.is_lost:
            refused = self._refuse_in_outage(ask, memory)
            if refused is not None:
                return refused
            suspicion = self._keeper.verdict(ask.digest)
            decision = self.claims.claim(
                ask,
                holder,
                self._clock_ms(),
                suspicion is Suspicion.CONVICTED,
            )
            self._wake_writer()
            left_ms = wait_until_ms - self._clock_ms()
            if decision.verdict is not Verdict.RUNNING or left_ms <= 0:
                return await self._tell(ask, decision, memory)
            await self._wait_for_change(left_ms)
        return Judgement(Verdict.NOT_OWNER)

    def renew(self, key: str, attempt: int) -> Judgement:
        """Replace an attempt by the next one."""
        if self.is_lost:
            return Judgement(Verdict.NOT_OWNER)
        claim = self.claims.claims.get(key)
        suspicion = Suspicion.CLEAN
        if claim is not None:
            suspicion = self._keeper.verdict(claim.digest)
        if suspicion is Suspicion.CONVICTED:
            return Judgement(Verdict.QUARANTINED)
        decision = self.claims.renew(key, attempt, self._clock_ms())
        self._wake_writer()
        return Judgement(
            decision.verdict,
            decision.attempt,
            suspicion is Suspicion.SUSPECT,
        )

    async def complete(
        self, key: str, attempt: int, answer: StoredAnswer
    ) -> Result[None, Failure]:
        """Record an answer; ``Ok`` when its final part may be sent."""
        if self.is_lost:
            return Err(NotOwner(f"shard {self.log.shard}"))
        decision = self.claims.complete(key, attempt, answer, self._clock_ms())
        self._wake_writer()
        if decision.verdict is Verdict.SUPERSEDED:
            return Err(Superseded(f"attempt {attempt} does not own {key}"))
        if not await self._confirmed(decision, COMPLETE_WAIT_MS):
            if self.is_lost:
                return Err(NotOwner(f"shard {self.log.shard}"))
            return Err(CompletionUnconfirmed(key))
        self._notify()
        return Ok(None)

    def abandon(self, key: str, attempt: int, not_run: bool) -> None:
        """End an attempt without an answer."""
        self.claims.abandon(key, attempt, not_run, self._clock_ms())
        self._wake_writer()
        self._notify()

    def holder_lost(self, holder: str) -> None:
        """Start the grace of an entry whose last connection closed."""
        self.claims.holder_disconnected(holder, self._clock_ms())

    def tick(self) -> None:
        """Orphan and forget what is due."""
        if self.claims.tick(self._clock_ms()):
            self._notify()

    def lose(self) -> None:
        """Stop granting; those who wait are sent to the successor."""
        self.is_lost = True
        self._has_records.set()
        self._notify()

    async def flushed(self, timeout_ms: int) -> None:
        """Wait until the log has every record, or for ``timeout_ms``."""
        end_ms = self._clock_ms() + timeout_ms
        while self.claims.unconfirmed and not self.is_lost:
            left_ms = end_ms - self._clock_ms()
            if left_ms <= 0:
                return
            await self._wait_for_change(left_ms)

    async def _write_batch(self) -> None:
        batch = self.claims.take_outbox()
        appended = await run_steps(
            self.log.append(batch), self._store, self._observe
        )
        if isinstance(appended, Err):
            logging.warning(
                "event=shard_lost shard=%d epoch=%d reason=%s",
                self.log.shard,
                self.log.epoch,
                appended.err_value,
            )
            self.lose()
            return
        self.claims.confirm(len(batch))
        self._notify()

    def _observe(self, reachable: bool) -> None:
        self.is_stalled = not reachable

    def _refuse_in_outage(
        self, ask: GrantRequest, memory: bool
    ) -> Judgement | None:
        """Refuse a new caller-made key at once while nothing can be written.

        Without this each would wait for the log, and its records would
        pile up for the whole outage.
        """
        if not self.is_stalled or not self.claims.requires_log_write(ask):
            return None
        is_held = self._lease.is_held(self._clock_ms())
        if memory and ask.idempotent and is_held:
            return None
        return self._not_run(Verdict.UNAVAILABLE)

    async def _tell(
        self, ask: GrantRequest, decision: Decision, memory: bool
    ) -> Judgement:
        match decision.verdict:
            case Verdict.GRANTED:
                return await self._tell_grant(ask, decision, memory)
            case Verdict.QUARANTINED if decision.requires_lease:
                return self._not_run(Verdict.QUARANTINED)
            case Verdict.COMPLETED | Verdict.KEY_REUSED:
                if not await self._confirmed(decision, CONFIRM_WAIT_MS):
                    return self._unconfirmed(Verdict.UNKNOWN)
        return Judgement(
            decision.verdict, decision.attempt, answer=decision.answer
        )

    async def _tell_grant(
        self, ask: GrantRequest, decision: Decision, memory: bool
    ) -> Judgement:
        wait_ms = CONFIRM_WAIT_MS
        if memory and ask.idempotent:
            left_ms = self._lease.remaining_ms(self._clock_ms())
            wait_ms = max(wait_ms, min(ask.deadline_ms, left_ms))
        if not await self._confirmed(decision, wait_ms):
            verdict = self.claims.withdraw(
                ask.key, decision.attempt, self._clock_ms()
            )
            self._wake_writer()
            self._notify()
            return self._unconfirmed(verdict)
        if not self.claims.mark_grant_sent(ask.key, decision.attempt):
            return Judgement(Verdict.UNKNOWN)
        suspicion = self._keeper.verdict(ask.digest)
        claim = self.claims.claims.get(ask.key)
        return Judgement(
            Verdict.GRANTED,
            decision.attempt,
            suspicion is Suspicion.SUSPECT,
            ran_before=claim is None or claim.may_have_run_before,
        )

    def _unconfirmed(self, verdict: Verdict) -> Judgement:
        if self.is_lost:
            return Judgement(Verdict.NOT_OWNER)
        if verdict is Verdict.UNAVAILABLE:
            return self._not_run(verdict)
        return Judgement(verdict, retry_after_ms=RETRY_AFTER_MS)

    def _not_run(self, verdict: Verdict) -> Judgement:
        """Say "not run" under a lease; a successor may have run the key."""
        if not self._lease.is_held(self._clock_ms()):
            verdict = Verdict.UNKNOWN
        return Judgement(verdict, retry_after_ms=RETRY_AFTER_MS)

    async def _confirmed(self, decision: Decision, timeout_ms: int) -> bool:
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
                await self._changed.wait()
        except TimeoutError:
            return

    def _wake_writer(self) -> None:
        if self.claims.outbox:
            self._has_records.set()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
