"""The table of accounts, and the evidence that it is the newest one."""

from __future__ import annotations

import json
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberrypost.gateway.authentication import (
    Authenticator,
    KeyMissing,
    KeyRefused,
    KeyUnknown,
    KeyUnverified,
)
from gooseberrypost.gateway.directory import Directory
from gooseberrypost.gateway.freshness import Freshness, FreshnessCheck
from gooseberrypost.gateway.model import (
    Configuration,
    RequestKind,
    Route,
    Target,
)
from gooseberrypost.gateway.request import ClientRequest
from gooseberrypost.metrics import LabelNames, Metrics
from gooseberrypost.platform.documents import decode_configuration
from gooseberrypost.state.accounts import Account, AccountTable

NAMES = st.sampled_from(["a", "b", "c"])
KEYS = st.sampled_from(["", "k", "k1", "k2", "\u00fc", "\udc80", "\ud800"])
ACCOUNTS = st.lists(st.builds(Account, NAMES, st.frozensets(KEYS)), max_size=5)
PROPAGATION_S = 2.0


def account(name: str, *keys: str, priority: int | None = None) -> Account:
    return Account(name, frozenset(keys), priority)


@given(st.lists(ACCOUNTS, max_size=6), st.lists(ACCOUNTS, max_size=1))
def test_table_depends_on_the_last_version_alone(versions, last):
    """Guards against keys that outlive their removal from one account.

    Only changes are applied, so a key that two accounts have, that moves or
    that returns could be left with the account of an earlier version.
    """
    versions += last
    table, fresh = AccountTable(), AccountTable()
    for accounts in versions:
        table.apply(accounts)
    newest = versions[-1] if versions else []
    fresh.apply(newest)
    holders: dict[str, str] = {}
    for one in sorted(newest, key=lambda one: one.name):
        for key in one.keys:
            holders.setdefault(key, one.name)
    for key in ["", "k", "k1", "k2", "\u00fc", "\udc80", "\ud800", "other"]:
        found, expected = table.find(key), fresh.find(key)
        assert found == expected
        name = holders.get(key) if key else None
        assert (found and found.name) == name
    assert table.is_empty == (not newest)


@given(ACCOUNTS, st.randoms(use_true_random=False))
def test_owner_of_a_shared_key_does_not_depend_on_the_order(accounts, rng):
    """Guards against gateways that assign one key to different accounts.

    They may have seen other versions before, and list accounts otherwise.
    """
    one, other = AccountTable(), AccountTable()
    one.apply(accounts)
    shuffled = list(accounts)
    rng.shuffle(shuffled)
    for start in range(len(shuffled)):
        other.apply(shuffled[: start + 1])
    for key in ["k", "k1", "k2"]:
        first, second = one.find(key), other.find(key)
        assert (first and first.name) == (second and second.name)


def test_key_of_two_accounts_is_reported_and_passes_on():
    """Guards against an error or a lost key where two accounts have one."""
    table = AccountTable()
    shared = table.apply([account("b", "k"), account("a", "k", "own")])
    assert [(one.holder, one.other) for one in shared] == [("a", "b")]
    assert table.find("k").name == "a"
    table.apply([account("b", "k"), account("a", "own")])
    assert table.find("k").name == "b"


def test_digests_are_computed_for_changed_keys_alone():
    """Guards against a pause at each change, which grows with the accounts."""
    accounts = [account(f"a{n}", f"k{n}", f"l{n}") for n in range(500)]
    table = AccountTable()
    table.apply(accounts)
    before, version = table.digests_computed, table.version
    accounts[7] = account("a7", "k7", "new")
    table.apply(accounts)
    assert table.digests_computed - before == 2
    assert table.version == version + 1
    table.apply(list(accounts))
    assert table.version == version + 1
    assert table.find("new").name == "a7"
    assert table.find("l7") is None


def test_change_of_a_priority_alone_is_in_effect():
    """Guards against comparing the keys alone: the account stays old."""
    table = AccountTable()
    table.apply([account("a", "k", priority=3)])
    table.apply([account("a", "k", priority=1)])
    assert table.find("k").priority == table.get("a").priority == 1


