"""Crash evidence: suspects, convictions, and merging between owners."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gooseberrypost.policy.quarantine import (
    CONVICTION_RETENTION_MS,
    MIN_CRASHES_WITHOUT_ISOLATION,
    SUSPECT_RETENTION_MS,
    Evidence,
    Suspicion,
    isolation_order,
)
from gooseberrypost.policy.suspects import Suspect

SLOTS = 20
DIGESTS = st.sets(st.sampled_from("abcdefgh"), min_size=1)
REPORTS = st.lists(st.tuples(st.sampled_from("123456"), DIGESTS), max_size=8)


class Fleet:
    """Engines of twenty slots; a poison request crashes its engine."""

    def __init__(self, engines, isolates, rng):
        self.engines = [{} for _ in range(engines)]
        self.evidence = Evidence()
        self.isolates = isolates
        self.rng = rng
        self.crashes = 0
        self.refused = []
        self.answered = []

    def place(self, key, digest):
        """Start a request; returns false if no engine may take it now."""
        verdict = self.evidence.verdict(digest)
        if verdict is Suspicion.CONVICTED:
            self.refused.append(key)
            return True
        free = [e for e in self.engines if len(e) < SLOTS]
        if verdict is Suspicion.SUSPECT and self.isolates:
            first = isolation_order(digest, "01234")[0]
            target = self.engines[int(first)]
            free = [e for e in free if e is target]
            free = [e for e in free if not self.has_suspect(e)]
        if free:
            self.rng.choice(free)[key] = digest
        return bool(free)

    def has_suspect(self, engine):
        verdicts = map(self.evidence.verdict, engine.values())
        return Suspicion.SUSPECT in verdicts

    def run(self, poison):
        """Let every engine crash or finish; returns the displaced requests."""
        displaced = []
        for number, engine in enumerate(self.engines):
            if poison & set(engine.values()):
                self.crashes += 1
                crash = f"{number}.{self.crashes}"
                for _ in range(self.rng.randint(1, 2)):
                    self.evidence.report(crash, engine.values(), 0)
                displaced.extend(engine.items())
            else:
                self.answered.extend(engine)
            engine.clear()
        return displaced


def simulate(seed, isolates):
    """Send poison among harmless requests, repeatedly and under new ids."""
    rng = random.Random(seed)
    fleet = Fleet(5, isolates, rng)
    poison = {"poison"}
    harmless = {f"h{n}": f"digest{n}" for n in range(rng.randint(20, 95))}
    waiting = list(harmless.items())
    for number in range(60):
        waiting += [(f"p{number}.{d}", d) for d in sorted(poison)]
        rng.shuffle(waiting)
        waiting = [item for item in waiting if not fleet.place(*item)]
        waiting += fleet.run(poison)
    lost = harmless.keys() - set(fleet.answered)
    return fleet.crashes, lost, fleet.refused


@settings(max_examples=100)
@given(seed=st.integers(0, 2**32))
def test_poison_crashes_two_servers_and_harmless_requests_are_answered(seed):
    """Guards against poison that crashes more servers under new ids (P9)."""
    crashes, lost, refused = simulate(seed, isolates=True)
    assert crashes <= 2
    assert not lost
    assert all(key.startswith("p") for key in refused)


def test_without_isolation_more_servers_crash():
    """Guards against isolation of suspects that has no effect."""
    outcomes = [simulate(seed, isolates=False) for seed in range(50)]
    assert any(crashes > 2 for crashes, _, _ in outcomes)


def test_two_copies_at_once_convict_only_the_content_they_share():
    """Guards against convicting digests that ran beside a repeated one."""
    evidence = Evidence()
    evidence.report("c1", {"p", "a", "b"}, 0)
    evidence.report("c2", {"p", "x", "y"}, 0)
    assert set(evidence.convicted) == {"p"}


def test_a_crash_with_a_single_request_only_makes_it_suspect():
    """Guards against refusing content for one crash of a faulty server."""
    evidence = Evidence()
    evidence.report("c1", {"p"}, 0)
    assert evidence.verdict("p") is Suspicion.SUSPECT
    evidence.report("c1", {"p"}, 0)
    assert evidence.verdict("p") is Suspicion.SUSPECT
    evidence.report("c2", {"p"}, 0)
    assert evidence.verdict("p") is Suspicion.CONVICTED


def test_two_suspects_in_one_crash_are_not_convicted():
    """Guards against convicting harmless content moved with the poison."""
    evidence = Evidence()
    evidence.report("c1", {"p", "a"}, 0)
    evidence.report("c2", {"p", "a"}, 0)
    assert not evidence.convicted
    evidence.report("c3", {"p", "z"}, 0)
    assert set(evidence.convicted) == {"p"}


@given(REPORTS, st.randoms(use_true_random=False))
def test_merging_is_idempotent_and_loses_no_crash(reports, rng):
    """Guards against evidence lost by reordered or duplicated merges."""
    parts = [Evidence(), Evidence()]
    for number, digests in reports:
        rng.choice(parts).report(f"{number}{sorted(digests)}", digests, 0)
    merged = Evidence()
    for part in [*parts, *reversed(parts)]:
        stored = Evidence.parse(part.text()).unwrap()
        merged.merge(stored, 0)
    assert all(merged.covers(part) for part in parts)
    assert not merged.merge(parts[0], 0)
    for _, digests in reports:
        for digest in digests:
            assert merged.verdict(digest) is not Suspicion.CLEAN


def test_evidence_expires():
    """Guards against permanent refusals and evidence that only grows."""
    evidence = Evidence()
    evidence.report("c1", {"p"}, 0)
    evidence.report("c2", {"p"}, 0)
    evidence.expire(SUSPECT_RETENTION_MS)
    assert evidence.verdict("p") is Suspicion.CONVICTED
    evidence.expire(CONVICTION_RETENTION_MS)
    assert evidence.verdict("p") is Suspicion.CLEAN


@pytest.mark.parametrize(
    "text", ["x", "[]", "[[[1]], {}]", '[1, {"a": 2}]', '[[], {"a": "b"}]']
)
def test_malformed_evidence_is_a_typed_failure(text):
    """Guards against an owner that fails on a damaged stored value."""
    assert Evidence.parse(text).is_err()


def test_parts_of_a_crash_from_several_reporters_add_up():
    """Guards against a crash of which only the first report counts.

    A request that was lost beside the poison is then the only repeated one
    that some of the reporters know.
    """
    evidence = Evidence(MIN_CRASHES_WITHOUT_ISOLATION)
    for crash in ("c1", "c2", "c3"):
        evidence.report(crash, {"victim"}, 0)
        evidence.report(crash, {"p"}, 0)
        if crash == "c2":
            evidence.exonerate("victim", 0)
    assert set(evidence.convicted) == {"p"}


def test_an_answer_clears_content_at_every_gateway():
    """Guards against convicting content that servers answer in between."""
    first, second = Evidence(3), Evidence(3)
    for number in range(6):
        crash = f"c{number}"
        for evidence in (first, second):
            evidence.report(crash, {"popular"}, 0)
        first.exonerate("popular", 0)
        for cleared, digest in first.take_clearances():
            second.clear(cleared, {digest}, 0)
            # A report of the same crash that arrives later changes nothing.
            assert not second.report(cleared, {"popular"}, 0)
    assert not first.convicted
    assert not second.convicted
    assert second.verdict("popular") is Suspicion.CLEAN


def test_a_wrong_conviction_ends_with_an_answer():
    """Guards against a conviction that peers keep alive after its release."""
    evidence = Evidence(3)
    assert evidence.convict("a", 0)
    evidence.exonerate("a", 0)
    assert evidence.verdict("a") is Suspicion.CLEAN
    assert not evidence.convict("a", 0)
    for crash in ("c1", "c2", "c3"):
        evidence.report(crash, {"a"}, 0)
    assert evidence.verdict("a") is Suspicion.CONVICTED


def test_poison_is_found_among_more_requests_than_a_report_holds():
    """Guards against a limit that always drops the same digest."""
    evidence = Evidence(3)
    for number in range(10):
        crash = f"c{number}"
        others = {f"{crash}-{other:03}" for other in range(100)}
        evidence.report(crash, {"~poison", *others}, 0)
    assert set(evidence.convicted) == {"~poison"}


def test_parts_are_added_to_a_crash_that_was_read_from_the_store():
    """Guards against a report that is ignored because the crash is known.

    Stored evidence has no parts, and may be read before the report arrives.
    """
    evidence = Evidence()
    for crash, request in (("c1", "a"), ("c2", "b"), ("c3", "c")):
        stored = Evidence.parse(f'[[["{crash}", ["{request}"], 0]], {{}}]')
        evidence.merge(stored.unwrap(), 0)
        assert evidence.report(crash, {request: Suspect({"part"})}, 0)
        assert not evidence.report(crash, {request: Suspect({"part"})}, 0)
    assert evidence.find_conviction({"d", "part"}) == "part"


def test_part_of_one_repeated_request_is_not_convicted():
    """Guards against refusing sound requests for a part of a crashing one."""
    evidence = Evidence(MIN_CRASHES_WITHOUT_ISOLATION)
    for crash in ("c1", "c2", "c3", "c4"):
        evidence.report(crash, {"poison": Suspect({"shared"})}, 0)
    assert evidence.find_conviction({"poison", "shared"}) == "poison"
    assert evidence.find_conviction({"other", "shared"}) is None


def test_explained_crashes_do_not_convict_a_shared_part():
    """Guards against a verdict on what all prompts share by one crash.

    The crashes before it have a cause. A shared part that is the cause itself
    is found after as many crashes as any other.
    """
    evidence = Evidence(MIN_CRASHES_WITHOUT_ISOLATION)
    for number in range(MIN_CRASHES_WITHOUT_ISOLATION):
        lost = {f"bad{number}": Suspect({"shared", "bad"})}
        evidence.report(f"c{number}", lost, 0)
    assert evidence.find_conviction({"new", "shared", "bad"})
    for number in range(MIN_CRASHES_WITHOUT_ISOLATION):
        assert evidence.find_conviction({"new", "shared"}) is None
        lost = {f"sound{number}": Suspect({"shared"})}
        evidence.report(f"d{number}", lost, 0)
    assert evidence.find_conviction({"new", "shared"}) == "shared"


def test_digest_with_the_separator_of_keys_is_evaluated_once():
    """Guards against a process that stands still at a malformed report.

    A conviction of such a digest covers no request, so that it explains none
    of the crashes that led to it.
    """
    evidence = Evidence(MIN_CRASHES_WITHOUT_ISOLATION)
    for number in range(MIN_CRASHES_WITHOUT_ISOLATION):
        evidence.report(f"c{number}", {"odd+digest"}, 0)
    assert set(evidence.convicted) == {"odd+digest"}
    assert evidence.find_conviction({"odd", "other"}) is None


def test_popular_part_is_not_convicted_in_an_outage():
    """Guards against refusing all requests when every engine goes down."""
    evidence = Evidence(MIN_CRASHES_WITHOUT_ISOLATION)
    for number in range(10):
        evidence.record_answer(f"answered{number}", {"popular"}, 0)
    for number in range(5):
        lost = {
            f"r{number}.{n}": Suspect({"popular"}, has_begun=n > 0)
            for n in range(3)
        }
        evidence.report(f"c{number}", lost, 0)
    assert not evidence.convicted


def test_stored_evidence_does_not_bring_a_released_verdict_back():
    """Guards against refusals that continue after an answer showed them wrong.

    The stored value still holds the verdict when it is read again.
    """
    evidence = Evidence()
    for crash, request in (("c1", "a"), ("c2", "b"), ("c3", "c")):
        evidence.report(crash, {request: Suspect({"part"})}, 0)
    stored = Evidence.parse(evidence.text()).unwrap()
    assert evidence.find_conviction({"part"})
    evidence.clear_parts(["part"], 0)
    evidence.merge(stored, 0)
    assert evidence.find_conviction({"part"}) is None


def test_crash_settles_after_its_clock_was_set_back():
    """Guards against evidence that waits for a clock that went back."""
    evidence = Evidence(MIN_CRASHES_WITHOUT_ISOLATION, settling_ms=350)
    for crash in ("c1", "c2", "c3"):
        evidence.report(crash, {"poison"}, 10_000)
    evidence.evaluate(8_400)
    assert not evidence.convicted
    evidence.evaluate(10_350)
    assert set(evidence.convicted) == {"poison"}


@pytest.mark.parametrize("was_convicted", [True, False])
def test_withdrawn_conviction_comes_back_only_with_a_new_crash(was_convicted):
    """Guards against refusals of a request that was found to be sound.

    The withdrawal of another process arrives before the crashes that led to
    the conviction count here.
    """
    evidence = Evidence(MIN_CRASHES_WITHOUT_ISOLATION, settling_ms=350)
    for number in range(MIN_CRASHES_WITHOUT_ISOLATION):
        evidence.report(f"c{number}", {"sound"}, now_ms=10_000)
    if was_convicted:
        evidence.convict("sound", 10_100)
    evidence.withdraw("sound", 10_200)
    evidence.evaluate(10_400)
    assert not evidence.convicted
    evidence.report("later", {"sound"}, now_ms=20_000)
    evidence.evaluate(20_400)
    assert set(evidence.convicted) == {"sound"}
