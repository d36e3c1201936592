"""Subset of the agents that one entry uses, by rendezvous hashing."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Final, Protocol, TypeVar

if TYPE_CHECKING:
    from collections.abc import Sequence

PREFILL_SUBSET_SIZE: Final = 12
"""Number of prefill agents that one entry uses."""
DECODE_SUBSET_SIZE: Final = 16
"""Number of decode agents that one entry uses."""
SAME_ZONE_SHARE: Final = 0.5
"""Share of the subset that is filled from the entry's own zone first."""


class Member(Protocol):
    """Agent properties that the choice depends on."""

    @property
    def name(self) -> str:
        """Name of the backend server."""

    @property
    def zone(self) -> str:
        """Availability zone."""


MemberT = TypeVar("MemberT", bound=Member)


def rendezvous_weight(entry_name: str, member: str) -> int:
    """Return the rendezvous hash of an entry and a member.

    An entry chooses the members with the highest weights.
    """
    data = f"{entry_name}\0{member}".encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")


def choose_subset(
    entry_name: str, zone: str, members: Sequence[MemberT], size: int
) -> list[MemberT]:
    """Choose up to ``size`` members for an entry, best first.

    Up to half come from the entry's zone. The remaining places go to the
    highest weights among the other members of all zones, so that the loss of a
    zone leaves live members. If a member leaves, at most one other member is
    added.
    """
    ranked = sorted(
        members,
        key=lambda m: rendezvous_weight(entry_name, m.name),
        reverse=True,
    )
    local_size = int(size * SAME_ZONE_SHARE)
    local = [m for m in ranked if m.zone == zone][:local_size]
    names = {m.name for m in local}
    rest = [m for m in ranked if m.name not in names]
    return local + rest[: size - len(local)]
