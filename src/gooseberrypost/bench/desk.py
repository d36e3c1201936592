"""What an entry of the bench keeps for one service."""

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
    from gooseberrypost.bench.flow import Flow


class ResultsWaiting:
    """Prefill results that wait for a decode engine, the oldest first."""

    __slots__ = ("_deliveries",)

    def __init__(self) -> None:
        self._deliveries: dict[Delivery, None] = {}

    def __contains__(self, delivery: Delivery) -> bool:
        return delivery in self._deliveries

    def add(self, delivery: Delivery) -> None:
        """Note a result that found no decode engine."""
        self._deliveries[delivery] = None

    def discard(self, delivery: Delivery) -> None:
        """Forget a result that was placed or has expired."""
        self._deliveries.pop(delivery, None)

    def offer(self) -> bool:
        """Let the results look again; returns whether any still waits."""
        for delivery in list(self._deliveries):
            if delivery.ended:
                self.discard(delivery)
            else:
                delivery.look_again()
        return bool(self._deliveries)


class ServiceDesk:
    """What an entry keeps for one service."""

    __slots__ = (
        "budget",
        "cold",
        "flows",
        "limiter",
        "output",
        "pump_at",
        "pumping",
        "results",
        "waiting",
    )

    def __init__(self, service: str) -> None:
        record = ServiceRecord(service)
        self.limiter = Limiter.from_config(record)
        self.budget = RetryBudget.from_config(record)
        self.waiting = WaitingList()
        self.output = OutputLengthEstimate()
        self.flows: dict[str, Flow] = {}
        self.pump_at = float("inf")
        self.pumping = False
        self.results = ResultsWaiting()
        self.cold = ColdPrefixes()
