"""Interpreter of scenarios: runs the statements against a cluster."""

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

POLL_INTERVAL_S = 0.02
REPORTED_LOG_LINES = 30
FLEET = "fleet"
"""Subject whose properties are sums over all servers or callers."""


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
        await self.cluster.start_processes()

    async def do_submit(self, step: Step):
        name, entry = step.names
        address = self.cluster.http_address(entry)
        self._start_exchange(name, Completion(address, "rig-7b", step.options))

    async def do_call(self, step: Step):
        name, entry, method, path = step.names
        address = self.cluster.http_address(entry)
        self._start_exchange(name, Call(address, method, path, step.options))

    def _start_exchange(self, name: str, exchange: Exchange):
        assert name not in self.exchanges, f"request {name} was already sent"
        self.exchanges[name] = exchange
        exchange.start()

    async def do_leave(self, step: Step):
        await self.exchanges[step.names[0]].disconnect()

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
        measured = await self._poll(condition, step.within_ms, stop_when=True)
        assert condition.holds(measured), self._describe_failure(
            step, measured
        )

    async def do_never(self, step: Step):
        condition = step.condition
        assert condition is not None
        measured = await self._poll(condition, step.within_ms, stop_when=True)
        assert not condition.holds(measured), self._describe_failure(
            step, measured
        )

    async def _poll(
        self, condition: Condition, within_ms: int, *, stop_when: bool
    ) -> Any:
        clock = asyncio.get_running_loop().time
        deadline_s = clock() + within_ms / 1_000
        while True:
            measured = await self.measure(condition)
            if condition.holds(measured) is stop_when or clock() >= deadline_s:
                return measured
            await asyncio.sleep(POLL_INTERVAL_S)

    async def measure(self, condition: Condition) -> Any:
        """Return the current value of a property.

        The value is ``None`` if a daemon does not answer. An unknown subject
        or property raises an error.
        """
        name, property_name = condition.subject, condition.property
        if name == FLEET:
            return self._measure_fleet(property_name)
        if name in self.exchanges:
            return self._measure_exchange(self.exchanges[name], property_name)
        if name in self.cluster.servers and property_name in SERVER_PROPERTIES:
            return SERVER_PROPERTIES[property_name](self.cluster.servers[name])
        if property_name == "ready":
            return await self.cluster.readiness_status(name)
        if property_name == "exit":
            return self.cluster.processes[name].exit_code
        status = await self.cluster.status(name)
        if status is None:
            return None
        value = getattr(status, property_name)
        return len(value) if isinstance(value, list) else value

    def _measure_fleet(self, property_name: str) -> int:
        if property_name == "answers":
            return sum(
                exchange.outcome == "completed" and exchange.whole
                for exchange in self.exchanges.values()
                if isinstance(exchange, Completion)
            )
        if property_name == "false_refusals":
            # Calls answered ``not-run`` although a server executed their key.
            return sum(
                exchange.outcome == "not-run"
                and self._measure_exchange(exchange, "executions") > 0
                for exchange in self.exchanges.values()
                if isinstance(exchange, Call)
            )
        return sum(
            SERVER_PROPERTIES[property_name](server)
            for server in self.cluster.servers.values()
        )

    def _measure_exchange(self, exchange: Exchange, property_name: str) -> Any:
        if property_name == "executions":
            assert isinstance(exchange, Call)
            return sum(
                server.executions[exchange.key]
                for server in self.cluster.servers.values()
                if isinstance(server, PlainService)
            )
        value = getattr(exchange, property_name)
        return int(value) if isinstance(value, bool) else value

    def _describe_failure(self, step: Step, measured: Any) -> str:
        parts = [f"line {step.line}: {step.condition}: was {measured!r}"]
        for name, exchange in self.exchanges.items():
            parts.append(
                f"{name}: status={exchange.status} outcome={exchange.outcome} "
                f"code={exchange.code} tokens={exchange.tokens}"
            )
        for name, process in self.cluster.processes.items():
            parts.append(f"--- {name}")
            parts.extend(process.log_lines()[-REPORTED_LOG_LINES:])
        return "\n".join(parts)


def _attribute(attribute: str) -> Callable[[Any], int]:
    return lambda server: getattr(server, attribute)


SERVER_PROPERTIES: dict[str, Callable[[Engine | PlainService], Any]] = {
    "slots": _attribute("slots_used"),
    "pieces": _attribute("pieces_used"),
    "crashes": _attribute("crashes"),
    "oversold": _attribute("oversold"),
    "role": lambda server: server.options.role,
    "works": lambda server: len(server.attempts),
    "executed": lambda server: sum(server.executions.values()),
    "running": _attribute("running"),
}


async def run_scenario(scenario: Scenario, folder: Path):
    """Run a scenario; settings and log files are written to ``folder``."""
    async with Cluster.running(folder) as cluster:
        await Runner(cluster).run(scenario)
