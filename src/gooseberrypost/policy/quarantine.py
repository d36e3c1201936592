"""Quarantine: which content is suspected or convicted of crashing servers.

Evidence consists of crashes, each with the digests of the requests that were
running, and of the convictions drawn from them. A request may also name parts
of its prompt, which other requests share and which may be the cause.

Merging is a set union, so a report may arrive twice, late or through several
owners, and several processes may each report what they know of a crash. A
complete answer clears its digests: crashes do not count against content that
a server could answer.

>>> evidence = Evidence()
>>> evidence.report("c1", {"p", "a", "b"}, now_ms=0)
True
>>> evidence.verdict("p"), evidence.verdict("z")
(<Suspicion.SUSPECT: 'suspect'>, <Suspicion.CLEAN: 'clean'>)
>>> evidence.report("c2", {"p", "x"}, now_ms=5)
True
>>> [evidence.verdict(digest).value for digest in "pax"]
['convicted', 'suspect', 'suspect']

A part is convicted when several requests that share it crash servers:

>>> evidence = Evidence()
>>> for crash, request in ("c1", "a"), ("c2", "b"), ("c3", "c"):
...     _ = evidence.report(crash, {request: Suspect({"part"})}, now_ms=0)
>>> evidence.find_conviction({"d", "part"}), evidence.find_conviction({"c"})
('part', None)
"""

from __future__ import annotations

import hashlib
import json
from collections import OrderedDict, deque
from collections.abc import Mapping
from enum import StrEnum
from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result

