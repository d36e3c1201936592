"""Records of gateways as keys in the store.

Registrations, the stage lock and stage orders are removed with the lease of
the gateway that wrote them; convictions and versions of streams stay.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from gooseberrypost.gateway.convictions import (
    ConvictionNotSaved,
    ConvictionStore,
)
from gooseberrypost.gateway.directory import FeedLost
from gooseberrypost.gateway.peers import (
    RegistrationFailed,
    RegistrationLapsed,
    Registry,
)
from gooseberrypost.gateway.stagelock import StageLock, StageLockLost
from gooseberrypost.gateway.versions import (
    VersionNotExecuted,
    VersionNotSaved,
    VersionStore,
)
from gooseberrypost.platform import names
from gooseberrypost.platform.documents import (
    encode_crash,
    encode_stage_order,
)
from gooseberrypost.platform.store import (
    CallNotExecuted,
    Commit,
    ConditionFailed,
    LeaseEnded,
    Put,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from gooseberrypost.gateway.model import DefaultVersion, StageOrder
    from gooseberrypost.gateway.quarantine import CrashRecord
    from gooseberrypost.platform.store import PlatformStore

CONFIRM_TIMEOUT_S: Final = 0.3
"""Short, as an order is sent only right after its confirmation."""
REVISION_BITS: Final = 40
"""Bits of a fencing token that hold the revision; the era is above them."""


class StoreRegistry(Registry):
    """Gateway registrations as keys under leases of the store."""

    def __init__(self, store: PlatformStore) -> None:
        self._store = store

    async def register(self, name: str, address: str, ttl_ms: int) -> int:
        """Write this gateway's address under a new lease and return it."""
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
            await self._store.renew_lease(lease)
        except LeaseEnded as failure:
            raise RegistrationLapsed(str(failure)) from failure
        except FeedLost as failure:
            raise RegistrationFailed(str(failure)) from failure

    async def unregister(self, lease: int) -> None:
        """Revoke the lease, which removes the registration."""
        try:
            await self._store.revoke_lease(lease)
        except (FeedLost, LeaseEnded) as failure:
            raise RegistrationFailed(str(failure)) from failure


class StoreStageLock(StageLock):
    """Stage lock as a key that is written only if it does not exist.

    The fencing token is the key's revision, with the store's era above it: a
    restored store gives out the same revisions again. The key is removed with
    its holder's lease.
    """

    def __init__(self, store: PlatformStore) -> None:
        self._store = store

    async def acquire(self, name: str, lease: int) -> int:
        """Acquire the lock and return its fencing token.

        It must be free, or held by this gateway itself, whose key remains
        when the answer to a call was lost.
        """
        put = Put(names.STAGE_HOLDER_KEY, name.encode(), lease)
        revision = 0
        try:
            try:
                commit = await self._put_holder(put, revision)
            except ConditionFailed as failure:
                revision = _revision_held_by(name, failure)
                if not revision:
                    raise
                commit = await self._put_holder(put, revision)
        except (ConditionFailed, FeedLost, LeaseEnded) as failure:
            raise StageLockLost(str(failure)) from failure
        return commit.era << REVISION_BITS | commit.revision

    async def _put_holder(self, put: Put, revision: int) -> Commit:
        return await self._store.write(
            [put], {names.STAGE_HOLDER_KEY: revision}
        )

    async def record_order(
        self, fencing_token: int, lease: int, order: StageOrder
    ) -> None:
        """Record an order in the store, provided the lock is still held."""
        put = Put(
            f"{names.STAGE_ORDERS_PREFIX}{order.instance}",
            encode_stage_order(order),
            lease,
        )
        era, revision = divmod(fencing_token, 1 << REVISION_BITS)
        try:
            commit = await self._store.write(
                [put],
                {names.STAGE_HOLDER_KEY: revision},
                timeout_s=CONFIRM_TIMEOUT_S,
            )
        except (ConditionFailed, FeedLost, LeaseEnded) as failure:
            raise StageLockLost(str(failure)) from failure
        if commit.era != era:
            raise StageLockLost(f"acquired in era {era}, now {commit.era}")


def _revision_held_by(name: str, failure: ConditionFailed) -> int:
    """Return the revision of the lock's key if a gateway holds it, else 0."""
    for item in failure.items:
        if item.key == names.STAGE_HOLDER_KEY and item.value == name.encode():
            return item.revision
    return 0


class PlatformConvictionStore(ConvictionStore):
    """Convictions and crash reports as keys, which outlast the gateways.

    They have no lease, which might lapse while the store is unavailable.
    """

    def __init__(self, store: PlatformStore) -> None:
        self._store = store

    async def save(self, key: str, at_ms: int) -> None:
        """Write a conviction, or that it was withdrawn."""
        put = Put(f"{names.QUARANTINE_PREFIX}{key}", str(at_ms).encode())
        await self._write([put], [])

    async def remove(self, key: str) -> None:
        """Remove a conviction."""
        await self._write([], [f"{names.QUARANTINE_PREFIX}{key}"])

    async def save_crashes(self, records: Mapping[str, CrashRecord]) -> None:
        """Write crash reports in one transaction."""
        puts = [
            Put(f"{names.CRASHES_PREFIX}{key}", encode_crash(record))
            for key, record in records.items()
        ]
        await self._write(puts, [])

    async def remove_crashes(self, keys: Collection[str]) -> None:
        """Remove crash reports in one transaction."""
        if keys:
            await self._write(
                [], [f"{names.CRASHES_PREFIX}{key}" for key in keys]
            )

    async def _write(self, puts: list[Put], removed: list[str]) -> None:
        try:
            await self._store.write(puts, removed=removed)
        except (ConditionFailed, FeedLost, LeaseEnded) as failure:
            raise ConvictionNotSaved(str(failure)) from failure


class PlatformVersionStore(VersionStore):
    """Versions of streams as keys without a lease, which may lapse early."""

    def __init__(self, store: PlatformStore) -> None:
        self._store = store

    async def save(self, streams: Mapping[str, str]) -> None:
        """Write the records in one transaction."""
        await self._write(
            [
                Put(
                    f"{names.STREAM_VERSIONS_PREFIX}{stream}", version.encode()
                )
                for stream, version in streams.items()
            ]
        )

    async def find(self, stream: str) -> str | None:
        """Read the record of a stream."""
        key = f"{names.STREAM_VERSIONS_PREFIX}{stream}"
        try:
            found = await self._store.range(key)
        except FeedLost as failure:
            raise VersionNotSaved(str(failure)) from failure
        for item in found.items:
            if item.key == key and item.value is not None:
                return item.value.decode("utf-8", "replace")
        return None

    async def remove(self, streams: Collection[str]) -> None:
        """Remove records."""
        await self._write(
            [],
            removed=[
                f"{names.STREAM_VERSIONS_PREFIX}{stream}" for stream in streams
            ],
        )

    async def set_default(
        self, service: str, version: str, replaced: DefaultVersion | None
    ) -> None:
        """Write a default version if the known one is still there."""
        key = f"{names.DEFAULT_VERSIONS_PREFIX}{service}"
        await self._write(
            [Put(key, version.encode())],
            conditions={key: replaced.revision if replaced else 0},
        )

    async def _write(
        self,
        puts: list[Put],
        conditions: Mapping[str, int] | None = None,
        removed: Collection[str] = (),
    ) -> None:
        try:
            await self._store.write(puts, conditions, list(removed))
        except CallNotExecuted as failure:
            raise VersionNotExecuted(str(failure)) from failure
        except (ConditionFailed, FeedLost, LeaseEnded) as failure:
            raise VersionNotSaved(str(failure)) from failure
