"""Places of plain servers, learned from their refusals.

A server has places for the requests in its slots and for those that it
queues; it refuses others. How many it queues is learned from its refusals.

>>> places = ServerPlaces({"a@0": 6}.get)
>>> places.free("a@0", slots=4)
inf
>>> places.record_refusal("a@0", slots=4)
>>> places.limit("a@0", slots=4), places.free("a@0", slots=4)
(6, 0)
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

RISE_ANSWERS: Final = 40
"""Answers of a full server to this gateway after which a place is added.

If the server has no further place, about one request in 40 is refused.
"""


class ServerPlaces:
    """Places of the servers that have refused a request, by identity.

    ``outstanding`` returns the known requests of all gateways at a server.
    """

    __slots__ = ("_answers", "_given", "_limits", "_outstanding")

    def __init__(self, outstanding: Callable[[str], int]) -> None:
        self._outstanding = outstanding
        self._limits: dict[str, int] = {}
        self._answers: dict[str, int] = {}
        """Answers of each server while it was full, since the last change."""
        self._given: dict[str, int] = {}
        """Places given to requests that are not sent yet."""

    def __bool__(self) -> bool:
        """Whether any server has refused a request."""
        return bool(self._limits)

    def limit(self, identity: str, slots: int) -> float:
        """Return the places of a server; infinite before its first refusal."""
        limit = self._limits.get(identity)
        return math.inf if limit is None else max(limit, slots)

    def free(self, identity: str, slots: int) -> float:
        """Return the free places of a server; infinite if not known."""
        limit = self.limit(identity, slots)
        if limit is math.inf:
            return limit
        used = self._outstanding(identity) + self._given.get(identity, 0)
        return max(limit - used, 0)

    def record_refusal(self, identity: str, slots: int) -> None:
        """Learn from a refusal, once the request is not counted any more.

        What is outstanding then filled all places. The number may be too low,
        as load notices arrive late; the slots are certain.
        """
        known = self._limits.get(identity, math.inf)
        limit = max(min(known, self._outstanding(identity)), slots)
        self._limits[identity] = int(limit)
        self._answers[identity] = 0

    def record_answer(self, identity: str, slots: int) -> None:
        """Add a place after many answers of a full server, none refused.

        It is called when the answered request is not counted any more, so
        the server was full if it has at most one free place.
        """
        if identity not in self._limits or self.free(identity, slots) > 1:
            return
        answers = self._answers.get(identity, 0) + 1
        if answers >= RISE_ANSWERS:
            self._limits[identity] = max(self._limits[identity], slots) + 1
            answers = 0
        self._answers[identity] = answers

    def give(self, identity: str) -> None:
        """Count a place for a request that is about to be sent."""
        self._given[identity] = self._given.get(identity, 0) + 1

    def take_back(self, identity: str) -> None:
        """Stop counting a place that was given."""
        left = self._given.get(identity, 0) - 1
        if left > 0:
            self._given[identity] = left
        else:
            self._given.pop(identity, None)

    def retain(self, identities: Iterable[str]) -> None:
        """Forget all other servers."""
        kept = set(identities)
        for identity in set(self._limits) - kept:
            del self._limits[identity]
            self._answers.pop(identity, None)
