"""Fencing of orders: a token older than the newest accepted is refused.

>>> fence = Fence()
>>> fence.check(FencingToken(epoch=2, version=7)).is_ok()
True
>>> fence.advance(FencingToken(epoch=2, version=7))
>>> fence.check(FencingToken(epoch=2, version=6)).unwrap_err().code
'stale_order'
>>> fence.check(FencingToken(epoch=1, version=8)).unwrap_err().code
'stale_order'
"""

from __future__ import annotations

from typing import NamedTuple

from result import Err, Ok, Result

from gooseberrypost.errors import StaleOrder


class FencingToken(NamedTuple):
    """Fencing token of an order; the parts are compared one by one."""

    epoch: int
    """Epoch of the agent's lease; 0 when no lease was ever held."""
    version: int
    """Configuration version that the order was derived from."""


class Fence:
    """Highest epoch and highest version accepted so far."""

    __slots__ = ("epoch", "version")

    def __init__(self) -> None:
        self.epoch = 0
        self.version = 0

    def check(self, token: FencingToken) -> Result[None, StaleOrder]:
        """Refuse a token whose epoch or version is below the highest."""
        if token.version < self.version:
            return Err(StaleOrder(f"version {token.version} < {self.version}"))
        if token.epoch < self.epoch or token.epoch <= 0:
            return Err(StaleOrder(f"epoch {token.epoch} < {self.epoch}"))
        return Ok(None)

    def advance(self, token: FencingToken) -> None:
        """Raise the highest epoch and version to those of a token."""
        self.epoch = max(self.epoch, token.epoch)
        self.version = max(self.version, token.version)
