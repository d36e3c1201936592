"""Instants of local times, also where clocks change.

A row begins and ends by the local clock. A time in the skipped hour is the
instant at which the clock jumps. A repeated time is the first one for the
start of a row and the second one for its end.

>>> jump = instant_ms("Europe/Bratislava", date(2027, 3, 28), 150, START)
>>> datetime.fromtimestamp(jump / 1000, UTC).isoformat()
'2027-03-28T01:00:00+00:00'
"""

from __future__ import annotations

from datetime import UTC, date, datetime, time, timedelta
from functools import lru_cache
from typing import Final
from zoneinfo import ZoneInfo

from gooseberrypost.sheet.rows import DAY_MINUTES

START: Final = 0
END: Final = 1


@lru_cache(maxsize=4_096)
def instant_ms(zone: str, day: date, minutes: int, edge: int) -> int:
    """Instant of a local time, in milliseconds since 1970 UTC.

    ``minutes`` count from the start of ``day`` and may reach into the next.
    ``edge`` is ``START`` or ``END``.
    """
    info = ZoneInfo(zone)
    day += timedelta(days=minutes // DAY_MINUTES)
    minutes %= DAY_MINUTES
    local = datetime.combine(day, time(minutes // 60, minutes % 60), info)
    instant = local.replace(fold=edge).astimezone(UTC)
    if instant.astimezone(info).replace(tzinfo=None) != local.replace(
        tzinfo=None
    ):
        instant = _jump(local, info)
    return round(instant.timestamp() * 1_000)


def local_date(zone: str, now_ms: int) -> date:
    """Local date at an instant."""
    return datetime.fromtimestamp(now_ms / 1_000, ZoneInfo(zone)).date()


def _jump(skipped: datetime, info: ZoneInfo) -> datetime:
    """Instant of the clock change that skips a local time."""
    # The two readings of a skipped time lie on both sides of the change.
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
