"""Converts local times to UTC across daylight saving time transitions.

Rows of the sheet start and end by the local clock. A local time in the hour
that is skipped when the clock goes forward stands for the time of the
transition. A local time that occurs twice when the clock goes back stands for
its first occurrence if a row starts at it, and for its second if a row ends.

>>> transition_ms = utc_timestamp_ms(
...     "Europe/Bratislava", date(2027, 3, 28), 150, START
... )
>>> datetime.fromtimestamp(transition_ms / 1000, UTC).isoformat()
'2027-03-28T01:00:00+00:00'
"""

from __future__ import annotations

from datetime import UTC, date, datetime, time, timedelta
from functools import lru_cache
from typing import Final
from zoneinfo import ZoneInfo

from gooseberrypost.sheet.rows import DAY_MINUTES

START: Final = 0
"""Boundary at which a row starts; also the ``fold`` of a repeated time."""
END: Final = 1
"""Boundary at which a row ends; also the ``fold`` of a repeated time."""


@lru_cache(maxsize=4_096)
def utc_timestamp_ms(zone: str, day: date, minutes: int, boundary: int) -> int:
    """Return the Unix timestamp of a local time, in milliseconds.

    ``minutes`` counts from midnight of ``day`` by the local clock and may
    extend into the next day. ``boundary`` is ``START`` or ``END``.
    """
    info = ZoneInfo(zone)
    day += timedelta(days=minutes // DAY_MINUTES)
    minutes %= DAY_MINUTES
    local = datetime.combine(day, time(minutes // 60, minutes % 60), info)
    utc_time = local.replace(fold=boundary).astimezone(UTC)
    if utc_time.astimezone(info).replace(tzinfo=None) != local.replace(
        tzinfo=None
    ):
        utc_time = _transition(local, info)
    return round(utc_time.timestamp() * 1_000)


def local_date(zone: str, now_ms: int) -> date:
    """Return the local date at the Unix timestamp ``now_ms``."""
    return datetime.fromtimestamp(now_ms / 1_000, ZoneInfo(zone)).date()


def _transition(skipped: datetime, info: ZoneInfo) -> datetime:
    """Return the UTC time of the transition that skips a local time."""
    # PEP 495: fold=1 applies the offset in force after the transition, which
    # gives a UTC time before it; fold=0 gives one after it. Bisect between
    # the two to within one second.
    before = skipped.replace(fold=1).astimezone(UTC)
    after = skipped.replace(fold=0).astimezone(UTC)
    offset = before.astimezone(info).utcoffset()
    while after - before > timedelta(seconds=1):
        middle = before + (after - before) / 2
        middle = middle.replace(microsecond=0)
        if middle.astimezone(info).utcoffset() == offset:
            before = middle
        else:
            after = middle
    return after
