"""Client accounts at a gateway, with fakes of the store and the engines."""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import pathlib
import socket
import time

import aiohttp
import pytest
from absl import logging as absl_logging

from gooseberrypost.gateway.directory import FeedUpdate
from gooseberrypost.gateway.feedwatch import FeedWatcher
from gooseberrypost.gateway.frontend import Frontend
from gooseberrypost.metrics import Metrics
from gooseberrypost.platform.documents import decode_configuration
from gooseberrypost.wire.codec import LENGTH_BYTES, decode
from tests.gateway_kit import (
    GatewayKit,
    configuration,
    serving,
    version_notice,
)

CREDENTIAL = "X-Gooseberrypost-Credential"
TENANT = "tenant"
PLAIN = (("a", "desk", ""),)
POOLS = (("p", "llm", "prefill"), ("d", "llm", "decode"))
KEY = "sesame-1"
OTHER_KEY = "sesame-2"
ROUTES = ("safe", "once", "text", "again")
SOURCES = pathlib.Path(__file__).parent.parent / "src"


def run(work):
    return asyncio.run(work())


def with_accounts(version: int, *open_routes: str, **keys: str) -> dict:
    """Return a configuration with accounts, each given as name=KEY,KEY."""
    cfg = configuration(version)
    for route in cfg["routes"]:
        route["anonymous"] = route["name"] in open_routes
    cfg["tenants"] = [
        {"name": name, "api_keys": listed.split(",") if listed else []}
        for name, listed in keys.items()
    ]
    return cfg


async def put(kit: GatewayKit, cfg: dict):
    """Write a configuration, and wait until the gateway has it."""
    kit.store.put("op/config", cfg)
    directory = kit.daemon.context.directory
    await kit.until(lambda: directory.configuration.version == cfg["version"])


@contextlib.asynccontextmanager
async def serving_accounts(*engines, **changes):
    """Run a gateway with the accounts ``desk`` and ``kiosk``."""
    async with serving(*engines, **changes) as kit:
        await put(kit, with_accounts(4, desk=KEY, kiosk=OTHER_KEY))
        yield kit


async def call(kit: GatewayKit, route: str, key: str | None, **headers):
    """Call a route; a key of None is not sent."""
    if key is not None:
        headers["X_Gooseberrypost_Credential"] = key
    if route in ("text", "again"):
        return await kit.generate(f"/{route}/x", **headers)
    return await kit.call(f"/{route}/x", **headers)


@pytest.fixture
def lines(caplog):
    absl_logging.use_absl_handler()
    absl_logging.set_verbosity(absl_logging.INFO)
    caplog.set_level(logging.INFO)
    return lambda: [record.getMessage() for record in caplog.records]


@pytest.mark.parametrize("tenants", ["accounts", "open", "none"])
def test_key_never_reaches_a_server(tenants):
    """Guards against servers that learn the keys of clients.

    It concerns each route, also of a deployment without accounts and when the
    client marks the header as one of its connection.
    """
    found = {
        "accounts": with_accounts(4, desk=KEY),
        "open": with_accounts(4, *ROUTES, desk=KEY),
        "none": configuration(4),
    }[tenants]

    async def work():
        async with serving(*PLAIN, *POOLS) as kit:
            await put(kit, found)
            for route in ROUTES:
                got = await call(kit, route, KEY, Connection=CREDENTIAL)
                assert got.status == 200
                lower = {"x-gooseberrypost-credential": KEY}
                assert (await call(kit, route, None, **lower)).status == 200
            for engine in kit.engines.values():
                assert engine.received
                for sent in (*engine.received, *engine.control):
                    shown = f"{sent.target} {sent.headers} {sent.body!r}"
                    assert KEY not in shown
                    assert "credential" not in shown.lower()

    run(work)


