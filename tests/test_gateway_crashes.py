"""Requests that crash each backend server that executes them.

The bounds are those that the users state: after the third crash under a
request, at most three more copies of it may reach servers, and after the fifth
crash under a part of prompts, at most three more requests with it.
"""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack

import pytest

from gooseberrypost.gateway.notices import decode_notice, encode_crash
from gooseberrypost.gateway.quarantine import (
    SETTLING_S,
    Content,
    CrashReport,
)
from gooseberrypost.policy.suspects import Suspect
from gooseberrypost.wire.codec import Frame, encode
from gooseberrypost.wire.messages import idl
from tests.crash_kit import (
    CRASHES_BEFORE_LIMIT,
    CRASHES_BEFORE_PART_LIMIT,
    DESKS,
    MAX_SENDS_AFTER,
    PAUSE_S,
    POISON,
    POOLS,
    REPETITIONS,
    crashing,
    has_poison_body,
    has_poison_part,
    has_poison_target,
)
from tests.gateway_kit import HOST, configuration, serving


@pytest.mark.parametrize(
    ("engines", "path"),
    [(DESKS, "/once/x"), (DESKS, "/safe/x"), (POOLS, "/text/x")],
)
def test_repeated_request_crashes_few_servers(engines, path):
    """Guards against a request that crashes one server after another.

    Each copy is a new attempt of a client, and comes at either gateway.
    """

    async def work():
        async with crashing(*engines, is_poison=has_poison_body) as crash_kit:
            statuses = []
            for number in range(REPETITIONS):
                response = await crash_kit.send(path, POISON, number % 2)
                statuses.append(response.status)
                await crash_kit.restart_crashed()
                await asyncio.sleep(PAUSE_S)
            assert crash_kit.crashes <= CRASHES_BEFORE_LIMIT + MAX_SENDS_AFTER
            # The refusal states that the request was not executed.
            assert statuses[-1] == 503
            for gateway in range(2):
                response = await crash_kit.send(path, b"sound", gateway)
                assert response.status == 200

    asyncio.run(work())


@pytest.mark.parametrize("method", ["GET", "HEAD", "PUT", "DELETE"])
def test_repeated_lookup_crashes_few_servers(method):
    """Guards against crashes that the HTTP client hides.

    It would send such a request again by itself after a lost connection. The
    second connection is refused, as if nothing had been sent.
    """

    async def work():
        async with crashing(*DESKS, is_poison=has_poison_target) as crash_kit:
            statuses = []
            for number in range(REPETITIONS):
                response = await crash_kit.send(
                    "/safe/poison", None, number % 2, method=method
                )
                statuses.append(response.status)
                await crash_kit.restart_crashed()
                await asyncio.sleep(PAUSE_S)
            assert crash_kit.crashes <= CRASHES_BEFORE_LIMIT + MAX_SENDS_AFTER
            assert statuses[-1] == 503
            for gateway in range(2):
                response = await crash_kit.send(
                    "/safe/sound", None, gateway, method=method
                )
                assert response.status == 200

    asyncio.run(work())


def test_quarantine_outlasts_all_gateways():
    """Guards against a crashing request that runs again after restarts."""

    async def work():
        async with AsyncExitStack() as stack:
            crash_kit = await stack.enter_async_context(
                crashing(*DESKS, is_poison=has_poison_body)
            )
            await crash_kit.quarantine("/once/x")
            items = crash_kit.kit.store.items
            prefix = "gooseberrypost/quarantine/"
            await crash_kit.kit.until(
                lambda: any(key.startswith(prefix) for key in items)
            )
            for gateway in crash_kit.gateways:
                await gateway.stop()
            number = await crash_kit.add_gateway(stack, "gateway-3")
            response = await crash_kit.send("/once/x", POISON, number)
            assert response.status == 503
            await crash_kit.restart_crashed()
            assert crash_kit.crashes == CRASHES_BEFORE_LIMIT

    asyncio.run(work())


