"""Gateway policies: queueing, server choice, membership, load and retries."""

from __future__ import annotations

import random
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from gooseberrypost.gateway.model import (
    Configuration,
    RequestKind,
    Route,
    Server,
    Stage,
    Target,
)
from gooseberrypost.policy.enginememory import (
    Run,
    RunSize,
    must_release_reservation,
    predict_output_tokens,
    predict_peak_tokens,
)
from gooseberrypost.policy.gatewayretry import GatewayRetryBudget
from gooseberrypost.policy.membership import LAPSE_GRACE_S, ServerList
from gooseberrypost.policy.migration import run_to_migrate
from gooseberrypost.policy.poolbalance import (
    MIN_GAIN,
    MIN_GAIN_IN_OVERLOAD,
    PoolEngine,
    Workload,
    choose_stage_change,
    prefill_pool_rate,
    service_rate,
)
from gooseberrypost.policy.queueorder import (
    QueuedGeneration,
    first_event_due_in_s,
    queue_order,
    retry_after_s,
)
from gooseberrypost.policy.serverchoice import (
    MAX_CANDIDATES,
    choose_plain,
    choose_prefill,
    eligible_servers,
    rank_decode_engines,
    should_prefill_on_decode,
)
from gooseberrypost.policy.serverload import (
    MIN_PREFILLS,
    PeerLoad,
    ServerLoads,
)

SIZES = st.lists(
    st.builds(
        RunSize,
        st.integers(0, 10_000),
        st.integers(0, 8_000),
        st.integers(1, 8_000),
        st.integers(1, 8_000),
    ),
    max_size=8,
)

ONE_RUN = RunSize(1, 0, 1, 1)


def server(name: str, stage: Stage = Stage.NONE, **changes) -> Server:
    return Server(name, "s", "10.0.0.1:80", "a", 4, stage=stage, **changes)


@given(SIZES)
def test_predicted_peak_covers_memory_in_use(sizes):
    """Guards against admitting more runs than an engine has memory for."""
    assert predict_peak_tokens(sizes) >= sum(size.tokens for size in sizes)


@given(SIZES, SIZES)
def test_additional_runs_never_lower_the_predicted_peak(sizes, more):
    """Guards against a predicted peak that falls when a run is added."""
    assert predict_peak_tokens([*sizes, *more]) >= predict_peak_tokens(sizes)


def test_predicted_peak_is_rarely_exceeded():
    """Guards against preemptions when several outputs are long.

    Outputs are drawn around their predictions with the standard deviation of
    the prediction error. At a single step, 7 in 100 batches exceed a margin
    of 1.5 standard deviations, and each batch has several steps.
    """
    rng = random.Random(1)
    sizes = [RunSize(5_000, 500 * n, 4_000, 8_000) for n in range(8)]
    peak = predict_peak_tokens(sizes, margin=1.5)
    exceeded = 0
    for _ in range(500):
        ends = [draw_longer_output(size, rng) for size in sizes]
        exceeded += any(
            sum(
                size.tokens + step
                for size, end in zip(sizes, ends, strict=True)
                if size.produced + step <= end
            )
            > peak
            for step in range(0, 8_000, 200)
        )
    assert exceeded < 0.15 * 500


def draw_longer_output(size: RunSize, rng: random.Random) -> float:
    """Draw an output length above the number of tokens produced so far."""
    while True:
        output = size.expected * rng.lognormvariate(0.0, 0.354)
        if output > size.produced:
            return min(output, size.max_output)


def memory_added_to_new_runs(size: RunSize) -> int:
    """Memory that a run adds to the predicted peak of four new runs."""
    new = [RunSize(5_000, 0, 4_000, 8_000)] * 4
    return predict_peak_tokens([*new, size], 0.0) - predict_peak_tokens(
        new, 0.0
    )


def test_run_beyond_its_prediction_is_expected_to_continue():
    """Guards against counting a run beyond its prediction as finished.

    Only the output limit is certain to end a run.
    """
    assert (
        memory_added_to_new_runs(RunSize(5_400, 4_400, 4_000, 8_000)) > 1_000
    )
    finished = Run(1_000, 100, max_output=8_000)
    finished.produced = 8_000
    assert predict_peak_tokens([finished.size]) == 9_000


