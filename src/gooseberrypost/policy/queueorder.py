"""Queueing of generations that wait for memory at a decode engine.

>>> queue = [
...     QueuedGeneration(first_event_due_s=1.0, abandon_s=3.0, tokens=9_000),
...     QueuedGeneration(first_event_due_s=0.2, abandon_s=2.0, tokens=5_000),
... ]
>>> served = queue_order(queue, now_s=0.5, first_event_delay_s=0.1)
>>> [queued.tokens for queued in served]
[9000, 5000]
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, NamedTuple, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

CLIENT_PATIENCE_SHARE: Final = 1 / 3
"""Share of its remaining time that a client waits before it retries."""
MIN_RETURN_SHARE: Final = 0.75
"""Earliest return, as a share of the time that the client waits.

An overload of all engines lasts for seconds; a client that retries too soon
is refused again and has no further attempt.
"""
LATE_RANK_OFFSET_MS: Final = 100_000
"""Offset that ranks late generations after all that can be in time."""
INTERRUPTED_RANK_OFFSET_MS: Final = 2 * LATE_RANK_OFFSET_MS
"""Offset that ranks interrupted streams before all new generations."""
PRIORITY_RANK_OFFSET_MS: Final = 4 * LATE_RANK_OFFSET_MS
"""Offset that ranks each priority after all higher ones."""
OVER_SHARE_RANK_OFFSET_MS: Final = 40_000
"""Offset that ranks accounts over their share after the others.

Within a priority, ranks of new generations with an account are below 40,000
in time, below 80,000 in time and over the share, up to about 100,000 late,
and up to about 140,000 late and over the share.
"""
MAX_RANKED_LATE_MS: Final = 19_000
"""Delay, or time left, from which on late generations of accounts rank alike.

It leaves a second between the groups, as the rank of a peer falls while its
load notice is in use.
"""
AGED_SHARE: Final = 1 / 3
"""Share of its client's time after which a generation is the most urgent."""
MAX_RANKED_PRIORITY: Final = 1_000
"""Priority from which on all rank alike."""
FIRST_ATTEMPT_MIN_SHARE: Final = 0.83
"""Minimum share of the route's timeout that is left at a first attempt.

A request with less time left is treated as a retry: its client has spent the
rest waiting after a refusal.
"""


@dataclass(slots=True, eq=False)
class QueuedGeneration:
    """A generation that waits for memory at a decode engine."""

    first_event_due_s: float
    """Time by which the first event is due (time-to-first-token objective)."""
    abandon_s: float
    """Time after which the client is expected to have left."""
    tokens: int
    """Prompt tokens."""
    output: int = 0
    """Predicted output tokens."""
    priority: int = 0
    """Priority of the account or the route; lower values come first."""
    has_begun: bool = False
    """Whether a part of the answer has been sent."""
    source: str = ""
    """Identity of an engine that still runs the generation; empty if none."""
    account: str = ""
    """Account that it counts for; empty if there are no accounts."""
    route_priority: int = 0
    """Priority of the route, which orders the generations of one account."""
    aged_at_s: float = math.inf
    """Time from which on it ranks as ``aged_priority``."""
    aged_priority: int = 0
    """Highest priority that a generation of the service can have."""

    @property
    def is_interrupted(self) -> bool:
        """Whether an answer has begun that no engine goes on with."""
        return self.has_begun and not self.source


class QueueRanks:
    """Ranks of the first queued generation of each service at a gateway.

    ``default`` is that of services without one of their own.
    """

    __slots__ = ("_by_service", "_default")

    def __init__(
        self, by_service: dict[str, int], default: int | None = None
    ) -> None:
        self._by_service = by_service
        self._default = default

    def of(self, service: str) -> int | None:
        """Return the rank in ms; None if no generation is queued."""
        return self._by_service.get(service, self._default)


QueuedT = TypeVar("QueuedT", bound=QueuedGeneration)


def never_over_share(account: str) -> bool:
    """Return False for each account: none is over its share."""
    return False


class _Group(NamedTuple):
    """What ranks a generation before the time at which it is due."""

    priority: int
    is_new: bool
    is_late: bool
    is_over_share: bool


def queue_order(
    queue: Iterable[QueuedT],
    now_s: float,
    first_event_delay_s: float,
    is_over_share: Callable[[str], bool] = never_over_share,
) -> list[QueuedT]:
    """Sort queued generations by the order in which they get memory.

    Within a priority, interrupted streams come first, as a refused request
    can be sent again and a stream that was cut cannot. Then come those
    that can still be in time, and of these the accounts that are not over
    their share; each group is ordered by due time. A burst then
    delays only requests that are late already instead of every request after
    them as well. ``first_event_delay_s`` is the time from a reservation to
    the first event.
    """
    ordered = sorted(
        (
            (
                _group(queued, now_s, first_event_delay_s, is_over_share),
                queued.first_event_due_s,
                number,
                queued,
            )
            for number, queued in enumerate(queue)
        ),
    )
    if not any(queued.account for _, _, _, queued in ordered):
        return [queued for _, _, _, queued in ordered]
    return list(
        _by_route_priority((group, one) for group, _, _, one in ordered)
    )


def _by_route_priority(
    ordered: Iterable[tuple[_Group, QueuedT]],
) -> Iterator[QueuedT]:
    """Give the positions of each account to its most urgent routes first.

    The due times thus decide between accounts, whatever the routes of one of
    them are.
    """
    positions = list(ordered)
    lines: dict[tuple[_Group, str], list[QueuedT]] = defaultdict(list)
    for group, queued in positions:
        lines[group, queued.account].append(queued)
    served = {
        (group, account): iter(
            sorted(line, key=lambda queued: queued.route_priority)
            if account
            else line
        )
        for (group, account), line in lines.items()
    }
    for group, queued in positions:
        yield next(served[group, queued.account])


