"""A part of prompts crashes each engine that begins to write an answer on it.

Sound streams share the first part of their prompts with streams that hold the
crashing part, no two of which are alike. The route may be resumed. An engine
writes the first event of such an answer and crashes; it is back some seconds
later, as a new incarnation. A request with the part comes every few seconds,
at either of two gateways.
"""

from __future__ import annotations

import asyncio

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

PREFILL, DECODE = 2, 4
SLOTS = 12
PIECES = 30
FIRST_PART, CRASHING_PART = "5c1e07a2:200", "0bad0bad:100"
SOUND_GAP_S = 0.25
FIRST_S = 8.0
REQUESTS, REPEAT_S = 12, 4.0
BACK_AFTER_S = 3.0
STABLE_S = BOUNDS["stable_window_ms"] / 1_000
CRASHES, MAX_LATE = 5, 3


class Engine(ModelEngine):
    """Engine that crashes after the first event of some answers."""

    async def _stream(self, request, writer):
        prompt = request.header("Prompt-Prefix") or ""
        if not TROUBLE or CRASHING_PART not in prompt:
            return await super()._stream(request, writer)
        head = self._head(
            request,
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        )
        writer.write(head)
        first = int(request.headers.get("last-event-id") or 0)
        event = self._event(first + 1)
        writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        await writer.drain()
        await asyncio.sleep(self.event_s)
        self.crash()


async def case() -> int:
    """Run the case and return its result."""
    async with running("5") as kit:
        for number in range(PREFILL + DECODE):
            stage = "prefill" if number < PREFILL else "decode"
            engine = Engine(f"i-{number}", stage, SLOTS, lambda: PIECES)
            engine.on_stage = lambda engine=engine: kit.register(engine)
            await kit.add_engine(engine, "llm")
        routes = [
            stream_route("digest", "llm", max_attempts=2, resumable=True)
        ]
        kit.store.put(
            "op/config", configuration(3, routes, llm={"slots": SLOTS})
        )
        gateways = [kit.add_gateway(), kit.add_gateway()]
        for gateway in gateways:
            if not await gateway.wait_ready(10):
                return CANNOT_RUN
        crashed_s: list[float] = []
        sound: list[Answer] = []
        background = [
            asyncio.create_task(kit.restart_crashed(crashed_s, BACK_AFTER_S)),
            asyncio.create_task(send_sound(kit, gateways, sound)),
        ]
        await asyncio.sleep(FIRST_S)
        tasks = []
        for number in range(REQUESTS):
            gateway = gateways[number % len(gateways)]
            call = kit.stream(
                gateway,
                f"/digest/c{number}",
                [FIRST_PART, CRASHING_PART, f"{number:08x}:5000"],
                PIECES * 59,
            )
            tasks.append(asyncio.create_task(call))
            await asyncio.sleep(REPEAT_S)
        crashing = await asyncio.gather(*tasks)
        for task in background:
            task.cancel()
        return judge(kit, crashing, sound, crashed_s)


async def send_sound(kit, gateways, answers: list[Answer]):
    """Send sound requests at an even rate until cancelled."""

    async def send(number: int):
        answers.append(
            await kit.stream(
                gateways[number % len(gateways)],
                f"/digest/s{number}",
                [FIRST_PART, f"5{number:07x}:5000"],
                PIECES * 59,
            )
        )

    tasks, number = set(), 0
    while True:
        tasks.add(task := asyncio.create_task(send(number)))
        task.add_done_callback(tasks.discard)
        number += 1
        await asyncio.sleep(SOUND_GAP_S)


def judge(kit, crashing, sound, crashed_s: list[float]) -> int:
    """Count the runs with the part long after its fifth crash."""
    served = sum(a.complete and a.status == 200 for a in sound)
    kit.record.line(
        f"{len(crashed_s)} crashes under {len(crashing)} requests; of "
        f"{len(sound)} sound requests {served} were served whole"
    )
    if len(crashed_s) < CRASHES:
        return HELD
    ids = {answer.request for answer in crashing}
    bound_s = crashed_s[CRASHES - 1] + STABLE_S
    late = [
        (request, engine.instance, at_s)
        for engine in kit.engines.values()
        for request, at_s in engine.executed.arrivals
        if request in ids and at_s > bound_s
    ]
    for request, instance, at_s in sorted(late, key=lambda run: run[2]):
        kit.record.line(
            f"BUDGET {request} reached {instance} "
            f"{at_s - crashed_s[CRASHES - 1]:.1f} s after the fifth crash"
        )
    kit.record.line(f"{len(late)} late; allowed: {MAX_LATE}")
    return BROKEN if len(late) > MAX_LATE else HELD


main(case)
