"""Structured log of per-request decisions, as lines of key=value pairs.

>>> decision = RefusalDecision("k 1", "booking", "draining", "leaving")
>>> print(decision.line())
event=refused request="k 1" service=booking code=draining detail=leaving
"""

from __future__ import annotations

import json
import re
import time
from abc import ABC, abstractmethod
from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from absl import logging

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

MAX_LINES_PER_REQUEST: Final = 32

_BARE: Final = re.compile(r"[A-Za-z0-9_.:/,+@\[\]>-]+")

Field = tuple[str, object]


def quote(value: object) -> str:
    r"""Format a value; it is quoted as JSON unless it is a plain word.

    >>> quote("a=b\n")
    '"a=b\\n"'
    """
    text = str(value)
    return text if _BARE.fullmatch(text) else json.dumps(text)


def format_fields(fields: Iterable[Field]) -> str:
    """Join fields as ``key=value`` pairs on a single line."""
    return " ".join(f"{name}={quote(value)}" for name, value in fields)


class LineLimit:
    """Admits one line of a kind for each interval, and counts the others.

    >>> limit = LineLimit(10.0, clock=iter([0, 1, 2, 10]).__next__)
    >>> [limit.admit() for _ in range(4)], limit.omitted
    ([True, False, False, True], 2)
    """

    __slots__ = ("_clock", "_interval_s", "_next_s", "_since", "omitted")

    def __init__(
        self, interval_s: float, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.omitted = 0
        """Lines that were left out before the one admitted last."""
        self._interval_s = interval_s
        self._clock = clock
        self._next_s = float("-inf")
        self._since = 0

    def admit(self) -> bool:
        """Whether a line may be written now."""
        now_s = self._clock()
        if now_s < self._next_s:
            self._since += 1
            return False
        self._next_s = now_s + self._interval_s
        self.omitted, self._since = self._since, 0
        return True


class Decision(ABC):
    """A decision about one request, logged as a single line."""

    __slots__ = ()

    request: str

    @abstractmethod
    def fields(self) -> list[Field]:
        """Return the names and values of the line in output order."""

    def line(self) -> str:
        """Format the decision as a log line."""
        return format_fields(self.fields())


@dataclass(slots=True, frozen=True)
class RoutingDecision(Decision):
    """Engines chosen for an attempt.

    Times are predictions in milliseconds after the request's arrival.
    """

    request: str
    service: str
    attempt: int
    candidates: list[str]
    prefill: str
    """Prefill engine; empty for a plain call."""
    decode: str
    """Decode engine, or the backend server of a plain call."""
    first_token_ms: int
    completion_ms: int
    reason: str

    def fields(self) -> list[Field]:
        """Return the fields of a routing line."""
        return [
            ("event", "routed"),
            ("request", self.request),
            ("service", self.service),
            ("attempt", self.attempt),
            ("candidates", ",".join(self.candidates)),
            ("prefill", self.prefill),
            ("decode", self.decode),
            ("first_token_ms", self.first_token_ms),
            ("completion_ms", self.completion_ms),
            ("reason", self.reason),
        ]


@dataclass(slots=True, frozen=True)
class RefusalDecision(Decision):
    """Refusal of a request or an attempt, with its failure code."""

    request: str
    service: str
    code: str
    detail: str

    def fields(self) -> list[Field]:
        """Return the fields of a refusal line."""
        return [
            ("event", "refused"),
            ("request", self.request),
            ("service", self.service),
            ("code", self.code),
            ("detail", self.detail),
        ]


@dataclass(slots=True, frozen=True)
class RetryDecision(Decision):
    """Action taken after a failed step of an attempt."""

    request: str
    service: str
    attempt: int
    step: str
    code: str
    action: str

    def fields(self) -> list[Field]:
        """Return the fields of a retry line."""
        return [
            ("event", "retry"),
            ("request", self.request),
            ("service", self.service),
            ("attempt", self.attempt),
            ("step", self.step),
            ("code", self.code),
            ("action", self.action),
        ]


class DecisionLog:
    """Logs decisions and keeps the lines of the most recent requests.

    ``capacity`` is the number of requests whose lines are kept.
    """

    __slots__ = ("_capacity", "_lines")

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._lines: OrderedDict[str, list[str]] = OrderedDict()

    def record(self, decision: Decision) -> None:
        """Log a decision and keep its line for ``explain``."""
        line = decision.line()
        logging.info("%s", line)
        lines = self._lines.setdefault(decision.request, [])
        if len(lines) < MAX_LINES_PER_REQUEST:
            lines.append(line)
        self._lines.move_to_end(decision.request)
        while len(self._lines) > self._capacity:
            self._lines.popitem(last=False)

    def explain(self, request: str) -> list[str]:
        """Return the lines kept for a request; empty if it was evicted."""
        return list(self._lines.get(request, ()))
