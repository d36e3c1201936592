"""Attempts an agent has seen, with the revocations that bar late arrivals.

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
    """Part of an attempt that one backend server runs."""

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


FIRST_STATE = {
    Phase.PREFILL: AttemptState.PREFILLING,
    Phase.DECODE: AttemptState.TRANSFERRING,
    Phase.CALL: AttemptState.CALLING,
}


@dataclass(slots=True)
class KeyRecord:
    """What is known of one key."""

    highest: int = 0
    barred: int = 0
    """This and lower attempts are refused."""
    started: int = 0
    """Highest attempt that was passed to the backend server."""
    states: dict[Phase, AttemptState] = field(default_factory=dict)
    """Phases of the highest attempt."""
    expires_ms: int = 0


class AttemptTable:
    """Highest attempt of each key; lower and revoked ones never start."""

    __slots__ = ("_records",)

    def __init__(self) -> None:
        self._records: dict[str, KeyRecord] = {}

    def __len__(self) -> int:
        return len(self._records)

    def state(self, attempt: Attempt, phase: Phase) -> AttemptState | None:
        """State of a phase; ``None`` when the attempt is not the current."""
        record = self._records.get(attempt.key)
        if record is None or attempt.number < record.highest:
            return None
        if attempt.number <= record.barred:
            return AttemptState.REVOKED
        if attempt.number > record.highest:
            return None
        return record.states.get(phase)

    def knows(self, key: str) -> bool:
        """Whether a record of the key is kept."""
        return key in self._records

    def has_started(self, key: str) -> bool:
        """Whether any attempt was passed to the backend server."""
        record = self._records.get(key)
        return record is not None and record.started > 0

    def check(
        self, attempt: Attempt, phase: Phase
    ) -> Result[None, StaleAttempt]:
        """Whether ``begin`` would permit the attempt; changes nothing."""
        failure = self._check(attempt, phase)
        return Ok(None) if failure is None else Err(failure)

    def reserve(
        self, attempt: Attempt, expires_ms: int
    ) -> Result[None, StaleAttempt]:
        """Note a reservation; a lower, revoked or used attempt is refused."""
        permitted = self.check(attempt, Phase.DECODE)
        if isinstance(permitted, Err):
            return permitted
        record = self._raise(attempt, expires_ms)
        record.states[Phase.DECODE] = AttemptState.RESERVED
        return Ok(None)

    def unreserve(self, attempt: Attempt) -> None:
        """Note that a reservation lapsed unused; it may be made again."""
        record = self._records.get(attempt.key)
        if self.state(attempt, Phase.DECODE) is AttemptState.RESERVED:
            assert record is not None
            del record.states[Phase.DECODE]

    def begin(
        self, attempt: Attempt, phase: Phase, expires_ms: int
    ) -> Result[None, StaleAttempt]:
        """Permit one execution of a phase, until the record expires."""
        permitted = self.check(attempt, phase)
        if isinstance(permitted, Err):
            return permitted
        record = self._raise(attempt, expires_ms)
        record.states[phase] = FIRST_STATE[phase]
        record.started = max(record.started, attempt.number)
        return Ok(None)

    def advance(
        self, attempt: Attempt, phase: Phase, state: AttemptState
    ) -> None:
        """Set the state of a running phase; others are left alone."""
        current = self.state(attempt, phase)
        if current not in (None, AttemptState.REVOKED, AttemptState.DONE):
            self._records[attempt.key].states[phase] = state

    def adopt(self, attempt: Attempt, expires_ms: int) -> None:
        """Note an attempt that a former agent process started."""
        record = self._raise(attempt, expires_ms)
        record.states[Phase.DECODE] = AttemptState.DECODING
        record.started = max(record.started, attempt.number)

    def revoke(self, attempt: Attempt, expires_ms: int) -> bool:
        """Bar this attempt and lower ones; returns whether none started.

        When a higher attempt has started, nothing is claimed of this one.
        """
        record = self._records.setdefault(attempt.key, KeyRecord())
        record.barred = max(record.barred, attempt.number)
        record.highest = max(record.highest, attempt.number)
        record.expires_ms = max(record.expires_ms, expires_ms)
        return record.started < attempt.number

    def expire(self, now_ms: int) -> int:
        """Forget records past their time; returns how many."""
        gone = [
            key
            for key, record in self._records.items()
            if record.expires_ms <= now_ms and not _is_running(record)
        ]
        for key in gone:
            del self._records[key]
        return len(gone)

    def _check(self, attempt: Attempt, phase: Phase) -> StaleAttempt | None:
        record = self._records.get(attempt.key)
        if record is None:
            return None
        if attempt.number <= record.barred:
            return StaleAttempt(f"attempt {attempt.number} was revoked")
        if attempt.number < record.highest:
            return StaleAttempt(f"attempt {record.highest} is known")
        if attempt.number > record.highest:
            return None
        state = record.states.get(phase)
        if state not in (None, AttemptState.RESERVED):
            return StaleAttempt(f"attempt {attempt.number} is {state}")
        return None

    def _raise(self, attempt: Attempt, expires_ms: int) -> KeyRecord:
        record = self._records.setdefault(attempt.key, KeyRecord())
        if attempt.number > record.highest:
            record.highest = attempt.number
            record.states = {}
        record.expires_ms = max(record.expires_ms, expires_ms)
        return record


IDLE_STATES = (AttemptState.RESERVED, AttemptState.DONE)


def _is_running(record: KeyRecord) -> bool:
    return record.barred < record.highest and any(
        state not in IDLE_STATES for state in record.states.values()
    )
