"""Fault injection: faults scheduled on the virtual clock."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from gooseberrypost.state.records import EngineRole

if TYPE_CHECKING:
    from gooseberrypost.bench.engines import SimulatedEngine
    from gooseberrypost.bench.simulation import Simulation

FAULT_AT_MS: Final = 40_000.0
REPAIR_AT_MS: Final = 70_000.0
SLOW_ENGINE_SPEED: Final = 0.3
"""Speed of a slow engine, as a share of the nominal speed."""
LOSSY_LINK_SPEED: Final = 0.05
"""Throughput of a lossy link, as a share of the nominal throughput."""
STALL_DURATION_MS: Final = 5_000.0
CRASH_DETECTION_MS: Final = 5.0
"""Time until entries notice the closed connections of an engine."""
SILENT_FAILURE_DETECTION_MS: Final = 1_500.0
"""Time until entries notice an engine that closed no connections."""


def _by_role(simulation: Simulation, role: str) -> list[SimulatedEngine]:
    return [e for e in simulation.engines.values() if e.spec.role == role]


def no_fault(simulation: Simulation) -> None:
    """Inject no fault."""


def slow_prefill(simulation: Simulation) -> None:
    """Slow down one prefill engine, which stays up."""
    _slow(simulation, _by_role(simulation, EngineRole.PREFILL)[0])


def slow_decode(simulation: Simulation) -> None:
    """Slow down one decode engine, which stays up."""
    _slow(simulation, _by_role(simulation, EngineRole.DECODE)[0])


def _slow(simulation: Simulation, engine: SimulatedEngine) -> None:
    simulation.clock.call_at(
        FAULT_AT_MS, lambda: engine.set_speed(SLOW_ENGINE_SPEED)
    )
    simulation.clock.call_at(REPAIR_AT_MS, lambda: engine.set_speed(1.0))


def degrade_link(simulation: Simulation) -> None:
    """Degrade the import link of one decode engine, with a stall midway."""
    transfers = _by_role(simulation, EngineRole.DECODE)[0].transfers
    stall_at_ms = (FAULT_AT_MS + REPAIR_AT_MS) / 2
    simulation.clock.call_at(
        FAULT_AT_MS, lambda: transfers.set_speed_factor(LOSSY_LINK_SPEED)
    )
    simulation.clock.call_at(
        stall_at_ms, lambda: transfers.set_speed_factor(0.0)
    )
    simulation.clock.call_at(
        stall_at_ms + STALL_DURATION_MS,
        lambda: transfers.set_speed_factor(LOSSY_LINK_SPEED),
    )
    simulation.clock.call_at(
        REPAIR_AT_MS, lambda: transfers.set_speed_factor(1.0)
    )


def lose_zone(simulation: Simulation) -> None:
    """Take down the last availability zone of each region permanently."""
    zones = {}
    for entry in simulation.entries:
        zones[entry.region] = entry.zone
    lost = set(zones.values())

    def inject() -> None:
        for entry in simulation.entries:
            if entry.zone in lost:
                entry.crash()
        for engine in simulation.engines.values():
            if engine.spec.zone in lost:
                engine.crash(
                    silent=True, detection_ms=SILENT_FAILURE_DETECTION_MS
                )

    simulation.clock.call_at(FAULT_AT_MS, inject)


def crash_half(simulation: Simulation) -> None:
    """Crash every second engine of each role; callers resend requests."""
    simulation.callers_resend = True

    def inject() -> None:
        for role in (EngineRole.PREFILL, EngineRole.DECODE):
            for engine in _by_role(simulation, role)[::2]:
                engine.crash(detection_ms=CRASH_DETECTION_MS)

    simulation.clock.call_at(FAULT_AT_MS, inject)
