"""Quarantine: which content is suspected or convicted of crashing servers.

Evidence is a set of crashes, each with the digests that were running, and the
convictions drawn from them. Merging is a union, so that a report may arrive
twice, late or through several owners.

>>> evidence = Evidence()
>>> evidence.report("c1", {"p", "a", "b"}, now_ms=0)
True
>>> evidence.verdict("p"), evidence.verdict("z")
(<Suspicion.SUSPECT: 'suspect'>, <Suspicion.CLEAN: 'clean'>)
>>> evidence.report("c2", {"p", "x"}, now_ms=5)
True
>>> [evidence.verdict(digest).value for digest in "pax"]
['convicted', 'suspect', 'suspect']
"""

from __future__ import annotations

import hashlib
import json
from enum import StrEnum
from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result

from gooseberrypost.errors import Failure

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_DIGESTS: Final = 64
"""Digests kept of one crash; an engine runs about twenty requests."""
MAX_CRASHES: Final = 400
"""Crashes kept; 400 of 64 digests are 920 KB of a value of up to 1 MB."""
SUSPECT_MS: Final = 600_000
CONVICTED_MS: Final = 86_400_000


class InvalidEvidence(Failure):
    """The stored evidence is malformed."""

    code = "invalid_evidence"


class Suspicion(StrEnum):
    """What is held against a content digest."""

    CLEAN = "clean"
    SUSPECT = "suspect"
    """Ran in one crash, or in several together with another suspect."""
    CONVICTED = "convicted"
    """Ran in two crashes, and was the only one of a crash to do so."""


def isolation_order(digest: str, servers: Iterable[str]) -> list[str]:
    """Order of servers on which every entry places the same suspect.

    A suspect goes to the first server or waits for it. Copies of the content
    under several ids thus meet on one server, which runs one suspect at a
    time; on two servers they would take down both at once.
    """

    def weight(server: str) -> bytes:
        text = f"{digest} {server}"
        return hashlib.blake2b(text.encode(), digest_size=8).digest()

    return sorted(servers, key=weight)


class Evidence:
    """Crashes and convictions, by the wall-clock time of the report in ms.

    Members of a crash stay suspects after a conviction explains the crash:
    content that is cleared and crashes servers as well would take down a
    third one before it is convicted.
    """

    __slots__ = ("_counts", "_crashes", "_reported_ms", "convicted")

    def __init__(self) -> None:
        self.convicted: dict[str, int] = {}
        """Digest to time of conviction."""
        self._crashes: dict[str, frozenset[str]] = {}
        self._reported_ms: dict[str, int] = {}
        self._counts: dict[str, int] = {}

    @classmethod
    def parse(cls, text: str) -> Result[Evidence, InvalidEvidence]:
        """Parse the stored form; empty text is no evidence."""
        evidence = cls()
        try:
            document = json.loads(text) if text else [[], {}]
            for crash, digests, at_ms in document[0]:
                evidence._add(str(crash), frozenset(digests), int(at_ms))
            for digest, at_ms in document[1].items():
                evidence.convicted[digest] = int(at_ms)
        except (ValueError, TypeError, LookupError, AttributeError) as exc:
            return Err(InvalidEvidence(f"evidence: {exc!r}"))
        return Ok(evidence)

    def text(self) -> str:
        """Value to store; equal evidence gives equal text."""
        crashes = [
            [crash, sorted(digests), self._reported_ms[crash]]
            for crash, digests in sorted(self._crashes.items())
        ]
        return json.dumps([crashes, dict(sorted(self.convicted.items()))])

    def report(self, crash: str, digests: Iterable[str], now_ms: int) -> bool:
        """Add a crash; returns whether it was not known before."""
        running = frozenset(sorted(set(digests))[:MAX_DIGESTS])
        if not running or crash in self._crashes:
            return False
        self._add(crash, running, now_ms)
        self._convict(now_ms)
        return True

    def merge(self, other: Evidence, now_ms: int) -> bool:
        """Add everything another owner knows; returns whether this grew."""
        before = len(self._crashes), len(self.convicted)
        for digest, at_ms in other.convicted.items():
            known = self.convicted.get(digest, at_ms)
            self.convicted[digest] = min(known, at_ms)
        for crash, digests in other._crashes.items():
            if crash not in self._crashes:
                self._add(crash, digests, other._reported_ms[crash])
        self._convict(now_ms)
        return before != (len(self._crashes), len(self.convicted))

    def covers(self, other: Evidence) -> bool:
        """Whether everything that ``other`` knows is known here."""
        crashes = other._crashes.keys() <= self._crashes.keys()
        return crashes and other.convicted.keys() <= self.convicted.keys()

    def expire(self, now_ms: int) -> None:
        """Forget old crashes and convictions, and the oldest beyond a limit.

        The time is an argument of every process's own wall clock; a clock
        that is minutes off only shortens or lengthens a quarantine.
        """
        by_age = sorted(self._crashes, key=lambda c: self._reported_ms[c])
        excess = max(0, len(by_age) - MAX_CRASHES)
        for number, crash in enumerate(by_age):
            old = now_ms - self._reported_ms[crash] >= SUSPECT_MS
            if old or number < excess:
                self._remove(crash)
        for digest, at_ms in list(self.convicted.items()):
            if now_ms - at_ms >= CONVICTED_MS:
                del self.convicted[digest]

    def verdict(self, digest: str) -> Suspicion:
        """Judge a digest."""
        if digest in self.convicted:
            return Suspicion.CONVICTED
        if digest in self._counts:
            return Suspicion.SUSPECT
        return Suspicion.CLEAN

    def _add(self, crash: str, digests: frozenset[str], at_ms: int) -> None:
        self._crashes[crash] = digests
        self._reported_ms[crash] = at_ms
        for digest in digests:
            self._counts[digest] = self._counts.get(digest, 0) + 1

    def _remove(self, crash: str) -> None:
        del self._reported_ms[crash]
        for digest in self._crashes.pop(crash):
            self._counts[digest] -= 1
            if not self._counts[digest]:
                del self._counts[digest]

    def _convict(self, now_ms: int) -> None:
        """Convict each digest that alone connects a crash with another.

        A conviction stays when later crashes would make it ambiguous. Where
        two digests of a crash have run in other crashes, neither is named;
        isolation separates them before the next one.
        """
        for _, digests in sorted(self._crashes.items()):
            repeated = [d for d in digests if self._counts[d] > 1]
            explained = any(d in self.convicted for d in digests)
            if len(repeated) == 1 and not explained:
                self.convicted[repeated[0]] = now_ms
