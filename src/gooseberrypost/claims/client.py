"""Interface through which an entry claims requests before it answers them."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from result import Result

from gooseberrypost.errors import Duplicate, Failure


@dataclass(slots=True, frozen=True)
class StoredAnswer:
    """Whole answer of a completed request, replayed to a resend."""

    status: int
    body: bytes
    content_type: str


class AnsweredBefore(Duplicate):
    """The request was answered before; ``answer`` is what it was given."""

    code = "answered_before"

    def __init__(self, answer: StoredAnswer) -> None:
        super().__init__("answered before")
        self.answer = answer


@dataclass(slots=True, frozen=True)
class ClaimRequest:
    """What an entry asks of the owner of a key."""

    key: str
    digest: bytes
    service: str
    idempotent: bool
    deadline_ms: int
    """From now."""
    wait_ms: int = 0
    """Attach to a running claim for at most this long."""
    fresh: bool = False
    """The entry minted the key for this very call."""


@dataclass(slots=True, frozen=True)
class Grant:
    """Permission to run a request as one attempt."""

    key: str
    attempt: int
    suspect: bool
    """The content was running when a backend server crashed."""
    ran_before: bool = False
    """An earlier attempt, of another entry, may have run."""


class ClaimClient(ABC):
    """Claims, completes and abandons requests at the owners of their keys."""

    @abstractmethod
    async def mint(self, service: str) -> Result[str, Failure]:
        """Get a new key; ``ClaimsUnavailable`` when no owner is reachable."""

    @abstractmethod
    async def claim(self, req: ClaimRequest) -> Result[Grant, Failure]:
        """Ask for permission to run.

        Fails with ``AnsweredBefore``, ``Duplicate`` (running, or its answer
        was evicted), ``KeyReused``, ``Quarantined``, ``UnknownOutcome`` or
        ``ClaimsUnavailable``.
        """

    @abstractmethod
    async def renew(self, key: str, attempt: int) -> Result[Grant, Failure]:
        """Replace an attempt by the next one; ``Superseded`` if not held.

        The grant says whether the content has become suspect; convicted
        content fails with ``Quarantined``.
        """

    @abstractmethod
    async def complete(
        self, key: str, attempt: int, answer: StoredAnswer
    ) -> Result[None, Failure]:
        """Record the whole answer before its final part is sent.

        Fails with ``Superseded`` when another attempt owns the key; then the
        final part must not be sent.
        """

    @abstractmethod
    async def abandon(self, key: str, attempt: int, not_run: bool) -> None:
        """Give the claim up; ``not_run`` states that nothing was executed."""
