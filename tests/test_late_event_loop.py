"""Timeouts of a gateway whose own event loop is late."""

from __future__ import annotations

import asyncio
import socket
import time
from contextlib import asynccontextmanager

import pytest
from multidict import CIMultiDict

from gooseberrypost.gateway.model import Server, Stage
from gooseberrypost.gateway.request import ClientRequest
from gooseberrypost.gateway.transport import (
    AnswerLost,
    ProcessState,
    SendOptions,
    ServerUnreachable,
)
from gooseberrypost.platform import names
from gooseberrypost.platform.engines import CONTROL_TIMEOUT_S, HttpTransport
from gooseberrypost.platform.store import PlatformStore, Put
from gooseberrypost.timeouts import (
    MAX_REPEATS,
    PARTS,
    Deadline,
    LateTimeout,
    RunningTimeout,
)
from tests.gateway_kit import HOST, configuration, serving
from tests.late_kit import (
    ANSWER_S,
    PAUSE_S,
    PausingEngine,
    PausingStore,
    in_thread,
)
from tests.standins.platform_engine import FakePlatformEngine

TIMEOUT_S = 0.1
LATE_S = 0.06
"""Time of each pass of an event loop that is always late."""


def run(work):
    asyncio.run(work())


def stand_still(pause_s: float):
    time.sleep(pause_s)


@asynccontextmanager
async def late_loop(pass_s: float = LATE_S):
    """Keep the event loop late in each pass."""

    async def keep_late():
        while True:
            stand_still(pass_s)
            await asyncio.sleep(0)

    task = asyncio.create_task(keep_late())
    try:
        yield
    finally:
        task.cancel()


@asynccontextmanager
async def calls(engine):
    """Return a transport for calls to an engine in a thread."""
    transport = HttpTransport()
    try:
        async with in_thread(engine):
            yield transport
    finally:
        await transport.close()


def test_timeout_ends_a_wait_in_time():
    """Guards against waits without end, and against a longer usual wait."""

    async def work():
        begun_s = time.monotonic()
        with (
            pytest.raises(TimeoutError) as caught,
            RunningTimeout(TIMEOUT_S),
        ):
            await asyncio.Event().wait()
        took_s = time.monotonic() - begun_s
        assert not isinstance(caught.value, LateTimeout)
        assert TIMEOUT_S <= took_s < 2 * TIMEOUT_S
        assert not asyncio.current_task().cancelling()

    run(work)


def test_result_that_came_while_the_loop_stood_still_is_taken():
    """Guards against a timer that ends a wait whose reply is there."""

    async def work():
        arrived = asyncio.get_running_loop().create_future()
        loop = asyncio.get_running_loop()

        async def wait():
            with RunningTimeout(TIMEOUT_S):
                return await arrived

        task = asyncio.create_task(wait())
        await asyncio.sleep(0)
        stand_still(3 * TIMEOUT_S)
        # The reply takes several passes of the event loop to come through.
        loop.call_later(0.01, arrived.set_result, "reply")
        assert await task == "reply"

    run(work)


def test_loop_that_is_always_late_still_ends_a_wait():
    """Guards against a wait without end for a peer that has gone.

    The timeout shows that the wait says nothing about the peer.
    """

    async def work():
        begun_s = time.monotonic()
        async with late_loop():
            with pytest.raises(LateTimeout), RunningTimeout(TIMEOUT_S):
                await asyncio.Event().wait()
        took_s = time.monotonic() - begun_s
        # Each part ends at most two passes of the event loop late.
        part_s = TIMEOUT_S / PARTS + 2 * LATE_S
        assert took_s < (PARTS + MAX_REPEATS + 1) * part_s

    run(work)


def test_cancellation_is_not_taken_for_a_timeout():
    """Guards against a cancelled call that goes on as if timed out."""

    async def work():
        async def wait():
            with RunningTimeout(TIMEOUT_S):
                await asyncio.Event().wait()

        for after_s in (0, TIMEOUT_S / 2):
            task = asyncio.create_task(wait())
            await asyncio.sleep(after_s)
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await task

    run(work)