def test_run_near_its_prediction_is_expected_to_continue():
    """Guards against memory that is free only if all predictions are exact.

    Many outputs that reach nine tenths of their prediction continue for a
    further third of it.
    """
    assert (
        memory_added_to_new_runs(RunSize(4_600, 3_600, 4_000, 8_000)) > 1_000
    )


@given(st.integers(0, 9_000), st.floats(0, 9_000), st.integers(1, 8_000))
def test_predicted_output_stays_within_the_limit(hint, mean, limit):
    """Guards against predictions above the output limit of a request."""
    assert 1 <= predict_output_tokens(hint, mean, limit) <= limit


def test_late_generations_are_queued_behind_those_in_time():
    """Guards against a burst that makes every later request late as well."""
    queue = [QueuedGeneration(n / 10, 5.0, 100) for n in range(10)]
    served = queue_order(queue, now_s=0.55, first_event_delay_s=0.1)
    assert [one.first_event_due_s for one in served[:3]] == [0.7, 0.8, 0.9]


@given(st.floats(0, 100), st.floats(0, 600), st.floats(0, 1))
def test_retry_after_is_bounded(wait_s, left_s, spread):
    """Guards against retry times that clients do not wait for.

    A client waits a third of the time that it has left. One that returns
    much sooner finds the same overload, whatever the deadlines of a site.
    """
    after_s = retry_after_s(wait_s, left_s, spread)
    assert left_s / 4 - 0.001 <= after_s <= left_s / 3 + 0.001
    assert 1.0 <= retry_after_s(wait_s, 14.0, spread) <= 4.7


def test_client_that_returns_is_known_as_late():
    """Guards against a refused client whose return delays first attempts."""
    for timeout_s in (1.0, 14.0, 120.0):
        after_s = retry_after_s(0.0, timeout_s, 0.0)
        assert first_event_due_in_s(timeout_s - after_s, timeout_s, 0.9) < 0


def test_decode_engine_without_free_memory_is_not_chosen():
    """Guards against admitting a run that causes preemptions."""
    loads = ServerLoads()
    servers = [server("a", Stage.DECODE), server("b", Stage.DECODE)]
    loads.of("a@0").runs.add(Run(5_000, 4_000))
    peers = {"b@0": PeerLoad(1, 0, [RunSize(1_000, 0, 1_000, 1_000)])}
    loads.update_peer("other", 0.0, peers)
    found = rank_decode_engines(
        servers,
        loads,
        RunSize(4_000, 0, 1_000, 1_000),
        10_000,
        "a",
        0.0,
        random.Random(1),
    )
    assert [one.instance for one in found] == ["b"]


def test_choice_evaluates_a_bounded_number_of_engines():
    """Guards against a choice that takes milliseconds in a large fleet."""
    servers = [server(f"e{n}", Stage.DECODE) for n in range(1_400)]
    found = rank_decode_engines(
        servers, ServerLoads(), ONE_RUN, 10_000, "a", 0.0, random.Random(1)
    )
    assert len(found) == MAX_CANDIDATES


def test_empty_engine_admits_a_run_of_any_size():
    """Guards against large requests that no engine ever admits."""
    found = rank_decode_engines(
        [server("a", Stage.DECODE)],
        ServerLoads(),
        RunSize(9_000, 0, 8_000, 8_000),
        10_000,
        "a",
        0.0,
        random.Random(1),
    )
    assert len(found) == 1


def test_load_of_a_stale_peer_is_dropped():
    """Guards against engines that seem full after the loss of a gateway."""
    loads = ServerLoads()
    loads.update_peer("other", 0.0, {"a@0": PeerLoad(1, 100, [ONE_RUN])}, 3)
    assert loads.run_count("a@0") == 1
    loads.drop_stale_peers(2.0)
    assert loads.run_count("a@0") == 0
    assert loads.queued_at_peers() == 0


def test_server_that_two_peers_report_unreachable_is_avoided():
    """Guards against every gateway spending retries on the same lost server.

    A single report does not count, as that gateway may be cut off itself.
    """
    loads = ServerLoads()
    servers = [server("a"), server("b")]
    loads.update_peer("one", 0.0, {}, unreachable=["a@0"])
    assert len(eligible_servers(servers, loads, 0.1)) == 2
    loads.update_peer("two", 0.0, {}, unreachable=["a@0"])
    assert [one.instance for one in eligible_servers(servers, loads, 0.1)] == [
        "b"
    ]
    loads.update_peer("two", 0.2, {})
    assert len(eligible_servers(servers, loads, 0.3)) == 2


