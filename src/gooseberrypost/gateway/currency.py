"""Decides whether what is unknown here may be refused for good.

A route or a key that this gateway does not know may be new. A gateway whose
configuration may be outdated tells its client to come back instead.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

    from gooseberrypost.gateway.directory import Directory

NOTICE_REFRESH_INTERVAL_S: Final = 0.01
"""Shortest interval at which a check has load notices decoded.

It bounds the cost of clients that try many keys or paths.
"""
RETRY_SHARE: Final = 0.25
"""``Retry-After`` for what may be new, as a share of the propagation time: by
then this gateway, or the one that takes the retry, knows it."""


class CurrencyCheck:
    """Checks that no newer configuration is known or due to be known."""

    __slots__ = (
        "_directory",
        "_next_refresh_s",
        "_now_s",
        "_propagation_s",
        "_refresh",
    )

    def __init__(
        self,
        directory: Directory,
        propagation_s: float,
        refresh: Callable[[], None],
        now_s: Callable[[], float],
    ) -> None:
        self._directory = directory
        self._propagation_s = propagation_s
        """Time within which a change of the configuration is in effect."""
        self._refresh = refresh
        """Applies pending load notices."""
        self._now_s = now_s
        self._next_refresh_s = float("-inf")

    @property
    def retry_after_ms(self) -> int:
        """Time in which a client should come back."""
        return round(1_000 * RETRY_SHARE * self._propagation_s)

    def is_current(self) -> bool:
        """Whether the configuration is the newest one as far as is known."""
        now_s = self._now_s()
        if now_s >= self._next_refresh_s:
            self._next_refresh_s = now_s + NOTICE_REFRESH_INTERVAL_S
            self._refresh()
        return self._directory.is_current(now_s, self._propagation_s)
