"""A client's request on its way through a gateway."""

from __future__ import annotations

from dataclasses import dataclass, field

from multidict import CIMultiDict


@dataclass(slots=True, frozen=True)
class Prompt:
    """Size of a generation as the client states it."""

    tokens: int
    max_output: int
    output_hint: int = 0
    """Client's estimate of the output tokens; 0 where it gave none."""
    parts: tuple[tuple[str, int], ...] = ()
    """Parts of the prompt in order, each with its tokens."""


@dataclass(slots=True)
class ClientRequest:
    """A whole request, decoded once."""

    id: str
    method: str
    target: str
    """Path and query exactly as the client sent them."""
    host: str
    headers: CIMultiDict[str] = field(default_factory=CIMultiDict)
    """Headers to forward."""
    body: bytes = b""
    arrived_s: float = 0.0
    """Monotonic time at which the request was read."""
    deadline_s: float = 0.0
    """Monotonic time at which the client stops waiting."""
    prompt: Prompt | None = None
    resume_after: str = ""
    """Id of the last event that the client has; empty for a new stream."""

    @property
    def path(self) -> str:
        """Target without its query."""
        return self.target.partition("?")[0]
