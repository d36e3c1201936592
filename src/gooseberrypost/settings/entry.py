"""Settings of an entry process."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class ClaimSettings:
    """Claim shards that this entry may own."""

    shards: int = 8
    own: bool = True
    """Whether this entry competes for shards."""
    lease_ms: int = 15_000
    linger_ms: int = 20
    """Wait for more claims before a batch is written."""
    segment_bytes: int = 64 * 1024
    answers_bytes: int = 8 * 1024 * 1024
    """Memory for stored answers; the oldest are evicted first."""
    retention_ms: int = 3_600_000
    """Time for which an ended claim is remembered."""


@dataclass(slots=True, frozen=True)
class EntrySettings:
    """Everything an entry learns from its settings file."""

    name: str
    zone: str
    http_address: str
    """``host:port`` for callers."""
    internal_address: str
    """``host:port`` for agents, entries and operators."""
    peers: list[str] = field(default_factory=list)
    """Internal ``host:port`` of other entries."""
    key_value_addresses: list[str] = field(default_factory=list)
    claims: ClaimSettings = field(default_factory=ClaimSettings)
    max_body_bytes: int = 1024 * 1024
    max_header_bytes: int = 16 * 1024
    read_timeout_ms: int = 10_000
    """Time for a caller to send its whole request."""
    write_timeout_ms: int = 10_000
    """Time for a caller to take the next piece of its answer."""
    drain_timeout_ms: int = 60_000
    explanations: int = 2_000
    """Decisions remembered for ``request explain``."""
    allow_unknown_accounts: bool = True
    seed: int | None = None
    """Seed of random decisions; drawn from the system where absent."""