def test_servers_learn_the_account_from_the_gateway_alone():
    """Guards against clients that use an account by naming it."""

    async def work():
        async with serving(*PLAIN, *POOLS) as kit:
            claim = {"X_Gooseberrypost_Tenant": "kiosk"}
            await put(kit, with_accounts(4, "safe", "again", desk=KEY))
            for route in ROUTES:
                assert (await call(kit, route, KEY, **claim)).status == 200
            for engine in kit.engines.values():
                assert engine.received
                for sent in engine.received:
                    assert sent.header(TENANT) == "desk"
                engine.received.clear()
            for key in (None, "unknown"):
                for route in ("safe", "again"):
                    assert (await call(kit, route, key, **claim)).status == 200
            await put(kit, configuration(5))
            for route in ROUTES:
                assert (await call(kit, route, KEY, **claim)).status == 200
            for engine in kit.engines.values():
                assert engine.received
                for sent in engine.received:
                    assert sent.header(TENANT) is None

    run(work)


@pytest.mark.parametrize("route", ROUTES)
def test_request_without_a_known_key_is_refused(route):
    """Guards against requests without an account, and unclear refusals."""

    async def work():
        async with serving_accounts(*PLAIN, *POOLS) as kit:
            for key, code, said in (
                (None, "key_missing", "missing"),
                ("", "key_missing", "missing"),
                ("unknown", "key_unknown", "unknown"),
                (f"{KEY} ", None, ""),
                (f"{KEY},{OTHER_KEY}", "key_unknown", "unknown"),
            ):
                got = await call(kit, route, key)
                if code is None:
                    assert got.status == 200
                    continue
                assert got.status == 401
                assert got.headers["X-Failure"] == code
                assert got.headers["Content-Type"].startswith("text/plain")
                (line,) = got.body.decode().splitlines()
                assert CREDENTIAL in line
                assert said in line
                assert "Retry-After" not in got.headers
                assert "sesame" not in line
            for engine in kit.engines.values():
                assert len(engine.executed) <= 1
            count = kit.daemon.context.metrics.value
            assert count("key_refusals_total", code="key_missing") == 2
            assert count("key_refusals_total", code="key_unknown") == 2
            assert count("account_requests_total", account="desk") == 1

    run(work)


def test_key_of_any_bytes_is_looked_up():
    """Guards against an error for a header that is no text."""

    async def work():
        async with serving_accounts(*PLAIN) as kit:
            host, _, port = kit.daemon.frontend.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                b"GET /safe/x HTTP/1.1\r\nHost: h.example\r\n"
                b"X-Gooseberrypost-Attempt-Id: q\r\n"
                b"X-Gooseberrypost-Credential: \xff\xfe\xed\xa0\x80\r\n\r\n"
            )
            head = await reader.readuntil(b"\r\n\r\n")
            assert b" 401 " in head
            assert b"key_unknown" in head
            writer.close()

    run(work)


def test_refused_request_is_answered_before_its_body_is_read():
    """Guards against memory used by clients without an account."""

    async def work():
        async with serving_accounts(*PLAIN) as kit:
            host, _, port = kit.daemon.frontend.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                b"POST /once/x HTTP/1.1\r\nHost: h.example\r\n"
                b"X-Gooseberrypost-Attempt-Id: q\r\n"
                b"Content-Length: 100\r\n\r\npart"
            )
            async with asyncio.timeout(1):
                head = await reader.readuntil(b"\r\n\r\n")
            assert b" 401 " in head
            writer.close()

    run(work)


def test_key_that_is_removed_while_the_body_arrives_is_refused():
    """Guards against a decision from before a long body."""

    async def work():
        async with serving_accounts(*PLAIN) as kit:
            host, _, port = kit.daemon.frontend.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                b"POST /once/x HTTP/1.1\r\nHost: h.example\r\n"
                b"X-Gooseberrypost-Attempt-Id: q\r\n"
                b"X-Gooseberrypost-Credential: sesame-1\r\n"
                b"Content-Length: 8\r\n\r\npart"
            )
            frontend = kit.daemon.frontend
            await kit.until(lambda: frontend.in_flight)
            await put(kit, with_accounts(5, desk="", kiosk=OTHER_KEY))
            writer.write(b"rest")
            head = await reader.readuntil(b"\r\n\r\n")
            assert b" 401 " in head
            assert not kit.engines["a"].received
            writer.close()

    run(work)


