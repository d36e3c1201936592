"""Values of the claim state machine."""

from __future__ import annotations

from enum import IntEnum, StrEnum
from typing import TYPE_CHECKING, Final, NamedTuple

if TYPE_CHECKING:
    from gooseberrypost.claims.client import StoredAnswer

ATTEMPTS_PER_EPOCH: Final = 1_024
"""Attempt numbers of one key in one epoch.

Attempts are 32-bit numbers on the wire, so a shard has 2,097,151 epochs.
"""


class Verdict(IntEnum):
    """Judgement of a claim; values up to 8 are those of the wire protocol."""

    GRANTED = 1
    RUNNING = 2
    COMPLETED = 3
    KEY_REUSED = 4
    UNKNOWN = 5
    QUARANTINED = 6
    UNAVAILABLE = 7
    NOT_OWNER = 8
    SUPERSEDED = 100


class ClaimState(StrEnum):
    """Life of a claim."""

    RUNNING = "running"
    ORPHANED = "orphaned"
    """Its entry is lost, or its deadline passed; it may still complete."""
    COMPLETED = "completed"
    ABANDONED = "abandoned"
    """Ended without an answer; may be granted again."""
    UNKNOWN = "unknown"
    """A non-idempotent attempt ended and may have run."""


class ClaimAsk(NamedTuple):
    """What an entry asks of the owner."""

    key: str
    digest: bytes
    idempotent: bool
    deadline_ms: int
    """From now."""


class Decision(NamedTuple):
    """A verdict, and the sequence to be confirmed before it is told."""

    verdict: Verdict
    attempt: int = 0
    needs: int = 0
    """0: nothing has to be durable."""
    needs_lease: bool = False
    """Told as not run only while the owner holds its lease.

    Without it a successor may have run the key. An owner whose lease lapsed
    says ``UNKNOWN`` instead.
    """
    answer: StoredAnswer | None = None


class Claim:
    """One key."""

    __slots__ = (
        "answer",
        "attempt",
        "deadline_at_ms",
        "digest",
        "end_sequence",
        "first_sequence",
        "holder",
        "idempotent",
        "key",
        "minted",
        "orphan_at_ms",
        "ran",
        "ran_before",
        "replayed",
        "state",
    )

    def __init__(
        self, key: str, digest: bytes, idempotent: bool, holder: str
    ) -> None:
        self.key = key
        self.digest = digest
        self.idempotent = idempotent
        self.holder = holder
        self.attempt = 0
        self.state = ClaimState.RUNNING
        self.deadline_at_ms = 0
        self.orphan_at_ms: int | None = None
        self.minted = False
        self.replayed = False
        """Known from the log of a former epoch."""
        self.ran = False
        """An attempt was granted and is not proven not to have run."""
        self.ran_before = False
        """``ran`` at the time of the current grant."""
        self.first_sequence = 0
        self.end_sequence = 0
        self.answer: StoredAnswer | None = None
