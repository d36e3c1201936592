"""What the bytes of a memory budget are used for, and who gives them up."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import IntEnum
from typing import Final


class Use(IntEnum):
    """What the bytes of a budget hold; the number is an index."""

    REQUEST = 0
    """Requests in work: their headers and what is read ahead of servers."""
    BODY = 1
    """Bodies of requests, until the request is answered."""
    ANSWER = 2
    """Answers of servers, until they are sent."""
    UNSENT = 3
    """Bytes written to a client's connection that it has not read."""


USES: Final = tuple(Use)


class ShedClass(IntEnum):
    """Classes of holders in the order in which they are shed."""

    STALLED = 0
    """Bodies of which nothing has arrived for some time."""
    SLOW = 1
    """Other bodies that are being read."""
    NOT_STARTED = 2
    """Requests that no server has been sent."""


class Holder(ABC):
    """Holds bytes that may be given up before they are used."""

    __slots__ = ()

    @abstractmethod
    def shed_rank(self) -> tuple[ShedClass, float] | None:
        """Return the rank in the order of shedding; None to be kept."""

    @abstractmethod
    def shed(self) -> None:
        """Free the bytes and end the request with a refusal."""
