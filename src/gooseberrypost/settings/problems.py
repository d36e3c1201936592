"""Validation errors of a settings or records file."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from gooseberrypost.errors import Failure

if TYPE_CHECKING:
    from collections.abc import Sequence


@dataclass(slots=True, frozen=True)
class SettingsProblem:
    """An invalid or missing value or an unknown key, with its location."""

    path: str
    """Path in the document, such as ``claims.shards`` or ``peers[0]``.

    Empty for the document as a whole.
    """
    line: int
    """Line number in the file, from 1."""
    message: str
    value: Any = None
    unit: str = ""
    allowed: str = ""
    """Allowed range, choices or format."""

    def __str__(self) -> str:
        location = f"line {self.line}: {self.path or 'document'}"
        unit = f" (unit: {self.unit})" if self.unit else ""
        allowed = f"; allowed: {self.allowed}" if self.allowed else ""
        return f"{location}: {self.message}{unit}{allowed}"


class SettingsInvalid(Failure):
    """The file failed validation; lists every problem."""

    code = "settings_invalid"
    http_status = 400

    def __init__(self, file: str, problems: Sequence[SettingsProblem]) -> None:
        super().__init__(
            "\n".join(f"{file}: {problem}" for problem in problems)
        )
        self.file = file
        self.problems = tuple(problems)
