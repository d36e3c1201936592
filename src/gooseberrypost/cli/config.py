"""Commands ``config check``, ``config apply`` and ``config show``."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import click
from result import Err, Result

from gooseberrypost.cli.changes import (
    apply_changes,
    base_of,
    document_json,
    fetch_head,
    report,
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
from gooseberrypost.settings.loader import load_agent, load_entry, read_file
from gooseberrypost.settings.records import load_records

if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path

    from gooseberrypost.cli.changes import Applied
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
    """Check a settings or records file; its kind is found by its keys."""
    checked = run(_check(file, kind))
    emit({"file": str(file), "kind": checked}, f"{file}: {checked}", as_json)


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
    applied = run(_apply(file, stores, peers, apply_id, base_file))
    report(applied, as_json)


@config.command()
@store_option
@json_option
def show(stores: tuple[str, ...], as_json: bool) -> None:
    """Show the records and the version that last changed each."""
    document = run(fetch_head(stores))
    lines = [f"version {document.version}"]
    for key, entry in sorted(document.entries.items()):
        lines.append(f"{key} ({entry.version}): {entry.text}")
    emit(document_json(document), "\n".join(lines), as_json)


async def _check(file: Path, kind: str | None) -> Result[str, Failure]:
    read = read_file(file)
    if isinstance(read, Err):
        return read
    text = read.ok_value
    parsed = parse_document(text, str(file))
    if isinstance(parsed, Err):
        return parsed
    found = kind or _kind_of(parsed.ok_value.value)
    return LOADERS[found](text, str(file)).map(lambda _: found)


def _kind_of(value: Any) -> str:
    keys = value.keys() if isinstance(value, dict) else ()
    if "http_address" in keys:
        return "entry"
    if "backend" in keys or "internal_address" in keys:
        return "agent"
    return "records"


async def _apply(
    file: Path,
    stores: tuple[str, ...],
    peers: tuple[str, ...],
    apply_id: str,
    base_file: Path | None,
) -> Result[Applied, Failure]:
    loaded = read_file(file).and_then(lambda t: load_records(t, str(file)))
    if isinstance(loaded, Err):
        return loaded
    changes: Mapping[str, Record | None] = loaded.ok_value
    base = await base_of(base_file, stores)
    if isinstance(base, Err):
        return base
    return await apply_changes(stores, peers, changes, apply_id, base.ok_value)
