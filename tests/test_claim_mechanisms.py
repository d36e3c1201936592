"""Each mechanism of the claims, switched off, breaks a promise.

Every scenario runs twice: with the mechanism it must end without a violation,
and without it with one.
"""

from __future__ import annotations

import pytest
from result import Ok

from gooseberrypost.state.claim import ClaimAsk
from gooseberrypost.state.claims import ShardClaims
from gooseberrypost.state.segments import Segment
from gooseberrypost.state.shard_log import Get, ShardLog, segment_key
from gooseberrypost.stores.keyvalue import KeyValueUnavailable
from tests.claim_model import DEADLINE_MS, Model

ONCE = ClaimAsk("booking-1", b"a", False, DEADLINE_MS)
AGAIN = ClaimAsk("check-1", b"a", True, DEADLINE_MS)


class UnsealedLog(ShardLog):
    """Replays the log without closing it for the first owner."""

    def _seal_one(self, number):
        if self.epoch == 1:
            return (yield from super()._seal_one(number))
        reply = yield Get(segment_key(self.shard, number))
        found = reply.ok_value
        if found.version == 0:
            return Ok((Segment(self.epoch), True))
        segment = Segment.parse(found.value).unwrap()
        return Ok((segment, not segment.sealed_by))


class TrustingLog(ShardLog):
    """Takes a write without an answer as written."""

    def _settle(self, key, is_mine, failure):
        if isinstance(failure, KeyValueUnavailable):
            return None
        return Ok(self._version + 1)
        yield


class EpochBlindLog(ShardLog):
    """Ignores epochs: any segment may be sealed and written."""

    def _is_newer(self, segment):
        return False


class EpochlessClaims(ShardClaims):
    """Judges minted keys of every epoch as its own."""

    def _judge_other_epoch(self, minted):
        claims = ShardClaims(self.shard, minted.epoch)
        claims.claims = self.claims
        ask = ClaimAsk(str(minted), b"a", False, DEADLINE_MS)
        return claims.claim(ask, "e2", 0)


def found(model):
    return [violation.rule for violation in model.checker.found]


def run_all(model):
    for run in model.runs:
        model.execute(run)


def paused_owner(model):
    """Let B take over while A, which has no claims, is paused."""
    model.owner("A")
    model.lapse("A")
    model.owner("B")


def seal_scenario(model):
    """Claim a key at a successor and at the paused former owner."""
    paused_owner(model)
    model.claim("A", "e1", ONCE)
    model.settle("A")
    model.claim("B", "e2", ONCE)
    model.settle("B")
    run_all(model)


def confirm_scenario(model):
    """Lose an owner between its decision and the append."""
    model.owner("A")
    model.claim("A", "e1", ONCE)
    run_all(model)
    model.kill("A")
    model.owner("B")
    model.claim("B", "e2", ONCE)
    model.settle("B")
    run_all(model)


def read_back_scenario(model):
    """Lose an owner, and a write that it got no answer to."""
    model.owner("A")
    model.claim("A", "e1", ONCE)
    model.write("A")
    model.step("A", "late")
    run_all(model)
    model.kill("A")
    model.owner("B")
    model.claim("B", "e2", ONCE)
    model.settle("B")
    run_all(model)


def minted_scenario(model):
    """Send a minted key to the owner of its epoch and a successor."""
    node = model.owner("A")
    ask = ClaimAsk(node.claims.mint(model.rng), b"a", False, DEADLINE_MS)
    model.claim("A", "e1", ask)
    model.lapse("A")
    model.owner("B")
    model.claim("B", "e2", ask)
    run_all(model)


def complete_scenario(model):
    """Resume an entry whose request was run again elsewhere."""
    model.owner("A")
    model.claim("A", "e1", AGAIN)
    model.settle("A")
    run_all(model)
    model.lose_entry("e1")
    model.wait(600)
    model.claim("A", "e2", AGAIN)
    model.settle("A")
    run_all(model)
    for run in reversed(model.runs):
        model.complete("A", run)
        model.settle("A")


