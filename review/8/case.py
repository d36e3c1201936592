"""A reservation that has run is answered with a promise that it has not.

One server of the service fails a part of its requests after it has run them.
It answers with 503, and does not state that it has not run them.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter

from review.common2.case import (
    Deployment,
    configuration,
    main,
    plain_service,
    route,
)
from review.common2.clients import Answer, call, new_attempt
from review.common2.engines import PlainServer

SERVERS = 8
WORK_S = 0.045
CALLS_PER_S = 25.0
DEADLINE_S = 1.5
CALM_S = 4.0
BEFORE_S = 3.0
GREY_S = 6.5
"""Time for which the server fails requests."""
GREY_SHARE = 0.45
"""Share of its requests that fail."""
AFTER_S = 3.0
TRIES = 2
PROMISES = (408, 421, 429, 503)
"""Statuses after which a client may repeat a reservation."""


async def case(deployment: Deployment) -> bool:
    """Make reservations; returns whether a promise was false."""
    store, note = deployment.store, deployment.note
    routes = [
        route(
            "book",
            "non_idempotent",
            "booking",
            timeout_ms=800,
            target_latency_ms=150,
        )
    ]
    store.put("op/config", configuration(routes, [plain_service("booking")]))
    servers = [
        PlainServer(store, note, "booking", WORK_S) for _ in range(SERVERS)
    ]
    for server in servers:
        await server.start()
    await deployment.start_gateways(2)
    await asyncio.sleep(CALM_S)
    rng = random.Random(9)
    promised: set[str] = set()
    attempts: dict[int, list[str]] = {}

    async def book(number: int):
        """Make a reservation, and repeat it after a promise."""
        for _ in range(TRIES):
            attempt = new_attempt()
            attempts.setdefault(number, []).append(attempt)
            gateway = rng.choice(deployment.gateways)
            answer = await call(
                gateway.frontend,
                "POST",
                "/book/2f",
                DEADLINE_S,
                {},
                f"rig {number}".encode(),
                Answer(attempt),
            )
            note(
                "answered",
                request=attempt,
                reservation=number,
                gateway=gateway.name,
                status=answer.status,
                stamp=answer.headers.get("x-gooseberrypost-server-stamp", "-"),
                failure=answer.headers.get("x-failure", "-"),
            )
            if answer.status not in PROMISES:
                return
            promised.add(attempt)
            await asyncio.sleep(float(answer.headers.get("retry-after", 0.05)))

    loop = asyncio.get_running_loop()

    def turn_grey():
        # A server that gets requests, as gateways prefer the quickest ones.
        grey = max(servers, key=lambda server: len(server.ran))
        note("turns_grey", server=grey.instance)
        grey.fails = lambda: rng.random() < GREY_SHARE
        loop.call_later(GREY_S, setattr, grey, "fails", lambda: False)

    if deployment.has_trouble:
        loop.call_later(BEFORE_S, turn_grey)
    end_s = loop.time() + BEFORE_S + GREY_S + AFTER_S
    asked = set()
    number = 0
    while loop.time() < end_s:
        number += 1
        task = asyncio.create_task(book(number))
        asked.add(task)
        task.add_done_callback(asked.discard)
        await asyncio.sleep(rng.expovariate(CALLS_PER_S))
    await asyncio.gather(*asked)
    for server in servers:
        server.end()
    ran = Counter(request for server in servers for request in server.ran)
    false = sorted(request for request in promised if ran[request])
    booked = Counter(
        number
        for number, tried in attempts.items()
        for request in tried
        if ran[request]
    )
    doubled = [number for number, times in booked.items() if times > 1]
    say = deployment.record.say
    say(f"{number} reservations, {len(promised)} attempts got a promise")
    say(f"{len(false)} of these have run: {' '.join(false[:5])}")
    say(f"{len(doubled)} reservations were made twice: {doubled[:5]}")
    return bool(false)


if __name__ == "__main__":
    main(__file__, case)
