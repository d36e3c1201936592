"""SIGTERM of a gateway whose decode engines are busy.

The gateway is the only one of its zone, so that the platform goes on sending
it new connections. Clients ask for streams of 0.9 s, as many as the engines
can serve. Those that are refused come back at other gateways, which the case
leaves out.
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
    Answer,
    Gateway,
    Kit,
    configuration,
    main,
    running,
    stream_route,
)
from common.model_engine import ModelEngine

SLOTS = 12
DECODE, PREFILL = 2, 2
PIECES = 20
STREAM_S = PIECES * 0.0438
CAPACITY_PER_S = DECODE * SLOTS / STREAM_S
LOAD = 1.0
"""Requests in relation to what the engines can serve."""
BEFORE_S = 12.0
GRACE_S = BOUNDS["grace_s"]
EXCUSED_S = 3.0
"""Time after SIGTERM up to which long streams are excused."""
DEADLINE_MS = 14_000


async def send(kit: Kit, gateway: Gateway, answers: list[Answer]):
    """Send one request for a stream and keep its answer."""
    number = kit.requests
    answers.append(
        await kit.stream(
            gateway,
            f"/digest/{number}",
            ["5c1e07a2:200", f"{number:08x}:5000"],
            PIECES * 59,
            DEADLINE_MS,
        )
    )


async def case() -> int:
    """Run the case and return its result."""
    async with running("5") as kit:
        record = kit.record
        engines = []
        for number in range(DECODE + PREFILL):
            stage = "decode" if number < DECODE else "prefill"
            engine = ModelEngine(f"i-{number}", stage, SLOTS, lambda: PIECES)
            engine.on_stage = lambda engine=engine: kit.register(engine)
            await kit.add_engine(engine, "llm")
            engines.append(engine)
        routes = [stream_route("digest", "llm", max_attempts=1)]
        kit.store.put(
            "op/config", configuration(3, routes, llm={"slots": SLOTS})
        )
        gateway = kit.add_gateway()
        if not await gateway.wait_ready(10):
            return CANNOT_RUN
        answers: list[Answer] = []
        tasks: list[asyncio.Task] = []
        gap_s = 1 / (LOAD * CAPACITY_PER_S)
        end_s = record.now_s() + BEFORE_S + GRACE_S
        term_s = record.now_s() + BEFORE_S
        signalled_s = None
        while record.now_s() < end_s:
            if signalled_s is None and record.now_s() >= term_s:
                if TROUBLE:
                    gateway.signal(signal.SIGTERM)
                    signalled_s = record.line("SIGTERM")
                else:
                    signalled_s = record.line("no SIGTERM")
            tasks.append(asyncio.create_task(send(kit, gateway, answers)))
            await asyncio.sleep(gap_s)
        await asyncio.gather(*tasks)
        return judge(kit, answers, engines, signalled_s)


def judge(kit, answers, engines, signalled_s) -> int:
    """Count the requests that were read whole and not answered."""
    runs = {
        request: at_s
        for engine in engines
        for request, at_s in engine.executed.times_s.items()
    }
    lost = []
    for answer in answers:
        after_s = answer.sent_s - signalled_s
        if not EXCUSED_S < after_s <= GRACE_S + 1:
            continue
        took_s = answer.ended_s - answer.sent_s
        if answer.complete or answer.request not in runs:
            continue
        if took_s < DEADLINE_MS / 1_000 - 0.5:
            lost.append(answer)
    for answer in lost:
        kit.record.line(
            f"LOST {answer.request}: sent {answer.sent_s - signalled_s:.2f} s "
            f"after SIGTERM, run from "
            f"{runs[answer.request] - signalled_s:.2f} s, connection ended "
            f"at {answer.ended_s - signalled_s:.2f} s"
        )
    served = sum(a.complete and a.status == 200 for a in answers)
    refused = sum(a.status == 503 for a in answers)
    kit.record.line(
        f"{len(answers)} attempts, {served} served, {refused} refused, "
        f"{len(lost)} lost"
    )
    return BROKEN if lost else HELD


main(case)
