"""Streams while servers of several software versions serve side by side."""

from __future__ import annotations

import asyncio

import pytest

from gooseberrypost.gateway.reserver import PendingReservation
from gooseberrypost.policy.enginememory import Run
from tests.standins.versioned_engine import (
    numbers_and_versions,
)
from tests.version_kit import (
    STREAMS,
    add_engine,
    begin,
    begin_in_two_tries,
    default_version,
    is_listed,
    read,
    replace_gateway,
    run,
    serving_versions,
    take_up,
)


@pytest.mark.parametrize("has_other", [False, True])
def test_broken_stream_goes_on_at_its_version_only(has_other):
    """Guards against a retry that joins events of two versions."""

    async def work():
        versions = ["v1", "v2", "v2"] + ["v1"] * has_other
        async with serving_versions(*versions) as kit:
            kit.engines["d0"].breaks_after = 1
            for engine in ("d1", "d2", "d3")[: len(versions) - 1]:
                kit.engines[engine].has_room = False
            task = asyncio.create_task(kit.generate("/again/x"))
            await kit.until(lambda: kit.engines["d0"].executed)
            for engine in ("d1", "d2", "d3")[: len(versions) - 1]:
                kit.engines[engine].has_room = True
            got = await task
            assert got.complete == has_other
            if has_other:
                numbers, found = numbers_and_versions(got.body)
                assert (numbers, found) == ([1, 2, 3], {"v1"})

    run(work)


def test_stalled_run_moves_to_its_version_only():
    """Guards against a failover that joins events of two versions."""

    async def work():
        async with serving_versions("v1") as kit:
            stalled = kit.engines["d0"]
            stalled.supports_moves = True
            stalled.event_s = 3_600.0
            task = asyncio.create_task(kit.generate("/text/x"))
            await kit.until(lambda: stalled.executed)
            await add_engine(kit, "d1", "v2")
            await add_engine(kit, "d2", "v1")
            got = await task
            assert numbers_and_versions(got.body) == ([1, 2, 3], {"v1"})
            assert not kit.engines["d1"].resumed

    run(work)


def test_client_takes_a_stream_up_at_its_version():
    """Guards against events of two versions over the tries of a client."""

    async def work():
        async with serving_versions("v1", "v2") as kit:
            for number in range(STREAMS):
                body = await begin(kit, f"a{number}")
                status, body = await take_up(
                    kit, f"b{number}", f"a{number}", body
                )
                numbers, versions = numbers_and_versions(body)
                assert status == 200
                assert numbers == [1, 2, 3]
                assert len(versions) == 1

    run(work)


def test_stream_is_taken_up_at_another_gateway():
    """Guards against a version that only the stream's gateway knows."""

    async def work():
        async with serving_versions("v1", "v2") as kit:
            other = await kit.gateway("gateway-2")
            try:
                await kit.until(lambda: other.lifecycle.state == "serving")
                for number in range(STREAMS):
                    body = await begin(kit, f"a{number}", other)
                    status, body = await take_up(
                        kit, f"b{number}", f"a{number}", body
                    )
                    numbers, versions = numbers_and_versions(body)
                    assert status == 200
                    assert numbers == [1, 2, 3]
                    assert len(versions) == 1
            finally:
                await other.stop()

    run(work)


