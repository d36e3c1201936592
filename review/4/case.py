"""Decode engines leave while a prefill engine leaves requests unanswered.

One prefill engine takes half of its prompts and never answers them, with good
health. Decode engines leave in turn: each says ``draining``, serves on for
some seconds and exits.
"""

from __future__ import annotations

import asyncio
import random

from common.kit import (
    BOUNDS,
    BROKEN,
    CANNOT_RUN,
    HELD,
    TROUBLE,
    Answer,
    configuration,
    main,
    running,
    stream_route,
)
from common.model_engine import ModelEngine

DECODE = 3
LEAVES = 5
SLOTS = 12
PIECES = 40
REQUESTS_PER_S = 5
HANG_SHARE = 0.49
CALM_S = 5.0
DRAIN_S = BOUNDS["drain_ms"] / 1_000
SERVES_ON_S = DRAIN_S + 3.0
"""Time for which an engine serves on: `drain_ms` and some seconds."""
SEED = 4


async def case() -> int:
    """Run the case and return its result."""
    rng = random.Random(SEED)
    async with running("4") as kit:
        record = kit.record
        prefill = ModelEngine("i-p", "prefill", SLOTS)
        await kit.add_engine(prefill, "llm")
        decode = [
            ModelEngine(f"i-{number}", "decode", SLOTS, lambda: PIECES)
            for number in range(DECODE + LEAVES)
        ]
        for engine in decode:
            engine.on_stage = lambda engine=engine: kit.register(engine)
        prefill.on_stage = lambda: kit.register(prefill)
        for engine in decode[:DECODE]:
            await kit.add_engine(engine, "llm")
        routes = [stream_route("digest", "llm", max_attempts=1)]
        kit.store.put(
            "op/config", configuration(3, routes, llm={"slots": SLOTS})
        )
        gateway = kit.add_gateway()
        if not await gateway.wait_ready(10):
            return CANNOT_RUN
        answers: list[Answer] = []
        traffic = asyncio.create_task(send_requests(kit, gateway, answers))
        left_s = {}
        try:
            await asyncio.sleep(CALM_S)
            if TROUBLE:
                record.line("the prefill engine begins to hang")
                prefill.hangs = lambda: rng.random() < HANG_SHARE
            for number in range(LEAVES):
                await kit.add_engine(decode[DECODE + number], "llm")
                await asyncio.sleep(CALM_S)
                leaving = decode[number]
                kit.register(leaving, state="draining")
                left_s[leaving.instance] = record.line(
                    f"store acknowledges that {leaving.instance} drains"
                )
                leaving.leaves = True
                await asyncio.sleep(SERVES_ON_S)
                record.line(f"{leaving.instance} exits")
                kit.leave(leaving)
                leaving.crash()
        finally:
            await asyncio.sleep(1.0)
            traffic.cancel()
        return judge(kit, answers, left_s)


async def send_requests(kit, gateway, answers: list[Answer]):
    """Send requests at an even rate until cancelled."""

    async def send():
        answers.append(
            await kit.generate(
                gateway, "/digest/x", usage=f"5200,{PIECES * 59}"
            )
        )

    tasks = set()
    while True:
        tasks.add(task := asyncio.create_task(send()))
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / REQUESTS_PER_S)


def judge(kit, answers: list[Answer], left_s: dict[str, float]) -> int:
    """Count the requests that reached an engine after its time."""
    late = [
        (request, instance, at_s - left_s[instance])
        for instance in left_s
        for request, at_s in kit.engines[instance].executed.times_s.items()
        if at_s > left_s[instance] + DRAIN_S
    ]
    by_id = {answer.request: answer for answer in answers}
    for request, instance, after_s in late:
        kit.record.line(
            f"DRAIN {request} reached {instance} {1_000 * after_s:.0f} ms "
            f"after its leaving was acknowledged; client: "
            f"{by_id.get(request)}"
        )
    lost = sum(not (a.status == 200 and a.complete) for a in answers)
    kit.record.line(
        f"{len(answers)} requests, {len(late)} reached an engine that had "
        f"left, {lost} not served whole"
    )
    return BROKEN if late else HELD


main(case)
