"""Requests of an entry whose own event loop stands still."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from gooseberrypost.entry.agents import BackgroundTasks
from gooseberrypost.entry.plain_request import REVOKE_TIMEOUT_MS
from gooseberrypost.wire.messages import idl
from tests.entry_fakes import TOKENS, run
from tests.test_entry_model import text_of

PAUSE_S = 0.6
"""Longer than each of the timeouts here."""
TIMEOUT_MS = 300
REQUEST = b'{"model": "m", "prompt": "hello"}'


def stand_still(pause_s: float = PAUSE_S):
    """Block the event loop of the test, as a pause of its process does."""
    time.sleep(pause_s)


def connect(rig):
    host, port = rig.daemon.http.address.split(":")
    return socket.create_connection((host, int(port)), 5)


async def read_all(sock):
    """Read an answer until the entry closes the connection."""
    sock.setblocking(False)
    reader, writer = await asyncio.open_connection(sock=sock)
    try:
        return await reader.read()
    finally:
        writer.close()


def head(length):
    lines = (
        "POST /v1/completions HTTP/1.1",
        "Host: e1",
        "Connection: close",
        f"Content-Length: {length}",
        *("", ""),
    )
    return "\r\n".join(lines).encode()


def test_body_that_came_in_a_pause_is_read():
    """Guards against refusing a sound caller after a pause of the entry."""

    async def scenario(rig):
        sock = connect(rig)
        sock.sendall(head(len(REQUEST)) + REQUEST[:5])
        await asyncio.sleep(TIMEOUT_MS / 3_000)
        sock.sendall(REQUEST[5:])
        stand_still()
        assert b" 200 OK" in await read_all(sock)

    run(scenario, read_timeout_ms=TIMEOUT_MS)


RECORD_S = 0.02
"""Time in which the owner of a claim records an answer."""


@pytest.mark.parametrize("stream", [False, True])
def test_answer_that_came_in_a_pause_is_passed_on(stream):
    """Guards against an answer that is dropped at a deadline in a pause."""

    async def scenario(rig):
        d1 = rig.agents["d1"]

        async def decode_in_a_pause(session, correlation, message):
            await d1.decode(session, correlation, message)
            stand_still()

        d1.script[idl.Decode] = [decode_in_a_pause]
        headers = {"X-Gooseberrypost-Deadline-Ms": str(TIMEOUT_MS)}
        async with rig.complete(headers=headers, stream=stream) as response:
            text = await response.text()
            assert response.status == 200
            if stream:
                assert text_of(text) == "".join(TOKENS)

    run(scenario)


def test_call_that_was_answered_in_a_pause_is_completed():
    """Guards against an answer that is dropped at a deadline in a pause."""

    async def scenario(rig):
        s1 = rig.agents["s1"]

        async def call_in_a_pause(session, correlation, message):
            await s1.call(session, correlation, message)
            stand_still(PAUSE_S + REVOKE_TIMEOUT_MS / 1_000)

        s1.script[idl.Call] = [call_in_a_pause]
        headers = {"X-Gooseberrypost-Deadline-Ms": str(TIMEOUT_MS)}
        async with rig.post(
            "/services/desk/check", data=b"x", headers=headers
        ) as response:
            assert response.status == 201

    run(scenario)


def test_answer_that_came_in_a_pause_is_recorded_at_a_remote_owner():
    """Guards against an answer that is dropped because its claim is remote."""

    async def scenario(rig):
        d1, complete = rig.agents["d1"], rig.claims.complete

        async def decode_in_a_pause(session, correlation, message):
            await d1.decode(session, correlation, message)
            stand_still()

        async def complete_at_a_distance(*args):
            await asyncio.sleep(RECORD_S)
            return await complete(*args)

        d1.script[idl.Decode] = [decode_in_a_pause]
        rig.claims.complete = complete_at_a_distance
        headers = {"X-Gooseberrypost-Deadline-Ms": str(TIMEOUT_MS)}
        async with rig.complete(headers=headers) as response:
            assert response.status == 200

    run(scenario)


def test_request_is_not_cut_by_a_drain_whose_end_is_in_a_pause():
    """Guards against answers that are dropped at the end of a drain."""

    async def scenario(rig):
        d1 = rig.agents["d1"]
        released = asyncio.Event()

        async def decode_late(session, correlation, message):
            await released.wait()
            await d1.decode(session, correlation, message)
            stand_still()

        d1.script[idl.Decode] = [decode_late]

        async def complete():
            async with rig.complete() as response:
                return response.status

        task = asyncio.create_task(complete())
        await d1.wait_for(idl.Decode)
        draining = asyncio.create_task(rig.daemon.drain())
        await asyncio.sleep(0)
        released.set()
        assert await task == 200
        await draining

    run(scenario, drain_timeout_ms=TIMEOUT_MS)


def test_caller_that_read_in_a_pause_is_not_slow():
    """Guards against a stream that is cut for a delay of the entry."""

    async def scenario(rig):
        d1 = rig.agents["d1"]
        text = "x" * 1_000_000
        sock = connect(rig)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)

        async def decode_long(session, correlation, message):
            for n in range(8):
                token = idl.Token(
                    key=message.key,
                    attempt=message.attempt,
                    sequence=n,
                    text=text,
                )
                await session.send(correlation, token)
            end = idl.End(
                key=message.key, attempt=message.attempt, tokens=8, code=""
            )
            await session.send(correlation, end)

        d1.script[idl.Decode] = [decode_long]
        body = REQUEST[:-1] + b', "stream": true}'
        sock.sendall(head(len(body)) + body)
        await d1.wait_for(idl.Decode)
        await asyncio.sleep(TIMEOUT_MS / 2_000)
        part = sock.recv(4_000_000)
        stand_still()
        answer = part + await read_all(sock)
        assert answer.endswith(b"[DONE]\n\n\r\n0\r\n\r\n")

    run(scenario, write_timeout_ms=TIMEOUT_MS)


def test_clean_up_whose_reply_came_in_a_pause_is_finished():
    """Guards against capacity that stays held when an entry stops."""

    async def scenario(rig):
        d1, agents = rig.agents["d1"], rig.daemon.context.agents
        (view,) = rig.daemon.fleet.candidates("llm", "decode", "m", {"d2"})
        finished = []

        async def accept_in_a_pause(session, correlation, message):
            await d1.accept(session, correlation, message)
            stand_still()

        async def clean_up():
            message = idl.Cancel(key="k", attempt=1)
            finished.append(await agents.request(view, message, 5_000))

        d1.script[idl.Cancel] = [accept_in_a_pause]
        background = BackgroundTasks()
        background.spawn(clean_up())
        await background.wait_or_cancel(TIMEOUT_MS / 1_000)
        assert finished

    run(scenario)


def test_clean_up_without_a_reply_is_ended():
    """Guards against an entry that never stops."""

    async def scenario(rig):
        background = BackgroundTasks()
        task = background.spawn(asyncio.sleep(3_600))
        asyncio.get_running_loop().call_soon(stand_still)
        await background.wait_or_cancel(TIMEOUT_MS / 1_000)
        await asyncio.wait([task], timeout=1)
        assert task.cancelled()

    run(scenario)
