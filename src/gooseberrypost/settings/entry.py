"""Settings of an entry process."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class ClaimSettings:
    """Settings of the claim shards and of the claims stored in them."""

    shards: int = 8
    """Number of claim shards; the same for all entries."""
    own: bool = True
    """Whether this entry takes ownership of shards."""
    lease_ms: int = 15_000
    """Duration of a shard owner's lease."""
    linger_ms: int = 20
    """Time for which claims are collected before their batch is written."""
    segment_bytes: int = 64 * 1024
    """Size above which a new segment of a shard's log is started."""
    answers_bytes: int = 8 * 1024 * 1024
    """Memory limit for stored answers; the oldest are evicted first."""
    retention_ms: int = 3_600_000
    """Time for which a claim is kept after it has ended."""


@dataclass(slots=True, frozen=True)
class EntrySettings:
    """Settings of an entry, decoded from its settings file."""

    name: str
    zone: str
    http_address: str
    """``host:port`` to listen on for callers."""
    internal_address: str
    """``host:port`` to listen on for agents, entries and operators."""
    peers: list[str] = field(default_factory=list)
    """``host:port`` of the internal listeners of other entries."""
    key_value_addresses: list[str] = field(default_factory=list)
    """``host:port`` addresses of the key-value service."""
    claims: ClaimSettings = field(default_factory=ClaimSettings)
    max_body_bytes: int = 1024 * 1024
    max_header_bytes: int = 16 * 1024
    read_timeout_ms: int = 10_000
    """Time limit to receive a request, and for idle connections."""
    write_timeout_ms: int = 10_000
    """Time limit of each write of a response to a caller."""
    drain_timeout_ms: int = 60_000
    """Time limit for requests in flight to finish during a drain."""
    memory_mb: int = 0
    """Memory of the VM, in MB of 10^6 bytes; 0 if it is not known."""
    memory_budget_bytes: int = 0
    """Memory for what callers send and are sent; 0 to derive it.

    It is then 0.4 of what the VM has beyond the process at rest.
    """
    file_descriptors: int = 0
    """Descriptors that the process may open; 0 for the limit of the system."""
    explanations: int = 2_000
    """Number of recent requests kept for ``request explain``."""
    allow_unknown_accounts: bool = True
    """Whether accounts that are not configured are served.

    They share the limits of the anonymous account.
    """
    seed: int | None = None
    """Seed of random decisions; a random seed is used if it is not set."""
