"""Calls of an agent to its server whose answers come during a pause."""

from __future__ import annotations

import asyncio
import json
import socket
import threading
import time

import pytest
from result import Ok

from gooseberrypost.agent.engine import EngineClient
from gooseberrypost.agent.plain import PlainClient
from gooseberrypost.identity import Attempt
from tests.agent_kit import call

ANSWER_S = 0.05
PAUSE_S = 0.8
TIMEOUT_MS = 300
ATTEMPT = Attempt("k", 1)
PREFILLED = {"handle": "h", "tokens": 1, "cached_tokens": 0, "lives_ms": 1}

CALLS = {
    "prefill": (
        EngineClient,
        PREFILLED,
        lambda c: c.prefill(ATTEMPT, "m", "p", 5, TIMEOUT_MS),
    ),
    "call": (PlainClient, {}, lambda c: c.call(call(), TIMEOUT_MS)),
    "load": (EngineClient, {}, lambda c: c.load(TIMEOUT_MS)),
    "plain_load": (PlainClient, {}, lambda c: c.load(TIMEOUT_MS)),
    "cancel": (EngineClient, {}, lambda c: c.cancel(ATTEMPT)),
    "release": (EngineClient, {}, lambda c: c.release("h")),
}


def serve_one(listener, loop, document, pause_s):
    """Answer one request while the event loop of the caller stands still."""
    conn, _ = listener.accept()
    with conn:
        conn.recv(65_536)
        loop.call_soon_threadsafe(time.sleep, pause_s)
        # This server has a thread of its own.
        time.sleep(ANSWER_S)
        if document is None:
            time.sleep(2 * PAUSE_S)
            return
        body = json.dumps(document).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        conn.sendall(head.encode() + body)


async def ask_once(kind, document, ask):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        loop = asyncio.get_running_loop()
        args = (listener, loop, document, PAUSE_S)
        thread = threading.Thread(target=serve_one, args=args)
        thread.start()
        client = kind(f"127.0.0.1:{listener.getsockname()[1]}")
        try:
            return await ask(client)
        finally:
            await client.close()
            await asyncio.to_thread(thread.join)


@pytest.mark.parametrize("name", CALLS)
def test_answer_that_came_in_a_pause_is_read(name):
    """Guards against a result, or a server, dropped for a late agent."""
    answered = asyncio.run(ask_once(*CALLS[name]))
    assert isinstance(answered, Ok)


@pytest.mark.parametrize("name", CALLS)
def test_call_without_an_answer_times_out_after_a_pause(name):
    """Guards against a call that never ends."""
    kind, _, ask = CALLS[name]
    answered = asyncio.run(ask_once(kind, None, ask))
    assert answered.unwrap_err().code == "timed_out"
