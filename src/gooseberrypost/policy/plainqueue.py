"""Queue of plain requests that wait for a place at a server.

The places of servers are known from ``serverplaces.py``. What is decided here
is the order, who gets a free place, and who cannot be answered in time.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final, Protocol

from gooseberrypost.policy.queueorder import (
    QueuedGeneration,
    queue_order,
    queue_rank_ms,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from gooseberrypost.policy.serverplaces import ServerPlaces

MAX_ANSWER_SHARE: Final = 0.9
"""Share of its objective that a request is assumed to take at most."""
ANSWER_MARGIN: Final = 2.0
"""Mean deviations of the time of answers that are added to their mean.

With 0 or 1, more of the requests that are sent last are late by chance; with
3, fewer gateways have a request that is in time.
"""
TIME_SMOOTHING: Final = 0.05
"""Weight of the latest answer in the means."""
PLACE_TIME_S: Final = 0.012
"""Time for one gateway to take a place and to send its load notice."""
MAX_RANK_TOLERANCE_S: Final = 20.0
"""Longest difference of times that does not rank another gateway earlier."""
MAX_BLOCKED: Final = 8
"""Requests without a place after which those behind are not considered.

Only requests that some server refused have other servers than the first.
"""
MAX_PEERS_AHEAD: Final = 8
"""Maximum number of gateways to leave a place to.

A gateway that is wrongly believed to wait costs at most a tenth of a second.
"""


class PlacedServer(Protocol):
    """What the queue needs to know of a server."""

    @property
    def identity(self) -> str:
        """Instance and start time."""

    @property
    def slots(self) -> int:
        """Requests that it runs at once."""


@dataclass(slots=True, eq=False)
class QueuedCall(QueuedGeneration):
    """A plain request that waits; its answer is what is due.

    It is ordered as a generation that has not begun, by the time at which
    it has to be sent to be answered in time.
    """

    tokens: int = 0
    answer_due_s: float = 0.0
    """Time by which the answer is due."""
    objective_s: float = 0.0
    """Time that the route's objective allows for an answer."""
    candidates: Callable[[], Sequence[PlacedServer]] = field(
        default=lambda: ()
    )
    """Returns the servers that may take the request now."""
    queued_s: float = 0.0
    """Time at which it was queued."""
    place: str = ""
    """Identity of the server whose place it was given; empty before."""

    def set_send_by(self, answer_s: float) -> None:
        """Set the time by which it is to be sent, from that of an answer.

        A request that has just come is in time, however long answers take:
        if all were late, the oldest would come first, and no answer in time.
        """
        usual_s = min(answer_s, MAX_ANSWER_SHARE * self.objective_s)
        self.first_event_due_s = self.answer_due_s - usual_s


class AnswerTime:
    """Usual time of an answer, what the server queues included.

    >>> answers = AnswerTime()
    >>> answers.record(0.1)
    >>> answers.mean_s, answers.with_margin_s
    (0.1, 0.1)
    """

    __slots__ = ("_deviation_s", "mean_s")

    def __init__(self) -> None:
        self.mean_s = 0.0
        """Moving average; 0 before the first answer."""
        self._deviation_s = 0.0

    @property
    def with_margin_s(self) -> float:
        """Time in which most answers arrive."""
        return self.mean_s + ANSWER_MARGIN * self._deviation_s

    def record(self, took_s: float) -> None:
        """Record the time of an answer."""
        if not self.mean_s:
            self.mean_s = took_s
        error_s = took_s - self.mean_s
        self.mean_s += TIME_SMOOTHING * error_s
        self._deviation_s += TIME_SMOOTHING * (
            abs(error_s) - self._deviation_s
        )


@dataclass(slots=True, frozen=True)
class Forecast:
    """Expected progress of one gateway's queue."""

    service_s: float
    """Time that servers take for a request, their queue included."""
    places: float
    """Places that this gateway's requests have at once."""

    @classmethod
    def from_load(
        cls, service_s: float, own: int, places: float, gateways: int
    ) -> Forecast:
        """Return the forecast for a gateway with ``own`` requests at servers.

        A gateway keeps the part of all ``places`` that it has, and gets an
        equal part if it has less.
        """
        return cls(service_s, max(own, places / max(gateways, 1)))

    def wait_s(self, position: int) -> float:
        """Return the time until the request at a position gets a place.

        >>> Forecast(service_s=0.1, places=4.0).wait_s(position=1)
        0.05
        """
        if not self.places:
            return 0.0
        return (position + 1) * self.service_s / self.places

    def is_answerable(
        self, call: QueuedCall, position: int, now_s: float
    ) -> bool:
        """Whether the answer is expected before the client gives up."""
        end_s = now_s + self.wait_s(position) + self.service_s
        return end_s <= call.abandon_s


