"""Role and model of each engine at an instant, and when they change next.

A row belongs to the day on which it starts: Monday 23:00 to 01:00 ends on
Tuesday. A row for a date takes precedence over rows for weekdays, and a row
that starts later over one that starts earlier; the latter only happens where
two adjoining rows meet in a repeated hour.
"""

from __future__ import annotations

from datetime import date, timedelta
from typing import TYPE_CHECKING, Final, NamedTuple

from gooseberrypost.sheet.calendar import END, START, instant_ms, local_date
from gooseberrypost.sheet.parser import row_of_record
from gooseberrypost.sheet.rows import WEEKDAYS, SheetRow
from gooseberrypost.state.records import EngineRecord, ScheduleRecord

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from gooseberrypost.state.records import Record

LOOK_AHEAD_DAYS: Final = 8


class Assignment(NamedTuple):
    """What an engine does at an instant."""

    role: str
    model: str


class Span(NamedTuple):
    """A row on one day, from ``start_ms`` to before ``end_ms``."""

    start_ms: int
    end_ms: int
    row: SheetRow


class Schedule:
    """Rows by engine over the defaults of the engine records."""

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
        """Schedule of a configuration's records."""
        engines = [r for r in records.values() if isinstance(r, EngineRecord)]
        return cls(rows_of(records), engines)

    def at(self, engine: str, now_ms: int) -> Assignment | None:
        """Role and model at an instant; ``None`` for an unknown engine."""
        active = [
            span
            for span in self._spans(engine, now_ms, 1)
            if span.start_ms <= now_ms < span.end_ms
        ]
        if not active:
            return self._defaults.get(engine)
        row = max(active, key=lambda s: (s.row.is_dated, s.start_ms)).row
        return Assignment(row.role, row.model)

    def next_change(self, engine: str, now_ms: int) -> int | None:
        """First instant after ``now_ms`` at which the assignment differs.

        ``None`` when nothing changes within ``LOOK_AHEAD_DAYS``.
        """
        current = self.at(engine, now_ms)
        for edge_ms in self.edges(engine, now_ms, LOOK_AHEAD_DAYS):
            if edge_ms > now_ms and self.at(engine, edge_ms) != current:
                return edge_ms
        return None

    def edges(self, engine: str, now_ms: int, days: int) -> list[int]:
        """Return starts and ends of rows around the coming days."""
        edges = set()
        for span in self._spans(engine, now_ms, days):
            edges.update((span.start_ms, span.end_ms))
        return sorted(edges)

    def _spans(self, engine: str, now_ms: int, days: int) -> Iterator[Span]:
        for row in self._rows.get(engine, ()):
            today = local_date(row.time_zone, now_ms)
            for ahead in range(-2, days + 1):
                span = _span(row, today + timedelta(days=ahead))
                if span is not None:
                    yield span


def rows_of(records: Mapping[str, Record]) -> list[SheetRow]:
    """Rows of the schedule records, in the order of their keys."""
    found = []
    for key in sorted(records):
        record = records[key]
        if isinstance(record, ScheduleRecord):
            row = row_of_record(record, len(found) + 1)
            if row is not None:
                found.append(row)
    return found


def _span(row: SheetRow, day: date) -> Span | None:
    if row.day not in (WEEKDAYS[day.weekday()], day.isoformat()):
        return None
    start_ms = instant_ms(row.time_zone, day, row.starts, START)
    end_ms = instant_ms(row.time_zone, day, row.ends, END)
    # Both ends of a row inside the skipped hour are the same instant.
    return Span(start_ms, end_ms, row) if start_ms < end_ms else None