def test_nested_timeouts_end_their_own_blocks():
    """Guards against an outer timeout that ends only the inner block."""

    async def work():
        with pytest.raises(TimeoutError), RunningTimeout(TIMEOUT_S):
            try:
                with RunningTimeout(10 * TIMEOUT_S):
                    await asyncio.Event().wait()
            except TimeoutError:
                pytest.fail("the inner timeout has not expired")
        for delay_s in (TIMEOUT_S, 2 * TIMEOUT_S):
            with RunningTimeout(delay_s):
                await asyncio.sleep(TIMEOUT_S / 2)

    run(work)


def test_deadline_ends_each_wait():
    """Guards against a call that has a further wait after its deadline."""

    async def work():
        begun_s = time.monotonic()
        with Deadline(TIMEOUT_S) as deadline:
            with deadline.limit():
                await asyncio.sleep(TIMEOUT_S / 2)
            with pytest.raises(TimeoutError), deadline.limit():
                await asyncio.Event().wait()
            took_s = time.monotonic() - begun_s
            assert TIMEOUT_S <= took_s < 1.5 * TIMEOUT_S
            with pytest.raises(TimeoutError), deadline.limit():
                pytest.fail("began after the deadline")

    run(work)


def test_deadline_is_not_prolonged_by_a_late_loop():
    """Guards against answers that are awaited longer than their client waits.

    Only what has arrived is read after the deadline.
    """

    async def work():
        arrived = asyncio.get_running_loop().create_future()
        with Deadline(TIMEOUT_S) as deadline:
            stand_still(2 * TIMEOUT_S)
            begun_s = time.monotonic()
            asyncio.get_running_loop().call_soon(arrived.set_result, "reply")
            with deadline.limit():
                assert await arrived == "reply"
            with pytest.raises(LateTimeout), deadline.limit():
                await asyncio.Event().wait()
            assert time.monotonic() - begun_s < TIMEOUT_S / 2

    run(work)


CONTROL_CALLS = {
    "reserve": lambda transport, server: transport.reserve(server, 10, 2_000),
    "report": lambda transport, server: transport.fetch_report(server),
    "state": lambda transport, server: transport.process_state(server, 0.25),
    "move": lambda transport, server: transport.stop_and_copy(
        server, ClientRequest("r", "POST", "/x", "h"), server, 1.0
    ),
}


@pytest.mark.parametrize("call", CONTROL_CALLS)
def test_control_call_is_not_lost_while_the_loop_is_late(call):
    """Guards against a gateway that takes its own delay for that of engines.

    The answer arrives while the event loop of the gateway stands still.
    """

    async def work():
        engine = PausingEngine("e", "decode")
        engine.pause_s = 1.2 if call == "move" else PAUSE_S
        async with calls(engine) as transport:
            engine.supports_moves = True
            engine.running["r"] = asyncio.get_running_loop().create_future()
            answer = await CONTROL_CALLS[call](transport, engine.known)
            if call == "state":
                assert answer is ProcessState.RUNNING
            assert len(engine.control) == 1

    run(work)


def test_control_call_is_not_lost_while_each_pass_is_a_little_late():
    """Guards against timeouts on a busy machine.

    No timer is late by much, but an answer takes several passes of the event
    loop, and comes just before the timeout.
    """

    async def work():
        engine = FakePlatformEngine("e", "decode")
        await engine.start()
        engine.control_delay_s = CONTROL_TIMEOUT_S - 0.01
        transport = HttpTransport()
        server = Server("e", "llm", engine.address, "a")
        try:
            async with late_loop(0.008):
                for _ in range(5):
                    await transport.reserve(server, 10, 2_000)
        finally:
            await transport.close()
            await engine.stop()

    run(work)


def plain_call(timeout_s: float) -> tuple[ClientRequest, SendOptions]:
    """Return a request, and options with which to send it."""
    headers = CIMultiDict({names.REQUEST_ID: "r"})
    req = ClientRequest("r", "POST", "/x", "h", headers)
    return req, SendOptions(timeout_s, connect_timeout_s=0.25)


def test_connection_that_was_established_while_the_loop_was_late_is_used():
    """Guards against a sound server that is taken for unreachable.

    The event loop stands still while the connection is established.
    """

    async def work():
        engine = PausingEngine("e", pauses=0)
        async with calls(engine) as transport:

            async def call() -> int:
                req, options = plain_call(timeout_s=2.0)
                async with transport.open(engine.known, req, options) as got:
                    return got.status

            task = asyncio.create_task(call())
            asyncio.get_running_loop().call_soon(stand_still, PAUSE_S)
            assert await task == 200

    run(work)


