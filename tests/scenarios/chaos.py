"""Random faults over real processes.

``python -m tests.scenarios.chaos --seed N --seconds S`` starts a small
cluster, sends a steady mix of requests, and applies faults drawn from the
seed. The seed decides which requests and faults are drawn and when each is
due. It does not decide the timing of processes on a real machine, so a run
that broke a rule need not break it again. After the time all faults are
healed, and the rules of ``chaos_checks`` are checked. Exits with 1 when one
is broken.
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
from tests.scenarios.chaos_checks import Broken
from tests.scenarios.chaos_faults import AGENTS, GROUPS, PROCESSES
from tests.scenarios.chaos_traffic import Sending, Traffic
from tests.scenarios.cluster import Cluster

ZONES = "abc"
READY_S = 20.0
LONGEST_EXCHANGE_S = 30.0
FREE_S = 10.0
"""Time after which a quiet engine must hold nothing."""
SPREAD_S = 16.0
"""Time within which a configuration is in force everywhere."""
POLL_S = 0.1
LOG_LINES = 40

T = TypeVar("T")


class Chaos:
    """One run: its cluster, traffic, faults, and when each was active."""

    def __init__(self, cluster: Cluster, seed: int):
        self.cluster, self.seed = cluster, seed
        self.traffic = Traffic(self, random.Random(f"traffic-{seed}"))
        self.began_s = 0.0
        self.tasks: set[asyncio.Task] = set()
        self._down: dict[str, list[list[float]]] = defaultdict(list)
        self._frozen: dict[str, list[list[float]]] = defaultdict(list)

    @property
    def now_s(self) -> float:
        """Seconds since the start."""
        return asyncio.get_running_loop().time() - self.began_s

    async def until(self, at_s: float):
        await asyncio.sleep(max(0.0, at_s - self.now_s))

    def spawn(self, work) -> asyncio.Task:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        return task

    def say(self, line: str):
        click.echo(f"{self.now_s:7.2f} {line}")

    async def build(self):
        """Start the processes; each has its own way to the store."""
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
            address = await self.cluster._relay(f"store-{name}", store)
            settings = self.cluster.processes[name].settings
            settings["key_value_addresses"] = [address]
        await self.cluster.begin()
        self.began_s = asyncio.get_running_loop().time()

    async def run(self, seconds: float):
        """Send requests and apply the faults, then heal everything."""
        rng = random.Random(f"faults-{self.seed}")
        schedule = chaos_faults.draw(rng, seconds)
        sending = self.spawn(self.traffic.run(seconds))
        for fault in schedule:
            await self.until(fault.at_s)
            self.say(str(fault))
            self.spawn(chaos_faults.apply(self, fault))
        await sending
        await self._quiet()

    async def _quiet(self):
        """Wait for faults, resends and exchanges to end."""
        while pending := {task for task in self.tasks if not task.done()}:
            await asyncio.wait(pending)
        for task in self.tasks:
            task.result()
        exchanges = [s.exchange.task for s in self.traffic.sendings]
        if exchanges:
            await asyncio.wait(exchanges, timeout=LONGEST_EXCHANGE_S)

    def note_down(self, name: str):
        self._down[name].append([self.now_s, float("inf")])

    async def note_up(self, name: str):
        """Wait until a restarted process serves."""

        async def unready() -> bool:
            return not await self.cluster._is_ready(name)

        if not await self._until_falsy(unready, READY_S):
            self._down[name][-1][1] = self.now_s

    def note_frozen(self, name: str, at_s: float):
        self._frozen[name].append([at_s, float("inf")])

    def note_thawed(self, name: str, at_s: float):
        self._frozen[name][-1][1] = at_s

    def is_down(self, name: str) -> bool:
        return any(until_s > self.now_s for _, until_s in self._down[name])

    def was_down(self, sending: Sending) -> bool:
        """Whether its entry was killed while the exchange lasted."""
        return self._overlap_s(self._down, sending) > 0.0

    def frozen_s(self, sending: Sending) -> float:
        """How long its entry was paused while the exchange lasted."""
        return self._overlap_s(self._frozen, sending)

    def _overlap_s(self, times, sending: Sending) -> float:
        ended_s = sending.ended_s or self.now_s
        return sum(
            max(0.0, min(until_s, ended_s) - max(at_s, sending.started_s))
            for at_s, until_s in times[sending.entry]
        )

    async def check(self) -> list[Broken]:
        """Check every rule; what may take a time is waited for."""
        held = await self._until_falsy(self._held, FREE_S)
        behind = await self._until_falsy(self._behind, SPREAD_S)
        return [*chaos_checks.check(self), *held, *behind]

    async def _until_falsy(
        self, measure: Callable[[], Awaitable[T]], seconds: float
    ) -> T:
        """Measure until the value is falsy, at most for a time."""
        until_s = self.now_s + seconds
        while True:
            measured = await measure()
            if not measured or self.now_s >= until_s:
                return measured
            await asyncio.sleep(POLL_S)

    async def _held(self) -> list[Broken]:
        return chaos_checks.held(self)

    async def _behind(self) -> list[Broken]:
        """Find processes that are dead or lack the newest configuration."""
        head = await self.cluster.store.get(HEAD_KEY)
        newest = parse_head(head.unwrap().value).unwrap().version
        broken = []
        for name in PROCESSES:
            status = await self.cluster.status(name)
            version = status and status.configuration_version
            if version != newest:
                detail = f"{name} has {version}, newest {newest}"
                broken.append(Broken("configuration behind", detail))
        return broken

    def report(self, broken: Broken):
        """Print a violation with the trace and log lines of its key."""
        click.echo(f"VIOLATION seed={self.seed} rule={broken.rule!r}")
        click.echo(f"  {broken.detail}")
        if not broken.key:
            return
        for sending in self.traffic.sendings:
            if sending.name == broken.key:
                click.echo(f"  {sending}")
        for at_s in chaos_checks.executions(self)[broken.key]:
            click.echo(f"  executed={at_s:.3f}")
        for name, process in self.cluster.processes.items():
            lines = [ln for ln in process.lines() if broken.key in ln]
            for line in lines[:LOG_LINES]:
                click.echo(f"  {name}: {line}")

    def summary(self) -> str:
        outcomes = Counter(
            sending.exchange.outcome for sending in self.traffic.sendings
        )
        counts = sorted((str(o), n) for o, n in outcomes.items())
        return " ".join(f"{outcome}={count}" for outcome, count in counts)


async def run_chaos(seed: int, seconds: float, folder: Path) -> list[Broken]:
    """Run once; returns the broken rules after printing them."""
    async with Cluster.running(folder) as cluster:
        chaos = Chaos(cluster, seed)
        await chaos.build()
        await chaos.run(seconds)
        broken = await chaos.check()
        for each in broken:
            chaos.report(each)
        click.echo(
            f"seed={seed} seconds={seconds} violations={len(broken)} "
            f"{chaos.summary()}"
        )
        return broken


@click.command()
@click.option("--seed", type=int, required=True)
@click.option("--seconds", type=float, default=20.0, show_default=True)
@click.option("--folder", type=click.Path(path_type=Path))
def main(seed: int, seconds: float, folder: Path | None):
    """Run random faults; ``--folder`` keeps the log files of processes."""
    with tempfile.TemporaryDirectory() as temporary:
        place = folder or Path(temporary)
        place.mkdir(parents=True, exist_ok=True)
        broken = asyncio.run(run_chaos(seed, seconds, place))
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
