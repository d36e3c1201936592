"""Roles that the planners' schedule gives to engines at present."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from gooseberrypost.sheet.schedule import Schedule
from gooseberrypost.state.records import EngineRecord, ScheduleRecord

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from gooseberrypost.entry.collaborators import ConfigurationView
    from gooseberrypost.sheet.schedule import Assignment

LOOK_AHEAD_DAYS: Final = 1
FAR_FUTURE_MS: Final = 1 << 62


class PlannedRoles:
    """Assignments by engine, computed anew only when one may change.

    The local hours of a row are costly to convert, so the result is kept
    until the configuration changes or a row starts or ends.
    """

    __slots__ = ("_assigned", "_configuration", "_until_ms", "_version")

    def __init__(self, configuration: ConfigurationView) -> None:
        self._configuration = configuration
        self._assigned: Mapping[str, Assignment] = {}
        self._version = -1
        self._until_ms = 0

    def at(self, now_ms: int) -> Mapping[str, Assignment]:
        """Return the assignments at a wall-clock time in milliseconds.

        Engines without a row are left to their records.
        """
        version = self._configuration.version
        if version != self._version or now_ms >= self._until_ms:
            self._compute(now_ms)
            self._version = version
        return self._assigned

    def reader(
        self, wall_ms: Callable[[], int]
    ) -> Callable[[], Mapping[str, Assignment]]:
        """Return a function that tells the assignments of this moment."""
        return lambda: self.at(wall_ms())

    def _compute(self, now_ms: int) -> None:
        records = self._configuration.records
        planned = {
            record.engine
            for record in records.values()
            if isinstance(record, ScheduleRecord)
        }
        engines = [
            record.name
            for record in records.values()
            if isinstance(record, EngineRecord) and record.name in planned
        ]
        schedule = Schedule.from_records(records)
        found = {name: schedule.at(name, now_ms) for name in engines}
        self._assigned = {n: a for n, a in found.items() if a is not None}
        edges = (
            edge
            for name in engines
            for edge in schedule.edges(name, now_ms, LOOK_AHEAD_DAYS)
            if edge > now_ms
        )
        self._until_ms = min(edges, default=FAR_FUTURE_MS)
