"""Interface by which an entry claims the idempotency key of a request."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from result import Result

from gooseberrypost.errors import Duplicate, Failure


@dataclass(slots=True, frozen=True)
class StoredAnswer:
    """Complete answer of a request, replayed when the request is resent."""

    status: int
    body: bytes
    content_type: str


class AnsweredBefore(Duplicate):
    """The request was answered before; ``answer`` is the stored answer."""

    code = "answered_before"

    def __init__(self, answer: StoredAnswer) -> None:
        super().__init__("the request was answered before")
        self.answer = answer


@dataclass(slots=True, frozen=True)
class ClaimRequest:
    """Request of an entry to the owner of an idempotency key."""

    key: str
    digest: bytes
    service: str
    idempotent: bool
    deadline_ms: int
    """Time from now until the deadline of the request."""
    wait_ms: int = 0
    """How long to wait for the answer if another attempt is running."""
    fresh: bool = False
    """The key was minted for this call, so it was never sent before."""
    parts: tuple[bytes, ...] = ()
    """Digests of the parts of the prompt that other requests may share."""


@dataclass(slots=True, frozen=True)
class Grant:
    """Permission to run a request under an attempt number."""

    key: str
    attempt: int
    suspect: bool
    """The same content was running when a backend server crashed."""
    ran_before: bool = False
    """An attempt of an earlier grant may have run."""


class ClaimClient(ABC):
    """Claims, completes and abandons requests with the owner of the key."""

    @abstractmethod
    async def mint(self, service: str) -> Result[str, Failure]:
        """Get a new key; ``ClaimsUnavailable`` if no owner can be reached."""

    @abstractmethod
    async def claim(self, req: ClaimRequest) -> Result[Grant, Failure]:
        """Request permission to run a request.

        Fails with ``AnsweredBefore``, ``Duplicate`` (another attempt is
        running, or the stored answer was evicted), ``KeyReused``,
        ``Quarantined``, ``UnknownOutcome`` or ``ClaimsUnavailable``.
        """

    @abstractmethod
    async def renew(
        self, req: ClaimRequest, attempt: int
    ) -> Result[Grant, Failure]:
        """Supersede an attempt of a granted claim by its holder's next one.

        Fails with ``Superseded`` if the attempt does not hold the claim. The
        grant states whether the content has become suspect; convicted content
        fails with ``Quarantined``.
        """

    @abstractmethod
    async def complete(
        self, key: str, attempt: int, answer: StoredAnswer
    ) -> Result[None, Failure]:
        """Record the complete answer before its final part is sent.

        Fails with ``Superseded`` if another attempt holds the claim; then
        the final part must not be sent.
        """

    @abstractmethod
    async def abandon(self, key: str, attempt: int, not_run: bool) -> None:
        """End the claim without an answer; ``not_run``: nothing executed."""