def test_requests_of_one_connection_are_checked_alone():
    """Guards against an account that a kept connection passes on."""

    async def work():
        async with serving_accounts(*PLAIN) as kit:
            url = f"http://{kit.daemon.frontend.address}/once/x"
            expected = [
                (KEY, 200, "desk"),
                (OTHER_KEY, 200, "kiosk"),
                (None, 401, None),
                (KEY, 200, "desk"),
            ]
            connector = aiohttp.TCPConnector(limit=1)
            async with aiohttp.ClientSession(connector=connector) as session:
                for number, (key, status, _) in enumerate(expected):
                    headers = {
                        "Host": "h.example",
                        "X-Gooseberrypost-Attempt-Id": f"q{number}",
                    }
                    if key is not None:
                        headers[CREDENTIAL] = key
                    async with session.post(url, headers=headers) as got:
                        assert got.status == status
            names = [sent.header(TENANT) for sent in kit.engines["a"].received]
            assert names == ["desk", "kiosk", "desk"]

    run(work)


def test_new_key_at_a_gateway_that_others_are_ahead_of():
    """Guards against 401 for a key that another gateway knows already."""

    async def work():
        async with serving_accounts(*PLAIN) as kit:
            assert (await call(kit, "once", "new")).status == 401
            await asyncio.sleep(0.02)
            kit.daemon.peers.datagram_received(
                version_notice(5, 1), ("127.0.0.1", 9)
            )
            got = await call(kit, "once", "new")
            assert got.status == 503
            assert got.headers["X-Failure"] == "key_unverified"
            assert float(got.headers["Retry-After"]) > 0
            assert (await call(kit, "once", KEY)).status == 200
            assert (await call(kit, "once", None)).status == 401
            await put(kit, with_accounts(5, desk=f"{KEY},new"))
            assert (await call(kit, "once", "new")).status == 200
            assert (await call(kit, "once", OTHER_KEY)).status == 401

    run(work)


def test_new_key_at_a_gateway_without_the_store():
    """Guards against 401 for new keys, and 503 for known ones, in outages."""

    async def work():
        async with serving_accounts(*PLAIN, propagation_ms=500) as kit:
            assert (await call(kit, "once", "new")).status == 401
            kit.store.down = True
            kit.store.abort_connections()
            await asyncio.sleep(0.6)
            got = await call(kit, "once", "new")
            assert got.status == 503
            assert got.headers["X-Failure"] == "key_unverified"
            assert (await call(kit, "once", KEY)).status == 200
            kit.store.down = False
            context = kit.daemon.context
            await kit.until(
                lambda: context.directory.is_current(context.now_s(), 0.5)
            )
            assert (await call(kit, "once", "new")).status == 401

    run(work)


def test_quiet_store_keeps_a_gateway_current():
    """Guards against 503 for unknown keys while nothing changes.

    A watch without changes is answered only after a part of the time in which
    a change has to be in effect.
    """

    async def work():
        async with serving_accounts(*PLAIN, propagation_ms=500) as kit:
            until_s = time.monotonic() + 1.5
            while time.monotonic() < until_s:
                assert (await call(kit, "once", "unknown")).status == 401
                await asyncio.sleep(0.02)

    run(work)


def test_version_lost_by_the_store_does_not_count_for_ever():
    """Guards against a restored store that makes gateways outdated for good.

    Gateways that saw the lost version keep it, and go on naming it.
    """

    async def work():
        async with serving_accounts(*PLAIN, propagation_ms=400) as kit:
            statuses = []
            for sequence in range(1, 16):
                data = version_notice(9, sequence)
                kit.daemon.peers.datagram_received(data, ("127.0.0.1", 9))
                statuses.append((await call(kit, "once", "x")).status)
                await asyncio.sleep(0.1)
            assert statuses[0] == 503
            assert statuses[-1] == 401

    run(work)


