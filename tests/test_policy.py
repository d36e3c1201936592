"""Policies: admission, placement, limits, retries, transfers and aging."""

from __future__ import annotations

import dataclasses
import random
from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from gooseberrypost.errors import (
    AccountLimited,
    NoCapacity,
    ServiceLimited,
    TargetUnreachable,
)
from gooseberrypost.policy.admission import DeadlineAdmission
from gooseberrypost.policy.aging import WaitingList, effective_priority
from gooseberrypost.policy.limits import Limiter
from gooseberrypost.policy.placement import LowestCostPlacement
from gooseberrypost.policy.retry import (
    MAX_DISPLACEMENTS,
    MIN_RETRIES,
    WINDOW_MS,
    RetryBudget,
    backoff_bound_ms,
)
from gooseberrypost.policy.subset import choose_subset
from gooseberrypost.policy.transfer import (
    LinkBookings,
    MeasuredRate,
    choose_fallback,
    stall_timeout_ms,
)
from gooseberrypost.policy.views import AgentView, RequestView
from gooseberrypost.policy.warmup import WARMUP_INTERVAL_MS, ColdPrefixes
from gooseberrypost.state.records import AccountRecord, ServiceRecord


def agent(name="d0", **changes):
    view = AgentView(
        name, "", "z1", "decode", "m", 20, 0, 200, 0, 0, 20_000.0, 24.0,
        False, 0, link_kb_per_s=12_500_000,
    )  # fmt: skip
    return dataclasses.replace(view, **changes)


def request(key="k", **changes):
    view = RequestView(
        key, "s", "a", "m", "z1", 4_000, 512, 5, 0.5, 0, 480, 26, 30_000
    )
    return dataclasses.replace(view, **changes)


def test_admission_refuses_a_late_request_before_prefill():
    """Guards against prefill spent on a request that misses its target."""
    busy = agent("p", queue_tokens=20_000)
    decision = DeadlineAdmission().decide(request(), [busy], [agent()], 0)
    failure = decision.unwrap_err()
    assert isinstance(failure, TargetUnreachable)
    assert failure.retry_after_ms >= 500


def test_admission_counts_the_cached_prefix_and_the_transfer():
    """Guards against a forecast without the prefix cache or the link rate."""
    prompt = request(prompt_tokens=9_000)
    cold, warm = agent("p"), agent("p", cached_tokens=8_000)
    policy = DeadlineAdmission()
    assert policy.decide(prompt, [cold], [agent()], 0).is_err()
    assert policy.decide(prompt, [warm], [agent()], 0).is_ok()
    slow_link = agent(link_kb_per_s=2_000_000)
    assert policy.decide(prompt, [warm], [slow_link], 0).is_err()


def test_a_full_pool_queues_a_request_while_its_target_is_reachable():
    """Guards against refusing a request that a freed slot serves in time."""
    full = [agent(f"d{n}", slots_used=20) for n in range(20)]
    policy = DeadlineAdmission()
    early = policy.decide(request(), [agent("p")], full, 0).unwrap_err()
    assert isinstance(early, NoCapacity)
    late = policy.decide(request(), [agent("p")], full, 450).unwrap_err()
    assert isinstance(late, TargetUnreachable)


@given(
    st.lists(
        st.tuples(
            st.integers(0, 20), st.integers(0, 200), st.booleans(),
            st.sampled_from(["m", "other"]), st.integers(0, 5_000),
        ),
        max_size=12,
    ),
    st.integers(10, 30_000),
    st.integers(0, 2**32),
)  # fmt: skip
def test_placement_ranks_only_engines_that_can_serve(loads, prompt, seed):
    """Guards against pairs whose reservation is certain to be refused."""
    decode = [
        agent(f"d{n}", slots_used=s, pieces_used=p, draining=d, model=m,
              observed_ms=-age)
        for n, (s, p, d, m, age) in enumerate(loads)
    ]  # fmt: skip
    req = request(prompt_tokens=prompt, first_token_ms=5_000)
    pairs = LowestCostPlacement().rank(
        req, [agent("p")], decode, 0, random.Random(seed)
    )
    assert len({p.decode.name for p in pairs}) == len(pairs)
    for pair in pairs:
        view = pair.decode
        assert not view.draining and view.model == "m"
        assert view.slots_used < view.slots
        assert view.pieces_used + (prompt + 512) / 2_000 <= view.pieces
        assert pair.first_token_at_ms <= 5_000


def test_stale_views_do_not_send_all_entries_to_one_engine():
    """Guards against a thundering herd on the engine that looked best."""
    decode = [agent(f"d{n}", slots_used=n, observed_ms=-1_000)
              for n in range(8)]  # fmt: skip
    prefill = [agent(f"p{n}", queue_tokens=100 * n, observed_ms=-1_000)
               for n in range(8)]  # fmt: skip
    first = [
        LowestCostPlacement().rank(
            request(), prefill, decode, 0, random.Random(seed)
        )[0]
        for seed in range(200)
    ]
    for names in ([p.decode.name for p in first],
                  [p.prefill.name for p in first]):  # fmt: skip
        assert max(names.count(n) for n in set(names)) < 100


