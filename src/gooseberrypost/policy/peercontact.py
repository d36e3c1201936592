"""Tells how much of the other gateways this one hears of.

The sum over all gateways is known only while their notices arrive. From the
share of gateways that were heard recently follows the share of a limit that
this gateway may use.

>>> contact = PeerContact(now_s=0.0)
>>> contact.set_gateways(2)
>>> contact.share(0.0)
0.5
>>> contact.record("gateway-2", incarnation=7, received_s=0.1)
>>> contact.share(0.2), contact.share(0.55), contact.share(2.0)
(0.5, 1.0, 0.5)
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

CONTACT_S: Final = 0.5
"""Time without a notice after which a gateway is out of contact.

Gateways send a notice each 0.3 s at least; a late one must not count as lost.
"""
QUIET_S: Final = 0.15
"""Time without any notice after which this gateway may be cut off.

With ``QUIET_GATEWAYS``, eight notices arrive in this time on average.
"""
QUIET_GATEWAYS: Final = 16
"""Number of gateways from which ``QUIET_S`` applies."""
FULL_CONTACT: Final = 0.95
"""Share of the gateways that counts as all of them.

Those that are out of contact use their own share at most, which is half of
the permitted overshoot of a tenth. A few late notices cost nothing this way.
"""
LOST_CONTACT: Final = 0.4
"""Share of the gateways below which no sum is known."""
REGAINED_CONTACT: Final = 0.6
"""Share from which sums are known again; apart from ``LOST_CONTACT``, as the
share of a half of the gateways varies with each late notice."""
REJOIN_S: Final = 1.0
"""Silence after which the counts of a gateway are taken up afresh.

What it admitted meanwhile came out of its own share.
"""
CACHE_S: Final = 0.02
"""Time for which a computed share is used again."""


@dataclass(slots=True)
class _Peer:
    """What is known of one other gateway."""

    incarnation: int
    heard_s: float
    since_s: float
    """Time since which its counts are known without a gap."""


class PeerContact:
    """Notices of other gateways, as the basis of the share of limits."""

    __slots__ = (
        "_computed_s",
        "_fraction",
        "_gateways",
        "_heard_s",
        "_is_lost",
        "_limit",
        "_peers",
        "since_s",
    )

    def __init__(self, now_s: float) -> None:
        self._peers: dict[str, _Peer] = {}
        self._gateways = 1
        self._limit = 1.0
        self._fraction = 1.0
        self._computed_s = float("-inf")
        self._is_lost = False
        """Whether too few gateways are heard to know any sum."""
        self._heard_s = now_s
        """Time of the last notice of any gateway."""
        self.since_s = now_s
        """Time since which this gateway knows the sums.

        It is renewed when the gateway has been out of contact with most of
        the others.
        """

    def set_gateways(self, count: int, limit: float = 1.0) -> None:
        """Set the number of gateways and an upper bound of the share."""
        if count != self._gateways or limit != self._limit:
            self._computed_s = float("-inf")
        self._gateways, self._limit = max(1, count), limit

    @property
    def gateways(self) -> int:
        """Number of gateways, this one included."""
        return self._gateways

    @property
    def heard_s(self) -> float:
        """Time of the last notice of any gateway."""
        return self._heard_s

    def heard(self, now_s: float) -> int:
        """Return the number of gateways in contact, this one included."""
        oldest_s = now_s - CONTACT_S
        return 1 + sum(
            peer.heard_s >= oldest_s for peer in self._peers.values()
        )

    def record(
        self, gateway: str, incarnation: int, received_s: float
    ) -> None:
        """Record that a notice arrived."""
        if self._peers and received_s - self._heard_s > REJOIN_S:
            # This gateway was frozen, or cut off from all others.
            self.since_s = received_s
        self._heard_s = max(self._heard_s, received_s)
        peer = self._peers.get(gateway)
        if peer is None or peer.incarnation != incarnation:
            # Whatever a gateway that starts has counted is new.
            self._peers[gateway] = _Peer(
                incarnation, received_s, float("-inf")
            )
        else:
            if received_s - peer.heard_s > REJOIN_S:
                peer.since_s = received_s
            peer.heard_s = max(peer.heard_s, received_s)

    def counted_since_s(self, gateway: str) -> float:
        """Return the time since which a gateway's counts are to be taken."""
        peer = self._peers.get(gateway)
        since_s = float("-inf") if peer is None else peer.since_s
        return max(self.since_s, since_s)

    def share(self, now_s: float) -> float:
        """Return the share of the limits that this gateway may use."""
        if not 0 <= now_s - self._computed_s < CACHE_S:
            self._compute(now_s)
        share = min(self._fraction, self._limit)
        if now_s < self.since_s + CONTACT_S:
            # Gateways that rejoin together do not know each other's use yet.
            share = min(share, self.single_share)
        return 1.0 if share >= FULL_CONTACT else share

    def is_quiet(self, now_s: float) -> bool:
        """Whether so many notices are missing that contact may be lost."""
        return (
            self._gateways >= QUIET_GATEWAYS
            and now_s - self._heard_s > QUIET_S
        )

    @property
    def single_share(self) -> float:
        """Share of a gateway that hears no other one."""
        return 1 / self._gateways

    def _compute(self, now_s: float) -> None:
        self._computed_s = now_s
        self._fraction = min(1.0, self.heard(now_s) / self._gateways)
        if self._fraction < LOST_CONTACT:
            self._is_lost = True
        elif self._is_lost and self._fraction >= REGAINED_CONTACT:
            self._is_lost = False
            self.since_s = now_s

    def drop_before(self, oldest_s: float) -> None:
        """Forget gateways that were not heard since a time."""
        self._peers = {
            name: peer
            for name, peer in self._peers.items()
            if peer.heard_s >= oldest_s
        }
