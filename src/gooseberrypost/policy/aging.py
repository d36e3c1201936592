"""Aging: a request that can wait is served within its stated time."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from gooseberrypost.policy.views import RequestView

TOP_PRIORITY: Final = 0.0
LOWEST_PRIORITY: Final = 9.0
AGED_SHARE: Final = 0.5
"""Share of the longest wait after which top priority is reached.

The other half is left for the requests that aged before it.
"""
HEADROOM_SHARE: Final = 0.1
"""Share of the slots that a request of lowest priority leaves free."""


def effective_priority(req: RequestView, now_ms: int) -> float:
    """Priority after aging: falls in a straight line to the top, 0.

    A request without ``max_wait_ms`` keeps its priority.
    """
    if req.max_wait_ms <= 0:
        return float(req.priority)
    aged_after_ms = max(1.0, req.max_wait_ms * AGED_SHARE)
    waited_ms = max(0, now_ms - req.arrived_ms)
    return req.priority * max(0.0, 1 - waited_ms / aged_after_ms)


def headroom_slots(req: RequestView, total_slots: int, now_ms: int) -> float:
    """Slots that the request must leave free for urgent ones.

    Only requests that can wait leave any, and none once they have aged.
    """
    if req.max_wait_ms <= 0:
        return 0.0
    share = HEADROOM_SHARE * effective_priority(req, now_ms) / LOWEST_PRIORITY
    return share * total_slots


class WaitingList:
    """Requests that an entry holds until a decode engine has room."""

    __slots__ = ("_requests",)

    def __init__(self) -> None:
        self._requests: dict[str, RequestView] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def __contains__(self, key: str) -> bool:
        return key in self._requests

    def add(self, req: RequestView) -> None:
        """Hold a request; the same key replaces the one before."""
        self._requests[req.key] = req

    def remove(self, key: str) -> None:
        """Forget a request that was placed, refused or cancelled."""
        self._requests.pop(key, None)

    def ordered(self, now_ms: int) -> list[RequestView]:
        """Most urgent first; the longest wait first among equals."""
        return sorted(
            self._requests.values(),
            key=lambda r: (effective_priority(r, now_ms), r.arrived_ms, r.key),
        )
