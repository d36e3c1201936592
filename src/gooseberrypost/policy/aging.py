"""Priority aging: serves requests that can wait within their longest wait."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from gooseberrypost.policy.views import RequestView

TOP_PRIORITY: Final = 0.0
"""Priority that is served first."""
LOWEST_PRIORITY: Final = 9.0
AGING_SHARE: Final = 0.5
"""Share of ``max_wait_ms`` after which a request reaches top priority.

The rest of the time is left for requests that reached it earlier.
"""
MAX_HEADROOM_SHARE: Final = 0.1
"""Share of the slots that a request of lowest priority leaves free."""


def effective_priority(req: RequestView, now_ms: int) -> float:
    """Return the priority after aging, which falls linearly to 0, the top.

    A request without ``max_wait_ms`` keeps its priority.
    """
    if req.max_wait_ms <= 0:
        return float(req.priority)
    aged_after_ms = max(1.0, req.max_wait_ms * AGING_SHARE)
    waited_ms = max(0, now_ms - req.arrived_ms)
    return req.priority * max(0.0, 1 - waited_ms / aged_after_ms)


def headroom_slots(req: RequestView, total_slots: int, now_ms: int) -> float:
    """Return the slots that the request must leave free for urgent requests.

    Only requests with ``max_wait_ms`` leave slots free, and none once they
    have reached top priority.
    """
    if req.max_wait_ms <= 0:
        return 0.0
    share = (
        MAX_HEADROOM_SHARE * effective_priority(req, now_ms) / LOWEST_PRIORITY
    )
    return share * total_slots


class WaitingList:
    """Requests that an entry queues until a decode engine has capacity."""

    __slots__ = ("_requests",)

    def __init__(self) -> None:
        self._requests: dict[str, RequestView] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def __contains__(self, key: str) -> bool:
        return key in self._requests

    def add(self, req: RequestView) -> None:
        """Queue a request, replacing an earlier one with the same key."""
        self._requests[req.key] = req

    def remove(self, key: str) -> None:
        """Remove a request that was placed, refused or cancelled."""
        self._requests.pop(key, None)

    def by_priority(self, now_ms: int) -> list[RequestView]:
        """Return the requests by effective priority, then by arrival."""
        return sorted(
            self._requests.values(),
            key=lambda r: (effective_priority(r, now_ms), r.arrived_ms, r.key),
        )