def _group(
    queued: QueuedGeneration,
    now_s: float,
    first_event_delay_s: float,
    is_over_share: Callable[[str], bool],
) -> _Group:
    """Return what ranks a generation before the time at which it is due.

    An aged generation ranks with the late ones of the highest priority: it is
    served before all less urgent ones, and takes no place from urgent ones
    that can still be in time.
    """
    is_late = now_s + first_event_delay_s > queued.first_event_due_s
    is_over = bool(queued.account) and is_over_share(queued.account)
    if now_s >= queued.aged_at_s and queued.priority > queued.aged_priority:
        return _Group(queued.aged_priority, True, True, is_over)
    return _Group(queued.priority, not queued.is_interrupted, is_late, is_over)


def queue_rank_ms(
    queued: QueuedGeneration,
    now_s: float,
    first_event_delay_s: float,
    is_over_share: Callable[[str], bool] = never_over_share,
) -> int:
    """Return the rank by which gateways compare the heads of their queues.

    It is the time in ms until the first event is due, with offsets for the
    priority, for generations that are late, for accounts over their share and
    for interrupted streams; the lowest rank is served first. It fits into
    32 bits with a sign, as the load notices carry it.

    >>> queued = QueuedGeneration(
    ...     first_event_due_s=2.0, abandon_s=3.0, tokens=1
    ... )
    >>> queue_rank_ms(queued, now_s=1.5, first_event_delay_s=0.1)
    500
    >>> queue_rank_ms(queued, now_s=2.0, first_event_delay_s=0.1)
    100000
    """
    group = _group(queued, now_s, first_event_delay_s, is_over_share)
    left_ms = round(1_000 * (queued.first_event_due_s - now_s))
    if queued.account:
        rank_ms = _account_rank_ms(left_ms, group.is_late)
    else:
        rank_ms = max(left_ms, -LATE_RANK_OFFSET_MS)
    if group.is_late:
        rank_ms += LATE_RANK_OFFSET_MS
    if group.is_over_share:
        rank_ms += OVER_SHARE_RANK_OFFSET_MS
    if not group.is_new:
        rank_ms -= INTERRUPTED_RANK_OFFSET_MS
    priority = min(group.priority, MAX_RANKED_PRIORITY)
    return rank_ms + priority * PRIORITY_RANK_OFFSET_MS


def _account_rank_ms(left_ms: int, is_late: bool) -> int:
    """Limit the time left so that the groups of a priority do not overlap."""
    if is_late:
        return min(max(left_ms, -MAX_RANKED_LATE_MS), MAX_RANKED_LATE_MS)
    return min(left_ms, OVER_SHARE_RANK_OFFSET_MS - 1)


def aged_at_s(account: str, arrived_s: float, deadline_s: float) -> float:
    """Return the time from which on a generation ranks as the most urgent.

    Never without an account: the order is then that of the routes alone.

    >>> aged_at_s("desk", 1.0, 10.0), aged_at_s("", 1.0, 10.0)
    (4.0, inf)
    """
    if not account:
        return math.inf
    return arrived_s + AGED_SHARE * (deadline_s - arrived_s)


def first_event_due_in_s(
    left_s: float, timeout_s: float, objective_s: float
) -> float:
    """Return the time until the first event is due, negative for a retry.

    ``left_s`` is the time that the client has left of the route's timeout,
    ``objective_s`` the route's objective. A client measures its objective
    from its first attempt, so a retry after a refusal is late already and
    must not delay other requests.

    >>> first_event_due_in_s(13.0, 14.0, 0.9)
    0.9
    >>> first_event_due_in_s(10.0, 14.0, 0.9)
    -1.62
    """
    if left_s < FIRST_ATTEMPT_MIN_SHARE * timeout_s:
        return round(left_s - FIRST_ATTEMPT_MIN_SHARE * timeout_s, 3)
    return objective_s


def is_abandoned_before_start(
    queued: QueuedGeneration, now_s: float, first_event_delay_s: float
) -> bool:
    """Whether the client would leave before the first event."""
    return now_s + first_event_delay_s > queued.abandon_s


def expected_wait_s(queued: int, running: int, run_s: float) -> float:
    """Estimate the time until memory is free for a new generation.

    Memory is freed as the ``running`` generations end one after the other,
    and the ``queued`` ones are served before.

    >>> expected_wait_s(queued=4, running=30, run_s=3.0)
    0.5
    """
    if not running:
        return 0.0
    return (queued + 1) * run_s / running


def retry_after_s(wait_s: float, left_s: float, jitter: float) -> float:
    """Return the time after which a refused client should retry.

    ``wait_s`` is the expected time until memory is free and ``left_s`` the
    time that the client has left, of which it waits a part. ``jitter`` from 0
    to 1 keeps clients that are refused together from retrying together.

    >>> retry_after_s(0.5, left_s=12.0, jitter=0.0)
    3.0
    >>> retry_after_s(3.8, left_s=12.0, jitter=0.5)
    3.9
    """
    patience_s = CLIENT_PATIENCE_SHARE * max(left_s, 0.0)
    earliest_s = max(wait_s, MIN_RETURN_SHARE * patience_s)
    earliest_s = min(earliest_s, patience_s)
    return earliest_s + jitter * (patience_s - earliest_s)
