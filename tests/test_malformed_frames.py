"""Malformed frames at the internal listeners of running processes."""

from __future__ import annotations

import asyncio
import logging
import os
import random
from contextlib import asynccontextmanager, suppress

import pytest
from absl import logging as absl_logging

from gooseberrypost.stores.keyvalue import Versioned
from gooseberrypost.wire import codec
from gooseberrypost.wire.messages import TYPE_NUMBERS, idl
from tests import agent_kit, claim_cluster, entry_fakes
from tests.fake_store import SharedState
from tests.mutations import mutate_bytes, odd_message

EXAMPLES = int(os.environ.get("GOOSEBERRYPOST_FUZZ_EXAMPLES", "200"))
SEED = int(os.environ.get("GOOSEBERRYPOST_FUZZ_SEED", "1"))
FRAMES_PER_CONNECTION = 20
LAST_CORRELATION = 101
COMMANDS = {idl.Drain, idl.Hello}
"""Messages that are left out: a sound one ends the service, or is sent
first."""
TYPES = [cls for cls in TYPE_NUMBERS if cls not in COMMANDS]
HELLO = idl.Hello(
    process_kind="entry", name="e9", incarnation=9, zone="z1", address=""
)


class Lines(logging.Handler):
    """Keeps the lines that a process logs."""

    def __init__(self):
        super().__init__()
        self.found: list[str] = []

    def emit(self, record):
        self.found.append(record.getMessage())


@asynccontextmanager
async def claim_owner():
    async with claim_cluster.entries(1) as (entry,):

        async def check():
            key = claim_cluster.key_owned_by(entry, "sound")
            # The odd frames report crashes of other content.
            assert (await entry.claim(key, digest=b"sound")).is_ok()

        yield entry.listener, check


@asynccontextmanager
async def agent():
    async with agent_kit.running_rig() as rig:

        async def check():
            reserved, prefilled = await rig.prepare("sound")
            assert isinstance(reserved, idl.Reserved)
            assert isinstance(prefilled, idl.Prefilled)

        yield rig.decode_agent, check


@asynccontextmanager
async def entry():
    async with entry_fakes.running() as rig:

        async def check():
            async with rig.complete(key="sound") as response:
                assert response.status == 200

        yield rig.daemon.context.agents.pool.hello, check


PROCESSES = {"claim owner": claim_owner, "agent": agent, "entry": entry}


def odd_frames(rng: random.Random) -> list[bytes]:
    """Return frames with odd values; some are no frames at all."""
    frames = [
        codec.encode(
            codec.Frame(
                rng.randrange(LAST_CORRELATION),
                odd_message(rng, rng.choice(TYPES)),
            )
        )
        for _ in range(FRAMES_PER_CONNECTION)
    ]
    if rng.random() < 0.3:
        frames[-1] = mutate_bytes(rng, frames[-1])
    return frames


async def send_frames(address: str, hello, frames: list[bytes]):
    """Send frames on a connection; returns once they are handled.

    A reply to the last frame shows that; a connection that ends may do so
    because of a frame that is none.
    """
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    last = codec.Frame(LAST_CORRELATION, idl.Explain(key="end"))
    try:
        writer.write(codec.encode(codec.Frame(0, hello)))
        writer.write(b"".join(frames[:-1]))
        writer.write(codec.encode(last))
        async with asyncio.timeout(10):
            found = await codec.read_frame(reader)
            while found.unwrap().correlation != LAST_CORRELATION:
                found = await codec.read_frame(reader)
            writer.write(frames[-1])
            writer.write_eof()
            await reader.read()
    except (ConnectionError, asyncio.IncompleteReadError):
        return
    finally:
        writer.close()
        with suppress(ConnectionError):
            await writer.wait_closed()


@pytest.mark.parametrize("process", sorted(PROCESSES))
def test_odd_frames_cost_only_their_sender(process):
    """Guards against one message that takes a process down."""

    async def work():
        rng = random.Random(f"{SEED} {process}")
        lines, logger = Lines(), absl_logging.get_absl_logger()
        logger.addHandler(lines)
        failed = []
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: failed.append(context)
        )
        try:
            async with PROCESSES[process]() as (listener, check):
                for _ in range(0, EXAMPLES, FRAMES_PER_CONNECTION):
                    hello = HELLO
                    if rng.random() < 0.3:
                        hello = odd_message(rng, idl.Hello)
                    await send_frames(listener.address, hello, odd_frames(rng))
                await check()
        finally:
            logger.removeHandler(lines)
        assert not failed
        return lines.found

    found = asyncio.run(work())
    assert not [line for line in found if "handler_failed" in line]


def test_damaged_segment_is_logged_at_a_bounded_rate(caplog):
    """Guards against a shard that nobody takes, without a line on it."""

    async def work():
        shared = SharedState()
        shared.values["claims/0/log/0"] = Versioned("[1, 0]\nx", 1)
        entry = claim_cluster.Entry("e1", shared, random.Random(1))
        await entry.listener.start("127.0.0.1:0")
        await entry.start([entry])
        shards = entry.owner.section.shards
        try:
            await claim_cluster.wait_until(
                lambda: len(shards) == claim_cluster.SHARDS - 1
            )
            await claim_cluster.wait_until(
                lambda: any("segment_invalid" in r for r in caplog.messages)
            )
            for _ in range(30):
                await entry.owner._take_over(0)
            assert 0 not in shards
        finally:
            await entry.pool.close()
            await entry.owner.stop()
            await entry.listener.stop()

    asyncio.run(work())
    lines = [r for r in caplog.messages if "event=segment_invalid" in r]
    assert 1 <= len(lines) <= 10
    assert "shard=0" in lines[0]