def test_only_unreachable_servers_are_reported_to_peers():
    """Guards against one slow request that makes all peers avoid a server."""
    loads = ServerLoads()
    loads.of("a@0").record_failure(0.0)
    loads.of("b@0").record_unreachable(0.0)
    assert loads.unreachable(0.1) == ["b@0"]
    loads.of("b@0").record_success(5.0)
    assert loads.unreachable(0.1) == []


def test_prompts_avoid_decode_engines_at_moderate_load():
    """Guards against pauses in streams while prefill engines have capacity."""
    loads = ServerLoads()
    prefill, decode = server("p", Stage.PREFILL), server("d", Stage.DECODE)
    loads.of("p@0").prefill_tokens = 20_000
    assert not should_prefill_on_decode(
        prefill, decode, loads, 5_000, 900, 0.0
    )
    loads.of("p@0").prefill_tokens = 200_000
    assert should_prefill_on_decode(prefill, decode, loads, 5_000, 900, 0.0)
    assert should_prefill_on_decode(None, decode, loads, 5_000, 900, 0.0)


def test_prompt_goes_to_the_engine_that_prefills_it_first():
    """Guards against a slow engine that gets as many prompts as the others."""
    loads = ServerLoads()
    servers = [server("p", Stage.PREFILL), server("q", Stage.PREFILL)]
    loads.of("p@0").prefill_ms_per_token = 0.2
    found = choose_prefill(servers, loads, 1_000, 0.1, random.Random(1))
    assert found.instance == "q"


def test_suspect_server_is_used_only_without_an_alternative():
    """Guards against a failing server that continues to get requests."""
    loads = ServerLoads()
    servers = [server("a"), server("b"), server("c", draining=True)]
    loads.of("a@0").record_failure(0.0)
    assert [one.instance for one in eligible_servers(servers, loads, 0.1)] == [
        "b"
    ]
    left = eligible_servers(servers, loads, 0.1, excluded={"b@0"})
    assert [one.instance for one in left] == ["a"]
    assert choose_plain([], loads, "a", 0.1, random.Random(1)) is None


def test_server_with_lapsed_registration_stays_in_use_for_a_grace_period():
    """Guards against refusing all requests after an outage of the store.

    Leases expire during the outage although their servers are alive.
    """
    servers = ServerList()
    known = [server(name) for name in "abc"]
    servers.apply(known, [], True, 0.0)
    servers.record_reconnect(10.0)
    servers.apply([], [], True, 10.0)
    assert len(servers.of("s", 10.1)) == 3
    servers.apply([server("a", revision=5)], [], False, 11.0)
    left = servers.of("s", 10.1 + LAPSE_GRACE_S)
    assert [one.instance for one in left] == ["a"]


def test_server_that_unregisters_is_removed_at_once():
    """Guards against requests to a server that left without draining."""
    servers = ServerList()
    servers.apply([server(name) for name in "abc"], [], True, 0.0)
    servers.apply([], ["a"], False, 60.0)
    assert len(servers.of("s", 60.0)) == 2


def test_older_registration_does_not_replace_a_newer_one():
    """Guards against a repeated event that resets a draining server."""
    servers = ServerList()
    servers.apply([server("a", draining=True, revision=9)], [], True, 0.0)
    servers.apply([server("a", revision=8)], [], False, 0.1)
    assert servers.of("s", 0.2)[0].draining


@given(st.lists(st.booleans(), max_size=200))
def test_retries_stay_within_the_budget(events):
    """Guards against retries that multiply the load of a failing service."""
    budget = GatewayRetryBudget(ratio=0.2, allowance=3.0, window_s=10.0)
    requests = retries = 0
    for number, is_request in enumerate(events):
        if is_request:
            budget.record_request(number / 100)
            requests += 1
        else:
            retries += budget.try_spend(number / 100)
    assert retries <= 0.2 * requests + 3.0


@given(
    st.lists(st.sampled_from([Stage.PREFILL, Stage.DECODE]), min_size=1),
    st.floats(100, 10_000),
    st.floats(10, 8_000),
)
def test_stage_change_is_not_reverted_by_the_next_one(stages, prompt, output):
    """Guards against an engine that switches back and forth between pools."""
    workload = Workload(prompt, output, 3.0, 100_000, 0.9)
    engines = [
        PoolEngine(str(n), stage, 32, 0.02) for n, stage in enumerate(stages)
    ]
    change = choose_stage_change(engines, workload)
    if change is None:
        return
    after = [
        PoolEngine(one.instance, change.stage, one.slots, 0.02)
        if one.instance == change.instance
        else one
        for one in engines
    ]
    back = choose_stage_change(after, workload)
    assert back is None or back.stage is change.stage


