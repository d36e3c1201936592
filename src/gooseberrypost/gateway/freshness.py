"""Whether the configuration that a gateway has is the newest one.

Changes have to be in effect within a propagation time. A gateway that has
heard from the store within this time knows all changes that have to be known,
unless another gateway names a version that the store has not shown yet.

>>> freshness = Freshness()
>>> freshness.record_answer(10.0)
>>> freshness.is_current(3, now_s=11.0, propagation_s=2.0)
True
>>> freshness.record_peer(4, heard_s=11.0)
>>> freshness.is_current(3, now_s=11.0, propagation_s=2.0)
False
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


class Freshness:
    """Evidence from the store and from other gateways."""

    __slots__ = ("_answered_s", "_peer_heard_s", "_peer_version")

    def __init__(self) -> None:
        self._answered_s = float("-inf")
        """Monotonic time until which the store had no unknown changes."""
        self._peer_version = 0
        self._peer_heard_s = float("-inf")
        """Monotonic time at which ``peer_version`` was first named."""

    def record_answer(self, proven_s: float) -> None:
        """Record that the store had no unknown changes at a time."""
        self._answered_s = max(self._answered_s, proven_s)

    def record_peer(self, version: int, heard_s: float) -> None:
        """Record the version of another gateway's configuration."""
        if version > self._peer_version:
            self._peer_version, self._peer_heard_s = version, heard_s

    def age_s(self, now_s: float) -> float:
        """Return the time since the newest evidence from the store."""
        return now_s - self._answered_s

    @property
    def peer_version(self) -> int:
        """Highest configuration version that another gateway named."""
        return self._peer_version

    def is_behind(self, version: int, propagation_s: float) -> bool:
        """Whether another gateway has a higher version.

        A higher version that the store has not shown within the propagation
        time is not in the store: the store has come back from an older copy,
        or the notice was wrong. Such a version does not count, as the gateway
        would otherwise seem outdated until the next change.
        """
        return version < self._peer_version and (
            self._answered_s - self._peer_heard_s <= propagation_s
        )

    def is_current(
        self, version: int, now_s: float, propagation_s: float
    ) -> bool:
        """Whether a configuration is the newest one as far as is known."""
        is_confirmed = now_s - self._answered_s <= propagation_s
        return is_confirmed and not self.is_behind(version, propagation_s)


class FreshnessCheck:
    """Decides whether what is unknown here may be refused for good.

    A route or a key that this gateway does not know may be new. A gateway
    whose configuration may be outdated tells its client to come back instead.
    """

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
