"""Computes the changes from the schedule in force to a sheet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gooseberrypost.state.records import ScheduleRecord

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from gooseberrypost.sheet.rows import SheetRow
    from gooseberrypost.state.records import Record


def diff_rows(
    rows: Sequence[SheetRow], records: Mapping[str, Record]
) -> dict[str, Record | None]:
    """Return the changes that make the schedule equal to the sheet.

    The changes map record keys to new records, or to ``None`` for a record
    to remove. A sheet contains the complete schedule of the services that it
    names; records of other services are not changed.
    """
    target: dict[str, Record] = {}
    for row in rows:
        record = row.to_record()
        target[f"schedule/{record.name}"] = record
    services = {row.service for row in rows}
    changes: dict[str, Record | None] = {
        key: record
        for key, record in target.items()
        if records.get(key) != record
    }
    for key, record in records.items():
        if not isinstance(record, ScheduleRecord) or key in target:
            continue
        if record.service in services:
            changes[key] = None
    return dict(sorted(changes.items()))
