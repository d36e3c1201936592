"""Parses JSON of other processes, and checks the types of its fields.

``json.loads`` also accepts NaN, infinite and unbounded numbers, and raises
``RecursionError`` where values are nested too deeply. Each of these would fail
where the value is used, far from the document that it came from.
"""

from __future__ import annotations

import json
import math
import re
from typing import Any, Final, NoReturn

MAX_WHOLE: Final = 2**63 - 1
"""Largest whole number; more does not fit into messages and stores."""
MAX_TEXT: Final = 1_024
"""Longest text of a field, in characters."""

_CONTROL: Final = re.compile(r"[\x00-\x1f\x7f]")
_TOKEN: Final = re.compile(r"[A-Za-z0-9._~:@+=-]{1,256}")


class InvalidJson(ValueError):
    """The text is no JSON, or a number or the nesting exceeds its bounds."""


class InvalidField(ValueError):
    """A field is missing, has another type or is out of range."""


def parse_json(text: str | bytes) -> Any:
    """Parse JSON; raises ``ValueError`` for anything else.

    >>> parse_json(b'{"a": [1, 2.5, null]}')
    {'a': [1, 2.5, None]}
    """
    try:
        return json.loads(
            text,
            parse_constant=_reject_constant,
            parse_float=_finite,
            parse_int=_bounded,
        )
    except RecursionError as exc:
        raise InvalidJson("values are nested too deeply") from exc


def _reject_constant(name: str) -> NoReturn:
    raise InvalidJson(f"{name} is no number")


def _finite(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise InvalidJson(f"number {text:.40} is too large")
    return value


def _bounded(text: str) -> int:
    if len(text) <= len(str(MAX_WHOLE)) + 1:
        value = int(text)
        if -MAX_WHOLE <= value <= MAX_WHOLE:
            return value
    raise InvalidJson(f"number {text:.40} is too large")


_REQUIRED: Final = object()


class Fields:
    """Fields of a JSON object; each access raises ``InvalidField``.

    A field that is null counts as missing.

    >>> fields = Fields({"slots": 4, "name": "a"})
    >>> fields.whole("slots"), fields.text("name"), fields.whole("age", 0)
    (4, 'a', 0)
    """

    __slots__ = ("_document",)

    def __init__(self, document: Any) -> None:
        if not isinstance(document, dict):
            raise InvalidField(f"{type(document).__name__} is no object")
        self._document = document

    @classmethod
    def parse(cls, text: str | bytes) -> Fields:
        """Parse an object; raises ``ValueError``."""
        return cls(parse_json(text))

    def text(self, name: str, default: Any = _REQUIRED) -> str:
        """Return a text without control characters and broken encoding."""
        return self._value(name, default, is_text)

    def token(self, name: str) -> str:
        """Return an id that may stand in a URL and in a header."""
        value = self._document.get(name)
        text = str(value) if _is_whole(value) else value
        if not isinstance(text, str) or _TOKEN.fullmatch(text) is None:
            raise InvalidField(f"field {name} is missing or invalid")
        return text

    def whole(self, name: str, default: Any = _REQUIRED) -> int:
        """Return a whole number of 0 or more."""
        return int(self._value(name, default, _is_whole))

    def number(self, name: str, default: Any = _REQUIRED) -> float:
        """Return a number of 0 or more."""
        return float(self._value(name, default, _is_number))

    def flag(self, name: str) -> bool:
        """Return a boolean; a missing one is false."""
        return self._value(name, False, _is_flag)

    def object(self, name: str) -> Fields | None:
        """Return an object; None if it is missing."""
        value = self._document.get(name)
        return None if value is None else Fields(value)

    def objects(self, name: str) -> list[Fields]:
        """Return a list of objects; a missing one is empty."""
        value = self._document.get(name)
        if value is None:
            return []
        if not isinstance(value, list):
            raise InvalidField(f"field {name} is no list")
        return [Fields(entry) for entry in value]

    def texts(self, name: str, default: Any = _REQUIRED) -> list[str]:
        """Return a list of texts."""
        value = self._document.get(name)
        if value is None and default is not _REQUIRED:
            return default
        if not isinstance(value, list) or not all(map(is_text, value)):
            raise InvalidField(f"field {name} is no list of texts")
        return value

    def entries(self, name: str) -> dict[str, Fields]:
        """Return an object whose values are objects."""
        value = self._document.get(name)
        if not isinstance(value, dict) or not all(map(is_text, value)):
            raise InvalidField(f"field {name} is no object")
        return {key: Fields(entry) for key, entry in value.items()}

    def _value(self, name: str, default: Any, is_valid: Any) -> Any:
        value = self._document.get(name)
        if value is None and default is not _REQUIRED:
            return default
        if not is_valid(value):
            raise InvalidField(f"field {name} is missing or invalid")
        return value


def is_text(value: Any) -> bool:
    """Whether a value is a text that can be logged, sent and stored."""
    return (
        isinstance(value, str)
        and len(value) <= MAX_TEXT
        and (value.isascii() or _is_encodable(value))
        and _CONTROL.search(value) is None
    )


def _is_encodable(text: str) -> bool:
    return not any(0xD800 <= ord(char) <= 0xDFFF for char in text)


def _is_flag(value: Any) -> bool:
    return isinstance(value, bool)


def _is_number(value: Any) -> bool:
    return (
        isinstance(value, int | float)
        and not isinstance(value, bool)
        and 0 <= value <= MAX_WHOLE
    )


def _is_whole(value: Any) -> bool:
    return _is_number(value) and value == int(value)
