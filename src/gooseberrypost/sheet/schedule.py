"""Computes the role and model of an engine at a time, and the next change.

A row belongs to the day on which it starts: Monday 23:00 to 01:00 ends on
Tuesday. A row for a date takes precedence over rows for weekdays. Among those
of the same kind, the row that starts last takes precedence; in a valid sheet,
two of them overlap only if one ends and the other starts at a local time that
is repeated when the clock goes back.
"""

from __future__ import annotations

from datetime import date, timedelta
from typing import TYPE_CHECKING, Final, NamedTuple

from gooseberrypost.sheet.local_time import (
    END,
    START,
    local_date,
    utc_timestamp_ms,
)
from gooseberrypost.sheet.parser import row_from_record
from gooseberrypost.sheet.rows import WEEKDAYS, SheetRow
from gooseberrypost.state.records import EngineRecord, ScheduleRecord

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from gooseberrypost.state.records import Record

LOOK_AHEAD_DAYS: Final = 8
"""Days within which ``next_change`` searches."""


class Assignment(NamedTuple):
    """Role and model that the schedule assigns to an engine."""

    role: str
    model: str


class Occurrence(NamedTuple):
    """One occurrence of a row, in Unix time; ``end_ms`` is exclusive."""

    start_ms: int
    end_ms: int
    row: SheetRow


class Schedule:
    """Assignments of engines by time.

    Where no row applies, an engine has the role and model of its record.
    """

    __slots__ = ("_defaults", "_rows")

    def __init__(
        self, rows: Iterable[SheetRow], engines: Iterable[EngineRecord]
    ) -> None:
        self._defaults = {e.name: Assignment(e.role, e.model) for e in engines}
        self._rows: dict[str, list[SheetRow]] = {}
        for row in rows:
            self._rows.setdefault(row.engine, []).append(row)

    @classmethod
    def from_records(cls, records: Mapping[str, Record]) -> Schedule:
        """Create the schedule from the records of a configuration."""
        engines = [r for r in records.values() if isinstance(r, EngineRecord)]
        return cls(rows_from_records(records), engines)

    def assignment_at(self, engine: str, now_ms: int) -> Assignment | None:
        """Return the assignment at a time; ``None`` for an unknown engine."""
        active = [
            occurrence
            for occurrence in self._occurrences(engine, now_ms, 1)
            if occurrence.start_ms <= now_ms < occurrence.end_ms
        ]
        if not active:
            return self._defaults.get(engine)
        row = max(active, key=lambda o: (o.row.is_dated, o.start_ms)).row
        return Assignment(row.role, row.model)

    def next_change(self, engine: str, now_ms: int) -> int | None:
        """Return the first time after ``now_ms`` with another assignment.

        Returns ``None`` if it does not change within ``LOOK_AHEAD_DAYS``.
        """
        current = self.assignment_at(engine, now_ms)
        for boundary_ms in self.boundaries(engine, now_ms, LOOK_AHEAD_DAYS):
            if (
                boundary_ms > now_ms
                and self.assignment_at(engine, boundary_ms) != current
            ):
                return boundary_ms
        return None

    def boundaries(self, engine: str, now_ms: int, days: int) -> list[int]:
        """Return the sorted times at which rows of an engine start or end.

        Covers local days from two days ago to ``days`` from now.
        """
        boundaries = set()
        for occurrence in self._occurrences(engine, now_ms, days):
            boundaries.update((occurrence.start_ms, occurrence.end_ms))
        return sorted(boundaries)

    def _occurrences(
        self, engine: str, now_ms: int, days: int
    ) -> Iterator[Occurrence]:
        for row in self._rows.get(engine, ()):
            today = local_date(row.time_zone, now_ms)
            for day_offset in range(-2, days + 1):
                occurrence = _occurrence_on(
                    row, today + timedelta(days=day_offset)
                )
                if occurrence is not None:
                    yield occurrence


def rows_from_records(records: Mapping[str, Record]) -> list[SheetRow]:
    """Return the rows of the schedule records, sorted by record key.

    Rows are numbered from 1; damaged records are skipped.
    """
    rows = []
    for key in sorted(records):
        record = records[key]
        if isinstance(record, ScheduleRecord):
            row = row_from_record(record, len(rows) + 1)
            if row is not None:
                rows.append(row)
    return rows


def _occurrence_on(row: SheetRow, day: date) -> Occurrence | None:
    if row.day not in (WEEKDAYS[day.weekday()], day.isoformat()):
        return None
    start_ms = utc_timestamp_ms(row.time_zone, day, row.start_minute, START)
    end_ms = utc_timestamp_ms(row.time_zone, day, row.end_minute, END)
    # A row that lies inside the skipped hour starts and ends at the
    # transition, so it does not occur.
    return Occurrence(start_ms, end_ms, row) if start_ms < end_ms else None