@pytest.mark.parametrize("mode", ["answer", "halves", "prefill"])
def test_answer_that_came_before_its_deadline_is_read_after_it(mode):
    """Guards against an answer that is lost in a pause of the gateway.

    It arrives in time, and the event loop runs again after the deadline.
    """

    async def work():
        engine = PausingEngine("e", pauses=mode != "halves")
        async with calls(engine) as transport:
            req, options = plain_call(timeout_s=0.3)
            if mode == "prefill":
                kv = await transport.prefill(engine.known, req, options)
                assert kv.handle == "h1"
                return
            engine.mode, engine.body = mode, b"two halves"
            async with transport.open(engine.known, req, options) as answer:
                body = [chunk async for chunk in answer.chunks]
            assert b"".join(body) == b"two halves"

    run(work)


def test_answer_that_did_not_come_is_given_up_after_a_pause():
    """Guards against a client deadline that is prolonged by a pause."""

    async def work():
        engine = PausingEngine("e", "decode")
        engine.mode = "hang"
        async with calls(engine) as transport:
            req, options = plain_call(timeout_s=0.3)
            begun_s = time.monotonic()
            with pytest.raises(AnswerLost):
                async with transport.open(engine.known, req, options):
                    pass
            assert time.monotonic() - begun_s < PAUSE_S + 0.1

    run(work)


def test_order_is_not_sent_after_its_time():
    """Guards against a stage order that goes out after a pause.

    Another gateway may then hold the lock and have sent its own orders.
    """

    async def work():
        engine = PausingEngine("e", "decode", pauses=0)
        async with calls(engine) as transport:
            order = asyncio.create_task(
                transport.order_stage(
                    engine.known, Stage.PREFILL, 0, "g", 1, 0.2
                )
            )
            asyncio.get_running_loop().call_soon(stand_still, PAUSE_S)
            with pytest.raises(ServerUnreachable):
                await order
            await asyncio.sleep(2 * TIMEOUT_S)
            assert engine.control == []

    run(work)


ENGINES = (("p", "llm", "prefill"), ("d", "llm", "decode"))


def test_reservation_of_a_late_gateway_is_asked_for_again():
    """Guards against a gateway whose own delay makes engines unreachable.

    The only one with memory does not answer while the event loop is late.
    """

    async def work():
        async with serving(*ENGINES) as kit:
            engine = kit.engines["d"]
            load = kit.daemon.context.loads.of(f"d@{engine.born}")
            engine.control_delay_s = 3_600
            kit.store.put("op/config", configuration(4, timeout_ms=8_000))
            directory = kit.daemon.context.directory
            await kit.until(lambda: directory.configuration.version == 4)
            task = asyncio.create_task(
                kit.generate(X_Gooseberrypost_Deadline_Ms="8000")
            )
            await kit.until(lambda: engine.connections)
            async with late_loop():
                # The first connection stays, as the engine does not answer.
                await kit.until(lambda: len(engine.connections) > 1)
                engine.control_delay_s = 0
                assert load.unreachable_until_s < 0
            assert (await task).status == 200

    run(work)


def test_silent_engine_of_a_gateway_in_time_is_unreachable():
    """Guards against asking an engine without an answer all the time."""

    async def work():
        async with serving(*ENGINES) as kit:
            engine = kit.engines["d"]
            load = kit.daemon.context.loads.of(f"d@{engine.born}")
            engine.control_delay_s = 3_600
            task = asyncio.create_task(kit.generate())
            await kit.until(lambda: load.unreachable_until_s > 0)
            engine.control_delay_s = 0
            await task

    run(work)


def test_server_is_not_left_out_for_a_delay_of_the_gateway():
    """Guards against sound servers that get no requests after a pause."""

    async def work():
        async with serving(("desk", "desk", "")) as kit:
            server = kit.engines["desk"]
            ctx = kit.daemon.context
            load = ctx.loads.of(f"desk@{server.born}")
            send = ctx.transport.open
            failures = [ServerUnreachable("late", is_own_delay=True)]

            @asynccontextmanager
            async def open_late(*args):
                if failures:
                    raise failures.pop()
                assert load.unreachable_until_s < 0
                async with send(*args) as answer:
                    yield answer

            ctx.transport.open = open_late
            assert (await kit.call("/once/x")).status == 200
            assert not failures
            assert len(server.executed) == 1

    run(work)


