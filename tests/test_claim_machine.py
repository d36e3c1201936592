"""Claim guarantees under random faults between any two steps."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from gooseberrypost.state.claim import GrantRequest
from tests.claim_model import DEADLINE_MS, Model

NODES = st.sampled_from("AB")
ENTRIES = st.sampled_from(["e1", "e2"])
FAULTS = st.sampled_from(["", "", "", "down", "late", "lost"])
INDEX = st.integers(0, 50)


class ClaimMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.model = Model()
        self.keys = ["once", "again"]
        self.model.owner("A")

    def run_at(self, index):
        runs = self.model.runs
        return runs[index % len(runs)] if runs else None

    @rule(node=NODES)
    def seek_shard(self, node):
        self.model.grant_lease(node)
        self.model.acquire(node)

    @rule(node=NODES, fault=FAULTS)
    def step(self, node, fault):
        self.model.write(node)
        self.model.step(node, fault)

    @rule(node=NODES)
    def run_without_faults(self, node):
        self.model.run_until_idle(node)

    @rule(index=INDEX)
    def deliver_late(self, index):
        self.model.deliver_late(index)

    @rule(node=NODES)
    def lapse(self, node):
        self.model.lapse(node)

    @rule(node=NODES)
    def kill(self, node):
        self.model.kill(node)

    @rule(node=NODES)
    def mint(self, node):
        claims = self.model.nodes[node].claims
        if claims is not None and len(self.keys) < 6:
            self.keys.append(claims.mint(self.model.rng))

    @rule(node=NODES, entry=ENTRIES, index=INDEX, body=st.booleans())
    def claim(self, node, entry, index, body):
        number = index % len(self.keys)
        digest = b"a" if body else b"b"
        request = GrantRequest(
            self.keys[number], digest, number % 2 == 1, DEADLINE_MS
        )
        self.model.claim(node, entry, request)

    @rule(node=NODES)
    def time_out_grants(self, node):
        self.model.time_out_grants(node)

    @rule(index=INDEX)
    def execute(self, index):
        if run := self.run_at(index):
            self.model.execute(run)

    @rule(index=INDEX, node=NODES)
    def complete(self, index, node):
        if run := self.run_at(index):
            self.model.complete(node, run)

    @rule(index=INDEX, node=NODES)
    def abandon(self, index, node):
        if run := self.run_at(index):
            self.model.abandon(node, run)

    @rule(index=INDEX, node=NODES)
    def renew(self, index, node):
        if run := self.run_at(index):
            self.model.renew(node, run)

    @rule(entry=ENTRIES)
    def lose_entry(self, entry):
        self.model.lose_entry(entry)

    @rule(time_ms=st.sampled_from([10, 600, 1_200]))
    def wait(self, time_ms):
        self.model.wait(time_ms)

    @invariant()
    def no_guarantee_is_violated(self):
        assert not self.model.checker.violations


ClaimMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=60, deadline=None
)
TestClaims = ClaimMachine.TestCase
