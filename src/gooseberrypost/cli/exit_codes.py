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
    """Exit code of a command, for scripts."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    """The file or the resulting configuration is invalid; nothing changed."""
    COLLISION = 4
    """Another operator changed related records; nothing changed."""
    UNREACHABLE = 5
    """The process or service was not reachable; nothing changed."""
    UNKNOWN = 6
    """The change may have been made; run again with its apply id."""
    REFUSED = 7
    """The process refused the request; nothing changed."""
    UNCONFIRMED = 8
    """The change was accepted, but no peer confirmed receiving it."""


_EXIT_CODES: Final[tuple[tuple[type[Failure], ExitCode], ...]] = (
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
    """Return the exit code for a failure."""
    for kind, code in _EXIT_CODES:
        if isinstance(failure, kind):
            return code
    return ExitCode.FAILED


def fail(failure: Failure) -> NoReturn:
    """Print a failure to standard error and exit with its exit code."""
    has_problem_list = isinstance(failure, SettingsInvalid | SheetInvalid)
    click.echo(failure.detail if has_problem_list else str(failure), err=True)
    raise SystemExit(exit_code_of(failure))
