"""Interface of the platform's key-value service."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import NamedTuple

from result import Result

from gooseberrypost.errors import Failure, NotRun, UnknownOutcome


class Conflict(NotRun):
    """A compare-and-swap found another version; nothing was written."""

    code = "conflict"
    http_status = 409


class KeyValueUnavailable(NotRun):
    """The service did not take the call; a write had no effect."""

    code = "key_value_unavailable"


class KeyValueUnknown(UnknownOutcome):
    """No answer to a write, which may or may not have taken effect."""

    code = "key_value_unknown"


class ValueTooLarge(NotRun):
    """The value exceeds what the service keeps under one key, in bytes."""

    code = "value_too_large"
    http_status = 413


class LeaseLost(Failure):
    """The lease has lapsed or was revoked."""

    code = "lease_lost"


class Versioned(NamedTuple):
    """A value and its version; version 0 means that the key is absent."""

    value: str
    version: int


class KeyValueStore(ABC):
    """Compare-and-swap, leases and watches. Every wait is in milliseconds."""

    @abstractmethod
    async def get(self, key: str) -> Result[Versioned, Failure]:
        """Read a key; an absent key is ``Versioned("", 0)``."""

    @abstractmethod
    async def put(
        self, key: str, value: str, expect_version: int, lease: int = 0
    ) -> Result[int, Failure]:
        """Write if the version matches, and return the new version.

        Fails with ``Conflict`` or ``KeyValueUnavailable`` when nothing was
        written, and with ``KeyValueUnknown`` when the write may have taken
        effect. A key bound to a lease disappears when the lease lapses.
        """

    @abstractmethod
    async def delete(
        self, key: str, expect_version: int
    ) -> Result[None, Failure]:
        """Delete if the version matches; failures as for ``put``."""

    @abstractmethod
    async def grant_lease(self, ttl_ms: int) -> Result[int, Failure]:
        """Create a lease and return its number."""

    @abstractmethod
    async def keep_alive(self, lease: int) -> Result[None, Failure]:
        """Renew a lease for its full time; ``LeaseLost`` when it lapsed."""

    @abstractmethod
    async def revoke_lease(self, lease: int) -> Result[None, Failure]:
        """End a lease and delete the keys bound to it."""

    @abstractmethod
    async def watch(
        self, key: str, after_version: int, wait_ms: int
    ) -> Result[Versioned, Failure]:
        """Wait for a version above ``after_version``.

        Returns the unchanged value when ``wait_ms`` pass without a change.
        """

    @abstractmethod
    async def close(self) -> None:
        """Release the connections."""
