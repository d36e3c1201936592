"""Attempt table: revoked and replaced attempts."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from result import Ok

from gooseberrypost.identity import Attempt
from gooseberrypost.state.attempts import (
    INITIAL_STATE,
    AttemptState,
    AttemptTable,
    Phase,
)

KEYS = st.sampled_from("ab")
NUMBERS = st.integers(1, 4)
RETENTION_MS = 50


class AttemptsMachine(RuleBasedStateMachine):
    """Compares the table with a record of all accepted operations."""

    def __init__(self):
        super().__init__()
        self.table = AttemptTable()
        self.now_ms = 0
        self.starts: set[tuple[Attempt, Phase]] = set()
        self.highest: dict[str, int] = {}
        self.revoked_up_to: dict[str, int] = {}
        self.extended_ms: dict[str, int] = {}

    def extend_record(self, key):
        self.extended_ms[key] = self.now_ms
        return self.now_ms + RETENTION_MS

    def record_highest(self, attempt):
        known = self.highest.get(attempt.key, 0)
        self.highest[attempt.key] = max(known, attempt.number)

    @rule(key=KEYS, number=NUMBERS, phase=st.sampled_from(Phase))
    def begin(self, key, number, phase):
        attempt = Attempt(key, number)
        begun = self.table.begin(attempt, phase, self.now_ms + RETENTION_MS)
        permitted = (
            number > self.revoked_up_to.get(key, 0)
            and number >= self.highest.get(key, 0)
            and (attempt, phase) not in self.starts
        )
        assert isinstance(begun, Ok) == permitted
        if permitted:
            self.extend_record(key)
            self.record_highest(attempt)
            self.starts.add((attempt, phase))

    @rule(key=KEYS, number=NUMBERS)
    def reserve(self, key, number):
        attempt = Attempt(key, number)
        reserved = self.table.reserve(attempt, self.now_ms + RETENTION_MS)
        if isinstance(reserved, Ok):
            assert number > self.revoked_up_to.get(key, 0)
            assert number >= self.highest.get(key, 0)
            self.extend_record(key)
            self.record_highest(attempt)

    @rule(key=KEYS, number=NUMBERS)
    def unreserve(self, key, number):
        self.table.unreserve(Attempt(key, number))

    @rule(key=KEYS, number=NUMBERS, phase=st.sampled_from(Phase))
    def finish(self, key, number, phase):
        attempt = Attempt(key, number)
        if self.table.state(attempt, phase) is INITIAL_STATE[phase]:
            self.table.advance(attempt, phase, AttemptState.DONE)
            assert self.table.state(attempt, phase) is AttemptState.DONE

    @rule(key=KEYS, number=NUMBERS)
    def revoke(self, key, number):
        never_started = self.table.revoke(
            Attempt(key, number), self.extend_record(key)
        )
        started = max(
            (a.number for a, _ in self.starts if a.key == key), default=0
        )
        assert never_started == (started < number)
        self.record_highest(Attempt(key, number))
        self.revoked_up_to[key] = max(self.revoked_up_to.get(key, 0), number)

    @rule(elapsed_ms=st.integers(0, 30))
    def expire(self, elapsed_ms):
        self.now_ms += elapsed_ms
        before = len(self.table)
        gone = self.table.expire(self.now_ms)
        assert len(self.table) == before - gone
        for key, extended_ms in list(self.extended_ms.items()):
            unknown = not self.table.has_record(key)
            assert not unknown or self.now_ms >= extended_ms + RETENTION_MS
            if unknown:
                self.delete_key(key)

    def delete_key(self, key):
        self.starts = {s for s in self.starts if s[0].key != key}
        for known in (self.highest, self.revoked_up_to, self.extended_ms):
            known.pop(key, None)

    @invariant()
    def revoked_attempts_never_run(self):
        for key, revoked_up_to in self.revoked_up_to.items():
            for phase in Phase:
                state = self.table.state(Attempt(key, revoked_up_to), phase)
                assert state in (None, AttemptState.REVOKED)


test_table_agrees_with_the_history = AttemptsMachine.TestCase
test_table_agrees_with_the_history.settings = settings(
    max_examples=100, stateful_step_count=30
)
