"""Finds what the requests that were running at crashes of servers share.

>>> crashes = {
...     "c1": {"a": Suspect({"p", "x"}), "b": Suspect({"y"})},
...     "c2": {"c": Suspect({"p", "z"})},
... }
>>> sorted(common_cause(crashes["c1"], tally(crashes), 2, 2))
['p']
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

MIN_REQUESTS: Final = 3
"""Requests with a part from which on each of their crashes counts."""


@dataclass(slots=True, frozen=True)
class Suspect:
    """A request that was running when a server crashed."""

    parts: Collection[str] = frozenset()
    """Digests of the parts of its prompt that other requests may share."""
    has_begun: bool = False
    """Whether part of its answer had arrived.

    What crashes a server mostly does so before.
    """


@dataclass(slots=True)
class Tally:
    """Crashes that count against one digest."""

    requests: set[str] = field(default_factory=set)
    crashes: set[str] = field(default_factory=set)
    early: set[str] = field(default_factory=set)
    """Crashes at which one of the requests had not begun."""

    def count(self, digest: str) -> int:
        """Return the number of crashes.

        For a part, each must at first be that of another request: one request
        that crashes servers says nothing about the parts that only it has.
        Once several requests share the part, all their crashes count. A
        request that is resumed elsewhere crashes more than one server.
        """
        few = len(self.requests) < MIN_REQUESTS
        if few and self.requests != {digest}:
            return min(len(self.crashes), len(self.requests))
        return len(self.crashes)

    @property
    def early_count(self) -> int:
        """Number of crashes before an answer began; 0 unless these are most.

        A few of them are coincidence where many requests share a part.
        """
        early = len(self.early)
        return early if 2 * early > len(self.crashes) else 0


def tally(
    crashes: Mapping[str, Mapping[str, Suspect]],
    cleared: Mapping[str, Collection[str]] | None = None,
) -> dict[str, Tally]:
    """Return the tally of each digest.

    ``crashes`` are suspects by digest and crash; ``cleared`` holds the digests
    that do not count for a crash.
    """
    tallies: dict[str, Tally] = {}
    for crash, suspects in crashes.items():
        ignored = (cleared or {}).get(crash, ())
        for request, suspect in suspects.items():
            for digest in (request, *suspect.parts):
                if digest in ignored:
                    continue
                found = tallies.setdefault(digest, Tally())
                found.crashes.add(crash)
                found.requests.add(request)
                if not suspect.has_begun:
                    found.early.add(crash)
    return tallies


def common_cause(
    suspects: Mapping[str, Suspect],
    tallies: Mapping[str, Tally],
    min_crashes: int,
    min_part_crashes: int,
) -> frozenset[str] | None:
    """Return the digests that explain a crash, None if that is ambiguous.

    A request needs ``min_crashes``. A part needs ``min_part_crashes``, or
    twice as many if most of the answers had begun. Of those the ones with the
    most crashes are taken, and of these the ones with the most crashes before
    an answer began. Where they do not differ, the result is what refuses the
    fewest requests: a request rather than parts, and parts that came together
    rather than one of them.
    """
    counts = {
        digest: tallies[digest].count(digest)
        for request, suspect in suspects.items()
        for digest in (request, *suspect.parts)
        if digest in tallies
    }

    def needed(digest: str) -> int:
        if digest in suspects:
            return min_crashes
        is_early = tallies[digest].early_count > 0
        return min_part_crashes if is_early else 2 * min_part_crashes

    likely = {
        digest for digest, count in counts.items() if count >= needed(digest)
    }
    ranks = {
        digest: (counts[digest], tallies[digest].early_count)
        for digest in likely
    }
    first = max(ranks.values(), default=None)
    leading = {digest for digest, rank in ranks.items() if rank == first}
    requests = leading & suspects.keys()
    if requests:
        causes = [frozenset({request}) for request in requests]
    else:
        causes = _largest(
            {
                frozenset(leading.intersection(s.parts))
                for s in suspects.values()
            }
        )
    return causes[0] if len(causes) == 1 else None


def _largest(groups: set[frozenset[str]]) -> list[frozenset[str]]:
    """Return the groups that are not empty and not part of another one."""
    return [
        group
        for group in groups
        if group and not any(group < other for other in groups)
    ]
