"""Rules of the claim state machine that a successor depends on.

As in ``test_claim_mechanisms``, each scenario ends without a violation, and
with one when the rule is switched off.
"""

from __future__ import annotations

import pytest

from gooseberrypost.state.claim import ClaimAsk, Decision, Verdict
from gooseberrypost.state.claims import ShardClaims
from tests.claim_model import DEADLINE_MS, Model
from tests.test_claim_mechanisms import AGAIN, ONCE, found, run_all


class MemoryCompletions(ShardClaims):
    """Acknowledges completions that are not in the log."""

    def _completed(self, claim):
        return Decision(Verdict.GRANTED, claim.attempt)


class InheritedMints(ShardClaims):
    """Grants minted keys of a lost epoch again."""

    def _again(self, claim, *rest):
        claim.minted = claim.minted and not claim.replayed
        return super()._again(claim, *rest)


class EagerReuse(ShardClaims):
    """Refuses another body for a first use that is not in the log."""

    def claim(self, ask, *rest, **named):
        decision = super().claim(ask, *rest, **named)
        if decision.verdict is Verdict.KEY_REUSED:
            return decision._replace(needs=0)
        return decision


class ForgetfulAbandon(ShardClaims):
    """Takes the proof of the last entry for all entries before it."""

    def abandon(self, key, *rest):
        self.claims[key].ran_before = False
        super().abandon(key, *rest)


def answer_all(model, node, runs):
    for run in runs:
        model.complete(node, run)
        model.settle(node)


def lost_completion(model):
    """Lose the owner between a completion and its append."""
    model.owner("A")
    model.claim("A", "e1", AGAIN)
    model.settle("A")
    run_all(model)
    model.complete("A", model.runs[0])
    model.kill("A")
    model.owner("B")
    model.wait(DEADLINE_MS)
    model.claim("B", "e2", AGAIN)
    model.settle("B")
    run_all(model)
    answer_all(model, "B", model.runs[1:])


def inherited_mint(model):
    """Resend a minted key, granted twice by A, to A's successor."""
    node = model.owner("A")
    ask = ClaimAsk(node.claims.mint(model.rng), b"a", True, DEADLINE_MS)
    model.claim("A", "e1", ask)
    model.lose_entry("e1")
    model.wait(600)
    model.claim("A", "e2", ask)
    model.settle("A")
    run_all(model)
    model.lapse("A")
    model.owner("B")
    model.wait(DEADLINE_MS)
    model.claim("B", "e3", ask)
    model.settle("B")
    run_all(model)
    answer_all(model, "A", model.runs[1:2])
    answer_all(model, "B", model.runs[2:])


def unlogged_reuse(model):
    """Resend a key that ran at B to A, which has it with another body."""
    model.owner("A")
    model.lapse("A")
    model.owner("B")
    model.claim("A", "e1", ONCE)
    other = ONCE._replace(digest=b"b")
    model.claim("B", "e2", other)
    model.settle("B")
    run_all(model)
    model.claim("A", "e2", other)


def abandoned_after_run(model):
    """Refuse a key whose first entry ran it and whose second did not."""
    model.owner("A")
    model.claim("A", "e1", AGAIN)
    model.settle("A")
    run_all(model)
    model.lose_entry("e1")
    model.wait(600)
    model.claim("A", "e2", AGAIN)
    model.settle("A")
    model.abandon("A", model.runs[1])
    model.claim("A", "e3", AGAIN)
    model.give_up("A")


CASES = {
    "completions are logged": (
        lost_completion,
        MemoryCompletions,
        "answered twice",
    ),
    "minted keys are not inherited": (
        inherited_mint,
        InheritedMints,
        "answered twice",
    ),
    "reuse needs a logged first use": (
        unlogged_reuse,
        EagerReuse,
        "told not run after it ran",
    ),
    "abandon keeps earlier runs": (
        abandoned_after_run,
        ForgetfulAbandon,
        "told not run after it ran",
    ),
}


@pytest.mark.parametrize(
    ("scenario", "off", "rule"), CASES.values(), ids=CASES.keys()
)
def test_promise_depends_on_the_rule(scenario, off, rule):
    """Guards against a rule dropped because no usual case needs it."""
    model = Model()
    scenario(model)
    assert model.runs
    assert found(model) == []
    without = Model(claims_class=off)
    scenario(without)
    assert rule in found(without)
