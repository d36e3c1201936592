"""Checks a trace of events against the guarantees for idempotency keys.

The trace lists events in the order in which one observer saw them. Bodies and
digests may be of any comparable type.

>>> trace = [
...     Event(EventKind.EXECUTED, "k", digest=b"d", attempt=1),
...     Event(EventKind.ANSWERED, "k", digest=b"d", attempt=1, body=b"yes"),
...     Event(EventKind.REPLAYED, "k", digest=b"d", body=b"yes"),
... ]
>>> find_violations(trace)
[]
>>> [v.rule for v in find_violations([*trace, trace[1]])]
['answered twice']
"""

from __future__ import annotations

from collections import Counter
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable


class EventKind(StrEnum):
    """Kind of event of a key."""

    EXECUTED = "executed"
    """A backend server started an attempt."""
    ANSWERED = "answered"
    """The final frame was sent to the caller with outcome ``completed``."""
    REPLAYED = "replayed"
    """A resend was answered with the stored answer."""
    NOT_RUN = "not-run"
    """It was reported to a caller that the request was not run."""


class Event(NamedTuple):
    """One event of a trace."""

    kind: EventKind
    key: str
    digest: bytes = b""
    attempt: int = 0
    idempotent: bool = False
    body: bytes = b""


class Violation(NamedTuple):
    """A violated rule and the event that violates it."""

    rule: str
    event: Event
    position: int


class TraceChecker:
    """Checks events one at a time, each in constant time."""

    __slots__ = (
        "_answered",
        "_bodies",
        "_executed",
        "_position",
        "_runs",
        "violations",
    )

    def __init__(self) -> None:
        self.violations: list[Violation] = []
        self._answered: Counter[str] = Counter()
        self._bodies: dict[str, bytes] = {}
        self._executed: Counter[tuple[str, bytes]] = Counter()
        self._runs: Counter[str] = Counter()
        self._position = 0

    def add(self, event: Event) -> None:
        """Check the next event."""
        match event.kind:
            case EventKind.EXECUTED:
                self._check_executed(event)
            case EventKind.ANSWERED:
                self._answered[event.key] += 1
                if self._answered[event.key] > 1:
                    self._fail("answered twice", event)
                self._check_body(event)
            case EventKind.REPLAYED:
                self._check_body(event)
            case EventKind.NOT_RUN:
                if self._executed[event.key, event.digest]:
                    self._fail("reported as not run after it ran", event)
        self._position += 1

    def _check_executed(self, event: Event) -> None:
        self._executed[event.key, event.digest] += 1
        self._runs[event.key] += 1
        if self._runs[event.key] > 1 and not event.idempotent:
            self._fail("non-idempotent call run twice", event)

    def _check_body(self, event: Event) -> None:
        if self._bodies.setdefault(event.key, event.body) != event.body:
            self._fail("replayed with other bytes", event)

    def _fail(self, rule: str, event: Event) -> None:
        self.violations.append(Violation(rule, event, self._position))


def find_violations(trace: Iterable[Event]) -> list[Violation]:
    """Return the violations of a trace, in order."""
    checker = TraceChecker()
    for event in trace:
        checker.add(event)
    return checker.violations
