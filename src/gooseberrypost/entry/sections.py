"""Blackboard sections of an entry: requests in flight, and its agents."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from gooseberrypost.blackboard import Section

if TYPE_CHECKING:
    from gooseberrypost.policy.views import AgentView


class Stage(StrEnum):
    """Processing stage that a request has reached."""

    PARSE = "parse"
    LIMITS = "limits"
    ADMISSION = "admission"
    CLAIM = "claim"
    RESERVE = "reserve"
    PREFILL = "prefill"
    DECODE = "decode"
    STREAM = "stream"
    CALL = "call"
    COMPLETE = "complete"
    RELEASE = "release"


@dataclass(slots=True)
class LiveRequest:
    """A request in flight: its caller waits for the answer of this entry."""

    arrived_ms: int
    key: str = ""
    key_from_caller: bool = False
    service: str = ""
    account: str = ""
    deadline_ms: int = 0
    """Clock time of the deadline in milliseconds."""
    stage: Stage = Stage.PARSE
    attempt: int = 0
    """Attempt number granted by the claim owner; not a count."""
    failure_count: int = 0
    """Failed attempts and stalled transfers, which limit the retries."""
    displacements: int = 0
    """Number of engines that were lost while they ran the request."""
    next_sequence: int = 0
    """Sequence number of the next token to stream."""
    first_token_at_ms: int = 0
    """Clock time in milliseconds; 0 before the first token."""
    caller_gone: bool = False
    claim_answered: bool = False
    """Whether the claim owner has answered the claim of the key.

    Its answer says whether an earlier request with the key was executed.
    """
    may_have_run: bool = False
    """Whether a backend server may have started to run the request."""
    ran_before: bool = False
    """Whether an earlier attempt, made by a lost entry, may have run."""


class LiveRequests(Section):
    """Requests in flight; written by ``RequestController``."""

    __slots__ = ("requests",)

    def __init__(self) -> None:
        super().__init__()
        self.requests: dict[int, LiveRequest] = {}
        """Requests by ``id()``, as duplicates share one idempotency key."""


class Fleet(Section):
    """Last known state of the agents; written by ``FleetController``."""

    __slots__ = ("agents", "down_until_ms", "incarnations", "service_by_agent")

    def __init__(self) -> None:
        super().__init__()
        self.agents: dict[str, AgentView] = {}
        self.service_by_agent: dict[str, str] = {}
        """Service name by name of the agent's backend server."""
        self.incarnations: dict[str, int] = {}
        """Last reported incarnation of each agent process, by name."""
        self.down_until_ms: dict[str, int] = {}
        """Clock time in ms until which an unreachable agent is not used."""
