"""Retry budget: bounds the load that retries add to a failing service."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result

from gooseberrypost.errors import Failure

if TYPE_CHECKING:
    import random

    from gooseberrypost.state.records import ServiceRecord

WINDOW_MS: Final = 10_000
"""Sliding window over which requests and retries are counted, in ms."""
BASE_BACKOFF_MS: Final = 20
"""Upper bound of the delay after the first failed attempt, in ms."""
MAX_BACKOFF_MS: Final = 1_000
"""Upper bound of any delay, in ms."""
MIN_RETRIES: Final = 2
"""Retries allowed in every window, however few its requests."""

MAX_DISPLACEMENTS: Final = 8
"""Times that a request may be moved because its engine was lost.

The delays of eight moves add up to more than a second, within which the
process that replaces an agent starts to listen.
"""


class RetryRefused(Failure):
    """No retry is allowed; the caller gets the failure of the last attempt."""

    code = "retry_refused"


class RetryBudget:
    """Allows retries up to a share of the requests of the last 10 s.

    >>> import random
    >>> budget = RetryBudget(share=0.1)
    >>> delay = budget.retry(1, 0, deadline_ms=500, rng=random.Random(1))
    >>> delay.is_ok()
    True
    """

    __slots__ = ("_requests", "_retries", "_share")

    def __init__(self, share: float = 0.1) -> None:
        self._share = share
        self._requests: deque[int] = deque()
        self._retries: deque[int] = deque()

    @classmethod
    def from_config(cls, service: ServiceRecord) -> RetryBudget:
        """Build the retry budget of a service from its record."""
        return cls(service.retry_share)

    def record_request(self, now_ms: int) -> None:
        """Count the first attempt of a request."""
        self._requests.append(now_ms)
        self._expire(now_ms)

    def retry(
        self,
        attempt: int,
        now_ms: int,
        deadline_ms: int,
        rng: random.Random,
    ) -> Result[int, RetryRefused]:
        """Return the delay in ms before the next attempt, or refuse it.

        ``attempt`` is the number of the failed attempt, starting at 1. The
        delay is drawn between zero and the exponential bound (full jitter).
        The retry is counted when it is allowed.
        """
        self._expire(now_ms)
        allowed = max(MIN_RETRIES, int(self._share * len(self._requests)))
        if len(self._retries) >= allowed:
            return Err(
                RetryRefused(f"retry budget of {allowed} in 10 s is exhausted")
            )
        delay = _delay(attempt, now_ms, deadline_ms, rng)
        if delay.is_ok():
            self._retries.append(now_ms)
        return delay

    def retry_displaced(
        self,
        displacements: int,
        attempt: int,
        now_ms: int,
        deadline_ms: int,
        rng: random.Random,
    ) -> Result[int, RetryRefused]:
        """Return the delay in ms before a displaced request is moved.

        The loss of one engine displaces up to twenty requests at once. They do
        not count against the budget, which would refuse requests that did not
        cause the failure. Each request is moved at most ``MAX_DISPLACEMENTS``
        times, and the reservations that agents grant bound the added load.
        """
        if displacements > MAX_DISPLACEMENTS:
            return Err(
                RetryRefused(f"request lost its engine {displacements} times")
            )
        return _delay(attempt, now_ms, deadline_ms, rng)

    def _expire(self, now_ms: int) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now_ms - WINDOW_MS:
                times.popleft()


def _delay(
    attempt: int, now_ms: int, deadline_ms: int, rng: random.Random
) -> Result[int, RetryRefused]:
    """Draw the delay before the next attempt; refuse it past the deadline."""
    delay = rng.randint(0, backoff_bound_ms(attempt))
    if now_ms + delay >= deadline_ms:
        return Err(RetryRefused("retry would start after the deadline"))
    return Ok(delay)


def backoff_bound_ms(attempt: int) -> int:
    """Return the upper bound of the delay after a failed attempt, in ms.

    >>> [backoff_bound_ms(n) for n in (1, 2, 10)]
    [20, 40, 1000]
    """
    exponent = min(max(attempt, 1) - 1, 16)
    return min(MAX_BACKOFF_MS, BASE_BACKOFF_MS << exponent)
