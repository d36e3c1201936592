"""Rules that check the values of a parsed file against their ranges."""

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
    """What one value may be."""

    @abstractmethod
    def check(
        self, value: Any, path: str, document: Document
    ) -> Iterator[SettingsProblem]:
        """Yield every problem of the value at ``path``."""

    def build(self, value: Any) -> Any:
        """Typed value of one that has no problems."""
        return value


@dataclass(slots=True, frozen=True)
class NumberRule(Rule):
    """A number within a range; whole unless ``fraction`` is set."""

    low: float
    high: float
    unit: str = ""
    fraction: bool = False

    def check(
        self, value: Any, path: str, document: Document
    ) -> Iterator[SettingsProblem]:
        """Refuse what is not a number (a Boolean is none) or out of range."""
        kinds = (int, float) if self.fraction else (int,)
        if isinstance(value, bool) or not isinstance(value, kinds):
            noun = "a number" if self.fraction else "a whole number"
            message = f"{value!r} is not {noun}"
        elif not self.low <= value <= self.high:
            message = f"{value} is out of range"
        else:
            return
        yield SettingsProblem(
            path,
            document.line_of(path),
            message,
            value,
            self.unit,
            f"{self.low} to {self.high}",
        )


@dataclass(slots=True, frozen=True)
class BooleanRule(Rule):
    """``true`` or ``false``."""

    def check(
        self, value: Any, path: str, document: Document
    ) -> Iterator[SettingsProblem]:
        """Refuse anything but a Boolean."""
        if not isinstance(value, bool):
            line = document.line_of(path)
            message = f"{value!r} is not a Boolean"
            yield SettingsProblem(
                path, line, message, value, allowed="true or false"
            )


@dataclass(slots=True, frozen=True)
class TextRule(Rule):
    """Text of bounded length, or one of given choices."""

    low: int = 1
    high: int = 128
    choices: tuple[str, ...] = ()

    def check(
        self, value: Any, path: str, document: Document
    ) -> Iterator[SettingsProblem]:
        """Refuse other types, lengths and choices."""
        line = document.line_of(path)
        if not isinstance(value, str):
            message = f"{value!r} is not text"
            yield SettingsProblem(path, line, message, value)
        elif self.choices and value not in self.choices:
            yield SettingsProblem(
                path,
                line,
                f"{value!r} is not a choice",
                value,
                allowed=" or ".join(self.choices),
            )
        elif not self.low <= len(value) <= self.high:
            yield SettingsProblem(
                path,
                line,
                f"has {len(value)} characters",
                value,
                "characters",
                f"{self.low} to {self.high}",
            )


@dataclass(slots=True, frozen=True)
class AddressRule(Rule):
    """An IP number with a port; port 0 only where a listener picks one."""

    listen: bool = False
    optional: bool = False

    def check(
        self, value: Any, path: str, document: Document
    ) -> Iterator[SettingsProblem]:
        """Refuse host names, missing ports and ports out of range."""
        if self.optional and value == "":
            return
        message = ""
        parsed = parse_address(value) if isinstance(value, str) else None
        if parsed is None:
            message = f"{value!r} is not an address"
        elif isinstance(parsed, Err):
            message = parsed.err_value.detail
        elif parsed.ok_value.port == 0 and not self.listen:
            message = "port 0 is not an address to connect to"
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
    """A list whose items all obey one rule."""

    item: Rule
    high: int = 10_000

    def check(
        self, value: Any, path: str, document: Document
    ) -> Iterator[SettingsProblem]:
        """Check every item."""
        line = document.line_of(path)
        if not isinstance(value, list):
            message = f"{value!r} is not a list"
            yield SettingsProblem(path, line, message, value)
            return
        if len(value) > self.high:
            yield SettingsProblem(
                path,
                line,
                f"has {len(value)} items",
                unit="items",
                allowed=f"0 to {self.high}",
            )
        for index, item in enumerate(value):
            yield from self.item.check(item, f"{path}[{index}]", document)


@dataclass(slots=True, frozen=True)
class SectionRule(Rule):
    """An object with known keys, built into a settings class."""

    build_class: Any
    rules: Mapping[str, Rule]
    required: frozenset[str] = field(default_factory=frozenset)

    def check(
        self, value: Any, path: str, document: Document
    ) -> Iterator[SettingsProblem]:
        """Check every key; report unknown and missing ones."""
        line = document.line_of(path)
        if not isinstance(value, dict):
            yield SettingsProblem(path, line, "is not an object", value)
            return
        for key, item in value.items():
            inner = child_path(path, key)
            rule = self.rules.get(key)
            if rule is None:
                yield self._unknown(key, inner, document)
            else:
                yield from rule.check(item, inner, document)
        for key in sorted(self.required - value.keys()):
            inner = child_path(path, key)
            yield SettingsProblem(inner, line, "is required")

    def build(self, value: Any) -> Any:
        """Instance of the class, with its defaults for absent keys."""
        fields = {k: self.rules[k].build(v) for k, v in value.items()}
        return self.build_class(**fields)

    def _unknown(
        self, key: str, path: str, document: Document
    ) -> SettingsProblem:
        near = difflib.get_close_matches(key, self.rules, n=1)
        hint = f"; did you mean {near[0]!r}?" if near else ""
        message = f"is not a known key{hint}"
        return SettingsProblem(path, document.line_of(path), message)
