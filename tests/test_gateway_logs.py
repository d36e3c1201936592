"""Log lines found by request id must explain why the request failed."""

from __future__ import annotations

import asyncio
import logging
import re

import pytest
from absl import logging as absl_logging

from tests.gateway_kit import configuration, serving

POOLS = (("p", "llm", "prefill"), ("d", "llm", "decode"))


@pytest.fixture
def lines(caplog):
    absl_logging.use_absl_handler()
    absl_logging.set_verbosity(absl_logging.INFO)
    caplog.set_level(logging.INFO)

    def lines_of(request: str) -> list[str]:
        found = [record.getMessage() for record in caplog.records]
        return [line for line in found if f"request={request} " in line]

    return lines_of


def events(lines: list[str]) -> list[str]:
    return [re.search(r"event=(\w+)", line)[1] for line in lines]


def test_refused_generation_is_explained(lines):
    """Guards against a refusal without its reason and configuration."""

    async def work():
        async with serving(*POOLS) as kit:
            kit.engines["d"].has_room = False
            assert (await kit.generate()).status == 503

    asyncio.run(work())
    (failed,) = lines("r1")
    assert "event=failed" in failed
    assert "status=503" in failed
    assert "code=no_room" in failed
    assert "attempts=0" in failed
    assert "configuration=3" in failed


def test_unknown_outcome_after_a_timeout_is_explained(lines):
    """Guards against an unknown outcome without the server that timed out."""

    async def work():
        async with serving(("a", "desk", "")) as kit:
            kit.store.put("op/config", configuration(9, timeout_ms=300))
            directory = kit.daemon.context.directory
            await kit.until(lambda: directory.configuration.version == 9)
            kit.engines["a"].mode = "hang"
            assert (await kit.call("/once/x")).status == 504

    asyncio.run(work())
    found = lines("r1")
    assert events(found) == ["routed", "server_failed", "failed"]
    assert "server=a" in found[1]
    assert "code=answer_lost" in found[1]
    assert "status=504" in found[2]


def test_truncated_stream_is_explained(lines):
    """Guards against a truncated stream without its engine and last event."""

    async def work():
        async with serving(*POOLS) as kit:
            kit.engines["d"].mode = "truncate"
            kit.engines["d"].event_s = 0.05
            assert not (await kit.generate()).complete

    asyncio.run(work())
    found = lines("r1")
    assert events(found)[:2] == ["reserved", "prefilled"]
    assert events(found)[-2:] == ["server_failed", "failed"]
    assert "server=d" in found[-2]
    assert "events=1" in found[-2]


def test_failures_of_the_same_content_are_related(lines):
    """Guards against repetitions that no log line relates to each other."""

    async def work():
        async with serving(("a", "desk", "")) as kit:
            kit.engines["a"].mode = "reset"
            for body in (b"same", b"same", b"other"):
                assert (await kit.call("/once/x", body=body)).status == 502

    asyncio.run(work())
    failed = [
        re.search(r"event=server_failed .*content=(\w+)", line)[1]
        for request in ("r1", "r2", "r3")
        for line in lines(request)
        if "event=server_failed" in line
    ]
    assert failed[0] == failed[1] != failed[2]


def test_parts_of_a_prompt_are_logged(lines):
    """Guards against requests whose common part no log line shows."""

    async def work():
        async with serving(*POOLS) as kit:
            assert (await kit.generate()).status == 200

    asyncio.run(work())
    (reserved,) = [line for line in lines("r1") if "event=reserved" in line]
    assert " parts=ab " in reserved


def test_versions_of_a_stream_that_goes_on_are_logged(lines):
    """Guards against a stream of two versions that no log line shows."""

    async def work():
        async with serving(*POOLS) as kit:
            kit.engines["d"].mode = "truncate"
            kit.engines["d"].event_s = 0.05
            assert not (await kit.generate()).complete
            kit.engines["d"].mode = "answer"
            resumed = {"Last_Event_Id": "1", "Resumes": "r1"}
            assert (await kit.generate("/again/x", **resumed)).complete

    asyncio.run(work())
    (failed,) = [x for x in lines("r1") if "event=server_failed" in x]
    assert " server=d version=v1 " in failed
    (taken_up,) = [x for x in lines("r2") if "event=taken_up" in x]
    assert " begun_by=r1 after=1 " in taken_up
    (answered,) = [x for x in lines("r2") if "event=answered" in x]
    assert " server=d version=v1 " in answered


@pytest.mark.parametrize("mode", ["answer", "unframed"])
def test_answers_that_end_with_their_connection_are_told_apart(mode, lines):
    """Guards against an end that nothing declared and no log line shows."""

    async def work():
        async with serving(("a", "desk", ""), *POOLS) as kit:
            for engine in kit.engines.values():
                engine.mode = mode
            assert (await kit.call("/once/x")).status == 200
            assert (await kit.generate()).status == 200

    asyncio.run(work())
    for request in ("r1", "r2"):
        (answered,) = [
            line for line in lines(request) if "event=answered" in line
        ]
        assert f" framed={mode == 'answer'} " in answered
