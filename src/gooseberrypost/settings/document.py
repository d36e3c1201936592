r"""Parses JSON with comments and records the line of each value.

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

MAX_DOCUMENT_CHARS: Final = 4 * 1024 * 1024
MAX_DEPTH: Final = 32

_STRING_PATTERN: Final = r'"(?:\\.|[^"\\\n])*"'
_STRING_OR_COMMENT: Final = re.compile(
    rf"({_STRING_PATTERN})|//[^\n]*|/\*.*?\*/", flags=re.DOTALL
)
_TOKEN_PATTERN: Final = re.compile(
    rf"{_STRING_PATTERN}|[\[\]{{}}:,]|[^\s\[\]{{}}:,\"]+"
)


class InvalidConstant(ValueError):
    """``NaN`` or ``Infinity``, which Python accepts but JSON excludes."""


@dataclass(slots=True)
class Document:
    """A parsed file."""

    file: str
    value: Any
    lines: dict[str, int] = field(default_factory=dict)
    """Line number of each path, from 1."""
    problems: list[SettingsProblem] = field(default_factory=list)
    """Duplicate keys, which JSON parsers accept."""

    def line_of(self, path: str) -> int:
        """Return the line of a path, or of its nearest known ancestor."""
        while path not in self.lines and path:
            path = parent_path(path)
        return self.lines.get(path, 1)


def child_path(path: str, key: str) -> str:
    """Return the path of a key in the object at ``path``."""
    return f"{path}.{key}" if path else key


def parent_path(path: str) -> str:
    """Return the path of the object or array that contains ``path``."""
    return path[: max(path.rfind("."), path.rfind("["), 0)]


def parse_document(text: str, file: str) -> Result[Document, SettingsInvalid]:
    """Parse a file; the failure for a syntax error names its line."""
    if len(text) > MAX_DOCUMENT_CHARS:
        return _syntax_error(
            file, 1, f"exceeds {MAX_DOCUMENT_CHARS} characters"
        )
    # Comments are replaced by spaces and keep their line feeds, so the line
    # numbers stay correct.
    uncommented = _STRING_OR_COMMENT.sub(
        _blank_comment, text.removeprefix("\ufeff")
    )
    try:
        value = jsonc.loads(uncommented, parse_constant=_reject_constant)
    except JSONDecodeError as exc:
        return _syntax_error(file, exc.lineno, exc.msg)
    except ValueError as exc:
        return _syntax_error(file, 1, str(exc))
    except RecursionError:
        return _syntax_error(file, 1, "is nested too deeply")
    document = Document(file, value)
    try:
        _LineIndexer(uncommented, document).index_value("", 0)
    except RecursionError:
        return _syntax_error(
            file, 1, f"is nested deeper than {MAX_DEPTH} levels"
        )
    return Ok(document)


def _blank_comment(match: re.Match[str]) -> str:
    """Replace a comment by spaces; return a string literal unchanged."""
    if match[1] is not None:
        return match[1]
    return re.sub(r"[^\n]", " ", match[0])


def _reject_constant(name: str) -> Any:
    raise InvalidConstant(f"{name} is not a valid JSON number")


def _syntax_error(
    file: str, line: int, message: str
) -> Result[Document, SettingsInvalid]:
    return Err(SettingsInvalid(file, [SettingsProblem("", line, message)]))


class _LineIndexer:
    """Records the line of each value of a document that parsed."""

    def __init__(self, text: str, document: Document) -> None:
        self._document = document
        self._tokens: list[tuple[str, int]] = []
        line, position = 1, 0
        for match in _TOKEN_PATTERN.finditer(text):
            line += text.count("\n", position, match.start())
            position = match.start()
            self._tokens.append((match[0], line))
        self._position = 0

    def _next_token(self) -> tuple[str, int]:
        self._position += 1
        return self._tokens[self._position - 1]

    def _peek_token(self) -> str:
        return self._tokens[self._position][0]

    def index_value(self, path: str, depth: int) -> None:
        """Record the lines of the next value and of all values in it.

        Raises ``RecursionError`` beyond ``MAX_DEPTH``.
        """
        if depth > MAX_DEPTH:
            raise RecursionError
        token, line = self._next_token()
        self._document.lines[path] = line
        if token == "{":
            self._index_object(path, depth)
        elif token == "[":
            self._index_array(path, depth)

    def _index_object(self, path: str, depth: int) -> None:
        seen: set[str] = set()
        while self._peek_token() != "}":
            token, line = self._next_token()
            if token == ",":
                continue
            key = jsonc.loads(token)
            item_path = child_path(path, key)
            if key in seen:
                self._document.problems.append(
                    SettingsProblem(item_path, line, "is a duplicate key")
                )
            seen.add(key)
            self._next_token()  # Skip the colon.
            self.index_value(item_path, depth + 1)
            self._document.lines[item_path] = line
        self._next_token()

    def _index_array(self, path: str, depth: int) -> None:
        index = 0
        while self._peek_token() != "]":
            if self._peek_token() == ",":
                self._next_token()
                continue
            self.index_value(f"{path}[{index}]", depth + 1)
            index += 1
        self._next_token()