@pytest.mark.parametrize(
    ("is_snapshot", "until_s"), [(False, 1.0), (True, 0.0)]
)
def test_late_answer_proves_no_more_than_the_store_knew(is_snapshot, until_s):
    """Guards against a paused gateway that takes an old answer for news.

    The answer was in its socket when the pause began. A watch was answered
    1.0 s after its call at the latest, a snapshot at its call.
    """
    run(lambda: _check_late_answer(is_snapshot, until_s))


async def _check_late_answer(is_snapshot: bool, until_s: float):
    async with serving(*PLAIN) as kit:
        directory = type(kit.daemon.context.directory)()
        watcher = FeedWatcher(None, directory, 2_000, Metrics())
        update = FeedUpdate((), (), (), 1, is_snapshot)
        watcher._record_evidence(update, 0.0, 10.0)
        assert directory.is_current(until_s + 2.0, 2.0)
        assert not directory.is_current(until_s + 2.1, 2.0)


def test_gateway_without_a_configuration_refuses_for_now():
    """Guards against serving, or refusing for good, without any accounts."""

    async def work():
        kit = GatewayKit()
        await kit.store.start()
        kit.daemon = await kit.gateway()
        try:
            got = await call(kit, "once", KEY)
            assert got.status == 503
            assert float(got.headers["Retry-After"]) > 0
        finally:
            with contextlib.suppress(asyncio.CancelledError):
                await kit.daemon.stop()
            for client in kit.clients:
                await client.close()
            await kit.store.stop()

    run(work)


def test_open_route_serves_with_and_without_accounts():
    """Guards against a key that is required, or ignored, on an open route."""

    async def work():
        async with serving(*PLAIN) as kit:
            await put(kit, with_accounts(4, "safe", desk=KEY))
            for key in (None, "unknown", KEY):
                assert (await call(kit, "safe", key)).status == 200
            names = [sent.header(TENANT) for sent in kit.engines["a"].received]
            assert names == [None, None, "desk"]
            assert (await call(kit, "once", None)).status == 401

    run(work)


@pytest.mark.parametrize("tenants", [None, []])
def test_configuration_without_accounts_serves_as_before(tenants, lines):
    """Guards against checks in a deployment that has no accounts."""

    async def work():
        async with serving(*PLAIN, *POOLS) as kit:
            await put(kit, configuration(4) | {"tenants": tenants})
            kit.daemon.peers.datagram_received(
                version_notice(9, 1), ("127.0.0.1", 9)
            )
            for route in ROUTES:
                for key in (None, KEY):
                    assert (await call(kit, route, key)).status == 200
            rendered = kit.daemon.context.metrics.render()
            assert "account_requests_total" not in rendered
            assert "key_refusals_total" not in rendered

    run(work)
    assert not [line for line in lines() if "account=" in line]


def test_key_of_two_accounts_serves_one_of_them(lines):
    """Guards against a configuration that is not applied for a shared key."""

    async def work():
        async with serving(*PLAIN) as kit:
            await put(kit, with_accounts(4, kiosk=KEY, desk=KEY))
            assert (await call(kit, "once", KEY)).status == 200
            assert kit.engines["a"].received[0].header(TENANT) == "desk"

    run(work)
    (shared,) = [line for line in lines() if "event=key_shared" in line]
    assert KEY not in shared


