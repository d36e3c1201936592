"""Problems of a settings or records file, reported all at once."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from gooseberrypost.errors import Failure

if TYPE_CHECKING:
    from collections.abc import Sequence


@dataclass(slots=True, frozen=True)
class SettingsProblem:
    """One value that is wrong, missing or unknown, and where it stands."""

    path: str
    """Path in the document, such as ``claims.shards`` or ``peers[0]``."""
    line: int
    """Line in the file, from 1."""
    message: str
    value: Any = None
    unit: str = ""
    allowed: str = ""
    """Allowed range, choices or form."""

    def __str__(self) -> str:
        where = f"line {self.line}: {self.path or 'document'}"
        unit = f" (unit: {self.unit})" if self.unit else ""
        allowed = f"; allowed: {self.allowed}" if self.allowed else ""
        return f"{where}: {self.message}{unit}{allowed}"


class SettingsInvalid(Failure):
    """A file has problems, all of which are listed."""

    code = "settings_invalid"
    http_status = 400

    def __init__(self, file: str, problems: Sequence[SettingsProblem]) -> None:
        super().__init__("\n".join(f"{file}: {one}" for one in problems))
        self.file = file
        self.problems = tuple(problems)