@given(
    st.lists(st.tuples(st.integers(0, 50), st.booleans()), max_size=200),
    st.floats(0, 0.5),
    st.integers(0, 2**32),
)
def test_retry_budget_is_never_exceeded(steps, share, seed):
    """Guards against retries that multiply the load on a failing service."""
    budget, rng = RetryBudget(share), random.Random(seed)
    requests, retries, now = [], [], 0
    for gap, is_retry in steps:
        now += gap
        if is_retry:
            if budget.retry(1, now, now + 10_000, rng).is_ok():
                retries.append(now)
        else:
            budget.record_request(now)
            requests.append(now)
        recent = [t for t in requests if t > now - WINDOW_MS]
        spent = [t for t in retries if t > now - WINDOW_MS]
        assert len(spent) <= max(MIN_RETRIES, share * len(recent))


@given(st.integers(1, 50), st.integers(-100, 2_000), st.integers(0, 2**32))
def test_no_retry_starts_past_its_deadline(attempt, left, seed):
    """Guards against work for a request whose deadline has passed."""
    match RetryBudget().retry(attempt, 0, left, random.Random(seed)):
        case Ok(delay):
            assert 0 <= delay < left
            assert delay <= backoff_bound_ms(attempt)
        case Err(failure):
            assert failure.code == "retry_refused"


@given(
    st.lists(
        st.tuples(st.integers(1, 5_000), st.integers(0, 2_000)), max_size=25
    ),
    st.integers(1, 4_000),
    st.sampled_from([1.0, 0.5, 0.34, 0.25]),
)
def test_bookings_never_exceed_the_link(transfers, rate, share):
    """Guards against transfers that slow each other down on one link."""
    link = LinkBookings(rate, share)
    bookings = [link.book(kb, earliest) for kb, earliest in transfers]
    for booking, (kb, earliest) in zip(bookings, transfers, strict=True):
        assert booking.start_ms >= earliest
        duration = booking.end_ms - booking.start_ms
        assert duration * booking.kb_per_s >= kb * 1_000
        assert link.booked_kb_per_s(booking.start_ms) <= rate


def test_a_stalled_link_is_avoided_and_tried_again_later():
    """Guards against a second stall, and against never using a link again."""
    rate = MeasuredRate()
    rate.observe_stall(0)
    assert rate.share(100) < 0.1
    assert rate.share(60_000) == 1.0
    assert 50 < stall_timeout_ms(50) < 200


def test_fallback_finishes_before_the_result_expires():
    """Guards against a second transfer that ends after the result expires."""
    req = request()
    slow = agent("slow", link_kb_per_s=500_000)
    decode = [agent("tried"), slow, agent("full", slots_used=20), agent("ok")]
    found = choose_fallback(req, "z1", decode, ["tried"], 0, 300)
    assert found is not None and found.name == "ok"
    assert choose_fallback(req, "z1", decode, ["tried"], 0, 20) is None


@given(
    st.sets(st.integers(0, 200), min_size=1, max_size=60),
    st.integers(0, 59),
    st.sampled_from([1, 3, 12, 16]),
)
def test_subset_is_stable_when_an_agent_leaves(numbers, which, size):
    """Guards against replacing more of a subset than the lost agent."""
    members = [agent(f"d{n}", zone=f"z{n % 3}") for n in sorted(numbers)]
    removed = members[which % len(members)]
    before = {m.name for m in choose_subset("e1", "z1", members, size)}
    rest = [m for m in members if m is not removed]
    after = {m.name for m in choose_subset("e1", "z1", rest, size)}
    assert len(before) == min(size, len(members))
    assert before - after <= {removed.name}
    assert len(after - before) <= 1


def test_subset_spreads_over_zones_and_entries():
    """Guards against a subset that is lost as a whole with one zone."""
    members = [agent(f"d{n}", zone=f"z{n % 3}") for n in range(48)]
    chosen = [choose_subset(f"e{n}", "z1", members, 16) for n in range(30)]
    assert all(len({m.zone for m in subset}) == 3 for subset in chosen)
    assert len({m.name for subset in chosen for m in subset}) == 48


@given(
    st.integers(100, 20_000), st.integers(0, 9), st.integers(0, 9),
    st.integers(0, 40_000),
)  # fmt: skip
def test_aged_requests_come_before_urgent_ones(wait, low, high, later):
    """Guards against starvation of a low-priority request."""
    patient = request("patient", priority=low, max_wait_ms=wait)
    urgent = request("urgent", priority=high, arrived_ms=wait + later)
    waiting = WaitingList()
    waiting.add(urgent)
    waiting.add(patient)
    assert effective_priority(patient, wait) == 0
    assert waiting.by_priority(wait + later)[0].key == "patient"


