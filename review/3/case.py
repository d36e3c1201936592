"""A lookup crashes each server that begins to run it, and comes again.

Clients send sound GET lookups and sound POST calls at two gateways. One lookup
crashes each server that begins to run it; the server is back some seconds
later, as a new incarnation. That lookup comes again every second, with the
same path, at either gateway.
"""

from __future__ import annotations

import asyncio
import os

from common.kit import (
    BOUNDS,
    BROKEN,
    CANNOT_RUN,
    HELD,
    TROUBLE,
    Answer,
    configuration,
    main,
    route,
    running,
)
from tests.standins.platform_engine import FakePlatformEngine

SERVERS = 3
POISON = "/check/poison"
METHOD = os.environ.get("METHOD", "GET")
"""Method of the crashing request; others than GET are for comparison."""
FIRST_S = 5.0
LENGTH_S = 45.0
REPEAT_S = 1.0
BACK_AFTER_S = 3.0
REQUESTS_PER_S = 20
STABLE_S = BOUNDS["stable_window_ms"] / 1_000
MAX_CRASHES, MAX_RETRIES = 3, 3


class Desk(FakePlatformEngine):
    """Server that crashes as it begins to run the lookup."""

    def __init__(self, instance: str):
        super().__init__(instance)
        self.crash_after_s = 0.02
        if TROUBLE:
            self.crashes_on = lambda request: request.target == POISON

    async def _mode_answer(self, request, writer):
        await asyncio.sleep(0.045)
        await super()._mode_answer(request, writer)


async def case() -> int:
    """Run the case and return its result."""
    async with running("3") as kit:
        record = kit.record
        for number in range(SERVERS):
            await kit.add_engine(Desk(f"i-{number}"), "desk")
        routes = [
            route("check", "idempotent", "desk", max_attempts=2),
            route("book", "non_idempotent", "desk"),
        ]
        kit.store.put("op/config", configuration(3, routes))
        gateways = [kit.add_gateway(), kit.add_gateway()]
        for gateway in gateways:
            if not await gateway.wait_ready(10):
                return CANNOT_RUN
        crashed_s: list[float] = []
        poison: list[Answer] = []
        others: list[Answer] = []
        background = [
            asyncio.create_task(kit.restart_crashed(crashed_s, BACK_AFTER_S)),
            asyncio.create_task(send_others(kit, gateways, others)),
        ]
        await asyncio.sleep(FIRST_S)
        end_s = record.now_s() + LENGTH_S
        number = 0
        while record.now_s() < end_s:
            gateway = gateways[number % len(gateways)]
            number += 1
            body = b"" if METHOD == "GET" else b"body"
            poison.append(
                await kit.call(gateway, POISON, method=METHOD, body=body)
            )
            await asyncio.sleep(REPEAT_S)
        for task in background:
            task.cancel()
        await asyncio.sleep(2.0)
        return judge(kit, poison, others, crashed_s)


async def send_others(kit, gateways, answers: list[Answer]):
    """Send sound requests at an even rate until cancelled."""

    async def send(number: int):
        gateway = gateways[number % len(gateways)]
        if number % 3:
            call = kit.call(gateway, f"/book/{number}")
        else:
            call = kit.call(
                gateway, f"/check/{number}", method="GET", body=b""
            )
        answers.append(await call)

    tasks, number = set(), 0
    while True:
        tasks.add(task := asyncio.create_task(send(number)))
        task.add_done_callback(tasks.discard)
        number += 1
        await asyncio.sleep(1 / REQUESTS_PER_S)


def judge(kit, poison, others, crashed_s: list[float]) -> int:
    """Count the arrivals of the lookup after its third crash."""
    lost = sum(not a.complete or a.status != 200 for a in others)
    served = len(others) - lost
    kit.record.line(
        f"{len(crashed_s)} crashes under {len(poison)} requests; of "
        f"{len(others)} sound requests {served} were served"
    )
    began = {
        request
        for engine in kit.engines.values()
        for request in engine.executed
    }
    broken_off = sum(a.status != 200 and a.request in began for a in others)
    kit.record.line(
        f"{broken_off} sound requests were begun by a server and got no answer"
    )
    ids = {answer.request for answer in poison}
    runs = sorted(
        at_s
        for engine in kit.engines.values()
        for request, at_s in engine.executed.arrivals
        if request in ids
    )
    if len(crashed_s) < MAX_CRASHES:
        return HELD
    bound_s = crashed_s[MAX_CRASHES - 1] + STABLE_S
    late = [at_s for at_s in runs if at_s > bound_s]
    kit.record.line(
        f"{len(late)} arrivals of the lookup at servers later than "
        f"{STABLE_S} s after its third crash; allowed: {MAX_RETRIES}"
    )
    return BROKEN if len(late) > MAX_RETRIES else HELD


main(case)
