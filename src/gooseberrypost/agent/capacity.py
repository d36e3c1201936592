"""Capacity of the backend server: ledger and measured rates."""

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
INITIAL_TOKEN_GAP_MS: Final = 26.0
SMOOTHING: Final = 0.2
MIN_MEASURED_TOKENS: Final = 1_000
"""Weight of a new measurement in the running mean."""


class Capacity(Section):
    """What the backend server holds and how fast it is."""

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
        """Prompt tokens accepted for prefill and not yet computed."""
        self.prefill_tokens_per_s = INITIAL_PREFILL_TOKENS_PER_S
        self.token_gap_ms = INITIAL_TOKEN_GAP_MS


class CapacityController(Service):
    """Writer of the capacity section."""

    def __init__(self, board: Blackboard, capacity: Capacity) -> None:
        super().__init__()
        board.add(capacity, OWNER)
        self.capacity = capacity

    @classmethod
    def from_config(cls, cfg: BackendSettings, board: Blackboard) -> Self:
        """Start with an empty ledger of the configured size."""
        ledger = Ledger(cfg.slots, cfg.pieces, cfg.link_kb_per_s)
        return cls(board, Capacity(ledger))

    def reserve(
        self, ask: ReservationRequest, now_ms: int
    ) -> Result[Allocation, NoCapacity]:
        """Reserve a slot and memory pieces."""
        return self._changed(self.capacity.ledger.reserve(ask, now_ms))

    def hold(
        self, number: int, holder: Attempt, now_ms: int
    ) -> Result[Allocation, StaleAttempt]:
        """Turn a reservation into a holding."""
        return self._changed(
            self.capacity.ledger.start(number, holder, now_ms)
        )

    def adopt(self, holder: Attempt, pieces: int) -> Allocation:
        """Count a request that a former agent process started."""
        return self._changed(self.capacity.ledger.adopt(holder, pieces))

    def limit(self, holder: Attempt, expires_ms: int) -> None:
        """Let a prefill result lapse at a clock time."""
        self._changed(self.capacity.ledger.release_slot(holder, expires_ms))

    def release(self, holder: Attempt) -> bool:
        """Free what an attempt holds."""
        return self._changed(self.capacity.ledger.release(holder))

    def release_reserved(self, owner: int) -> list[Attempt]:
        """Free the unused reservations of an entry."""
        return self._changed(self.capacity.ledger.release_reserved(owner))

    def expire(self, now_ms: int) -> list[Attempt]:
        """Free the reservations whose time is over."""
        return self._changed(self.capacity.ledger.expire(now_ms))

    def enqueue(self, tokens: int) -> None:
        """Count prompt tokens that wait for prefill; negative: they left."""
        self.capacity.queue_tokens += tokens

    def measure_prefill(self, tokens: int, elapsed_ms: float) -> None:
        """Update the measured prefill rate, in tokens computed.

        A prefill of few tokens, as where the prompt is cached, takes mostly
        fixed time and would make the engine look slow.
        """
        if tokens >= MIN_MEASURED_TOKENS and elapsed_ms > 0:
            rate = tokens * 1_000 / elapsed_ms
            old = self.capacity.prefill_tokens_per_s
            self.capacity.prefill_tokens_per_s = old + SMOOTHING * (rate - old)

    def measure_gap(self, gap_ms: float) -> None:
        """Update the measured time between two tokens."""
        old = self.capacity.token_gap_ms
        self.capacity.token_gap_ms = old + SMOOTHING * (gap_ms - old)

    def _changed(self, value: Any) -> Any:
        self.capacity.notify()
        return value


def load_message(
    capacity: Capacity,
    now_ms: int,
    draining: bool,
    configuration_version: int,
    incarnation: int,
) -> Any:
    """``Load`` that rides on the replies of the agent."""
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
