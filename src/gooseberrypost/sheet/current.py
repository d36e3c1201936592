"""Assignments at the present instant, evaluated only where they may change.

A whole evaluation of 1,400 engines each second would take more of a core
than a node may use, so the rows of an engine are read again only when its
records or its assignment change.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple, Protocol

from gooseberrypost.sheet.parser import row_of_record
from gooseberrypost.sheet.schedule import Assignment, Schedule
from gooseberrypost.state.records import EngineRecord, ScheduleRecord

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from gooseberrypost.state.records import Record

LOOK_AHEAD_DAYS: Final = 1
MAX_VALID_MS: Final = 12 * 3_600_000
"""Rows of the coming days that are looked at reach further than this."""


class ConfigurationView(Protocol):
    """What is read of the configuration section."""

    @property
    def version(self) -> int:
        """Version in force."""

    @property
    def records(self) -> Mapping[str, Record]:
        """Typed records by key."""


class _Valid(NamedTuple):
    """An assignment, and the instants between which it holds."""

    assignment: Assignment | None
    from_ms: int
    until_ms: int


class CurrentAssignments:
    """Role and model of each engine now, by name.

    ``only`` and ``service`` limit the answer to one engine, or to those of
    one service. A wall clock that is set back
    or forward is followed at the next call.
    """

    __slots__ = (
        "_clock_ms",
        "_configuration",
        "_from_ms",
        "_now",
        "_only",
        "_records",
        "_service",
        "_until_ms",
        "_valid",
        "_version",
    )

    def __init__(
        self,
        configuration: ConfigurationView,
        clock_ms: Callable[[], int],
        only: str = "",
        service: str = "",
    ) -> None:
        self._configuration = configuration
        self._clock_ms = clock_ms
        self._only = only
        self._service = service
        self._version = -1
        self._records: dict[str, list[Record]] = {}
        self._valid: dict[str, _Valid] = {}
        self._now: Mapping[str, Assignment] = {}
        self._from_ms = self._until_ms = 0

    def __call__(self) -> Mapping[str, Assignment]:
        """Return the assignments of this instant."""
        now_ms = self._clock_ms()
        changed = self._version != self._configuration.version
        if changed:
            self._version = self._configuration.version
            self._take(self._configuration.records)
        if changed or not self._from_ms <= now_ms < self._until_ms:
            self._evaluate(now_ms)
        return self._now

    def _take(self, records: Mapping[str, Record]) -> None:
        """Group the records by engine and forget what is out of date."""
        grouped: dict[str, list[Record]] = {}
        for _, record in sorted(records.items()):
            if isinstance(record, EngineRecord):
                name = record.name
            elif isinstance(record, ScheduleRecord):
                name = record.engine
            else:
                continue
            in_service = self._service in ("", record.service)
            if in_service and self._only in ("", name):
                grouped.setdefault(name, []).append(record)
        self._valid = {
            name: valid
            for name, valid in self._valid.items()
            if grouped.get(name) == self._records[name]
        }
        self._records = grouped

    def _evaluate(self, now_ms: int) -> None:
        for name, records in self._records.items():
            valid = self._valid.get(name)
            if valid is None or not valid.from_ms <= now_ms < valid.until_ms:
                self._valid[name] = _assignment(name, records, now_ms)
        self._now = {
            name: valid.assignment
            for name, valid in self._valid.items()
            if valid.assignment is not None
        }
        spans = self._valid.values()
        self._from_ms = max((v.from_ms for v in spans), default=now_ms)
        latest_ms = now_ms + MAX_VALID_MS
        self._until_ms = min((v.until_ms for v in spans), default=latest_ms)


def _assignment(name: str, records: list[Record], now_ms: int) -> _Valid:
    rows = [
        row_of_record(record, number)
        for number, record in enumerate(records, 1)
        if isinstance(record, ScheduleRecord)
    ]
    schedule = Schedule(
        [row for row in rows if row is not None],
        [r for r in records if isinstance(r, EngineRecord)],
    )
    later = [
        edge_ms
        for edge_ms in schedule.edges(name, now_ms, LOOK_AHEAD_DAYS)
        if edge_ms > now_ms
    ]
    until_ms = min([now_ms + MAX_VALID_MS, *later])
    return _Valid(schedule.at(name, now_ms), now_ms, until_ms)
