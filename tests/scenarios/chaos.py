"""Random fault injection over real processes.

``python -m tests.scenarios.chaos --seed N --seconds S`` starts a small
cluster, sends random requests, and injects faults drawn from the seed. The
seed determines the requests, the faults and the time at which each is due. It
does not determine how the operating system schedules the processes, so a
violation need not recur with the same seed. When the time is over, all faults
are healed and the invariants of ``chaos_checks`` are checked. The exit status
is 1 if one is violated.
"""

from __future__ import annotations

import asyncio
import random
import sys
import tempfile
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import TypeVar

import click

from gooseberrypost.configsync.apply import HEAD_KEY
from gooseberrypost.state.document import parse_head
from tests.scenarios import chaos_checks, chaos_faults
from tests.scenarios.chaos_checks import InvariantViolation
from tests.scenarios.chaos_faults import AGENTS, GROUPS, PROCESSES
from tests.scenarios.chaos_traffic import SentRequest, Traffic
from tests.scenarios.cluster import Cluster

ZONES = "abc"
RESTART_TIMEOUT_S = 20.0
EXCHANGE_TIMEOUT_S = 30.0
MEMORY_RELEASE_TIMEOUT_S = 10.0
"""Time in which an engine must free all memory once the load has ended."""
CONFIGURATION_TIMEOUT_S = 16.0
"""Time in which every process must apply the newest configuration."""
POLL_INTERVAL_S = 0.1
REPORTED_LOG_LINES = 40

T = TypeVar("T")


