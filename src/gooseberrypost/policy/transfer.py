"""KV cache transfers: link bookings, stall detection and fallback engines."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, NamedTuple

from gooseberrypost.policy.forecast import (
    MESSAGE_LATENCY_MS,
    fits_now,
    transfer_ms,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from gooseberrypost.policy.views import AgentView, RequestView

STALL_FACTOR: Final = 1.5
"""Multiple of its booked time after which a transfer counts as stalled."""
STALL_GRACE_MS: Final = 30
"""Allowance for messages and timers in the stall timeout, in ms."""
STALLED_RATE_SHARE: Final = 0.05
"""Largest share of its nominal rate assumed for a link after a stall."""
MIN_RATE_SHARE: Final = 0.03
"""Smallest share of a link's nominal rate that is assumed."""
SHARE_DOUBLING_MS: Final = 3_000
"""Time in which the share assumed for an unused link doubles, in ms.

With 5 s and no lower bound, a repaired link stayed unused for 10 s.
"""


class Booking(NamedTuple):
    """Part of the rate of a link, booked from ``start_ms`` to ``end_ms``."""

    number: int
    start_ms: int
    end_ms: int
    kb_per_s: int


class LinkBookings:
    """Bookings of one link, whose rates never add up to more than the link's.

    Each booking takes the same share of the rate.

    >>> link = LinkBookings(kb_per_s=1_000)
    >>> link.book(kb=500, earliest_ms=0)
    Booking(number=1, start_ms=0, end_ms=500, kb_per_s=1000)
    >>> link.book(kb=500, earliest_ms=100).start_ms
    500
    """

    __slots__ = ("_bookings", "_kb_per_s", "_last_number", "_share_kb_per_s")

    def __init__(self, kb_per_s: int, share: float = 1.0) -> None:
        self._kb_per_s = max(1, kb_per_s)
        self._share_kb_per_s = max(1, int(kb_per_s * min(1.0, share)))
        self._bookings: dict[int, Booking] = {}
        self._last_number = 0

    def book(self, kb: int, earliest_ms: int) -> Booking:
        """Book the earliest time at which a share is free throughout."""
        duration = max(1, -(-kb * 1_000 // self._share_kb_per_s))
        start = self._earliest_start(earliest_ms, duration)
        self._last_number += 1
        booking = Booking(
            self._last_number, start, start + duration, self._share_kb_per_s
        )
        self._bookings[booking.number] = booking
        return booking

    def cancel(self, number: int) -> None:
        """Remove a booking; an unknown number is ignored."""
        self._bookings.pop(number, None)

    def expire(self, now_ms: int) -> None:
        """Remove the bookings that have ended."""
        ended = [
            b.number for b in self._bookings.values() if b.end_ms <= now_ms
        ]
        for number in ended:
            del self._bookings[number]

    def booked_kb_per_s(self, at_ms: int) -> int:
        """Return the sum of the rates booked at a time."""
        return sum(
            b.kb_per_s
            for b in self._bookings.values()
            if b.start_ms <= at_ms < b.end_ms
        )

    def next_free_ms(self, now_ms: int) -> int:
        """Return the earliest time from which another share stays free."""
        ends = [b.end_ms for b in self._bookings.values()]
        # After the last start the booked rate only falls, so only ends matter.
        for time_ms in sorted({now_ms, *(e for e in ends if e > now_ms)}):
            if self._fits_open_ended(time_ms):
                return time_ms
        return now_ms

    def _fits_open_ended(self, time_ms: int) -> bool:
        return self._fits(time_ms, 1 << 62)

    def _earliest_start(self, earliest_ms: int, duration: int) -> int:
        ends = sorted(
            b.end_ms for b in self._bookings.values() if b.end_ms > earliest_ms
        )
        for start in [earliest_ms, *ends]:
            if self._fits(start, duration):
                return start
        return max([earliest_ms, *ends])

    def _fits(self, start_ms: int, duration: int) -> bool:
        end_ms = start_ms + duration
        later_starts = [
            b.start_ms
            for b in self._bookings.values()
            if start_ms < b.start_ms < end_ms
        ]
        limit = self._kb_per_s - self._share_kb_per_s
        return all(
            self.booked_kb_per_s(t) <= limit for t in [start_ms, *later_starts]
        )


class MeasuredRate:
    """Rate of a link as a share of its nominal rate, from past transfers.

    A low share doubles every ``SHARE_DOUBLING_MS``, so that a link that was
    avoided and has recovered is used again, with small transfers first.

    >>> rate = MeasuredRate()
    >>> rate.observe(expected_ms=50, took_ms=100, now_ms=0)
    >>> rate.share(0), rate.share(SHARE_DOUBLING_MS)
    (0.5, 1.0)
    """

    __slots__ = ("_share", "_updated_ms")

    def __init__(self) -> None:
        self._share = 1.0
        self._updated_ms = 0

    def observe(self, expected_ms: float, took_ms: float, now_ms: int) -> None:
        """Set the share from a transfer that took ``took_ms``."""
        share = max(expected_ms, 1.0) / max(took_ms, expected_ms, 1.0)
        self._set(share, now_ms)

    def observe_stall(self, now_ms: int) -> None:
        """Lower the share after a transfer that was abandoned."""
        self._set(min(STALLED_RATE_SHARE, self.share(now_ms) / 2), now_ms)

    def share(self, now_ms: int) -> float:
        """Return the share of the nominal rate, above 0 and at most 1."""
        elapsed = max(0, now_ms - self._updated_ms)
        return min(
            1.0, self._share * 2 ** min(32, elapsed / SHARE_DOUBLING_MS)
        )

    def _set(self, share: float, now_ms: int) -> None:
        self._share = max(MIN_RATE_SHARE, share)
        self._updated_ms = now_ms


def stall_timeout_ms(booked_ms: int) -> int:
    """Return when to abandon a transfer booked for ``booked_ms``, in ms."""
    return int(booked_ms * STALL_FACTOR) + STALL_GRACE_MS


def choose_fallback(
    req: RequestView,
    source_zone: str,
    decode: Sequence[AgentView],
    tried: Sequence[str],
    now_ms: int,
    expires_ms: int,
) -> AgentView | None:
    """Return the decode engine to which the KV cache can be moved soonest.

    ``None`` if no engine with capacity receives it by ``expires_ms``, when
    the prefill result expires. Engines in ``tried`` are left out.
    """
    ends = [
        (_transfer_end_ms(req, source_zone, agent, now_ms), agent)
        for agent in decode
        if agent.name not in tried
        and not agent.draining
        and agent.model == req.model
        and not (req.suspect and agent.suspects)
        and fits_now(req, agent)
    ]
    in_time = [item for item in ends if item[0] <= expires_ms]
    return (
        min(in_time, key=lambda i: (i[0], i[1].name))[1] if in_time else None
    )


def _transfer_end_ms(
    req: RequestView, source_zone: str, agent: AgentView, now_ms: int
) -> int:
    """Return the clock time at which a transfer to an agent would end."""
    start = max(now_ms + MESSAGE_LATENCY_MS, agent.link_free_ms)
    return start + transfer_ms(
        req.prompt_tokens, agent.link_kb_per_s, agent.zone == source_zone
    )
