"""Reads and changes the configuration for the commands."""

from __future__ import annotations

import json
import secrets
from typing import TYPE_CHECKING, Any, NamedTuple

import click
from result import Err, Ok, Result

from gooseberrypost.cli.common import (
    emit,
    open_pool,
    open_store,
    wall_clock_ms,
)
from gooseberrypost.cli.exit_codes import ExitCode
from gooseberrypost.configsync.apply import Accepted, Applier
from gooseberrypost.configsync.check import check_records
from gooseberrypost.configsync.push import push_to_all
from gooseberrypost.settings.files import read_file
from gooseberrypost.settings.problems import SettingsInvalid, SettingsProblem
from gooseberrypost.state.configuration import (
    HEAD_KEY,
    Document,
    RecordEntry,
    parse_record,
)
from gooseberrypost.state.document import parse_head
from gooseberrypost.stores.keyvalue import KeyValueStore

if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path

    from gooseberrypost.errors import Failure
    from gooseberrypost.state.records import Record


class ApplyResult(NamedTuple):
    """An accepted change of the configuration.

    The fields are printed by ``--json``.
    """

    apply_id: str
    version: int
    confirmed: int
    """Number of peers that confirmed the change."""
    peers: int
    """Number of peers that the change was pushed to."""
    changed: list[str]
    """Keys of the changed records."""


async def read_configuration(
    store: KeyValueStore,
) -> Result[Document, Failure]:
    """Read the configuration from the key-value service."""
    read = await store.get(HEAD_KEY)
    return read.and_then(lambda head: parse_head(head.value))


async def fetch_configuration(
    stores: tuple[str, ...],
) -> Result[Document, Failure]:
    """Read the configuration through a client opened for this call."""
    async with open_store(stores) as store:
        return await read_configuration(store)


async def apply_changes(
    stores: tuple[str, ...],
    peers: tuple[str, ...],
    changes: Mapping[str, Record | None],
    apply_id: str,
    base: Document,
) -> Result[ApplyResult, Failure]:
    """Write the changes to the key-value service and push them to peers.

    A new apply id is generated if ``apply_id`` is empty.
    """
    apply_id = apply_id or secrets.token_hex(8)
    async with open_store(stores) as store:
        applier = Applier(store, lambda r: check_records(r, wall_clock_ms()))
        applied = await applier.apply(changes, apply_id, base)
    if isinstance(applied, Err):
        return applied
    confirmed = await _push_to_peers(peers, applied.ok_value)
    version = applied.ok_value.version
    changed = sorted(changes)
    return Ok(ApplyResult(apply_id, version, confirmed, len(peers), changed))


async def _push_to_peers(peers: tuple[str, ...], accepted: Accepted) -> int:
    async with open_pool() as pool:
        return await push_to_all(pool, peers, accepted.document)


def print_apply_result(applied: ApplyResult, as_json: bool) -> None:
    """Print an accepted change.

    Exits with ``ExitCode.UNCONFIRMED`` if peers were given and none confirmed.
    """
    text = (
        f"version {applied.version} accepted, {len(applied.changed)} records, "
        f"confirmed by {applied.confirmed} of {applied.peers} processes"
    )
    emit(applied._asdict(), text, as_json)
    if applied.peers and not applied.confirmed:
        click.echo("no process confirmed the change", err=True)
        raise SystemExit(ExitCode.UNCONFIRMED)


def document_json(document: Document) -> dict[str, Any]:
    """Return the output of ``config show --json``, for ``load_base``."""
    records = {
        key: {"version": entry.version, "record": json.loads(entry.text)}
        for key, entry in sorted(document.entries.items())
    }
    return {"version": document.version, "records": records}


def load_base(path: Path) -> Result[Document, SettingsInvalid]:
    """Load the configuration from output of ``config show --json``."""
    return read_file(path).and_then(lambda text: _parse_base(text, str(path)))


def _parse_base(text: str, file: str) -> Result[Document, SettingsInvalid]:
    try:
        content = json.loads(text)
        entries = {
            key: RecordEntry(
                json.dumps(item["record"], sort_keys=True),
                int(item["version"]),
            )
            for key, item in content["records"].items()
        }
        document = Document(int(content["version"]), entries)
    except (AttributeError, KeyError, TypeError, ValueError) as exc:
        message = f"is not the output of 'config show --json': {exc!r}"
        return Err(SettingsInvalid(file, [SettingsProblem("", 1, message)]))
    for key, entry in entries.items():
        parsed = parse_record(key, entry.text)
        if isinstance(parsed, Err):
            problem = SettingsProblem(key, 1, parsed.err_value.detail)
            return Err(SettingsInvalid(file, [problem]))
    return Ok(document)


async def load_or_fetch_base(
    base_file: Path | None, stores: tuple[str, ...]
) -> Result[Document, Failure]:
    """Return the configuration that an edit is based on.

    It is loaded from ``base_file``, or else fetched as it is now.
    """
    if base_file is not None:
        return load_base(base_file)
    return await fetch_configuration(stores)