def test_quarantine_reaches_other_gateways_without_the_store():
    """Guards against gateways that agree only while the store answers."""

    async def work():
        async with crashing(*DESKS, is_poison=has_poison_body) as crash_kit:
            second = crash_kit.gateways[1].context
            await crash_kit.kit.until(lambda: second.directory.gateways)
            crash_kit.kit.store.down = True
            for engine in crash_kit.kit.engines.values():
                # Only one server may crash until it is registered again.
                engine.crashes_on = has_poison_body
            for _ in range(CRASHES_BEFORE_LIMIT):
                assert (await crash_kit.send("/once/x", POISON)).status == 502
            await crash_kit.kit.until(
                lambda: second.quarantine.evidence.convicted
            )
            assert (await crash_kit.send("/once/x", POISON, 1)).status == 503

    asyncio.run(work())


def test_operator_ends_a_quarantine():
    """Guards against a wrong verdict that nobody can correct."""

    async def work():
        async with crashing(*DESKS, is_poison=has_poison_body) as crash_kit:
            await crash_kit.quarantine("/once/x")
            store = crash_kit.kit.store
            prefix = "gooseberrypost/quarantine/"
            first, second = (g.context for g in crash_kit.gateways)
            for ctx in (first, second):
                await crash_kit.kit.until(
                    lambda c=ctx: c.directory.convictions
                )
            for engine in crash_kit.kit.engines.values():
                engine.crashes_on = lambda request: False
            for key in [key for key in store.items if key.startswith(prefix)]:
                store.remove(key)
            for ctx in (first, second):
                await crash_kit.kit.until(
                    lambda c=ctx: not c.quarantine.is_active
                )
            for gateway in range(2):
                response = await crash_kit.send("/once/x", POISON, gateway)
                assert response.status == 200

    asyncio.run(work())


def test_answer_narrows_a_quarantine_down_in_the_store():
    """Guards against a verdict that only the gateways' memory has.

    The parts of the first verdict always came together. An answer to one of
    them, long after the crashes, leaves the other.
    """

    async def work():
        async with crashing(*DESKS, is_poison=has_poison_body) as crash_kit:
            kit, gateway = crash_kit.kit, crash_kit.gateways[0]
            quarantine = gateway.context.quarantine
            for number in range(CRASHES_BEFORE_LIMIT):
                lost = {f"r{number}": Suspect(frozenset(("a", "b")))}
                quarantine._report(f"server-{number}@1", lost)
            prefix = "gooseberrypost/quarantine/"
            await kit.until(lambda: f"{prefix}a+b" in kit.store.items)
            for peer in crash_kit.gateways:
                await kit.until(
                    lambda p=peer: p.context.quarantine.evidence.convicted
                )
                peer.context.quarantine._reports.clear()
                peer.context.quarantine._reported_s.clear()
            quarantine.record_answer(Content("other", frozenset(("a",))))
            await kit.until(lambda: f"{prefix}b" in kit.store.items)
            for peer in crash_kit.gateways:
                directory = peer.context.directory
                await kit.until(lambda d=directory: "a+b" in d.withdrawn)
                evidence = peer.context.quarantine.evidence
                await kit.until(lambda e=evidence: set(e.convicted) == {"b"})
            # Nor does the end of the first verdict take the second with it.
            await asyncio.sleep(1.0)
            for peer in crash_kit.gateways:
                assert set(peer.context.quarantine.evidence.convicted) == {"b"}
                assert set(peer.context.directory.convictions) == {"b"}

    asyncio.run(work())


