"""Fencing of orders: what is older than the highest seen is refused.

>>> fence = Fence()
>>> fence.check(Token(epoch=2, version=7)).is_ok()
True
>>> fence.passed(Token(epoch=2, version=7))
>>> fence.check(Token(epoch=2, version=6)).unwrap_err().code
'stale_order'
>>> fence.check(Token(epoch=1, version=8)).unwrap_err().code
'stale_order'
"""

from __future__ import annotations

from typing import NamedTuple

from result import Err, Ok, Result

from gooseberrypost.errors import StaleOrder


class Token(NamedTuple):
    """Authority of an order."""

    epoch: int
    """Epoch of the agent's lease; 0 when no lease was ever held."""
    version: int
    """Configuration version that the order comes from."""


class Fence:
    """Highest epoch and version seen so far."""

    __slots__ = ("epoch", "version")

    def __init__(self) -> None:
        self.epoch = 0
        self.version = 0

    def check(self, token: Token) -> Result[None, StaleOrder]:
        """Refuse a token that is older in either part."""
        if token.version < self.version:
            return Err(StaleOrder(f"version {token.version} < {self.version}"))
        if token.epoch < self.epoch or token.epoch <= 0:
            return Err(StaleOrder(f"epoch {token.epoch} < {self.epoch}"))
        return Ok(None)

    def passed(self, token: Token) -> None:
        """Raise the highest seen to an accepted token."""
        self.epoch = max(self.epoch, token.epoch)
        self.version = max(self.version, token.version)
