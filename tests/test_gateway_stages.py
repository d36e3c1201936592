"""Orders that move engines between the pools, under one duty."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace

from gooseberrypost.gateway.stages import StageController
from tests.gateway_kit import serving

POOLS = (
    ("p", "llm", "prefill"),
    ("q", "llm", "prefill"),
    ("r", "llm", "prefill"),
    ("d", "llm", "decode"),
)
HOLDER = "gooseberrypost/stage-holder"


def run(work):
    return asyncio.run(work())


def orders(kit) -> list:
    return [
        one
        for engine in kit.engines.values()
        for one in engine.control
        if one.target == "/-/order"
    ]


def load_pools(*daemons):
    for daemon in daemons:
        daemon.context.record_prompt("llm", 2_000)
        daemon.context.record_generation("llm", 2_000, 3.0)


def test_engine_is_ordered_once_and_with_its_fence():
    """Guards against orders without a fence, and against repeated ones."""

    async def work():
        async with serving(*POOLS, lease_ms=500) as kit:
            load_pools(kit.daemon)
            await kit.until(lambda: orders(kit))
            await asyncio.sleep(1.0)
            ordered = [one.header("Expect-Instance") for one in orders(kit)]
            assert len(ordered) == len(set(ordered)) <= 2
            order = orders(kit)[0]
            body = json.loads(order.body)
            held = kit.store.items[HOLDER]["revision"]
            assert body["operation"] == "stage"
            assert body["stage"] == "decode"
            assert body["holder"] == "gateway-1"
            assert body["fencing_token"] == held
            assert body["precondition"] == 0
            assert order.header("Expect-Instance") in ("p", "q", "r")

    run(work)


def test_new_holder_waits_for_a_lease():
    """Guards against two holders that take turns within a lease."""

    async def work():
        async with serving(*POOLS, lease_ms=1_000) as kit:
            load_pools(kit.daemon)
            await kit.until(lambda: HOLDER in kit.store.items)
            begun = asyncio.get_running_loop().time()
            await kit.until(lambda: orders(kit))
            assert asyncio.get_running_loop().time() - begun >= 1.0

    run(work)


def test_holder_without_its_key_gives_no_order():
    """Guards against orders on a duty that was taken away unnoticed."""

    async def work():
        async with serving(*POOLS, lease_ms=500) as kit:
            await kit.until(lambda: HOLDER in kit.store.items)
            kit.store.deaf = True
            kit.store.items.pop(HOLDER)
            kit.store.put(HOLDER, b"another")
            await asyncio.sleep(1.0)
            load_pools(kit.daemon)
            await asyncio.sleep(1.5)
            assert orders(kit) == []

    run(work)


def test_one_of_two_gateways_gives_the_orders():
    """Guards against two gateways that order the same engine."""

    async def work():
        async with serving(*POOLS, lease_ms=500) as kit:
            other = await kit.gateway("gateway-2", lease_ms=500)
            try:
                load_pools(kit.daemon, other)
                await kit.until(lambda: orders(kit))
                await asyncio.sleep(1.0)
                holders = {json.loads(o.body)["holder"] for o in orders(kit)}
                assert len(holders) == 1
                ordered = [o.header("Expect-Instance") for o in orders(kit)]
                assert len(ordered) == len(set(ordered)) <= 2
            finally:
                await other.stop()

    run(work)


def test_balanced_service_does_not_hold_up_another_one():
    """Guards against pools that are looked at as if they were one."""

    async def work():
        pools = (*POOLS, ("x", "quiet-llm", "prefill"))
        async with serving(
            *pools, ("y", "quiet-llm", "decode"), lease_ms=500
        ) as kit:
            load_pools(kit.daemon)
            kit.daemon.context.record_prompt("quiet-llm", 2_000)
            kit.daemon.context.record_generation("quiet-llm", 2_000, 3.0)
            await kit.until(lambda: orders(kit), 4.0)
            assert orders(kit)[0].header("Expect-Instance") in ("p", "q", "r")

    run(work)


def test_refused_order_is_withdrawn():
    """Guards against an engine left unused for an order it refused."""

    async def work():
        async with serving(*POOLS, lease_ms=500) as kit:
            for engine in kit.engines.values():
                engine.refuses_orders = True
            load_pools(kit.daemon)
            await kit.until(lambda: orders(kit))
            directory = kit.daemon.context.directory
            await kit.until(lambda: not directory.stage_orders)

    run(work)


def test_successor_waits_for_the_orders_of_its_predecessor():
    """Guards against holders that take turns within a lease."""

    async def work():
        async with serving(*POOLS, lease_ms=1_000) as kit:
            other = await kit.gateway("gateway-2", lease_ms=1_000)
            try:
                await kit.until(lambda: HOLDER in kit.store.items)
                await asyncio.sleep(1.6)
                load_pools(kit.daemon, other)
                await kit.until(lambda: orders(kit))
                begun = asyncio.get_running_loop().time()
                first = json.loads(orders(kit)[0].body)["holder"]
                # The order has had no effect, and the holder is replaced.
                kit.store.lapse(kit.store.items[HOLDER]["lease"])
                for daemon in (kit.daemon, other):
                    daemon.context.directory.stage_orders.clear()
                    if daemon.settings.name == first:
                        await daemon.stop()
                await kit.until(lambda: len(orders(kit)) > 1, 8.0)
                assert asyncio.get_running_loop().time() - begun >= 1.0
            finally:
                await other.stop()

    run(work)


def test_engine_that_comes_back_as_another_instance_counts_once():
    """Guards against a reserve of prefill engines that is counted twice.

    Seen on a fleet of five: a crashed engine was back under another id, both
    were counted, and the only other prefill engine was moved away.
    """

    async def work():
        async with serving(*POOLS) as kit:
            controller = StageController(kit.daemon.context, None, None)
            directory = kit.daemon.context.directory

            def expected(now_s: float) -> set[str]:
                present = list(directory.servers.of("llm", now_s))
                found = controller._expected("llm", present, now_s)
                return {server.instance for server in found}

            assert expected(0.0) == {"p", "q", "r", "d"}
            servers = directory.servers
            gone = next(one for one in servers.all() if one.instance == "p")
            servers.apply([], ["p"], False, 1.0)
            assert expected(1.0) == {"p", "q", "r", "d"}
            back = replace(gone, instance="new")
            servers.apply([back], [], False, 2.0)
            assert expected(2.0) == {"new", "q", "r", "d"}

    run(work)