def test_pool_that_lost_engines_is_refilled():
    """Guards against one decode engine behind three prefill engines."""
    workload = Workload(5_000, 4_000, 3.0, 100_000, 0.9)
    engines = [PoolEngine(n, Stage.PREFILL, 32, 0.02) for n in "abc"]
    change = choose_stage_change(
        [*engines, PoolEngine("d", Stage.DECODE, 32, 0.02)], workload
    )
    assert change is not None
    assert change.stage is Stage.DECODE


def test_last_engine_of_a_pool_does_not_change():
    """Guards against a prefill pool that is emptied in favour of decoding.

    After one of two prefill engines has left, the rate observed for the other
    one under load can fall to the prefill rate of decode engines.
    """
    workload = Workload(5_000, 4_000, 3.0, 100_000, 0.9)
    engines = [PoolEngine(n, Stage.DECODE, 32, 0.02) for n in "abc"]
    slow = PoolEngine("p", Stage.PREFILL, 32, prefill_ms_per_token=0.2)
    change = choose_stage_change([*engines, slow], workload)
    assert change is None or change.stage is Stage.PREFILL


def test_queueing_does_not_raise_the_minimum_prefill_time():
    """Guards against a prefill pool of twice the needed size.

    In a fleet of 18 engines, queueing counted as prefill time made the pool
    seem half as fast as it was.
    """
    loads = ServerLoads()
    load = loads.of("p@0")
    for wait_ms in (0, 60, 120, 30, 90, 150) * 5:
        load.record_prefill(5_000, 90.0 + wait_ms)
    assert load.prefill_ms_per_token > 0.025
    assert load.min_prefill_ms_per_token < 0.0205
    for _ in range(40):
        load.record_prefill(5_000, 500.0)
    assert load.min_prefill_ms_per_token > 0.035


def test_queued_prompts_do_not_make_an_engine_look_faster():
    """Guards against a prefill pool that shrinks under load.

    Prompts that were queued before may be nearly processed. Divided by their
    tokens as well, the time of a prefill looked three times as short, and the
    last but one prefill engine changed its pool.
    """
    load = ServerLoads().of("p@0")
    for _ in range(5):
        load.record_prefill(3_000, 150.0)
        load.record_prefill(3_000, 180.0, queued_tokens=9_000)
    assert load.min_prefill_ms_per_token == 0.05


def test_prefill_speed_of_a_few_prompts_is_not_used():
    """Guards against a change of the pools after a change of the lock holder.

    A gateway that has just started takes an engine that it saw once, while
    others used it, for half as fast as it is.
    """
    loads = ServerLoads()
    for _ in range(MIN_PREFILLS - 1):
        loads.of("p@0").record_prefill(3_000, 300.0)
    assert loads.usual_prefill_ms_per_token(["p@0", "q@0"]) == 0.0
    loads.of("q@0").record_prefill(3_000, 150.0)
    assert loads.usual_prefill_ms_per_token(["p@0", "q@0"]) == 0.05


def test_one_of_two_conflicting_reservations_is_released():
    """Guards against gateways that overfill an engine at the same time.

    In a burst, 257 of 844 reservations raised the predicted peak of an engine
    above its memory because of a concurrent reservation.
    """
    decoding = [RunSize(5_500, 500, 4_000, 8_000) for _ in range(6)]
    first = RunSize(5_000, 0, 4_000, 8_000)
    second = RunSize(5_200, 0, 3_000, 8_000)
    concurrent = [*decoding, first, second]
    releases = [
        must_release_reservation(concurrent, own, 60_000)
        for own in (first, second)
    ]
    assert releases == [False, True]
    assert not must_release_reservation(
        [*decoding[:3], first, second], second, 60_000
    )
    assert not must_release_reservation([first], first, 4_000)


def test_run_that_has_not_started_streaming_is_not_migrated():
    """Guards against choosing a run that cannot be migrated."""
    prefilling = RunSize(9_000, 0, 7_000, 8_000)
    streaming = RunSize(6_000, 1_000, 4_000, 8_000)
    assert run_to_migrate([prefilling, streaming], 15_000) == streaming
    assert run_to_migrate([prefilling, prefilling], 15_000) is None


