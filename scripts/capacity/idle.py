"""Resource use of idle daemon processes, by role.

Without requests in flight this is the control traffic: configuration pulls,
lease renewals and polls of the backend server.
"""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
from typing import Final, NamedTuple

from scripts.capacity.deployment import PEERS, SERVER, STORE, Deployment
from scripts.capacity.fit import print_fit
from tests.scenarios.processes import SOURCE

DAEMON_MODULES: Final = (
    "gooseberrypost.entry.wiring",
    "gooseberrypost.agent.daemon",
)
WARM_UP_S: Final = 6.0
"""Time from readiness of the processes to the first sample."""
ROLES: Final = {
    "owner": "entry-0",
    "entry": "entry-1",
    "agent": "prefill-0",
}


class IdleUsage(NamedTuple):
    """CPU and traffic of one idle process per second, and its memory."""

    cpu_percent: float
    private_mb: float
    peers_kb: float
    """Configuration pulls that the process sent and served."""
    store_kb: float
    server_kb: float
    """An agent's polls of its backend server, which is on the same VM."""


async def measure(quick: bool) -> None:
    """Print the idle cost by number of records, agents and claim shards."""
    interval_s = 4.0 if quick else 12.0
    sizes = [100, 600, 1_200] if quick else [100, 4_800, 9_600]
    print(
        f"# idle: {interval_s:g} s each; /proc stat and status, bytes at "
        "counting relays; sizes are configuration records"
    )
    for module in DAEMON_MODULES:
        _print_import_memory(module)
    samples = [await _measure_roles(size, interval_s) for size in sizes]
    for role in ROLES:
        for field in IdleUsage._fields:
            print_fit(
                f"idle.{role}.{field}",
                f"{field}/s" if field.endswith("kb") else field,
                sizes,
                [getattr(sample[role], field) for sample in samples],
            )
    await _report_by_agents(quick, interval_s)
    await _report_by_shards(quick, interval_s)


def _print_import_memory(module: str) -> None:
    """Print the memory of an interpreter that has only imported a daemon."""
    code = (
        f"import {module}; from scripts.capacity.usage import Usage; "
        "import os; print(Usage.of(os.getpid()).private_kb)"
    )
    result = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        check=True,
        text=True,
        env={**os.environ, "PYTHONPATH": f"{SOURCE}:{SOURCE.parent}"},
    )
    private_mb = int(result.stdout) / 1_000
    print(f"base.{module} [private MB] {private_mb:.1f}")


async def _measure_roles(
    record_count: int, interval_s: float
) -> dict[str, IdleUsage]:
    async with Deployment.started(
        entry_count=2, agent_count=2, record_count=record_count
    ) as cluster:
        await asyncio.sleep(WARM_UP_S)
        before = {r: _read_counters(cluster, n) for r, n in ROLES.items()}
        await asyncio.sleep(interval_s)
        after = {r: _read_counters(cluster, n) for r, n in ROLES.items()}
        return {
            role: _usage_rate(before[role], after[role], interval_s)
            for role in ROLES
        }


def _read_counters(cluster: Deployment, name: str) -> IdleUsage:
    """Return the totals since the start of a process, not yet per second."""
    usage = cluster.usage(name)
    peers = cluster.link_bytes(name, PEERS) + cluster.served_pull_bytes(name)
    return IdleUsage(
        usage.cpu_s * 100,
        usage.private_kb / 1_000,
        peers / 1_000,
        cluster.link_bytes(name, STORE) / 1_000,
        cluster.link_bytes(name, SERVER) / 1_000,
    )


def _usage_rate(
    before: IdleUsage, after: IdleUsage, interval_s: float
) -> IdleUsage:
    rates = [(b - a) / interval_s for a, b in zip(before, after, strict=True)]
    return IdleUsage(*rates)._replace(private_mb=after.private_mb)


async def _report_by_agents(quick: bool, interval_s: float) -> None:
    """Print the cost of serving pulls, and the calls to the store."""
    sizes = [2, 4, 8] if quick else [2, 6, 12]
    print(
        "# sizes are agents at one entry that owns the shards; 2,400 "
        "records; a pull each 2 s, a lease renewal each 1.6 to 2 s"
    )
    cpu_percents, control_rates, call_rates, renewal_rates = [], [], [], []
    for size in sizes:
        async with Deployment.started(
            agent_count=size, record_count=2_400
        ) as cluster:
            await asyncio.sleep(WARM_UP_S)
            before = _read_counters(cluster, "entry-0")
            calls_before, calls_by_operation_before = (
                cluster.store.total_calls,
                dict(cluster.store.calls),
            )
            await asyncio.sleep(interval_s)
            rate = _usage_rate(
                before, _read_counters(cluster, "entry-0"), interval_s
            )
            cpu_percents.append(rate.cpu_percent)
            control_rates.append(rate.peers_kb)
            call_rates.append(
                (cluster.store.total_calls - calls_before) / interval_s
            )
            renewals = cluster.store.calls["lease/keepalive"]
            renewal_rates.append(
                (
                    renewals
                    - calls_by_operation_before.get("lease/keepalive", 0)
                )
                / interval_s
            )
    print_fit("agents.entry_cpu", "percent", sizes, cpu_percents)
    print_fit("agents.entry_control", "kB/s", sizes, control_rates)
    print_fit("agents.store_calls", "calls/s", sizes, call_rates)
    print_fit("agents.lease_renewals", "calls/s", sizes, renewal_rates)


async def _report_by_shards(quick: bool, interval_s: float) -> None:
    """Print the calls to the store and the CPU time of a shard owner."""
    sizes = [2, 4, 8] if quick else [4, 8, 16]
    print("# sizes are claim shards of one owner")
    call_rates, cpu_percents = [], []
    for size in sizes:
        async with Deployment.started(
            agent_count=0, claim_settings={"shards": size}
        ) as cluster:
            await asyncio.sleep(WARM_UP_S)
            calls_before = cluster.store.total_calls
            before = _read_counters(cluster, "entry-0")
            await asyncio.sleep(interval_s)
            after = _read_counters(cluster, "entry-0")
            call_rates.append(
                (cluster.store.total_calls - calls_before) / interval_s
            )
            cpu_percents.append(
                _usage_rate(before, after, interval_s).cpu_percent
            )
    print_fit("shards.store_calls", "calls/s", sizes, call_rates)
    print_fit("shards.owner_cpu", "percent", sizes, cpu_percents)
