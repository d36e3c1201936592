"""Exit codes of the commands; the table is in ``docs/exit-codes.md``."""

from __future__ import annotations

from enum import IntEnum
from typing import NoReturn

import click

from gooseberrypost.errors import Failure, NotRun, PeerUnreachable
from gooseberrypost.platform.keyvalue import KeyValueUnavailable
from gooseberrypost.settings.problems import SettingsInvalid


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


def exit_code_of(failure: Failure) -> ExitCode:
    """Exit code that a failure leads to."""
    if isinstance(failure, SettingsInvalid):
        return ExitCode.INVALID
    if isinstance(failure, KeyValueUnavailable | PeerUnreachable):
        return ExitCode.UNREACHABLE
    if isinstance(failure, NotRun):
        return ExitCode.REFUSED
    return ExitCode.FAILED


def fail(failure: Failure) -> NoReturn:
    """Print a failure to standard error and end with its exit code."""
    detail = failure.detail if isinstance(failure, SettingsInvalid) else None
    click.echo(detail or str(failure), err=True)
    raise SystemExit(exit_code_of(failure))
