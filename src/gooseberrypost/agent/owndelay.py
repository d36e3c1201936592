"""Delay of this process, found by checks at a fixed interval."""

from __future__ import annotations

from typing import Final

MAX_DELAY_MS: Final = 20
"""Delay of a check beyond which this process was late."""


class OwnDelay:
    """Tells how late the checks of a time limit in this process are.

    What arrived during a delay has not been read, so that the delay must not
    count against a peer. Each check counts one interval in any case, so that
    limits pass even if all checks are late.

    >>> delay = OwnDelay(interval_ms=100, now_ms=0)
    >>> delay.check(now_ms=110)
    0
    >>> delay.check(now_ms=5_210)
    5000
    >>> delay.may_be_unread
    True
    """

    __slots__ = ("_checked_ms", "_interval_ms", "_was_late", "may_be_unread")

    def __init__(self, interval_ms: int, now_ms: int) -> None:
        self._interval_ms = interval_ms
        self._checked_ms = now_ms
        self._was_late = False
        self.may_be_unread = False
        """Whether messages of the time before the last check may be unread.

        That is said only of the first of several late checks.
        """

    def check(self, now_ms: int) -> int:
        """Return the delay since the last check, in ms; 0 if in time."""
        late_ms = now_ms - self._checked_ms - self._interval_ms
        self._checked_ms = now_ms
        is_late = late_ms > MAX_DELAY_MS
        self.may_be_unread = is_late and not self._was_late
        self._was_late = is_late
        return late_ms if is_late else 0
