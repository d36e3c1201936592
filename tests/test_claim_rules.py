"""Rules of the claim state machine that a successor relies on.

As in ``test_claim_mechanisms``, each scenario must end without a violation
while the rule is on, and with one while it is disabled.
"""

from __future__ import annotations

import pytest

from gooseberrypost.state.claim import Decision, GrantRequest, Verdict
from gooseberrypost.state.claims import ShardClaims
from tests.claim_model import DEADLINE_MS, Model
from tests.test_claim_mechanisms import (
    IDEMPOTENT,
    NON_IDEMPOTENT,
    run_all,
    violated_rules,
)


class UnloggedCompletionClaims(ShardClaims):
    """Confirms completions that are not in the log."""

    def _completion_decision(self, claim):
        return Decision(Verdict.GRANTED, claim.attempt)


class RegrantedMintedKeyClaims(ShardClaims):
    """Grants minted keys of an earlier epoch again."""

    def _decide_retry(self, claim, *rest):
        claim.minted = claim.minted and not claim.replayed
        return super()._decide_retry(claim, *rest)


class UnloggedReuseClaims(ShardClaims):
    """Refuses a reused key although its first use is not in the log."""

    def claim(self, request, *rest, **named):
        decision = super().claim(request, *rest, **named)
        if decision.verdict is Verdict.KEY_REUSED:
            return decision._replace(required_sequence=0)
        return decision


class NoEarlierRunsClaims(ShardClaims):
    """Applies the last entry's "not run" report to earlier entries too."""

    def abandon(self, key, *rest):
        self.claims[key].may_have_run_before = False
        super().abandon(key, *rest)


def answer_all(model, node, runs):
    for run in runs:
        model.complete(node, run)
        model.run_until_idle(node)


def lost_completion(model):
    """Kill the owner between a completion and its append to the log."""
    model.owner("A")
    model.claim("A", "e1", IDEMPOTENT)
    model.run_until_idle("A")
    run_all(model)
    model.complete("A", model.runs[0])
    model.kill("A")
    model.owner("B")
    model.wait(DEADLINE_MS)
    model.claim("B", "e2", IDEMPOTENT)
    model.run_until_idle("B")
    run_all(model)
    answer_all(model, "B", model.runs[1:])


def inherited_minted_key(model):
    """Resend a minted key, which A granted twice, to A's successor."""
    node = model.owner("A")
    request = GrantRequest(
        node.claims.mint(model.rng), b"a", True, DEADLINE_MS
    )
    model.claim("A", "e1", request)
    model.lose_entry("e1")
    model.wait(600)
    model.claim("A", "e2", request)
    model.run_until_idle("A")
    run_all(model)
    model.lapse("A")
    model.owner("B")
    model.wait(DEADLINE_MS)
    model.claim("B", "e3", request)
    model.run_until_idle("B")
    run_all(model)
    answer_all(model, "A", model.runs[1:2])
    answer_all(model, "B", model.runs[2:])


def unlogged_reuse(model):
    """Resend a key that B granted to A, which has it with another body."""
    model.owner("A")
    model.lapse("A")
    model.owner("B")
    model.claim("A", "e1", NON_IDEMPOTENT)
    other = NON_IDEMPOTENT._replace(digest=b"b")
    model.claim("B", "e2", other)
    model.run_until_idle("B")
    run_all(model)
    model.claim("A", "e2", other)


def abandoned_after_run(model):
    """Abandon a key that the first entry ran and the second did not."""
    model.owner("A")
    model.claim("A", "e1", IDEMPOTENT)
    model.run_until_idle("A")
    run_all(model)
    model.lose_entry("e1")
    model.wait(600)
    model.claim("A", "e2", IDEMPOTENT)
    model.run_until_idle("A")
    model.abandon("A", model.runs[1])
    model.claim("A", "e3", IDEMPOTENT)
    model.time_out_grants("A")


CASES = {
    "completions are logged": (
        lost_completion,
        UnloggedCompletionClaims,
        "answered twice",
    ),
    "minted keys are not inherited": (
        inherited_minted_key,
        RegrantedMintedKeyClaims,
        "answered twice",
    ),
    "reuse needs a logged first use": (
        unlogged_reuse,
        UnloggedReuseClaims,
        "reported as not run after it ran",
    ),
    "abandon keeps earlier runs": (
        abandoned_after_run,
        NoEarlierRunsClaims,
        "reported as not run after it ran",
    ),
}


@pytest.mark.parametrize(
    ("scenario", "disabled", "rule"), CASES.values(), ids=CASES.keys()
)
def test_guarantee_depends_on_the_rule(scenario, disabled, rule):
    """Guards against dropping a rule that only rare faults need."""
    model = Model()
    scenario(model)
    assert model.runs
    assert violated_rules(model) == []
    without = Model(claims_class=disabled)
    scenario(without)
    assert rule in violated_rules(without)
