"""Answers whose status says that a request was not run, after a run."""

from __future__ import annotations

import asyncio

import pytest

from tests.gateway_kit import serving

PLAIN = (("a", "desk", ""), ("b", "desk", ""))
MODEL = (("p", "llm", "prefill"), ("d", "llm", "decode"))
STAMP = "X-Gooseberrypost-Server-Stamp"


def run(work):
    asyncio.run(work())


def fail_after_runs(kit, status: int):
    for engine in kit.engines.values():
        engine.mode, engine.own_status = "own_status", status


def executions(kit) -> int:
    return sum(len(engine.executed) for engine in kit.engines.values())


@pytest.mark.parametrize("path", ["/once/x", "/text/x"])
@pytest.mark.parametrize("status", [408, 429, 503])
def test_request_that_ran_is_not_called_refused(path, status):
    """Guards against a call made twice by a client that trusts the status.

    Neither the server's stamp nor its time to come back may be with another
    status. The same holds for a stream that may not be resumed.
    """

    async def work():
        async with serving(*PLAIN, *MODEL) as kit:
            fail_after_runs(kit, status)
            got = await kit.generate(path)
            assert got.status == 502
            assert STAMP not in got.headers
            assert "Retry-After" not in got.headers
            assert executions(kit) == 1

    run(work)


@pytest.mark.parametrize("path", ["/once/x", "/text/x"])
@pytest.mark.parametrize("status", [400, 404, 500, 504])
def test_statuses_that_promise_nothing_are_forwarded(path, status):
    """Guards against a server's own failure that its client does not get."""

    async def work():
        async with serving(*PLAIN, *MODEL) as kit:
            fail_after_runs(kit, status)
            got = await kit.generate(path)
            assert (got.status, got.body) == (status, b"own")
            assert STAMP in got.headers
            assert executions(kit) == 1

    run(work)


@pytest.mark.parametrize("path", ["/safe/x", "/again/x"])
def test_failure_of_a_repeatable_request_is_forwarded(path):
    """Guards against another status where a repetition does no harm."""

    async def work():
        async with serving(*PLAIN, *MODEL) as kit:
            fail_after_runs(kit, 503)
            got = await kit.generate(path)
            assert (got.status, got.body) == (503, b"own")
            assert STAMP in got.headers

    run(work)


@pytest.mark.parametrize("path", ["/once/x", "/text/x"])
def test_signed_421_is_no_proof_that_another_instance_answered(path):
    """Guards against a second run of a call whose server answered 421.

    It has the server's stamp, and does not state that nothing was run.
    """

    async def work():
        async with serving(*PLAIN, *MODEL) as kit:
            await kit.add("d2", "llm", "decode")
            fail_after_runs(kit, 421)
            got = await kit.generate(path)
            assert got.status == 502
            assert STAMP not in got.headers
            assert executions(kit) == 1

    run(work)


@pytest.mark.parametrize("states_so", [True, False])
def test_421_of_another_instance_is_tried_elsewhere(states_so):
    """Guards against 502 for a call that another instance has refused.

    Without the stamp the status alone says that nothing was run.
    """

    async def work():
        async with serving(*PLAIN) as kit:
            kit.engines["a"].instance = "another"
            kit.engines["a"].states_refusals = states_so
            for _ in range(8):
                got = await kit.call("/once/x")
                assert got.status == 200
            assert not kit.engines["a"].executed

    run(work)
