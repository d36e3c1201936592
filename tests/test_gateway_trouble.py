"""Requests through a gateway whose backend servers or store are in trouble."""

from __future__ import annotations

import asyncio
import time

import pytest

from gooseberrypost.platform.store import PlatformStore, StoreUnavailable
from tests.gateway_kit import configuration, serving
from tests.standins.platform_store import FakePlatformStore
from tests.standins.troubled_engine import TroubledEngine

MAX_READ_BYTES = 16 * 1024 * 1024
"""Bytes that may be sent before the gateway closes: the largest answer and
what the sockets of both sides buffer."""

POOLS = (("p", "llm", "prefill"), ("d", "llm", "decode"))


def run(work):
    return asyncio.run(work())


async def add_troubled(kit, instance: str, service: str, stage: str = ""):
    """Add a troubled backend server and wait until the gateway knows it."""
    engine = await TroubledEngine(instance, stage).start()
    kit.engines[instance] = engine
    kit.register(instance, service)
    servers = kit.daemon.context.directory.servers
    await kit.until(
        lambda: instance in {server.instance for server in servers.all()}
    )
    return engine


@pytest.mark.parametrize(
    "mode",
    [
        "endless_status",
        "endless_headers",
        "endless_header",
        "endless_interim",
        "endless_body",
        "endless_error_body",
        "endless_extension",
        "endless_trailer",
    ],
)
@pytest.mark.parametrize("route", ["once", "text"])
def test_answer_without_end_is_cut_and_its_outcome_unknown(mode, route):
    """Guards against a server that fills the memory of a gateway.

    Its bytes end only when the caller closes. The request may have run, so
    its client must not be told otherwise.
    """

    async def work():
        async with serving(("p", "llm", "prefill")) as kit:
            service, stage = (
                ("desk", "")
                if route == "once"
                else (
                    "llm",
                    "decode",
                )
            )
            engine = await add_troubled(kit, "x", service, stage)
            engine.mode = mode
            started_s = time.monotonic()
            got = await (
                kit.call("/once/x") if route == "once" else kit.generate()
            )
            assert got.status in (502, 504)
            assert time.monotonic() - started_s < 4.0
            await kit.until(lambda: not engine.tasks)
            assert engine.sent_bytes <= MAX_READ_BYTES
            engine.mode = "answer"
            assert (await kit.call("/safe/x")).status == (
                200 if route == "once" else 503
            )

    run(work)


def test_bytes_after_a_complete_answer_belong_to_no_request():
    """Guards against forwarding what follows an answer on its connection."""

    async def work():
        async with serving() as kit:
            engine = await add_troubled(kit, "x", "desk")
            engine.mode = "endless_after_answer"
            got = await kit.call("/once/x")
            assert (got.status, got.body) == (200, b"good")
            await kit.until(lambda: not engine.tasks)
            assert engine.sent_bytes <= MAX_READ_BYTES

    run(work)


def test_late_second_copy_of_an_answer_reaches_nobody():
    """Guards against the answer of one request that is given to the next.

    The server sends each answer three times, the last copy late.
    """

    async def work():
        async with serving() as kit:
            engine = await add_troubled(kit, "x", "desk")
            engine.mode = "second_copy"
            for number in range(1, 9):
                got = await kit.call("/once/x")
                assert got.body == f"for r{number}".encode()
                if number % 2:
                    await asyncio.sleep(0.08)

    run(work)


def test_answer_before_its_request_is_not_used():
    """Guards against an answer that was already on the connection."""

    async def work():
        async with serving() as kit:
            engine = await add_troubled(kit, "x", "desk")
            engine.mode = "early"
            got = await kit.call("/once/x")
            assert got.status == 502
            assert b"other" not in got.body

    run(work)


def test_event_without_end_fails_the_stream():
    """Guards against an event that is buffered until memory runs out."""

    async def work():
        async with serving(("p", "llm", "prefill")) as kit:
            engine = await add_troubled(kit, "x", "llm", "decode")
            engine.mode = "endless_event"
            got = await kit.generate()
            assert not got.complete or got.status >= 500
            await kit.until(lambda: not engine.tasks)
            assert engine.sent_bytes <= MAX_READ_BYTES

    run(work)


