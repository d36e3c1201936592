"""Interface of the platform's key-value service."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import NamedTuple

from result import Result

from gooseberrypost.errors import Failure, NotRun, UnknownOutcome


class Conflict(NotRun):
    """A compare-and-swap found a different version; nothing was written."""

    code = "conflict"
    http_status = 409


class KeyValueUnavailable(NotRun):
    """The service did not execute the call; a write had no effect."""

    code = "key_value_unavailable"


class KeyValueUnknown(UnknownOutcome):
    """A write got no response and may or may not have taken effect."""

    code = "key_value_unknown"


class ValueTooLarge(NotRun):
    """The value exceeds the service's limit in bytes per key."""

    code = "value_too_large"
    http_status = 413


class LeaseLost(Failure):
    """The lease expired or was revoked."""

    code = "lease_lost"


class Versioned(NamedTuple):
    """A value and its version; version 0 means that the key is absent."""

    value: str
    version: int


class KeyValueStore(ABC):
    """Store with compare-and-swap, leases and watches.

    Durations are in milliseconds.
    """

    @abstractmethod
    async def get(self, key: str) -> Result[Versioned, Failure]:
        """Read a key; an absent key is ``Versioned("", 0)``."""

    @abstractmethod
    async def put(
        self, key: str, value: str, expect_version: int, lease: int = 0
    ) -> Result[int, Failure]:
        """Write if the current version is ``expect_version``.

        Returns the new version. An ``expect_version`` of 0 creates the key.

        Fails with ``Conflict`` or ``KeyValueUnavailable`` if nothing was
        written, and with ``KeyValueUnknown`` if the write may have taken
        effect. A key bound to a lease is deleted when the lease expires.
        """

    @abstractmethod
    async def delete(
        self, key: str, expect_version: int
    ) -> Result[None, Failure]:
        """Delete if the current version is ``expect_version``.

        Fails in the same ways as ``put``.
        """

    @abstractmethod
    async def grant_lease(self, ttl_ms: int) -> Result[int, Failure]:
        """Create a lease and return its id."""

    @abstractmethod
    async def keep_alive(self, lease: int) -> Result[None, Failure]:
        """Renew a lease for its full TTL; ``LeaseLost`` if it expired."""

    @abstractmethod
    async def revoke_lease(self, lease: int) -> Result[None, Failure]:
        """Revoke a lease and delete the keys bound to it."""

    @abstractmethod
    async def watch(
        self, key: str, after_version: int, wait_ms: int
    ) -> Result[Versioned, Failure]:
        """Wait until the key has a version above ``after_version``.

        Returns the current value if ``wait_ms`` pass without a change.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close the connections."""
