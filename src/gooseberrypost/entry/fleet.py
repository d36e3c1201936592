"""Fleet of agents as seen by one entry.

Loads come from replies and probes, roles from configuration, schedule and the
agents' reports.
"""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING, Any, Final

from absl import logging
from mode import Service
from result import Err, Ok

from gooseberrypost.entry.sections import Fleet
from gooseberrypost.errors import TimedOut
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
ROLE_BY_NUMBER: Final = {
    idl.Role.PREFILL: EngineRole.PREFILL,
    idl.Role.DECODE: EngineRole.DECODE,
}
SUBSET_SIZES: Final = {
    EngineRole.PREFILL: 12,
    EngineRole.DECODE: 16,
    EngineRole.PLAIN: 16,
}
"""Maximum number of agents in an entry's subset of a pool, by role."""
MAX_LOAD_AGE_MS: Final = 250
"""Age above which a load is probed before placement, in ms."""
PROBE_SAMPLE_SIZE: Final = 2
"""Agents probed at a time, chosen at random."""
PROBE_TIMEOUT_MS: Final = 100
MAX_TIMER_DELAY_MS: Final = 20
"""Delay of a timeout beyond which this entry's own event loop was late.

The reply may then have arrived in time.
"""
UNREACHABLE_MS: Final = 1_000
"""Time for which an unreachable agent is not used, in ms."""
SCHEDULE_POLL_INTERVAL_S: Final = 1.0
REPORT_VALID_MS: Final = 10_000
"""Time for which a reported role overrides the schedule, in ms.

Without this limit, an engine outside this entry's subset of its reported pool
would never be contacted again, and its next role change would go unnoticed.
"""
NEVER_OBSERVED_MS: Final = -3_600_000
"""Observation time of a load that was never reported, in ms.

It is old enough for the agent to be probed at any clock time.
"""


