"""Faults that a scenario schedules on the virtual clock."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from gooseberrypost.state.records import EngineRole

if TYPE_CHECKING:
    from gooseberrypost.bench.engines import FakeEngine
    from gooseberrypost.bench.system import System

FAULT_AT_MS: Final = 40_000.0
REPAIRED_AT_MS: Final = 70_000.0
SLOW_SPEED: Final = 0.3
LOSSY_LINK: Final = 0.05
STALLED_MS: Final = 5_000.0
NOTICE_MS: Final = 5.0
SILENT_NOTICE_MS: Final = 1_500.0


def _by_role(system: System, role: str) -> list[FakeEngine]:
    return [e for e in system.engines.values() if e.spec.role == role]


def none(system: System) -> None:
    """Leave everything as it is."""


def slow_prefill(system: System) -> None:
    """Slow one prefill engine down; it stays alive."""
    _slow(system, _by_role(system, EngineRole.PREFILL)[0])


def slow_decode(system: System) -> None:
    """Slow one decode engine down; it stays alive."""
    _slow(system, _by_role(system, EngineRole.DECODE)[0])


def _slow(system: System, engine: FakeEngine) -> None:
    system.clock.at(FAULT_AT_MS, lambda: engine.set_speed(SLOW_SPEED))
    system.clock.at(REPAIRED_AT_MS, lambda: engine.set_speed(1.0))


def bad_link(system: System) -> None:
    """Make the import link of one decode engine lossy, then stalled."""
    flows = _by_role(system, EngineRole.DECODE)[0].flows
    middle = (FAULT_AT_MS + REPAIRED_AT_MS) / 2
    system.clock.at(FAULT_AT_MS, lambda: flows.set_factor(LOSSY_LINK))
    system.clock.at(middle, lambda: flows.set_factor(0.0))
    system.clock.at(middle + STALLED_MS, lambda: flows.set_factor(LOSSY_LINK))
    system.clock.at(REPAIRED_AT_MS, lambda: flows.set_factor(1.0))


def zone_lost(system: System) -> None:
    """Lose the last availability zone of each region for good."""
    zones = {}
    for entry in system.entries:
        zones[entry.region] = entry.zone
    lost = set(zones.values())

    def strike() -> None:
        for entry in system.entries:
            if entry.zone in lost:
                entry.die()
        for engine in system.engines.values():
            if engine.spec.zone in lost:
                engine.die(silent=True, notice_ms=SILENT_NOTICE_MS)

    system.clock.at(FAULT_AT_MS, strike)


def half_gone(system: System) -> None:
    """Crash every second engine of each role; callers send again."""
    system.resends = True

    def strike() -> None:
        for role in (EngineRole.PREFILL, EngineRole.DECODE):
            for engine in _by_role(system, role)[::2]:
                engine.die(notice_ms=NOTICE_MS)

    system.clock.at(FAULT_AT_MS, strike)
