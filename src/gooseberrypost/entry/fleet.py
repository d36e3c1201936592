"""Partial view of the agents: loads from replies and from probes."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING, Any, Final

from mode import Service
from result import Ok

from gooseberrypost.entry.sections import Fleet
from gooseberrypost.policy.quarantine import isolation_order
from gooseberrypost.policy.views import AgentView
from gooseberrypost.sheet.schedule import Assignment
from gooseberrypost.state.prefix_hints import PrefixHints
from gooseberrypost.state.records import EngineRecord, EngineRole
from gooseberrypost.wire.messages import idl

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping, Sequence

    from gooseberrypost.blackboard import Blackboard
    from gooseberrypost.entry.collaborators import Collaborators
    from gooseberrypost.wire.channel import ChannelPool

OWNER: Final = "FleetController"
ROLES_BY_NUMBER: Final = {
    idl.Role.PREFILL: EngineRole.PREFILL,
    idl.Role.DECODE: EngineRole.DECODE,
}
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
REPORT_VALID_MS: Final = 10_000
"""Time for which a reported role stands against the schedule.

Without a limit an engine outside this entry's subset of its reported pool
would never be asked again, and its later change not noticed.
"""
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
        self._plan: tuple[int, Mapping[str, Assignment]] = (0, {})
        self._reports: dict[str, tuple[Assignment, int]] = {}
        """Reports that contradict the schedule, with their clock times."""
        self._membership: dict[str, tuple[str, str, str, str]] = {}
        self.hints = PrefixHints()
        self._subsets: dict[tuple[str, str, str], list[str]] = {}

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
            plan = (configuration.version, self._assigned())
            if plan != self._plan:
                self.refresh()

    def refresh(self) -> None:
        """Take engines and their roles from configuration and schedule."""
        configuration = self._parts.configuration
        assigned = self._assigned()
        self._plan = (configuration.version, assigned)
        engines = {
            record.name: record
            for record in configuration.records.values()
            if isinstance(record, EngineRecord)
        }
        self._section.agents = {
            name: self._view(record, assigned.get(name))
            for name, record in engines.items()
        }
        self._section.services = {
            name: record.service for name, record in engines.items()
        }
        self._forget_subsets(engines)
        self._section.notify()

    def _assigned(self) -> Mapping[str, Assignment]:
        """Roles and models that the schedule gives to engines now.

        What an agent reported a short time ago takes precedence.
        """
        schedule = self._parts.schedule
        assigned = schedule() if schedule is not None else {}
        valid_ms = self._parts.clock() - REPORT_VALID_MS
        reports = self._reports = {
            name: report
            for name, report in self._reports.items()
            if report[1] >= valid_ms
        }
        return {
            **assigned,
            **{name: one for name, (one, _) in reports.items()},
        }

    def _view(
        self, record: EngineRecord, assignment: Assignment | None
    ) -> AgentView:
        return dataclasses.replace(
            self._seen(record),
            zone=record.zone,
            role=assignment.role if assignment else record.role,
            model=assignment.model if assignment else record.model,
            link=record.link,
            link_kb_per_s=record.link_kb_per_s,
        )

    def _forget_subsets(self, engines: dict[str, EngineRecord]) -> None:
        """Choose subsets anew only when the members of a pool changed.

        A choice hashes every member of its pool, too much for each request.
        """
        membership = {
            view.name: (engines[view.name].service, *_pool_of(view))
            for view in self._section.agents.values()
        }
        if membership != self._membership:
            self._membership = membership
            self._subsets.clear()

    def _seen(self, record: EngineRecord) -> AgentView:
        seen = self._section.agents.get(record.name)
        if seen is None or seen.address != record.agent_address:
            return _unseen(record)
        return seen

    def candidates(
        self, service: str, role: str, model: str = ""
    ) -> list[AgentView]:
        """Return this entry's subset of the live agents of a pool."""
        names = self._subset(service, role, model)
        return self._live([self._section.agents[name] for name in names])

    def isolated(
        self,
        service: str,
        role: str,
        model: str,
        digest: bytes,
        avoided: Collection[str] = (),
    ) -> list[AgentView]:
        """Return the one agent of a pool that runs this suspect content.

        Every entry chooses it from the whole pool, so that copies of the
        content under several keys cannot crash several servers at once. An
        avoided server, which the content may have crashed before, is chosen
        only when there is no other.
        """
        live = self._live(self._members(service, role, model))
        # Where all drain, one is returned to be asked again.
        usable = [view for view in live if not view.draining] or live
        by_name = {view.name: view for view in usable}
        order = isolation_order(digest.hex(), by_name)
        order.sort(key=lambda name: name in avoided)
        return [by_name[name] for name in order[:1]]

    def _live(self, views: list[AgentView]) -> list[AgentView]:
        now_ms = self._parts.clock()
        down = self._section.down_until_ms
        live = [v for v in views if down.get(v.name, now_ms) <= now_ms]
        return live or views

    def _members(self, service: str, role: str, model: str) -> list[AgentView]:
        return [
            view
            for view in self._section.agents.values()
            if self._section.services[view.name] == service
            and view.role == role
            and (not model or view.model == model)
        ]

    def _subset(self, service: str, role: str, model: str) -> list[str]:
        pool = (service, role, model)
        names = self._subsets.get(pool)
        if names is None:
            members = self._members(service, role, model)
            size = SUBSET_SIZES[EngineRole(role)]
            chosen = self._parts.choose_subset(
                self._name, self._zone, members, size
            )
            names = self._subsets[pool] = [view.name for view in chosen]
        return names

    def hinted(
        self, views: list[AgentView], hashes: Sequence[int]
    ) -> list[AgentView]:
        """Fill in what each prefill engine is believed to have cached."""
        if not hashes:
            return views
        cached = self.hints.cached_tokens
        return [
            dataclasses.replace(v, cached_tokens=cached(v.name, hashes))
            for v in views
        ]

    async def probe(
        self,
        service: str,
        views: Sequence[AgentView],
        hashes: Sequence[int] = (),
    ) -> None:
        """Refresh two random agents whose loads are old.

        ``hashes`` ask prefill engines how much of a prompt they have cached.
        """
        now_ms = self._parts.clock()
        old = [v for v in views if now_ms - v.observed_ms > FRESH_MS]
        picked = self._parts.rng.sample(old, min(PROBES, len(old)))
        await asyncio.gather(
            *(self._probe(service, v, hashes) for v in picked)
        )

    async def _probe(
        self, service: str, view: AgentView, hashes: Sequence[int]
    ) -> None:
        asked = hashes if view.role == EngineRole.PREFILL else ()
        probe = idl.Probe(service_name=service, prefix_hashes=list(asked))
        reply = await self._pool.request(view.address, probe, PROBE_TIMEOUT_MS)
        match reply:
            case Ok(message) if isinstance(message, idl.ProbeReply):
                self.observe(view.name, message.load)
                if asked:
                    cached = message.cached_tokens or 0
                    self.hints.record_cached(view.name, asked, cached)
            case Ok(message):
                self.observe(view.name, getattr(message, "load", None))
            case _:
                self.mark_down(view.name)
                self.hints.forget(view.name)

    def observe(self, name: str, load: Any) -> None:
        """Take over a load that came with a reply; ``None`` is ignored."""
        view = self._section.agents.get(name)
        if view is None or load is None:
            return
        self._section.down_until_ms.pop(name, None)
        if load.incarnation:
            self._section.incarnations[name] = load.incarnation
        self._section.agents[name] = dataclasses.replace(
            view,
            slots=_given(load.slots, view.slots),
            slots_used=_given(load.slots_used, view.slots_used),
            pieces=_given(load.pieces, view.pieces),
            pieces_used=_given(load.pieces_used, view.pieces_used),
            queue_tokens=_given(load.queue_tokens, view.queue_tokens),
            prefill_tokens_per_s=(
                load.prefill_tokens_per_s or view.prefill_tokens_per_s
            ),
            token_gap_ms=load.token_gap_ms or view.token_gap_ms,
            draining=bool(load.draining),
            suspects=load.suspects or 0,
            observed_ms=self._parts.clock(),
        )
        self._compare_role(view, load)

    def _compare_role(self, view: AgentView, load: Any) -> None:
        """Move an engine to the pool that its agent reports."""
        role = ROLES_BY_NUMBER.get(load.role)
        # A draining engine takes no work; the schedule says where it goes.
        if role is None or load.draining:
            return
        reported = Assignment(role, load.model or view.model)
        if view.name in self._reports:
            self._reports[view.name] = (reported, self._parts.clock())
        if reported != (view.role, view.model):
            self._reports[view.name] = (reported, self._parts.clock())
            self.refresh()

    def incarnation(self, name: str) -> int:
        """Agent process that was last heard of; 0 when it is unknown."""
        return self._section.incarnations.get(name, 0)

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


def _given(value: int | None, before: int) -> int:
    """Value of a field, which a peer of another release may leave out."""
    return before if value is None else value


def _pool_of(view: AgentView) -> tuple[str, str, str]:
    return (view.role, view.model, view.zone)