def test_server_is_not_suspect_for_a_deadline_in_a_pause():
    """Guards against sound servers that get no requests after a pause.

    The client's deadline passes while the event loop stands still.
    """

    async def work():
        async with serving() as kit:
            server = PausingEngine("desk", pauses=1)
            server.mode = "hang"
            async with in_thread(server):
                kit.store.put("servers/desk", server.registration("desk"))
                ctx = kit.daemon.context
                await kit.until(lambda: ctx.directory.servers.all())
                got = await kit.call(
                    "/once/x", X_Gooseberrypost_Deadline_Ms="300"
                )
                assert got.status == 504
                load = ctx.loads.of(f"desk@{server.born}")
                assert load.suspect_until_s < 0

    run(work)


STORE_CALLS = {
    "range": lambda store: store.range("x"),
    "watch": lambda store: store.watch("x", 1, 100),
    "write": lambda store: store.write([Put("x", b"1")]),
    "lease": lambda store: store.grant_lease(1_000),
}


@pytest.mark.parametrize("call", STORE_CALLS)
def test_call_to_the_store_is_not_lost_while_the_loop_is_late(call):
    """Guards against a store that is taken for unavailable after a pause.

    Leases would lapse, and writes would be taken for failed.
    """

    async def work():
        async with in_thread(PausingStore()) as fake:
            store = PlatformStore(fake.address)
            try:
                await STORE_CALLS[call](store)
            finally:
                await store.close()
            assert len(fake.calls) == 1

    run(work)


class SilentProcess(PausingEngine):
    """Ends its answers without framing, and answers no call for its state."""

    async def _handle(self, request, reader, writer):
        if request.target != "/-/report":
            return await super()._handle(request, reader, writer)
        await self._pause()
        await asyncio.sleep(3_600)


def test_check_of_a_process_ends_with_the_deadline_of_its_request():
    """Guards against a reply that comes long after its client's deadline.

    The event loop stands still while the check waits for an answer.
    """

    async def work():
        async with serving() as kit:
            server = SilentProcess("desk", pauses=0)
            server.mode = "unframed"
            async with in_thread(server):
                kit.store.put("servers/desk", server.registration("desk"))
                servers = kit.daemon.context.directory.servers
                await kit.until(servers.all)
                begun_s = time.monotonic()
                got = await kit.call(
                    "/once/x", X_Gooseberrypost_Deadline_Ms="400"
                )
                took_s = time.monotonic() - begun_s
                assert got.status == 504
                # The pause begins at once, and the deadline passes in it.
                assert took_s < PAUSE_S + 0.15

    run(work)


def test_body_that_came_while_the_loop_was_late_is_read():
    """Guards against refusing a sound client after a pause of the gateway."""

    async def work():
        async with serving(("desk", "desk", "")) as kit:
            kit.store.put("op/config", configuration(4, header_timeout_ms=300))
            directory = kit.daemon.context.directory
            await kit.until(lambda: directory.configuration.version == 4)

            loop = asyncio.get_running_loop()
            head = (
                "POST /once/x HTTP/1.1",
                f"Host: {HOST}",
                f"{names.REQUEST_ID}: r",
                f"{names.DEADLINE_MS}: 2000",
                "Content-Length: 8",
                "Connection: close",
                *("", "half"),
            )

            def send() -> bytes:
                host, port = kit.daemon.frontend.address.split(":")
                with socket.create_connection((host, int(port)), 5) as sock:
                    sock.sendall("\r\n".join(head).encode())
                    time.sleep(ANSWER_S)
                    loop.call_soon_threadsafe(time.sleep, PAUSE_S)
                    time.sleep(ANSWER_S)
                    sock.sendall(b"half")
                    return sock.recv(1_000)

            assert b" 200 OK" in await asyncio.to_thread(send)
            assert kit.engines["desk"].received[0].body == b"halfhalf"

    run(work)