def lease_scenario(model):
    """Ask a cut-off owner about a key that its successor has run."""
    paused_owner(model)
    model.claim("B", "e2", ONCE)
    model.settle("B")
    run_all(model)
    model.claim("A", "e1", ONCE)
    model.give_up("A")


TWICE = "non-idempotent call run twice"
CASES = [
    ("sealing", seal_scenario, {"log_class": UnsealedLog}, TWICE),
    ("confirm-before-grant", confirm_scenario, {"confirms": False}, TWICE),
    ("read-back", read_back_scenario, {"log_class": TrustingLog}, TWICE),
    (
        "epoch check of minted keys",
        minted_scenario,
        {"claims_class": EpochlessClaims},
        TWICE,
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
        {"needs_lease": False},
        "told not run after it ran",
    ),
]


@pytest.mark.parametrize(
    ("scenario", "off", "rule"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_promise_depends_on_the_mechanism(scenario, off, rule):
    """Guards against a mechanism that is dead code or missing."""
    with_mechanism = Model()
    scenario(with_mechanism)
    assert with_mechanism.runs
    assert found(with_mechanism) == []
    without = Model(**off)
    scenario(without)
    assert rule in found(without)


def test_lost_answers_do_not_lose_or_repeat_batches():
    """Guards against an append dropped or doubled by settling it."""
    model = Model()
    node = model.owner("A")
    for number in range(40):
        ask = ClaimAsk(f"k{number}", b"a", False, DEADLINE_MS)
        model.claim("A", "e1", ask)
        model.write("A")
        for fault in ("down", "late", "", "lost"):
            model.step("A", fault)
        model.arrive()
        model.settle("A")
    assert node.log.number > 1
    assert len(model.runs) == 40
    model.kill("A")
    records = model.owner("B").claims.claims
    assert len(records) == 40


def test_a_successor_accepts_the_answers_of_running_claims():
    """Guards against losing the answers in flight when an owner leaves."""
    model = Model()
    node = model.owner("A")
    minted = ClaimAsk(node.claims.mint(model.rng), b"a", True, DEADLINE_MS)
    for ask in (ONCE, AGAIN, minted):
        model.claim("A", "e1", ask)
    model.settle("A")
    run_all(model)
    model.renew("A", model.runs[-1])
    run_all(model)
    model.kill("A")
    model.owner("B")
    for run in model.runs:
        model.complete("B", run)
    model.settle("B")
    assert sum(model.checker._answered.values()) == 3
    assert found(model) == []


@pytest.mark.parametrize(
    ("log_class", "serves"), [(ShardLog, False), (EpochBlindLog, True)]
)
def test_an_overtaken_takeover_does_not_serve(log_class, serves):
    """Guards against an epoch below the head's granting attempts.

    Its attempt numbers would meet those of the owner of the higher epoch.
    """
    model = Model(log_class)
    model.owner("A")
    model.lapse("A")
    model.grant_lease("B")
    model.take("B")
    for _ in range(3):
        model.step("B")
    model.lapse("B")
    model.kill("A")
    model.owner("A")
    model.settle("B")
    assert model.nodes["B"].log.epoch < model.nodes["A"].log.epoch
    assert (model.nodes["B"].claims is not None) == serves


@pytest.mark.parametrize("calls", range(5))
@pytest.mark.parametrize("fault", ["down", "late", "lost"])
def test_an_interrupted_takeover_is_repeated_whole(calls, fault):
    """Guards against serving a shard whose log was not all read."""
    model = Model()
    model.owner("A")
    model.claim("A", "e1", ONCE)
    model.settle("A")
    model.kill("A")
    model.grant_lease("B")
    model.take("B")
    for _ in range(calls):
        model.step("B")
    model.step("B", fault)
    model.settle("B")
    claims = model.owner("B").claims
    assert list(claims.claims) == [ONCE.key]
