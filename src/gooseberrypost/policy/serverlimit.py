"""Rate limits that backend servers name in their answers.

>>> limits = ServerLimits()
>>> limits.record("i@0", 2.5), limits.record("i@0", 2.5)
(True, False)
>>> limits.per_s("i@0"), limits.per_s("j@0")
(2.5, None)
"""

from __future__ import annotations


class ServerLimits:
    """Rate limits by server identity, in requests per second."""

    __slots__ = ("_per_s",)

    def __init__(self) -> None:
        self._per_s: dict[str, float] = {}

    def per_s(self, identity: str) -> float | None:
        """Return the limit of a server; None if it named none."""
        return self._per_s.get(identity)

    def record(self, identity: str, per_s: float | None) -> bool:
        """Record what an answer said and return whether it is a change."""
        before = self._per_s.get(identity)
        if per_s is None:
            self._per_s.pop(identity, None)
        else:
            self._per_s[identity] = per_s
        return per_s != before
