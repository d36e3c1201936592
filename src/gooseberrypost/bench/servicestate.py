"""State that a simulated entry keeps per service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gooseberrypost.policy.aging import WaitingList
from gooseberrypost.policy.limits import Limiter
from gooseberrypost.policy.outputlength import OutputLengthEstimate
from gooseberrypost.policy.retry import RetryBudget
from gooseberrypost.policy.warmup import ColdPrefixes
from gooseberrypost.state.records import ServiceRecord

if TYPE_CHECKING:
    from gooseberrypost.bench.delivery import Delivery
    from gooseberrypost.bench.request import SimulatedRequest


class UndeliveredResults:
    """Prefill results without a decode engine, the oldest first."""

    __slots__ = ("_deliveries",)

    def __init__(self) -> None:
        self._deliveries: dict[Delivery, None] = {}

    def __contains__(self, delivery: Delivery) -> bool:
        return delivery in self._deliveries

    def add(self, delivery: Delivery) -> None:
        """Add a result for which no decode engine had capacity."""
        self._deliveries[delivery] = None

    def discard(self, delivery: Delivery) -> None:
        """Remove a result that was placed or has expired."""
        self._deliveries.pop(delivery, None)

    def retry_all(self) -> bool:
        """Retry the placement of all results; returns whether any is left."""
        for delivery in list(self._deliveries):
            if delivery.ended:
                self.discard(delivery)
            else:
                delivery.retry_placement()
        return bool(self._deliveries)


class ServiceState:
    """Queue, limits, retry budget and estimates of one service."""

    __slots__ = (
        "cold_prefixes",
        "dispatch_at_ms",
        "dispatching",
        "limiter",
        "output_length",
        "requests",
        "retry_budget",
        "undelivered",
        "waiting",
    )

    def __init__(self, service: str) -> None:
        record = ServiceRecord(service)
        self.limiter = Limiter.from_config(record)
        self.retry_budget = RetryBudget.from_config(record)
        self.waiting = WaitingList()
        self.output_length = OutputLengthEstimate()
        self.requests: dict[str, SimulatedRequest] = {}
        self.dispatch_at_ms = float("inf")
        self.dispatching = False
        self.undelivered = UndeliveredResults()
        self.cold_prefixes = ColdPrefixes()