def unanswerable(
    ordered: Iterable[QueuedCall], now_s: float, forecast: Forecast
) -> list[QueuedCall]:
    """Return the requests that cannot be answered before their deadline.

    Those behind one of these move up.
    """
    found = []
    position = 0
    for call in ordered:
        if forecast.is_answerable(call, position, now_s):
            position += 1
        else:
            found.append(call)
    return found


class PlainLine:
    """Requests of one service that wait for places at one gateway."""

    __slots__ = ("_calls", "_free_since_s", "_is_over_share", "_places")

    def __init__(
        self, places: ServerPlaces, is_over_share: Callable[[str], bool]
    ) -> None:
        self._places = places
        self._is_over_share = is_over_share
        self._calls: list[QueuedCall] = []
        self._free_since_s = math.inf
        """Time since which a place is left to other gateways."""

    def __len__(self) -> int:
        return len(self._calls)

    def add(self, call: QueuedCall) -> None:
        """Let a request wait."""
        self._calls.append(call)

    def remove(self, call: QueuedCall) -> None:
        """Remove a request, which may have been removed before."""
        if call in self._calls:
            self._calls.remove(call)

    def ordered(
        self, now_s: float, answer_s: float, *new: QueuedCall
    ) -> list[QueuedCall]:
        """Return the requests in the order in which they get places.

        Most answers take ``answer_s`` at most. ``new`` requests are ordered
        with those that wait.
        """
        calls = [*self._calls, *new]
        for call in calls:
            call.set_send_by(answer_s)
        return queue_order(calls, now_s, 0.0, self._is_over_share)

    def has_place(self, servers: Iterable[PlacedServer]) -> bool:
        """Whether any of the servers has a free place."""
        return any(
            self._places.free(server.identity, server.slots) > 0
            for server in servers
        )

    def head_rank_ms(self, now_s: float) -> int | None:
        """Return the rank of the first request; None if none waits."""
        ranks = (self._rank_ms(call, now_s) for call in self._calls)
        return min(ranks, default=None)

    def give_places(
        self,
        ordered: Iterable[QueuedCall],
        now_s: float,
        peers_ahead: Callable[[int], int],
    ) -> list[QueuedCall]:
        """Give free places to ``ordered`` requests, and return these.

        Places that are free are left to the gateways whose first request
        ranks earlier, of which ``peers_ahead`` returns the number for a rank,
        for the time that these need to take them. Ranks that differ by less
        than the objective are alike: places would stay empty while gateways
        leave them to each other. A request that no server can take any more
        gets no place and is returned too.
        """
        given = []
        is_left = False
        blocked = 0
        for call in ordered:
            servers = call.candidates()
            free = [
                (self._places.free(server.identity, server.slots), server)
                for server in servers
            ]
            total = sum(places for places, _ in free)
            if servers and not total:
                blocked += 1
                if blocked == MAX_BLOCKED:
                    break
                continue
            tolerance_s = min(call.objective_s, MAX_RANK_TOLERANCE_S)
            rank_ms = self._rank_ms(call, now_s) - round(1_000 * tolerance_s)
            ahead = peers_ahead(rank_ms) if servers else 0
            if self._must_leave(now_s, ahead, total):
                is_left = True
                break
            self._give(call, free)
            given.append(call)
        if not is_left:
            self._free_since_s = math.inf
        return given

    def _give(
        self, call: QueuedCall, free: list[tuple[float, PlacedServer]]
    ) -> None:
        self._calls.remove(call)
        if free:
            _, server = max(free, key=lambda pair: pair[0])
            call.place = server.identity
            self._places.give(call.place)

    def _must_leave(self, now_s: float, ahead: int, free: float) -> bool:
        """Whether free places are still left to gateways that rank earlier."""
        behind = min(ahead, MAX_PEERS_AHEAD) - free
        if not ahead or behind < 0:
            return False
        self._free_since_s = min(self._free_since_s, now_s)
        return now_s < self._free_since_s + (behind + 1) * PLACE_TIME_S

    def _rank_ms(self, call: QueuedCall, now_s: float) -> int:
        return queue_rank_ms(call, now_s, 0.0, self._is_over_share)
