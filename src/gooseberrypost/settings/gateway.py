"""Settings of a gateway process."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class GatewaySettings:
    """Everything a gateway learns from its settings file."""

    name: str
    zone: str
    client_address: str
    """``host:port`` for clients."""
    readiness_address: str
    """``host:port`` for the balancer's readiness check."""
    store_address: str
    """``host:port`` of the platform's store."""
    internal_address: str
    """``host:port`` for datagrams of other gateways."""
    metrics_address: str = ""
    """``host:port`` of the metrics; empty: not served."""
    grace_ms: int = 8_000
    """Time from SIGTERM to SIGKILL."""
    apply_ms: int = 2_000
    """Time in which a change in the store must be in force here."""
    repeat_ratio: float = 0.1
    """Repeated sends as a share of the requests, over all gateways."""
    repeat_window_ms: int = 10_000
    repeat_allowance: float = 0.0
    """Repeated sends in a window beside the share, over all gateways."""
    lease_ms: int = 3_000
    """Time of a lease, in which a gateway that holds a duty is replaced."""