@pytest.mark.parametrize("remaining", ["", "sesame-9"])
def test_waiting_generation_whose_key_is_removed_is_refused(remaining):
    """Guards against running a request of a removed key after its wait.

    It is refused at once: it could only keep others waiting.
    """

    async def work():
        async with serving_accounts(*POOLS) as kit:
            kit.engines["d"].has_room = False
            waiting = asyncio.create_task(call(kit, "text", KEY))
            queue = kit.daemon.context.reservation_queue
            await kit.until(lambda: queue.has_waiting)
            removed_s = time.monotonic()
            await put(kit, with_accounts(5, desk=remaining, kiosk=OTHER_KEY))
            got = await waiting
            assert time.monotonic() - removed_s < 0.5
            assert got.status == 401
            assert got.headers["X-Failure"] == "key_unknown"
            assert CREDENTIAL in got.body.decode()
            await kit.until(lambda: not queue.has_waiting)
            assert not kit.engines["p"].received
            assert not kit.engines["d"].received

    run(work)


def test_waiting_generation_of_an_open_route_goes_on_without_an_account():
    """Guards against naming an account to a server without a valid key."""

    async def work():
        async with serving(*POOLS) as kit:
            await put(kit, with_accounts(4, "text", desk=KEY, kiosk=OTHER_KEY))
            kit.engines["d"].has_room = False
            waiting = asyncio.create_task(call(kit, "text", KEY))
            queue = kit.daemon.context.reservation_queue
            await kit.until(lambda: queue.has_waiting)
            await put(kit, with_accounts(5, "text", desk="", kiosk=OTHER_KEY))
            kit.engines["d"].has_room = True
            assert (await waiting).status == 200
            for engine in kit.engines.values():
                assert engine.received
                for sent in engine.received:
                    assert sent.header(TENANT) is None

    run(work)


def test_change_of_another_account_leaves_waiting_generations():
    """Guards against refusals of requests whose account did not change."""

    async def work():
        async with serving_accounts(*POOLS) as kit:
            kit.engines["d"].has_room = False
            waiting = asyncio.create_task(call(kit, "text", KEY))
            queue = kit.daemon.context.reservation_queue
            await kit.until(lambda: queue.has_waiting)
            await put(kit, with_accounts(5, desk=f"{KEY},new", kiosk=""))
            kit.engines["d"].has_room = True
            assert (await waiting).status == 200

    run(work)


def test_call_that_waits_for_its_turn_is_refused_with_a_removed_key():
    """Guards against sending a call after a server's limit made it wait."""

    async def work():
        async with serving_accounts(*PLAIN) as kit:
            engine = kit.engines["a"]
            engine.limit_per_s = "3"
            for _ in range(2):
                assert (await call(kit, "once", KEY)).status == 200
            waiting = [
                asyncio.create_task(call(kit, "once", KEY)) for _ in range(2)
            ]
            await kit.until(lambda: kit.daemon.frontend.in_flight == 2)
            await asyncio.sleep(0.05)
            sent = len(engine.received)
            assert sent < 4
            await put(kit, with_accounts(5, desk="", kiosk=OTHER_KEY))
            statuses = [(await one).status for one in waiting]
            assert 401 in statuses
            assert len(engine.executed) == 2 + statuses.count(200)

    run(work)


@pytest.mark.parametrize("route", ROUTES)
def test_key_is_checked_before_each_send(route, monkeypatch):
    """Guards against a send to a server between two checks of the queue.

    The check of waiting requests is left out here, and the key is removed at
    the last point where a request waits.
    """
    monkeypatch.setattr(Frontend, "refuse_revoked", lambda _: None)

    async def work():
        async with serving_accounts(*PLAIN, *POOLS) as kit:
            context = kit.daemon.context
            removed = with_accounts(5, desk="", kiosk=OTHER_KEY)
            decoded = FakeChange(context.directory, removed)
            loads = context.loads
            limit_wait_s = loads.limit_wait_s

            def remove_then_wait(identity: str, now_s: float) -> float:
                decoded.apply()
                return limit_wait_s(identity, now_s)

            monkeypatch.setattr(loads, "refresh", lambda: None)
            monkeypatch.setattr(
                type(loads),
                "limit_wait_s",
                lambda _, identity, now_s: remove_then_wait(identity, now_s),
            )
            got = await call(kit, route, KEY)
            assert got.status == 401
            assert not any(e.executed for e in kit.engines.values())
            assert not kit.engines["p"].received

    run(work)