class FleetController(Service):
    """Tracks agents, their loads and their pools; owns the fleet section."""

    def __init__(
        self,
        name: str,
        zone: str,
        collaborators: Collaborators,
        board: Blackboard,
        pool: ChannelPool,
    ) -> None:
        super().__init__()
        self._name = name
        self._zone = zone
        self._collaborators = collaborators
        self._pool = pool
        board.add(Fleet(), OWNER)
        self._section = board.write(Fleet, OWNER)
        self._applied_plan: tuple[int, Mapping[str, Assignment]] = (0, {})
        self._reported_roles: dict[str, tuple[Assignment, int]] = {}
        """Reported roles that override the schedule, and their times in ms."""
        self._membership: dict[str, tuple[str, str, str, str]] = {}
        self.prefix_hints = PrefixHints()
        self._subsets: dict[tuple[str, str, str], list[str]] = {}

    async def on_start(self) -> None:
        """Read the current configuration."""
        self.refresh()

    @Service.task
    async def _watch_configuration(self) -> None:
        configuration = self._collaborators.configuration
        while not self.should_stop:
            changed = asyncio.ensure_future(configuration.changed())
            await asyncio.wait([changed], timeout=SCHEDULE_POLL_INTERVAL_S)
            changed.cancel()
            plan = (configuration.version, self._current_assignments())
            if plan != self._applied_plan:
                self.refresh()

    def refresh(self) -> None:
        """Rebuild the fleet from the configuration, schedule and reports."""
        configuration = self._collaborators.configuration
        assigned = self._current_assignments()
        self._applied_plan = (configuration.version, assigned)
        engines = {
            record.name: record
            for record in configuration.records.values()
            if isinstance(record, EngineRecord)
        }
        self._section.agents = {
            name: self._updated_view(record, assigned.get(name))
            for name, record in engines.items()
        }
        self._section.service_by_agent = {
            name: record.service for name, record in engines.items()
        }
        self._invalidate_subsets(engines)
        self._section.notify()

    def _current_assignments(self) -> Mapping[str, Assignment]:
        """Return the current role and model of engines, by name.

        A report overrides the schedule for ``REPORT_VALID_MS``.
        """
        schedule = self._collaborators.schedule
        assigned = schedule() if schedule is not None else {}
        valid_from_ms = self._collaborators.clock() - REPORT_VALID_MS
        reports = self._reported_roles = {
            name: report
            for name, report in self._reported_roles.items()
            if report[1] >= valid_from_ms
        }
        return {
            **assigned,
            **{name: assignment for name, (assignment, _) in reports.items()},
        }

    def _updated_view(
        self, record: EngineRecord, assignment: Assignment | None
    ) -> AgentView:
        return dataclasses.replace(
            self._last_view(record),
            zone=record.zone,
            role=assignment.role if assignment else record.role,
            model=assignment.model if assignment else record.model,
            link=record.link,
            link_kb_per_s=record.link_kb_per_s,
        )

    def _invalidate_subsets(self, engines: dict[str, EngineRecord]) -> None:
        """Discard the chosen subsets if the members of a pool changed.

        Choosing a subset hashes every member of its pool, which is too slow
        to do for each request.
        """
        membership = {
            view.name: (engines[view.name].service, *_pool_key(view))
            for view in self._section.agents.values()
        }
        if membership != self._membership:
            self._membership = membership
            self._subsets.clear()

    def _last_view(self, record: EngineRecord) -> AgentView:
        last = self._section.agents.get(record.name)
        if last is None or last.address != record.agent_address:
            return _initial_view(record)
        return last

    def candidates(
        self,
        service: str,
        role: str,
        model: str = "",
        excluded: Collection[str] = (),
    ) -> list[AgentView]:
        """Return the reachable agents in this entry's subset of a pool.

        Those in ``excluded`` are left out. All others are returned if none of
        them is reachable: a late reply to a probe may be all that they did.
        """
        names = self._subset(service, role, model)
        return self._reachable(
            [
                self._section.agents[name]
                for name in names
                if name not in excluded
            ]
        )

    def isolation_candidates(
        self,
        service: str,
        role: str,
        model: str,
        digest: bytes,
        avoided: Collection[str] = (),
    ) -> list[AgentView]:
        """Return the one agent of a pool to use for suspect content, if any.

        Every entry chooses the same agent from the whole pool, so that copies
        of the content under several keys cannot crash several servers at
        once. A server in ``avoided``, which the content may have crashed
        before, is chosen only when there is no other.
        """
        reachable = self._reachable(self._members(service, role, model))
        # If all are draining, one is returned so that it is probed again.
        usable = [view for view in reachable if not view.draining] or reachable
        by_name = {view.name: view for view in usable}
        ranked = isolation_order(digest.hex(), by_name)
        ranked.sort(key=lambda name: name in avoided)
        return [by_name[name] for name in ranked[:1]]

    def _reachable(self, views: list[AgentView]) -> list[AgentView]:
        now_ms = self._collaborators.clock()
        down = self._section.down_until_ms
        reachable = [v for v in views if down.get(v.name, now_ms) <= now_ms]
        return reachable or views

    def _members(self, service: str, role: str, model: str) -> list[AgentView]:
        return [
            view
            for view in self._section.agents.values()
            if self._section.service_by_agent[view.name] == service
            and view.role == role
            and (not model or view.model == model)
        ]

    def _subset(self, service: str, role: str, model: str) -> list[str]:
        pool = (service, role, model)
        names = self._subsets.get(pool)
        if names is None:
            members = self._members(service, role, model)
            size = SUBSET_SIZES[EngineRole(role)]
            chosen = self._collaborators.choose_subset(
                self._name, self._zone, members, size
            )
            names = self._subsets[pool] = [view.name for view in chosen]
        return names

    def with_cached_tokens(
        self, views: list[AgentView], hashes: Sequence[int]
    ) -> list[AgentView]:
        """Return views with the estimated cached tokens of the prompt.

        ``hashes`` are the prefix hashes of the prompt.
        """
        if not hashes:
            return views
        cached = self.prefix_hints.cached_tokens
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
        """Probe up to two random agents whose loads are stale.

        With ``hashes``, prefill engines also report how many tokens of the
        prompt they have cached.
        """
        now_ms = self._collaborators.clock()
        stale = [v for v in views if now_ms - v.observed_ms > MAX_LOAD_AGE_MS]
        sampled = self._collaborators.rng.sample(
            stale, min(PROBE_SAMPLE_SIZE, len(stale))
        )
        await asyncio.gather(
            *(self._probe(service, v, hashes) for v in sampled)
        )

    async def _probe(
        self, service: str, view: AgentView, hashes: Sequence[int]
    ) -> None:
        probed_hashes = hashes if view.role == EngineRole.PREFILL else ()
        probe = idl.Probe(
            service_name=service, prefix_hashes=list(probed_hashes)
        )
        sent_ms = self._collaborators.clock()
        reply = await self._pool.request(view.address, probe, PROBE_TIMEOUT_MS)
        took_ms = self._collaborators.clock() - sent_ms
        match reply:
            case Ok(message) if isinstance(message, idl.ProbeReply):
                self.observe(view.name, message.load)
                if probed_hashes:
                    cached = message.cached_tokens or 0
                    self.prefix_hints.record_cached(
                        view.name, probed_hashes, cached
                    )
            case Ok(message):
                self.observe(view.name, getattr(message, "load", None))
            case Err(failure):
                is_own_delay = (
                    isinstance(failure, TimedOut)
                    and took_ms > PROBE_TIMEOUT_MS + MAX_TIMER_DELAY_MS
                )
                logging.warning(
                    "event=probe_failed agent=%s code=%s took_ms=%d late=%s",
                    view.name,
                    failure.code,
                    took_ms,
                    is_own_delay,
                )
                if not is_own_delay:
                    self.mark_unreachable(view.name)
                    self.prefix_hints.forget(view.name)

    def observe(self, name: str, load: Any) -> None:
        """Store the load reported by an agent; ``None`` is ignored."""
        view = self._section.agents.get(name)
        if view is None or load is None:
            return
        self._section.down_until_ms.pop(name, None)
        if load.incarnation:
            self._section.incarnations[name] = load.incarnation
        self._section.agents[name] = dataclasses.replace(
            view,
            slots=_value_or_previous(load.slots, view.slots),
            slots_used=_value_or_previous(load.slots_used, view.slots_used),
            pieces=_value_or_previous(load.pieces, view.pieces),
            pieces_used=_value_or_previous(load.pieces_used, view.pieces_used),
            queue_tokens=_value_or_previous(
                load.queue_tokens, view.queue_tokens
            ),
            prefill_tokens_per_s=(
                load.prefill_tokens_per_s or view.prefill_tokens_per_s
            ),
            token_gap_ms=load.token_gap_ms or view.token_gap_ms,
            draining=bool(load.draining),
            suspects=load.suspects or 0,
            observed_ms=self._collaborators.clock(),
        )
        self._apply_reported_role(view, load)

    def _apply_reported_role(self, view: AgentView, load: Any) -> None:
        """Move an engine to another pool if its agent reports a new role."""
        role = ROLE_BY_NUMBER.get(load.role)
        # A draining engine takes no work; its next pool is in the schedule.
        if role is None or load.draining:
            return
        reported = Assignment(role, load.model or view.model)
        if view.name in self._reported_roles:
            self._reported_roles[view.name] = (
                reported,
                self._collaborators.clock(),
            )
        if reported != (view.role, view.model):
            self._reported_roles[view.name] = (
                reported,
                self._collaborators.clock(),
            )
            self.refresh()

    def incarnation(self, name: str) -> int:
        """Return the last known incarnation of an agent process, or 0."""
        return self._section.incarnations.get(name, 0)

    def mark_unreachable(self, name: str) -> None:
        """Exclude an unreachable agent for ``UNREACHABLE_MS``."""
        until_ms = self._collaborators.clock() + UNREACHABLE_MS
        self._section.down_until_ms[name] = until_ms

    def mark_draining(self, name: str) -> None:
        """Mark an agent that refused work as draining."""
        view = self._section.agents.get(name)
        if view is not None:
            self._section.agents[name] = dataclasses.replace(
                view, draining=True, observed_ms=self._collaborators.clock()
            )


def _initial_view(record: EngineRecord) -> AgentView:
    """Return the view of an agent that has not reported its load yet."""
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
        observed_ms=NEVER_OBSERVED_MS,
    )


def _value_or_previous(value: int | None, previous: int) -> int:
    """Return a field's value, or the previous one if it is absent.

    A peer of another release may leave the field out.
    """
    return previous if value is None else value


def _pool_key(view: AgentView) -> tuple[str, str, str]:
    return (view.role, view.model, view.zone)
