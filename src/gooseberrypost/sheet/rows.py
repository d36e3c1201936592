"""Rows of the planners' sheet and their validation errors."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from gooseberrypost.errors import Failure
from gooseberrypost.state.records import ScheduleRecord

if TYPE_CHECKING:
    from collections.abc import Sequence

WEEKDAYS: Final = (
    "monday",
    "tuesday",
    "wednesday",
    "thursday",
    "friday",
    "saturday",
    "sunday",
)
DAY_MINUTES: Final = 24 * 60


@dataclass(slots=True, frozen=True)
class SheetProblem:
    """A validation error in one cell or row of a sheet."""

    row: int
    """``SheetRow.row`` of the row concerned, or a line of the file."""
    column: str
    """Column name; empty for an error that concerns a row or the file."""
    message: str
    conflicting_row: int = 0
    """``SheetRow.row`` of the row that it conflicts with; 0 for none."""

    def __str__(self) -> str:
        return f"row {self.row}, column {self.column!r}: {self.message}"


class SheetInvalid(Failure):
    """The sheet failed validation; lists every problem."""

    code = "sheet_invalid"
    http_status = 400

    def __init__(self, file: str, problems: Sequence[SheetProblem]) -> None:
        super().__init__(
            "\n".join(f"{file}: {problem}" for problem in problems)
        )
        self.problems = tuple(problems)


@dataclass(slots=True, frozen=True)
class SheetRow:
    """A parsed row; its hours are in minutes after local midnight."""

    row: int
    """Line number in the file, or position among the records, from 1."""
    day: str
    """ISO date, or English weekday in lower case."""
    service: str
    engine: str
    role: str
    model: str
    start_minute: int
    end_minute: int
    """At most 24 hours after the start; over 24:00 is on the next day."""
    time_zone: str

    @property
    def is_dated(self) -> bool:
        """Whether the row is for a date, which overrides weekday rows."""
        return self.day not in WEEKDAYS

    def to_record(self) -> ScheduleRecord:
        """Return a record that is named by day, engine and start time."""
        starts = format_minutes(self.start_minute)
        end_minute = self.end_minute
        if end_minute > DAY_MINUTES:
            end_minute -= DAY_MINUTES
        return ScheduleRecord(
            f"{self.day}/{self.engine}/{starts}",
            self.day,
            self.service,
            self.engine,
            self.role,
            self.model,
            starts,
            format_minutes(end_minute),
            self.time_zone,
        )


def format_minutes(minutes: int) -> str:
    """Format minutes after midnight as ``HH:MM``.

    >>> format_minutes(1440)
    '24:00'
    """
    return f"{minutes // 60:02}:{minutes % 60:02}"
