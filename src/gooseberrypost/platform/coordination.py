"""Registrations and the duty of the gateways, under leases of the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from gooseberrypost.gateway.directory import FeedLost
from gooseberrypost.gateway.peers import (
    RegistrationFailed,
    RegistrationLapsed,
    Registry,
)
from gooseberrypost.gateway.stages import Duty, DutyLost
from gooseberrypost.platform import names
from gooseberrypost.platform.documents import encode_stage_order
from gooseberrypost.platform.store import (
    ConditionFailed,
    LeaseEnded,
    Put,
)

if TYPE_CHECKING:
    from gooseberrypost.gateway.model import StageOrder
    from gooseberrypost.platform.store import PlatformStore

CONFIRM_TIMEOUT_S: Final = 0.3
"""An order is given only right after its confirmation."""


class StoreRegistry(Registry):
    """Registrations of the gateways, under leases of the store."""

    def __init__(self, store: PlatformStore) -> None:
        self._store = store

    async def register(self, name: str, address: str, ttl_ms: int) -> int:
        """Write this gateway's address and return the lease."""
        key = f"{names.GATEWAYS_PREFIX}{name}"
        try:
            lease = await self._store.grant_lease(ttl_ms)
            await self._store.write([Put(key, address.encode(), lease)])
        except (FeedLost, LeaseEnded) as failure:
            raise RegistrationFailed(str(failure)) from failure
        return lease

    async def renew(self, lease: int) -> None:
        """Renew a lease."""
        try:
            await self._store.keep_lease(lease)
        except LeaseEnded as failure:
            raise RegistrationLapsed(str(failure)) from failure
        except FeedLost as failure:
            raise RegistrationFailed(str(failure)) from failure

    async def end(self, lease: int) -> None:
        """Remove the registration."""
        try:
            await self._store.end_lease(lease)
        except (FeedLost, LeaseEnded) as failure:
            raise RegistrationFailed(str(failure)) from failure


class StoreDuty(Duty):
    """The duty as a key that only one gateway can create."""

    def __init__(self, store: PlatformStore) -> None:
        self._store = store

    async def take(self, name: str, lease: int) -> int:
        """Take the duty if nobody holds it."""
        put = Put(names.STAGE_HOLDER_KEY, name.encode(), lease)
        try:
            return await self._store.write([put], {names.STAGE_HOLDER_KEY: 0})
        except (ConditionFailed, FeedLost, LeaseEnded) as failure:
            raise DutyLost(str(failure)) from failure

    async def confirm(self, fence: int, lease: int, order: StageOrder) -> None:
        """Note an order if the duty is still held."""
        put = Put(
            f"{names.STAGE_ORDERS_PREFIX}{order.instance}",
            encode_stage_order(order),
            lease,
        )
        try:
            await self._store.write(
                [put],
                {names.STAGE_HOLDER_KEY: fence},
                timeout_s=CONFIRM_TIMEOUT_S,
            )
        except (ConditionFailed, FeedLost, LeaseEnded) as failure:
            raise DutyLost(str(failure)) from failure

    async def withdraw(self, fence: int, order: StageOrder) -> None:
        """Remove the note of a refused order."""
        key = f"{names.STAGE_ORDERS_PREFIX}{order.instance}"
        try:
            await self._store.write(
                [], {names.STAGE_HOLDER_KEY: fence}, removed=[key]
            )
        except (ConditionFailed, FeedLost, LeaseEnded) as failure:
            raise DutyLost(str(failure)) from failure
