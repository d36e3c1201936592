"""Settings of an agent process."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class BackendSettings:
    """Settings of the backend server that the agent manages."""

    kind: str
    """``model`` or ``plain``."""
    address: str
    """``host:port`` of the server's HTTP interface."""
    checks_fencing: bool = True
    """Whether the server refuses orders with an old fencing token."""
    slots: int = 20
    """Requests that the server can run at a time."""
    pieces: int = 200
    """KV cache memory of the server, in pieces."""
    piece_tokens: int = 2_000
    """Tokens whose KV cache fits into one memory piece."""
    link_kb_per_s: int = 0
    """Rate of the link for KV cache imports, in kB/s; 0: unlimited."""


@dataclass(slots=True, frozen=True)
class AgentSettings:
    """Settings that an agent reads from its settings file."""

    name: str
    """Name of the backend server."""
    vm: str
    """Name of the agent's VM in the platform's VM list."""
    zone: str
    service: str
    """Service that the backend server belongs to."""
    internal_address: str
    """``host:port`` for entries, agents and operators."""
    backend: BackendSettings
    peers: list[str] = field(default_factory=list)
    """Internal ``host:port`` of processes to pull the configuration from."""
    key_value_addresses: list[str] = field(default_factory=list)
    vm_list_address: str = ""
    """``host:port`` of the platform's VM list; empty: not polled."""
    lease_ms: int = 60_000
    """Lifetime of the lease without which the agent gives no orders."""
    lease_renewal_ms: int = 20_000
    """Interval between renewals of the lease."""
    load_poll_ms: int = 500
    """Interval between reads of the server's load report."""
    vm_poll_ms: int = 2_000
    """Interval between reads of the VM list."""
    entry_silence_ms: int = 4_000
    """Silence of an entry after which its requests are cancelled."""
    reattach_ms: int = 3_000
    """Time for entries to reattach to running requests.

    It starts when the agent starts or the connection of an entry breaks.
    """
    drain_timeout_ms: int = 60_000
    """Longest wait for running requests at shutdown or a role change."""
    seed: int | None = None
