"""Configurations that are in force in time on slow links and after outages."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time

import pytest

from gooseberrypost.platform.feeds import StoreFeed
from gooseberrypost.platform.store import PlatformStore, StoreUnavailable
from gooseberrypost.stores.http import HttpKeyValueStore
from tests.gateway_kit import configuration, serving, version_notice
from tests.standins.platform_store import FakePlatformStore

PLAIN = (("a", "desk", ""),)
RENEWING = {"lease_ms": 600}
"""Leases are renewed each 0.2 s, between the calls of the feed."""


def run(work):
    return asyncio.run(work())


def large(version: int, count: int) -> dict:
    """Return a configuration with more routes."""
    cfg = configuration(version)
    (plain,) = (r for r in cfg["routes"] if r["name"] == "once")
    cfg["routes"] += [
        {**plain, "name": f"more-{n}", "path_prefix": f"/more{n}/"}
        for n in range(count)
    ]
    return cfg


def size_of(kit) -> int:
    return len(kit.store.items["op/config"]["value"])


async def until_version(kit, version: int, wait_s: float) -> None:
    directory = kit.daemon.context.directory
    await kit.until(lambda: directory.configuration.version == version, wait_s)


def tell_peer_version(kit, version: int, sequence: int = 1) -> None:
    data = version_notice(version, sequence)
    kit.daemon.peers.datagram_received(data, ("127.0.0.1", 9))


@contextlib.asynccontextmanager
async def store_client(**faults):
    store = FakePlatformStore()
    await store.start()
    for name, value in faults.items():
        setattr(store, name, value)
    client = PlatformStore(store.address)
    try:
        yield store, client
    finally:
        await client.close()
        await store.stop()


@pytest.mark.parametrize("outage", ["refused", "compacted"])
def test_large_configuration_arrives_over_a_slow_link(outage):
    """Guards against a gateway that stays on its version for good.

    Its snapshot takes longer than the timeout of a short call, while short
    calls succeed.
    """

    async def work():
        async with serving(*PLAIN, **RENEWING) as kit:
            kit.store.refusal = 429
            kit.store.abort_connections()
            await asyncio.sleep(0.3)
            kit.store.put("op/config", large(8, 1_700))
            if outage == "compacted":
                kit.store.compacted = kit.store.revision
            transfer_s = 1.2
            kit.store.bytes_per_s = size_of(kit) / transfer_s
            kit.store.refusal = 0
            await until_version(kit, 8, 2.0 + transfer_s)

    run(work)


def test_dead_store_is_detected_while_its_answer_arrives():
    """Guards against a transfer that never ends on a dead connection."""

    async def work():
        async with store_client() as (store, client):
            store.put("op/config", large(8, 1_700))
            value = store.items["op/config"]["value"]
            store.bytes_per_s = len(value)
            call = asyncio.create_task(client.range("op/"))
            await asyncio.sleep(0.3)
            store.bytes_per_s = 1
            with pytest.raises(StoreUnavailable):
                async with asyncio.timeout(1.5):
                    await call

    run(work)


def test_trickling_answer_of_the_store_is_given_up():
    """Guards against a store that holds a call with a byte at a time."""

    async def work():
        async with store_client(trickles=True) as (store, client):
            store.put("op/config", large(8, 100))
            with pytest.raises(StoreUnavailable):
                async with asyncio.timeout(4.0):
                    await client.range("op/")

    run(work)


def test_refused_calls_do_not_cost_a_snapshot():
    """Guards against reading everything again when the store is at its worst.

    A refusal says nothing of the history, which is still there.
    """

    async def work():
        async with serving(*PLAIN) as kit:
            kit.store.refusal = 429
            kit.store.abort_connections()
            await asyncio.sleep(0.5)
            calls = kit.store.queries
            calls.clear()
            kit.store.put("servers/z", b"")
            kit.store.refusal = 0
            feed = kit.daemon.context.directory.freshness
            since_s = time.monotonic()
            await kit.until(lambda: feed.age_s(time.monotonic()) < 0.2)
            assert time.monotonic() - since_s < 1.0
            read = [prefix for path, prefix in calls if "range" in path]
            assert "op/" not in read

    run(work)


@pytest.mark.parametrize("reason", ["quiet", "peer"])
def test_outdated_gateway_does_not_deny_a_route(reason):
    """Guards against 404 for a route that a newer version has.

    The gateway has heard nothing for the propagation time, or knows of a
    newer version.
    """

    async def work():
        async with serving(*PLAIN, propagation_ms=500) as kit:
            assert (await kit.call("/nowhere/x")).status == 404
            if reason == "quiet":
                kit.store.silent = True
                kit.store.abort_connections()
                await asyncio.sleep(0.6)
            else:
                kit.store.deaf = True
                tell_peer_version(kit, 9)
                await asyncio.sleep(0.05)
            got = await kit.call("/nowhere/x")
            assert got.status == 503
            assert got.headers["X-Failure"] == "route_unverified"
            assert 0 < float(got.headers["Retry-After"]) <= 0.5
            # What is known goes on.
            assert (await kit.call("/once/x")).status == 200

    run(work)


def test_change_that_a_watch_skipped_is_found_by_the_version_of_a_peer():
    """Guards against a gateway that never gets a change that others have."""

    async def work():
        async with serving(*PLAIN) as kit:
            kit.store.skips_events = True
            kit.store.put("op/config", configuration(8))
            kit.store.put("servers/z", b"")
            tell_peer_version(kit, 8)
            await until_version(kit, 8, 2.0)

    run(work)


def test_version_that_only_a_peer_names_costs_few_snapshots():
    """Guards against snapshots without end for a version that is not there."""

    async def work():
        async with serving(*PLAIN, propagation_ms=400) as kit:
            kit.store.queries.clear()
            for sequence in range(1, 31):
                tell_peer_version(kit, 9, sequence)
                await asyncio.sleep(0.1)
            read = [
                path for path, prefix in kit.store.queries if prefix == "op/"
            ]
            assert len(read) <= 4

    run(work)


def test_changes_that_cannot_be_read_lead_to_a_snapshot():
    """Guards against asking for the same changes for ever."""

    async def work():
        async with serving(*PLAIN) as kit:
            kit.store.bad_watches = True
            kit.store.put("op/config", configuration(8))
            await until_version(kit, 8, 2.0)

    run(work)


def test_large_value_arrives_from_the_key_value_service_over_a_slow_link():
    """Guards against a value that no attempt reads to its end."""

    async def serve(reader, writer):
        await reader.readuntil(b"}")
        body = json.dumps({"value": "x" * 600_000, "version": 7}).encode()
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        )
        for start in range(0, len(body), 60_000):
            await asyncio.sleep(0.1)
            writer.write(body[start : start + 60_000])
        writer.close()

    async def work():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        store = HttpKeyValueStore([f"{host}:{port}"], timeout_ms=400)
        try:
            found = await store.get("key")
            assert found.unwrap().version == 7
        finally:
            await store.close()
            server.close()

    run(work)


@pytest.mark.parametrize("lost", ["outage", "pause"])
def test_history_that_was_dropped_does_not_hide_changes(lost):
    """Guards against a watch that is silent on changes the store has dropped.

    It is answered without events and without an error, at a later revision.
    """

    async def work():
        async with serving(*PLAIN) as kit:
            if lost == "outage":
                kit.store.refusal = 503
                kit.store.abort_connections()
                await asyncio.sleep(0.3)
            else:
                # The gateway waits after a change before it watches again.
                kit.register("a", "desk", state="draining")
                await asyncio.sleep(0.05)
            kit.store.put("op/config", configuration(8))
            kit.store.forgets = True
            kit.store.refusal = 0
            await until_version(kit, 8, 2.0)

    run(work)


def test_gateway_is_not_current_while_changes_are_hidden():
    """Guards against 404 on the evidence of an answer that hides changes."""

    async def work():
        async with serving(*PLAIN, propagation_ms=500) as kit:
            kit.store.deaf = True
            kit.store.put("op/config", configuration(8))
            feed = kit.daemon.context.directory.freshness
            age_s = feed.age_s(time.monotonic())
            update = await StoreFeed(kit.clients[0]).watch(2, 10)
            assert update.hides_changes
            assert update.is_empty
            assert age_s < 0.5

    run(work)


def test_entry_that_cannot_be_decoded_is_read_once():
    """Guards against calls without a pause for an entry of another writer."""

    async def work():
        async with serving(*PLAIN) as kit:
            # Without other changes, which would advance the revision.
            await asyncio.sleep(1.0)
            kit.store.put("servers/odd", b"")
            kit.store.queries.clear()
            await asyncio.sleep(0.7)
            watches = [
                path for path, _ in kit.store.queries if "watch" in path
            ]
            assert len(watches) <= 2

    run(work)
