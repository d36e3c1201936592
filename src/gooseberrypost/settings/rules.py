"""Validation rules for the values of a parsed file."""

from __future__ import annotations

import difflib
from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from result import Err

from gooseberrypost.address import parse_address
from gooseberrypost.settings.document import Document, child_path
from gooseberrypost.settings.problems import SettingsProblem

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping


class Rule(ABC):
    """Validates a value and converts it to its type."""

    @abstractmethod
    def check(
        self, value: Any, path: str, document: Document
    ) -> Iterator[SettingsProblem]:
        """Yield every problem of the value at ``path``."""

    def build(self, value: Any) -> Any:
        """Convert a value that passed ``check``."""
        return value


@dataclass(slots=True, frozen=True)
class NumberRule(Rule):
    """A number from ``minimum`` to ``maximum``.

    It is an integer unless ``allow_fraction`` is set.
    """

    minimum: float
    maximum: float
    unit: str = ""
    allow_fraction: bool = False

    def check(
        self, value: Any, path: str, document: Document
    ) -> Iterator[SettingsProblem]:
        """Reject other types, Booleans included, and values out of range."""
        types = (int, float) if self.allow_fraction else (int,)
        if isinstance(value, bool) or not isinstance(value, types):
            expected = "a number" if self.allow_fraction else "an integer"
            message = f"{value!r} is not {expected}"
        elif not self.minimum <= value <= self.maximum:
            message = f"{value} is out of range"
        else:
            return
        yield SettingsProblem(
            path,
            document.line_of(path),
            message,
            value,
            self.unit,
            f"{self.minimum} to {self.maximum}",
        )


@dataclass(slots=True, frozen=True)
class BooleanRule(Rule):
    """A Boolean."""

    def check(
        self, value: Any, path: str, document: Document
    ) -> Iterator[SettingsProblem]:
        """Reject other types."""
        if not isinstance(value, bool):
            line = document.line_of(path)
            message = f"{value!r} is not a Boolean"
            yield SettingsProblem(
                path, line, message, value, allowed="true or false"
            )


@dataclass(slots=True, frozen=True)
class StringRule(Rule):
    """A string of limited length, or one of a set of choices."""

    min_length: int = 1
    max_length: int = 128
    choices: tuple[str, ...] = ()

    def check(
        self, value: Any, path: str, document: Document
    ) -> Iterator[SettingsProblem]:
        """Reject other types, lengths and choices."""
        line = document.line_of(path)
        if not isinstance(value, str):
            message = f"{value!r} is not a string"
            yield SettingsProblem(path, line, message, value)
        elif self.choices and value not in self.choices:
            yield SettingsProblem(
                path,
                line,
                f"{value!r} is not a valid choice",
                value,
                allowed=" or ".join(self.choices),
            )
        elif not self.min_length <= len(value) <= self.max_length:
            yield SettingsProblem(
                path,
                line,
                f"has {len(value)} characters",
                value,
                "characters",
                f"{self.min_length} to {self.max_length}",
            )


@dataclass(slots=True, frozen=True)
class AddressRule(Rule):
    """An IP address with a port.

    Port 0 is only valid in an address to listen on, where it makes the system
    assign a free port.
    """

    allow_port_zero: bool = False
    optional: bool = False

    def check(
        self, value: Any, path: str, document: Document
    ) -> Iterator[SettingsProblem]:
        """Reject host names, missing ports and ports out of range."""
        if self.optional and value == "":
            return
        message = ""
        parsed = parse_address(value) if isinstance(value, str) else None
        if parsed is None:
            message = f"{value!r} is not an address"
        elif isinstance(parsed, Err):
            message = parsed.err_value.detail
        elif parsed.ok_value.port == 0 and not self.allow_port_zero:
            message = "port 0 is only valid in an address to listen on"
        if message:
            yield SettingsProblem(
                path,
                document.line_of(path),
                message,
                value,
                allowed="IPv4:port or [IPv6]:port",
            )


@dataclass(slots=True, frozen=True)
class ListRule(Rule):
    """A list whose items are all validated by one rule."""

    item_rule: Rule
    max_items: int = 10_000

    def check(
        self, value: Any, path: str, document: Document
    ) -> Iterator[SettingsProblem]:
        """Reject other types and lists that are too long; check all items."""
        line = document.line_of(path)
        if not isinstance(value, list):
            message = f"{value!r} is not a list"
            yield SettingsProblem(path, line, message, value)
            return
        if len(value) > self.max_items:
            yield SettingsProblem(
                path,
                line,
                f"has {len(value)} items",
                unit="items",
                allowed=f"0 to {self.max_items}",
            )
        for index, item in enumerate(value):
            yield from self.item_rule.check(item, f"{path}[{index}]", document)


@dataclass(slots=True, frozen=True)
class SectionRule(Rule):
    """An object with a fixed set of keys.

    ``factory`` is called with the converted values as keyword arguments.
    """

    factory: Any
    rules: Mapping[str, Rule]
    required: frozenset[str] = field(default_factory=frozenset)

    def check(
        self, value: Any, path: str, document: Document
    ) -> Iterator[SettingsProblem]:
        """Check every value; reject unknown and missing keys."""
        line = document.line_of(path)
        if not isinstance(value, dict):
            yield SettingsProblem(path, line, "is not an object", value)
            return
        for key, item in value.items():
            item_path = child_path(path, key)
            rule = self.rules.get(key)
            if rule is None:
                yield self._unknown(key, item_path, document)
            else:
                yield from rule.check(item, item_path, document)
        for key in sorted(self.required - value.keys()):
            item_path = child_path(path, key)
            yield SettingsProblem(item_path, line, "is required")

    def build(self, value: Any) -> Any:
        """Call ``factory``, whose defaults apply to absent keys."""
        fields = {k: self.rules[k].build(v) for k, v in value.items()}
        return self.factory(**fields)

    def _unknown(
        self, key: str, path: str, document: Document
    ) -> SettingsProblem:
        matches = difflib.get_close_matches(key, self.rules, n=1)
        hint = f"; did you mean {matches[0]!r}?" if matches else ""
        message = f"is not a known key{hint}"
        return SettingsProblem(path, document.line_of(path), message)