@pytest.mark.parametrize("mode", ["trickle_bytes", "trickle_comments"])
def test_trickling_stream_counts_as_stalled(mode):
    """Guards against a stalled stream that a byte now and then keeps alive.

    Another engine resumes it after the last event.
    """

    async def work():
        pools = (("p", "llm", "prefill"),)
        async with serving(*pools) as kit:
            kit.store.put("op/config", configuration(4, timeout_ms=9_000))
            engine = await add_troubled(kit, "x", "llm", "decode")
            engine.mode = mode
            task = asyncio.create_task(
                kit.generate("/again/x", X_Gooseberrypost_Deadline_Ms="9000")
            )
            await kit.until(lambda: engine.executed)
            other = await kit.add("d", "llm", "decode")
            got = await task
            assert got.complete
            assert other.received[-1].headers["last-event-id"] == "1"
            assert got.body.count(b"data: 2") == 1
            assert not engine.running

    run(work)


def test_slow_but_sound_stream_is_not_cut():
    """Guards against taking a stream with long regular pauses for stalled.

    Each pause is twice the objective for the gap between events.
    """

    async def work():
        async with serving(
            ("p", "llm", "prefill"),
            ("d", "llm", "decode"),
            ("e", "llm", "decode"),
        ) as kit:
            kit.store.put("op/config", configuration(4, timeout_ms=9_000))
            directory = kit.daemon.context.directory
            await kit.until(lambda: directory.configuration.version == 4)
            for name in ("d", "e"):
                kit.engines[name].event_s = 0.6
            got = await kit.generate(X_Gooseberrypost_Deadline_Ms="9000")
            assert got.complete
            controls = [
                one.target
                for name in ("d", "e")
                for one in kit.engines[name].control
            ]
            assert "/-/kv-move" not in controls

    run(work)


def test_control_answer_without_end_is_cut():
    """Guards against a reservation whose answer fills the memory."""

    async def work():
        async with serving(("p", "llm", "prefill")) as kit:
            engine = await add_troubled(kit, "x", "llm", "decode")
            engine.endless_control = True
            got = await kit.generate()
            assert got.status == 503
            await kit.until(lambda: not engine.tasks)
            calls = len(engine.control)
            assert engine.sent_bytes <= calls * 4 * 1024 * 1024

    run(work)


@pytest.mark.parametrize("stage", ["prefill", "decode"])
def test_engine_whose_answers_all_have_no_end_harms_no_other_client(stage):
    """Guards against control answers that fill the memory of a gateway.

    Prefills, reservations and reports of the engine do not end, and other
    clients are served meanwhile.
    """

    async def work():
        other = {"prefill": "decode", "decode": "prefill"}[stage]
        async with serving(("y", "llm", other)) as kit:
            await kit.add("a", "desk")
            engine = await add_troubled(kit, "x", "llm", stage)
            engine.endless_control = True
            servers = kit.daemon.context.directory.servers
            await kit.until(lambda: len(servers.all()) == 3)
            streams = [asyncio.create_task(kit.generate()) for _ in range(8)]
            plain = [await kit.call("/safe/x", "GET") for _ in range(10)]
            assert {got.status for got in plain} == {200}
            for got in await asyncio.gather(*streams):
                assert got.complete
                assert got.status in (200, 503)
            await kit.until(lambda: not engine.tasks)
            calls = len(engine.control) + len(engine.received)
            assert calls
            assert engine.sent_bytes <= calls * 4 * 1024 * 1024

    run(work)


def test_store_answer_without_end_is_cut():
    """Guards against a store whose answer fills the memory of a gateway."""

    async def work():
        store = FakePlatformStore()
        await store.start()
        store.endless = True
        client = PlatformStore(store.address)
        try:
            with pytest.raises(StoreUnavailable):
                await client.range("op/")
            await asyncio.sleep(0.1)
            assert store.sent_bytes <= MAX_READ_BYTES
        finally:
            await client.close()
            await store.stop()

    run(work)