class FakeChange:
    """A configuration that is applied without waking who waits for one."""

    def __init__(self, directory, document: dict):
        self._directory = directory
        content = json.dumps(document).encode()
        self._cfg = decode_configuration(content).ok_value

    def apply(self):
        self._directory.apply_configuration(self._cfg)


def test_generation_whose_key_is_removed_during_its_prefill_is_refused(
    monkeypatch,
):
    """Guards against a decode that begins after the key was removed.

    The check of waiting requests is left out, as any other change in the
    store could trigger it during the prefill.
    """
    monkeypatch.setattr(Frontend, "refuse_revoked", lambda _: None)

    async def work():
        async with serving_accounts(*POOLS) as kit:
            kit.engines["p"].prefill_s = 0.3
            running = asyncio.create_task(call(kit, "text", KEY))
            await kit.until(lambda: kit.engines["p"].received)
            removed = with_accounts(5, desk="", kiosk=OTHER_KEY)
            FakeChange(kit.daemon.context.directory, removed).apply()
            assert (await running).status == 401
            assert not kit.engines["d"].executed

    run(work)


@pytest.mark.parametrize("route", ["text", "again"])
def test_running_stream_ends_whole_after_its_key_was_removed(route):
    """Guards against cutting an answer, and against resuming it later."""

    async def work():
        async with serving_accounts(*POOLS) as kit:
            decode = kit.engines["d"]
            decode.events, decode.event_s = 10, 0.05
            running = asyncio.create_task(call(kit, route, KEY))
            await kit.until(lambda: decode.executed)
            await put(kit, with_accounts(5, desk="", kiosk=OTHER_KEY))
            got = await running
            assert got.status == 200
            assert got.complete
            assert got.body.count(b"id: ") == 10
            resumed = await call(
                kit, route, KEY, Last_Event_Id="4", Resumes="r1"
            )
            assert resumed.status == 401
            assert resumed.headers["X-Failure"] == "key_unknown"
            assert len(decode.executed) == 1

    run(work)


def test_running_stream_goes_on_at_another_engine_after_a_removal():
    """Guards against ending a stream that had to leave its engine."""

    async def work():
        async with serving_accounts(*POOLS) as kit:
            first = kit.engines["d"]
            first.events, first.event_s = 10, 0.05
            running = asyncio.create_task(call(kit, "again", KEY))
            await kit.until(lambda: first.executed)
            second = await kit.add("d2", "llm", "decode")
            second.events = 10
            servers = kit.daemon.context.directory.servers
            await kit.until(lambda: len(servers.all()) == 3)
            await put(kit, with_accounts(5, desk="", kiosk=OTHER_KEY))
            await asyncio.sleep(0.1)
            first.crash()
            got = await running
            assert got.status == 200
            assert got.complete
            assert got.body.count(b"id: ") == 10
            assert second.executed == ["r1"]
            assert second.received[-1].header(TENANT) == "desk"

    run(work)


def test_call_that_may_run_goes_on_after_its_key_was_removed():
    """Guards against 401 for a call that a server may have run."""

    async def work():
        async with serving_accounts(*PLAIN) as kit:
            first = kit.engines["a"]
            first.mode = "hang"
            running = asyncio.create_task(call(kit, "safe", KEY))
            await kit.until(lambda: first.executed)
            await put(kit, with_accounts(5, desk="", kiosk=OTHER_KEY))
            await kit.add("b")
            servers = kit.daemon.context.directory.servers
            await kit.until(lambda: len(servers.all()) == 2)
            first.crash()
            got = await running
            assert got.status == 200
            assert got.body.startswith(b"b ")

    run(work)


