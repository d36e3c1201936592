"""Partial view of the agents: loads from replies and from probes."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING, Any, Final

from mode import Service
from result import Ok

from gooseberrypost.entry.sections import Fleet
from gooseberrypost.policy.views import AgentView
from gooseberrypost.state.records import EngineRecord, EngineRole
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from collections.abc import Sequence

    from gooseberrypost.blackboard import Blackboard
    from gooseberrypost.entry.collaborators import Collaborators
    from gooseberrypost.wire.channel import ChannelPool

OWNER: Final = "FleetController"
SUBSET_SIZES: Final = {
    EngineRole.PREFILL: 12,
    EngineRole.DECODE: 16,
    EngineRole.PLAIN: 16,
}
FRESH_MS: Final = 250
"""Older loads are probed before a placement."""
PROBES: Final = 2
PROBE_TIMEOUT_MS: Final = 100
DOWN_MS: Final = 1_000
"""Time for which an unreachable agent is left out."""
SCHEDULE_INTERVAL_S: Final = 1.0
UNSEEN_MS: Final = -3_600_000
"""Observation time of a load that was never reported."""


class FleetController(Service):
    """Owner of the fleet section."""

    def __init__(
        self,
        name: str,
        zone: str,
        parts: Collaborators,
        board: Blackboard,
        pool: ChannelPool,
    ) -> None:
        super().__init__()
        self._name = name
        self._zone = zone
        self._parts = parts
        self._pool = pool
        board.add(Fleet(), OWNER)
        self._section = board.write(Fleet, OWNER)

    async def on_start(self) -> None:
        """Read the configuration in force."""
        self.refresh()

    @Service.task
    async def _follow_configuration(self) -> None:
        configuration = self._parts.configuration
        while not self.should_stop:
            changed = asyncio.ensure_future(configuration.changed())
            await asyncio.wait([changed], timeout=SCHEDULE_INTERVAL_S)
            changed.cancel()
            self.refresh()

    def refresh(self) -> None:
        """Take engines and their roles from configuration and schedule."""
        records = self._parts.configuration.records
        engines = {
            record.name: record
            for record in records.values()
            if isinstance(record, EngineRecord)
        }
        schedule = self._parts.schedule
        assigned = schedule(records) if schedule is not None else {}
        agents: dict[str, AgentView] = {}
        for name, record in engines.items():
            assignment = assigned.get(name)
            agents[name] = dataclasses.replace(
                self._seen(record),
                zone=record.zone,
                role=assignment.role if assignment else record.role,
                model=assignment.model if assignment else record.model,
                link=record.link,
                link_kb_per_s=record.link_kb_per_s,
            )
        self._section.agents = agents
        self._section.services = {
            name: record.service for name, record in engines.items()
        }
        self._section.notify()

    def _seen(self, record: EngineRecord) -> AgentView:
        seen = self._section.agents.get(record.name)
        if seen is None or seen.address != record.agent_address:
            return _unseen(record)
        return seen

    def candidates(
        self, service: str, role: str, model: str = ""
    ) -> list[AgentView]:
        """Return this entry's subset of the live agents of a pool."""
        now_ms = self._parts.clock()
        services = self._section.services
        members = [
            view
            for view in self._section.agents.values()
            if services[view.name] == service
            and view.role == role
            and (not model or not view.model or view.model == model)
        ]
        chosen = self._parts.choose_subset(
            self._name, self._zone, members, SUBSET_SIZES[EngineRole(role)]
        )
        down = self._section.down_until_ms
        live = [v for v in chosen if down.get(v.name, now_ms) <= now_ms]
        return live or list(chosen)

    async def probe(self, service: str, views: Sequence[AgentView]) -> None:
        """Refresh the loads of two random agents whose loads are old."""
        now_ms = self._parts.clock()
        old = [v for v in views if now_ms - v.observed_ms > FRESH_MS]
        picked = self._parts.rng.sample(old, min(PROBES, len(old)))
        await asyncio.gather(*(self._probe(service, v) for v in picked))

    async def _probe(self, service: str, view: AgentView) -> None:
        probe = idl.Probe(service_name=service, prefix_hashes=[])
        reply = await self._pool.request(view.address, probe, PROBE_TIMEOUT_MS)
        match reply:
            case Ok(message) if isinstance(message, idl.ProbeReply):
                self.observe(view.name, message.load)
            case Ok(message):
                self.observe(view.name, getattr(message, "load", None))
            case _:
                self.mark_down(view.name)

    def observe(self, name: str, load: Any) -> None:
        """Take over a load that came with a reply; ``None`` is ignored."""
        view = self._section.agents.get(name)
        if view is None or load is None:
            return
        self._section.down_until_ms.pop(name, None)
        self._section.agents[name] = dataclasses.replace(
            view,
            slots=load.slots,
            slots_used=load.slots_used,
            pieces=load.pieces,
            pieces_used=load.pieces_used,
            queue_tokens=load.queue_tokens,
            prefill_tokens_per_s=(
                load.prefill_tokens_per_s or view.prefill_tokens_per_s
            ),
            token_gap_ms=load.token_gap_ms or view.token_gap_ms,
            draining=load.draining,
            suspects=load.suspects or 0,
            observed_ms=self._parts.clock(),
        )

    def mark_down(self, name: str) -> None:
        """Leave an unreachable agent out for ``DOWN_MS``."""
        until_ms = self._parts.clock() + DOWN_MS
        self._section.down_until_ms[name] = until_ms

    def mark_draining(self, name: str) -> None:
        """Note that an agent refused work because it drains."""
        view = self._section.agents.get(name)
        if view is not None:
            self._section.agents[name] = dataclasses.replace(
                view, draining=True, observed_ms=self._parts.clock()
            )


def _unseen(record: EngineRecord) -> AgentView:
    return AgentView(
        name=record.name,
        address=record.agent_address,
        zone=record.zone,
        role=record.role,
        model=record.model,
        slots=record.slots,
        slots_used=0,
        pieces=record.pieces,
        pieces_used=0,
        queue_tokens=0,
        prefill_tokens_per_s=record.prefill_tokens_per_s,
        token_gap_ms=0.0,
        draining=False,
        observed_ms=UNSEEN_MS,
    )
