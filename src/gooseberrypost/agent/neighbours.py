"""Asks the agents of other engines what these serve."""

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

MAX_ASKED: Final = 8
PROBE_TIMEOUT_MS: Final = 500
ROLES_BY_NUMBER: Final = {n: role for role, n in ROLE_NUMBERS.items()}


class Neighbours:
    """Other engines of this agent's service."""

    __slots__ = ("_assignments", "_cfg", "_configuration", "_pool")

    def __init__(
        self,
        cfg: AgentSettings,
        configuration: Configuration,
        pool: ChannelPool,
        wall_clock_ms: Callable[[], int],
    ) -> None:
        self._cfg = cfg
        self._configuration = configuration
        self._pool = pool
        self._assignments = CurrentAssignments(
            configuration, wall_clock_ms, service=cfg.service
        )

    async def able_to_cover(self, pool: Assignment) -> list[PeerEngine]:
        """Engines that may serve a pool in this one's place, as they are.

        Those that the schedule keeps in the pool or brings there are asked
        first, ``MAX_ASKED`` at most.
        """
        me = self._cfg.name
        others = [
            PeerEngine(name, None, wanted)
            for name, wanted in self._assignments().items()
            if name != me
        ]
        able = [one for one in others if can_cover_pool(me, pool, one)]
        able.sort(key=lambda one: (one.assigned != pool, one.name))
        return await asyncio.gather(*map(self._ask, able[:MAX_ASKED]))

    async def _ask(self, neighbour: PeerEngine) -> PeerEngine:
        record = self._configuration.records.get(f"engine/{neighbour.name}")
        if not isinstance(record, EngineRecord):
            return neighbour
        probe = idl.Probe(service_name=record.service, prefix_hashes=[])
        reply = await self._pool.request(
            record.agent_address, probe, PROBE_TIMEOUT_MS
        )
        match reply:
            case Ok(found) if isinstance(found, idl.ProbeReply):
                if found.load is None or found.load.draining:
                    return neighbour
                role = ROLES_BY_NUMBER.get(found.role, "")
                serves = Assignment(role, found.model or "")
                return neighbour._replace(serving=serves)
        return neighbour