def test_key_that_passes_to_another_account_is_not_served_as_the_former():
    """Guards against a request that runs at the cost of another account."""

    async def work():
        async with serving_accounts(*POOLS) as kit:
            kit.engines["d"].has_room = False
            waiting = asyncio.create_task(call(kit, "text", KEY))
            queue = kit.daemon.context.reservation_queue
            await kit.until(lambda: queue.has_waiting)
            await put(kit, with_accounts(5, desk="", kiosk=KEY))
            assert (await waiting).status == 401
            kit.engines["d"].has_room = True
            assert (await call(kit, "text", KEY)).status == 200
            names = {sent.header(TENANT) for sent in kit.engines["d"].received}
            assert names == {"kiosk"}

    run(work)


def test_priority_of_an_account_replaces_that_of_the_route(lines):
    """Guards against a queue that knows the priorities of routes alone."""

    async def work():
        async with serving(*POOLS) as kit:
            cfg = with_accounts(4, late=KEY, plain=OTHER_KEY, first="urgent")
            for route in cfg["routes"]:
                route["priority"] = 5
            priorities = {"late": 9, "first": 0}
            for entry in cfg["tenants"]:
                if entry["name"] in priorities:
                    entry["priority"] = priorities[entry["name"]]
            await put(kit, cfg)
            kit.engines["d"].has_room = False
            queue = kit.daemon.context.reservation_queue
            tasks = []
            for number, key in enumerate((KEY, OTHER_KEY, "urgent")):
                tasks.append(asyncio.create_task(call(kit, "text", key)))
                await kit.until(
                    lambda count=number: len(queue._queue) == count + 1
                )
            found = [
                (one.request, one.priority, one.route_priority)
                for one in queue._order.ordered(queue._queue)
            ]
            assert found == [("r3", 0, 5), ("r2", 5, 5), ("r1", 9, 5)]
            kit.engines["d"].has_room = True
            for task in tasks:
                assert (await task).status == 200

    run(work)
    reserved = [line for line in lines() if "event=reserved" in line]
    for line, name in zip(reserved, ("first", "plain", "late"), strict=True):
        assert f" account={name} " in line


def test_no_key_is_logged_counted_or_reported(lines):
    """Guards against keys in logs, metrics and load notices."""

    async def work():
        async with serving_accounts(*PLAIN, *POOLS) as kit:
            with socket.socket(type=socket.SOCK_DGRAM) as peer:
                peer.bind(("127.0.0.1", 0))
                peer.setblocking(False)
                host, port = peer.getsockname()
                kit.store.put(
                    "gooseberrypost/gateways/peer", f"{host}:{port}".encode()
                )
                loop = asyncio.get_running_loop()
                kit.engines["a"].mode = "reset"
                for key in (KEY, "sesame-unknown", None):
                    for route in ROUTES:
                        await call(kit, route, key)
                async with asyncio.timeout(2):
                    data = await loop.sock_recv(peer, 65_536)
                assert b"sesame" not in data
                sent = decode(data[LENGTH_BYTES:]).ok_value.message
                assert sent.configuration_version == 4
            assert "sesame" not in kit.daemon.context.metrics.render()
            cfg = kit.daemon.context.directory.configuration
            assert "sesame" not in repr(cfg)
            broken = with_accounts(6, desk=KEY)
            broken["tenants"][0]["priority"] = "high"
            kit.store.put("op/config", broken)
            await kit.until(
                lambda: any("event=invalid_entry" in one for one in lines())
            )

    run(work)
    found = lines()
    assert any("event=key_refused" in line for line in found)
    assert any(
        "event=routed" in one and " account=desk " in one for one in found
    )
    assert not [line for line in found if "sesame" in line]


def test_name_of_the_key_header_is_known_to_the_platform_adapter_alone():
    """Guards against names of the wire outside of the adapter."""
    holders = {
        path.parent.name
        for path in SOURCES.rglob("*")
        if path.is_file()
        and path.suffix != ".pyc"
        and CREDENTIAL.encode() in path.read_bytes()
    }
    assert holders == {"platform"}
