r"""JSON with comments, with the line on which each value stands.

>>> document = parse_document('{"a": [1, // one\n 2]}', "f").unwrap()
>>> document.value, document.line_of("a[1]")
({'a': [1, 2]}, 2)
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from json import JSONDecodeError
from typing import Any, Final

import jsonc
from result import Err, Ok, Result

from gooseberrypost.settings.problems import SettingsInvalid, SettingsProblem

MAX_DOCUMENT_BYTES: Final = 4 * 1024 * 1024
MAX_DEPTH: Final = 32

_STRING: Final = r'"(?:\\.|[^"\\\n])*"'
_COMMENT: Final = re.compile(
    rf"({_STRING})|//[^\n]*|/\*.*?\*/", flags=re.DOTALL
)
_TOKEN: Final = re.compile(rf"{_STRING}|[\[\]{{}}:,]|[^\s\[\]{{}}:,\"]+")


class NotANumber(ValueError):
    """JSON has no NaN and no infinity."""


@dataclass(slots=True)
class Document:
    """A parsed file and the line of each path."""

    file: str
    value: Any
    lines: dict[str, int] = field(default_factory=dict)
    problems: list[SettingsProblem] = field(default_factory=list)
    """Keys that occur twice in one object."""

    def line_of(self, path: str) -> int:
        """Line of a path, or of the nearest value around it."""
        while path not in self.lines and path:
            path = parent_path(path)
        return self.lines.get(path, 1)


def child_path(path: str, key: str) -> str:
    """Path of a key of the object at ``path``."""
    return f"{path}.{key}" if path else key


def parent_path(path: str) -> str:
    """Path of the value around the one at ``path``."""
    return path[: max(path.rfind("."), path.rfind("["), 0)]


def parse_document(text: str, file: str) -> Result[Document, SettingsInvalid]:
    """Parse a whole file; a syntax error is reported with its line."""
    if len(text) > MAX_DOCUMENT_BYTES:
        return _syntax_error(file, 1, f"exceeds {MAX_DOCUMENT_BYTES} bytes")
    # Comments become blanks of equal height, which keeps the line numbers.
    blanked = _COMMENT.sub(_blank, text.removeprefix("\ufeff"))
    try:
        value = jsonc.loads(blanked, parse_constant=_refuse_constant)
    except JSONDecodeError as exc:
        return _syntax_error(file, exc.lineno, exc.msg)
    except ValueError as exc:
        return _syntax_error(file, 1, str(exc))
    except RecursionError:
        return _syntax_error(file, 1, "is nested too deeply")
    document = Document(file, value)
    try:
        _Locator(blanked, document).locate("", 0)
    except RecursionError:
        return _syntax_error(file, 1, f"is nested deeper than {MAX_DEPTH}")
    return Ok(document)


def _blank(match: re.Match[str]) -> str:
    if match[1] is not None:
        return match[1]
    return re.sub(r"[^\n]", " ", match[0])


def _refuse_constant(name: str) -> Any:
    raise NotANumber(f"{name} is not a JSON number")


def _syntax_error(
    file: str, line: int, message: str
) -> Result[Document, SettingsInvalid]:
    return Err(SettingsInvalid(file, [SettingsProblem("", line, message)]))


class _Locator:
    """Walks the tokens of a text that is known to be valid."""

    def __init__(self, text: str, document: Document) -> None:
        self._document = document
        self._tokens: list[tuple[str, int]] = []
        line, position = 1, 0
        for match in _TOKEN.finditer(text):
            line += text.count("\n", position, match.start())
            position = match.start()
            self._tokens.append((match[0], line))
        self._next = 0

    def _take(self) -> tuple[str, int]:
        self._next += 1
        return self._tokens[self._next - 1]

    def _peek(self) -> str:
        return self._tokens[self._next][0]

    def locate(self, path: str, depth: int) -> None:
        """Note the line of the next value and of all values inside it."""
        if depth > MAX_DEPTH:
            raise RecursionError
        token, line = self._take()
        self._document.lines[path] = line
        if token == "{":
            self._object(path, depth)
        elif token == "[":
            self._array(path, depth)

    def _object(self, path: str, depth: int) -> None:
        seen: set[str] = set()
        while self._peek() != "}":
            token, line = self._take()
            if token == ",":
                continue
            key = jsonc.loads(token)
            inner = child_path(path, key)
            if key in seen:
                self._document.problems.append(
                    SettingsProblem(inner, line, "occurs twice")
                )
            seen.add(key)
            self._take()  # the colon
            self.locate(inner, depth + 1)
            self._document.lines[inner] = line
        self._take()

    def _array(self, path: str, depth: int) -> None:
        index = 0
        while self._peek() != "]":
            if self._peek() == ",":
                self._take()
                continue
            self.locate(f"{path}[{index}]", depth + 1)
            index += 1
        self._take()
