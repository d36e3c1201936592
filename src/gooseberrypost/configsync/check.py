"""Consistency check of the records of a configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from gooseberrypost.errors import NotRun
from gooseberrypost.sheet.check import check_rows
from gooseberrypost.sheet.schedule import rows_from_records
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
    """Records contradict each other or refer to missing records."""

    code = "inconsistent_records"
    http_status = 400

    def __init__(self, problems: list[RecordProblem]) -> None:
        super().__init__("\n".join(str(problem) for problem in problems))
        self.keys = sorted(
            {key for problem in problems for key in problem.keys}
        )


class RecordProblem(NamedTuple):
    """An inconsistency, with the keys of the records concerned."""

    keys: list[str]
    message: str

    def __str__(self) -> str:
        return f"{' and '.join(self.keys)}: {self.message}"


def check_records(
    records: Mapping[str, Record], now_ms: int
) -> InconsistentRecords | None:
    """Return a failure that lists every inconsistency, or ``None``."""
    problems = list(_engine_problems(records))
    rows = rows_from_records(records)
    keys = [f"schedule/{row.to_record().name}" for row in rows]
    for problem in check_rows(rows, records, now_ms):
        numbers = [n for n in (problem.row, problem.conflicting_row) if n]
        message = f"{problem.column}: {problem.message}"
        problems.append(RecordProblem([keys[n - 1] for n in numbers], message))
    return InconsistentRecords(problems) if problems else None


def _engine_problems(
    records: Mapping[str, Record],
) -> Iterator[RecordProblem]:
    for key, record in records.items():
        if isinstance(record, EngineRecord):
            for message in _engine_messages(record, records):
                yield RecordProblem([key], message)


def _engine_messages(
    engine: EngineRecord, records: Mapping[str, Record]
) -> Iterator[str]:
    service = records.get(f"service/{engine.service}")
    if not isinstance(service, ServiceRecord):
        yield f"service: {engine.service!r} does not exist"
        return
    plain = engine.role == EngineRole.PLAIN
    if plain != (service.kind == Kind.PLAIN):
        yield f"role: {engine.role!r} in a {service.kind} service"
    if engine.model and engine.model not in service.models:
        yield f"model: {engine.model!r} is not served by the service"
