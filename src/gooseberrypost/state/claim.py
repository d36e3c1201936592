"""States, verdicts and records of the claim state machine."""

from __future__ import annotations

from enum import IntEnum, StrEnum
from typing import TYPE_CHECKING, Final, NamedTuple

if TYPE_CHECKING:
    from gooseberrypost.claims.client import StoredAnswer

ATTEMPTS_PER_EPOCH: Final = 1_024
"""Size of the range of attempt numbers that one epoch may assign to a key.

Attempts are 32-bit numbers on the wire, so a shard has at most 2,097,151
epochs.
"""


class Verdict(IntEnum):
    """Outcome of a claim request; values up to 8 appear on the wire."""

    GRANTED = 1
    """The entry may run the attempt or, after a completion, answer."""
    RUNNING = 2
    """An attempt of the key is running."""
    COMPLETED = 3
    """The key has been answered; the answer is replayed if still stored."""
    KEY_REUSED = 4
    """The key was first used with other content."""
    UNKNOWN = 5
    """An attempt may have run; it is not known whether one did."""
    QUARANTINED = 6
    """The content crashes backend servers and is not run."""
    UNAVAILABLE = 7
    """The claim could not be logged; no attempt of the key has run."""
    NOT_OWNER = 8
    """This process does not own the shard of the key."""
    SUPERSEDED = 100
    """The attempt is not the current one of its key."""


class ClaimState(StrEnum):
    """Lifecycle state of a claim."""

    RUNNING = "running"
    ORPHANED = "orphaned"
    """Holder disconnected or deadline passed; it may still complete."""
    COMPLETED = "completed"
    ABANDONED = "abandoned"
    """The attempt ended without an answer; the key may be granted again."""
    UNKNOWN = "unknown"
    """A non-idempotent attempt ended without an answer and may have run."""


class GrantRequest(NamedTuple):
    """An entry's request to the shard owner for permission to run a key."""

    key: str
    digest: bytes
    """Digest of the service and the body."""
    idempotent: bool
    deadline_ms: int
    """Time left until the deadline of the request."""
    parts: tuple[bytes, ...] = ()
    """Digests of the parts of its prompt that other requests may share."""


class RenewedContent(NamedTuple):
    """Content of a renewed claim, for an owner that does not know it."""

    digest: bytes = b""
    """Digest of the service and the body; empty if unknown."""
    parts: tuple[bytes, ...] = ()
    holder: str = ""


UNKNOWN_CONTENT: Final = RenewedContent()


class Decision(NamedTuple):
    """A verdict, and what must hold before it may be sent to the entry."""

    verdict: Verdict
    attempt: int = 0
    required_sequence: int = 0
    """Log sequence that must be confirmed first; 0: none."""
    requires_lease: bool = False
    """The verdict may be sent only while the owner holds its lease.

    It states that the request was not run. Once the lease has lapsed, a
    successor may have run the key, so the owner replies ``UNKNOWN`` instead.
    """
    answer: StoredAnswer | None = None


class Claim:
    """State of one idempotency key at the owner of its shard."""

    __slots__ = (
        "answer",
        "attempt",
        "claim_sequence",
        "completion_sequence",
        "deadline_at_ms",
        "digest",
        "holder",
        "idempotent",
        "key",
        "may_have_run",
        "may_have_run_before",
        "minted",
        "orphan_at_ms",
        "parts",
        "renewed_from",
        "replayed",
        "state",
    )

    def __init__(
        self, key: str, digest: bytes, idempotent: bool, holder: str
    ) -> None:
        self.key = key
        self.digest = digest
        """Digest of the content; empty if unknown."""
        self.parts: tuple[bytes, ...] = ()
        """Digests of shared parts of the prompt; not kept in the log."""
        self.idempotent = idempotent
        self.holder = holder
        """Entry that runs the current attempt."""
        self.attempt = 0
        self.renewed_from = 0
        """Attempt that the current one has renewed; 0: none."""
        self.state = ClaimState.RUNNING
        self.deadline_at_ms = 0
        self.orphan_at_ms: int | None = None
        """End of the grace period to reconnect; ``None`` outside one."""
        self.minted = False
        """A claim owner created the key, not the caller."""
        self.replayed = False
        """The claim was granted in an earlier epoch."""
        self.may_have_run = False
        """A grant was sent and the attempt is not proven not to have run."""
        self.may_have_run_before = False
        """Value of ``may_have_run`` when the current attempt was granted."""
        self.claim_sequence = 0
        """Log sequence of this owner's first claim record; 0: none."""
        self.completion_sequence = 0
        """Log sequence of the completion record; 0: none."""
        self.answer: StoredAnswer | None = None
