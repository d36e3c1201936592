"""Subset of agents that one entry deals with, by rendezvous hashing."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Final, Protocol, TypeVar

if TYPE_CHECKING:
    from collections.abc import Sequence

PREFILL_SUBSET: Final = 12
DECODE_SUBSET: Final = 16
SAME_ZONE_SHARE: Final = 0.5
"""Share of the subset taken from the entry's own zone first."""


class Member(Protocol):
    """What the choice needs to know of an agent."""

    @property
    def name(self) -> str:
        """Name of the backend server."""

    @property
    def zone(self) -> str:
        """Availability zone."""


M = TypeVar("M", bound=Member)


def rendezvous_weight(owner: str, member: str) -> int:
    """Weight of a member for an owner: the highest weights are chosen."""
    data = f"{owner}\0{member}".encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")


def choose_subset(
    owner: str, zone: str, members: Sequence[M], size: int
) -> list[M]:
    """Choose up to ``size`` members for an entry, best first.

    Half comes from the entry's zone as far as it has members; the other
    places go to the highest weights among the rest of all zones, so that the
    loss of a zone leaves live members. When one member leaves, at most one
    other takes its place.
    """
    ranked = sorted(
        members, key=lambda m: rendezvous_weight(owner, m.name), reverse=True
    )
    local_places = int(size * SAME_ZONE_SHARE)
    local = [m for m in ranked if m.zone == zone][:local_places]
    names = {m.name for m in local}
    rest = [m for m in ranked if m.name not in names]
    return local + rest[: size - len(local)]
