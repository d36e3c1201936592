"""Runs a scenario against a cluster."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from tests.scenarios.caller import Call, Completion, Exchange
from tests.scenarios.cluster import Cluster
from tests.scenarios.language import Condition, Scenario, Step
from tests.standins.engine import Engine
from tests.standins.plain import PlainService

POLL_S = 0.02
LOG_LINES = 30
FLEET = "fleet"
"""Subject whose properties are sums over all participants."""


class Runner:
    """Executes the statements of one scenario in order."""

    def __init__(self, cluster: Cluster):
        self.cluster = cluster
        self.exchanges: dict[str, Exchange] = {}

    async def run(self, scenario: Scenario):
        for step in scenario.steps:
            handler: Callable[[Step], Awaitable[None]]
            handler = getattr(self, f"do_{step.verb}")
            await handler(step)

    async def do_engine(self, step: Step):
        await self.cluster.add_engine(*step.names, step.options)

    async def do_plain(self, step: Step):
        await self.cluster.add_plain(step.names[0], step.options)

    async def do_entry(self, step: Step):
        self.cluster.add_entry(step.names[0], step.options)

    async def do_begin(self, step: Step):
        await self.cluster.begin()

    async def do_submit(self, step: Step):
        name, entry = step.names
        address = self.cluster.http_address(entry)
        self._begin(name, Completion(address, "rig-7b", step.options))

    async def do_call(self, step: Step):
        name, entry, method, path = step.names
        address = self.cluster.http_address(entry)
        self._begin(name, Call(address, method, path, step.options))

    def _begin(self, name: str, exchange: Exchange):
        assert name not in self.exchanges, f"{name} was sent before"
        self.exchanges[name] = exchange
        exchange.start()

    async def do_leave(self, step: Step):
        await self.exchanges[step.names[0]].leave()

    async def do_freeze(self, step: Step):
        self.cluster.freeze(step.names[0])

    async def do_thaw(self, step: Step):
        self.cluster.thaw(step.names[0])

    async def do_kill(self, step: Step):
        self.cluster.processes[step.names[0]].kill()

    async def do_terminate(self, step: Step):
        self.cluster.processes[step.names[0]].signal(signal.SIGTERM)

    async def do_restart(self, step: Step):
        process = self.cluster.processes[step.names[0]]
        process.kill()
        process.start()

    async def do_cut(self, step: Step):
        self.cluster.relays[step.names[0]].cut()

    async def do_stall(self, step: Step):
        self.cluster.relays[step.names[0]].stall()

    async def do_heal(self, step: Step):
        self.cluster.relays[step.names[0]].heal()

    async def do_store(self, step: Step):
        store = self.cluster.store
        options = step.options
        store.slow_ms = options.get("slow", store.slow_ms)
        store.lose_answers = options.get("lose", store.lose_answers)
        if "down" in options:
            store.set_down(options["down"] == "yes")

    async def do_switch(self, step: Step):
        name, switch = step.names
        self.cluster.servers[name].switch(switch, step.options["value"])

    async def do_configure(self, step: Step):
        await self.cluster.configure(step.names[0], step.options)

    async def do_sheet(self, step: Step):
        await self.cluster.schedule(*step.names, step.options)

    async def do_pause(self, step: Step):
        await asyncio.sleep(step.within_ms / 1_000)

    async def do_expect(self, step: Step):
        condition = step.condition
        assert condition is not None
        measured = await self._poll(condition, step.within_ms, until=True)
        assert condition.holds(measured), self._report(step, measured)

    async def do_never(self, step: Step):
        condition = step.condition
        assert condition is not None
        measured = await self._poll(condition, step.within_ms, until=True)
        assert not condition.holds(measured), self._report(step, measured)

    async def _poll(
        self, condition: Condition, within_ms: int, *, until: bool
    ) -> Any:
        clock = asyncio.get_running_loop().time
        deadline_s = clock() + within_ms / 1_000
        while True:
            measured = await self.measure(condition)
            if condition.holds(measured) is until or clock() >= deadline_s:
                return measured
            await asyncio.sleep(POLL_S)

    async def measure(self, condition: Condition) -> Any:
        """Value of a property now; unknown names are errors."""
        name, wanted = condition.subject, condition.property
        if name == FLEET:
            return self._measure_fleet(wanted)
        if name in self.exchanges:
            return self._measure_exchange(self.exchanges[name], wanted)
        if name in self.cluster.servers and wanted in SERVER_PROPERTIES:
            return SERVER_PROPERTIES[wanted](self.cluster.servers[name])
        if wanted == "ready":
            return await self.cluster.ready(name)
        if wanted == "exit":
            return self.cluster.processes[name].exit_code
        status = await self.cluster.status(name)
        return None if status is None else getattr(status, wanted)

    def _measure_fleet(self, wanted: str) -> int:
        if wanted == "answers":
            return sum(
                exchange.outcome == "completed" and exchange.whole
                for exchange in self.exchanges.values()
                if isinstance(exchange, Completion)
            )
        if wanted == "false_refusals":
            # Callers told not-run of a key that a server has executed.
            return sum(
                exchange.outcome == "not-run"
                and self._measure_exchange(exchange, "executions") > 0
                for exchange in self.exchanges.values()
                if isinstance(exchange, Call)
            )
        return sum(
            SERVER_PROPERTIES[wanted](server)
            for server in self.cluster.servers.values()
        )

    def _measure_exchange(self, exchange: Exchange, wanted: str) -> Any:
        if wanted == "executions":
            assert isinstance(exchange, Call)
            return sum(
                server.executions[exchange.key]
                for server in self.cluster.servers.values()
                if isinstance(server, PlainService)
            )
        value = getattr(exchange, wanted)
        return int(value) if isinstance(value, bool) else value

    def _report(self, step: Step, measured: Any) -> str:
        parts = [f"line {step.line}: {step.condition}: was {measured!r}"]
        for name, exchange in self.exchanges.items():
            parts.append(
                f"{name}: status={exchange.status} outcome={exchange.outcome} "
                f"code={exchange.code} tokens={exchange.tokens}"
            )
        for name, process in self.cluster.processes.items():
            parts.append(f"--- {name}")
            parts.extend(process.lines()[-LOG_LINES:])
        return "\n".join(parts)


def _total(attribute: str) -> Callable[[Any], int]:
    return lambda server: getattr(server, attribute)


SERVER_PROPERTIES: dict[str, Callable[[Engine | PlainService], Any]] = {
    "slots": _total("slots_used"),
    "pieces": _total("pieces_used"),
    "crashes": _total("crashes"),
    "oversold": _total("oversold"),
    "role": lambda server: server.options.role,
    "works": lambda server: len(server.works),
    "executed": lambda server: sum(server.executions.values()),
    "running": _total("running"),
}


async def run_scenario(scenario: Scenario, folder: Path):
    """Run a scenario with its processes' files in ``folder``."""
    async with Cluster.running(folder) as cluster:
        await Runner(cluster).run(scenario)
