"""Claim guarantees while the service comes back from older copies."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import rule

from gooseberrypost.state.claim import GrantRequest
from tests.claim_model import DEADLINE_MS
from tests.claim_restore_model import RestorableModel
from tests.test_claim_machine import ENTRIES, INDEX, NODES, ClaimMachine
from tests.test_claim_mechanisms import (
    IDEMPOTENT,
    NON_IDEMPOTENT,
    run_all,
    violated_rules,
)

RUN_TWICE = "non-idempotent call run twice"


class RestoreMachine(ClaimMachine):
    """Random steps in which no process that took part since a copy is lost.

    What only a lost process knew and the service lost cannot be proven.
    """

    def __init__(self):
        super().__init__()
        self.model = RestorableModel()
        self.model.owner("A")

    @rule(node=NODES)
    def kill(self, node):
        if not self.model.copies:
            self.model.kill(node)

    @rule()
    def take_copy(self):
        if len(self.model.copies) < 3:
            self.model.take_copy()

    @rule(index=st.integers(0, 2))
    def restore(self, index):
        self.model.restore(index)

    @rule(node=NODES)
    def serve(self, node):
        for name in self.model.nodes:
            if name != node:
                self.model.lapse(name)
        self.model.verify(node)
        self.model.run_until_idle(node)
        self.model.owner(node)

    @rule(node=NODES, entry=ENTRIES, index=INDEX)
    def claim_and_run(self, node, entry, index):
        number = index % len(self.keys)
        request = GrantRequest(
            self.keys[number], b"a", number % 2 == 1, DEADLINE_MS
        )
        self.model.claim(node, entry, request)
        self.model.run_until_idle(node)
        run_all(self.model)

    @rule(node=NODES)
    def verify(self, node):
        self.model.verify(node)

    @rule(node=NODES)
    def forget(self, node):
        self.model.forget(node)


RestoreMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=60, deadline=None
)
TestRestores = RestoreMachine.TestCase


def run_at(model, node, request):
    model.claim(node, "e1", request)
    model.run_until_idle(node)
    run_all(model)


def same_owner(model):
    """Let the owner find its log shorter and take its shard over again."""
    model.owner("A")
    model.take_copy()
    run_at(model, "A", NON_IDEMPOTENT)
    model.restore()
    model.verify("A")
    model.run_until_idle("A")
    model.owner("A")
    model.claim("A", "e2", NON_IDEMPOTENT)
    model.run_until_idle("A")
    run_all(model)


def successor(model):
    """Let another process take the shard over before the owner notices."""
    model.owner("A")
    model.take_copy()
    run_at(model, "A", NON_IDEMPOTENT)
    model.restore()
    model.lapse("A")
    model.owner("B")
    model.claim("B", "e2", NON_IDEMPOTENT)
    model.run_until_idle("B")
    run_all(model)


@pytest.mark.parametrize(
    ("scenario", "disabled"),
    [(same_owner, "remembers"), (successor, "asks")],
)
def test_guarantee_depends_on_the_memory(scenario, disabled):
    """Guards against a mechanism that is missing or has no effect."""
    model = RestorableModel()
    scenario(model)
    assert len(model.runs) == 1
    assert violated_rules(model) == []
    without = RestorableModel(**{disabled: False})
    scenario(without)
    assert RUN_TWICE in violated_rules(without)


@pytest.mark.parametrize("calls", range(8))
@pytest.mark.parametrize("keeps_seal", [True, False])
def test_a_restore_during_a_takeover_loses_no_claim(calls, keeps_seal):
    """Guards against a takeover that goes on with a log that went back."""
    model = RestorableModel()
    model.owner("A")
    model.take_copy()
    run_at(model, "A", NON_IDEMPOTENT)
    run_at(model, "A", IDEMPOTENT)
    model.lapse("A")
    model.grant_lease("B")
    model.acquire("B")
    for _ in range(calls):
        model.step("B")
    if keeps_seal:
        model.take_copy()
        model.lapse("A")
    model.restore(len(model.copies) - 1)
    model.run_until_idle("B")
    model.lapse("A")
    model.verify("B")
    model.run_until_idle("B")
    for _ in range(3):
        model.owner("B")
    model.claim("B", "e2", NON_IDEMPOTENT)
    model.run_until_idle("B")
    run_all(model)
    assert model.nodes["B"].claims is not None
    assert violated_rules(model) == []


def test_a_late_write_that_replaces_a_seal_hides_no_claim():
    """Guards against a version that the service gives out a second time."""
    model = RestorableModel()
    model.owner("A")
    run_at(model, "A", IDEMPOTENT)
    model.take_copy()
    model.claim("A", "e1", NON_IDEMPOTENT._replace(key="lost"))
    model.run_until_idle("A")
    model.claim("A", "e1", NON_IDEMPOTENT._replace(key="late"))
    model.write("A")
    model.step("A", "late")
    model.restore()
    model.lapse("A")
    model.owner("B")
    run_at(model, "B", NON_IDEMPOTENT)
    segment = model.nodes["B"].log.segment_number
    while model.late:
        model.deliver_late()
    model.lapse("B")
    model.memories.clear()
    model.nodes["B"].claims = None
    model.nodes["A"].holds_lease = False
    node = model.owner("A")
    assert segment < node.log.segment_number
    assert NON_IDEMPOTENT.key in node.claims.claims


def test_an_owner_does_not_replace_a_head_of_the_same_version():
    """Guards against a former owner that takes a repeated version for its."""
    model = RestorableModel(asks=False)
    model.take_copy()
    model.owner("A")
    model.restore()
    model.owner("B")
    model.grant_lease("A")
    model.run_until_idle("A")
    assert model.nodes["A"].claims is None
    assert model.nodes["B"].claims is not None
