"""Checks the rows of a sheet against each other and the configuration."""

from __future__ import annotations

from collections import Counter
from datetime import UTC, date, datetime
from itertools import combinations, groupby
from typing import TYPE_CHECKING, Final

from gooseberrypost.sheet.calendar import START, instant_ms
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
WEEK_DAYS: Final = 8
"""One day more than a week, for rows that cross midnight."""


def check_rows(
    rows: Sequence[SheetRow], records: Mapping[str, Record], now_ms: int
) -> list[SheetProblem]:
    """Return overlaps, gaps and unknown names, by row.

    Gaps are looked for in the week after ``now_ms`` and around each date of
    the sheet.
    """
    problems = [p for row in rows for p in _unknown_names(row, records)]
    problems += _overlaps(rows)
    if not problems:
        problems += _gaps(rows, records, now_ms)
    return sorted(problems, key=lambda problem: problem.row)


def _unknown_names(
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
        message = f"{row.engine!r} belongs to {engine.service!r}"
        yield SheetProblem(row.row, "engine", message)


def _overlaps(rows: Sequence[SheetRow]) -> Iterator[SheetProblem]:
    by_engine: dict[str, list[SheetRow]] = {}
    for row in rows:
        by_engine.setdefault(row.engine, []).append(row)
    for group in by_engine.values():
        for first, second in combinations(group, 2):
            if first.time_zone != second.time_zone:
                # Local hours of two zones cannot be compared week by week.
                message = f"differs from row {first.row} of the same engine"
                yield SheetProblem(second.row, "time zone", message, first.row)
            elif _overlap(first, second):
                hours = f"{format_minutes(first.starts)} on {first.day}"
                message = f"overlaps row {first.row}, which starts {hours}"
                yield SheetProblem(second.row, "from", message, first.row)


def _overlap(first: SheetRow, second: SheetRow) -> bool:
    if first.is_dated != second.is_dated:
        return False
    distance = _start(second) - _start(first)
    if first.is_dated:
        return -_length(second) < distance < _length(first)
    distance %= WEEK_MINUTES
    return distance < _length(first) or (
        WEEK_MINUTES - distance < _length(second)
    )


def _start(row: SheetRow) -> int:
    """Minutes from a fixed day to the start of a row."""
    if row.is_dated:
        day = date.fromisoformat(row.day).toordinal()
    else:
        day = WEEKDAYS.index(row.day)
    return day * DAY_MINUTES + row.starts


def _length(row: SheetRow) -> int:
    return row.ends - row.starts


def _gaps(
    rows: Sequence[SheetRow], records: Mapping[str, Record], now_ms: int
) -> Iterator[SheetProblem]:
    engines = [r for r in records.values() if isinstance(r, EngineRecord)]
    schedule = Schedule(rows, engines)
    by_service: dict[str, list[SheetRow]] = {}
    for row in rows:
        by_service.setdefault(row.service, []).append(row)
    for service, group in by_service.items():
        names = [e.name for e in engines if e.service == service]
        yield from _service_gaps(service, group, names, schedule, now_ms)


def _service_gaps(
    service: str,
    rows: list[SheetRow],
    engines: list[str],
    schedule: Schedule,
    now_ms: int,
) -> Iterator[SheetProblem]:
    reported: set[tuple[int, str]] = set()
    for start_ms, days in _windows(rows, now_ms):
        events = _events(engines, schedule, start_ms, days)
        for edge_ms, missing in _missing_roles(events):
            row = _nearest(rows, edge_ms)
            if (row.row, missing) in reported:
                continue
            reported.add((row.row, missing))
            when = _utc(edge_ms)
            message = f"leaves {service!r} without {missing} at {when}"
            yield SheetProblem(row.row, "role", message)


def _events(
    engines: list[str], schedule: Schedule, start_ms: int, days: int
) -> list[tuple[int, str, str]]:
    """Instant, engine and its role from then on, in order of time."""
    # Rows of the day after the last one may start an hour before its nominal
    # start when the clocks change.
    end_ms = start_ms + days * DAY_MS - HOUR_MS
    events = []
    for engine in engines:
        edges = schedule.edges(engine, start_ms, days)
        inside = [e for e in edges if start_ms < e < end_ms]
        for edge_ms in (start_ms, *inside):
            assignment = schedule.at(engine, edge_ms)
            role = "" if assignment is None else assignment.role
            events.append((edge_ms, engine, role))
    return sorted(events)


def _missing_roles(
    events: list[tuple[int, str, str]],
) -> Iterator[tuple[int, EngineRole]]:
    roles: dict[str, str] = {}
    engines_in = Counter[str]()
    for edge_ms, together in groupby(events, key=lambda event: event[0]):
        for _, engine, role in together:
            engines_in[roles.get(engine, "")] -= 1
            engines_in[role] += 1
            roles[engine] = role
        for role in (EngineRole.PREFILL, EngineRole.DECODE):
            if engines_in[role] <= 0:
                yield edge_ms, role


def _windows(rows: list[SheetRow], now_ms: int) -> Iterator[tuple[int, int]]:
    yield now_ms, WEEK_DAYS
    for day, zone in sorted(
        {(r.day, r.time_zone) for r in rows if r.is_dated}
    ):
        midnight_ms = instant_ms(zone, date.fromisoformat(day), 0, START)
        yield midnight_ms, 2


def _nearest(rows: list[SheetRow], edge_ms: int) -> SheetRow:
    """Row that starts or ends at an instant, or else the first row."""
    for row in rows:
        if edge_ms in Schedule([row], []).edges(row.engine, edge_ms, 1):
            return row
    return rows[0]


def _utc(instant_ms: int) -> str:
    moment = datetime.fromtimestamp(instant_ms / 1_000, UTC)
    return moment.strftime("%Y-%m-%d %H:%M UTC")
