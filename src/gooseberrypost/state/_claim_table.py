"""In-memory claims of a shard, with timers, stored answers and outbox."""

from __future__ import annotations

import heapq
from collections import OrderedDict, deque
from typing import TYPE_CHECKING, Final

from gooseberrypost.identity import MintedKey
from gooseberrypost.state.claim import (
    ATTEMPTS_PER_EPOCH,
    Claim,
    ClaimState,
    Decision,
    GrantRequest,
)
from gooseberrypost.state.segments import CLAIM, LogRecord

if TYPE_CHECKING:
    from gooseberrypost.claims.client import StoredAnswer


MAX_BATCH_RECORDS: Final = 500
"""Limit on the records of one write to the key-value service.

500 records of 400 bytes take a fifth of the largest value that it accepts.
"""


class ClaimTable:
    """Claims by key, and the log records that are not written yet.

    Ended claims are kept for ``retention_ms``, and the bodies of their
    answers up to ``answers_bytes`` in total.
    """

    def __init__(
        self,
        shard: int,
        epoch: int,
        answers_bytes: int = 1024 * 1024,
        retention_ms: int = 3_600_000,
    ) -> None:
        self.shard = shard
        self.epoch = epoch
        self.claims: dict[str, Claim] = {}
        self.outbox: list[LogRecord] = []
        """Records that are not yet passed to the log, oldest first."""
        self.confirmed_sequence = 0
        """Highest sequence number that is known to be in the log."""
        self.stored_answers_bytes = 0
        self._max_answers_bytes = answers_bytes
        self._retention_ms = retention_ms
        self._last_sequence = 0
        self._timers: list[tuple[int, str]] = []
        """Heap of times at which a claim of a key is checked."""
        self._ended: deque[tuple[int, str, int]] = deque()
        """Time, key and attempt of each end, oldest first."""
        self._stored_sizes: OrderedDict[str, int] = OrderedDict()
        """Bytes of each stored answer by key, oldest first."""
        self._keys_by_holder: dict[str, set[str]] = {}

    def take_outbox(self, limit: int = MAX_BATCH_RECORDS) -> list[LogRecord]:
        """Remove and return the records of the next batch."""
        batch, self.outbox = self.outbox[:limit], self.outbox[limit:]
        return batch

    @property
    def unconfirmed(self) -> int:
        """Number of records that are not known to be in the log."""
        return self._last_sequence - self.confirmed_sequence

    def requires_log_write(self, request: GrantRequest) -> bool:
        """Whether a grant of this request must be logged before it is sent."""
        claim = self.claims.get(request.key)
        if claim is None:
            return MintedKey.parse(request.key).is_err()
        return claim.state is ClaimState.ABANDONED and not claim.may_have_run

    @property
    def holders(self) -> list[str]:
        """Entries that hold running claims."""
        return list(self._keys_by_holder)

    def confirm(self, records: int) -> None:
        """Mark the next ``records`` records as written to the log."""
        self.confirmed_sequence += records

    def is_confirmed(self, decision: Decision) -> bool:
        """Whether the log holds every record that a decision requires."""
        return decision.required_sequence <= self.confirmed_sequence

    def tick(self, now_ms: int) -> list[str]:
        """Orphan overdue claims and delete ended ones past their retention.

        A claim is overdue after its deadline, or when its holder has not
        reconnected within the grace period. Returns the keys that became
        orphaned.
        """
        orphaned = []
        while self._timers and self._timers[0][0] <= now_ms:
            _, key = heapq.heappop(self._timers)
            claim = self.claims.get(key)
            if claim is not None and self._is_due(claim, now_ms):
                self._end_attempt(claim, ClaimState.ORPHANED, now_ms)
                orphaned.append(key)
        self._delete_expired(now_ms - self._retention_ms)
        return orphaned

    def _is_due(self, claim: Claim, now_ms: int) -> bool:
        if claim.state is not ClaimState.RUNNING:
            return False
        lost = claim.orphan_at_ms is not None and claim.orphan_at_ms <= now_ms
        return lost or claim.deadline_at_ms <= now_ms

    def _delete_expired(self, before_ms: int) -> None:
        while self._ended and self._ended[0][0] <= before_ms:
            _, key, attempt = self._ended.popleft()
            claim = self.claims.get(key)
            if claim is None or claim.attempt != attempt:
                continue
            if claim.state is not ClaimState.RUNNING:
                self._evict_answer(claim)
                del self.claims[key]

    def _start_attempt(self, claim: Claim, deadline_at_ms: int) -> None:
        claim.state = ClaimState.RUNNING
        claim.renewed_from = 0
        claim.orphan_at_ms = None
        claim.deadline_at_ms = deadline_at_ms
        self._keys_by_holder.setdefault(claim.holder, set()).add(claim.key)
        self._schedule_timer(claim, deadline_at_ms)

    def _schedule_timer(self, claim: Claim, at_ms: int) -> None:
        heapq.heappush(self._timers, (at_ms, claim.key))

    def _end_attempt(
        self, claim: Claim, state: ClaimState, now_ms: int
    ) -> None:
        claim.state = state
        held = self._keys_by_holder.get(claim.holder, set())
        held.discard(claim.key)
        if not held:
            self._keys_by_holder.pop(claim.holder, None)
        self._ended.append((now_ms, claim.key, claim.attempt))

    def _store_answer(self, claim: Claim, answer: StoredAnswer) -> None:
        """Store an answer; the oldest are evicted when the limit is exceeded.

        An answer that exceeds the limit by itself is not stored.
        """
        if len(answer.body) > self._max_answers_bytes:
            return
        claim.answer = answer
        self._stored_sizes[claim.key] = len(answer.body)
        self.stored_answers_bytes += len(answer.body)
        while self.stored_answers_bytes > self._max_answers_bytes:
            self._evict_answer(self.claims[next(iter(self._stored_sizes))])

    def _evict_answer(self, claim: Claim) -> None:
        claim.answer = None
        self.stored_answers_bytes -= self._stored_sizes.pop(claim.key, 0)

    def _running_claims(self, holder: str) -> list[Claim]:
        claims = [
            self.claims[key] for key in self._keys_by_holder.get(holder, ())
        ]
        return [claim for claim in claims if claim.holder == holder]

    def _next_attempt(self, attempt: int) -> int:
        return max(attempt, self.epoch * ATTEMPTS_PER_EPOCH) + 1

    def _append_record(self, record: LogRecord) -> int:
        """Add a record to the outbox and return its sequence number."""
        self.outbox.append(record)
        self._last_sequence += 1
        return self._last_sequence

    def _append_claim_record(self, claim: Claim, now_ms: int) -> int:
        return self._append_record(
            LogRecord(
                CLAIM,
                claim.key,
                claim.attempt,
                claim.digest.hex(),
                claim.holder,
                claim.idempotent,
                claim.deadline_at_ms - now_ms,
            )
        )