def test_empty_prefill_pool_gets_an_engine():
    """Guards against decode engines that continue to prefill all prompts."""
    workload = Workload(5_000, 4_000, 3.0, 100_000, 0.9)
    engines = [PoolEngine(n, Stage.DECODE, 32, 0.02) for n in "abcd"]
    change = choose_stage_change(engines, workload)
    assert change is not None
    assert change.stage is Stage.PREFILL


@given(SIZES, st.floats(0, 3))
def test_margin_never_lowers_the_predicted_peak(sizes, margin):
    """Guards against preemptions when several outputs are long."""
    assert predict_peak_tokens(sizes, margin) >= predict_peak_tokens(
        sizes, 0.0
    )


def test_retry_does_not_delay_a_first_attempt():
    """Guards against a burst whose refused requests delay later ones.

    A client that retries after a refusal is late already.
    """
    retried = QueuedGeneration(first_event_due_in_s(9.0, 14.0, 0.9), 3.0, 1)
    new = QueuedGeneration(first_event_due_in_s(13.5, 14.0, 0.9), 3.0, 2)
    assert queue_order([retried, new], 0.0, 0.1) == [new, retried]


def test_second_engine_may_change_during_a_change():
    """Guards against a small pool that is refilled one engine at a time."""
    workload = Workload(5_000, 4_000, 3.0, 100_000, 0.9)
    engines = [PoolEngine(n, Stage.PREFILL, 32, 0.02) for n in "abe"]
    engines.append(PoolEngine("d", Stage.DECODE, 32, 0.02))
    changing = [PoolEngine("c", Stage.DECODE, 32, 0.02)]
    change = choose_stage_change(engines, workload, changing)
    assert change is not None
    assert change.stage is Stage.DECODE
    # The only remaining prefill engine must not change.
    assert choose_stage_change(engines[2:], workload, changing) is None


def test_pool_keeps_its_redundancy_for_a_moderate_gain():
    """Guards against a single prefill engine whose loss stops the service.

    In a fleet of five engines a decode engine drained, one of two prefill
    engines changed its pool for a gain of a third, and then the other prefill
    engine left as well.
    """
    workload = Workload(5_200, 4_100, 3.0, 100_615, 0.9)
    engines = [PoolEngine(n, Stage.PREFILL, 32, 0.02) for n in "ab"]
    engines += [PoolEngine(n, Stage.DECODE, 32, 0.02) for n in "cd"]
    assert choose_stage_change(engines, workload) is None


def test_pool_loses_its_redundancy_for_a_much_higher_rate():
    """Guards against a single decode engine behind two prefill engines."""
    workload = Workload(5_200, 4_100, 3.0, 100_615, 0.9)
    engines = [PoolEngine(n, Stage.PREFILL, 32, 0.02) for n in "ab"]
    change = choose_stage_change(
        [*engines, PoolEngine("c", Stage.DECODE, 32, 0.02)], workload
    )
    assert change is not None
    assert change.stage is Stage.DECODE


def test_first_of_several_changes_may_gain_little():
    """Guards against an imbalance that no single change improves enough.

    In large pools one engine alone gains less than the threshold.
    """
    workload = Workload(5_000, 4_000, 3.3, 60_000, 0.9)
    engines = [PoolEngine(f"p{n}", Stage.PREFILL, 12, 0.02) for n in range(6)]
    engines += [PoolEngine(f"d{n}", Stage.DECODE, 12, 0.02) for n in range(12)]
    change = choose_stage_change(engines, workload)
    assert change is not None
    assert change.stage is Stage.DECODE


def chat_workload(kv_tokens: int) -> Workload:
    """Short answers: 46 us a prompt token, runs of 3.4 s, little memory."""
    return Workload(3_200, 850, 3.4, kv_tokens, 0.9)


def chat_engines(prefill: int, decode: int) -> list[PoolEngine]:
    stages = [Stage.PREFILL] * prefill + [Stage.DECODE] * decode
    return [
        PoolEngine(str(n), stage, 64, 0.046) for n, stage in enumerate(stages)
    ]


