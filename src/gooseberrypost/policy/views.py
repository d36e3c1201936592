"""What a decision sees of agents and requests: immutable values, no I/O."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class AgentView:
    """One agent as an entry last saw it."""

    name: str
    """Name of the backend server."""
    address: str
    """``host:port`` of the agent."""
    zone: str
    role: str
    model: str
    slots: int
    slots_used: int
    """Slots held and reserved."""
    pieces: int
    pieces_used: int
    """Memory pieces held and reserved."""
    queue_tokens: int
    """Prompt tokens accepted for prefill and not yet computed."""
    prefill_tokens_per_s: float
    token_gap_ms: float
    draining: bool
    observed_ms: int
    """Clock time at which this load was reported."""
    cached_tokens: int = 0
    """Tokens of the prompt believed to be in the prefix cache (a hint)."""
    suspects: int = 0
    link: str = ""
    link_kb_per_s: int = 0
    link_free_ms: int = 0
    """Clock time from which the link is free of booked transfers."""


@dataclass(slots=True, frozen=True)
class RequestView:
    """What the decisions need to know of one model request."""

    key: str
    service: str
    account: str
    model: str
    zone: str
    """Availability zone of the entry."""
    prompt_tokens: int
    max_output_tokens: int
    priority: int
    """0 is served first."""
    waste_weight: float
    """Weight of wasted prefill against goodput, 0 to 1."""
    arrived_ms: int
    first_token_ms: int
    """Target for the first token, relative to arrival."""
    token_gap_ms: int
    answer_deadline_ms: int
    """Clock time by which the whole answer is due."""
    max_wait_ms: int = 0
    suspect: bool = False
    attempt: int = 1
    expected_output_tokens: int = 0
    """Mean answer of the service lately; 0: not known."""
    prefix_hashes: tuple[int, ...] = ()
    """Hashes of the prompt's prefixes, see ``state.prefix``."""
