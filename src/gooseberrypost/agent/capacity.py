"""Capacity of the backend server: the ledger and the measured rates."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final, Self

from mode import Service

from gooseberrypost.blackboard import Blackboard, Section
from gooseberrypost.state.ledger import Allocation, Ledger, ReservationRequest
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from result import Result

    from gooseberrypost.errors import NoCapacity, StaleAttempt
    from gooseberrypost.identity import Attempt
    from gooseberrypost.settings.agent import BackendSettings

OWNER: Final = "CapacityController"
INITIAL_PREFILL_TOKENS_PER_S: Final = 20_000.0
"""Prefill rate assumed before the first measurement."""
INITIAL_TOKEN_GAP_MS: Final = 26.0
"""Time between two tokens assumed before the first measurement."""
SMOOTHING_FACTOR: Final = 0.2
"""Weight of a new sample in the exponential moving averages."""
MIN_SAMPLE_TOKENS: Final = 1_000
"""Smallest number of computed tokens that updates the prefill rate.

A shorter prefill consists mostly of fixed overhead.
"""


class Capacity(Section):
    """Section with the allocations and speed of the backend server."""

    __slots__ = (
        "ledger",
        "prefill_tokens_per_s",
        "queue_tokens",
        "token_gap_ms",
    )

    def __init__(self, ledger: Ledger) -> None:
        super().__init__()
        self.ledger = ledger
        self.queue_tokens = 0
        """Prompt tokens of accepted prefills that have not finished."""
        self.prefill_tokens_per_s = INITIAL_PREFILL_TOKENS_PER_S
        """Moving average of the prefill rate."""
        self.token_gap_ms = INITIAL_TOKEN_GAP_MS
        """Moving average of the time between two tokens of a stream."""


class CapacityController(Service):
    """Sole writer of the capacity section."""

    def __init__(self, board: Blackboard, capacity: Capacity) -> None:
        super().__init__()
        board.add(capacity, OWNER)
        self.capacity = capacity

    @classmethod
    def from_config(cls, cfg: BackendSettings, board: Blackboard) -> Self:
        """Build a controller with an empty ledger of the configured size."""
        ledger = Ledger(cfg.slots, cfg.pieces, cfg.link_kb_per_s)
        return cls(board, Capacity(ledger))

    def reserve(
        self, request: ReservationRequest, now_ms: int
    ) -> Result[Allocation, NoCapacity]:
        """Reserve a slot and memory pieces for an attempt."""
        return self._notified(self.capacity.ledger.reserve(request, now_ms))

    def start_reservation(
        self, number: int, holder: Attempt, now_ms: int
    ) -> Result[Allocation, StaleAttempt]:
        """Mark a reservation as in use, which ends its time limit."""
        return self._notified(
            self.capacity.ledger.start(number, holder, now_ms)
        )

    def adopt(self, holder: Attempt, pieces: int) -> Allocation:
        """Add the allocation of a request of an earlier agent process."""
        return self._notified(self.capacity.ledger.adopt(holder, pieces))

    def release_slot(self, holder: Attempt, expires_ms: int) -> None:
        """Free the slot of a finished prefill.

        Its memory pieces stay allocated until the clock time ``expires_ms``.
        """
        self._notified(self.capacity.ledger.release_slot(holder, expires_ms))

    def release(self, holder: Attempt) -> bool:
        """Release an attempt's allocation; returns whether there was one."""
        return self._notified(self.capacity.ledger.release(holder))

    def release_reserved(self, owner: int) -> list[Attempt]:
        """Release the unstarted reservations of an entry.

        ``owner`` is the incarnation of the entry.
        """
        return self._notified(self.capacity.ledger.release_reserved(owner))

    def postpone_expiry(self, delay_ms: int) -> None:
        """Let reservations and prefill results lapse later by a delay."""
        for allocation in self.capacity.ledger.allocations:
            if not allocation.running:
                allocation.expires_ms += delay_ms

    def expire(self, now_ms: int) -> list[Attempt]:
        """Release lapsed reservations and prefill results."""
        return self._notified(self.capacity.ledger.expire(now_ms))

    def adjust_queue(self, tokens: int) -> None:
        """Add prompt tokens to the prefill queue; negative: remove them."""
        self.capacity.queue_tokens += tokens

    def record_prefill_rate(self, tokens: int, elapsed_ms: float) -> None:
        """Update the prefill rate from a finished prefill.

        ``tokens`` counts the tokens that were computed, without those found
        in the prefix cache. A prefill of fewer than ``MIN_SAMPLE_TOKENS``,
        as of a mostly cached prompt, is ignored: its fixed overhead would
        make the engine appear slow.
        """
        if tokens >= MIN_SAMPLE_TOKENS and elapsed_ms > 0:
            rate = tokens * 1_000 / elapsed_ms
            mean = self.capacity.prefill_tokens_per_s
            self.capacity.prefill_tokens_per_s = mean + SMOOTHING_FACTOR * (
                rate - mean
            )

    def record_token_gap(self, gap_ms: float) -> None:
        """Update the average time between two tokens of a stream."""
        mean = self.capacity.token_gap_ms
        self.capacity.token_gap_ms = mean + SMOOTHING_FACTOR * (gap_ms - mean)

    def _notified(self, value: Any) -> Any:
        self.capacity.notify()
        return value


def load_message(
    capacity: Capacity,
    now_ms: int,
    draining: bool,
    configuration_version: int,
    incarnation: int,
) -> Any:
    """Build the ``Load`` message that is attached to the agent's replies."""
    ledger = capacity.ledger
    return idl.Load(
        slots=ledger.slots,
        slots_used=ledger.slots_used,
        pieces=ledger.pieces,
        pieces_used=ledger.pieces_used,
        queue_tokens=capacity.queue_tokens,
        prefill_tokens_per_s=capacity.prefill_tokens_per_s,
        token_gap_ms=capacity.token_gap_ms,
        draining=draining,
        configuration_version=configuration_version,
        suspects=ledger.suspects,
        link_booked_kb_per_s=ledger.link_booked_kb_per_s(now_ms),
        incarnation=incarnation,
    )
