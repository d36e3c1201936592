"""Streams go on at another software version after the gateways restarted.

Engines of two versions serve one service. The store is away for some seconds,
in which streams begin, and all gateways are killed before it is back. Clients
take their streams up again.
"""

from __future__ import annotations

import asyncio
import random
import re

from review.common2.case import (
    CaseNotRun,
    Deployment,
    configuration,
    main,
    model_service,
    route,
)
from review.common2.clients import Answer, call, events_of, new_attempt
from review.common2.engines import ModelEngine

VERSIONS = {"v1": 3, "v2": 2}
"""Decode engines of each version."""
DEADLINE_S = 14.0
EVENTS, EVENT_S = 70, 0.1
CALM_S = 3.0
SILENT_S = 4.5
STREAMS_FROM_S, STREAMS_EACH_S, STREAMS = 0.5, 0.1, 16
"""Time from the start of the outage to the first stream, interval, number."""
KILL_S = 3.3
"""Time from the start of the outage to the kill."""
RESTART_S = 0.3
TRIES = 2
ALLOWED = 2
"""Streams that may hold events of two versions."""


class Stream:
    """A stream of a client, over its tries."""

    def __init__(self):
        self.events: list[tuple[int, str]] = []
        self.begun_by = ""
        """Attempt that brought the first event."""
        self.is_complete = False

    @property
    def versions(self) -> set[str]:
        """Software versions that wrote its events."""
        return {data.split(" ")[0] for _, data in self.events}


async def case(deployment: Deployment) -> bool:
    """Run the case; returns whether too many streams mix versions."""
    store, note = deployment.store, deployment.note
    routes = [
        route(
            "history",
            "streaming",
            "counting-llm",
            resumable=True,
            max_attempts=2,
        )
    ]
    services = [model_service("counting-llm")]
    store.put("op/config", configuration(routes, services))
    engines: list[ModelEngine] = []

    async def add(stage: str, version: str):
        engine = ModelEngine(
            store,
            note,
            "counting-llm",
            stage=stage,
            version=version,
            slots=32,
        )
        engine.events, engine.event_s = EVENTS, EVENT_S
        await engine.start()
        engines.append(engine)

    for _ in range(2):
        await add("prefill", "v1")
    for _ in range(VERSIONS["v1"]):
        await add("decode", "v1")
    await deployment.start_gateways(2)
    await asyncio.sleep(CALM_S)
    for _ in range(VERSIONS["v2"]):
        await add("decode", "v2")
    await asyncio.sleep(CALM_S)
    streams = [Stream() for _ in range(STREAMS)]
    clients = [
        asyncio.create_task(
            use_stream(deployment, stream, STREAMS_FROM_S + n * STREAMS_EACH_S)
        )
        for n, stream in enumerate(streams)
    ]
    if deployment.has_trouble:
        await asyncio.sleep(0)
        note("store_silent")
        store.go_silent()
        await asyncio.sleep(KILL_S)
        for gateway in deployment.gateways:
            gateway.kill()
        note("gateways_killed")
        await asyncio.sleep(RESTART_S)
        for gateway in deployment.gateways:
            gateway.start()
        await asyncio.sleep(SILENT_S - KILL_S - RESTART_S)
        store.come_back()
        note("store_back")
    await asyncio.gather(*clients)
    for engine in engines:
        engine.end()
    say = deployment.record.say
    mixed = [stream for stream in streams if len(stream.versions) > 1]
    say(f"{sum(s.is_complete for s in streams)} streams ended complete")
    say(f"begun at: {[s.events[0][1][:2] for s in streams if s.events]}")
    say(f"{len(mixed)} streams hold events of two versions")
    for stream in mixed:
        runs = [f"{n}:{data}" for n, data in stream.events]
        note("mixed", begun_by=stream.begun_by, events=",".join(runs))
    if not any("v2" in stream.versions for stream in streams):
        raise CaseNotRun("no stream has run at v2")
    return len(mixed) > ALLOWED


async def use_stream(deployment: Deployment, stream: Stream, wait_s: float):
    """Ask for a stream, and take it up again if it breaks off."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(wait_s)
    until_s = loop.time() + DEADLINE_S
    rng = random.Random(wait_s)
    first = new_attempt()
    for number in range(TRIES):
        gateway = await deployment.pick_ready()
        answer = Answer(new_attempt() if number else first)
        headers = {
            "X-Gooseberrypost-Model": "m",
            "X-Gooseberrypost-Token-Usage": "5000,4130",
            "X-Gooseberrypost-Prompt-Prefix": f"5c1e07a2:200,{first[:8]}:4800",
        }
        if stream.events:
            headers["Last-Event-Id"] = str(stream.events[-1][0])
            headers["Resumes"] = stream.begun_by
        await call(
            gateway.frontend,
            "POST",
            "/history/2f",
            until_s - loop.time(),
            headers,
            f"prompt of {first}".encode(),
            answer,
        )
        events = events_of(answer.body)
        if events and not stream.events:
            stream.begun_by = answer.attempt
        stream.events += events
        stream.is_complete = answer.is_complete and answer.status == 200
        deployment.note(
            "answered",
            request=answer.attempt,
            gateway=gateway.name,
            status=answer.status,
            events=re.sub(r"\s+", "", str(sorted({d for _, d in events}))),
            last=stream.events[-1][0] if stream.events else 0,
            complete=answer.is_complete,
        )
        if stream.is_complete:
            return
        await asyncio.sleep(rng.uniform(0.1, 0.3))


if __name__ == "__main__":
    main(__file__, case)
