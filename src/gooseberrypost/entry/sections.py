"""Blackboard sections that an entry adds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from gooseberrypost.blackboard import Section

if TYPE_CHECKING:
    from gooseberrypost.policy.views import AgentView


class Stage(StrEnum):
    """Step that a request has reached."""

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
    """A request whose caller waits at this entry."""

    arrived_ms: int
    key: str = ""
    key_from_caller: bool = False
    service: str = ""
    account: str = ""
    deadline_ms: int = 0
    """Clock time in milliseconds."""
    stage: Stage = Stage.PARSE
    attempt: int = 0
    """Number granted by the claim owner; not a count."""
    tries: int = 0
    """Attempts that have failed."""
    displacements: int = 0
    """Engines lost while they ran the request."""
    next_sequence: int = 0
    first_token_at_ms: int = 0
    """Clock time in milliseconds; 0 before the first token."""
    caller_gone: bool = False
    claim_answered: bool = False
    """The owner of the key has said whether the request ran before."""
    sent: bool = False
    """A backend server may have begun to run it."""
    ran_before: bool = False
    """An earlier attempt, of a lost entry, may have run."""


class LiveRequests(Section):
    """Requests in flight; written by ``RequestController``."""

    __slots__ = ("requests",)

    def __init__(self) -> None:
        super().__init__()
        self.requests: dict[int, LiveRequest] = {}
        """By identity, since a resend has the key of the first."""


class Fleet(Section):
    """Agents as last seen; written by ``FleetController``."""

    __slots__ = ("agents", "down_until_ms", "incarnations", "services")

    def __init__(self) -> None:
        super().__init__()
        self.agents: dict[str, AgentView] = {}
        self.services: dict[str, str] = {}
        """Service by name of backend server."""
        self.incarnations: dict[str, int] = {}
        """Incarnation of each agent process, as last seen."""
        self.down_until_ms: dict[str, int] = {}
        """Clock time before which an unreachable agent is not tried."""
