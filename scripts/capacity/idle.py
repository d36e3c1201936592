"""Control of each role with no request in flight, from real processes."""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
from typing import Final, NamedTuple

from scripts.capacity.deployment import PEERS, SERVER, STORE, Deployment
from scripts.capacity.fit import report
from tests.scenarios.processes import SOURCE

BASES: Final = ("gooseberrypost.entry.wiring", "gooseberrypost.agent.daemon")
SETTLE_S: Final = 6.0
ROLES: Final = {
    "owner": "entry-0",
    "entry": "entry-1",
    "agent": "prefill-0",
}


class Idle(NamedTuple):
    """What one process used in a second without requests."""

    cpu_percent: float
    private_mb: float
    peers_kb: float
    """Pulls that it sent and that it answered."""
    store_kb: float
    server_kb: float
    """Polls of an agent at its own server, on the same VM."""


async def measure(quick: bool) -> None:
    """Print the idle cost against records, shards and processes."""
    wait_s = 4.0 if quick else 12.0
    sizes = [100, 600, 1_200] if quick else [100, 4_800, 9_600]
    print(
        f"# idle: {wait_s:g} s each; /proc stat and status, bytes at "
        "counting relays; sizes are configuration records"
    )
    for module in BASES:
        _base(module)
    found = [await _by_role(size, wait_s) for size in sizes]
    for role in ROLES:
        for field in Idle._fields:
            report(
                f"idle.{role}.{field}",
                f"{field}/s" if field.endswith("kb") else field,
                sizes,
                [getattr(f[role], field) for f in found],
            )
    await _processes(quick, wait_s)
    await _shards(quick, wait_s)


def _base(module: str) -> None:
    """Print the memory of an interpreter that only imported a daemon."""
    code = (
        f"import {module}; from scripts.capacity.usage import Usage; "
        "import os; print(Usage.of(os.getpid()).private_kb)"
    )
    done = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        check=True,
        text=True,
        env={**os.environ, "PYTHONPATH": f"{SOURCE}:{SOURCE.parent}"},
    )
    private_mb = int(done.stdout) / 1_000
    print(f"base.{module} [private MB] {private_mb:.1f}")


async def _by_role(record_count: int, wait_s: float) -> dict[str, Idle]:
    async with Deployment.started(
        entries=2, agents=2, record_count=record_count
    ) as cluster:
        await asyncio.sleep(SETTLE_S)
        before = {r: _totals(cluster, n) for r, n in ROLES.items()}
        await asyncio.sleep(wait_s)
        after = {r: _totals(cluster, n) for r, n in ROLES.items()}
        return {
            role: _rate(before[role], after[role], wait_s) for role in ROLES
        }


def _totals(cluster: Deployment, name: str) -> Idle:
    used = cluster.usage(name)
    peers = cluster.link_bytes(name, PEERS) + cluster.answered_bytes(name)
    return Idle(
        used.cpu_s * 100,
        used.private_kb / 1_000,
        peers / 1_000,
        cluster.link_bytes(name, STORE) / 1_000,
        cluster.link_bytes(name, SERVER) / 1_000,
    )


def _rate(before: Idle, after: Idle, wait_s: float) -> Idle:
    rates = [(b - a) / wait_s for a, b in zip(before, after, strict=True)]
    return Idle(*rates)._replace(private_mb=after.private_mb)


async def _processes(quick: bool, wait_s: float) -> None:
    """Print cost of answered pulls, and calls of agents to the store."""
    sizes = [2, 4, 8] if quick else [2, 6, 12]
    print(
        "# sizes are agents at one entry that owns the shards; 2,400 "
        "records; a pull each 2 s, a lease renewal each 1.6 to 2 s"
    )
    cpu, control, calls, polls = [], [], [], []
    for size in sizes:
        async with Deployment.started(
            agents=size, record_count=2_400
        ) as cluster:
            await asyncio.sleep(SETTLE_S)
            before = _totals(cluster, "entry-0")
            called, asked = (
                cluster.store.total_calls,
                dict(cluster.store.calls),
            )
            await asyncio.sleep(wait_s)
            rate = _rate(before, _totals(cluster, "entry-0"), wait_s)
            cpu.append(rate.cpu_percent)
            control.append(rate.peers_kb)
            calls.append((cluster.store.total_calls - called) / wait_s)
            kept = cluster.store.calls["lease/keepalive"]
            polls.append((kept - asked.get("lease/keepalive", 0)) / wait_s)
    report("agents.entry_cpu", "percent", sizes, cpu)
    report("agents.entry_control", "kB/s", sizes, control)
    report("agents.store_calls", "calls/s", sizes, calls)
    report("agents.lease_renewals", "calls/s", sizes, polls)


async def _shards(quick: bool, wait_s: float) -> None:
    sizes = [2, 4, 8] if quick else [4, 8, 16]
    print("# sizes are claim shards of one owner")
    calls, cpu = [], []
    for size in sizes:
        async with Deployment.started(
            agents=0, claims={"shards": size}
        ) as cluster:
            await asyncio.sleep(SETTLE_S)
            called = cluster.store.total_calls
            before = _totals(cluster, "entry-0")
            await asyncio.sleep(wait_s)
            after = _totals(cluster, "entry-0")
            calls.append((cluster.store.total_calls - called) / wait_s)
            cpu.append(_rate(before, after, wait_s).cpu_percent)
    report("shards.store_calls", "calls/s", sizes, calls)
    report("shards.owner_cpu", "percent", sizes, cpu)
