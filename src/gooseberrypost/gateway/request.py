"""Decoded requests of clients."""

from __future__ import annotations

from dataclasses import dataclass, field

from multidict import CIMultiDict

from gooseberrypost.state.memorybudget import UNBOUNDED, Lease


@dataclass(slots=True, frozen=True)
class Prompt:
    """Prompt and output sizes in tokens, as stated by the client."""

    tokens: int
    """Length of the prompt."""
    max_output: int
    """Maximum number of output tokens."""
    output_hint: int = 0
    """Client's estimate of the output tokens; 0 if it gave none."""
    parts: tuple[tuple[str, int], ...] = ()
    """Consecutive parts of the prompt: the id and token count of each."""


@dataclass(slots=True)
class ClientRequest:
    """A request that was read completely and decoded."""

    id: str
    method: str
    target: str
    """Path and query, unmodified."""
    host: str
    headers: CIMultiDict[str] = field(default_factory=CIMultiDict)
    """Headers that are forwarded to the server."""
    body: bytes = b""
    arrived_s: float = 0.0
    """Monotonic time at which the request was read."""
    deadline_s: float = 0.0
    """Monotonic time at which the client times out."""
    prompt: Prompt | None = None
    resume_after: str = ""
    """Id of the last event the client received; empty for a new stream."""
    key: str = field(default="", repr=False)
    """Key of a client account; empty if the client sent none."""
    key_header: str = ""
    """Name of the header that holds the key, for messages to the client."""
    account: str = ""
    """Name of the account that the key belongs to; empty for none."""
    memory: Lease = field(default=UNBOUNDED, repr=False, compare=False)
    """Memory for the body and the answer; unbounded outside of a gateway."""
    begun_by: str = ""
    """Id of the attempt that brought the first event of a resumed stream."""

    @property
    def path(self) -> str:
        """Path of the target, without the query."""
        return self.target.partition("?")[0]
