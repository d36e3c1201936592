"""After some crashes the prompt part that all requests share is refused.

Streams have neither a length nor chunks and end with their connection. A part
of some prompts crashes engines, and one engine crashes for another reason. All
requests share their first part, which is sound: streams on it end well all the
time.
"""

from __future__ import annotations

import asyncio
import random

from review.common2.case import (
    Deployment,
    configuration,
    main,
    model_service,
    route,
)
from review.common2.clients import Answer, call, events_of, new_attempt
from review.common2.engines import ModelEngine

PREFILL, DECODE = 3, 6
SHARED, POISON = "5c1e07a2", "91bd3f06"
"""Parts of prompts."""
CALLS_PER_S = 6.0
DEADLINE_S = 14.0
EVENTS, EVENT_S = 6, 0.06
STABLE_S = 3.0
"""``stable_window_ms`` of the deployment."""
BASELINE_S = 8.0
"""Time with sound traffic alone, after which poisoned requests come."""
POISON_INTERVAL_S = 2.5
DOWN_S = 2.0
"""Time after which a crashed engine is back."""
OTHER_CRASH_S = 20.0
END_S = 44.0
MIN_REQUESTS = 20


class Sound:
    """A request without the poisoned part."""

    def __init__(self, at_s: float):
        self.at_s = at_s
        self.has_begun = False


async def case(deployment: Deployment) -> bool:
    """Send sound and poisoned prompts; returns whether sound ones suffer."""
    store, note = deployment.store, deployment.note
    routes = [route("digest", "streaming", "counting-llm")]
    services = [model_service("counting-llm")]
    store.put("op/config", configuration(routes, services))
    engines = []
    for number in range(PREFILL + DECODE):
        stage = "prefill" if number < PREFILL else "decode"
        engine = ModelEngine(
            store, note, "counting-llm", stage=stage, slots=32
        )
        engine.events, engine.event_s = EVENTS, EVENT_S
        engine.is_framed, engine.poison = False, POISON
        await engine.start()
        engines.append(engine)
    await deployment.start_gateways(2)
    await asyncio.sleep(STABLE_S)
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    rng = random.Random(6)
    sound: list[Sound] = []
    poison_crashes_s: list[float] = []
    poison_sent_s: list[float] = []

    def elapsed() -> float:
        return loop.time() - began_s

    async def ask(middle: str) -> bool:
        """Send a prompt; returns whether its stream has begun."""
        attempt = new_attempt()
        parts = f"{SHARED}:200,{middle}:800,{attempt[:8]}:4000"
        headers = {
            "X-Gooseberrypost-Model": "m",
            "X-Gooseberrypost-Token-Usage": "5000,400",
            "X-Gooseberrypost-Prompt-Prefix": parts,
        }
        gateway = rng.choice(deployment.gateways)
        answer = await call(
            gateway.frontend,
            "POST",
            "/digest/2f",
            DEADLINE_S,
            headers,
            f"prompt of {attempt}".encode(),
            Answer(attempt),
        )
        events = events_of(answer.body)
        note(
            "answered",
            request=answer.attempt,
            gateway=gateway.name,
            poisoned=middle == POISON,
            status=answer.status,
            events=len(events),
            complete=answer.is_complete,
            failure=answer.headers.get("x-failure", "-"),
        )
        return bool(events)

    async def ask_sound():
        request = Sound(elapsed())
        sound.append(request)
        middle = f"{rng.randrange(2**32):08x}"
        request.has_begun = await ask(middle)

    async def send_poison():
        await asyncio.sleep(BASELINE_S)
        while True:
            poison_sent_s.append(elapsed())
            asked = asyncio.create_task(ask(POISON))
            pending.add(asked)
            asked.add_done_callback(pending.discard)
            await asyncio.sleep(POISON_INTERVAL_S)

    async def restart():
        """Start crashed engines again, and note who crashed by the part."""
        down: set[ModelEngine] = set()
        while True:
            for engine in engines:
                if engine.is_running or engine in down:
                    continue
                down.add(engine)
                if engine.crashed_by_poison:
                    poison_crashes_s.append(elapsed())
                loop.call_later(DOWN_S, starts.put_nowait, engine)
            await asyncio.sleep(0.01)
            while not starts.empty():
                engine = starts.get_nowait()
                await engine.start()
                down.discard(engine)

    async def crash_other():
        """Crash an engine that is prefilling a sound prompt."""
        await asyncio.sleep(OTHER_CRASH_S)
        while True:
            for engine in engines[:PREFILL]:
                if engine.prefilling - engine.poisoned:
                    engine.crash()
                    return
            await asyncio.sleep(0.001)

    starts: asyncio.Queue[ModelEngine] = asyncio.Queue()
    pending: set[asyncio.Task] = set()
    helpers = []
    if deployment.has_trouble:
        helpers = [
            asyncio.create_task(work)
            for work in (send_poison(), restart(), crash_other())
        ]
    while elapsed() < END_S:
        asked = asyncio.create_task(ask_sound())
        pending.add(asked)
        asked.add_done_callback(pending.discard)
        await asyncio.sleep(rng.expovariate(CALLS_PER_S))
    for helper in helpers:
        helper.cancel()
    await asyncio.gather(*pending)
    for engine in engines:
        engine.end()
    return judge(deployment, sound, poison_crashes_s, poison_sent_s)


def judge(
    deployment: Deployment,
    sound: list[Sound],
    crashes_s: list[float],
    poison_sent_s: list[float],
) -> bool:
    """Return whether sound requests begin less than half as often."""
    say = deployment.record.say
    crash_s = ([*crashes_s[:5], BASELINE_S])[min(len(crashes_s), 5) - 1]
    from_s = crash_s + 2 * STABLE_S
    until_s = max(poison_sent_s, default=END_S)
    before = [one for one in sound if one.at_s < BASELINE_S - 1]
    after = [one for one in sound if from_s <= one.at_s <= until_s]
    shares = []
    for name, group in ("before", before), ("after", after):
        begun = sum(one.has_begun for one in group)
        say(f"{name}: {begun} of {len(group)} sound requests began")
        shares.append(begun / max(len(group), 1))
    say(f"the part crashed engines at {[round(s, 1) for s in crashes_s]}")
    is_counted = min(len(before), len(after)) >= MIN_REQUESTS
    return is_counted and shares[1] < 0.5 * shares[0]


if __name__ == "__main__":
    main(__file__, case)