class Chaos:
    """One run: its cluster and requests, and when processes were faulty."""

    def __init__(self, cluster: Cluster, seed: int):
        self.cluster, self.seed = cluster, seed
        self.traffic = Traffic(self, random.Random(f"traffic-{seed}"))
        self.started_s = 0.0
        self.tasks: set[asyncio.Task] = set()
        self._down: dict[str, list[list[float]]] = defaultdict(list)
        self._frozen: dict[str, list[list[float]]] = defaultdict(list)

    @property
    def now_s(self) -> float:
        """Seconds since all processes were ready."""
        return asyncio.get_running_loop().time() - self.started_s

    async def sleep_until(self, at_s: float):
        await asyncio.sleep(max(0.0, at_s - self.now_s))

    def spawn(self, coroutine) -> asyncio.Task:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        return task

    def log(self, line: str):
        click.echo(f"{self.now_s:7.2f} {line}")

    async def start(self):
        """Start the processes, each with its own relay to the store."""
        store = self.cluster.relays["store"].address
        for number, name in enumerate(AGENTS):
            zone = ZONES[number % len(ZONES)]
            options = {"zone": zone, "relay": "yes"}
            if name in GROUPS["plain"]:
                await self.cluster.add_plain(name, options)
                continue
            role = "prefill" if name in GROUPS["prefill"] else "decode"
            options |= {"token_ms": 15.0, "pieces": 60}
            await self.cluster.add_engine(name, role, options)
        for zone, name in zip(ZONES, GROUPS["entry"], strict=True):
            self.cluster.add_entry(name, {"zone": zone})
        for name in PROCESSES:
            address = await self.cluster._add_relay(f"store-{name}", store)
            settings = self.cluster.processes[name].settings
            settings["key_value_addresses"] = [address]
        await self.cluster.start_processes()
        self.started_s = asyncio.get_running_loop().time()

    async def run(self, seconds: float):
        """Send requests and apply the faults; return when all has ended."""
        rng = random.Random(f"faults-{self.seed}")
        schedule = chaos_faults.draw(rng, seconds)
        traffic = self.spawn(self.traffic.run(seconds))
        for fault in schedule:
            await self.sleep_until(fault.at_s)
            self.log(str(fault))
            self.spawn(chaos_faults.apply(self, fault))
        await traffic
        await self._drain()

    async def _drain(self):
        """Wait until faults, resends and exchanges have ended."""
        while pending := {task for task in self.tasks if not task.done()}:
            await asyncio.wait(pending)
        for task in self.tasks:
            task.result()
        exchanges = [s.exchange.task for s in self.traffic.sent_requests]
        if exchanges:
            await asyncio.wait(exchanges, timeout=EXCHANGE_TIMEOUT_S)

    def mark_down(self, name: str):
        self._down[name].append([self.now_s, float("inf")])

    async def mark_up_when_ready(self, name: str):
        """Note the end of a downtime once the restarted process serves."""

        async def unready() -> bool:
            return not await self.cluster.is_ready(name)

        if not await self._poll_until_falsy(unready, RESTART_TIMEOUT_S):
            self._down[name][-1][1] = self.now_s

    def mark_frozen(self, name: str, start_s: float):
        self._frozen[name].append([start_s, float("inf")])

    def mark_thawed(self, name: str, end_s: float):
        self._frozen[name][-1][1] = end_s

    def is_down(self, name: str) -> bool:
        return any(end_s > self.now_s for _, end_s in self._down[name])

    def was_entry_down(self, sent: SentRequest) -> bool:
        """Whether the entry of a request was down during its exchange."""
        return self._overlap_s(self._down, sent) > 0.0

    def frozen_s(self, sent: SentRequest) -> float:
        """Seconds for which the entry was paused during the exchange."""
        return self._overlap_s(self._frozen, sent)

    def _overlap_s(self, times, sent: SentRequest) -> float:
        ended_s = sent.ended_s or self.now_s
        return sum(
            max(0.0, min(end_s, ended_s) - max(start_s, sent.started_s))
            for start_s, end_s in times[sent.entry]
        )

    async def check(self) -> list[InvariantViolation]:
        """Check every invariant.

        Memory and configuration have a time limit in which they may settle.
        """
        held = await self._poll_until_falsy(
            self._check_memory_released, MEMORY_RELEASE_TIMEOUT_S
        )
        behind = await self._poll_until_falsy(
            self._check_configuration, CONFIGURATION_TIMEOUT_S
        )
        return [*chaos_checks.check(self), *held, *behind]

    async def _poll_until_falsy(
        self, measure: Callable[[], Awaitable[T]], seconds: float
    ) -> T:
        """Poll until a value is falsy or time is up; return the last one."""
        end_s = self.now_s + seconds
        while True:
            measured = await measure()
            if not measured or self.now_s >= end_s:
                return measured
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _check_memory_released(self) -> list[InvariantViolation]:
        return chaos_checks.find_held_memory(self)

    async def _check_configuration(self) -> list[InvariantViolation]:
        """Find processes that do not answer or lack the newest version."""
        head = await self.cluster.store.get(HEAD_KEY)
        newest = parse_head(head.unwrap().value).unwrap().version
        violations = []
        for name in PROCESSES:
            status = await self.cluster.status(name)
            version = status and status.configuration_version
            if version != newest:
                detail = f"{name} has {version}, newest {newest}"
                violations.append(
                    InvariantViolation("configuration outdated", detail)
                )
        return violations

    def report(self, violation: InvariantViolation):
        """Print a violation with the trace and log lines of its key."""
        click.echo(f"VIOLATION seed={self.seed} rule={violation.rule!r}")
        click.echo(f"  {violation.detail}")
        if not violation.key:
            return
        for sent in self.traffic.sent_requests:
            if sent.name == violation.key:
                click.echo(f"  {sent}")
        for at_s in chaos_checks.executions(self)[violation.key]:
            click.echo(f"  executed={at_s:.3f}")
        for name, process in self.cluster.processes.items():
            lines = [ln for ln in process.log_lines() if violation.key in ln]
            for line in lines[:REPORTED_LOG_LINES]:
                click.echo(f"  {name}: {line}")

    def summary(self) -> str:
        outcomes = Counter(
            sent.exchange.outcome for sent in self.traffic.sent_requests
        )
        counts = sorted((str(o), n) for o, n in outcomes.items())
        return " ".join(f"{outcome}={count}" for outcome, count in counts)


async def run_chaos(
    seed: int, seconds: float, folder: Path
) -> list[InvariantViolation]:
    """Run once, print the violations and return them."""
    async with Cluster.running(folder) as cluster:
        chaos = Chaos(cluster, seed)
        await chaos.start()
        await chaos.run(seconds)
        violations = await chaos.check()
        for violation in violations:
            chaos.report(violation)
        click.echo(
            f"seed={seed} seconds={seconds} violations={len(violations)} "
            f"{chaos.summary()}"
        )
        return violations


@click.command()
@click.option("--seed", type=int, required=True)
@click.option("--seconds", type=float, default=20.0, show_default=True)
@click.option("--folder", type=click.Path(path_type=Path))
def main(seed: int, seconds: float, folder: Path | None):
    """Inject random faults; ``--folder`` keeps the processes' log files."""
    with tempfile.TemporaryDirectory() as temporary:
        log_folder = folder or Path(temporary)
        log_folder.mkdir(parents=True, exist_ok=True)
        violations = asyncio.run(run_chaos(seed, seconds, log_folder))
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
