"""Gateways under clients that do not behave.

Checked are only what does not depend on the speed of the machine: that the
process lives, that its memory and descriptors stay under the limits of its
settings, and that an ordinary request is answered afterwards.
"""

from __future__ import annotations

import asyncio

import pytest

from tests.overload import crowd
from tests.overload.kit import (
    BYTES_PER_MB,
    FILE_DESCRIPTORS,
    MEMORY_MB,
    Watch,
    gateway_under_load,
)

pytestmark = pytest.mark.overload

CLIENTS = 40
SLOW_ANSWER_S = 3.0
KINDS = (
    crowd.whole_body,
    crowd.body_in_pieces,
    crowd.body_in_chunks,
    crowd.declared_over_limit,
    crowd.chunked_over_limit,
    crowd.chunks_of_one_byte,
    crowd.many_fields,
    crowd.some_fields,
    crowd.head_without_end,
    crowd.pipelined,
    crowd.slow_head,
    crowd.slow_body,
    crowd.unread_answers,
    crowd.unread_stream,
)
PATHS = {"route": "/safe/x", "no_route": "/nowhere/x", "ready": "/-/readyz"}


async def check(folder, name, place, client, count=CLIENTS, path="", **limits):
    """Send a crowd of one kind to a gateway and check it."""

    async def attack(address):
        await crowd.attack(address, path or PATHS[place], client, count)

    await check_under(attack, folder, name, place, **limits)


async def check_under(attack, folder, name, place, **limits):
    """Check a gateway while and after it is attacked."""
    async with gateway_under_load(folder, **limits) as target:
        is_port = place == "ready"
        address = target.readiness if is_port else target.address
        watch = Watch(target.process)
        async with watch.sampling():
            await attack(address)
        target.desk.answer_s = 0.0
        assert target.process.running, target.process.log_lines()[-5:]
        answered = await target.answers() and await target.is_ready()
        watch.note(f"{name} at {place}", answered)
        assert target.process.running, target.process.log_lines()[-5:]
        assert answered
        memory_mb = limits.get("memory_mb", MEMORY_MB)
        assert watch.peak_bytes <= memory_mb * BYTES_PER_MB
        most = limits.get("file_descriptors", FILE_DESCRIPTORS)
        assert watch.most_descriptors <= most


@pytest.mark.parametrize("place", PATHS)
@pytest.mark.parametrize("kind", KINDS, ids=lambda kind: kind.__name__)
def test_a_crowd_does_not_exhaust_a_gateway(tmp_path, kind, place):
    """Guards against clients that take a gateway's memory or its time."""
    path = ""
    if kind is crowd.unread_stream and place == "route":
        path = "/text/x"
    asyncio.run(check(tmp_path, kind.__name__, place, kind, path=path))


@pytest.mark.parametrize("memory_mb", [MEMORY_MB, 128])
@pytest.mark.parametrize("answer_s", [0.0, SLOW_ANSWER_S])
def test_whole_bodies_do_not_exhaust_a_gateway(tmp_path, answer_s, memory_mb):
    """Guards against bodies that take more memory than is counted for them.

    Each is sent to its end, at once again after each answer and refusal.
    """
    name = f"complete_bodies, answers in {answer_s} s, {memory_mb} MB"
    asyncio.run(
        check(
            tmp_path,
            name,
            "route",
            crowd.complete_bodies,
            answer_s=answer_s,
            memory_mb=memory_mb,
        )
    )


def test_clients_that_come_back_at_once_do_not_exhaust_a_gateway(tmp_path):
    """Guards against what closed connections leave behind."""

    async def attack(address):
        client = crowd.complete_bodies
        await crowd.attack_again(address, PATHS["route"], client, CLIENTS)

    name = "complete_bodies again"
    asyncio.run(
        check_under(attack, tmp_path, name, "route", answer_s=SLOW_ANSWER_S)
    )


def test_all_kinds_at_once_do_not_exhaust_a_gateway(tmp_path):
    """Guards against kinds that are bounded each, but not together."""
    kinds = [*KINDS, crowd.complete_bodies]
    crowd_of_all = [kinds[number % len(kinds)] for number in range(CLIENTS)]

    async def attack(address):
        await crowd.attack_mixed(address, PATHS["route"], crowd_of_all)

    asyncio.run(check_under(attack, tmp_path, "all kinds", "route"))


def test_metrics_that_are_not_read_are_bounded(tmp_path):
    """Guards against answers that pile up at the port of the metrics."""
    kind = crowd.unread_metrics
    asyncio.run(check(tmp_path, kind.__name__, "ready", kind))


@pytest.mark.parametrize("place", ["route", "ready"])
def test_connections_stay_under_the_limit_of_descriptors(tmp_path, place):
    """Guards against a gateway that runs out of descriptors."""
    asyncio.run(
        check(
            tmp_path,
            "silent",
            place,
            crowd.silent,
            count=90,
            file_descriptors=80,
        )
    )
