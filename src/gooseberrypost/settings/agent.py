"""Settings of an agent process."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class BackendSettings:
    """The backend server beside the agent."""

    kind: str
    """``model`` or ``plain``."""
    address: str
    """``host:port`` of its HTTP interface."""
    checks_fencing: bool = True
    """Whether it refuses an order with an old fencing token."""
    slots: int = 20
    pieces: int = 200
    piece_tokens: int = 2_000
    link_kb_per_s: int = 0
    """Rate of the link that KV cache imports use; 0: not limited."""


@dataclass(slots=True, frozen=True)
class AgentSettings:
    """Everything an agent learns from its settings file."""

    name: str
    """Name of the backend server."""
    vm: str
    zone: str
    service: str
    internal_address: str
    backend: BackendSettings
    peers: list[str] = field(default_factory=list)
    """Internal ``host:port`` of the processes to pull configuration from."""
    key_value_addresses: list[str] = field(default_factory=list)
    vm_list_address: str = ""
    lease_ms: int = 60_000
    lease_renewal_ms: int = 20_000
    load_poll_ms: int = 500
    vm_poll_ms: int = 2_000
    entry_silence_ms: int = 4_000
    """An entry silent for this long has its requests cancelled."""
    reattach_ms: int = 3_000
    """Time after start for entries to reattach running requests."""
    drain_timeout_ms: int = 60_000
    seed: int | None = None
