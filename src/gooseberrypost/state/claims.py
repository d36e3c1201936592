"""Claim state machine of one shard in one epoch.

A claim is the right of one entry to run the request of an idempotency key and
to answer its caller. State transitions that the next owner of the shard must
receive are queued in ``outbox`` as log records with consecutive sequence
numbers. A ``Decision`` names the sequence number that must be
confirmed in the log before the decision may be sent.

Each epoch assigns attempt numbers from a range of its own. Two owners
therefore never assign the same number to two entries, and the numbers of a
later owner are higher.

    >>> shard = ShardClaims(shard=0, epoch=2)
    >>> digest = b"d" * 16
    >>> request = GrantRequest("booking-17", digest, False, deadline_ms=1_000)
    >>> granted = shard.claim(request, "e1/1", now_ms=0)
    >>> granted.verdict.name, shard.is_confirmed(granted)
    ('GRANTED', False)
    >>> shard.confirm(len(shard.take_outbox()))
    >>> shard.is_confirmed(granted)
    True
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from gooseberrypost.identity import MintedKey
from gooseberrypost.state._claim_table import ClaimTable
from gooseberrypost.state.claim import (
    ATTEMPTS_PER_EPOCH,
    UNKNOWN_CONTENT,
    Claim,
    ClaimState,
    Decision,
    GrantRequest,
    RenewedContent,
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

RECONNECT_GRACE_MS: Final = 500
"""Time in which a disconnected entry may reconnect and keep its claims."""


class ShardClaims(ClaimTable):
    """Decides on claims, resends, renewals and completions of one shard."""

    def mint(self, rng: random.Random) -> str:
        """Create an idempotency key that no other epoch grants."""
        return str(MintedKey.mint(self.shard, self.epoch, rng))

    def claim(
        self,
        request: GrantRequest,
        holder: str,
        now_ms: int,
        convicted: bool = False,
    ) -> Decision:
        """Decide on the first request or a resend of a key.

        ``convicted`` content has been found to crash backend servers and is
        not granted.
        """
        claim = self.claims.get(request.key)
        if claim is None:
            return self._decide_first_use(request, holder, now_ms, convicted)
        if claim.digest and claim.digest != request.digest:
            # The refusal says that this body was not run. That holds only
            # once the first use is in the log: otherwise a successor could
            # grant the key to this body.
            return Decision(
                Verdict.KEY_REUSED, required_sequence=claim.claim_sequence
            )
        match claim.state:
            case ClaimState.RUNNING:
                return Decision(Verdict.RUNNING, claim.attempt)
            case ClaimState.COMPLETED:
                return self._decide_replay(claim)
            case ClaimState.ORPHANED | ClaimState.ABANDONED:
                return self._decide_retry(
                    claim, request, holder, now_ms, convicted
                )
        return Decision(Verdict.UNKNOWN)

    def withdraw(self, key: str, attempt: int, now_ms: int) -> Verdict:
        """Cancel a grant that was not sent to its entry.

        Returns ``UNAVAILABLE`` when no attempt of the key has run in this
        epoch or an earlier one, otherwise ``UNKNOWN``.
        """
        claim = self.claims.get(key)
        if claim is None or claim.attempt != attempt:
            return Verdict.UNKNOWN
        if claim.state is not ClaimState.RUNNING:
            return Verdict.UNKNOWN
        if claim.may_have_run:
            self._end_attempt(claim, ClaimState.ORPHANED, now_ms)
            return Verdict.UNKNOWN
        self._end_attempt(claim, ClaimState.ABANDONED, now_ms)
        self._append_record(LogRecord(ABANDON, key, attempt, not_run=True))
        return Verdict.UNAVAILABLE

    def mark_grant_sent(self, key: str, attempt: int) -> bool:
        """Record that a grant is about to be sent; false when it is stale."""
        claim = self.claims.get(key)
        if claim is None or claim.attempt != attempt:
            return False
        if claim.state is not ClaimState.RUNNING:
            return False
        claim.may_have_run = True
        return True

    def renew(
        self,
        key: str,
        attempt: int,
        now_ms: int,
        content: RenewedContent = UNKNOWN_CONTENT,
    ) -> Decision:
        """Replace an attempt by the holder's next attempt.

        A repeated message, sent because the reply to the first was lost, gets
        the same attempt.

        A minted key that a former owner granted is unknown here. Its attempt
        is still the current one. The holder sends the digest of its content:
        without it, content that crashed two servers could be granted again
        and crash a third server.
        """
        claim = self.claims.get(key)
        if claim is None:
            return self._renew_adopted(key, attempt, now_ms, content)
        is_repeated = attempt != 0 and attempt == claim.renewed_from
        if not is_repeated and not self._is_current(claim, attempt):
            return Decision(Verdict.SUPERSEDED)
        if claim.state not in (ClaimState.RUNNING, ClaimState.ORPHANED):
            return Decision(Verdict.SUPERSEDED)
        if not is_repeated:
            self._replace_attempt(claim, attempt)
        claim.state = ClaimState.RUNNING
        claim.orphan_at_ms = None
        self._schedule_timer(claim, max(claim.deadline_at_ms, now_ms))
        return Decision(
            Verdict.GRANTED,
            claim.attempt,
            required_sequence=claim.claim_sequence,
        )

    def _renew_adopted(
        self, key: str, attempt: int, now_ms: int, content: RenewedContent
    ) -> Decision:
        """Renew the claim of a minted key that an earlier epoch granted.

        The new attempt is logged before it is granted. Otherwise the next
        owner would not accept its completion.
        """
        if not content.digest:
            return Decision(Verdict.UNKNOWN)
        claim = self._adopt_minted_key(key, attempt, now_ms, content)
        if claim is None:
            return Decision(Verdict.UNKNOWN)
        claim.renewed_from = attempt
        claim.attempt = self._next_attempt(attempt)
        claim.claim_sequence = self._append_claim_record(claim, now_ms)
        return Decision(
            Verdict.GRANTED,
            claim.attempt,
            required_sequence=claim.claim_sequence,
        )

    def _replace_attempt(self, claim: Claim, attempt: int) -> None:
        claim.renewed_from = attempt
        claim.attempt = self._next_attempt(attempt)
        if not claim.minted:
            self._append_record(LogRecord(RENEW, claim.key, claim.attempt))

    def complete(
        self, key: str, attempt: int, answer: StoredAnswer, now_ms: int
    ) -> Decision:
        """Record a complete answer; ``GRANTED`` permits sending it.

        The completion need not be in the log first where no successor would
        grant the key again: for non-idempotent calls and minted keys.

        A holder that got no reply to a renewal completes under the attempt
        before it.
        """
        claim = self.claims.get(key)
        if claim is None:
            claim = self._adopt_minted_key(key, attempt, now_ms)
        attempt = _renewed_attempt(claim, attempt)
        if claim is None or not self._is_current(claim, attempt):
            return Decision(Verdict.SUPERSEDED)
        if claim.state is ClaimState.COMPLETED:
            is_same = attempt == claim.attempt
            superseded = Decision(Verdict.SUPERSEDED)
            return self._completion_decision(claim) if is_same else superseded
        if claim.state not in (ClaimState.RUNNING, ClaimState.ORPHANED):
            return Decision(Verdict.SUPERSEDED)
        claim.attempt = attempt
        self._store_answer(claim, answer)
        self._end_attempt(claim, ClaimState.COMPLETED, now_ms)
        if not claim.minted or claim.replayed:
            claim.completion_sequence = self._append_record(
                LogRecord(COMPLETE, key, attempt)
            )
        return self._completion_decision(claim)

    def abandon(
        self, key: str, attempt: int, not_run: bool, now_ms: int
    ) -> None:
        """End an attempt without an answer; a stale attempt is ignored.

        ``not_run`` states that no attempt of this holder has run, renewed
        attempts included.
        """
        claim = self.claims.get(key)
        attempt = _renewed_attempt(claim, attempt)
        if claim is None or not self._is_current(claim, attempt):
            return
        if claim.state not in (ClaimState.RUNNING, ClaimState.ORPHANED):
            return
        claim.attempt = attempt
        claim.may_have_run = claim.may_have_run_before or not not_run
        self._end_attempt(claim, self._state_after_abandon(claim), now_ms)
        if not claim.minted:
            self._append_record(
                LogRecord(ABANDON, key, attempt, not_run=not_run)
            )

    def holder_disconnected(self, holder: str, now_ms: int) -> None:
        """Start the grace period: the entry's last connection closed."""
        for claim in self._running_claims(holder):
            claim.orphan_at_ms = now_ms + RECONNECT_GRACE_MS
            self._schedule_timer(claim, claim.orphan_at_ms)

    def holder_reconnected(self, holder: str) -> None:
        """End the grace period: the entry has opened a connection."""
        for claim in self._running_claims(holder):
            claim.orphan_at_ms = None

    def replay(self, records: Iterable[LogRecord], now_ms: int) -> None:
        """Restore the claims of earlier epochs from their log records."""
        for record in records:
            self._apply_record(record, now_ms)

    def _decide_first_use(
        self, request: GrantRequest, holder: str, now_ms: int, convicted: bool
    ) -> Decision:
        minted = MintedKey.parse(request.key).ok()
        if minted is not None and minted.epoch != self.epoch:
            return self._decide_other_epoch(minted)
        if convicted:
            return Decision(Verdict.QUARANTINED, requires_lease=minted is None)
        claim = Claim(request.key, request.digest, request.idempotent, holder)
        claim.parts = request.parts
        claim.minted = minted is not None
        claim.attempt = self._next_attempt(0)
        self.claims[request.key] = claim
        self._start_attempt(claim, now_ms + request.deadline_ms)
        if claim.minted:
            return Decision(Verdict.GRANTED, claim.attempt)
        claim.claim_sequence = self._append_claim_record(claim, now_ms)
        return Decision(
            Verdict.GRANTED,
            claim.attempt,
            required_sequence=claim.claim_sequence,
        )

    def _decide_other_epoch(self, minted: MintedKey) -> Decision:
        """Decide on a minted key that another epoch may have granted."""
        if minted.epoch > self.epoch:
            return Decision(Verdict.NOT_OWNER)
        return Decision(Verdict.UNKNOWN)

    def _decide_retry(
        self,
        claim: Claim,
        request: GrantRequest,
        holder: str,
        now_ms: int,
        convicted: bool,
    ) -> Decision:
        """Grant a new attempt of a key whose last attempt gave no answer.

        Returns ``UNKNOWN`` for a non-idempotent call that may have run and
        for a minted key that an earlier epoch granted.
        """
        if claim.minted and claim.replayed:
            return Decision(Verdict.UNKNOWN)
        if claim.may_have_run and (convicted or not claim.idempotent):
            return Decision(Verdict.UNKNOWN)
        if convicted:
            return Decision(Verdict.QUARANTINED, requires_lease=True)
        claim.attempt = self._next_attempt(claim.attempt)
        claim.holder = holder
        claim.digest = request.digest
        claim.parts = request.parts
        claim.may_have_run_before = claim.may_have_run
        self._start_attempt(claim, now_ms + request.deadline_ms)
        required_sequence = self._append_claim_record(claim, now_ms)
        claim.claim_sequence = claim.claim_sequence or required_sequence
        return Decision(
            Verdict.GRANTED, claim.attempt, required_sequence=required_sequence
        )

    def _decide_replay(self, claim: Claim) -> Decision:
        required_sequence = self._completion_decision(claim).required_sequence
        return Decision(
            Verdict.COMPLETED,
            claim.attempt,
            required_sequence,
            answer=claim.answer,
        )

    def _completion_decision(self, claim: Claim) -> Decision:
        durable = claim.idempotent and not claim.minted
        required_sequence = claim.completion_sequence if durable else 0
        return Decision(Verdict.GRANTED, claim.attempt, required_sequence)

    def _adopt_minted_key(
        self,
        key: str,
        attempt: int,
        now_ms: int,
        content: RenewedContent = UNKNOWN_CONTENT,
    ) -> Claim | None:
        """Restore the claim of a minted key that an earlier epoch granted.

        The first grant of a minted key is not logged, a second one always is.
        A key that is absent from the log was therefore granted to one entry
        only, and the message comes from that entry.
        """
        minted = MintedKey.parse(key).ok()
        if minted is None or minted.epoch >= self.epoch:
            return None
        if attempt // ATTEMPTS_PER_EPOCH != minted.epoch:
            return None
        claim = Claim(key, content.digest, True, content.holder)
        claim.parts = content.parts
        claim.minted = claim.replayed = claim.may_have_run = True
        claim.attempt = attempt
        self.claims[key] = claim
        self._start_attempt(claim, now_ms)
        return claim

    def _is_current(self, claim: Claim, attempt: int) -> bool:
        """Whether an attempt is the current one of a claim.

        Renewals do not wait for the log. A replayed claim may therefore lag
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

    def _state_after_abandon(self, claim: Claim) -> ClaimState:
        if claim.may_have_run and not claim.idempotent:
            return ClaimState.UNKNOWN
        return ClaimState.ABANDONED

    def _apply_record(self, record: LogRecord, now_ms: int) -> None:
        claim = self.claims.get(record.key)
        if record.kind == CLAIM:
            self._apply_claim(record, claim, now_ms)
        elif claim is None:
            self._apply_to_unknown_key(record, now_ms)
        elif record.attempt >= claim.attempt:
            self._apply_to_claim(record, claim, now_ms)

    def _apply_claim(
        self, record: LogRecord, former: Claim | None, now_ms: int
    ) -> None:
        digest = bytes.fromhex(record.digest)
        claim = Claim(record.key, digest, record.idempotent, record.holder)
        claim.minted = MintedKey.parse(record.key).is_ok()
        claim.attempt = record.attempt
        claim.replayed = claim.may_have_run = True
        claim.may_have_run_before = former is not None and former.may_have_run
        self.claims[record.key] = claim
        self._start_attempt(claim, now_ms + record.remaining_ms)

    def _apply_to_unknown_key(self, record: LogRecord, now_ms: int) -> None:
        if record.kind == COMPLETE:
            claim = Claim(record.key, b"", True, "")
            claim.minted = claim.replayed = claim.may_have_run = True
            claim.attempt = record.attempt
            self.claims[record.key] = claim
            self._end_attempt(claim, ClaimState.COMPLETED, now_ms)

    def _apply_to_claim(
        self, record: LogRecord, claim: Claim, now_ms: int
    ) -> None:
        if record.kind == RENEW:
            claim.renewed_from = claim.attempt
        claim.attempt = record.attempt
        if record.kind == COMPLETE:
            self._end_attempt(claim, ClaimState.COMPLETED, now_ms)
        elif record.kind == ABANDON:
            claim.may_have_run = (
                claim.may_have_run_before or not record.not_run
            )
            self._end_attempt(claim, self._state_after_abandon(claim), now_ms)


def _renewed_attempt(claim: Claim | None, attempt: int) -> int:
    """Return the number of the holder's attempt after its last renewal."""
    if claim is not None and attempt and attempt == claim.renewed_from:
        return claim.attempt
    return attempt
