"""Internal protocol: codec, channel and listener."""

from __future__ import annotations

import asyncio
import struct
import tracemalloc

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from gooseberrypost.errors import (
    ConnectionLost,
    PeerUnreachable,
    ProtocolFailure,
)
from gooseberrypost.wire import codec
from gooseberrypost.wire.channel import Channel
from gooseberrypost.wire.dispatch import Dispatcher
from gooseberrypost.wire.listener import Handler, Listener
from gooseberrypost.wire.messages import TYPE_NUMBERS, idl

HELLO = idl.Hello(
    process_kind="entry", name="e1", incarnation=1, zone="z1", address=""
)


class EchoHandler(Handler):
    """Replies to ``Explain``, drops the connection on ``Cancel``."""

    def __init__(self):
        self.rejections: list[ProtocolFailure] = []
        self.peers: list[str] = []
        self.gone = asyncio.Event()

    async def handle(self, session, correlation, message):
        if isinstance(message, idl.Cancel):
            session.abort()
            return
        await session.send(correlation, idl.Explanation(lines=[message.key]))

    def connected(self, session):
        self.peers.append(session.peer.name)

    def disconnected(self, session):
        self.gone.set()

    def rejected(self, failure):
        self.rejections.append(failure)


@given(st.binary(max_size=200))
def test_random_bytes_give_a_typed_failure_or_a_frame(data):
    """Guards against a crash of the receiver on malicious input."""
    assert isinstance(codec.decode(data), Ok | Err)


@given(
    st.sampled_from(sorted(TYPE_NUMBERS.values())),
    st.binary(max_size=200),
)
def test_random_bodies_of_known_types_never_raise(number, body):
    """Guards against an exception of thriftpy2 escaping the codec."""
    data = bytes([codec.VERSION, number]) + b"\0\0\0\1" + body
    assert isinstance(codec.decode(data), Ok | Err)


@given(
    st.text(max_size=50), st.integers(0, 2**31 - 1), st.integers(0, 2**32 - 1)
)
def test_frames_survive_a_round_trip(text, number, correlation):
    """Guards against fields that are lost or swapped."""
    message = idl.Token(key=text, attempt=number, sequence=number, text=text)
    data = codec.encode(codec.Frame(correlation, message))
    frame = codec.decode(data[codec.LENGTH_BYTES :]).unwrap()
    assert frame == codec.Frame(correlation, message)


def test_another_version_is_refused():
    """Guards against reading a frame of an incompatible release."""
    data = bytes([codec.VERSION + 1, 2]) + b"\0\0\0\1"
    assert isinstance(codec.decode(data).unwrap_err(), ProtocolFailure)


def test_requests_share_a_connection():
    """Guards against replies assigned to another concurrent request."""

    async def run():
        handler = EchoHandler()
        async with Listener.serving("127.0.0.1:0", handler) as listener:
            channel = (await Channel.connect(listener.address, HELLO)).unwrap()
            replies = await asyncio.gather(
                *(
                    channel.request(idl.Explain(key=f"k{n}"), 2_000)
                    for n in range(50)
                )
            )
            assert [r.unwrap().lines for r in replies] == [
                [f"k{n}"] for n in range(50)
            ]
            await channel.close()
            assert handler.peers == ["e1"]

    asyncio.run(run())


def test_ipv6_addresses_connect():
    """Guards against passing the brackets of an IPv6 address to a socket."""

    async def run():
        async with Listener.serving("[::1]:0", EchoHandler()) as listener:
            assert listener.address.startswith("[::1]:")
            channel = (await Channel.connect(listener.address, HELLO)).unwrap()
            reply = await channel.request(idl.Explain(key="k"), 2_000)
            assert reply.unwrap().lines == ["k"]
            await channel.close()

    asyncio.run(run())


def test_lost_connection_is_an_unknown_outcome():
    """Guards against reporting a request that may have arrived as not run."""

    async def run():
        handler = EchoHandler()
        async with Listener.serving("127.0.0.1:0", handler) as listener:
            channel = (await Channel.connect(listener.address, HELLO)).unwrap()
            lost = await channel.request(idl.Cancel(key="k", attempt=1), 2_000)
            assert isinstance(lost.unwrap_err(), ConnectionLost)
            later = await channel.request(idl.Explain(key="k"), 2_000)
            assert isinstance(later.unwrap_err(), PeerUnreachable)
            await channel.close()

    asyncio.run(run())


