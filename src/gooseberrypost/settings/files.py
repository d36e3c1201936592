"""Reads settings files."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from gooseberrypost.settings.problems import SettingsInvalid, SettingsProblem

if TYPE_CHECKING:
    from pathlib import Path


def read_file(path: Path) -> Result[str, SettingsInvalid]:
    """Read a UTF-8 file; a read error is reported as a problem of line 1."""
    try:
        return Ok(path.read_bytes().decode("utf-8"))
    except OSError as exc:
        message = f"cannot be read: {exc.strerror}"
    except UnicodeDecodeError as exc:
        message = f"is not valid UTF-8 at byte {exc.start}"
    problem = SettingsProblem("", 1, message)
    return Err(SettingsInvalid(str(path), [problem]))