def test_withdrawn_verdict_may_be_found_again():
    """Guards against new evidence that an old withdrawal overrules.

    The withdrawal stays in the store, and the directory changes for other
    reasons.
    """

    async def work():
        async with crashing(*DESKS, is_poison=has_poison_body) as crash_kit:
            kit, ctx = crash_kit.kit, crash_kit.gateways[0].context
            kit.store.put("gooseberrypost/quarantine/poison", b"-1")
            await kit.until(lambda: "poison" in ctx.directory.withdrawn)
            # The store takes no new verdict for a while.
            ctx.quarantine.changed = asyncio.Event()
            for number in range(CRASHES_BEFORE_LIMIT):
                lost = {"poison": Suspect()}
                ctx.quarantine._report(f"server-{number}@1", lost)
            evidence = ctx.quarantine.evidence
            await kit.until(lambda: evidence.convicted)
            version = ctx.directory.configuration.version
            kit.store.put("op/config", configuration(version + 1))
            await kit.until(
                lambda: ctx.directory.configuration.version > version
            )
            await asyncio.sleep(0.1)
            assert set(evidence.convicted) == {"poison"}

    asyncio.run(work())


def test_answered_request_is_not_quarantined():
    """Guards against refusing requests that only ran beside others' crashes.

    A server that crashes for its own reasons takes every request with it that
    it runs, and the same call may be hit several times.
    """

    async def work():
        async with crashing(*DESKS, is_poison=has_poison_body) as crash_kit:
            for number in range(REPETITIONS):
                path = f"/safe/{number % 2}"
                # The first server of two attempts fails.
                for engine in crash_kit.kit.engines.values():
                    engine.crashes_on = fail_once(engine)
                response = await crash_kit.send(path, b"sound", number % 2)
                await crash_kit.restart_crashed()
                for engine in crash_kit.kit.engines.values():
                    engine.crashes_on = lambda request: False
                response = await crash_kit.send(path, b"sound", number % 2)
                assert response.status == 200

    asyncio.run(work())


def split_configuration(version: int) -> dict:
    """Return a configuration with a route to two services."""
    document = configuration(version)
    services = [{"service": s, "weight": 1} for s in ("desk", "canary")]
    document["routes"].append(
        {
            "name": "split",
            "host": HOST,
            "path_prefix": "/split/",
            "kind": "non_idempotent",
            "traffic_split": services,
            "timeout_ms": 2_000,
            "target_latency_ms": 900,
            "max_attempts": 1,
        }
    )
    document["services"].append({"name": "canary", "max_connections": 10})
    return document


def test_answers_of_one_service_do_not_clear_crashes_of_another():
    """Guards against a new version that crashes on what the old one answers.

    A route may be split between services, so that the same request comes to
    either of them.
    """

    async def work():
        canaries = tuple((f"canary-{n}", "canary", "") for n in range(2))
        async with crashing(
            *DESKS, *canaries, is_poison=has_poison_body
        ) as crash_kit:
            for name, engine in crash_kit.kit.engines.items():
                if name.startswith("desk"):
                    engine.crashes_on = lambda request: False
                else:
                    crash_kit.services[name] = "canary"
            crash_kit.kit.store.put("op/config", split_configuration(9))
            for gateway in crash_kit.gateways:
                directory = gateway.context.directory
                await crash_kit.kit.until(
                    lambda d=directory: d.configuration.version == 9
                )
            statuses = []
            for number in range(3 * REPETITIONS):
                response = await crash_kit.send("/split/x", POISON, number % 2)
                statuses.append(response.status)
                await crash_kit.restart_crashed()
                await asyncio.sleep(PAUSE_S)
            assert crash_kit.crashes <= CRASHES_BEFORE_LIMIT + MAX_SENDS_AFTER
            # One service refuses the request, and the other still answers it.
            assert set(statuses[-REPETITIONS:]) == {200, 503}

    asyncio.run(work())


