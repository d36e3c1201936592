"""Engines of a service that are in service, or expected back soon.

A decision that takes seconds to have an effect, such as a change of the pools,
must not react to an engine that is replaced meanwhile.

>>> roster = EngineRoster()
>>> engine = Server("a", "llm", "10.0.0.1:80", "z")
>>> [server.instance for server in roster.expected([engine], now_s=0.0)]
['a']
>>> [server.instance for server in roster.expected([], now_s=1.0)]
['a']
>>> roster.expected([], now_s=9.0)
[]
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from gooseberrypost.gateway.model import Server

if TYPE_CHECKING:
    from collections.abc import Sequence

RESTART_GRACE_S: Final = 5.0
"""Time within which a crashed or drained engine is expected to be replaced."""


class EngineRoster:
    """Pairs engines that have left with those that replace them."""

    __slots__ = ("_last_seen", "_newcomers")

    def __init__(self) -> None:
        self._last_seen: dict[str, tuple[Server, float]] = {}
        """Engine and the time at which it was last in service, by instance."""
        self._newcomers: dict[str, float] = {}
        """Engines that joined lately and replace none yet, with the time at
        which they joined."""

    def expected(
        self, present: Sequence[Server], now_s: float
    ) -> list[Server]:
        """Return the engines in service and those expected back.

        ``present`` are the engines in service. An engine that has left is
        expected for ``RESTART_GRACE_S``, unless a new one has taken its place,
        which may also have joined before.
        """
        self._expire_newcomers(now_s)
        missing = self._missing(present, now_s)
        is_first_look = not self._last_seen
        for server in present:
            is_new = server.instance not in self._last_seen
            if is_new and missing:
                replaced = self._choose_replaced(server, missing)
                missing.remove(replaced)
                del self._last_seen[replaced.instance]
            elif is_new and not is_first_look:
                self._newcomers[server.instance] = now_s
            self._last_seen[server.instance] = server, now_s
        return [*present, *missing]

    def _missing(
        self, present: Sequence[Server], now_s: float
    ) -> list[Server]:
        """Return the engines that have left and were not replaced yet."""
        in_service = {server.instance for server in present}
        # An engine may restart at its address as another instance.
        in_use = {server.address for server in present}
        missing = []
        for instance, (server, seen_s) in list(self._last_seen.items()):
            if instance in in_service:
                continue
            is_replaced = server.address in in_use or bool(self._newcomers)
            if is_replaced or now_s - seen_s > RESTART_GRACE_S:
                del self._last_seen[instance]
                if self._newcomers and server.address not in in_use:
                    self._newcomers.popitem()
            else:
                missing.append(server)
        return missing

    def _expire_newcomers(self, now_s: float) -> None:
        self._newcomers = {
            instance: joined_s
            for instance, joined_s in self._newcomers.items()
            if now_s - joined_s <= RESTART_GRACE_S
        }

    @staticmethod
    def _choose_replaced(newcomer: Server, missing: list[Server]) -> Server:
        """Return the missing engine that a new one replaces."""
        return max(missing, key=lambda server: server.stage is newcomer.stage)
