"""Construction of an entry with its production collaborators."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from mode import Service

from gooseberrypost.blackboard import Blackboard
from gooseberrypost.claims.owner import (
    ClaimOwnerController,
    monotonic_ms,
)
from gooseberrypost.claims.remote import RemoteClaimClient
from gooseberrypost.configsync.controller import ConfigurationController
from gooseberrypost.entry.collaborators import Catalog, Collaborators
from gooseberrypost.entry.daemon import EntryDaemon, open_wire
from gooseberrypost.identity import new_incarnation
from gooseberrypost.policy.admission import DeadlineAdmission
from gooseberrypost.policy.limits import Limiter, service_occupancy
from gooseberrypost.policy.placement import LowestCostPlacement
from gooseberrypost.policy.retry import RetryBudget
from gooseberrypost.policy.subset import choose_subset
from gooseberrypost.sheet.current import CurrentAssignments
from gooseberrypost.state.configuration import Configuration
from gooseberrypost.stores.http import HttpKeyValueStore

if TYPE_CHECKING:
    import random

    from gooseberrypost.entry.collaborators import ConfigurationView
    from gooseberrypost.entry.daemon import WireController
    from gooseberrypost.settings.entry import EntrySettings
    from gooseberrypost.stores.keyvalue import KeyValueStore

ConfigurationFactory = Callable[
    ["Blackboard", "WireController"],
    "tuple[ConfigurationView, list[Service]]",
]

DEFAULT_OUTAGE_POLICY: Final = "memory"
"""Claims outage policy of a service that is not configured."""


class StoreController(Service):
    """Closes the key-value client when the entry stops.

    It is started before the services that use the client, and so stopped
    after them.
    """

    def __init__(self, store: KeyValueStore) -> None:
        super().__init__()
        self._store = store

    async def on_stop(self) -> None:
        """Close the client's connections."""
        await self._store.close()


def unix_time_ms() -> int:
    """Return the Unix time in milliseconds."""
    return time.time_ns() // 1_000_000


async def build(cfg: EntrySettings, rng: random.Random) -> EntryDaemon:
    """Build an entry that uses the key-value service and peers of ``cfg``."""
    store = HttpKeyValueStore.from_addresses(cfg.key_value_addresses)

    def make_configuration(
        board: Blackboard, wire: WireController
    ) -> tuple[ConfigurationView, list[Service]]:
        controller = ConfigurationController(
            board, wire.pool, cfg.peers, store, rng=rng
        )
        controller.register(wire.dispatcher)
        return board.read(Configuration), [controller]

    return await assemble(cfg, rng, store, make_configuration)


async def assemble(
    cfg: EntrySettings,
    rng: random.Random,
    store: KeyValueStore,
    make_configuration: ConfigurationFactory,
) -> EntryDaemon:
    """Build an entry; its internal listener is bound, no service started.

    ``make_configuration`` is called with the blackboard and the wire
    controller. It returns the configuration section and the services that
    update it.
    """
    incarnation = new_incarnation()
    wire = await open_wire(cfg, incarnation)
    board = Blackboard()
    configuration, services = make_configuration(board, wire)
    catalog = Catalog(configuration)
    owner = ClaimOwnerController.from_config(
        cfg,
        board,
        store,
        wire.dispatcher,
        rng,
        address=wire.pool.hello.address,
        incarnation=incarnation,
        outage_policy=lambda name: outage_policy(catalog, name),
        pool=wire.pool,
    )
    claims = RemoteClaimClient.from_config(
        cfg, store, wire.pool, rng, monotonic_ms, local=owner
    )
    collaborators = Collaborators(
        configuration=configuration,
        claims=claims,
        admission=DeadlineAdmission(),
        placement=LowestCostPlacement(),
        make_limiter=Limiter.from_config,
        make_retries=RetryBudget.from_config,
        choose_subset=choose_subset,
        occupancy=service_occupancy,
        schedule=CurrentAssignments(configuration, unix_time_ms),
        rng=rng,
    )
    return await EntryDaemon.from_config(
        cfg,
        collaborators,
        board=board,
        wire=wire,
        incarnation=incarnation,
        services=[StoreController(store), *services, owner],
        shards=lambda: sorted(owner.section.shards),
    )


def outage_policy(catalog: Catalog, service_name: str) -> str:
    """Return the service's policy for callers' keys in a claims outage."""
    service = catalog.service(service_name)
    if service is None:
        return DEFAULT_OUTAGE_POLICY
    return service.claims_outage_policy
