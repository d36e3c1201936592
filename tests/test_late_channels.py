"""Connections between processes whose event loop is late."""

from __future__ import annotations

import asyncio
import time

from gooseberrypost.wire import listener as listeners
from gooseberrypost.wire.channel import Channel
from gooseberrypost.wire.codec import Frame, encode, read_frame
from gooseberrypost.wire.dispatch import Dispatcher
from gooseberrypost.wire.listener import Listener
from gooseberrypost.wire.messages import idl

TIMEOUT_MS = 100
PAUSE_S = 0.3
HELLO = idl.Hello(process_kind="entry", name="e1", incarnation=1)


async def accept(session, correlation, message):
    await session.send(correlation, idl.Ok())


def new_dispatcher() -> Dispatcher:
    dispatcher = Dispatcher()
    dispatcher.register(idl.Drain, accept)
    return dispatcher


def test_peer_is_reached_although_this_process_paused():
    """Guards against agents that count as unreachable after an own pause."""

    async def main():
        async with Listener.serving("127.0.0.1:0", new_dispatcher()) as one:
            connecting = asyncio.create_task(
                Channel.connect(one.address, HELLO, TIMEOUT_MS)
            )
            await asyncio.sleep(0)
            # The process stands still, and the answer waits in its socket.
            time.sleep(PAUSE_S)  # noqa: ASYNC251
            connected = await connecting
            assert connected.is_ok(), connected
            await connected.unwrap().close()

    asyncio.run(main())


def test_hello_that_waits_in_the_socket_is_read(monkeypatch):
    """Guards against messages that are dropped after a pause.

    They are behind the ``Hello`` in the socket, and their sender cannot tell
    whether they had an effect.
    """
    monkeypatch.setattr(listeners, "HELLO_TIMEOUT_MS", TIMEOUT_MS)

    async def main():
        async with Listener.serving("127.0.0.1:0", new_dispatcher()) as one:
            host, port = one.address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            await asyncio.sleep(TIMEOUT_MS / 5_000)
            drain = idl.Drain(draining=True)
            writer.write(encode(Frame(0, HELLO)) + encode(Frame(1, drain)))
            time.sleep(PAUSE_S)  # noqa: ASYNC251
            reply = await read_frame(reader)
            assert isinstance(reply.unwrap().message, idl.Ok)
            writer.close()

    asyncio.run(main())
