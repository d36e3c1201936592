"""How a gateway follows the store, and what it does without it."""

from __future__ import annotations

import asyncio
import signal

from gooseberrypost.wire.codec import Frame, encode
from gooseberrypost.wire.messages import idl
from tests.gateway_kit import configuration, serving

PLAIN = (("a", "desk", ""), ("b", "desk", ""))


def run(work):
    return asyncio.run(work())


def test_deaf_watch_does_not_hide_a_change():
    """Guards against a change missed by a watch that heard nothing."""

    async def work():
        async with serving(*PLAIN) as kit:
            kit.store.deaf = True
            kit.store.put("op/config", configuration(8))
            # The deaf watch has answered with a revision behind the change.
            await asyncio.sleep(0.3)
            kit.store.deaf = False
            directory = kit.daemon.context.directory
            await kit.until(lambda: directory.configuration.version == 8, 2.0)

    run(work)


def test_dropped_history_is_read_anew():
    """Guards against a follower that stops at a lost history."""

    async def work():
        async with serving(*PLAIN) as kit:
            kit.store.deaf = True
            kit.store.put("op/config", configuration(8))
            kit.store.compacted = kit.store.revision
            kit.store.cut()
            kit.store.deaf = False
            directory = kit.daemon.context.directory
            await kit.until(lambda: directory.configuration.version == 8, 2.0)

    run(work)


def test_silent_store_is_noticed_in_time():
    """Guards against waiting on a silent connection beyond the bound."""

    async def work():
        async with serving(*PLAIN) as kit:
            kit.store.silent = True
            await asyncio.sleep(0.2)
            kit.store.put("op/config", configuration(8))
            kit.store.silent = False
            directory = kit.daemon.context.directory
            await kit.until(lambda: directory.configuration.version == 8, 2.0)

    run(work)


def test_requests_are_served_while_the_store_is_down():
    """Guards against a gateway that forgets what it knows."""

    async def work():
        async with serving(*PLAIN) as kit:
            kit.store.down = True
            kit.store.cut()
            await asyncio.sleep(0.3)
            assert (await kit.call("/once/x")).status == 200

    run(work)


def test_draining_server_gets_no_new_request():
    """Guards against requests to a server that leaves."""

    async def work():
        async with serving(*PLAIN) as kit:
            kit.register("a", "desk", state="draining")
            servers = kit.daemon.context.directory.servers
            await kit.until(lambda: any(s.draining for s in servers.all()))
            for _ in range(5):
                assert (await kit.call("/once/x")).status == 200
            assert kit.engines["a"].received == []

    run(work)


def test_entry_of_another_writer_is_ignored():
    """Guards against a follower that fails on what it cannot decode."""

    async def work():
        async with serving(*PLAIN) as kit:
            kit.store.put("servers/x", b"\xff\xfe")
            kit.store.put("servers/y", {"service": 5, "state": "odd"})
            kit.store.put("op/config", configuration(8))
            directory = kit.daemon.context.directory
            await kit.until(lambda: directory.configuration.version == 8)
            assert len(directory.servers.all()) == 2

    run(work)


def test_idle_connections_are_closed_when_leaving():
    """Guards against a request read after SIGTERM and never answered."""

    async def work():
        async with serving(*PLAIN) as kit:
            host, _, port = kit.daemon.frontend.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                b"GET /safe/x HTTP/1.1\r\nHost: h.example\r\n"
                b"X-Gooseberrypost-Attempt-Id: q\r\n\r\n"
            )
            await reader.readuntil(b"\r\n\r\n")
            await reader.readuntil(b"/safe/x")
            await kit.daemon.frontend.close_idle()
            async with asyncio.timeout(1):
                assert await reader.read() == b""
            writer.close()

    run(work)


def test_request_that_was_read_is_answered_when_leaving():
    """Guards against closing between a request's arrival and its start."""

    async def work():
        async with serving(*PLAIN) as kit:
            frontend = kit.daemon.frontend
            host, _, port = frontend.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            await kit.until(lambda: frontend._server.connections)
            (connection,) = frontend._server.connections
            connection.data_received(
                b"POST /once/x HTTP/1.1\r\nHost: h.example\r\n"
                b"X-Gooseberrypost-Attempt-Id: q\r\nContent-Length: 0\r\n\r\n"
            )
            # The request is queued, and its handler has not run yet.
            await frontend.close_idle()
            async with asyncio.timeout(2):
                assert b" 200 " in await reader.readline()
            writer.close()

    run(work)


def test_gateways_share_their_loads():
    """Guards against engines filled by gateways that ignore each other."""

    async def work():
        async with serving(
            ("p", "llm", "prefill"), ("d", "llm", "decode")
        ) as kit:
            other = await kit.gateway("gateway-2")
            try:
                engine = kit.engines["d"]
                engine.events, engine.event_s = 20, 0.05
                task = asyncio.create_task(kit.generate())
                await kit.until(lambda: other.context.loads.run_count("d@1"))
                await task
                await kit.until(
                    lambda: not other.context.loads.run_count("d@1")
                )
            finally:
                await other.stop()

    run(work)


def test_restarted_gateway_is_heard_again():
    """Guards against notices that are ignored for good after a restart."""

    async def work():
        async with serving(*PLAIN) as kit:
            loads = kit.daemon.context.loads

            def hear(incarnation: int, sequence: int, outstanding: int):
                load = idl.ServerLoadNotice(
                    identity="a@1",
                    outstanding=outstanding,
                    prefill_tokens=0,
                    run_tokens=[],
                    run_produced=[],
                    run_expected=[],
                    run_limit=[],
                )
                notice = idl.LoadNotice(
                    name="other",
                    incarnation=incarnation,
                    sequence=sequence,
                    servers=[load],
                    configuration_version=1,
                )
                data = encode(Frame(sequence, notice))
                kit.daemon.peers.datagram_received(data, ("127.0.0.1", 9))

            hear(900, 7, 1)
            hear(900, 6, 2)
            assert loads.outstanding("a@1") == 1
            hear(5, 1, 3)
            assert loads.outstanding("a@1") == 3
            # Two that come before the loads are read.
            hear(5, 4, 4)
            hear(5, 3, 5)
            assert loads.outstanding("a@1") == 4

    run(work)


def test_registration_outlives_a_call_without_an_answer():
    """Guards against a duty that is given up for one lost renewal."""

    async def work():
        async with serving(*PLAIN, lease_ms=3_000) as kit:
            await kit.until(lambda: kit.daemon.peers.lease)
            lease = kit.daemon.peers.lease
            kit.store.down = True
            await asyncio.sleep(1.6)
            kit.store.down = False
            await asyncio.sleep(0.8)
            assert kit.daemon.peers.lease == lease

    run(work)


def test_gateway_that_knows_no_configuration_stops():
    """Guards against a gateway that is asked to stop while the store is away.

    Seed 503 of the soak: its wait for a configuration span without end. A
    spinning event loop keeps no timeout, but a signal interrupts it.
    """
    stuck = []

    def give_up(*_: object):
        stuck.append("the gateway did not stop")
        raise TimeoutError(stuck[0])

    async def work():
        async with serving(*PLAIN) as kit:
            kit.store.down = True
            other = await kit.gateway("gateway-2")
            former = signal.signal(signal.SIGALRM, give_up)
            signal.setitimer(signal.ITIMER_REAL, 3.0)
            try:
                await other.stop()
            finally:
                signal.setitimer(signal.ITIMER_REAL, 0)
                signal.signal(signal.SIGALRM, former)

    run(work)
    assert not stuck
