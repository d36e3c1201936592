"""Each mechanism of the claim protocol prevents a violation.

Every scenario runs twice: it must end without a violation while the mechanism
is on, and with one while it is disabled.
"""

from __future__ import annotations

import pytest
from result import Ok

from gooseberrypost.state.claim import GrantRequest
from gooseberrypost.state.claims import ShardClaims
from gooseberrypost.state.segments import Segment
from gooseberrypost.state.shard_log import Get, ShardLog, segment_key
from gooseberrypost.stores.keyvalue import KeyValueUnavailable
from tests.claim_model import DEADLINE_MS, Model

NON_IDEMPOTENT = GrantRequest("booking-1", b"a", False, DEADLINE_MS)
IDEMPOTENT = GrantRequest("check-1", b"a", True, DEADLINE_MS)


class UnsealedLog(ShardLog):
    """Replays the log without sealing it against the previous owner."""

    def _seal_segment(self, number):
        if self.epoch == 1:
            return (yield from super()._seal_segment(number))
        reply = yield Get(segment_key(self.shard, number))
        stored = reply.ok_value
        if stored.version == 0:
            return Ok((Segment(self.epoch), True))
        segment = Segment.parse(stored.value).unwrap()
        return Ok((segment, not segment.sealed_by))


class NoReadBackLog(ShardLog):
    """Treats a write of unknown outcome as successful."""

    def _resolve_write(self, key, is_own_write, failure):
        if isinstance(failure, KeyValueUnavailable):
            return None
        return Ok(self._segment_version + 1)
        yield


class NoEpochCheckLog(ShardLog):
    """Seals and writes segments that belong to a higher epoch."""

    def _has_higher_epoch(self, segment):
        return False


class NoKeyEpochClaims(ShardClaims):
    """Grants minted keys of every epoch as if this epoch had made them."""

    def _decide_other_epoch(self, minted):
        claims = ShardClaims(self.shard, minted.epoch)
        claims.claims = self.claims
        request = GrantRequest(str(minted), b"a", False, DEADLINE_MS)
        return claims.claim(request, "e2", 0)


def violated_rules(model):
    return [violation.rule for violation in model.checker.violations]


def run_all(model):
    for run in model.runs:
        model.execute(run)


def paused_owner(model):
    """Let B acquire the shard while its owner A is paused without claims."""
    model.owner("A")
    model.lapse("A")
    model.owner("B")


def seal_scenario(model):
    """Claim a key at the paused former owner and at its successor."""
    paused_owner(model)
    model.claim("A", "e1", NON_IDEMPOTENT)
    model.run_until_idle("A")
    model.claim("B", "e2", NON_IDEMPOTENT)
    model.run_until_idle("B")
    run_all(model)


def confirm_scenario(model):
    """Kill an owner between its decision and the append to the log."""
    model.owner("A")
    model.claim("A", "e1", NON_IDEMPOTENT)
    run_all(model)
    model.kill("A")
    model.owner("B")
    model.claim("B", "e2", NON_IDEMPOTENT)
    model.run_until_idle("B")
    run_all(model)


def read_back_scenario(model):
    """Kill an owner whose last write had an unknown outcome."""
    model.owner("A")
    model.claim("A", "e1", NON_IDEMPOTENT)
    model.write("A")
    model.step("A", "late")
    run_all(model)
    model.kill("A")
    model.owner("B")
    model.claim("B", "e2", NON_IDEMPOTENT)
    model.run_until_idle("B")
    run_all(model)


def minted_scenario(model):
    """Claim a minted key at the owner of its epoch and at a successor."""
    node = model.owner("A")
    request = GrantRequest(
        node.claims.mint(model.rng), b"a", False, DEADLINE_MS
    )
    model.claim("A", "e1", request)
    model.lapse("A")
    model.owner("B")
    model.claim("B", "e2", request)
    run_all(model)


def complete_scenario(model):
    """Resume a paused entry whose request another entry has run again."""
    model.owner("A")
    model.claim("A", "e1", IDEMPOTENT)
    model.run_until_idle("A")
    run_all(model)
    model.lose_entry("e1")
    model.wait(600)
    model.claim("A", "e2", IDEMPOTENT)
    model.run_until_idle("A")
    run_all(model)
    for run in reversed(model.runs):
        model.complete("A", run)
        model.run_until_idle("A")


