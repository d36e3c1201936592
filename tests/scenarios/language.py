"""Parser of the scenario language; the grammar is in ``grammar.lark``.

>>> parse('freeze e1').steps[0]
Step(line=1, verb='freeze', names=('e1',), options={}, condition=None, \
within_ms=0)
"""

from __future__ import annotations

import operator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import lark

from gooseberrypost.errors import Failure

_PARSER = lark.Lark(
    Path(__file__).with_name("grammar.lark").read_text(),
    parser="lalr",
    propagate_positions=True,
)

_COMPARISONS = {
    "==": operator.eq,
    "!=": operator.ne,
    "<=": operator.le,
    ">=": operator.ge,
}


class ScenarioSyntaxError(Failure):
    """A scenario cannot be parsed; the detail starts with line:column."""

    code = "scenario_syntax"


@dataclass(slots=True, frozen=True)
class Condition:
    """A measured property of a participant compared with a value."""

    subject: str
    property: str
    comparison: str
    value: Any

    def holds(self, measured: Any) -> bool:
        """Compare a measured value; ``None``, no value yet, never holds."""
        if measured is None:
            return False
        return _COMPARISONS[self.comparison](measured, self.value)

    def __str__(self) -> str:
        return (
            f"{self.subject} {self.property} {self.comparison} {self.value!r}"
        )


@dataclass(slots=True, frozen=True)
class Step:
    """One statement of a scenario."""

    line: int
    verb: str
    names: tuple[str, ...]
    options: dict[str, Any]
    condition: Condition | None
    within_ms: int
    """Milliseconds that an ``expect`` or ``never`` observes or a ``pause``
    lasts."""


@dataclass(slots=True, frozen=True)
class Scenario:
    """Statements in the order in which they run."""

    steps: tuple[Step, ...]


class _Builder(lark.Transformer):
    def word(self, children):
        return str(children[0])

    def text(self, children):
        return str(children[0])[1:-1]

    def number(self, children):
        text = str(children[0])
        return float(text) if "." in text else int(text)

    def duration(self, children):
        return milliseconds(str(children[0]))

    def option(self, children):
        return {str(children[0]): children[1]}

    def condition(self, children):
        return Condition(*map(str, children[:3]), children[3])

    @lark.v_args(meta=True)
    def __default__(self, data, children, meta):
        if data == "start":
            return Scenario(tuple(children))
        return _step(str(data), children, meta.line)


def _step(verb: str, children: list[Any], line: int) -> Step:
    names: list[str] = []
    options: dict[str, Any] = {}
    condition, within_ms = None, 0
    for child in children:
        match child:
            case dict():
                options |= child
            case Condition():
                condition = child
            case lark.Token(type="DURATION"):
                within_ms = milliseconds(str(child))
            case lark.Token():
                names.append(str(child))
            case None:
                pass
            case value:
                options["value"] = value
    return Step(line, verb, tuple(names), options, condition, within_ms)


def milliseconds(text: str) -> int:
    """Parse a duration such as ``250ms`` or ``5s`` to milliseconds."""
    if text.endswith("ms"):
        return int(text[:-2])
    return int(text[:-1]) * 1_000


def parse(text: str) -> Scenario:
    """Parse a scenario or raise ``ScenarioSyntaxError``."""
    try:
        tree = _PARSER.parse(text.rstrip() + "\n")
    except lark.UnexpectedInput as exc:
        raise ScenarioSyntaxError(f"{exc.line}:{exc.column}: {exc}") from exc
    return _Builder(visit_tokens=False).transform(tree)
