"""Ledger of a backend server's slots, memory pieces and import link.

>>> ledger = Ledger(slots=1, pieces=4, link_kb_per_s=1_000)
>>> ask = Ask(Attempt("k", 1), owner=7, pieces=3, ttl_ms=500)
>>> ledger.reserve(ask, now_ms=0).unwrap().number
1
>>> other = Ask(Attempt("other", 1), owner=7, pieces=1, ttl_ms=500)
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


class Ask(NamedTuple):
    """What a reservation asks for. Times are relative to now."""

    holder: Attempt
    owner: int
    """Incarnation of the entry."""
    pieces: int
    ttl_ms: int
    suspect: bool = False
    digest: bytes = b""
    transfer_kb: int = 0
    expected_start_ms: int = 0


class Booking(NamedTuple):
    """Time on the import link, at its whole rate."""

    start_ms: int
    end_ms: int
    kb_per_s: int


@dataclass(slots=True)
class Holding:
    """A slot and memory pieces, reserved or in use."""

    number: int
    holder: Attempt
    owner: int
    pieces: int
    expires_ms: int
    """Clock time at which an unstarted reservation lapses."""
    suspect: bool
    digest: bytes
    booking: Booking | None
    running: bool = False
    slot: bool = True
    """Whether it counts as a slot; a finished prefill does not."""
    in_server: bool = False
    """The backend server may hold memory for it."""


class Ledger:
    """Authoritative count; the sum held and reserved fits the capacity."""

    __slots__ = (
        "_holdings",
        "_last_number",
        "link_kb_per_s",
        "pieces",
        "slots",
    )

    def __init__(self, slots: int, pieces: int, link_kb_per_s: int) -> None:
        self.slots = slots
        self.pieces = pieces
        self.link_kb_per_s = link_kb_per_s
        self._holdings: dict[Attempt, Holding] = {}
        self._last_number = 0

    @property
    def slots_used(self) -> int:
        """Slots held and reserved."""
        return sum(holding.slot for holding in self._holdings.values())

    @property
    def is_idle(self) -> bool:
        """Whether nothing is held or reserved."""
        return not self._holdings

    @property
    def pieces_used(self) -> int:
        """Memory pieces held and reserved."""
        return sum(holding.pieces for holding in self._holdings.values())

    @property
    def suspects(self) -> int:
        """Holdings of requests under suspicion of a crash."""
        return sum(holding.suspect for holding in self._holdings.values())

    @property
    def holdings(self) -> tuple[Holding, ...]:
        """Everything held or reserved, oldest first."""
        return tuple(self._holdings.values())

    def find(self, holder: Attempt) -> Holding | None:
        """Return the holding of an attempt."""
        return self._holdings.get(holder)

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

    def reserve(self, ask: Ask, now_ms: int) -> Result[Holding, NoCapacity]:
        """Reserve for a limited time; a repeated ask gets the same grant.

        One suspect at a time may hold capacity, so that a crash while it
        runs convicts one request only.
        """
        held = self._holdings.get(ask.holder)
        if held is not None:
            return Ok(held)
        refusal = self._refusal(ask)
        if refusal is not None:
            return Err(refusal)
        return Ok(self._add(ask, now_ms, self._book(ask, now_ms)))

    def adopt(self, holder: Attempt, pieces: int) -> Holding:
        """Count a request that already runs in the backend server."""
        ask = Ask(holder, owner=0, pieces=pieces, ttl_ms=0)
        holding = self._add(ask, 0, None)
        holding.running = holding.in_server = True
        return holding

    def start(
        self, number: int, holder: Attempt, now_ms: int
    ) -> Result[Holding, StaleAttempt]:
        """Turn a reservation into a holding, which has no time limit."""
        holding = self._holdings.get(holder)
        if holding is None or holding.number != number:
            return Err(StaleAttempt(f"reservation {number} does not exist"))
        if holding.in_server:
            return Err(StaleAttempt(f"reservation {number} is in use"))
        if holding.expires_ms <= now_ms:
            del self._holdings[holder]
            return Err(StaleAttempt(f"reservation {number} has lapsed"))
        holding.running = holding.in_server = True
        return Ok(holding)

    def shrink(self, holder: Attempt, expires_ms: int) -> None:
        """Keep the pieces of a finished prefill until its result lapses.

        Its slot is free: results that wait for import would otherwise limit
        a prefill engine to its slots in each life of a result.
        """
        holding = self._holdings.get(holder)
        if holding is not None:
            holding.running = holding.slot = False
            holding.expires_ms = expires_ms

    def release(self, holder: Attempt) -> bool:
        """Free what an attempt holds; returns whether it held anything."""
        return self._holdings.pop(holder, None) is not None

    def release_reserved(self, owner: int) -> list[Attempt]:
        """Free every reservation of an entry that was never started."""
        return self._remove(lambda h: h.owner == owner and not h.in_server)

    def expire(self, now_ms: int) -> list[Attempt]:
        """Free the reservations whose time is over."""
        return self._remove(lambda h: not h.running and h.expires_ms <= now_ms)

    def _remove(self, condition: Callable[[Holding], bool]) -> list[Attempt]:
        gone = [h.holder for h in self._holdings.values() if condition(h)]
        for holder in gone:
            del self._holdings[holder]
        return gone

    def _refusal(self, ask: Ask) -> NoCapacity | None:
        if self.slots_used >= self.slots:
            return NoCapacity(f"all {self.slots} slots are taken")
        free = self.pieces - self.pieces_used
        if not 0 <= ask.pieces <= free:
            return NoCapacity(f"{ask.pieces} pieces asked, {free} free")
        if ask.suspect and self.suspects:
            return NoCapacity("another suspect request runs here")
        return None

    def _add(self, ask: Ask, now_ms: int, booking: Booking | None) -> Holding:
        self._last_number += 1
        holding = Holding(
            number=self._last_number,
            holder=ask.holder,
            owner=ask.owner,
            pieces=ask.pieces,
            expires_ms=now_ms + ask.ttl_ms,
            suspect=ask.suspect,
            digest=ask.digest,
            booking=booking,
        )
        self._holdings[ask.holder] = holding
        return holding

    def _bookings(self) -> list[Booking]:
        return sorted(h.booking for h in self._holdings.values() if h.booking)

    def _book(self, ask: Ask, now_ms: int) -> Booking | None:
        """Book the first gap that is long enough for the whole transfer.

        One transfer at a time at the whole rate ends no transfer later than
        an equal split of the link would.
        """
        if not self.link_kb_per_s or not ask.transfer_kb:
            return None
        duration_ms = -(-ask.transfer_kb * 1_000 // self.link_kb_per_s)
        start_ms = now_ms + ask.expected_start_ms
        for booking in self._bookings():
            if booking.start_ms >= start_ms + duration_ms:
                break
            start_ms = max(start_ms, booking.end_ms)
        return Booking(start_ms, start_ms + duration_ms, self.link_kb_per_s)
