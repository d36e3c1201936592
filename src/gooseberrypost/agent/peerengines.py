"""Probes peer engines before this agent's engine leaves its pool."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from result import Ok

from gooseberrypost.agent.context import ROLE_NUMBERS
from gooseberrypost.policy.handover import PeerEngine, can_cover_pool
from gooseberrypost.sheet.current import CurrentAssignments
from gooseberrypost.sheet.schedule import Assignment
from gooseberrypost.state.records import EngineRecord
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from collections.abc import Callable

    from gooseberrypost.settings.agent import AgentSettings
    from gooseberrypost.state.configuration import Configuration
    from gooseberrypost.wire.channel import ChannelPool

MAX_PROBED_ENGINES: Final = 8
"""Most peers that are probed for one decision."""
PROBE_TIMEOUT_MS: Final = 500
ROLE_BY_NUMBER: Final = {n: role for role, n in ROLE_NUMBERS.items()}


class PeerEngineProber:
    """Queries the agents of the same service for what their engines serve."""

    __slots__ = ("_assignments", "_cfg", "_channel_pool", "_configuration")

    def __init__(
        self,
        cfg: AgentSettings,
        configuration: Configuration,
        channel_pool: ChannelPool,
        wall_clock_ms: Callable[[], int],
    ) -> None:
        self._cfg = cfg
        self._configuration = configuration
        self._channel_pool = channel_pool
        self._assignments = CurrentAssignments(
            configuration, wall_clock_ms, service=cfg.service
        )

    async def probe_covering_engines(
        self, pool: Assignment
    ) -> list[PeerEngine]:
        """Return the peers that can cover a pool, with what they serve now.

        At most ``MAX_PROBED_ENGINES`` are probed, first those that the
        schedule assigns to the pool. A peer that is draining or does not
        reply has ``serving`` unset.
        """
        name = self._cfg.name
        peers = [
            PeerEngine(peer_name, None, assigned)
            for peer_name, assigned in self._assignments().items()
            if peer_name != name
        ]
        covering = [peer for peer in peers if can_cover_pool(name, pool, peer)]
        covering.sort(key=lambda peer: (peer.assigned != pool, peer.name))
        return await asyncio.gather(
            *map(self._probe, covering[:MAX_PROBED_ENGINES])
        )

    async def _probe(self, peer: PeerEngine) -> PeerEngine:
        record = self._configuration.records.get(f"engine/{peer.name}")
        if not isinstance(record, EngineRecord):
            return peer
        probe = idl.Probe(service_name=record.service, prefix_hashes=[])
        reply = await self._channel_pool.request(
            record.agent_address, probe, PROBE_TIMEOUT_MS
        )
        match reply:
            case Ok(probed) if isinstance(probed, idl.ProbeReply):
                if probed.load is None or probed.load.draining:
                    return peer
                role = ROLE_BY_NUMBER.get(probed.role, "")
                serving = Assignment(role, probed.model or "")
                return peer._replace(serving=serving)
        return peer
