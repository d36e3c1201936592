"""What an agent holds while its own event loop stands still."""

from __future__ import annotations

import asyncio
import socket
import time
from contextlib import AsyncExitStack

import pytest
from result import Ok

from gooseberrypost.wire.codec import Frame, encode, read_frame
from gooseberrypost.wire.messages import idl
from tests.agent_kit import (
    ask,
    collect,
    decode,
    prefill,
    reserve,
    running,
    running_rig,
    settings,
    until,
)
from tests.test_late_event_loop import late_loop

PAUSE_S = 2.5
"""Longer than an entry's reservations last."""
GRACE_MS = 500
"""Time for an entry to connect again."""
LONG_MS = 20_000


def stand_still(pause_s: float):
    """Block the event loop of the test, as a pause of its process does."""
    time.sleep(pause_s)


async def pause(request, pause_s=PAUSE_S):
    """Start a request, and stand still once its bytes are in the socket."""
    task = asyncio.create_task(request)
    asyncio.get_running_loop().call_soon(stand_still, pause_s)
    return await task


async def reattach_in_a_pause(agent):
    """Connect and reattach while the agent stands still; return the end."""
    host, port = agent.address.split(":")
    sock = socket.create_connection((host, int(port)), 1)
    hello = idl.Hello(process_kind="entry", name="e1", incarnation=1)
    message = idl.Reattach(key="k", attempt=1, next_sequence=1)
    sock.sendall(encode(Frame(0, hello)) + encode(Frame(1, message)))
    stand_still(2 * GRACE_MS / 1_000)
    sock.setblocking(False)
    reader, writer = await asyncio.open_connection(sock=sock)
    reply = idl.Token()
    while isinstance(reply, idl.Token):
        reply = (await read_frame(reader)).unwrap().message
    writer.close()
    return reply


def reservations(rig):
    return rig.decode_agent.capacity.capacity.ledger.allocations


def test_reservation_whose_renewal_waits_in_a_socket_is_kept():
    """Guards against a place that is lost in a pause of its agent.

    Another request would get it, and the prefill would be in vain.
    """

    async def run():
        async with running_rig() as rig:
            reserved = await ask(rig.decode_channel, reserve())
            again = await pause(ask(rig.decode_channel, reserve()))
            assert again.reservation == reserved.reservation

    asyncio.run(run())


@pytest.mark.parametrize(
    ("ttl_ms", "pause_s"), [(2_000, PAUSE_S), (50, 0.4)], ids=["long", "last"]
)
def test_reservation_whose_use_waits_in_a_socket_is_kept(ttl_ms, pause_s):
    """Guards against a stream refused because its agent read of it late."""

    async def run():
        async with running_rig({"lives_ms": LONG_MS}) as rig:
            prefilled = await ask(rig.prefill_channel, prefill())
            reserved = await ask(rig.decode_channel, reserve(ttl_ms=ttl_ms))
            async with AsyncExitStack() as stack:
                req = decode(reserved, prefilled)
                replies = await pause(
                    stack.enter_async_context(rig.decode_channel.stream(req)),
                    pause_s,
                )
                _, end = await collect(replies)
            assert getattr(end, "detail", "") == ""
            assert end.code == ""

    asyncio.run(run())


def test_prefill_result_whose_release_waits_in_a_socket_is_released():
    """Guards against engine memory held for a result that nobody imports."""

    async def run():
        async with running_rig({"lives_ms": LONG_MS}) as rig:
            prefilled = await ask(rig.prefill_channel, prefill())
            message = idl.ReleasePrefill(
                key="k", attempt=1, handle=prefilled.handle
            )
            await pause(ask(rig.prefill_channel, message))
            assert not rig.prefill_engine.attempts

    asyncio.run(run())


@pytest.mark.parametrize("max_tokens", [5, 100], ids=["ended", "running"])
def test_stream_whose_entry_reattaches_in_a_pause_is_kept(max_tokens):
    """Guards against a run that is cancelled as if its entry were gone."""

    async def run():
        async with running_rig(
            decode_options={"token_ms": 20}, reattach_ms=GRACE_MS
        ) as rig:
            reserved, prefilled = await rig.prepare()
            req = decode(reserved, prefilled, max_tokens=max_tokens)
            async with rig.decode_channel.stream(req) as replies:
                (await replies.next(1_000)).unwrap()
                (job,) = rig.decode_agent.context.attempts.jobs.values()
                await rig.decode_channel.close()
            await until(lambda: job.orphaned_ms or job.end)
            await until(lambda: job.end or job.next_sequence > 5)
            end = await reattach_in_a_pause(rig.decode_agent)
            assert (end.code, end.tokens) == ("", max_tokens)

    asyncio.run(run())


def test_reservation_whose_entry_connects_again_in_a_pause_is_kept():
    """Guards against places of an entry that is taken for gone.

    Its new connection waits to be accepted.
    """

    async def run():
        async with running_rig(reattach_ms=GRACE_MS) as rig:
            channel = rig.decode_channel
            await ask(channel, reserve(ttl_ms=LONG_MS))
            monitor = rig.decode_agent.execution._owner_monitor
            await channel.close()
            await until(lambda: monitor._disconnected_ms)
            host, port = rig.decode_agent.address.split(":")
            with socket.create_connection((host, int(port)), 1) as sock:
                sock.sendall(encode(Frame(0, channel.hello)))
                stand_still(2 * GRACE_MS / 1_000)
                await until(lambda: not monitor._disconnected_ms)
                assert reservations(rig)

    asyncio.run(run())


