"""Immutable inputs of the policies: views of agents and requests, no I/O."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class AgentView:
    """State of one agent as an entry last observed it."""

    name: str
    """Name of the backend server."""
    address: str
    """``host:port`` of the agent."""
    zone: str
    role: str
    model: str
    slots: int
    """Requests that the engine can run at a time."""
    slots_used: int
    """Slots occupied or reserved."""
    pieces: int
    """Pieces of KV cache memory."""
    pieces_used: int
    """Memory pieces occupied or reserved."""
    queue_tokens: int
    """Prompt tokens accepted for prefill and not yet computed."""
    prefill_tokens_per_s: float
    token_gap_ms: float
    """Time between two output tokens of a request."""
    draining: bool
    observed_ms: int
    """Clock time at which the load was reported."""
    cached_tokens: int = 0
    """Prompt tokens expected to hit the prefix cache (a hint)."""
    suspects: int = 0
    """Suspect requests that the engine runs, see ``policy.quarantine``."""
    link: str = ""
    link_kb_per_s: int = 0
    """Rate of the link to the engine; 0 means unlimited."""
    link_free_ms: int = 0
    """Clock time from which the link has a share free of bookings."""


@dataclass(slots=True, frozen=True)
class RequestView:
    """Properties of one model request on which the policies depend."""

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
    """Clock time of arrival."""
    first_token_ms: int
    """Target for the first token, relative to arrival."""
    token_gap_ms: int
    """Target for the time between two output tokens."""
    answer_deadline_ms: int
    """Clock time by which the whole answer is due."""
    max_wait_ms: int = 0
    """Longest acceptable wait for the first token; 0 if it cannot wait."""
    suspect: bool = False
    """The content is a crash suspect, see ``policy.quarantine``."""
    attempt: int = 1
    expected_output_tokens: int = 0
    """Mean output of recent answers of the service; 0 if unknown."""
    prefix_hashes: tuple[int, ...] = ()
    """Hashes of the prompt's prefixes, see ``state.prefix``."""
