"""Quarantine: which content is suspected or convicted of crashing servers.

Evidence consists of crashes, each with the digests of the requests that were
running, and of the convictions drawn from them. Merging is a set union, so a
report may arrive twice, late or through several owners, and several processes
may each report the part of a crash that they saw. A complete answer clears its
digest: crashes do not count against content that a server could answer.

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

MAX_DIGESTS_PER_CRASH: Final = 64
"""Digests kept of one crash; an engine runs about twenty requests."""
MAX_CRASHES: Final = 400
"""Crashes kept.

400 crashes of 64 digests take 920 KB of a stored value of at most 1 MB.
"""
SUSPECT_RETENTION_MS: Final = 600_000
"""Time for which the digests of a crash stay suspects, in ms."""
CONVICTION_RETENTION_MS: Final = 86_400_000
"""Time for which a conviction stays in force, in ms."""
MIN_CRASHES: Final = 2
"""Crashes from which on a digest may be convicted, if suspects are isolated.

Isolated suspects do not run beside each other, so that two crashes of a digest
are hardly a coincidence.
"""
MIN_CRASHES_WITHOUT_ISOLATION: Final = 3
"""The same, if suspects run anywhere.

A request that was retried after an unrelated crash may be lost in a second
one.
"""


class InvalidEvidence(Failure):
    """The stored evidence is malformed."""

    code = "invalid_evidence"


class Suspicion(StrEnum):
    """Verdict on a content digest."""

    CLEAN = "clean"
    SUSPECT = "suspect"
    """Was running when a server crashed, and is not convicted."""
    CONVICTED = "convicted"
    """Was running at more crashes than any other digest of one of them."""


def isolation_order(digest: str, servers: Iterable[str]) -> list[str]:
    """Rank servers for a suspect by rendezvous hashing, alike on every entry.

    A suspect runs on the first server or waits for it. Requests with the same
    content under several ids therefore reach one server, which runs a single
    suspect at a time; on two servers they could crash both at once.
    """
    return sorted(servers, key=lambda server: _weight(digest, server))


def _weight(*words: str) -> bytes:
    """Return a pseudo-random number that is the same in every process."""
    text = " ".join(words)
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


class Evidence:
    """Crashes and convictions, by the wall-clock time of the report in ms.

    The digests of a crash stay suspects after a conviction explains the crash.
    If they were cleared, another of them that also crashes servers would crash
    a third one before its conviction.
    """

    __slots__ = (
        "_cleared",
        "_counts",
        "_crashes",
        "_min_crashes",
        "_released_ms",
        "_reported_ms",
        "convicted",
    )

    def __init__(self, min_crashes: int = MIN_CRASHES) -> None:
        self.convicted: dict[str, int] = {}
        """Time of conviction by digest."""
        self._min_crashes = min_crashes
        self._crashes: dict[str, frozenset[str]] = {}
        self._cleared: dict[str, set[str]] = {}
        """Digests that do not count for a crash, by crash."""
        self._released_ms: dict[str, int] = {}
        """Time at which a conviction was found to be wrong, by digest."""
        self._reported_ms: dict[str, int] = {}
        self._counts: dict[str, int] = {}

    @classmethod
    def parse(cls, text: str) -> Result[Evidence, InvalidEvidence]:
        """Parse the stored form; an empty text is no evidence."""
        evidence = cls()
        try:
            document = json.loads(text) if text else [[], {}]
            for crash, digests, at_ms in document[0]:
                evidence._add(str(crash), frozenset(digests), int(at_ms))
            for digest, at_ms in document[1].items():
                evidence.convicted[digest] = int(at_ms)
        except (ValueError, TypeError, LookupError, AttributeError) as exc:
            return Err(InvalidEvidence(f"malformed crash evidence: {exc!r}"))
        return Ok(evidence)

    def text(self) -> str:
        """Return the stored form; equal evidence gives equal text."""
        crashes = [
            [crash, sorted(digests), self._reported_ms[crash]]
            for crash, digests in sorted(self._crashes.items())
        ]
        return json.dumps([crashes, dict(sorted(self.convicted.items()))])

    def report(self, crash: str, digests: Iterable[str], now_ms: int) -> bool:
        """Add a crash or part of one; returns whether any of it was new."""
        known = self._crashes.get(crash, frozenset())
        new = set(digests) - known - self._cleared.get(crash, set())
        free = MAX_DIGESTS_PER_CRASH - len(known)
        running = frozenset(self._rank(crash, new)[:free])
        if not running:
            return False
        self._add(crash, running, now_ms)
        self._convict(now_ms)
        return True

    def clear(self, crash: str, digest: str, now_ms: int) -> None:
        """Stop counting a crash against a digest, and end its conviction."""
        if digest in self._cleared.get(crash, ()):
            return
        self._add(crash, frozenset(), now_ms)
        if digest in self._crashes[crash]:
            self._crashes[crash] -= {digest}
            self._uncount(digest)
        self._cleared.setdefault(crash, set()).add(digest)
        self.release(digest, now_ms)

    def exonerate(self, digest: str, now_ms: int) -> list[str]:
        """Clear a digest of all crashes, and return these.

        To be called when a request with the digest was answered completely.
        """
        if self.verdict(digest) is Suspicion.CLEAN:
            return []
        crashes = [
            c for c, running in self._crashes.items() if digest in running
        ]
        for crash in crashes:
            self.clear(crash, digest, now_ms)
        self.release(digest, now_ms)
        return crashes

    def convict(self, digest: str, at_ms: int) -> bool:
        """Adopt a conviction of another process; returns whether it is new.

        One that was released here is stale and not adopted again.
        """
        if digest in self.convicted or digest in self._released_ms:
            return False
        self.convicted[digest] = at_ms
        return True

    def release(self, digest: str, now_ms: int) -> None:
        """End the conviction of a digest, if there is one."""
        if self.convicted.pop(digest, None) is not None:
            self._released_ms[digest] = now_ms

    def merge(self, other: Evidence, now_ms: int) -> bool:
        """Add the evidence of another owner; returns whether any was new."""
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
        """Whether all crashes and convictions of ``other`` are present."""
        crashes = other._crashes.keys() <= self._crashes.keys()
        return crashes and other.convicted.keys() <= self.convicted.keys()

    def expire(self, now_ms: int) -> None:
        """Drop expired crashes and convictions, and the oldest over a limit.

        ``now_ms`` is the wall clock of the calling process. A clock that is
        minutes off only shortens or lengthens a quarantine.
        """
        by_age = sorted(self._crashes, key=lambda c: self._reported_ms[c])
        excess = max(0, len(by_age) - MAX_CRASHES)
        for index, crash in enumerate(by_age):
            expired = now_ms - self._reported_ms[crash] >= SUSPECT_RETENTION_MS
            if expired or index < excess:
                self._remove(crash)
        for digest, at_ms in list(self.convicted.items()):
            if now_ms - at_ms >= CONVICTION_RETENTION_MS:
                del self.convicted[digest]
        for digest, at_ms in list(self._released_ms.items()):
            if now_ms - at_ms >= SUSPECT_RETENTION_MS:
                del self._released_ms[digest]

    @property
    def has_suspects(self) -> bool:
        """Whether the verdict on any digest is not clean."""
        return bool(self._counts or self.convicted)

    def verdict(self, digest: str) -> Suspicion:
        """Return the verdict on a digest."""
        if digest in self.convicted:
            return Suspicion.CONVICTED
        if digest in self._counts:
            return Suspicion.SUSPECT
        return Suspicion.CLEAN

    def _rank(self, crash: str, digests: Iterable[str]) -> list[str]:
        """Sort digests by the crashes they were running at, most first.

        The order of the others differs between crashes, so that none of them
        is always the one to be dropped.
        """

        def key(digest: str) -> tuple[int, bytes]:
            return -self._counts.get(digest, 0), _weight(crash, digest)

        return sorted(digests, key=key)

    def _add(self, crash: str, digests: frozenset[str], at_ms: int) -> None:
        self._crashes[crash] = self._crashes.get(crash, frozenset()) | digests
        self._reported_ms.setdefault(crash, at_ms)
        for digest in digests:
            self._counts[digest] = self._counts.get(digest, 0) + 1

    def _remove(self, crash: str) -> None:
        del self._reported_ms[crash]
        self._cleared.pop(crash, None)
        for digest in self._crashes.pop(crash):
            self._uncount(digest)

    def _uncount(self, digest: str) -> None:
        self._counts[digest] -= 1
        if not self._counts[digest]:
            del self._counts[digest]

    def _convict(self, now_ms: int) -> None:
        """Convict each digest that ran at more crashes than those beside it.

        If two digests of a crash were running at the same number of crashes,
        neither is convicted: the next crash separates them. A conviction
        stays even if later crashes make it ambiguous.
        """
        for _, digests in sorted(self._crashes.items()):
            if any(d in self.convicted for d in digests):
                continue
            most = max((self._counts[d] for d in digests), default=0)
            if most < self._min_crashes:
                continue
            prime = [d for d in digests if self._counts[d] == most]
            if len(prime) == 1:
                self.convicted[prime[0]] = now_ms
                self._released_ms.pop(prime[0], None)