def test_malformed_frames_close_the_connection():
    """Guards against a listener that hangs on or crashes from random bytes."""

    async def run():
        handler = EchoHandler()
        async with Listener.serving("127.0.0.1:0", handler) as listener:
            host, port = listener.address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET / HTTP/1.1\r\n\r\n")
            async with asyncio.timeout(5):
                assert await reader.read() == b""
            writer.close()
            assert len(handler.rejections) == 1

    asyncio.run(run())


@pytest.mark.parametrize(
    "body",
    [
        b"\x0b\x00\x01" + struct.pack("!i", 100_000_000) + b"abc\x00",
        b"\x0b\x00\x01" + struct.pack("!i", 2**31 - 1),
        b"\x0b\x00\x01" + struct.pack("!i", -5) + b"abc\x00",
        b"\x0f\x00\x02\x0c" + struct.pack("!i", 3_000_000) + bytes(3_000_001),
        b"\x0f\x00\x02\x0a" + struct.pack("!i", -1) + b"\x00",
        b"\x0c\x00\x01" * 1_000 + bytes(1_001),
        b"\x00\x00",
        b"\x0b\x00\x01" + struct.pack("!i", 2) + b"\xff\xfe\x00",
    ],
    ids=[
        "string-100-mb",
        "string-2-gb",
        "negative-string",
        "many-elements",
        "negative-list",
        "deep",
        "trailing-bytes",
        "not-utf-8",
    ],
)
def test_lengths_are_checked_before_decoding(body):
    """Guards against a few bytes that make the decoder use gigabytes."""
    tracemalloc.start()
    failure = codec.decode(bytes([codec.VERSION, 19]) + b"\0\0\0\1" + body)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert isinstance(failure.unwrap_err(), ProtocolFailure)
    assert peak < 16 * 1024 * 1024


def test_text_in_a_struct_of_a_message_is_checked():
    """Guards against bytes where the load of an agent has its model."""
    load = idl.Load(slots=1, model="mmmm")
    for message in (
        idl.ProbeReply(server="s", load=load),
        idl.End(key="k", load=load),
    ):
        data = codec.encode(codec.Frame(1, message))[codec.LENGTH_BYTES :]
        assert codec.decode(data).is_ok()
        damaged = data.replace(b"mmmm", b"m\xff\xfem")
        assert "UTF-8" in codec.decode(damaged).unwrap_err().detail


def test_the_largest_configuration_is_within_the_limits():
    """Guards against a frame limit that rejects valid configurations."""
    records = [
        idl.Record(key=f"account/{n}", value='{"burst": 10}', version=n)
        for n in range(9_600)
    ]
    message = idl.ConfigDelta(version=9_600, records=records, removed=[])
    data = codec.encode(codec.Frame(1, message))
    found = codec.decode(data[codec.LENGTH_BYTES :]).unwrap().message
    assert found.records == records


class FailingHandler(EchoHandler):
    """Fails at each message in a way that was not foreseen."""

    async def handle(self, session, correlation, message):
        raise KeyError(message.key)


def test_unexpected_errors_are_logged_at_a_bounded_rate(caplog):
    """Guards against a peer that fills the log with tracebacks."""

    async def run():
        handler = FailingHandler()
        async with Listener.serving("127.0.0.1:0", handler) as listener:
            channel = (await Channel.connect(listener.address, HELLO)).unwrap()
            for number in range(100):
                reply = await channel.request(idl.Explain(key="k"), 2_000)
                assert reply.unwrap().code == "outcome_unknown", number
            await channel.close()

    asyncio.run(run())
    lines = [r for r in caplog.messages if "event=handler_failed" in r]
    assert 1 <= len(lines) <= 3


def test_rejected_frames_are_logged_at_a_bounded_rate(caplog):
    """Guards against a peer that is cut off, and no line tells why."""

    async def run():
        dispatcher = Dispatcher()
        async with Listener.serving("127.0.0.1:0", dispatcher) as listener:
            host, port = listener.address.split(":")
            for _ in range(30):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET / HTTP/1.1\r\n\r\n")
                async with asyncio.timeout(5):
                    assert await reader.read() == b""
                writer.close()
                await writer.wait_closed()
        assert dispatcher.rejected_frames == 30

    asyncio.run(run())
    lines = [r for r in caplog.messages if "event=frame_rejected" in r]
    assert 1 <= len(lines) <= 3
    assert "out of range" in lines[0]
