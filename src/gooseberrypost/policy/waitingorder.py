"""Order in which generations that wait for engine memory get it.

>>> waiting = [Waiting(objective_s=1.0, give_up_s=3.0, tokens=9_000),
...            Waiting(objective_s=0.2, give_up_s=2.0, tokens=5_000)]
>>> [one.tokens for one in order(waiting, now_s=0.5, lead_s=0.1)]
[9000, 5000]
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterable

MIN_RETRY_AFTER_S: Final = 3.5
"""A load that fills all engines lasts for seconds; a client that comes back
too soon is refused again, and has no further try."""
MAX_RETRY_AFTER_S: Final = 3.6
"""Clients wait up to a third of the time that they have left."""
RETRY_SPREAD: Final = 0.3
LATE_TURN_MS: Final = 100_000
"""Offset that puts late generations behind all that can be in time."""
RETURNED_SHARE: Final = 0.83
"""Share of the route's time below which a client is taken for one that has
come back: it has used the rest waiting."""


@dataclass(slots=True)
class Waiting:
    """A generation that waits for room at a decode engine."""

    objective_s: float
    """Time by which the first event is due."""
    give_up_s: float
    """Time after which its client no longer waits."""
    tokens: int
    """Tokens of its prompt."""
    output: int = 0
    """Output tokens expected."""
    priority: int = 0


W = TypeVar("W", bound=Waiting)


def order(waiting: Iterable[W], now_s: float, lead_s: float) -> list[W]:
    """Sort by who is served next.

    Those that can still be in time go first, by their objectives; a burst
    then costs the requests that are late already, and not each one after
    them as well. ``lead_s`` is the time from the room to the first event.
    """

    def key(one: Waiting) -> tuple[int, bool, float]:
        is_late = now_s + lead_s > one.objective_s
        return one.priority, is_late, one.objective_s

    return sorted(waiting, key=key)


def turn_ms(one: Waiting, now_s: float, lead_s: float) -> int:
    """Return the number by which gateways agree whose turn it is.

    >>> one = Waiting(objective_s=2.0, give_up_s=3.0, tokens=1)
    >>> turn_ms(one, now_s=1.5, lead_s=0.1), turn_ms(one, 2.0, 0.1)
    (500, 100000)
    """
    left_ms = round(1_000 * (one.objective_s - now_s))
    is_late = now_s + lead_s > one.objective_s
    return max(left_ms, -LATE_TURN_MS) + (LATE_TURN_MS if is_late else 0)


def objective_left_s(
    left_s: float, timeout_s: float, objective_s: float
) -> float:
    """Time until the first event is due, negative for a client that returned.

    A client counts its objective from its first try, so that one which comes
    back after a refusal is late already and must not delay the others.

    >>> objective_left_s(13.0, 14.0, 0.9), objective_left_s(10.0, 14.0, 0.9)
    (0.9, -1.62)
    """
    if left_s < RETURNED_SHARE * timeout_s:
        return round(left_s - RETURNED_SHARE * timeout_s, 3)
    return objective_s


def is_hopeless(one: Waiting, now_s: float, lead_s: float) -> bool:
    """Whether the first event would come after the client has left."""
    return now_s + lead_s > one.give_up_s


def expected_wait_s(waiting: int, running: int, run_s: float) -> float:
    """Time until room is free behind those that wait already.

    Room becomes free as the running generations end one after the other.

    >>> expected_wait_s(waiting=4, running=30, run_s=3.0)
    0.5
    """
    if not running:
        return 0.0
    return (waiting + 1) * run_s / running


def retry_after_s(wait_s: float, spread: float) -> float:
    """Time after which a refused client should come back.

    ``spread`` from 0 to 1 keeps those refused together from coming back
    together.
    """
    return min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S) * (
        1 + RETRY_SPREAD * spread
    )
