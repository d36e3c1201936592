"""Claims in memory, leases, segments and deletion of old segments."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberrypost.claims.client import StoredAnswer
from gooseberrypost.identity import MintedKey
from gooseberrypost.policy.shards import fair_share, take_delay_ms
from gooseberrypost.state.claim import (
    ATTEMPTS_PER_EPOCH,
    ClaimState,
    GrantRequest,
    Verdict,
)
from gooseberrypost.state.claims import RECONNECT_GRACE_MS, ShardClaims
from gooseberrypost.state.heads import ShardHead
from gooseberrypost.state.leases import HeldLease
from gooseberrypost.state.segments import LogRecord, Segment
from tests.claim_model import DEADLINE_MS, Model


def request(key, idempotent=True):
    return GrantRequest(key, b"d", idempotent, DEADLINE_MS)


@given(st.lists(st.tuples(st.integers(0, 60_000), st.integers(0, 20_000))))
def test_a_held_lease_ends_before_the_grantor_lets_it_lapse(renewals):
    """Guards against relying on a lease that has lapsed (P8)."""
    lease, ttl_ms, lapses_ms = HeldLease(15_000), 15_000, 0
    for sent_ms, taken_ms in sorted(renewals):
        granted_ms = sent_ms + taken_ms
        lapses_ms = max(lapses_ms, granted_ms + ttl_ms)
        lease.renewed(sent_ms)
    assert not lease.is_held(max(lapses_ms, 1) - 1)


def test_old_answers_are_evicted_and_old_claims_forgotten():
    """Guards against memory that grows with every call."""
    claims = ShardClaims(0, 1, answers_bytes=250, retention_ms=1_000)
    answer = StoredAnswer(200, b"x" * 100, "")
    for number in range(4):
        granted = claims.claim(request(f"k{number}"), "e", number)
        claims.complete(f"k{number}", granted.attempt, answer, number)
    assert claims.stored_answers_bytes <= 250
    assert claims.claim(request("k0"), "e", 5).answer is None
    assert claims.claim(request("k3"), "e", 5).answer == answer
    claims.tick(2_000)
    assert not claims.claims
    assert claims.stored_answers_bytes == 0


def test_a_new_connection_within_the_grace_keeps_the_claim():
    """Guards against ending a running request when its connection breaks."""
    claims = ShardClaims(0, 1)
    claims.claim(request("k"), "e", 0)
    claims.holder_disconnected("e", 0)
    claims.holder_reconnected("e")
    claims.tick(RECONNECT_GRACE_MS)
    assert claims.claims["k"].state is ClaimState.RUNNING
    claims.holder_disconnected("e", 600)
    claims.tick(600 + RECONNECT_GRACE_MS)
    assert claims.claims["k"].state is ClaimState.ORPHANED


def test_convicted_content_that_may_have_run_is_not_called_not_run():
    """Guards against reporting content that ran as not run (P4)."""
    claims = ShardClaims(0, 1)
    granted = claims.claim(request("k"), "e", 0)
    claims.confirm(len(claims.take_outbox()))
    assert claims.mark_grant_sent("k", granted.attempt)
    claims.holder_disconnected("e", 0)
    claims.tick(DEADLINE_MS)
    again = claims.claim(request("k"), "f", DEADLINE_MS, convicted=True)
    assert again.verdict is Verdict.UNKNOWN
    other = claims.claim(request("j"), "f", DEADLINE_MS, convicted=True)
    assert (other.verdict, other.requires_lease) == (Verdict.QUARANTINED, True)


def test_a_minted_key_is_completed_only_by_an_attempt_of_its_epoch():
    """Guards against accepting an answer to a key that was never granted."""
    claims = ShardClaims(0, 3)
    answer = StoredAnswer(200, b"x", "")
    key = str(MintedKey(0, 1, "0" * 16))
    verdicts = [
        claims.complete(key, epoch * ATTEMPTS_PER_EPOCH + 1, answer, 0).verdict
        for epoch in (2, 3, 1)
    ]
    refused = Verdict.SUPERSEDED
    assert verdicts == [refused, refused, Verdict.GRANTED]


def test_a_minted_key_of_a_lost_owner_is_renewed_as_unknown():
    """Guards against a stream that ends without a typed outcome.

    ``SUPERSEDED`` would close the stream without an error event.
    """
    claims = ShardClaims(0, 3)
    key = str(MintedKey(0, 1, "0" * 16))
    decision = claims.renew(key, ATTEMPTS_PER_EPOCH + 1, 0)
    assert decision.verdict is Verdict.UNKNOWN


def test_deleted_segments_are_not_replayed():
    """Guards against a log that grows without bound or loses its end."""
    model = Model()
    node = model.owner("A")
    for number in range(30):
        model.claim("A", "e1", request(f"k{number}"))
        model.run_until_idle("A")
    last = node.log.segment_number
    model._start(node, "trim", node.log.delete_segments_before(last))
    model.run_until_idle("A")
    kept = [key for key in model.store.values if "/log/" in key]
    assert kept == [f"claims/0/log/{last}"]
    model.kill("A")
    assert 0 < len(model.owner("B").claims.claims) < 30


@given(st.integers(1, 40), st.integers(1, 500))
def test_shares_cover_all_shards(shards, entries):
    """Guards against shards that no entry acquires."""
    share = fair_share(shards, entries)
    assert share * entries >= shards
    assert take_delay_ms(share, shards, entries) < 1_500 or share >= 15
    assert take_delay_ms(share + 1, shards, entries) == 1_500


@pytest.mark.parametrize("text", ["x", "[1]", "[1,0]\nx", '[1,0]\n["a",[[]]]'])
def test_a_damaged_segment_is_a_typed_failure(text):
    """Guards against a takeover that crashes on or skips bad records."""
    assert Segment.parse(text).is_err()
    assert ShardHead.parse(text).is_err()


@pytest.mark.parametrize(
    "text",
    [
        '{"epoch": "3"}',
        '{"epoch": -1}',
        '{"epoch": true}',
        '{"name": 5}',
        '{"segment": 0.5}',
        '{"renewal": []}',
    ],
)
def test_a_head_with_a_field_of_another_type_is_a_typed_failure(text):
    """Guards against an exception where the owner uses the field."""
    assert ShardHead.parse(text).is_err()


@pytest.mark.parametrize(
    "text",
    [
        '["3", 0]',
        '"30"',
        "[3, null]",
        '[3, 0]\n["3.1", ["abc"]]',
        '[3, 0]\n["3.1", [["claim", "k", "1"]]]',
        '[3, 0]\n["3.1", [["claim", "k", 1, "xy"]]]',
        '[3, 0]\n["3.1", [["claim", 5, 1]]]',
        '[3, 0]\n["3.1", [["claim", "k", 1, "", "", false, "9"]]]',
    ],
)
def test_a_segment_with_an_element_of_another_type_is_damaged(text):
    """Guards against a replay that ends the process of the next owner."""
    assert Segment.parse(text).is_err()


@given(st.lists(st.text(max_size=20), max_size=10))
def test_segments_survive_a_round_trip(keys):
    """Guards against records whose content breaks the line format."""
    segment = Segment(1)
    for number, key in enumerate(keys):
        segment = segment.with_batch(f"1.{number}", [LogRecord("c", key, 1)])
    parsed = Segment.parse(segment.text()).unwrap()
    assert [record.key for record in parsed.records()] == keys
