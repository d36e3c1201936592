"""Servers of the roll of gateways: sound, but silent at times."""

from __future__ import annotations

import asyncio
import random

from tests.standins.moving_engine import Ledger, MovingEngine, now
from tests.standins.platform_engine import reset_connection

TOKENS_PER_EVENT = 59
EVENT_S = 0.044
WORK_S = 0.045
SILENCE_S = (0.5, 4.0)
COPY_S = (0.02, 0.6)
SILENT_EARLY_SHARE = 0.2
"""Share of the silences that come before the first event."""
MUTE_SHARE = 0.2
"""Share of the silences in which the engine answers no control call."""
MOVE_FAULTS = ("", "", "", "no_room", "late", "refused")
SLOTS = 12
FREE_SHARE = 0.3
"""Share of the slots that are taken at most at an engine with free memory."""
PLAIN_SLOTS = 6


class EngineOptions:
    """What befalls the streams of a seed; each draws its own fate."""

    def __init__(
        self, seed: int = 0, silent_share=0.0, break_share=0.0
    ) -> None:
        self.seed = seed
        self.silent_share, self.break_share = silent_share, break_share


class StreamPlan:
    """What befalls one stream, by its seed and request."""

    def __init__(self, options: EngineOptions, request_id: str, events: int):
        rng = random.Random(f"{options.seed} {request_id}")
        draws = [rng.random() for _ in range(5)]
        self.break_kind = rng.choice(("close", "inside", "reset"))
        self.copy_s = rng.uniform(*COPY_S)
        has_faults = options.silent_share > 0
        self.move_fault = rng.choice(MOVE_FAULTS) if has_faults else ""
        self.is_silent = draws[0] < options.silent_share
        is_early = draws[1] < SILENT_EARLY_SHARE
        self.silent_after = 0 if is_early else rng.randrange(events)
        self.silence_s = rng.uniform(*SILENCE_S)
        self.is_mute = draws[2] < MUTE_SHARE
        self.has_head = draws[3] < 0.5
        """Whether a silence before the first event comes after the head."""
        self.breaks = draws[4] < options.break_share
        self.breaks_after = rng.randrange(events)


class Silence:
    """Time in which a stream had no event, and reports no answer."""

    def __init__(self, plan: StreamPlan):
        self.started_s = now()
        self.ended_s = self.started_s + plan.silence_s
        self.is_mute = plan.is_mute


class RollLedger(Ledger):
    """Handles, runs, silences and broken streams of a roll."""

    def __init__(self, options: EngineOptions):
        super().__init__()
        self.options = options
        self.silences: dict[str, Silence] = {}
        """By request id; each request has one at most."""
        self.broken: dict[str, int] = {}
        """Number of other free engines as each stream broke off."""


class RollEngine(MovingEngine):
    """Sound server: plain calls take a while, streams as long as named."""

    rng = random.Random(0)

    def __init__(self, instance: str, stage: str, ledger: RollLedger):
        slots = SLOTS if stage else PLAIN_SLOTS
        super().__init__(instance, stage, ledger, slots)
        self._mute_until_s = 0.0

    @property
    def is_mute(self) -> bool:
        """Whether it answers no control call for now."""
        return now() < self._mute_until_s

    def copy_s(self, request_id: str) -> float:
        return StreamPlan(self.ledger.options, request_id, 1).copy_s

    def move_fault(self, request_id: str) -> str:
        return StreamPlan(self.ledger.options, request_id, 1).move_fault

    async def _handle(self, request, reader, writer):
        if request.target.startswith("/-/"):
            await asyncio.sleep(max(0.0, self._mute_until_s - now()))
        await super()._handle(request, reader, writer)

    async def _mode_answer(self, request, writer):
        if not self.stage:
            self.answer_s = self.rng.lognormvariate(0, 0.8) * WORK_S
            if self.rng.random() < 0.01:
                self.answer_s = 1.2
        await super()._mode_answer(request, writer)

    async def _stream(self, request, writer):
        request_id = request.header("Attempt-Id")
        events = int(request.target.rpartition("/")[2].split("-")[0])
        first = int(request.headers.get("last-event-id") or 0)
        plan = StreamPlan(self.ledger.options, request_id, events)
        if first == 0 and not plan.has_head:
            await self._be_silent(request_id, plan, 0)
        writer.write(self._stream_head(request))
        for number in range(first, events):
            await writer.drain()
            await self._be_silent(request_id, plan, number)
            is_whole = request_id in self.ledger.broken
            if plan.breaks and plan.breaks_after == number and not is_whole:
                return self._break_off(request, plan, number, writer)
            event = self._event(number + 1)
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def _be_silent(self, request_id: str, plan: StreamPlan, number: int):
        """Make the pause of a stream, once."""
        silences = self.ledger.silences
        is_due = plan.is_silent and plan.silent_after == number
        if not is_due or request_id in silences:
            return
        silence = silences[request_id] = Silence(plan)
        if silence.is_mute:
            self._mute_until_s = max(self._mute_until_s, silence.ended_s)
        await asyncio.sleep(plan.silence_s)

    def _break_off(self, request, plan: StreamPlan, number: int, writer):
        request.run.end = "broke off"
        self.ledger.broken[request.header("Attempt-Id")] = sum(
            engine.stage == "decode"
            and engine is not self
            and not engine.is_mute
            and engine.taken < FREE_SHARE * engine.slots
            for engine in self.ledger.engines.values()
        )
        if plan.break_kind == "inside":
            writer.write(b"8\r\n" + self._event(number + 1)[:8] + b"\r\n")
        if plan.break_kind == "reset":
            reset_connection(writer)