def lease_scenario(model):
    """Claim at an owner without lease a key that its successor granted."""
    paused_owner(model)
    model.claim("B", "e2", NON_IDEMPOTENT)
    model.run_until_idle("B")
    run_all(model)
    model.claim("A", "e1", NON_IDEMPOTENT)
    model.time_out_grants("A")


RUN_TWICE = "non-idempotent call run twice"
CASES = [
    ("sealing", seal_scenario, {"log_class": UnsealedLog}, RUN_TWICE),
    ("confirm-before-grant", confirm_scenario, {"confirms": False}, RUN_TWICE),
    ("read-back", read_back_scenario, {"log_class": NoReadBackLog}, RUN_TWICE),
    (
        "epoch check of minted keys",
        minted_scenario,
        {"claims_class": NoKeyEpochClaims},
        RUN_TWICE,
    ),
    (
        "completion before the final frame",
        complete_scenario,
        {"completes_first": False},
        "answered twice",
    ),
    (
        "not run only under a lease",
        lease_scenario,
        {"requires_lease": False},
        "reported as not run after it ran",
    ),
]


@pytest.mark.parametrize(
    ("scenario", "disabled", "rule"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_guarantee_depends_on_the_mechanism(scenario, disabled, rule):
    """Guards against a mechanism that is missing or has no effect."""
    with_mechanism = Model()
    scenario(with_mechanism)
    assert with_mechanism.runs
    assert violated_rules(with_mechanism) == []
    without = Model(**disabled)
    scenario(without)
    assert rule in violated_rules(without)


def test_lost_answers_do_not_lose_or_repeat_batches():
    """Guards against batches lost or repeated by reading back a write."""
    model = Model()
    node = model.owner("A")
    for number in range(40):
        request = GrantRequest(f"k{number}", b"a", False, DEADLINE_MS)
        model.claim("A", "e1", request)
        model.write("A")
        for fault in ("down", "late", "", "lost"):
            model.step("A", fault)
        model.deliver_late()
        model.run_until_idle("A")
    assert node.log.segment_number > 1
    assert len(model.runs) == 40
    model.kill("A")
    records = model.owner("B").claims.claims
    assert len(records) == 40


def test_a_successor_accepts_the_answers_of_running_claims():
    """Guards against losing the answers of running claims with their owner."""
    model = Model()
    node = model.owner("A")
    minted = GrantRequest(node.claims.mint(model.rng), b"a", True, DEADLINE_MS)
    for request in (NON_IDEMPOTENT, IDEMPOTENT, minted):
        model.claim("A", "e1", request)
    model.run_until_idle("A")
    run_all(model)
    model.renew("A", model.runs[-1])
    run_all(model)
    model.kill("A")
    model.owner("B")
    for run in model.runs:
        model.complete("B", run)
    model.run_until_idle("B")
    assert sum(model.checker._answered.values()) == 3
    assert violated_rules(model) == []


@pytest.mark.parametrize(
    ("log_class", "serves"), [(ShardLog, False), (NoEpochCheckLog, True)]
)
def test_an_overtaken_takeover_does_not_serve(log_class, serves):
    """Guards against grants by an owner whose epoch is below the head's.

    A takeover that was overtaken by another one must fail. Otherwise its
    attempt numbers could coincide with those of the higher epoch.
    """
    model = Model(log_class)
    model.owner("A")
    model.lapse("A")
    model.grant_lease("B")
    model.acquire("B")
    for _ in range(3):
        model.step("B")
    model.lapse("B")
    model.kill("A")
    model.owner("A")
    model.run_until_idle("B")
    assert model.nodes["B"].log.epoch < model.nodes["A"].log.epoch
    assert (model.nodes["B"].claims is not None) == serves


@pytest.mark.parametrize("calls", range(5))
@pytest.mark.parametrize("fault", ["down", "late", "lost"])
def test_an_interrupted_takeover_is_repeated_whole(calls, fault):
    """Guards against serving a shard whose log was not read completely."""
    model = Model()
    model.owner("A")
    model.claim("A", "e1", NON_IDEMPOTENT)
    model.run_until_idle("A")
    model.kill("A")
    model.grant_lease("B")
    model.acquire("B")
    for _ in range(calls):
        model.step("B")
    model.step("B", fault)
    model.run_until_idle("B")
    claims = model.owner("B").claims
    assert list(claims.claims) == [NON_IDEMPOTENT.key]
