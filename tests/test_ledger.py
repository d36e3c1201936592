"""Capacity ledger: slots, memory pieces and the import link."""

from __future__ import annotations

import itertools

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    invariant,
    rule,
)
from result import Ok

from gooseberrypost.identity import Attempt
from gooseberrypost.state.ledger import Ledger, ReservationRequest

SLOTS, PIECES, RATE = 3, 10, 1_000
OWNERS = st.integers(1, 3)
HOLDERS = st.builds(Attempt, st.sampled_from("abcde"), st.integers(1, 2))


class LedgerMachine(RuleBasedStateMachine):
    """Compares the ledger with the allocations granted to each holder."""

    grants = Bundle("grants")

    def __init__(self):
        super().__init__()
        self.ledger = Ledger(SLOTS, PIECES, RATE)
        self.now_ms = 0
        self.held = {}
        self.without_slot = set()

    def slots(self):
        return len(self.held.keys() - self.without_slot)

    @rule(
        target=grants,
        holder=HOLDERS,
        owner=OWNERS,
        pieces=st.sampled_from((0, 1, 1, 2, 2, 3, 5, 11, -1)),
        ttl_ms=st.sampled_from((5, 50, 500)),
        suspect=st.booleans(),
        transfer_kb=st.integers(0, 40),
        expected_start_ms=st.integers(0, 40),
    )
    def reserve(self, holder, **fields):
        known = holder in self.held
        request = ReservationRequest(holder, **fields)
        granted = self.ledger.reserve(request, self.now_ms)
        used = sum(pieces for pieces, _ in self.held.values())
        suspects = sum(suspect for _, suspect in self.held.values())
        fits = self.slots() < SLOTS and 0 <= fields["pieces"] <= PIECES - used
        no_other_suspect = not (fields["suspect"] and suspects)
        assert isinstance(granted, Ok) == (
            known or (fits and no_other_suspect)
        )
        if isinstance(granted, Ok):
            if not known:
                self.without_slot.discard(holder)
                self.held[holder] = (fields["pieces"], fields["suspect"])
            return granted.ok_value
        return None

    @rule(grant=grants)
    def start(self, grant):
        if grant is None:
            return
        held = self.ledger.find(grant.holder)
        current = held is grant and not grant.held_by_server
        started = self.ledger.start(grant.number, grant.holder, self.now_ms)
        lapsed = grant.expires_ms <= self.now_ms
        assert isinstance(started, Ok) == (current and not lapsed)
        if current and lapsed:
            del self.held[grant.holder]

    @rule(grant=grants, life_ms=st.integers(1, 50))
    def finish_prefill(self, grant, life_ms):
        if grant is None or self.ledger.find(grant.holder) is not grant:
            return
        if grant.running:
            self.ledger.release_slot(grant.holder, self.now_ms + life_ms)
            self.without_slot.add(grant.holder)

    @rule(holder=HOLDERS)
    def release(self, holder):
        assert self.ledger.release(holder) == (holder in self.held)
        self.held.pop(holder, None)
        assert self.ledger.find(holder) is None

    @rule(owner=OWNERS)
    def disconnect(self, owner):
        for holder in self.ledger.release_reserved(owner):
            del self.held[holder]
        assert not any(
            h.owner == owner and not h.held_by_server
            for h in self.ledger.allocations
        )

    @rule(elapsed_ms=st.integers(0, 60))
    def expire(self, elapsed_ms):
        self.now_ms += elapsed_ms
        for holder in self.ledger.expire(self.now_ms):
            del self.held[holder]
        assert all(
            h.running or h.expires_ms > self.now_ms
            for h in self.ledger.allocations
        )

    @invariant()
    def capacity_is_never_exceeded(self):
        assert self.ledger.slots_used == self.slots() <= SLOTS
        used = sum(pieces for pieces, _ in self.held.values())
        assert self.ledger.pieces_used == used <= PIECES
        assert self.ledger.suspects <= 1

    @invariant()
    def transfers_never_overlap(self):
        booked = sorted(
            h.booking for h in self.ledger.allocations if h.booking is not None
        )
        for one, two in itertools.pairwise(booked):
            assert one.end_ms <= two.start_ms
        assert self.ledger.link_booked_kb_per_s(self.now_ms) <= RATE


test_ledger_agrees_with_what_was_granted = LedgerMachine.TestCase
test_ledger_agrees_with_what_was_granted.settings = settings(
    max_examples=100, stateful_step_count=30
)


def test_a_transfer_is_booked_into_the_first_gap_that_fits():
    """Guards against overlapping transfers that exceed their booked time."""
    ledger = Ledger(SLOTS, PIECES, RATE)

    def book(key, kb, start_ms):
        request = ReservationRequest(
            Attempt(key, 1), 1, 1, 9_000, False, b"", kb, start_ms
        )
        booking = ledger.reserve(request, now_ms=100).unwrap().booking
        return booking.start_ms, booking.end_ms

    assert book("a", 50, 0) == (100, 150)
    assert book("b", 50, 80) == (180, 230)
    assert book("c", 40, 0) == (230, 270)