from gooseberrypost.errors import Failure
from gooseberrypost.policy.suspects import Suspect, common_cause, tally
from gooseberrypost.strictjson import InvalidField, parse_json

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

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
MAX_PROVEN_PARTS: Final = 2_048
"""Parts of answered prompts that are remembered."""
MAX_PROVEN_CRASHES: Final = 6
"""Crashes that do not count against a part, however often it was answered.

Each answer outweighs one crash, up to this number: in an outage popular parts
are lost at every crash, and yet may crash a new version of the servers.
"""
MAX_CLEARANCES: Final = 1_024
"""Clearances kept until they are taken."""
KEY_SEPARATOR: Final = "+"
"""Separates the digests in the key of a conviction."""


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
        "_clearances",
        "_cleared",
        "_crashes",
        "_crashes_by_digest",
        "_evaluated_ms",
        "_is_changed",
        "_min_crashes",
        "_proven",
        "_released_ms",
        "_reported_ms",
        "_settling_ms",
        "convicted",
    )

    def __init__(
        self, min_crashes: int = MIN_CRASHES, settling_ms: int = 0
    ) -> None:
        self.convicted: dict[str, int] = {}
        """Time of conviction by key.

        A key is one digest, or several parts of prompts joined by
        ``KEY_SEPARATOR``: those of which every crash had all. Only requests
        with all of them are refused.
        """
        self._min_crashes = min_crashes
        self._settling_ms = settling_ms
        """Time in which all reports on a crash arrive.

        A crash counts only after it, as the part of a crash that is known
        first may not hold the cause.
        """
        self._crashes: dict[str, dict[str, Suspect]] = {}
        """Requests that were running, by digest and crash."""
        self._is_changed = False
        """Whether a crash or clearance was added since the last evaluation."""
        self._evaluated_ms = 0
        self._cleared: dict[str, set[str]] = {}
        """Digests that do not count for a crash, by crash."""
        self._clearances: deque[tuple[str, str]] = deque(maxlen=MAX_CLEARANCES)
        """Crashes and digests cleared by answers that this process saw."""
        self._proven: OrderedDict[str, int] = OrderedDict()
        """Crashes that answers still outweigh, by part; latest answer last."""
        self._released_ms: dict[str, int] = {}
        """Time at which a conviction was found to be wrong, by key."""
        self._reported_ms: dict[str, int] = {}
        self._crashes_by_digest: dict[str, set[str]] = {}
        """Crashes that count against a digest, whether settled or not."""

    @classmethod
    def parse(cls, text: str) -> Result[Evidence, InvalidEvidence]:
        """Parse the stored form; an empty text is no evidence."""
        evidence = cls()
        try:
            document = parse_json(text) if text else [[], {}]
            for crash, digests, at_ms in document[0]:
                suspects = dict.fromkeys(map(_digest, digests), Suspect())
                evidence._add(str(crash), suspects, int(at_ms))
            for digest, at_ms in document[1].items():
                evidence.convicted[digest] = int(at_ms)
        except (ValueError, TypeError, LookupError, AttributeError) as exc:
            return Err(InvalidEvidence(f"malformed crash evidence: {exc!r}"))
        return Ok(evidence)

    def text(self) -> str:
        """Return the stored form; equal evidence gives equal text.

        It does not hold parts of prompts.
        """
        crashes = [
            [crash, sorted(digests), self._reported_ms[crash]]
            for crash, digests in sorted(self._crashes.items())
        ]
        return json.dumps([crashes, dict(sorted(self.convicted.items()))])

    def report(
        self,
        crash: str,
        suspects: Mapping[str, Suspect] | Iterable[str],
        now_ms: int,
    ) -> bool:
        """Add a crash or part of one; returns whether any of it was new.

        ``suspects`` are the requests that were running, by their digests.
        """
        if not isinstance(suspects, Mapping):
            suspects = dict.fromkeys(suspects, Suspect())
        known = self._crashes.get(crash, {})
        free = MAX_DIGESTS_PER_CRASH - len(known)
        new = self._rank(crash, suspects.keys() - known.keys())[:free]
        # Evidence that was read from the store does not tell the parts.
        new += [
            d
            for d in known
            if not known[d].parts and d in suspects and suspects[d].parts
        ]
        if not new:
            return False
        self._add(crash, {digest: suspects[digest] for digest in new}, now_ms)
        self._clear_proven(crash, new)
        self.evaluate(now_ms)
        return True

    def record_answer(
        self, request: str, parts: Iterable[str], now_ms: int
    ) -> None:
        """Clear a request that was answered completely, and its parts."""
        self.clear_parts(parts, now_ms)
        self.exonerate(request, now_ms)

    def clear_parts(self, parts: Iterable[str], now_ms: int) -> None:
        """Clear the parts of a prompt that was answered completely."""
        for part in parts:
            answers = self._proven.get(part, 0) + 1
            self._proven[part] = min(answers, MAX_PROVEN_CRASHES)
            self._proven.move_to_end(part)
            self.exonerate(part, now_ms)
        while len(self._proven) > MAX_PROVEN_PARTS:
            self._proven.popitem(last=False)

    def clear(self, crash: str, digests: Iterable[str], now_ms: int) -> None:
        """Stop counting a crash against digests, as another process found."""
        new = set(digests) - self._cleared.get(crash, set())
        if not new:
            return
        self._add(crash, {}, now_ms)
        for digest in new:
            self._clear(crash, digest)
            self.release(digest, now_ms)
        self.evaluate(now_ms)

    def cleared(self, crash: str) -> frozenset[str]:
        """Return the digests against which a crash does not count."""
        return frozenset(self._cleared.get(crash, ()))

    def exonerate(self, digest: str, now_ms: int) -> None:
        """Clear a digest of all crashes and end its convictions."""
        crashes = sorted(self._crashes_by_digest.get(digest, ()))
        for crash in crashes:
            self._clear(crash, digest)
            self._clearances.append((crash, digest))
        if self.release(digest, now_ms) or crashes:
            self.evaluate(now_ms)

    def take_clearances(self) -> list[tuple[str, str]]:
        """Return what answers that this process saw have cleared.

        Each is a crash and a digest; they are returned once.
        """
        taken = list(self._clearances)
        self._clearances.clear()
        return taken

    def convict(self, key: str, at_ms: int) -> bool:
        """Adopt a conviction of another process; returns whether it is new.

        One that was released here is stale and not adopted again.
        """
        if key in self.convicted or key in self._released_ms:
            return False
        self.convicted[key] = at_ms
        return True

    def release(self, digest: str, now_ms: int) -> bool:
        """End the convictions that involve a digest, if there are any."""
        keys = [k for k in self.convicted if digest in k.split(KEY_SEPARATOR)]
        for key in keys:
            del self.convicted[key]
            self._released_ms[key] = now_ms
        return bool(keys)

    def withdraw(self, key: str, now_ms: int) -> bool:
        """End one conviction; returns whether it was in force.

        The crashes that are known so far no longer lead to it, also if they
        have not settled yet.
        """
        was_in_force = self.convicted.pop(key, None) is not None
        is_suspected = any(
            digest in self._crashes_by_digest
            for digest in key.split(KEY_SEPARATOR)
        )
        if was_in_force or is_suspected:
            self._released_ms[key] = now_ms
        return was_in_force

    @property
    def released(self) -> Mapping[str, int]:
        """Time in ms at which convictions ended here, by key."""
        return self._released_ms

    def find_conviction(self, digests: Iterable[str]) -> str | None:
        """Return the key of a conviction that covers a request, if any.

        ``digests`` are those of the request and of the parts of its prompt.
        """
        return find_key(self.convicted, digests)

    def merge(self, other: Evidence, now_ms: int) -> bool:
        """Add the evidence of another owner; returns whether any was new."""
        before = len(self._crashes), len(self.convicted)
        for key, at_ms in other.convicted.items():
            if key not in self._released_ms:
                known = self.convicted.get(key, at_ms)
                self.convicted[key] = min(known, at_ms)
        for crash, suspects in other._crashes.items():
            if crash not in self._crashes:
                self._add(crash, suspects, other._reported_ms[crash])
        self.evaluate(now_ms)
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
        return bool(self._crashes_by_digest or self.convicted)

    def verdict(self, digest: str) -> Suspicion:
        """Return the verdict on a digest."""
        if digest in self.convicted:
            return Suspicion.CONVICTED
        if digest in self._crashes_by_digest:
            return Suspicion.SUSPECT
        return Suspicion.CLEAN

    def evaluate(self, now_ms: int) -> None:
        """Convict what explains a crash that no conviction explains yet.

        Where several causes are possible, none is convicted: the next crash
        separates them. A conviction stays even if later crashes make it
        ambiguous. Also called when a crash may have settled.

        A crash that the conviction of parts explains does not count against
        other parts. They came with its cause, or are shared by all prompts.
        """
        if not (
            self._is_changed or self._has_settled_since_evaluation(now_ms)
        ):
            return
        self._is_changed, self._evaluated_ms = False, now_ms
        settled = {
            crash: suspects
            for crash, suspects in sorted(self._crashes.items())
            if self._is_settled(crash, now_ms)
        }
        tallies = tally(settled, self._ignored(settled))
        for crash, suspects in settled.items():
            if self._is_explained(suspects):
                continue
            cause = common_cause(
                suspects,
                tallies,
                self._min_crashes,
                MIN_CRASHES_WITHOUT_ISOLATION,
            )
            if cause is None:
                continue
            key = KEY_SEPARATOR.join(sorted(cause))
            # Only a new crash leads to a conviction that has ended before.
            if self._reported_ms[crash] >= self._released_ms.get(key, 0):
                self.convicted[key] = now_ms
                self._released_ms.pop(key, None)
                tallies = tally(settled, self._ignored(settled))

    def _ignored(
        self, settled: Mapping[str, Mapping[str, Suspect]]
    ) -> Mapping[str, Collection[str]]:
        """Return the digests that do not count for a crash, by crash.

        A request that is convicted may well have a part that is the cause.
        """
        ignored: dict[str, Collection[str]] = dict(self._cleared)
        for crash, suspects in settled.items():
            lost_parts = [suspect.parts for suspect in suspects.values()]
            if any(map(self.find_conviction, lost_parts)):
                ignored[crash] = self.cleared(crash).union(*lost_parts)
        return ignored

    def _is_explained(self, suspects: Mapping[str, Suspect]) -> bool:
        """Whether a conviction covers a request that a crash has lost."""
        return any(
            self.find_conviction({request, *suspect.parts})
            for request, suspect in suspects.items()
        )

    def _is_settled(self, crash: str, now_ms: int) -> bool:
        return now_ms - self._reported_ms[crash] >= self._settling_ms

    def _has_settled_since_evaluation(self, now_ms: int) -> bool:
        return any(
            self._is_settled(crash, now_ms)
            and not self._is_settled(crash, self._evaluated_ms)
            for crash in self._crashes
        )

    def _rank(self, crash: str, digests: Iterable[str]) -> list[str]:
        """Sort digests by the crashes they were running at, most first.

        The order of the others differs between crashes, so that none of them
        is always the one to be dropped.
        """

        def key(digest: str) -> tuple[int, bytes]:
            count = len(self._crashes_by_digest.get(digest, ()))
            return -count, _weight(crash, digest)

        return sorted(digests, key=key)

    def _add(
        self, crash: str, suspects: Mapping[str, Suspect], at_ms: int
    ) -> None:
        self._crashes.setdefault(crash, {}).update(suspects)
        self._reported_ms.setdefault(crash, at_ms)
        self._is_changed = True
        cleared = self._cleared.get(crash, set())
        for request, suspect in suspects.items():
            for digest in {request, *suspect.parts} - cleared:
                self._crashes_by_digest.setdefault(digest, set()).add(crash)

    def _clear_proven(self, crash: str, requests: Iterable[str]) -> None:
        """Clear the parts of lost requests that were answered before."""
        suspects = self._crashes[crash]
        parts = {part for r in requests for part in suspects[r].parts}
        for part in sorted(parts - self._cleared.get(crash, set())):
            answers = self._proven.get(part, 0)
            if answers:
                self._proven[part] = answers - 1
                self._clear(crash, part)
                self._clearances.append((crash, part))

    def _clear(self, crash: str, digest: str) -> None:
        self._is_changed = True
        self._cleared.setdefault(crash, set()).add(digest)
        self._forget(crash, digest)

    def _remove(self, crash: str) -> None:
        del self._reported_ms[crash]
        self._cleared.pop(crash, None)
        for request, suspect in self._crashes.pop(crash).items():
            for digest in (request, *suspect.parts):
                self._forget(crash, digest)

    def _forget(self, crash: str, digest: str) -> None:
        crashes = self._crashes_by_digest.get(digest, set())
        crashes.discard(crash)
        if not crashes:
            self._crashes_by_digest.pop(digest, None)


def find_key(keys: Iterable[str], digests: Iterable[str]) -> str | None:
    """Return the first key of which all digests are given, None without."""
    given = set(digests)
    return next(
        (k for k in keys if given.issuperset(k.split(KEY_SEPARATOR))), None
    )


def _digest(value: object) -> str:
    """Return a stored digest; raises ``InvalidField``."""
    if not isinstance(value, str):
        raise InvalidField(f"digest {value!r:.40}")
    return value
