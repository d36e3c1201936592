"""Lock in the platform's store that lets one gateway change the pools."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from gooseberrypost.errors import Failure

if TYPE_CHECKING:
    from gooseberrypost.gateway.model import StageOrder


class StageLockLost(Failure):
    """Another gateway holds the stage lock, or the holder is unknown."""

    code = "duty_lost"


class StageLock(ABC):
    """Lock in the platform's store; its holder may order stage changes."""

    @abstractmethod
    async def acquire(self, name: str, lease: int) -> int:
        """Acquire the lock and return its fencing token.

        The lock must be free, or held by this gateway from before.

        The lock is released when the lease ends. Raises ``StageLockLost``.
        """

    @abstractmethod
    async def record_order(
        self, fencing_token: int, lease: int, order: StageOrder
    ) -> None:
        """Record an order in the store, provided the lock is still held.

        Raises ``StageLockLost``.
        """
