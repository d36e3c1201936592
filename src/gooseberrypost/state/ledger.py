"""Capacity of a backend server: slots, memory pieces and import link.

A slot is the capacity for one running request. Memory pieces are the unit in
which KV cache memory is counted. The import link carries KV cache transfers.

>>> ledger = Ledger(slots=1, pieces=4, link_kb_per_s=1_000)
>>> attempt = Attempt("k", 1)
>>> request = ReservationRequest(attempt, owner=7, pieces=3, ttl_ms=500)
>>> ledger.reserve(request, now_ms=0).unwrap().number
1
>>> attempt = Attempt("other", 1)
>>> other = ReservationRequest(attempt, owner=7, pieces=1, ttl_ms=500)
>>> ledger.reserve(other, now_ms=0).unwrap_err().code
'no_capacity'
>>> ledger.expire(now_ms=500)
[Attempt(key='k', number=1)]
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, NamedTuple

from result import Err, Ok, Result

from gooseberrypost.errors import NoCapacity, StaleAttempt
from gooseberrypost.identity import Attempt

if TYPE_CHECKING:
    from collections.abc import Callable

LINK_WINDOW_MS: Final = 1_000
"""Window over which the booked rate of the import link is averaged."""


class ReservationRequest(NamedTuple):
    """Request for capacity; its times are relative to the current time."""

    holder: Attempt
    """Attempt that the capacity is for."""
    owner: int
    """Incarnation of the entry that makes the request."""
    pieces: int
    ttl_ms: int
    """Time after which the reservation lapses if it is not started."""
    suspect: bool = False
    """The content may have crashed a backend server."""
    digest: bytes = b""
    """Digest of the content."""
    transfer_kb: int = 0
    """Size of the KV cache to import; 0: no transfer is booked."""
    expected_start_ms: int = 0
    """Time until the transfer can start."""
    parts: tuple[bytes, ...] = ()
    """Digests of the parts of the prompt that others may share."""


class LinkBooking(NamedTuple):
    """Time window of one transfer, at the full rate of the import link."""

    start_ms: int
    end_ms: int
    kb_per_s: int


@dataclass(slots=True)
class Allocation:
    """A slot and memory pieces that an attempt has reserved or uses."""

    number: int
    """Reservation number, unique in this ledger."""
    holder: Attempt
    owner: int
    """Incarnation of the entry that made the reservation."""
    pieces: int
    expires_ms: int
    """Clock time at which the allocation lapses unless it is running."""
    suspect: bool
    digest: bytes
    booking: LinkBooking | None
    running: bool = False
    uses_slot: bool = True
    """Whether a slot is occupied; a finished prefill occupies none."""
    held_by_server: bool = False
    """Started, so the backend server may hold memory for the attempt."""
    parts: tuple[bytes, ...] = ()
    """Digests of the parts of the prompt that others may share."""


class Ledger:
    """Authoritative record of a backend server's capacity.

    The sum of all allocations, reserved or in use, never exceeds the capacity.
    """

    __slots__ = (
        "_allocations",
        "_last_number",
        "link_kb_per_s",
        "pieces",
        "slots",
    )

    def __init__(self, slots: int, pieces: int, link_kb_per_s: int) -> None:
        self.slots = slots
        self.pieces = pieces
        self.link_kb_per_s = link_kb_per_s
        self._allocations: dict[Attempt, Allocation] = {}
        self._last_number = 0

    @property
    def slots_used(self) -> int:
        """Slots that are reserved or in use."""
        return sum(
            allocation.uses_slot for allocation in self._allocations.values()
        )

    @property
    def is_idle(self) -> bool:
        """Whether there are no allocations."""
        return not self._allocations

    @property
    def pieces_used(self) -> int:
        """Memory pieces that are reserved or in use."""
        return sum(
            allocation.pieces for allocation in self._allocations.values()
        )

    @property
    def suspects(self) -> int:
        """Allocations of requests that may have crashed a backend server."""
        return sum(
            allocation.suspect for allocation in self._allocations.values()
        )

    @property
    def allocations(self) -> tuple[Allocation, ...]:
        """All allocations, oldest first."""
        return tuple(self._allocations.values())

    def find(self, holder: Attempt) -> Allocation | None:
        """Return the allocation of an attempt."""
        return self._allocations.get(holder)

    def link_booked_kb_per_s(self, now_ms: int) -> int:
        """Average rate booked on the import link over the next second."""
        end_ms = now_ms + LINK_WINDOW_MS
        booked = 0
        for booking in self._bookings():
            overlap = min(booking.end_ms, end_ms) - max(
                booking.start_ms, now_ms
            )
            booked += max(0, overlap) * booking.kb_per_s
        return booked // LINK_WINDOW_MS

    def reserve(
        self, request: ReservationRequest, now_ms: int
    ) -> Result[Allocation, NoCapacity]:
        """Reserve capacity for ``ttl_ms``.

        A repeated request of the same attempt returns its first allocation,
        and renews it until it is used. At most one suspect request may hold
        capacity at a time, so that a crash while it runs is attributed to one
        request only.
        """
        held = self._allocations.get(request.holder)
        if held is not None:
            if not held.held_by_server:
                renewed_ms = now_ms + request.ttl_ms
                held.expires_ms = max(held.expires_ms, renewed_ms)
            return Ok(held)
        refusal = self._refusal(request)
        if refusal is not None:
            return Err(refusal)
        return Ok(self._add(request, now_ms, self._book(request, now_ms)))

    def adopt(self, holder: Attempt, pieces: int) -> Allocation:
        """Add the allocation of a request that is already running."""
        request = ReservationRequest(holder, owner=0, pieces=pieces, ttl_ms=0)
        allocation = self._add(request, 0, None)
        allocation.running = allocation.held_by_server = True
        return allocation

    def start(
        self, number: int, holder: Attempt, now_ms: int
    ) -> Result[Allocation, StaleAttempt]:
        """Mark a reservation as in use, which ends its time limit."""
        allocation = self._allocations.get(holder)
        if allocation is None or allocation.number != number:
            return Err(StaleAttempt(f"reservation {number} does not exist"))
        if allocation.held_by_server:
            return Err(StaleAttempt(f"reservation {number} is in use"))
        if allocation.expires_ms <= now_ms:
            del self._allocations[holder]
            return Err(StaleAttempt(f"reservation {number} has lapsed"))
        allocation.running = allocation.held_by_server = True
        return Ok(allocation)

    def release_slot(self, holder: Attempt, expires_ms: int) -> None:
        """Free the slot of a finished prefill and keep its memory pieces.

        The pieces are held until the result lapses. If results that await
        their import kept their slots, a prefill engine could run no more
        prefills than it has slots during the retention time of a result.
        """
        allocation = self._allocations.get(holder)
        if allocation is not None:
            allocation.running = allocation.uses_slot = False
            allocation.expires_ms = expires_ms

    def release(self, holder: Attempt) -> bool:
        """Remove an attempt's allocation; returns whether there was one."""
        return self._allocations.pop(holder, None) is not None

    def release_reserved(self, owner: int) -> list[Attempt]:
        """Remove the unstarted reservations of an entry.

        Returns the attempts that held them.
        """
        return self._remove(
            lambda a: a.owner == owner and not a.held_by_server
        )

    def expire(self, now_ms: int) -> list[Attempt]:
        """Remove the lapsed allocations and return their attempts."""
        return self._remove(lambda a: not a.running and a.expires_ms <= now_ms)

    def _remove(
        self, condition: Callable[[Allocation], bool]
    ) -> list[Attempt]:
        removed = [
            a.holder for a in self._allocations.values() if condition(a)
        ]
        for holder in removed:
            del self._allocations[holder]
        return removed

    def _refusal(self, request: ReservationRequest) -> NoCapacity | None:
        if self.slots_used >= self.slots:
            return NoCapacity(f"all {self.slots} slots are taken")
        free = self.pieces - self.pieces_used
        if not 0 <= request.pieces <= free:
            return NoCapacity(
                f"{request.pieces} pieces requested, {free} free"
            )
        if request.suspect and self.suspects:
            return NoCapacity("another suspect request holds capacity")
        return None

    def _add(
        self,
        request: ReservationRequest,
        now_ms: int,
        booking: LinkBooking | None,
    ) -> Allocation:
        self._last_number += 1
        allocation = Allocation(
            number=self._last_number,
            holder=request.holder,
            owner=request.owner,
            pieces=request.pieces,
            expires_ms=now_ms + request.ttl_ms,
            suspect=request.suspect,
            digest=request.digest,
            parts=request.parts,
            booking=booking,
        )
        self._allocations[request.holder] = allocation
        return allocation

    def _bookings(self) -> list[LinkBooking]:
        return sorted(
            a.booking for a in self._allocations.values() if a.booking
        )

    def _book(
        self, request: ReservationRequest, now_ms: int
    ) -> LinkBooking | None:
        """Book the first gap that is long enough for the whole transfer.

        Transfers run one at a time at the full rate. None of them ends later
        than it would if the link were shared equally.
        """
        if not self.link_kb_per_s or not request.transfer_kb:
            return None
        duration_ms = -(-request.transfer_kb * 1_000 // self.link_kb_per_s)
        start_ms = now_ms + request.expected_start_ms
        for booking in self._bookings():
            if booking.start_ms >= start_ms + duration_ms:
                break
            start_ms = max(start_ms, booking.end_ms)
        return LinkBooking(
            start_ms, start_ms + duration_ms, self.link_kb_per_s
        )