STREAM_EVENTS = b"".join(
    f"id: {number}\ndata: {number}\n\n".encode() for number in (1, 2, 3)
)


def test_stream_without_framing_is_complete():
    """Guards against losing a stream that ends with its connection."""

    async def work():
        async with serving(*POOLS) as kit:
            kit.engines["d"].mode = "unframed"
            response = await kit.generate()
            assert response.complete
            assert response.body == STREAM_EVENTS

    run(work)


@pytest.mark.parametrize("mode", ["unframed_cut", "unframed_empty"])
def test_stream_that_ends_inside_an_event_looks_broken_off(mode):
    """Guards against a stream that was broken off and looks complete.

    The engine closes the connection properly, without a length or chunks.
    """

    async def work():
        async with serving(*POOLS) as kit:
            kit.engines["d"].mode = mode
            response = await kit.generate()
            assert response.status != 200 or not response.complete

    run(work)


@pytest.mark.parametrize("mode", ["unframed_cut", "unframed_empty"])
def test_stream_that_ends_inside_an_event_is_resumed(mode):
    """Guards against half an event in the middle of a resumed stream."""

    async def work():
        async with serving(*POOLS, ("e", "llm", "decode")) as kit:
            kit.engines["d"].mode = mode
            for _ in range(4):
                response = await kit.generate("/again/x")
                assert response.complete
                assert response.body == STREAM_EVENTS

    run(work)


ENDS_OF_PROCESSES = ["unframed_exit", "unframed_restart"]


@pytest.mark.parametrize("mode", ENDS_OF_PROCESSES)
def test_stream_whose_engine_ended_between_events_looks_broken_off(mode):
    """Guards against the last chunk after a stream that its engine's end cut.

    Nothing but the end of its connection declares the end of the stream.
    """

    async def work():
        async with serving(*POOLS) as kit:
            kit.engines["d"].mode = mode
            response = await kit.generate()
            assert response.status == 200
            assert not response.complete

    run(work)


@pytest.mark.parametrize("mode", ENDS_OF_PROCESSES)
def test_stream_whose_engine_ended_between_events_is_resumed(mode):
    """Guards against a resumable stream that such an end makes too short."""

    async def work():
        async with serving(*POOLS, ("e", "llm", "decode")) as kit:
            kit.engines["d"].mode = mode
            for _ in range(4):
                response = await kit.generate("/again/x")
                assert response.complete
                assert response.body == STREAM_EVENTS

    run(work)


@pytest.mark.parametrize("mode", ENDS_OF_PROCESSES)
def test_plain_answer_that_the_end_of_its_server_cut_is_lost(mode):
    """Guards against a length that declares part of an answer as the whole."""

    async def work():
        async with serving(("a", "desk", ""), ("b", "desk", "")) as kit:
            kit.engines["a"].mode = mode
            for _ in range(4):
                response = await kit.call("/safe/x")
                assert response.status == 200
                assert response.body != b"part"
            kit.engines["b"].mode = mode
            response = await kit.call("/once/x")
            assert response.status == 502

    run(work)


@pytest.mark.parametrize("path", ["/safe/x", "/once/x"])
def test_cut_answer_is_not_completed_by_a_repeated_refusal(path):
    """Guards against a part of an answer that is forwarded as the whole.

    The server writes an earlier refusal behind the part, on the same
    connection.
    """

    async def work():
        async with serving(("a", "desk", "")) as kit:
            kit.engines["a"].mode = "truncate"
            kit.engines["a"].old_refusal = "after"
            response = await kit.call(path)
            assert response.status == 502

    run(work)


def test_answer_without_framing_of_a_busy_server_is_complete():
    """Guards against sound answers that count as cut while reports are slow.

    The server answers no report in the time of one call, but lives.
    """

    async def work():
        async with serving(("a", "desk", ""), *POOLS) as kit:
            for engine in kit.engines.values():
                engine.mode = "unframed"
            kit.engines["a"].control_delay_s = 0.4
            response = await kit.call("/once/x")
            assert (response.status, response.body) == (200, b"whole")
            assert (await kit.generate()).body == STREAM_EVENTS

    run(work)
