r"""Parses the sheet, a CSV file that planners export from a spreadsheet.

>>> text = "day;service;engine;role;model;from;to;time zone\n"
>>> text += "Monday;s;e1;decode;m;23:00;01:00;Europe/Bratislava\n"
>>> parse_sheet(text.encode(), "sheet.csv").unwrap()[0].end_minute
1500
"""

from __future__ import annotations

import csv
import datetime
import io
import re
import zoneinfo
from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result

from gooseberrypost.sheet.rows import (
    DAY_MINUTES,
    WEEKDAYS,
    SheetInvalid,
    SheetProblem,
    SheetRow,
)
from gooseberrypost.state.records import ScheduleRecord

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

MAX_SHEET_BYTES: Final = 4 * 1024 * 1024
COLUMNS: Final = (
    "day",
    "service",
    "engine",
    "role",
    "model",
    "from",
    "to",
    "time zone",
)
_ALIASES: Final = {
    "weekday": "day",
    "date": "day",
    "timezone": "time zone",
    "time_zone": "time zone",
}
_NAME_PATTERN: Final = re.compile(r"[^\x00-\x20/]{1,128}")
_TIME_PATTERN: Final = re.compile(r"([0-9]{1,2}):([0-9]{2})")


def parse_sheet(
    data: bytes, file: str
) -> Result[list[SheetRow], SheetInvalid]:
    """Parse a sheet; on failure, return the problems of all rows."""
    if len(data) > MAX_SHEET_BYTES:
        message = f"sheet of {len(data)} bytes exceeds {MAX_SHEET_BYTES}"
        return _error(file, [SheetProblem(1, "", message)])
    try:
        text = data.decode("utf-8-sig")
    except UnicodeDecodeError as exc:
        row = data.count(b"\n", 0, exc.start) + 1
        return _error(file, [SheetProblem(row, "", "is not valid UTF-8")])
    reader = csv.reader(
        io.StringIO(text, newline=""), delimiter=_detect_delimiter(text)
    )
    try:
        lines = [(reader.line_num, cells) for cells in reader if any(cells)]
    except csv.Error as exc:
        return _error(file, [SheetProblem(reader.line_num, "", str(exc))])
    if not lines:
        return _error(file, [SheetProblem(1, "", "the sheet is empty")])
    return _parse_lines(lines, file)


def row_from_record(record: ScheduleRecord, row: int) -> SheetRow | None:
    """Return the row of a stored record; ``None`` if it is not valid."""
    row_parser = _RowParser(
        row,
        {
            "day": record.day,
            "service": record.service,
            "engine": record.engine,
            "role": record.role,
            "model": record.model,
            "from": record.starts,
            "to": record.ends,
            "time zone": record.time_zone,
        },
    )
    parsed = row_parser.parse()
    return None if row_parser.problems else parsed


def _detect_delimiter(text: str) -> str:
    header = text.lstrip("\r\n").splitlines()[:1]
    return max(";,\t", key=header[0].count) if header else ";"


def _error(
    file: str, problems: Sequence[SheetProblem]
) -> Result[list[SheetRow], SheetInvalid]:
    return Err(SheetInvalid(file, problems))


def _parse_lines(
    lines: list[tuple[int, list[str]]], file: str
) -> Result[list[SheetRow], SheetInvalid]:
    header_row, header = lines[0]
    names = [_column_name(cell) for cell in header]
    problems = list(_header_problems(header_row, names))
    if problems:
        return _error(file, problems)
    rows = []
    for number, cells in lines[1:]:
        if len(cells) > len(names) and any(cells[len(names) :]):
            message = f"has {len(cells)} cells for {len(names)} columns"
            problems.append(SheetProblem(number, "", message))
        padded = cells + [""] * (len(names) - len(cells))
        row_parser = _RowParser(number, dict(zip(names, padded, strict=False)))
        rows.append(row_parser.parse())
        problems += row_parser.problems
    return _error(file, problems) if problems else Ok(rows)


def _column_name(cell: str) -> str:
    name = " ".join(cell.strip().lower().split())
    return _ALIASES.get(name, name)


def _header_problems(row: int, names: list[str]) -> Iterator[SheetProblem]:
    for name in COLUMNS:
        if names.count(name) != 1:
            message = (
                "is missing" if name not in names else "occurs more than once"
            )
            yield SheetProblem(row, name, message)
    for name in names:
        if name and name not in COLUMNS:
            yield SheetProblem(row, name, "is not a known column")


class _RowParser:
    """Parses the cells of one row and collects their problems."""

    def __init__(self, row: int, cells: dict[str, str]) -> None:
        self.problems: list[SheetProblem] = []
        self._row = row
        self._cells = {name: cell.strip() for name, cell in cells.items()}

    def parse(self) -> SheetRow:
        start_minute = self._parse_minutes("from", DAY_MINUTES - 1)
        end_minute = self._parse_minutes("to", DAY_MINUTES)
        if start_minute == end_minute and not self.problems:
            self._report(
                "to", "equals 'from'; use 00:00 to 24:00 for a full day"
            )
        if end_minute < start_minute:
            end_minute += DAY_MINUTES
        return SheetRow(
            self._row,
            self._parse_day(),
            self._parse_name("service"),
            self._parse_name("engine"),
            self._parse_role(),
            self._parse_name("model"),
            start_minute,
            end_minute,
            self._parse_time_zone(),
        )

    def _report(self, column: str, message: str) -> None:
        self.problems.append(SheetProblem(self._row, column, message))

    def _parse_name(self, column: str) -> str:
        text = self._cells[column]
        if _NAME_PATTERN.fullmatch(text) is None:
            self._report(column, f"{text!r} is not a valid name")
        return text

    def _parse_day(self) -> str:
        text = self._cells["day"].lower()
        for weekday in WEEKDAYS:
            if text in (weekday, weekday[:3]):
                return weekday
        try:
            day = datetime.date.fromisoformat(text)
        except ValueError:
            day = None
        # Rows are evaluated with the days around them, which the first and
        # last dates that ``datetime`` supports do not have.
        if day is None or not 2000 <= day.year <= 2999:
            self._report(
                "day", f"{text!r} is not a date YYYY-MM-DD or weekday"
            )
            return WEEKDAYS[0]
        return day.isoformat()

    def _parse_role(self) -> str:
        text = self._cells["role"].lower()
        if text not in ("prefill", "decode"):
            self._report("role", f"{text!r} is not prefill or decode")
        return text

    def _parse_minutes(self, column: str, latest: int) -> int:
        text = self._cells[column]
        match = _TIME_PATTERN.fullmatch(text)
        minutes = int(match[1]) * 60 + int(match[2]) if match else -1
        if match is None or int(match[2]) > 59 or minutes > latest:
            self._report(column, f"{text!r} is not a valid time HH:MM")
            return 0
        return minutes

    def _parse_time_zone(self) -> str:
        text = self._cells["time zone"]
        try:
            zoneinfo.ZoneInfo(text)
        except (zoneinfo.ZoneInfoNotFoundError, ValueError, OSError):
            self._report("time zone", f"{text!r} is not an IANA time zone")
        return text
