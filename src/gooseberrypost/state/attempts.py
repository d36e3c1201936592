"""Attempts that an agent has received or that were revoked, by key.

A message that arrives late, after its attempt was replaced or revoked, is
refused as a stale attempt.

>>> table = AttemptTable()
>>> table.revoke(Attempt("k", 2), expires_ms=1_000)
True
>>> table.begin(Attempt("k", 2), Phase.CALL, 1_000).unwrap_err().code
'stale_attempt'
>>> table.begin(Attempt("k", 3), Phase.CALL, 1_000).is_ok()
True
>>> table.revoke(Attempt("k", 3), expires_ms=1_000)
False
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from result import Err, Ok, Result

from gooseberrypost.errors import StaleAttempt
from gooseberrypost.identity import Attempt


class Phase(StrEnum):
    """Part of an attempt that runs on one backend server."""

    PREFILL = "prefill"
    DECODE = "decode"
    CALL = "call"


class AttemptState(StrEnum):
    """Progress of a phase."""

    RESERVED = "reserved"
    PREFILLING = "prefilling"
    TRANSFERRING = "transferring"
    DECODING = "decoding"
    CALLING = "calling"
    DONE = "done"
    REVOKED = "revoked"


INITIAL_STATE = {
    Phase.PREFILL: AttemptState.PREFILLING,
    Phase.DECODE: AttemptState.TRANSFERRING,
    Phase.CALL: AttemptState.CALLING,
}


@dataclass(slots=True)
class KeyRecord:
    """Record of one idempotency key."""

    highest_attempt: int = 0
    """Highest attempt received, started or not."""
    revoked_up_to: int = 0
    """This attempt and all lower ones are refused."""
    highest_started: int = 0
    """Highest attempt that was passed to the backend server."""
    states: dict[Phase, AttemptState] = field(default_factory=dict)
    """State of each phase of the highest attempt."""
    expires_ms: int = 0


class AttemptTable:
    """Highest attempt of each key; lower and revoked attempts never start."""

    __slots__ = ("_records",)

    def __init__(self) -> None:
        self._records: dict[str, KeyRecord] = {}

    def __len__(self) -> int:
        return len(self._records)

    def state(self, attempt: Attempt, phase: Phase) -> AttemptState | None:
        """State of a phase; ``None`` if the attempt is not the highest one."""
        record = self._records.get(attempt.key)
        if record is None or attempt.number < record.highest_attempt:
            return None
        if attempt.number <= record.revoked_up_to:
            return AttemptState.REVOKED
        if attempt.number > record.highest_attempt:
            return None
        return record.states.get(phase)

    def has_record(self, key: str) -> bool:
        """Whether a record of the key is kept."""
        return key in self._records

    def has_started(self, key: str) -> bool:
        """Whether any attempt was passed to the backend server."""
        record = self._records.get(key)
        return record is not None and record.highest_started > 0

    def check(
        self, attempt: Attempt, phase: Phase
    ) -> Result[None, StaleAttempt]:
        """Check whether ``begin`` would accept the attempt."""
        failure = self._check(attempt, phase)
        return Ok(None) if failure is None else Err(failure)

    def reserve(
        self, attempt: Attempt, expires_ms: int
    ) -> Result[None, StaleAttempt]:
        """Record a reservation of the decode phase.

        A lower, revoked or started attempt is refused.
        """
        permitted = self.check(attempt, Phase.DECODE)
        if isinstance(permitted, Err):
            return permitted
        record = self._raise_highest(attempt, expires_ms)
        record.states[Phase.DECODE] = AttemptState.RESERVED
        return Ok(None)

    def unreserve(self, attempt: Attempt) -> None:
        """Remove an unused reservation; the attempt may reserve again."""
        record = self._records.get(attempt.key)
        if self.state(attempt, Phase.DECODE) is AttemptState.RESERVED:
            assert record is not None
            del record.states[Phase.DECODE]

    def begin(
        self, attempt: Attempt, phase: Phase, expires_ms: int
    ) -> Result[None, StaleAttempt]:
        """Start a phase; it is accepted once until the record expires."""
        permitted = self.check(attempt, phase)
        if isinstance(permitted, Err):
            return permitted
        record = self._raise_highest(attempt, expires_ms)
        record.states[phase] = INITIAL_STATE[phase]
        record.highest_started = max(record.highest_started, attempt.number)
        return Ok(None)

    def advance(
        self, attempt: Attempt, phase: Phase, state: AttemptState
    ) -> None:
        """Set the state of a phase unless it is unknown, revoked or done."""
        current = self.state(attempt, phase)
        if current not in (None, AttemptState.REVOKED, AttemptState.DONE):
            self._records[attempt.key].states[phase] = state

    def adopt(self, attempt: Attempt, expires_ms: int) -> None:
        """Record a decode that a previous agent process started."""
        record = self._raise_highest(attempt, expires_ms)
        record.states[Phase.DECODE] = AttemptState.DECODING
        record.highest_started = max(record.highest_started, attempt.number)

    def revoke(self, attempt: Attempt, expires_ms: int) -> bool:
        """Refuse this and lower attempts from now on.

        Returns true if neither this attempt nor a higher one has started. If a
        higher one has, it is unknown whether this one has started too, so the
        result is false.
        """
        record = self._records.setdefault(attempt.key, KeyRecord())
        record.revoked_up_to = max(record.revoked_up_to, attempt.number)
        record.highest_attempt = max(record.highest_attempt, attempt.number)
        record.expires_ms = max(record.expires_ms, expires_ms)
        return record.highest_started < attempt.number

    def expire(self, now_ms: int) -> int:
        """Delete expired records of idle keys; returns how many."""
        expired = [
            key
            for key, record in self._records.items()
            if record.expires_ms <= now_ms and not _is_running(record)
        ]
        for key in expired:
            del self._records[key]
        return len(expired)

    def _check(self, attempt: Attempt, phase: Phase) -> StaleAttempt | None:
        record = self._records.get(attempt.key)
        if record is None:
            return None
        if attempt.number <= record.revoked_up_to:
            return StaleAttempt(f"attempt {attempt.number} was revoked")
        if attempt.number < record.highest_attempt:
            return StaleAttempt(
                f"replaced by attempt {record.highest_attempt}"
            )
        if attempt.number > record.highest_attempt:
            return None
        state = record.states.get(phase)
        if state not in (None, AttemptState.RESERVED):
            return StaleAttempt(f"attempt {attempt.number} is {state}")
        return None

    def _raise_highest(self, attempt: Attempt, expires_ms: int) -> KeyRecord:
        record = self._records.setdefault(attempt.key, KeyRecord())
        if attempt.number > record.highest_attempt:
            record.highest_attempt = attempt.number
            record.states = {}
        record.expires_ms = max(record.expires_ms, expires_ms)
        return record


IDLE_STATES = (AttemptState.RESERVED, AttemptState.DONE)


def _is_running(record: KeyRecord) -> bool:
    return record.revoked_up_to < record.highest_attempt and any(
        state not in IDLE_STATES for state in record.states.values()
    )