def test_adopted_stream_whose_entry_reattaches_in_a_pause_is_kept():
    """Guards against runs that a new agent cancels after its own pause."""

    async def run():
        async with running_rig(decode_options={"token_ms": 20}) as rig:
            reserved, prefilled = await rig.prepare()
            req = decode(reserved, prefilled, max_tokens=100)
            async with rig.decode_channel.stream(req) as replies:
                (await replies.next(1_000)).unwrap()
                await rig.decode_agent.stop()
            cfg = settings(rig.decode_engine, reattach_ms=GRACE_MS)
            async with running(cfg) as successor:
                end = await reattach_in_a_pause(successor)
            assert (end.code, end.tokens) == ("", 100)

    asyncio.run(run())


@pytest.mark.parametrize("holder", ["silent", "gone"])
def test_reservation_lapses_although_the_event_loop_is_always_late(holder):
    """Guards against memory held for ever by an entry that is gone."""

    async def run():
        async with running_rig(reattach_ms=GRACE_MS) as rig:
            ttl_ms = 300 if holder == "silent" else LONG_MS
            await ask(rig.decode_channel, reserve(ttl_ms=ttl_ms))
            if holder == "gone":
                await rig.decode_channel.close()
            async with late_loop():
                await until(lambda: not reservations(rig))

    asyncio.run(run())


def test_reservation_of_a_gone_entry_lapses_after_a_pause():
    """Guards against a pause that renews what nobody asks for any more."""

    async def run():
        async with running_rig() as rig:
            await ask(rig.decode_channel, reserve(ttl_ms=1_000))
            stand_still(PAUSE_S)
            begun_s = time.monotonic()
            await until(lambda: not reservations(rig))
            assert time.monotonic() - begun_s < 1.5

    asyncio.run(run())


def test_entry_has_its_time_to_connect_again_also_after_a_pause():
    """Guards against runs of an entry that was paused with its agent."""

    async def run():
        async with running_rig(
            decode_options={"token_ms": 20}, reattach_ms=2 * GRACE_MS
        ) as rig:
            await ask(rig.decode_channel, reserve("other", ttl_ms=LONG_MS))
            reserved, prefilled = await rig.prepare()
            req = decode(reserved, prefilled, max_tokens=100)
            async with rig.decode_channel.stream(req) as replies:
                (await replies.next(1_000)).unwrap()
                (job,) = rig.decode_agent.context.attempts.jobs.values()
                await rig.decode_channel.close()
            await until(lambda: job.orphaned_ms)
            stand_still(PAUSE_S)
            count = job.next_sequence
            # The engine sends a token each 20 ms, so this is 0.2 s or more.
            await until(lambda: job.end or job.next_sequence >= count + 10)
            assert job.end is None
            assert len(reservations(rig)) == 2
            # Nobody connects, so that all is released after the time.
            await until(lambda: not reservations(rig))

    asyncio.run(run())


def test_answer_that_came_in_a_pause_ends_its_run_as_complete():
    """Guards against a whole answer that is dropped at a deadline."""

    async def run():
        async with running_rig() as rig:
            engine = rig.decode_engine
            stream = engine.stream

            async def stream_at_once(request, attempt, sequence):
                await until(lambda: attempt.finished)
                response = await stream(request, attempt, sequence)
                stand_still(PAUSE_S)
                return response

            engine.stream = stream_at_once
            reserved, prefilled = await rig.prepare()
            req = decode(reserved, prefilled, deadline_ms=1_500)
            async with rig.decode_channel.stream(req) as replies:
                _, end = await collect(replies)
            assert (end.code, end.tokens) == ("", req.max_tokens)

    asyncio.run(run())


def test_run_that_goes_on_after_its_deadline_is_ended_after_a_pause():
    """Guards against a deadline that is prolonged by a pause."""

    async def run():
        async with running_rig(decode_options={"token_ms": 20}) as rig:
            reserved, prefilled = await rig.prepare()
            req = decode(reserved, prefilled, deadline_ms=500, max_tokens=500)
            async with rig.decode_channel.stream(req) as replies:
                (await replies.next(1_000)).unwrap()
                stand_still(1.0)
                begun_s = time.monotonic()
                _, end = await collect(replies)
            assert end.code == "timed_out"
            assert time.monotonic() - begun_s < 0.5
            await until(rig.is_decode_free)

    asyncio.run(run())


def test_order_is_carried_out_if_its_engine_became_idle_in_a_pause():
    """Guards against a planned change that is withdrawn for an own delay."""

    async def run():
        async with running_rig(drain_timeout_ms=GRACE_MS) as rig:
            orders = rig.decode_agent.orders
            reserved = await ask(rig.decode_channel, reserve())
            idle = asyncio.create_task(orders._wait_idle())
            await asyncio.sleep(0.1)
            message = idl.ReleaseReservation(
                key="k", attempt=1, reservation=reserved.reservation
            )
            await pause(ask(rig.decode_channel, message), 1.0)
            assert isinstance(await idle, Ok)

    asyncio.run(run())


def test_agent_that_drains_sends_an_answer_that_came_in_a_pause():
    """Guards against streams that a stopping agent cuts for an own delay."""

    async def run():
        async with running_rig(drain_timeout_ms=GRACE_MS) as rig:
            engine = rig.decode_engine
            stream = engine.stream
            draining = []

            async def stream_at_once(request, attempt, sequence):
                await until(lambda: attempt.finished)
                draining.append(asyncio.create_task(rig.decode_agent.drain()))
                await asyncio.sleep(0.05)
                response = await stream(request, attempt, sequence)
                stand_still(1.0)
                return response

            engine.stream = stream_at_once
            reserved, prefilled = await rig.prepare()
            req = decode(reserved, prefilled)
            async with rig.decode_channel.stream(req) as replies:
                _, end = await collect(replies)
            assert (end.code, end.tokens) == ("", req.max_tokens)
            await rig.decode_channel.close()
            await draining[0]

    asyncio.run(run())
