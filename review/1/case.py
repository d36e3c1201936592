"""Servers lose the answers to some calls that may run only once.

Clients send PUT and DELETE requests on a route of the kind ``non_idempotent``.
Twice, for some seconds, two of four servers, the other two at the second time,
lose the answer to three in ten of the calls that they have run: the connection
closes without an answer.
"""

from __future__ import annotations

import asyncio
import random

from common.kit import (
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

SERVERS, LOSING = 4, 2
LOST_SHARE = 0.3
LOST_FROM, LOST_UNTIL = (120, 440), (320, 640)
"""Numbers of the requests between which answers are lost: 5 s each."""
REQUESTS = 720
GAP_S = 0.025
METHODS = ("PUT", "DELETE", "POST")
SEED = 31


class Desk(FakePlatformEngine):
    """Server that may lose the answer to a call that it has run."""

    def __init__(self, instance: str, rng: random.Random):
        super().__init__(instance)
        self._rng = rng
        self.lost_share = 0.0

    async def _mode_answer(self, request, writer):
        await asyncio.sleep(0.045)
        if self._rng.random() < self.lost_share:
            writer.close()
            return
        await super()._mode_answer(request, writer)


async def case() -> int:
    """Run the case and return its result."""
    rng = random.Random(SEED)
    async with running("1") as kit:
        for number in range(SERVERS):
            await kit.add_engine(Desk(f"i-{number}", rng), "desk")
        routes = [route("book", "non_idempotent", "desk", max_attempts=1)]
        kit.store.put("op/config", configuration(3, routes))
        gateway = kit.add_gateway()
        if not await gateway.wait_ready(10):
            return CANNOT_RUN
        tasks = []
        for number in range(REQUESTS):
            if TROUBLE and number in LOST_FROM + LOST_UNTIL:
                share = LOST_SHARE if number in LOST_FROM else 0.0
                is_second = number >= LOST_FROM[1]
                for losing in range(LOSING):
                    instance = f"i-{losing + LOSING * is_second}"
                    kit.engines[instance].lost_share = share
                kit.record.line(
                    f"{LOSING} servers lose {share} of the answers"
                )
            method = METHODS[number % len(METHODS)]
            call = kit.call(gateway, f"/book/{number}", method=method)
            tasks.append((method, asyncio.create_task(call)))
            await asyncio.sleep(GAP_S)
        answers = [(method, await task) for method, task in tasks]
        return judge(kit, answers)


def judge(kit, answers) -> int:
    """Count the calls that ran more than once."""
    runs: dict[str, list[str]] = {}
    for engine in kit.engines.values():
        for request in engine.executed:
            runs.setdefault(request, []).append(engine.instance)
    twice = 0
    for method, answer in answers:
        ran = runs.get(answer.request, [])
        if len(ran) > 1:
            twice += 1
            kit.record.line(
                f"TWICE {method} {answer.request} ran on {', '.join(ran)}; "
                f"client: {answer}"
            )
    served = sum(answer.status == 200 for _, answer in answers)
    kit.record.line(
        f"{len(answers)} calls, {served} answered with 200, {twice} run twice"
    )
    if served < REQUESTS / 2:
        return CANNOT_RUN
    return BROKEN if twice else HELD


main(case)