def test_digests_differ_between_processes():
    """Guards against digests that can be computed without the secret."""
    tables = AccountTable(), AccountTable()
    for table in tables:
        table.apply([account("a", "k")])
    first, second = (set(table._by_digest) for table in tables)
    assert not first & second


def test_key_is_in_no_representation():
    """Guards against keys in tracebacks and log lines of whole objects."""
    one = account("a", "sesame")
    cfg = Configuration(3, accounts=(one,))
    req = ClientRequest("r", "GET", "/", "h", key="sesame")
    table = AccountTable()
    table.apply([one])
    for shown in (one, cfg, req, table, Directory()):
        assert "sesame" not in repr(shown)


@pytest.mark.parametrize(
    "entry",
    [
        {"name": "a", "api_keys": ["sesame\n"]},
        {"name": "a", "api_keys": "sesame"},
        {"name": "", "api_keys": ["sesame"]},
        {"name": "a", "api_keys": ["sesame"], "priority": "sesame"},
    ],
)
def test_invalid_account_is_rejected_without_its_key(entry):
    """Guards against keys in the log line on an invalid configuration."""
    document = {"version": 3, "routes": [], "tenants": [entry]}
    decoded = decode_configuration(json.dumps(document).encode())
    assert "sesame" not in str(decoded.err_value)


def test_names_in_metrics_are_bounded():
    """Guards against one series for each of thousands of accounts."""
    names = LabelNames(64)
    labels = {names.label(f"a{n}") for n in range(200)}
    assert len(labels) == 65
    assert names.label("a63") == "a63"
    assert names.label("a64") == "other"


class TestFreshness:
    """Whether a gateway may call an unknown key unknown."""

    def test_gateway_without_the_store_becomes_outdated(self):
        """Guards against refusing a new key for good during an outage."""
        freshness = Freshness()
        assert not freshness.is_current(3, 0.0, PROPAGATION_S)
        freshness.record_answer(5.0)
        assert freshness.is_current(3, 7.0, PROPAGATION_S)
        assert not freshness.is_current(3, 7.1, PROPAGATION_S)

    def test_earlier_answer_does_not_take_evidence_back(self):
        """Guards against the start of a slow call replacing later news."""
        freshness = Freshness()
        freshness.record_answer(5.0)
        freshness.record_answer(4.0)
        assert freshness.is_current(3, 7.0, PROPAGATION_S)

    def test_version_that_the_store_has_lost_does_not_count_for_ever(self):
        """Guards against 503 until the next change after a restore.

        Other gateways keep the newer version and go on naming it.
        """
        freshness = Freshness()
        for tenth in range(100):
            now_s = tenth / 10
            freshness.record_answer(now_s)
            if now_s >= 1.0:
                freshness.record_peer(8, now_s)
            is_known = freshness.is_current(5, now_s, PROPAGATION_S)
            assert is_known == (not 1.0 <= now_s <= 3.0)

    def test_higher_version_counts_while_the_store_is_away(self):
        """Guards against forgetting a version the store could not show."""
        freshness = Freshness()
        freshness.record_answer(1.0)
        freshness.record_peer(8, 1.5)
        assert not freshness.is_current(5, 2.9, PROPAGATION_S)
        assert freshness.is_current(8, 2.9, PROPAGATION_S)

    @given(
        st.lists(st.tuples(st.floats(0, 50), st.integers(0, 5))),
        st.lists(st.floats(0, 50)),
        st.floats(0, 60),
    )
    def test_gateway_of_the_highest_version_is_judged_by_the_store(
        self, peers, answers, now_s
    ):
        """Guards against notices by which the newest one looks outdated."""
        freshness = Freshness()
        for heard_s, version in sorted(peers):
            freshness.record_peer(version, heard_s)
        for answered_s in answers:
            freshness.record_answer(answered_s)
        is_heard = now_s - max(answers, default=float("-inf")) <= PROPAGATION_S
        assert freshness.is_current(5, now_s, PROPAGATION_S) == is_heard