@pytest.mark.parametrize(
    ("mode", "is_whole"),
    [
        ("answer", True),
        ("unframed", True),
        ("unframed_exit", False),
        ("unframed_restart", False),
    ],
)
@pytest.mark.parametrize(
    ("engines", "path"), [(DESKS, "/safe/x"), (POOLS, "/text/x")]
)
def test_only_an_answer_with_a_certain_end_clears_content(
    engines, path, mode, is_whole
):
    """Guards against a crash that cuts an answer and looks like its end.

    Also against evidence that no answer without framing ends, although the
    process that sent it still runs.
    """

    async def work():
        async with crashing(*engines, is_poison=has_poison_body) as crash_kit:
            assert (await crash_kit.send(path, POISON)).status >= 500
            await crash_kit.restart_crashed()
            quarantine = crash_kit.gateways[0].context.quarantine
            await crash_kit.kit.until(lambda: quarantine.has_evidence)
            for engine in crash_kit.kit.engines.values():
                engine.crashes_on = lambda request: False
                engine.mode = mode
            response = await crash_kit.send(path, POISON)
            assert (response.status == 200 and response.complete) is is_whole
            assert quarantine.has_evidence is not is_whole

    asyncio.run(work())


@pytest.mark.parametrize(
    ("engines", "path"), [(DESKS, "/safe/x"), (POOLS, "/text/x")]
)
def test_server_error_does_not_clear_content(engines, path):
    """Guards against crashes that an error in between makes forgotten.

    A server that fails a request has not shown that the request is sound.
    """

    async def work():
        async with crashing(*engines, is_poison=has_poison_body) as crash_kit:
            servers = crash_kit.kit.engines.values()
            for number in range(REPETITIONS):
                is_crashing = number % 2 == 0
                for engine in servers:
                    engine.mode = "answer" if is_crashing else "error"
                    engine.crashes_on = (
                        has_poison_body if is_crashing else lambda _: False
                    )
                response = await crash_kit.send(path, POISON, number // 2 % 2)
                assert response.status >= 500
                await crash_kit.restart_crashed()
                await asyncio.sleep(PAUSE_S)
            assert response.status == 503

    asyncio.run(work())


def test_shared_part_of_unframed_streams_outlasts_an_unrelated_crash():
    """Guards against sound prompts that no answer clears.

    Streams end with their connection. Three servers crash under a bad part
    and one for another reason; all prompts share their first part.
    """

    async def work():
        async with crashing(*POOLS, is_poison=has_poison_part) as crash_kit:
            engines = crash_kit.kit.engines
            for engine in engines.values():
                engine.mode = "unframed"

            async def send(number: int, part: str):
                return await crash_kit.send(
                    f"/text/{part}{number}",
                    f"{part} {number}".encode(),
                    number % 2,
                    X_Gooseberrypost_Prompt_Prefix=(
                        f"first:20,{part}:20,own{number}:40"
                    ),
                )

            for number in range(CRASHES_BEFORE_LIMIT):
                assert (await send(number, "sound")).status == 200
                await send(number, "bad")
                await crash_kit.restart_crashed()
                await asyncio.sleep(PAUSE_S)
            await asyncio.sleep(SETTLING_S)
            assert (await send(10, "bad")).status == 503
            for engine in engines.values():
                engine.crashes_on = lambda request: True
            await send(11, "sound")
            for engine in engines.values():
                engine.crashes_on = has_poison_part
            await crash_kit.restart_crashed()
            await asyncio.sleep(SETTLING_S + PAUSE_S)
            for number in range(2):
                got = await send(20 + number, f"other{number}")
                assert (got.status, got.complete) == (200, True)
            assert (await send(30, "bad")).status == 503

    asyncio.run(work())


def fail_once(engine):
    """Return a condition under which only the first request crashes."""
    return lambda request: not engine.crashes


@pytest.mark.parametrize("path", ["/text", "/again"])
@pytest.mark.parametrize("sound_answers", ["none", "before", "between"])
def test_requests_with_a_crashing_part_crash_few_servers(path, sound_answers):
    """Guards against a part of prompts that crashes one server after another.

    No two of the requests are equal. Sound ones share their other parts.
    """

    async def work():
        async with crashing(*POOLS, is_poison=has_poison_part) as crash_kit:

            async def send(number: int, part: str):
                return await crash_kit.send(
                    f"{path}/{part}{number}",
                    f"{part} {number}".encode(),
                    number % 2,
                    X_Gooseberrypost_Prompt_Prefix=(
                        f"first:20,{part}:20,last:20,own{number}:40"
                    ),
                )

            if sound_answers == "before":
                for number in range(2):
                    assert (await send(number, "good")).status == 200
            statuses = []
            for number in range(REPETITIONS):
                statuses.append((await send(number, "bad")).status)
                await crash_kit.restart_crashed()
                await asyncio.sleep(PAUSE_S)
                if sound_answers == "between":
                    assert (await send(number, "good")).status == 200
            most = CRASHES_BEFORE_PART_LIMIT + MAX_SENDS_AFTER
            assert crash_kit.crashes <= most
            assert statuses[-1] == 503
            for number in range(2):
                assert (await send(number, "good")).status == 200

    asyncio.run(work())


def test_part_that_crashes_resumed_streams_is_refused():
    """Guards against two crashes of one resumed stream that count once.

    Engines crash after its first event, so that nothing tells the crashing
    stream from those that were lost beside it.
    """

    async def work():
        async with crashing(*POOLS, is_poison=has_poison_part) as crash_kit:
            for engine in crash_kit.kit.engines.values():
                engine.crashes_begun = True
            ran_after_limit = 0
            for number in range(REPETITIONS):
                is_over = crash_kit.crashes >= CRASHES_BEFORE_PART_LIMIT
                runs = count_runs(crash_kit)
                await crash_kit.send(
                    f"/again/{number}",
                    f"{number}".encode(),
                    number % 2,
                    X_Gooseberrypost_Prompt_Prefix=f"bad:20,own{number}:40",
                )
                if is_over:
                    ran_after_limit += count_runs(crash_kit) - runs
                await crash_kit.restart_crashed()
                await asyncio.sleep(PAUSE_S)
            assert crash_kit.crashes >= CRASHES_BEFORE_PART_LIMIT
            assert ran_after_limit <= MAX_SENDS_AFTER

    asyncio.run(work())


def count_runs(crash_kit) -> int:
    engines = crash_kit.kit.engines.values()
    return sum(len(engine.executed) for engine in engines)


def test_reports_of_many_crashes_fit_into_a_notice():
    """Guards against load notices that are too long for a datagram.

    A notice that cannot be sent also hides the sender's load.
    """

    async def work():
        async with serving(*DESKS) as kit:
            quarantine = kit.daemon.context.quarantine
            for crash in range(20):
                lost = {
                    f"{crash:016}{n:016}": Suspect(
                        frozenset(f"{part:016}{n:016}" for part in range(8)),
                        has_begun=n != 7,
                    )
                    for n in range(60)
                }
                quarantine._report(f"server-{crash}@1", lost)
            reports = quarantine.recent_reports()
            convictions = quarantine.newest_convictions()
            assert sum(report.size for report in reports) <= 512
            assert f"{19:016}{7:016}" in reports[0].lost
            message = idl.LoadNotice(
                name="g",
                incarnation=1,
                sequence=1,
                servers=[],
                configuration_version=1,
                crashes=[encode_crash(report) for report in reports],
            )
            data = encode(Frame(1, message))
            assert len(data) < 32_768
            assert list(decode_notice(data).crashes) == reports
            assert not convictions

    asyncio.run(work())


def test_report_without_parts_is_understood():
    """Guards against reports of an older gateway that are dropped."""
    report = CrashReport("server@1", {"a": Suspect(), "b": Suspect()})
    crash = encode_crash(report)
    crash.parts = crash.begun = None
    message = idl.LoadNotice(
        name="g",
        incarnation=1,
        sequence=1,
        servers=[],
        configuration_version=1,
        crashes=[crash],
    )
    assert decode_notice(encode(Frame(1, message))).crashes == (report,)
