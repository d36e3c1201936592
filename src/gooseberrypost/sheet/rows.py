"""Rows of the planners' sheet and what is wrong with them."""

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
    """One fault of a sheet, by row and column."""

    row: int
    """Line in the file, from 1."""
    column: str
    message: str
    other_row: int = 0
    """Row that this one contradicts; 0: none."""

    def __str__(self) -> str:
        return f"row {self.row}, column {self.column!r}: {self.message}"


class SheetInvalid(Failure):
    """A sheet has problems, all of which are listed."""

    code = "sheet_invalid"
    http_status = 400

    def __init__(self, file: str, problems: Sequence[SheetProblem]) -> None:
        super().__init__("\n".join(f"{file}: {one}" for one in problems))
        self.problems = tuple(problems)


@dataclass(slots=True, frozen=True)
class SheetRow:
    """One row, with its hours in minutes of the local day."""

    row: int
    day: str
    """ISO date or lower-case English weekday."""
    service: str
    engine: str
    role: str
    model: str
    starts: int
    ends: int
    """At most 24:00 after ``starts``; over 24:00 ends on the next day."""
    time_zone: str

    @property
    def is_dated(self) -> bool:
        """Whether the row is for one date, and so overrides weekdays."""
        return self.day not in WEEKDAYS

    def to_record(self) -> ScheduleRecord:
        """Record whose name identifies the row by day, engine and start."""
        starts = format_minutes(self.starts)
        ends = self.ends
        if ends > DAY_MINUTES:
            ends -= DAY_MINUTES
        return ScheduleRecord(
            f"{self.day}/{self.engine}/{starts}",
            self.day,
            self.service,
            self.engine,
            self.role,
            self.model,
            starts,
            format_minutes(ends),
            self.time_zone,
        )


def format_minutes(minutes: int) -> str:
    """Minutes of a day as ``HH:MM``.

    >>> format_minutes(1440)
    '24:00'
    """
    return f"{minutes // 60:02}:{minutes % 60:02}"
