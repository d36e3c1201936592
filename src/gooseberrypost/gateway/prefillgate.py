"""Admission to decode memory while prefill is the bottleneck.

A reservation waits until a prefill engine has a short backlog, or until a
decode engine can prefill the prompt itself between its events.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from gooseberrypost.gateway.model import Stage
from gooseberrypost.policy.inlineprefill import fits_between_events
from gooseberrypost.policy.prefillqueue import (
    MAX_BACKLOG_SHARE,
    PrefillEngine,
    backlog_ms,
    expected_wait_ms,
)
from gooseberrypost.policy.serverchoice import (
    DEFAULT_PREFILL_MS_PER_TOKEN,
    eligible_servers,
)

if TYPE_CHECKING:
    from gooseberrypost.gateway.directory import Directory
    from gooseberrypost.gateway.model import Server
    from gooseberrypost.gateway.reserver import PendingReservation
    from gooseberrypost.policy.serverload import ServerLoads


class PrefillGate:
    """Tells whether a prefill engine can soon begin with another prompt."""

    __slots__ = ("_directory", "_loads")

    def __init__(self, directory: Directory, loads: ServerLoads) -> None:
        self._directory = directory
        self._loads = loads

    def is_open(self, pending: PendingReservation, now_s: float) -> bool:
        """Whether a generation may reserve memory at any decode engine.

        Interrupted streams do not wait, as their clients may leave. Without a
        prefill engine the decode engine prefills the prompt.
        """
        if pending.is_prefilled or pending.has_begun:
            return True
        engines = self._engines(pending.service, now_s)
        cfg = self._directory.configuration
        objective_ms = 1_000 * cfg.first_event_objective_s(pending.service)
        limit_ms = MAX_BACKLOG_SHARE * objective_ms
        return not engines or backlog_ms(engines) <= limit_ms

    def fits_inline(
        self, service: str, tokens: int, server: Server, now_s: float
    ) -> bool:
        """Whether a decode engine can prefill a prompt between its events.

        An engine whose speed is not known, or that is prefilling already,
        cannot.
        """
        loads, identity = self._loads, server.identity
        if loads.prefill_tokens(identity):
            return False
        cfg = self._directory.configuration
        spec = (
            cfg.services[service].engine if service in cfg.services else None
        )
        servers = self._directory.available_servers(service, now_s)
        identities = [other.identity for other in servers]
        rate = loads.decode_rates.tokens_per_s(identity)
        usual_ms = loads.usual_prefill_ms_per_token(identities)
        if spec is None or not rate or not usual_ms:
            return False
        # The usual time is that of the fastest engine.
        slowdown = loads.decode_rates.fastest(identities) / rate
        return fits_between_events(
            tokens,
            slowdown * usual_ms,
            event_ms=1_000 * spec.tokens_per_event / rate,
            gap_objective_ms=cfg.gap_objective_ms(service),
        )

    def expected_wait_s(
        self, pending: PendingReservation, waiting: int, now_s: float
    ) -> float:
        """Estimate the wait behind ``waiting`` generations of that size."""
        engines = self._engines(pending.service, now_s)
        ahead = waiting * pending.tokens
        return expected_wait_ms(engines, ahead) / 1_000

    def _engines(self, service: str, now_s: float) -> list[PrefillEngine]:
        loads = self._loads
        servers = [
            server
            for server in self._directory.available_servers(service, now_s)
            if server.stage is Stage.PREFILL
        ]
        return [
            PrefillEngine(
                loads.prefill_tokens(server.identity),
                loads.of(server.identity).prefill_ms_per_token
                or DEFAULT_PREFILL_MS_PER_TOKEN,
            )
            for server in eligible_servers(servers, loads, now_s)
        ]