def test_streams_outlast_all_gateways():
    """Guards against versions that are forgotten with the gateways.

    Each stream goes on, at the version that began it.
    """

    async def work():
        async with serving_versions("v1") as kit:
            before = {
                f"a{number}": await begin(kit, f"a{number}")
                for number in range(STREAMS // 2)
            }
            await add_engine(kit, "d1", "v2")
            before |= {
                f"c{number}": await begin(kit, f"c{number}")
                for number in range(STREAMS)
            }
            await replace_gateway(kit, "gateway-2")
            for begun_by, body in before.items():
                status, body = await take_up(
                    kit, f"b{begun_by}", begun_by, body
                )
                numbers, versions = numbers_and_versions(body)
                assert status == 200
                assert numbers == [1, 2, 3]
                assert len(versions) == 1

    run(work)


def test_stream_of_a_version_that_has_left_is_refused_at_once():
    """Guards against a wait, and against joining, when its servers left."""

    async def work():
        async with serving_versions("v1") as kit:
            body = await begin(kit, "a")
            await add_engine(kit, "d1", "v2")
            kit.store.remove("servers/d0")
            servers = kit.daemon.context.directory.servers
            await kit.until(lambda: not is_listed(servers, "d0"))
            for replaces in (False, True):
                if replaces:
                    await replace_gateway(kit, "gateway-2")
                began_s = asyncio.get_running_loop().time()
                status, _ = await take_up(kit, f"b{replaces}", "a", body)
                assert status == 503
                assert asyncio.get_running_loop().time() - began_s < 0.5

    run(work)


def test_no_versions_are_joined_while_the_store_is_away():
    """Guards against a guess where the store cannot tell.

    A gateway that has lost the store takes up what it knows of.
    """

    async def work():
        async with serving_versions("v1", "v2") as kit:
            kit.store.down = True
            for number in range(STREAMS):
                begun_by, body = await begin_in_two_tries(kit, f"a{number}")
                status, body = await take_up(kit, f"b{number}", begun_by, body)
                numbers, versions = numbers_and_versions(body)
                assert status == 200
                assert numbers == [1, 2, 3]
                assert len(versions) == 1

    run(work)


def records(kit) -> list[str]:
    prefix = "gooseberrypost/streams/"
    return [key for key in kit.store.items if key.startswith(prefix)]


def test_first_event_waits_for_the_record_of_its_version():
    """Guards against a stream that all gateways forget as they die.

    Its client has an event, and the store does not have its version yet.
    """

    async def work():
        async with serving_versions("v1") as kit:
            assert await default_version(kit) == "v1"
            await add_engine(kit, "d1", "v2")
            kit.engines["d0"].has_room = False
            kit.store.txn_delay_s = 0.15
            await begin(kit, "a")
            assert len(records(kit)) == 1

    run(work)


def test_streams_of_the_default_version_have_no_record():
    """Guards against a call to the store for each stream."""

    async def work():
        async with serving_versions("v1") as kit:
            assert await default_version(kit) == "v1"
            bodies = [await begin(kit, f"a{n}") for n in range(4)]
            assert not records(kit)
            await add_engine(kit, "d1", "v2")
            await replace_gateway(kit, "gateway-2")
            for number, body in enumerate(bodies):
                status, body = await take_up(
                    kit, f"b{number}", f"a{number}", body
                )
                assert status == 200
                assert numbers_and_versions(body) == ([1, 2, 3], {"v1"})

    run(work)


def test_a_silent_store_holds_no_stream_back():
    """Guards against streams that wait for a record as long as it lasts.

    One whose record was asked for before ends while its client still waits;
    the next ones begin at the default version, also where that has less room.
    """

    async def work():
        async with serving_versions("v1") as kit:
            assert await default_version(kit) == "v1"
            await add_engine(kit, "d1", "v2")
            kit.engines["d0"].has_room = False
            kit.store.silent = True
            clock = asyncio.get_running_loop().time
            began_s = clock()
            got = await kit.generate("/again/x")
            assert got.status == 502
            assert clock() - began_s < 2.0
            kit.engines["d0"].has_room = True
            for number in range(3):
                began_s = clock()
                await begin(kit, f"a{number}")
                assert clock() - began_s < 0.9

    run(work)


@pytest.mark.parametrize("fault", ["down", "silent"])
def test_streams_that_begin_without_the_store_outlast_all_gateways(fault):
    """Guards against a version that only the gateways knew.

    All of them die before the store is back, and clients take streams up.
    """

    async def work():
        async with serving_versions("v1") as kit:
            assert await default_version(kit) == "v1"
            await add_engine(kit, "d1", "v2")
            setattr(kit.store, fault, True)
            begun = [
                await begin_in_two_tries(kit, f"a{number}")
                for number in range(STREAMS)
            ]
            await kit.daemon.stop()
            setattr(kit.store, fault, False)
            kit.daemon = await kit.gateway("gateway-2")
            await kit.until(lambda: kit.daemon.lifecycle.state == "serving")
            for begun_by, body in begun:
                status, body = await take_up(
                    kit, f"b{begun_by}", begun_by, body
                )
                numbers, versions = numbers_and_versions(body)
                assert status == 200
                assert numbers == [1, 2, 3]
                assert len(versions) == 1

    run(work)


def test_a_stream_that_is_taken_up_waits_no_longer_than_a_new_one():
    """Guards against refusals of take-ups under a load that new ones share.

    One of four engines has the version at which the stream goes on.
    """

    async def work():
        async with serving_versions("v1", "v2", "v2", "v2") as kit:
            ctx = kit.daemon.context
            for server in ctx.directory.servers.of("llm", ctx.now_s()):
                for _ in range(4):
                    ctx.loads.of(server.identity).runs.add(Run(100, 10))
            for number in range(4):
                kit.engines[f"d{number}"].has_room = False
            waiting = [
                asyncio.create_task(kit.generate("/again/x")) for _ in range(6)
            ]
            queue = ctx.reservation_queue
            await kit.until(lambda: queue.waiting_count)
            new, taken_up = (
                PendingReservation(
                    first_event_due_s=ctx.now_s() + 1.0,
                    abandon_s=ctx.now_s() + 2.0,
                    tokens=100,
                    output=10,
                    priority=1,
                    service="llm",
                    version=version,
                )
                for version in (None, "v1")
            )
            expected_s = queue.estimate_wait_s(new)
            assert queue.estimate_wait_s(taken_up) <= expected_s
            await asyncio.gather(*waiting)

    run(work)


@pytest.mark.parametrize("knows_start", [True, False])
def test_server_that_is_back_with_another_version_joins_no_stream(knows_start):
    """Guards against events of a server that was replaced under its id.

    Its registration still names the version before. It answers the call that
    asks for its start, or does so late.
    """

    async def work():
        async with serving_versions("v1", "v1") as kit:
            first, second = kit.engines["d0"], kit.engines["d1"]
            first.breaks_after = 1
            second.version, second.born = "v2", 2
            second.has_room = False
            if not knows_start:
                second.report_delay_s = 0.4
            task = asyncio.create_task(read(kit, "a"))
            await kit.until(lambda: first.executed)
            second.has_room = True
            assert numbers_and_versions(await task) == ([1], {"v1"})
            # The registration follows, and new streams begin there.
            kit.register("d1", "llm", version="v2")
            first.has_room = False
            second.report_delay_s = 0.0
            servers = kit.daemon.context.directory.servers
            await kit.until(
                lambda: any(server.version == "v2" for server in servers.all())
            )
            got = await kit.generate("/again/x")
            assert numbers_and_versions(got.body) == ([1, 2, 3], {"v2"})

    run(work)


def test_no_stream_begins_at_a_version_that_is_not_registered():
    """Guards against a stream that is recorded under the wrong version."""

    async def work():
        async with serving_versions("v1", "v1") as kit:
            second = kit.engines["d1"]
            second.version, second.born = "v2", 2
            for number in range(STREAMS):
                got = await kit.generate(f"/again/{number}")
                assert numbers_and_versions(got.body)[1] <= {"v1"}

    run(work)


@pytest.mark.parametrize("path", ["/text/x", "/again/x"])
def test_run_of_a_replaced_server_is_not_moved(path):
    """Guards against a run that leaves a server of an unknown version.

    The server came back under its id with another version, and the stream
    began there before its registration said so.
    """

    async def work():
        async with serving_versions("v1") as kit:
            stalled = kit.engines["d0"]
            stalled.version, stalled.born = "v2", 2
            stalled.supports_moves = True
            stalled.event_s = 3_600.0
            task = asyncio.create_task(kit.generate(path))
            await kit.until(lambda: stalled.executed)
            await add_engine(kit, "d1", "v1")
            got = await task
            assert not kit.engines["d1"].resumed
            _, versions = numbers_and_versions(got.body)
            assert len(versions) <= 1
            assert not got.complete or versions == {"v1"}

    run(work)
