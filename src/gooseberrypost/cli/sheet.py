"""Commands ``sheet check``, ``diff``, ``apply`` and ``show``."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import click
from result import Err, Ok, Result

from gooseberrypost.cli.changes import (
    apply_changes,
    fetch_configuration,
    load_or_fetch_base,
    print_apply_result,
)
from gooseberrypost.cli.common import (
    FILE,
    apply_id_option,
    base_option,
    emit,
    json_option,
    peer_option,
    run,
    store_option,
    wall_clock_ms,
)
from gooseberrypost.settings.problems import SettingsInvalid, SettingsProblem
from gooseberrypost.sheet.check import check_rows
from gooseberrypost.sheet.diff import diff_rows
from gooseberrypost.sheet.parser import parse_sheet
from gooseberrypost.sheet.rows import SheetInvalid, SheetRow
from gooseberrypost.state.records import ScheduleRecord

if TYPE_CHECKING:
    from pathlib import Path

    from gooseberrypost.cli.changes import ApplyResult
    from gooseberrypost.errors import Failure
    from gooseberrypost.state.configuration import Document
    from gooseberrypost.state.records import Record


@click.group()
def sheet() -> None:
    """Check, diff, apply and show the planners' sheet."""


@sheet.command()
@click.argument("file", type=FILE)
@store_option
@json_option
def check(file: Path, stores: tuple[str, ...], as_json: bool) -> None:
    """Check a sheet against the configured services and engines."""
    rows, document = run(_load_sheet(file, None, stores))
    data = {"rows": len(rows), "version": document.version}
    emit(data, f"{file}: {len(rows)} rows", as_json)


@sheet.command()
@click.argument("file", type=FILE)
@store_option
@json_option
def diff(file: Path, stores: tuple[str, ...], as_json: bool) -> None:
    """Show the changes that applying a sheet would make."""
    rows, document = run(_load_sheet(file, None, stores))
    changes = diff_rows(rows, document.records())
    data = {
        "version": document.version,
        "changes": {k: _record_to_row(r) for k, r in changes.items()},
    }
    lines = [
        f"- {key}" if record is None else f"+ {record.to_json()}"
        for key, record in changes.items()
    ]
    emit(data, "\n".join(lines) or "no changes", as_json)


@sheet.command()
@click.argument("file", type=FILE)
@store_option
@peer_option
@apply_id_option
@base_option
@json_option
def apply(
    file: Path,
    stores: tuple[str, ...],
    peers: tuple[str, ...],
    apply_id: str,
    base_file: Path | None,
    as_json: bool,
) -> None:
    """Replace the schedule of the services named in a sheet."""
    result = run(_apply_sheet(file, stores, peers, apply_id, base_file))
    print_apply_result(result, as_json)


@sheet.command()
@store_option
@json_option
def show(stores: tuple[str, ...], as_json: bool) -> None:
    """Show the schedule in force in the format of a sheet."""
    document = run(fetch_configuration(stores))
    records = [
        record
        for _, record in sorted(document.records().items())
        if isinstance(record, ScheduleRecord)
    ]
    data = {
        "version": document.version,
        "rows": [_record_to_row(record) for record in records],
    }
    lines = ["day;service;engine;role;model;from;to;time zone"]
    for record in records:
        cells = (
            record.day,
            record.service,
            record.engine,
            record.role,
            record.model,
        )
        lines.append(
            ";".join((*cells, record.starts, record.ends, record.time_zone))
        )
    emit(data, "\n".join(lines), as_json)


def _record_to_row(record: Record | None) -> Any:
    """Return a schedule record by column of the sheet; else ``None``."""
    if not isinstance(record, ScheduleRecord):
        return None
    return {
        "day": record.day,
        "service": record.service,
        "engine": record.engine,
        "role": record.role,
        "model": record.model,
        "from": record.starts,
        "to": record.ends,
        "time zone": record.time_zone,
    }


def _read_sheet(file: Path) -> Result[bytes, Failure]:
    try:
        return Ok(file.read_bytes())
    except OSError as exc:
        message = f"cannot be read: {exc.strerror}"
        problem = SettingsProblem("", 1, message)
        return Err(SettingsInvalid(str(file), [problem]))


async def _load_sheet(
    file: Path, base_file: Path | None, stores: tuple[str, ...]
) -> Result[tuple[list[SheetRow], Document], Failure]:
    """Load a sheet and validate it against the base of the edit."""
    parsed = _read_sheet(file).and_then(
        lambda data: parse_sheet(data, str(file))
    )
    if isinstance(parsed, Err):
        return parsed
    base = await load_or_fetch_base(base_file, stores)
    if isinstance(base, Err):
        return base
    rows, document = parsed.ok_value, base.ok_value
    problems = check_rows(rows, document.records(), wall_clock_ms())
    if problems:
        return Err(SheetInvalid(str(file), problems))
    return Ok((rows, document))


async def _apply_sheet(
    file: Path,
    stores: tuple[str, ...],
    peers: tuple[str, ...],
    apply_id: str,
    base_file: Path | None,
) -> Result[ApplyResult, Failure]:
    loaded = await _load_sheet(file, base_file, stores)
    if isinstance(loaded, Err):
        return loaded
    rows, base = loaded.ok_value
    changes = diff_rows(rows, base.records())
    return await apply_changes(stores, peers, changes, apply_id, base)
