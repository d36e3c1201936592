"""Validates the rows of a sheet against each other and the configuration."""

from __future__ import annotations

from collections import Counter
from datetime import UTC, date, datetime
from itertools import combinations, groupby
from typing import TYPE_CHECKING, Final

from gooseberrypost.sheet.local_time import START, utc_timestamp_ms
from gooseberrypost.sheet.rows import (
    DAY_MINUTES,
    WEEKDAYS,
    SheetProblem,
    SheetRow,
    format_minutes,
)
from gooseberrypost.sheet.schedule import Schedule
from gooseberrypost.state.records import (
    EngineRecord,
    EngineRole,
    Kind,
    ServiceRecord,
)

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

    from gooseberrypost.state.records import Record

WEEK_MINUTES: Final = 7 * DAY_MINUTES
HOUR_MS: Final = 3_600_000
DAY_MS: Final = 24 * HOUR_MS
CHECK_WINDOW_DAYS: Final = 8
"""One day more than a week, to include rows that extend past midnight."""


def check_rows(
    rows: Sequence[SheetRow], records: Mapping[str, Record], now_ms: int
) -> list[SheetProblem]:
    """Return overlaps, coverage gaps and unknown names, sorted by row.

    A coverage gap is a time at which a service has no prefill or no decode
    engine. Gaps are checked in the week after ``now_ms`` and on each date of
    the sheet with the day after it, and only if nothing else is wrong.
    """
    problems = [p for row in rows for p in _unknown_references(row, records)]
    problems += _find_overlaps(rows)
    if not problems:
        problems += _find_gaps(rows, records, now_ms)
    return sorted(problems, key=lambda problem: problem.row)


def _unknown_references(
    row: SheetRow, records: Mapping[str, Record]
) -> Iterator[SheetProblem]:
    service = records.get(f"service/{row.service}")
    engine = records.get(f"engine/{row.engine}")
    if not isinstance(service, ServiceRecord):
        message = f"{row.service!r} does not exist"
        yield SheetProblem(row.row, "service", message)
    elif service.kind != Kind.MODEL:
        message = f"{row.service!r} has no prefill and decode pools"
        yield SheetProblem(row.row, "service", message)
    elif row.model not in service.models:
        message = f"{row.model!r} is not a model of {row.service!r}"
        yield SheetProblem(row.row, "model", message)
    if not isinstance(engine, EngineRecord):
        message = f"{row.engine!r} does not exist"
        yield SheetProblem(row.row, "engine", message)
    elif engine.service != row.service:
        message = f"{row.engine!r} belongs to service {engine.service!r}"
        yield SheetProblem(row.row, "engine", message)


def _find_overlaps(rows: Sequence[SheetRow]) -> Iterator[SheetProblem]:
    by_engine: dict[str, list[SheetRow]] = {}
    for row in rows:
        by_engine.setdefault(row.engine, []).append(row)
    for engine_rows in by_engine.values():
        for first, second in combinations(engine_rows, 2):
            if first.time_zone != second.time_zone:
                # The offset between two zones varies over the year, so
                # local hours cannot be compared week by week.
                message = f"differs from row {first.row} of the same engine"
                yield SheetProblem(second.row, "time zone", message, first.row)
            elif _rows_overlap(first, second):
                start = f"{format_minutes(first.start_minute)} on {first.day}"
                message = f"overlaps row {first.row}, which starts at {start}"
                yield SheetProblem(second.row, "from", message, first.row)


def _rows_overlap(first: SheetRow, second: SheetRow) -> bool:
    # Rows for dates override rows for weekdays, so these do not conflict.
    if first.is_dated != second.is_dated:
        return False
    distance = _start_minutes(second) - _start_minutes(first)
    if first.is_dated:
        return -_duration_minutes(second) < distance < _duration_minutes(first)
    distance %= WEEK_MINUTES
    return distance < _duration_minutes(first) or (
        WEEK_MINUTES - distance < _duration_minutes(second)
    )


def _start_minutes(row: SheetRow) -> int:
    """Return minutes to the start of a row, to compare rows of one kind.

    Rows for weekdays count from Monday, rows for dates from the year 1.
    """
    if row.is_dated:
        day = date.fromisoformat(row.day).toordinal()
    else:
        day = WEEKDAYS.index(row.day)
    return day * DAY_MINUTES + row.start_minute


