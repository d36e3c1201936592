"""Caches the current assignment of each engine until it may change.

Evaluating the schedule of 1,400 engines every second would take a larger
share of a core than a node may use. The rows of an engine are therefore
evaluated again only when its records change or its cached assignment expires.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple, Protocol

from gooseberrypost.sheet.parser import row_from_record
from gooseberrypost.sheet.schedule import Assignment, Schedule
from gooseberrypost.state.records import EngineRecord, ScheduleRecord

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from gooseberrypost.state.records import Record

LOOK_AHEAD_DAYS: Final = 1
"""Days ahead whose rows are searched for the next change."""
MAX_CACHE_MS: Final = 12 * 3_600_000
"""Longest time for which an assignment is cached.

It is shorter than the look-ahead, so no change within it is missed.
"""


class ConfigurationView(Protocol):
    """The part of the configuration section that is read here."""

    @property
    def version(self) -> int:
        """Version of the configuration in force."""

    @property
    def records(self) -> Mapping[str, Record]:
        """Parsed records by key."""


class _CachedAssignment(NamedTuple):
    """An assignment and the Unix times between which it is used."""

    assignment: Assignment | None
    from_ms: int
    until_ms: int


class CurrentAssignments:
    """Returns the current role and model of each engine, by engine name.

    ``engine`` and ``service`` restrict the result to one engine or to the
    engines of one service; empty for all. If the wall clock is set back or
    forward, the next call returns the assignments of the new time.
    """

    __slots__ = (
        "_cache",
        "_cached_from_ms",
        "_cached_until_ms",
        "_clock_ms",
        "_configuration",
        "_current",
        "_engine",
        "_records",
        "_service",
        "_version",
    )

    def __init__(
        self,
        configuration: ConfigurationView,
        clock_ms: Callable[[], int],
        engine: str = "",
        service: str = "",
    ) -> None:
        self._configuration = configuration
        self._clock_ms = clock_ms
        self._engine = engine
        self._service = service
        self._version = -1
        self._records: dict[str, list[Record]] = {}
        self._cache: dict[str, _CachedAssignment] = {}
        self._current: Mapping[str, Assignment] = {}
        self._cached_from_ms = self._cached_until_ms = 0

    def __call__(self) -> Mapping[str, Assignment]:
        """Return the assignments at the current time."""
        now_ms = self._clock_ms()
        changed = self._version != self._configuration.version
        if changed:
            self._version = self._configuration.version
            self._load_records(self._configuration.records)
        if (
            changed
            or not self._cached_from_ms <= now_ms < self._cached_until_ms
        ):
            self._evaluate(now_ms)
        return self._current

    def _load_records(self, records: Mapping[str, Record]) -> None:
        """Group the records by engine and drop outdated cache entries."""
        grouped: dict[str, list[Record]] = {}
        for _, record in sorted(records.items()):
            if isinstance(record, EngineRecord):
                name = record.name
            elif isinstance(record, ScheduleRecord):
                name = record.engine
            else:
                continue
            in_service = self._service in ("", record.service)
            if in_service and self._engine in ("", name):
                grouped.setdefault(name, []).append(record)
        self._cache = {
            name: cached
            for name, cached in self._cache.items()
            if grouped.get(name) == self._records[name]
        }
        self._records = grouped

    def _evaluate(self, now_ms: int) -> None:
        for name, records in self._records.items():
            cached = self._cache.get(name)
            if (
                cached is None
                or not cached.from_ms <= now_ms < cached.until_ms
            ):
                self._cache[name] = _evaluate_engine(name, records, now_ms)
        self._current = {
            name: cached.assignment
            for name, cached in self._cache.items()
            if cached.assignment is not None
        }
        cached_assignments = self._cache.values()
        self._cached_from_ms = max(
            (cached.from_ms for cached in cached_assignments), default=now_ms
        )
        latest_ms = now_ms + MAX_CACHE_MS
        self._cached_until_ms = min(
            (cached.until_ms for cached in cached_assignments),
            default=latest_ms,
        )


def _evaluate_engine(
    name: str, records: list[Record], now_ms: int
) -> _CachedAssignment:
    rows = [
        row_from_record(record, number)
        for number, record in enumerate(records, 1)
        if isinstance(record, ScheduleRecord)
    ]
    schedule = Schedule(
        [row for row in rows if row is not None],
        [r for r in records if isinstance(r, EngineRecord)],
    )
    later_ms = [
        boundary_ms
        for boundary_ms in schedule.boundaries(name, now_ms, LOOK_AHEAD_DAYS)
        if boundary_ms > now_ms
    ]
    until_ms = min([now_ms + MAX_CACHE_MS, *later_ms])
    return _CachedAssignment(
        schedule.assignment_at(name, now_ms), now_ms, until_ms
    )