def test_headroom_is_left_for_urgent_requests_until_aged():
    """Guards against requests that can wait taking the last slots."""
    decode = [agent(slots_used=19)]
    patient = request(priority=9, max_wait_ms=8_000)
    policy = DeadlineAdmission()
    assert policy.decide(patient, [agent("p")], decode, 0).is_err()
    assert policy.decide(patient, [agent("p")], decode, 4_000).is_ok()
    assert policy.decide(request(), [agent("p")], decode, 0).is_ok()


@given(
    st.lists(
        st.tuples(st.integers(0, 300), st.integers(0, 3), st.booleans()),
        max_size=200,
    )
)
def test_limits_are_never_exceeded(steps):
    """Guards against more requests than the account or service allows."""
    limiter = Limiter(ServiceRecord("s", max_in_flight=5))
    held, taken, now = [], {n: [] for n in "0123"}, 0
    for gap, number, release in steps:
        now += gap
        account = AccountRecord(
            str(number), requests_per_s=10.0, burst=3, max_in_flight=2
        )
        if release and held:
            limiter.release(held.pop(), now)
        elif limiter.acquire(account, now).is_ok():
            held.append(account.name)
            taken[account.name].append(now)
        assert limiter.in_flight == len(held) <= 5
        assert held.count(account.name) <= 2
        recent = [t for t in taken[account.name] if t > now - 1_000]
        assert len(recent) <= 13


def test_an_account_over_its_share_is_held_back_only_when_busy():
    """Guards against one account that starves the others."""
    limiter = Limiter(ServiceRecord("s"))
    for step in range(200):
        name = "busy" if step % 2 else f"quiet-{step % 20}"
        assert limiter.acquire(AccountRecord(name), step * 50, 0.5).is_ok()
    busy = limiter.acquire(AccountRecord("busy"), 10_000, 1.0)
    assert isinstance(busy.unwrap_err(), AccountLimited)
    assert limiter.acquire(AccountRecord("quiet-0"), 10_000, 1.0).is_ok()


def test_a_refusal_by_the_service_refunds_the_token_of_the_account():
    """Guards against an account charged for requests that were refused."""
    limiter = Limiter(ServiceRecord("s", requests_per_s=1.0))
    account = AccountRecord("a", requests_per_s=1.0, burst=2)
    assert limiter.acquire(account, 0).is_ok()
    refused = limiter.acquire(account, 0).unwrap_err()
    assert isinstance(refused, ServiceLimited)
    limiter.reconfigure(ServiceRecord("s"))
    assert limiter.acquire(account, 0).is_ok()


def test_displaced_requests_do_not_spend_the_retry_budget():
    """Guards against the budget refusing requests moved by a crash (P9)."""
    budget, rng = RetryBudget(share=0.1), random.Random(1)
    for _ in range(20):
        assert budget.retry_displaced(1, 1, 0, 30_000, rng).is_ok()
    assert budget.retry(1, 0, 30_000, rng).is_ok()
    assert budget.retry_displaced(
        MAX_DISPLACEMENTS + 1, 5, 0, 30_000, rng
    ).is_err()
    assert budget.retry_displaced(1, 1, 30_000, 30_000, rng).is_err()


@given(st.lists(st.integers(0, 4_000), min_size=1, max_size=60))
def test_a_prefix_is_warmed_rarely_and_not_on_a_full_service(gaps):
    """Guards against answering every request with an uncached prefix late."""
    cold, full, warmed, now = ColdPrefixes(), ColdPrefixes(), [], 0
    for gap in gaps:
        now += gap
        if cold.should_warm_up(7, now, occupancy=0.5):
            warmed.append(now)
        assert not full.should_warm_up(7, now, occupancy=1.0)
    assert all(b - a >= WARMUP_INTERVAL_MS for a, b in pairwise(warmed))
    assert len(warmed) <= len(gaps) // 2


def test_a_slow_engine_is_used_only_for_answers_that_end_in_time():
    """Guards against refusals while slots are idle, and late answers."""
    slow = agent("slow", token_gap_ms=80.0)
    policy, rng = LowestCostPlacement(), random.Random(1)
    short = request(expected_output_tokens=300)
    pairs = policy.rank(short, [agent("p")], [slow, agent("ok")], 0, rng)
    assert [p.decode.name for p in pairs] == ["ok", "slow"]
    long = request(expected_output_tokens=500)
    pairs = policy.rank(long, [agent("p")], [slow, agent("ok")], 0, rng)
    assert [p.decode.name for p in pairs] == ["ok"]


def test_a_transfer_that_ends_after_its_result_expires_is_not_planned():
    """Guards against a prefill whose result expires on a slow link."""

    def planned(link_kb_per_s, waste_weight):
        req = request(first_token_ms=5_000, waste_weight=waste_weight)
        slow = agent(link_kb_per_s=link_kb_per_s)
        return LowestCostPlacement().rank(
            req, [agent("p")], [slow], 0, random.Random(1)
        )

    # The prompt takes 800, 640 and 300 ms at these rates.
    assert not planned(640_000, 0.0)
    assert planned(800_000, 0.0) and not planned(800_000, 1.0)
    assert planned(1_700_000, 1.0)
