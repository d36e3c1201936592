"""Memory of a shard: timers, retention, stored answers and the outbox."""

from __future__ import annotations

import heapq
from collections import OrderedDict, deque
from typing import TYPE_CHECKING, Final

from gooseberrypost.identity import MintedKey
from gooseberrypost.state.claim import (
    ATTEMPTS_PER_EPOCH,
    Claim,
    ClaimAsk,
    ClaimState,
    Decision,
)
from gooseberrypost.state.segments import CLAIM, LogRecord

if TYPE_CHECKING:
    from gooseberrypost.claims.client import StoredAnswer


MAX_BATCH_RECORDS: Final = 500
"""Records of one write; 500 of 400 bytes are a fifth of the largest value."""


class ClaimMemory:
    """Claims by key, with what is kept for how long."""

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
        self.confirmed = 0
        """Highest sequence known to be in the log."""
        self.stored_bytes = 0
        self._answers_bytes = answers_bytes
        self._retention_ms = retention_ms
        self._sequence = 0
        self._timers: list[tuple[int, str]] = []
        self._ended: deque[tuple[int, str, int]] = deque()
        self._answered: OrderedDict[str, int] = OrderedDict()
        self._held: dict[str, set[str]] = {}

    def take_outbox(self, limit: int = MAX_BATCH_RECORDS) -> list[LogRecord]:
        """Remove and return the records of the next batch."""
        batch, self.outbox = self.outbox[:limit], self.outbox[limit:]
        return batch

    @property
    def unconfirmed(self) -> int:
        """Records that are not known to be in the log."""
        return self._sequence - self.confirmed

    def needs_log(self, ask: ClaimAsk) -> bool:
        """Whether granting this call would need a write first."""
        claim = self.claims.get(ask.key)
        if claim is None:
            return MintedKey.parse(ask.key).is_err()
        return claim.state is ClaimState.ABANDONED and not claim.ran

    @property
    def holders(self) -> list[str]:
        """Processes that hold running claims."""
        return list(self._held)

    def confirm(self, records: int) -> None:
        """Note that the next ``records`` records are in the log."""
        self.confirmed += records

    def is_confirmed(self, decision: Decision) -> bool:
        """Whether a decision may be told."""
        return decision.needs <= self.confirmed

    def tick(self, now_ms: int) -> list[str]:
        """Orphan claims whose time is up and forget old ones.

        Returns the keys whose claims became orphaned.
        """
        orphaned = []
        while self._timers and self._timers[0][0] <= now_ms:
            _, key = heapq.heappop(self._timers)
            claim = self.claims.get(key)
            if claim is not None and self._is_due(claim, now_ms):
                self._end(claim, ClaimState.ORPHANED, now_ms)
                orphaned.append(key)
        self._forget(now_ms - self._retention_ms)
        return orphaned

    def _is_due(self, claim: Claim, now_ms: int) -> bool:
        if claim.state is not ClaimState.RUNNING:
            return False
        lost = claim.orphan_at_ms is not None and claim.orphan_at_ms <= now_ms
        return lost or claim.deadline_at_ms <= now_ms

    def _forget(self, before_ms: int) -> None:
        while self._ended and self._ended[0][0] <= before_ms:
            _, key, attempt = self._ended.popleft()
            claim = self.claims.get(key)
            if claim is None or claim.attempt != attempt:
                continue
            if claim.state is not ClaimState.RUNNING:
                self._evict(claim)
                del self.claims[key]

    def _run(self, claim: Claim, deadline_at_ms: int) -> None:
        claim.state = ClaimState.RUNNING
        claim.orphan_at_ms = None
        claim.deadline_at_ms = deadline_at_ms
        self._held.setdefault(claim.holder, set()).add(claim.key)
        self._schedule(claim, deadline_at_ms)

    def _schedule(self, claim: Claim, at_ms: int) -> None:
        heapq.heappush(self._timers, (at_ms, claim.key))

    def _end(self, claim: Claim, state: ClaimState, now_ms: int) -> None:
        claim.state = state
        held = self._held.get(claim.holder, set())
        held.discard(claim.key)
        if not held:
            self._held.pop(claim.holder, None)
        self._ended.append((now_ms, claim.key, claim.attempt))

    def _store(self, claim: Claim, answer: StoredAnswer) -> None:
        """Keep an answer; the oldest ones go when the memory is full."""
        if len(answer.body) > self._answers_bytes:
            return
        claim.answer = answer
        self._answered[claim.key] = len(answer.body)
        self.stored_bytes += len(answer.body)
        while self.stored_bytes > self._answers_bytes:
            self._evict(self.claims[next(iter(self._answered))])

    def _evict(self, claim: Claim) -> None:
        claim.answer = None
        self.stored_bytes -= self._answered.pop(claim.key, 0)

    def _running_of(self, holder: str) -> list[Claim]:
        claims = [self.claims[key] for key in self._held.get(holder, ())]
        return [claim for claim in claims if claim.holder == holder]

    def _next_attempt(self, attempt: int) -> int:
        return max(attempt, self.epoch * ATTEMPTS_PER_EPOCH) + 1

    def _log(self, record: LogRecord) -> int:
        """Add a record to the outbox and return its sequence."""
        self.outbox.append(record)
        self._sequence += 1
        return self._sequence

    def _log_claim(self, claim: Claim, now_ms: int) -> int:
        return self._log(
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
