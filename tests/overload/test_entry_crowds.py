"""Entries and agents under clients that do not behave."""

from __future__ import annotations

import asyncio
import contextlib
import functools
from contextlib import asynccontextmanager

import aiohttp
import pytest

from tests.overload import crowd
from tests.overload.kit import (
    BYTES_PER_MB,
    FILE_DESCRIPTORS,
    GIVE_UP_S,
    MEMORY_MB,
    Watch,
)
from tests.scenarios.cluster import Cluster

pytestmark = pytest.mark.overload

CLIENTS = 40
SLOW_ANSWER_MS = 3_000
BODY_BYTES = 3 * 1024 * 1024
"""Largest body that the settings of an entry may allow."""
ENTRY_SETTINGS = {
    "memory_mb": MEMORY_MB,
    "file_descriptors": FILE_DESCRIPTORS,
    "max_body_bytes": BODY_BYTES,
}
KINDS = {
    "whole_body": functools.partial(crowd.whole_body, size=BODY_BYTES),
    "complete_bodies": functools.partial(
        crowd.complete_bodies, size=BODY_BYTES
    ),
    "body_in_chunks": functools.partial(crowd.body_in_chunks, size=BODY_BYTES),
    "chunked_over_limit": crowd.chunked_over_limit,
    "chunks_of_one_byte": crowd.chunks_of_one_byte,
    "some_fields": crowd.some_fields,
    "head_without_end": crowd.head_without_end,
    "pipelined": crowd.pipelined,
    "slow_head": crowd.slow_head,
    "slow_body": crowd.slow_body,
}
PATHS = {"route": "/services/booking/x", "no_route": "/nowhere/x"}


@asynccontextmanager
async def cluster_under_load(folder):
    """Run an entry and an agent of a plain service."""
    async with Cluster.running(folder) as cluster:
        await cluster.add_plain("plain-1", {})
        cluster.add_entry("entry-1", {})
        cluster.processes["entry-1"].settings.update(ENTRY_SETTINGS)
        await cluster.start_processes()
        assert await answers(cluster)
        yield cluster


async def answers(cluster: Cluster) -> bool:
    """Send ordinary requests until one is answered or time is up."""
    address = cluster.http_address("entry-1")
    url = f"http://{address}/services/booking/ordinary"
    with contextlib.suppress(TimeoutError):
        async with (
            asyncio.timeout(GIVE_UP_S),
            aiohttp.ClientSession() as session,
        ):
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    async with session.get(url) as answer:
                        if answer.status == 200:
                            return True
                await asyncio.sleep(0.1)
    return False


async def check(
    folder, name, process, address_of, path, client, slow_ms=0, watched=""
):
    """Send a crowd to a process and check it, or another one behind it."""
    async with cluster_under_load(folder) as cluster:
        cluster.servers["plain-1"].slow_ms = slow_ms
        address = cluster.processes[process].settings[address_of]
        target = cluster.processes[watched or process]
        watch = Watch(target)
        async with watch.sampling():
            await crowd.attack(address, path, client, CLIENTS)
        answered = await answers(cluster)
        watch.note(name, answered)
        assert target.running, target.log_lines()[-5:]
        assert answered
        assert watch.peak_bytes <= MEMORY_MB * BYTES_PER_MB
        assert watch.most_descriptors <= FILE_DESCRIPTORS


@pytest.mark.parametrize("place", PATHS)
@pytest.mark.parametrize("kind", KINDS)
def test_a_crowd_does_not_exhaust_an_entry(tmp_path, kind, place):
    """Guards against callers that take an entry's memory or its time."""
    name = f"entry: {kind} at {place}"
    path, client = PATHS[place], KINDS[kind]
    asyncio.run(check(tmp_path, name, "entry-1", "http_address", path, client))


@pytest.mark.parametrize("watched", ["entry-1", "plain-1"])
def test_whole_bodies_for_slow_servers_exhaust_no_process(tmp_path, watched):
    """Guards against bodies that take more memory than is counted for them.

    They are held by the entry and by the agent behind it.
    """
    asyncio.run(
        check(
            tmp_path,
            f"entry: complete_bodies, slow server, {watched}",
            "entry-1",
            "http_address",
            PATHS["route"],
            KINDS["complete_bodies"],
            slow_ms=SLOW_ANSWER_MS,
            watched=watched,
        )
    )


@pytest.mark.parametrize("process", ["entry-1", "plain-1"])
def test_frames_in_part_do_not_exhaust_an_internal_port(tmp_path, process):
    """Guards against frames of the largest size that never end."""
    name = f"frame_without_end at {process}"
    client = crowd.frame_without_end
    asyncio.run(check(tmp_path, name, process, "internal_address", "", client))
