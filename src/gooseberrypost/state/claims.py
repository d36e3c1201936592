"""Claims of one shard under one epoch: who may run and answer each key.

Every change that a successor must know goes to ``outbox``; its place in that
order is a sequence number. A ``Decision`` names the sequence that must be
confirmed in the log before the decision may be told to anybody.

Attempt numbers are drawn from a range of the epoch, so that two owners never
give the same number to two entries, and a later owner's numbers are higher.

    >>> shard = ShardClaims(shard=0, epoch=2)
    >>> ask = ClaimAsk("booking-17", b"d" * 16, False, deadline_ms=1_000)
    >>> granted = shard.claim(ask, "e1/1", now_ms=0)
    >>> granted.verdict.name, shard.is_confirmed(granted)
    ('GRANTED', False)
    >>> shard.confirm(len(shard.take_outbox()))
    >>> shard.is_confirmed(granted)
    True
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from gooseberrypost.identity import MintedKey
from gooseberrypost.state._claim_memory import ClaimMemory
from gooseberrypost.state.claim import (
    ATTEMPTS_PER_EPOCH,
    Claim,
    ClaimAsk,
    ClaimState,
    Decision,
    Verdict,
)
from gooseberrypost.state.segments import (
    ABANDON,
    CLAIM,
    COMPLETE,
    RENEW,
    LogRecord,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from gooseberrypost.claims.client import StoredAnswer

ORPHAN_GRACE_MS: Final = 500
"""Time for an entry whose connection broke to open another one."""


class ShardClaims(ClaimMemory):
    """Decides claims, completions and resends of one shard."""

    def mint(self, rng: random.Random) -> str:
        """Make a key that this epoch judges."""
        return str(MintedKey.mint(self.shard, self.epoch, rng))

    def claim(
        self,
        ask: ClaimAsk,
        holder: str,
        now_ms: int,
        convicted: bool = False,
    ) -> Decision:
        """Decide a first call or a resend; convicted content is not run."""
        claim = self.claims.get(ask.key)
        if claim is None:
            return self._first(ask, holder, now_ms, convicted)
        if claim.digest and claim.digest != ask.digest:
            # Only a durable first use proves that a successor will not
            # grant the key to this other body.
            return Decision(Verdict.KEY_REUSED, needs=claim.first_sequence)
        match claim.state:
            case ClaimState.RUNNING:
                return Decision(Verdict.RUNNING, claim.attempt)
            case ClaimState.COMPLETED:
                return self._replay(claim)
            case ClaimState.ORPHANED | ClaimState.ABANDONED:
                return self._again(claim, ask, holder, now_ms, convicted)
        return Decision(Verdict.UNKNOWN)

    def withdraw(self, key: str, attempt: int, now_ms: int) -> Verdict:
        """Take back a grant that was not told to anybody.

        ``UNAVAILABLE`` states that no attempt of the key has run under this
        epoch or one before it; otherwise ``UNKNOWN``.
        """
        claim = self.claims.get(key)
        if claim is None or claim.attempt != attempt:
            return Verdict.UNKNOWN
        if claim.state is not ClaimState.RUNNING:
            return Verdict.UNKNOWN
        if claim.ran:
            self._end(claim, ClaimState.ORPHANED, now_ms)
            return Verdict.UNKNOWN
        self._end(claim, ClaimState.ABANDONED, now_ms)
        self._log(LogRecord(ABANDON, key, attempt, not_run=True))
        return Verdict.UNAVAILABLE

    def tell_grant(self, key: str, attempt: int) -> bool:
        """Note that a grant is about to be told; false when it is stale."""
        claim = self.claims.get(key)
        if claim is None or claim.attempt != attempt:
            return False
        if claim.state is not ClaimState.RUNNING:
            return False
        claim.ran = True
        return True

    def renew(self, key: str, attempt: int, now_ms: int) -> Decision:
        """Replace an attempt by the next one of the same holder.

        A minted key of a lost owner is not known here. Nobody replaced its
        attempt, but its digest is lost too, and without it content that
        crashed two servers would be granted a third.
        """
        claim = self.claims.get(key)
        if claim is None:
            return Decision(Verdict.UNKNOWN)
        if not self._is_current(claim, attempt):
            return Decision(Verdict.SUPERSEDED)
        if claim.state not in (ClaimState.RUNNING, ClaimState.ORPHANED):
            return Decision(Verdict.SUPERSEDED)
        claim.attempt = self._next_attempt(attempt)
        claim.state = ClaimState.RUNNING
        claim.orphan_at_ms = None
        if not claim.minted:
            self._log(LogRecord(RENEW, key, claim.attempt))
        self._schedule(claim, max(claim.deadline_at_ms, now_ms))
        return Decision(Verdict.GRANTED, claim.attempt)

    def complete(
        self, key: str, attempt: int, answer: StoredAnswer, now_ms: int
    ) -> Decision:
        """Record a whole answer; granted when it may be sent.

        A completion need not be durable where no successor grants the key
        again: keys of non-idempotent calls and minted keys.
        """
        claim = self.claims.get(key)
        if claim is None:
            claim = self._adopt_minted(key, attempt, now_ms)
        if claim is None or not self._is_current(claim, attempt):
            return Decision(Verdict.SUPERSEDED)
        if claim.state is ClaimState.COMPLETED:
            is_same = attempt == claim.attempt
            superseded = Decision(Verdict.SUPERSEDED)
            return self._completed(claim) if is_same else superseded
        if claim.state not in (ClaimState.RUNNING, ClaimState.ORPHANED):
            return Decision(Verdict.SUPERSEDED)
        claim.attempt = attempt
        self._store(claim, answer)
        self._end(claim, ClaimState.COMPLETED, now_ms)
        if not claim.minted or claim.replayed:
            claim.end_sequence = self._log(LogRecord(COMPLETE, key, attempt))
        return self._completed(claim)

    def abandon(
        self, key: str, attempt: int, not_run: bool, now_ms: int
    ) -> None:
        """End an attempt without an answer; a stale attempt is ignored.

        ``not_run`` covers every attempt of the holder, renewed ones too.
        """
        claim = self.claims.get(key)
        if claim is None or not self._is_current(claim, attempt):
            return
        if claim.state not in (ClaimState.RUNNING, ClaimState.ORPHANED):
            return
        claim.attempt = attempt
        claim.ran = claim.ran_before or not not_run
        self._end(claim, self._state_after(claim), now_ms)
        if not claim.minted:
            self._log(LogRecord(ABANDON, key, attempt, not_run=not_run))

    def holder_lost(self, holder: str, now_ms: int) -> None:
        """Note that the last connection of an entry closed."""
        for claim in self._running_of(holder):
            claim.orphan_at_ms = now_ms + ORPHAN_GRACE_MS
            self._schedule(claim, claim.orphan_at_ms)

    def holder_back(self, holder: str) -> None:
        """Note a new connection of an entry within the grace."""
        for claim in self._running_of(holder):
            claim.orphan_at_ms = None

    def replay(self, records: Iterable[LogRecord], now_ms: int) -> None:
        """Rebuild the claims of former epochs from their log."""
        for record in records:
            self._apply(record, now_ms)

    def _first(
        self, ask: ClaimAsk, holder: str, now_ms: int, convicted: bool
    ) -> Decision:
        minted = MintedKey.parse(ask.key).ok()
        if minted is not None and minted.epoch != self.epoch:
            return self._judge_other_epoch(minted)
        if convicted:
            return Decision(Verdict.QUARANTINED, needs_lease=minted is None)
        claim = Claim(ask.key, ask.digest, ask.idempotent, holder)
        claim.minted = minted is not None
        claim.attempt = self._next_attempt(0)
        self.claims[ask.key] = claim
        self._run(claim, now_ms + ask.deadline_ms)
        if claim.minted:
            return Decision(Verdict.GRANTED, claim.attempt)
        claim.first_sequence = self._log_claim(claim, now_ms)
        return Decision(
            Verdict.GRANTED, claim.attempt, needs=claim.first_sequence
        )

    def _judge_other_epoch(self, minted: MintedKey) -> Decision:
        """Judge a key that another epoch's owner may have granted."""
        if minted.epoch > self.epoch:
            return Decision(Verdict.NOT_OWNER)
        return Decision(Verdict.UNKNOWN)

    def _again(
        self,
        claim: Claim,
        ask: ClaimAsk,
        holder: str,
        now_ms: int,
        convicted: bool,
    ) -> Decision:
        """Grant a higher attempt where the last one cannot have counted."""
        if claim.minted and claim.replayed:
            return Decision(Verdict.UNKNOWN)
        if claim.ran and (convicted or not claim.idempotent):
            return Decision(Verdict.UNKNOWN)
        if convicted:
            return Decision(Verdict.QUARANTINED, needs_lease=True)
        claim.attempt = self._next_attempt(claim.attempt)
        claim.holder = holder
        claim.digest = ask.digest
        claim.ran_before = claim.ran
        self._run(claim, now_ms + ask.deadline_ms)
        needs = self._log_claim(claim, now_ms)
        claim.first_sequence = claim.first_sequence or needs
        return Decision(Verdict.GRANTED, claim.attempt, needs=needs)

    def _replay(self, claim: Claim) -> Decision:
        needs = self._completed(claim).needs
        return Decision(
            Verdict.COMPLETED, claim.attempt, needs, answer=claim.answer
        )

    def _completed(self, claim: Claim) -> Decision:
        durable = claim.idempotent and not claim.minted
        needs = claim.end_sequence if durable else 0
        return Decision(Verdict.GRANTED, claim.attempt, needs)

    def _adopt_minted(
        self, key: str, attempt: int, now_ms: int
    ) -> Claim | None:
        """Accept the answer of a minted key whose epoch is lost.

        A second grant of a minted key is always logged. Hence a key absent
        from the log was granted to one entry only, and this is its answer.
        """
        minted = MintedKey.parse(key).ok()
        if minted is None or minted.epoch >= self.epoch:
            return None
        if attempt // ATTEMPTS_PER_EPOCH != minted.epoch:
            return None
        claim = Claim(key, b"", True, "")
        claim.minted = claim.replayed = claim.ran = True
        claim.attempt = attempt
        self.claims[key] = claim
        self._run(claim, now_ms)
        return claim

    def _is_current(self, claim: Claim, attempt: int) -> bool:
        """Whether an attempt owns the claim.

        Renewals are logged without waiting, so a replayed claim may lag
        behind its holder's attempt by renewals of the same epoch.
        """
        if attempt == claim.attempt:
            return True
        same_epoch = (
            attempt // ATTEMPTS_PER_EPOCH
            == claim.attempt // ATTEMPTS_PER_EPOCH
            < self.epoch
        )
        return claim.replayed and same_epoch and attempt > claim.attempt

    def _state_after(self, claim: Claim) -> ClaimState:
        if claim.ran and not claim.idempotent:
            return ClaimState.UNKNOWN
        return ClaimState.ABANDONED

    def _apply(self, record: LogRecord, now_ms: int) -> None:
        claim = self.claims.get(record.key)
        if record.kind == CLAIM:
            self._apply_claim(record, claim, now_ms)
        elif claim is None:
            self._apply_unclaimed(record, now_ms)
        elif record.attempt >= claim.attempt:
            self._apply_change(record, claim, now_ms)

    def _apply_claim(
        self, record: LogRecord, former: Claim | None, now_ms: int
    ) -> None:
        digest = bytes.fromhex(record.digest)
        claim = Claim(record.key, digest, record.idempotent, record.holder)
        claim.minted = MintedKey.parse(record.key).is_ok()
        claim.attempt = record.attempt
        claim.replayed = claim.ran = True
        claim.ran_before = former is not None and former.ran
        self.claims[record.key] = claim
        self._run(claim, now_ms + record.remaining_ms)

    def _apply_unclaimed(self, record: LogRecord, now_ms: int) -> None:
        if record.kind == COMPLETE:
            claim = Claim(record.key, b"", True, "")
            claim.minted = claim.replayed = claim.ran = True
            claim.attempt = record.attempt
            self.claims[record.key] = claim
            self._end(claim, ClaimState.COMPLETED, now_ms)

    def _apply_change(
        self, record: LogRecord, claim: Claim, now_ms: int
    ) -> None:
        claim.attempt = record.attempt
        if record.kind == COMPLETE:
            self._end(claim, ClaimState.COMPLETED, now_ms)
        elif record.kind == ABANDON:
            claim.ran = claim.ran_before or not record.not_run
            self._end(claim, self._state_after(claim), now_ms)
