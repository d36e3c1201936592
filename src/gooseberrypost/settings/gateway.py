"""Settings of a gateway process."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class GatewaySettings:
    """Settings of a gateway, decoded from its settings file."""

    name: str
    zone: str
    client_address: str
    """``host:port`` to listen on for clients."""
    readiness_address: str
    """``host:port`` to listen on for the balancer's readiness probe."""
    store_address: str
    """``host:port`` of the platform's store."""
    internal_address: str
    """``host:port`` to listen on for datagrams of other gateways."""
    metrics_address: str = ""
    """``host:port`` to serve metrics on; empty to serve none."""
    grace_ms: int = 8_000
    """Time from SIGTERM to SIGKILL."""
    propagation_ms: int = 2_000
    """Time limit for a change in the store to take effect in a gateway."""
    retry_budget_ratio: float = 0.1
    """Retries allowed, as a share of the requests in the window.

    The budget applies to all gateways together.
    """
    retry_budget_window_ms: int = 10_000
    retry_budget_allowance: float = 0.0
    """Retries allowed per window in addition to the ratio.

    It applies to all gateways together.
    """
    lease_ms: int = 3_000
    """Duration of a lease.

    A holder of the stage lock that fails is replaced when its lease expires.
    """
    heartbeat_ms: int = 1_200
    """Interval at which servers write their registrations.

    One that is silent for three intervals is removed by the store.
    """
    answer_buffer_bytes: int = 32 * 1024 * 1024
    """Memory for answers that are buffered before they are forwarded.

    It is part of the memory budget.
    """
    memory_bytes: int = 0
    """Memory of the VM; 0 if it is not known."""
    memory_budget_bytes: int = 0
    """Memory for what clients send and are sent; 0 to derive it.

    It is then 0.4 of what the VM has beyond the process at rest.
    """
    file_descriptors: int = 0
    """Descriptors that the process may open; 0 for the limit of the system.

    The limit on client connections is derived from it.
    """
    link_bytes_per_s: float = 0.0
    """Rate of the VM's link, of which load notices take a part; 0 if it is not
    known."""
    connections_per_address: int = 0
    """Connections of one client address; 0 for as many as of all."""
    queue_plain_requests: bool = False
    """Whether requests wait here for a place at a full plain server."""
    routing_by_work: bool = False
    """Whether servers are chosen by expected work and observed pace."""
