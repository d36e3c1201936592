"""An entry of another writer, and then a change of the configuration.

Two gateways serve the route ``book`` by the service ``desk-a``. Another writer
leaves an entry below ``servers/`` whose number of slots is no number that JSON
knows. Then the operator moves the route to ``desk-b``, and one gateway is
started anew.
"""

from __future__ import annotations

import asyncio
import signal

from common.kit import (
    BOUNDS,
    BROKEN,
    CANNOT_RUN,
    HELD,
    TROUBLE,
    configuration,
    main,
    route,
    running,
)
from tests.standins.platform_engine import FakePlatformEngine

FOREIGN = (
    b'{"service": "desk-a", "address": "127.0.0.1:9", "zone": "a", '
    b'"version": "v1", "slots": Infinity, "state": "ready", '
    b'"cold_remaining_ms": 0, "sequence": 1}'
)
CALM_S = 3.5
REQUESTS = 40
PAUSE_S = 0.1


def routes(service: str) -> list[dict]:
    """Return the only route, to a service."""
    return [
        route("book", "non_idempotent", service),
    ]


async def case() -> int:
    """Run the case and return its result."""
    async with running("4") as kit:
        record = kit.record
        services = ("desk-a", "desk-a", "desk-b", "desk-b")
        for number, service in enumerate(services):
            engine = FakePlatformEngine(f"i-{number}")
            await kit.add_engine(engine, service)
        kit.store.put("op/config", configuration(3, routes("desk-a")))
        first, second = kit.add_gateway(), kit.add_gateway()
        for gateway in (first, second):
            if not await gateway.wait_ready(10):
                return CANNOT_RUN
        for gateway in (first, second):
            if (await kit.call(gateway, "/book/before")).status != 200:
                return CANNOT_RUN
        if TROUBLE:
            record.line(f"another writer puts servers/x-1: {FOREIGN!r}")
            kit.store.put("servers/x-1", FOREIGN)
        await asyncio.sleep(CALM_S)
        kit.store.put("op/config", configuration(8, routes("desk-b")))
        moved_s = record.line("store acknowledges version 8: book to desk-b")
        due_s = moved_s + BOUNDS["config_apply_ms"] / 1_000
        await asyncio.sleep(due_s - record.now_s() + 0.1)
        old = [i for i, s in kit.services.items() if s == "desk-a"]
        answers = []
        for number in range(REQUESTS):
            gateway = (first, second)[number % 2]
            answers.append(await kit.call(gateway, f"/book/{number}"))
            await asyncio.sleep(PAUSE_S)
        by_old = [
            answer.request
            for answer in answers
            if any(answer.request in kit.engines[i].executed for i in old)
        ]
        record.line(
            f"{len(by_old)} of {len(answers)} requests sent later than "
            f"{BOUNDS['config_apply_ms']} ms were run by the old service"
        )
        second.signal(signal.SIGTERM)
        await asyncio.to_thread(second.popen.wait)
        record.line(f"{second.name} has ended after SIGTERM")
        second.start()
        is_ready = await second.wait_ready(BOUNDS["recovery_s"])
        record.line(
            f"{second.name} started again: ready within "
            f"{BOUNDS['recovery_s']} s: {is_ready}"
        )
        answer = await kit.call(second, "/book/after")
        record.line(f"a request to it: {answer}")
        if not any(kit.engines[i].executed for i in old):
            return CANNOT_RUN
        return BROKEN if by_old else HELD


main(case)
