"""Faults of a chaos run: drawn from a seed, then applied to a cluster.

>>> schedule = draw(random.Random(1), 20.0)
>>> schedule == draw(random.Random(1), 20.0)
True
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from result import Err

from gooseberrypost.configsync.apply import Applier
from gooseberrypost.state.records import AccountRecord

if TYPE_CHECKING:
    from tests.scenarios.chaos import Chaos

GROUPS = {
    "entry": ("e1", "e2", "e3"),
    "prefill": ("p1", "p2"),
    "decode": ("d1", "d2", "d3"),
    "plain": ("b1", "b2"),
}
AGENTS = (*GROUPS["prefill"], *GROUPS["decode"], *GROUPS["plain"])
ENGINES = (*GROUPS["prefill"], *GROUPS["decode"])
PROCESSES = (*GROUPS["entry"], *AGENTS)
MAX_ACTIVE_FAULTS = 3
RECOVERY_S = 1.0
"""Time after a fault in which its target counts as still affected."""
MEAN_INTERVAL_S = 0.7


@dataclass(frozen=True)
class FaultKind:
    """A kind of fault: relative weight, possible targets and duration."""

    weight: int
    targets: tuple[str, ...]
    shortest_s: float
    longest_s: float
    disables: bool = True
    """Whether the target cannot serve during the fault."""


KINDS = {
    "kill": FaultKind(4, PROCESSES, 0.2, 4.0),
    "freeze": FaultKind(4, PROCESSES, 0.5, 6.0),
    "cut": FaultKind(3, AGENTS, 0.2, 5.0),
    "stall": FaultKind(3, AGENTS, 0.5, 6.0),
    "cut_store": FaultKind(2, PROCESSES, 0.5, 5.0, False),
    "stall_store": FaultKind(2, PROCESSES, 0.5, 5.0, False),
    "crash": FaultKind(2, ENGINES, 0.5, 0.5),
    "link": FaultKind(2, GROUPS["decode"], 0.3, 3.0),
    "slow": FaultKind(2, GROUPS["plain"], 1.0, 4.0, False),
    "drop": FaultKind(2, GROUPS["plain"], 0.3, 2.0),
    "leaving": FaultKind(2, AGENTS, 1.0, 4.0),
    "caller": FaultKind(3, ("callers",), 0.0, 0.0, False),
    "store_down": FaultKind(2, ("store",), 0.5, 6.0, False),
    "store_slow": FaultKind(1, ("store",), 0.5, 4.0, False),
    "store_lose": FaultKind(2, ("store",), 0.1, 0.1, False),
    "configure": FaultKind(2, ("operator",), 0.0, 0.0, False),
    "poison": FaultKind(1, ("poison",), 3.0, 3.0, False),
}


@dataclass(frozen=True)
class Fault:
    """One fault of a schedule; times in seconds since the start."""

    at_s: float
    until_s: float
    kind: str
    target: str
    size: float
    """Strength, uniform in 0 to 1; its meaning depends on the kind."""

    def __str__(self) -> str:
        return (
            f"{self.at_s:6.2f}-{self.until_s:6.2f} {self.kind} "
            f"{self.target} size={self.size:.2f}"
        )


def draw(rng: random.Random, seconds: float) -> list[Fault]:
    """Draw a schedule of faults.

    A fault is left out if ``MAX_ACTIVE_FAULTS`` are active, its target is
    still affected by another one, or it would disable a whole group.
    """
    schedule: list[Fault] = []
    now_s = 1.0
    while now_s < seconds:
        kind = rng.choices(
            list(KINDS), [kind.weight for kind in KINDS.values()]
        )[0]
        limits = KINDS[kind]
        target = rng.choice(limits.targets)
        duration_s = rng.uniform(limits.shortest_s, limits.longest_s)
        until_s = min(now_s + duration_s, seconds)
        fault = Fault(now_s, until_s, kind, target, rng.random())
        if _allowed(schedule, fault):
            schedule.append(fault)
        now_s += rng.expovariate(1 / MEAN_INTERVAL_S)
    return schedule


def _allowed(schedule: list[Fault], fault: Fault) -> bool:
    active = [f for f in schedule if f.until_s + RECOVERY_S > fault.at_s]
    if sum(f.until_s > fault.at_s for f in active) >= MAX_ACTIVE_FAULTS:
        return False
    if fault.target in {f.target for f in active}:
        return False
    disabled = {f.target for f in active if KINDS[f.kind].disables}
    if fault.kind == "poison":
        return not disabled & set(ENGINES)
    if KINDS[fault.kind].disables:
        disabled.add(fault.target)
    return not any(set(group) <= disabled for group in GROUPS.values())


async def apply(chaos: Chaos, fault: Fault):
    """Inject a fault, wait until its end, and heal it."""
    begin, end = ACTIONS[fault.kind]
    await begin(chaos, fault)
    try:
        await chaos.sleep_until(fault.until_s)
    finally:
        await end(chaos, fault)


async def _kill(chaos: Chaos, fault: Fault):
    chaos.mark_down(fault.target)
    chaos.cluster.processes[fault.target].kill()


async def _restart(chaos: Chaos, fault: Fault):
    chaos.cluster.processes[fault.target].start()
    chaos.spawn(chaos.mark_up_when_ready(fault.target))


async def _freeze(chaos: Chaos, fault: Fault):
    chaos.mark_frozen(fault.target, chaos.now_s)
    chaos.cluster.freeze(fault.target)


async def _thaw(chaos: Chaos, fault: Fault):
    chaos.cluster.thaw(fault.target)
    chaos.mark_thawed(fault.target, chaos.now_s)


def _relay(action: str, prefix: str = ""):
    async def act(chaos: Chaos, fault: Fault):
        getattr(chaos.cluster.relays[prefix + fault.target], action)()

    return act


def _switch(name: str, value: Callable[[float], object]):
    async def act(chaos: Chaos, fault: Fault):
        chaos.cluster.servers[fault.target].switch(name, value(fault.size))

    return act


async def _disconnect_caller(chaos: Chaos, fault: Fault):
    await chaos.traffic.disconnect_one(fault.size)


async def _poison(chaos: Chaos, fault: Fault):
    chaos.traffic.send_poison(fault.size)


async def _stop_store(chaos: Chaos, fault: Fault):
    chaos.cluster.store.set_down(True)


async def _slow_store(chaos: Chaos, fault: Fault):
    chaos.cluster.store.slow_ms = int(20 + 480 * fault.size)


async def _lose_store_answers(chaos: Chaos, fault: Fault):
    chaos.cluster.store.lose_answers += 1 + int(4 * fault.size)


async def _heal_store(chaos: Chaos, fault: Fault):
    chaos.cluster.store.slow_ms = 0
    chaos.cluster.store.set_down(False)


async def _configure(chaos: Chaos, fault: Fault):
    chaos.spawn(_change_configuration(chaos, fault))


async def _change_configuration(chaos: Chaos, fault: Fault):
    record = AccountRecord("chaos", burst=1 + int(1_000 * fault.size))
    accepted = await Applier(chaos.cluster.store).apply(
        {"account/chaos": record}, f"chaos-{time.monotonic_ns()}"
    )
    if isinstance(accepted, Err):
        chaos.log(f"configuration change rejected: {accepted.err_value}")


async def _do_nothing(chaos: Chaos, fault: Fault):
    await asyncio.sleep(0)


ACTIONS = {
    "kill": (_kill, _restart),
    "freeze": (_freeze, _thaw),
    "cut": (_relay("cut"), _relay("heal")),
    "stall": (_relay("stall"), _relay("heal")),
    "cut_store": (_relay("cut", "store-"), _relay("heal", "store-")),
    "stall_store": (_relay("stall", "store-"), _relay("heal", "store-")),
    "crash": (_switch("crash", bool), _do_nothing),
    "link": (
        _switch("stall", lambda size: True),
        _switch("stall", lambda size: False),
    ),
    "slow": (
        _switch("slow_ms", lambda size: int(200 + 2_000 * size)),
        _switch("slow_ms", lambda size: 0),
    ),
    "drop": (
        _switch("drop", lambda size: True),
        _switch("drop", lambda size: False),
    ),
    "leaving": (
        _switch("leaving", lambda size: True),
        _switch("leaving", lambda size: False),
    ),
    "caller": (_disconnect_caller, _do_nothing),
    "store_down": (_stop_store, _heal_store),
    "store_slow": (_slow_store, _heal_store),
    "store_lose": (_lose_store_answers, _do_nothing),
    "configure": (_configure, _do_nothing),
    "poison": (_poison, _do_nothing),
}