class Decision:
    """An authenticator with a clock that stands still."""

    def __init__(self, *accounts: Account, is_current: bool = True):
        self.directory = Directory()
        self.metrics = Metrics()
        self.refreshes = 0
        self.now_s = 100.0
        self.authenticator = Authenticator(
            self.directory,
            self.metrics,
            FreshnessCheck(
                self.directory,
                PROPAGATION_S,
                self._refresh,
                lambda: self.now_s,
            ),
            lambda: self.now_s,
        )
        self.apply(*accounts)
        if is_current:
            self.directory.freshness.record_answer(self.now_s)

    def _refresh(self):
        self.refreshes += 1

    def apply(self, *accounts: Account):
        version = self.directory.configuration.version + 1
        self.directory.apply_configuration(
            Configuration(version, accounts=accounts)
        )

    def of(self, key: str, *, is_open: bool = False, account: str = "") -> str:
        """Return the account of a request that had one before."""
        route = Route(
            "r",
            "h",
            "/",
            RequestKind.IDEMPOTENT,
            (Target("desk", 1.0),),
            timeout_ms=800,
            is_open=is_open,
        )
        req = ClientRequest("q", "GET", "/", "h", key=key, account=account)
        req.key_header = "Key"
        self.authenticator.check(req, route)
        return req.account


def test_requests_are_assigned_by_their_keys():
    """Guards against each wrong turn of the decision on arrival."""
    decision = Decision(account("a", "k"))
    assert decision.of("k") == "a"
    assert decision.of("k", is_open=True) == "a"
    assert decision.of("", is_open=True) == ""
    assert decision.of("x", is_open=True) == ""
    with pytest.raises(KeyMissing) as missing:
        decision.of("")
    with pytest.raises(KeyUnknown) as unknown:
        decision.of("x")
    assert missing.value.detail == "header Key is missing"
    assert unknown.value.detail == "the key in header Key is unknown"
    assert Decision().of("x") == Decision(is_current=False).of("") == ""


def test_only_a_current_gateway_calls_a_key_unknown():
    """Guards against 401 for a new key, which its client takes for final."""
    decision = Decision(account("a", "k"), is_current=False)
    assert decision.of("k") == "a"
    with pytest.raises(KeyUnverified) as refused:
        decision.of("x")
    assert refused.value.retry_after_ms == 500
    with pytest.raises(KeyMissing):
        decision.of("")


def test_request_that_waits_is_decided_anew():
    """Guards against serving a waiting request under a former account."""
    decision = Decision(account("a", "k"), is_current=False)
    # Its key was known once, so it is not new here.
    with pytest.raises(KeyUnknown):
        decision.of("gone", account="a")
    decision.apply(account("b", "k"))
    with pytest.raises(KeyUnknown):
        decision.of("k", account="a")
    # It was admitted before there were accounts, or may go on without one.
    assert decision.of("k") == "b"
    assert decision.of("gone", is_open=True, account="a") == ""
    decision.apply()
    assert decision.of("k", account="a") == ""


def test_unknown_keys_do_not_cause_more_decoding_of_notices():
    """Guards against clients that try keys and use up the processor."""
    decision = Decision(account("a", "k"))
    for _ in range(50):
        with pytest.raises(KeyUnknown):
            decision.of("x")
    assert decision.refreshes == 1
    assert (
        decision.metrics.value("key_refusals_total", code="key_unknown") == 50
    )


def test_log_lines_of_refusals_are_bounded(caplog):
    """Guards against a log that each guessed key makes longer."""
    decision = Decision(account("a", "k"))
    rng = random.Random(1)
    with caplog.at_level("INFO", logger="absl"):
        for _ in range(200):
            decision.now_s += 1 / 32
            decision.directory.freshness.record_answer(decision.now_s)
            with pytest.raises(KeyRefused):
                decision.of(f"guess-{rng.random()}")
    lines = [r.getMessage() for r in caplog.records]
    refusals = [line for line in lines if "event=key_refused" in line]
    assert len(refusals) == 7
    assert refusals[-1].endswith("omitted=31")
    assert "guess" not in "".join(lines)