def test_prefill_pool_is_large_enough_for_the_first_event_objective():
    """Guards against first events that queue at few, busy prefill engines.

    Pattern: eight engines, 6.5 chat requests a second in clumps of three. A
    single prefill engine has a utilization of nearly 1.
    """
    workload = chat_workload(37_952)
    assert choose_stage_change(chat_engines(3, 5), workload) is None
    change = choose_stage_change(chat_engines(1, 7), workload)
    assert change is not None
    assert change.stage is Stage.PREFILL


def test_decode_pool_gets_an_engine_before_generations_queue_for_memory():
    """Guards against first events that wait for memory of decode engines.

    Pattern: six engines, 8 chat requests a second. Three decode engines have
    memory for 8.3 on average, so that a burst waits for seconds; two prefill
    engines read 12 prompts a second.
    """
    workload = replace(chat_workload(37_952), demand_per_s=8.0)
    change = choose_stage_change(chat_engines(3, 3), workload)
    assert change is not None
    assert change.stage is Stage.DECODE
    assert choose_stage_change(chat_engines(2, 4), workload) is None


def test_no_engine_changes_its_pool_while_there_is_a_reserve():
    """Guards against changes that gain nothing and cost an engine for seconds.

    Pattern: the pools are far from their balance, but the demand is half of
    what they serve. Without an engine in one of them a change is due anyway.
    """
    workload = replace(chat_workload(37_952), demand_per_s=2.0)
    assert choose_stage_change(chat_engines(1, 7), workload) is None
    assert choose_stage_change(chat_engines(0, 8), workload) is not None
    busy = replace(workload, demand_per_s=7.0)
    assert choose_stage_change(chat_engines(1, 7), busy) is not None


def test_overloaded_pool_gets_an_engine_for_a_small_gain():
    """Guards against a burst in which the pools wait for a larger imbalance.

    Pattern: two prefill and six decode engines are rated at 11.3 requests a
    second, three and five at 12.7, a gain of 13 in 100.
    """
    workload = chat_workload(37_952)
    rates = [
        service_rate(chat_engines(prefill, 8 - prefill), workload)
        for prefill in (2, 3)
    ]
    assert MIN_GAIN_IN_OVERLOAD < rates[1] / rates[0] < MIN_GAIN
    overloaded = replace(workload, demand_per_s=rates[0] + 1)
    change = choose_stage_change(chat_engines(2, 6), overloaded)
    assert change is not None
    assert change.stage is Stage.PREFILL
    served = replace(workload, demand_per_s=rates[0] - 1)
    assert choose_stage_change(chat_engines(2, 6), served) is None


def late_share(engines: int, per_s: float, prefill_s: float) -> float:
    """Simulate clumped prompts at the shortest of some prefill queues."""
    rng = random.Random(1)
    free_s = [0.0] * engines
    now_s, late, total = 0.0, 0, 20_000
    for _ in range(total // 2):
        now_s += rng.expovariate(per_s / 2)
        for _ in range(2):
            first = min(range(engines), key=free_s.__getitem__)
            free_s[first] = max(free_s[first], now_s) + prefill_s
            late += free_s[first] - now_s > 0.8 * 0.9
    return late / total


@given(st.integers(1, 6), st.floats(0.05, 0.3))
@settings(max_examples=20, deadline=None)
def test_rated_load_of_a_prefill_pool_keeps_its_late_share(engines, prefill_s):
    """Guards against a rated load at which more first events are late.

    The share is that of the target, 5 in 100. Prompts arrive in pairs and go
    to the shortest queue.
    """
    pool = [
        PoolEngine(str(n), Stage.PREFILL, 64, 1_000 * prefill_s / 3_200)
        for n in range(engines)
    ]
    per_s = prefill_pool_rate(pool, chat_workload(37_952), late_share=0.05)
    assert late_share(engines, per_s, prefill_s) <= 0.05


def test_route_with_the_longest_prefix_is_chosen():
    """Guards against a route that shadows a more specific one."""
    routes = tuple(
        Route(prefix, "h", prefix, RequestKind.IDEMPOTENT, targets, 100)
        for prefix in ("/a/", "/a/b/")
        for targets in [(Target("s", 1.0),)]
    )
    cfg = Configuration(1, routes)
    assert cfg.route("H:80", "/a/b/c").name == "/a/b/"
    assert cfg.route("h", "/a/c").name == "/a/"
    assert cfg.route("h", "/b") is None
    assert cfg.route("other", "/a/") is None
