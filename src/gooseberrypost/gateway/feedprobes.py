"""Small calls to a store that is away, which tell when it answers again."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING, Final

from gooseberrypost.gateway.directory import FeedLost

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gooseberrypost.gateway.directory import Feed

MIN_PROBE_INTERVAL_S: Final = 0.1
MAX_PROBE_INTERVAL_S: Final = 0.8
"""Below 1 s, so that a store that recovers is used within a second."""
MAX_PROBE_SHARE: Final = 0.25
"""Upper bound of the same as a fraction of the time limit for a change."""


class ProbeInterval:
    """Interval of probes, which doubles up to a bound.

    >>> interval = ProbeInterval(propagation_s=2.0)
    >>> [interval.next_s() for _ in range(5)]
    [0.1, 0.2, 0.4, 0.5, 0.5]
    >>> interval.reset()
    >>> interval.next_s()
    0.1
    """

    __slots__ = ("_max_s", "_next_s")

    def __init__(self, propagation_s: float) -> None:
        self._max_s = min(
            MAX_PROBE_INTERVAL_S, MAX_PROBE_SHARE * propagation_s
        )
        self._next_s = MIN_PROBE_INTERVAL_S

    def next_s(self) -> float:
        """Return the time to the next probe; the one after takes longer."""
        interval_s = self._next_s
        self._next_s = min(2 * interval_s, self._max_s)
        return interval_s

    def reset(self) -> None:
        """Begin with the shortest interval again."""
        self._next_s = MIN_PROBE_INTERVAL_S


class Probes:
    """Calls to a store that does not answer, several of which may be open.

    A call from before the end of an outage may hang until its timeout. A later
    one is answered at once.
    """

    __slots__ = ("_calls", "_feed")

    def __init__(self, feed: Feed) -> None:
        self._feed = feed
        self._calls: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Make one more call."""
        self._calls.add(asyncio.create_task(self._feed.probe()))

    async def wait(self, wait_s: float) -> bool:
        """Wait for an answer to any call; False after ``wait_s`` seconds."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + wait_s
        while self._calls and (left_s := end_s - loop.time()) > 0:
            done, self._calls = await asyncio.wait(
                self._calls,
                timeout=left_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if any(_is_answered(call) for call in done):
                return True
        await asyncio.sleep(max(0.0, end_s - loop.time()))
        return False

    def cancel(self) -> None:
        """Cancel the open calls."""
        for call in self._calls:
            call.cancel()


@contextmanager
def open_probes(feed: Feed) -> Iterator[Probes]:
    """Provide probes, whose open calls are cancelled at the end."""
    probes = Probes(feed)
    try:
        yield probes
    finally:
        probes.cancel()


def _is_answered(call: asyncio.Task[None]) -> bool:
    """Whether a call was answered; raises what is no loss of the store."""
    failure = call.exception()
    if failure is not None and not isinstance(failure, FeedLost):
        raise failure
    return failure is None
