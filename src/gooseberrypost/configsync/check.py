"""Checks the records of a whole configuration against each other."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gooseberrypost.errors import NotRun
from gooseberrypost.sheet.check import check_rows
from gooseberrypost.sheet.schedule import rows_of
from gooseberrypost.state.records import (
    EngineRecord,
    EngineRole,
    Kind,
    ServiceRecord,
)

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from gooseberrypost.state.records import Record


class InconsistentRecords(NotRun):
    """Records contradict each other or refer to others that do not exist."""

    code = "inconsistent_records"
    http_status = 400


def check_records(
    records: Mapping[str, Record], now_ms: int
) -> InconsistentRecords | None:
    """Return every contradiction in one failure; ``None``: there is none."""
    found = list(_engine_problems(records))
    rows = rows_of(records)
    for problem in check_rows(rows, records, now_ms):
        row = rows[problem.row - 1]
        key = f"schedule/{row.to_record().name}"
        found.append(f"{key}: {problem.column}: {problem.message}")
    return InconsistentRecords("\n".join(found)) if found else None


def _engine_problems(records: Mapping[str, Record]) -> Iterator[str]:
    for key, record in records.items():
        if not isinstance(record, EngineRecord):
            continue
        service = records.get(f"service/{record.service}")
        if not isinstance(service, ServiceRecord):
            yield f"{key}: service: {record.service!r} does not exist"
            continue
        plain = record.role == EngineRole.PLAIN
        if plain != (service.kind == Kind.PLAIN):
            yield f"{key}: role: {record.role!r} in a {service.kind} service"
        if record.model and record.model not in service.models:
            yield f"{key}: model: {record.model!r} is not of the service"
