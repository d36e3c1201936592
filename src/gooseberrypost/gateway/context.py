"""What the requests of one gateway share."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from absl import logging

from gooseberrypost.gateway.model import EngineSpec
from gooseberrypost.gateway.room import DecodeRoom
from gooseberrypost.logs import format_fields
from gooseberrypost.metrics import Metrics
from gooseberrypost.policy.repeatbudget import SAFETY, RepeatBudget
from gooseberrypost.policy.serverload import ServerLoads

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Coroutine
    from typing import Any

    from gooseberrypost.gateway.directory import Directory
    from gooseberrypost.gateway.request import ClientRequest
    from gooseberrypost.gateway.transport import Transport
    from gooseberrypost.settings.gateway import GatewaySettings

OUTPUT_SMOOTHING: Final = 0.05
"""Weight of the newest generation in the means of a service."""
DEFAULT_LEAD_S: Final = 0.15
"""Time to read a prompt before the first one was read."""
LEAD_MARGIN: Final = 1.5
"""Ratio of a time in which most prompts are read to the mean."""
MAX_LEAD_S: Final = 0.4
"""Longest time that is planned with; single reads take longer after a fault,
and planning with them would refuse requests that can be in time."""
LEAD_SMOOTHING: Final = 0.2
RUN_MARGIN: Final = 1.4
"""Ratio of the time in which most generations end to the expected time."""
DEFAULT_RUN_S: Final = 3.0
"""Time of a generation before the first one has ended."""


@dataclass(slots=True)
class GatewayContext:
    """Collaborators of a request."""

    settings: GatewaySettings
    directory: Directory
    transport: Transport
    rng: random.Random
    loads: ServerLoads = field(default_factory=ServerLoads)
    metrics: Metrics = field(default_factory=Metrics)
    leaves_s: float = float("inf")
    """Time at which this gateway ends; what cannot be done is not begun."""
    now_s: Callable[[], float] = time.monotonic
    room: DecodeRoom = field(init=False)
    loads_changed: Callable[[], None] = lambda: None
    """Called when this gateway's load on the engines has changed."""
    _outputs: dict[str, float] = field(default_factory=dict)
    _lead_s: dict[str, float] = field(default_factory=dict)
    _prompts: dict[str, float] = field(default_factory=dict)
    _run_s: dict[str, float] = field(default_factory=dict)
    _budgets: dict[str, RepeatBudget] = field(default_factory=dict)
    _background: set[asyncio.Task[None]] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.room = DecodeRoom(self)

    def budget(self, service: str) -> RepeatBudget:
        """Return the budget of repeated sends to a service."""
        budget = self._budgets.get(service)
        cfg = self.settings
        if budget is None:
            budget = RepeatBudget(
                SAFETY * cfg.retry_budget_ratio,
                0.0,
                cfg.retry_budget_window_ms / 1_000,
            )
            self._budgets[service] = budget
        # A gateway that is registered or was heard of spends its part.
        gateways = max(
            1 + self.loads.peers(self.now_s()), len(self.directory.gateways)
        )
        budget.allowance = SAFETY * cfg.retry_budget_allowance / gateways
        return budget

    def engine_spec(self, service: str) -> EngineSpec:
        """Return the properties of a model service's engines."""
        known = self.directory.configuration.services.get(service)
        return (known.engine if known else None) or EngineSpec()

    def mean_output(self, service: str) -> float:
        """Return the mean output of late in tokens; 0: not known.

        The means of all gateways count, as one alone may have seen few.
        """
        own = self._outputs.get(service, 0.0)
        return self.loads.mean_with_peers(service, own)

    def lead_s(self, service: str) -> float:
        """Return the time from room to first event that mostly suffices."""
        lead_s = LEAD_MARGIN * self._lead_s.get(service, DEFAULT_LEAD_S)
        return min(lead_s, MAX_LEAD_S)

    def note_lead(self, service: str, took_s: float) -> None:
        """Note the time from a reservation to the first event."""
        mean_s = self._lead_s.get(service, DEFAULT_LEAD_S)
        self._lead_s[service] = mean_s + LEAD_SMOOTHING * (took_s - mean_s)

    def own_outputs(self) -> dict[str, float]:
        """Return the mean outputs that this gateway has seen itself."""
        return dict(self._outputs)

    def run_s(self, service: str) -> float:
        """Return the mean time of a generation at its decode engine."""
        return self._run_s.get(service, DEFAULT_RUN_S)

    def expected_run_s(self, service: str, output: int) -> float:
        """Return the time in which most answers of a length are made."""
        mean = self.mean_output(service)
        share = output / mean if mean else 1.0
        return RUN_MARGIN * share * self.run_s(service)

    def mean_prompt(self, service: str) -> float:
        """Return the mean prompt of late in tokens; 0: not known."""
        return self._prompts.get(service, 0.0)

    def note_prompt(self, service: str, tokens: int) -> None:
        """Note the prompt of a request."""
        mean = self._prompts.get(service, float(tokens))
        self._prompts[service] = mean + OUTPUT_SMOOTHING * (tokens - mean)

    def note_run(self, service: str, tokens: int, took_s: float) -> None:
        """Note the output and the time of a generation that has ended."""
        mean = self._outputs.get(service, float(tokens))
        self._outputs[service] = mean + OUTPUT_SMOOTHING * (tokens - mean)
        mean_s = self.run_s(service)
        self._run_s[service] = mean_s + OUTPUT_SMOOTHING * (took_s - mean_s)
        self.loads.tokens_per_s = self._outputs[service] / self._run_s[service]

    def log(self, event: str, req: ClientRequest, **fields: object) -> None:
        """Log one decision on a request, with the version it rests on."""
        version = self.directory.configuration.version
        pairs = [
            ("event", event),
            ("request", req.id),
            ("after_ms", round(1_000 * (self.now_s() - req.arrived_s))),
            *fields.items(),
            ("configuration", version),
        ]
        logging.info("%s", format_fields(pairs))

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run work that outlives its request."""
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
