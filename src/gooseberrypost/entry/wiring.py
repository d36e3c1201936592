"""Builds an entry daemon from its settings and the real collaborators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gooseberrypost.blackboard import Blackboard
from gooseberrypost.claims.owner import (
    ClaimOwnerController,
    ClaimsSection,
    monotonic_ms,
)
from gooseberrypost.claims.remote import RemoteClaimClient
from gooseberrypost.configsync.controller import ConfigurationController
from gooseberrypost.entry.collaborators import Catalog, Collaborators
from gooseberrypost.entry.daemon import EntryDaemon, open_wire
from gooseberrypost.identity import new_incarnation
from gooseberrypost.platform.http import HttpKeyValueStore
from gooseberrypost.policy.admission import DeadlineAdmission
from gooseberrypost.policy.limits import Limiter, service_pressure
from gooseberrypost.policy.placement import ReservingPlacement
from gooseberrypost.policy.retry import RetryBudget
from gooseberrypost.policy.subset import choose_subset
from gooseberrypost.state.configuration import Configuration
from gooseberrypost.state.records import ServiceRecord

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from gooseberrypost.settings.entry import EntrySettings

DEFAULT_OUTAGE_POLICY = ServiceRecord("").claims_outage_policy


async def build(cfg: EntrySettings, rng: random.Random) -> EntryDaemon:
    """Build an entry; raises ``OSError`` when its internal port is taken."""
    incarnation = new_incarnation(rng)
    wire = await open_wire(cfg, incarnation)
    board = Blackboard()
    store = HttpKeyValueStore.from_addresses(cfg.key_value_addresses)
    configuration = ConfigurationController(
        board, wire.pool, cfg.peers, store, rng=rng
    )
    configuration.register(wire.dispatcher)
    section = board.read(Configuration)
    owner = ClaimOwnerController.from_config(
        cfg,
        board,
        store,
        wire.dispatcher,
        rng,
        address=wire.pool.hello.address,
        incarnation=incarnation,
        outage_policy=_outage_policy(section),
    )
    claims = RemoteClaimClient.from_config(
        cfg, store, wire.pool, rng, monotonic_ms, owner
    )
    parts = Collaborators(
        configuration=section,
        claims=claims,
        admission=DeadlineAdmission(),
        placement=ReservingPlacement(),
        make_limiter=Limiter.from_config,
        make_retries=RetryBudget.from_config,
        choose_subset=choose_subset,
        pressure=service_pressure,
        rng=rng,
    )
    return await EntryDaemon.from_config(
        cfg,
        parts,
        board=board,
        wire=wire,
        incarnation=incarnation,
        services=[configuration, owner],
        shards=lambda: sorted(board.read(ClaimsSection).shards),
    )


def _outage_policy(configuration: Configuration) -> Callable[[str], str]:
    catalog = Catalog(configuration)

    def policy(service: str) -> str:
        record = catalog.service(service)
        if record is None:
            return DEFAULT_OUTAGE_POLICY
        return record.claims_outage_policy

    return policy
