"""Rate at which a gateway may send load notices over its link."""

from __future__ import annotations

from typing import Final

from gooseberrypost.policy.tokenbucket import TokenBucket

LINK_SHARE: Final = 0.25
"""Share of the link's rate that load notices may take."""
BURST_S: Final = 0.1
"""Time of the link that load notices may take at once."""
MAX_WAIT_S: Final = 0.5
"""Longest wait for the next notice.

Other gateways drop the load of one that sends nothing for a second.
"""
HEADER_BYTES: Final = 28
"""Bytes of the IP and UDP headers of a datagram."""


class NoticePace:
    """Spaces load notices, so that requests do not wait behind them.

    A datagram waits in the queue of the link, without telling its sender. With
    notices for each change of the load, a burst fills this queue with seconds
    of them.

    >>> pace = NoticePace(link_bytes_per_s=1_000_000)
    >>> pace.record_sent(30, 1_000, now_s=0.0)
    >>> pace.wait_s(now_s=0.0)
    0.0
    >>> for _ in range(4):
    ...     pace.record_sent(30, 1_000, now_s=0.0)
    >>> round(pace.wait_s(now_s=0.0), 1)
    0.2

    However many peers there are, the wait has an end:

    >>> pace.record_sent(10_000, 1_000, now_s=0.0)
    >>> pace.wait_s(now_s=0.0), pace.wait_s(now_s=0.5)
    (0.5, 0.0)
    """

    __slots__ = ("_bucket", "_next_s")

    def __init__(self, link_bytes_per_s: float) -> None:
        """Create a pace; a rate of 0 is not known, and does not limit it."""
        self._bucket = (
            TokenBucket(
                LINK_SHARE * link_bytes_per_s,
                BURST_S * link_bytes_per_s,
                1_000 * MAX_WAIT_S,
            )
            if link_bytes_per_s
            else None
        )
        self._next_s = float("-inf")
        """Monotonic time from which the next notice may be sent."""

    def record_sent(self, count: int, size: int, now_s: float) -> None:
        """Record a notice of ``size`` bytes that went to ``count`` peers."""
        if self._bucket is None:
            return
        sent_bytes = count * (size + HEADER_BYTES)
        wait_ms = self._bucket.take(sent_bytes, round(1_000 * now_s))
        self._next_s = now_s + wait_ms / 1_000

    def wait_s(self, now_s: float) -> float:
        """Return the time until the next notice may be sent."""
        return max(0.0, self._next_s - now_s)
