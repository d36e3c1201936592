"""Exit codes of the commands; the table is in ``docs/exit-codes.md``."""

from __future__ import annotations

from enum import IntEnum
from typing import Final, NoReturn

import click

from gooseberrypost.configsync.check import InconsistentRecords
from gooseberrypost.errors import (
    Failure,
    NotRun,
    PeerUnreachable,
    UnknownOutcome,
)
from gooseberrypost.settings.problems import SettingsInvalid
from gooseberrypost.sheet.rows import SheetInvalid
from gooseberrypost.state.configuration import Collision
from gooseberrypost.stores.keyvalue import KeyValueUnavailable


class ExitCode(IntEnum):
    """What a script may conclude from the end of a command."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    """A file has problems; nothing was changed."""
    COLLISION = 4
    """Another operator changed the same rows; nothing was changed."""
    UNREACHABLE = 5
    """The process or service was not reached; nothing was changed."""
    UNKNOWN = 6
    """The change may have taken effect; run again with its apply id."""
    REFUSED = 7
    """The process refused; nothing was changed."""
    UNCONFIRMED = 8
    """The change is accepted, but no process confirmed that it has it."""


_CODES: Final[tuple[tuple[type[Failure], ExitCode], ...]] = (
    (SettingsInvalid, ExitCode.INVALID),
    (SheetInvalid, ExitCode.INVALID),
    (InconsistentRecords, ExitCode.INVALID),
    (Collision, ExitCode.COLLISION),
    (KeyValueUnavailable, ExitCode.UNREACHABLE),
    (PeerUnreachable, ExitCode.UNREACHABLE),
    (UnknownOutcome, ExitCode.UNKNOWN),
    (NotRun, ExitCode.REFUSED),
)


def exit_code_of(failure: Failure) -> ExitCode:
    """Exit code that a failure leads to."""
    for kind, code in _CODES:
        if isinstance(failure, kind):
            return code
    return ExitCode.FAILED


def fail(failure: Failure) -> NoReturn:
    """Print a failure to standard error and end with its exit code."""
    listed = isinstance(failure, SettingsInvalid | SheetInvalid)
    click.echo(failure.detail if listed else str(failure), err=True)
    raise SystemExit(exit_code_of(failure))
