"""Commands ``config check``, ``config apply`` and ``config show``."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import click
from result import Err, Result

from gooseberrypost.cli.changes import (
    apply_changes,
    document_json,
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
)
from gooseberrypost.settings.document import parse_document
from gooseberrypost.settings.files import read_file
from gooseberrypost.settings.loader import load_agent, load_entry
from gooseberrypost.settings.records import load_records

if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path

    from gooseberrypost.cli.changes import ApplyResult
    from gooseberrypost.errors import Failure
    from gooseberrypost.state.records import Record

LOADERS = {"entry": load_entry, "agent": load_agent, "records": load_records}


@click.group()
def config() -> None:
    """Check, apply and show the configuration."""


@config.command()
@click.argument("file", type=FILE)
@click.option("--kind", type=click.Choice(sorted(LOADERS)))
@json_option
def check(file: Path, kind: str | None, as_json: bool) -> None:
    """Check a settings or records file.

    Without --kind, the kind is detected from the keys in the file.
    """
    detected = run(_check_file(file, kind))
    emit({"file": str(file), "kind": detected}, f"{file}: {detected}", as_json)


@config.command()
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
    """Apply a file of services, engines and accounts."""
    result = run(_apply_file(file, stores, peers, apply_id, base_file))
    print_apply_result(result, as_json)


@config.command()
@store_option
@json_option
def show(stores: tuple[str, ...], as_json: bool) -> None:
    """Show all records, each with the version that last changed it."""
    document = run(fetch_configuration(stores))
    lines = [f"version {document.version}"]
    for key, entry in sorted(document.entries.items()):
        lines.append(f"{key} ({entry.version}): {entry.text}")
    emit(document_json(document), "\n".join(lines), as_json)


async def _check_file(file: Path, kind: str | None) -> Result[str, Failure]:
    read = read_file(file)
    if isinstance(read, Err):
        return read
    text = read.ok_value
    parsed = parse_document(text, str(file))
    if isinstance(parsed, Err):
        return parsed
    detected = kind or _detect_kind(parsed.ok_value.value)
    return LOADERS[detected](text, str(file)).map(lambda _: detected)


def _detect_kind(value: Any) -> str:
    keys = value.keys() if isinstance(value, dict) else ()
    if "http_address" in keys:
        return "entry"
    if "backend" in keys or "internal_address" in keys:
        return "agent"
    return "records"


async def _apply_file(
    file: Path,
    stores: tuple[str, ...],
    peers: tuple[str, ...],
    apply_id: str,
    base_file: Path | None,
) -> Result[ApplyResult, Failure]:
    loaded = read_file(file).and_then(
        lambda text: load_records(text, str(file))
    )
    if isinstance(loaded, Err):
        return loaded
    changes: Mapping[str, Record | None] = loaded.ok_value
    base = await load_or_fetch_base(base_file, stores)
    if isinstance(base, Err):
        return base
    return await apply_changes(stores, peers, changes, apply_id, base.ok_value)