def _duration_minutes(row: SheetRow) -> int:
    return row.end_minute - row.start_minute


def _find_gaps(
    rows: Sequence[SheetRow], records: Mapping[str, Record], now_ms: int
) -> Iterator[SheetProblem]:
    engines = [r for r in records.values() if isinstance(r, EngineRecord)]
    schedule = Schedule(rows, engines)
    by_service: dict[str, list[SheetRow]] = {}
    for row in rows:
        by_service.setdefault(row.service, []).append(row)
    for service, service_rows in by_service.items():
        engine_names = [e.name for e in engines if e.service == service]
        yield from _find_service_gaps(
            service, service_rows, engine_names, schedule, now_ms
        )


def _find_service_gaps(
    service: str,
    rows: list[SheetRow],
    engines: list[str],
    schedule: Schedule,
    now_ms: int,
) -> Iterator[SheetProblem]:
    reported: set[tuple[int, str]] = set()
    for start_ms, days in _check_windows(rows, now_ms):
        events = _role_events(engines, schedule, start_ms, days)
        for boundary_ms, missing in _missing_roles(events):
            row = _row_at_boundary(rows, boundary_ms)
            if (row.row, missing) in reported:
                continue
            reported.add((row.row, missing))
            when = _format_utc(boundary_ms)
            message = f"leaves {service!r} without {missing} engine at {when}"
            yield SheetProblem(row.row, "role", message)


def _role_events(
    engines: list[str], schedule: Schedule, start_ms: int, days: int
) -> list[tuple[int, str, str]]:
    """Return ``(time, engine, role)`` with the role from then on, sorted.

    Each engine has an event at ``start_ms`` and at each row boundary in the
    window.
    """
    # Rows of the day after the window are not evaluated. If the clock goes
    # forward within the window, they may start an hour before its nominal
    # end, so the last hour is left out.
    end_ms = start_ms + days * DAY_MS - HOUR_MS
    events = []
    for engine in engines:
        boundaries = schedule.boundaries(engine, start_ms, days)
        inside = [e for e in boundaries if start_ms < e < end_ms]
        for boundary_ms in (start_ms, *inside):
            assignment = schedule.assignment_at(engine, boundary_ms)
            role = "" if assignment is None else assignment.role
            events.append((boundary_ms, engine, role))
    return sorted(events)


def _missing_roles(
    events: list[tuple[int, str, str]],
) -> Iterator[tuple[int, EngineRole]]:
    """Yield each event time at which a role has no engine, with the role."""
    roles: dict[str, str] = {}
    engines_per_role = Counter[str]()
    for boundary_ms, simultaneous in groupby(
        events, key=lambda event: event[0]
    ):
        for _, engine, role in simultaneous:
            engines_per_role[roles.get(engine, "")] -= 1
            engines_per_role[role] += 1
            roles[engine] = role
        for role in (EngineRole.PREFILL, EngineRole.DECODE):
            if engines_per_role[role] <= 0:
                yield boundary_ms, role


def _check_windows(
    rows: list[SheetRow], now_ms: int
) -> Iterator[tuple[int, int]]:
    """Yield the start and the number of days of each window to check."""
    yield now_ms, CHECK_WINDOW_DAYS
    for day, zone in sorted(
        {(r.day, r.time_zone) for r in rows if r.is_dated}
    ):
        midnight_ms = utc_timestamp_ms(zone, date.fromisoformat(day), 0, START)
        yield midnight_ms, 2


def _row_at_boundary(rows: list[SheetRow], boundary_ms: int) -> SheetRow:
    """Return the row that starts or ends at a time, or else the first."""
    for row in rows:
        if boundary_ms in Schedule([row], []).boundaries(
            row.engine, boundary_ms, 1
        ):
            return row
    return rows[0]


def _format_utc(timestamp_ms: int) -> str:
    utc_time = datetime.fromtimestamp(timestamp_ms / 1_000, UTC)
    return utc_time.strftime("%Y-%m-%d %H:%M UTC")
