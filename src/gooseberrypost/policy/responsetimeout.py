"""How long to wait for the beginning of a response.

The timeout of a kind of call follows its own responses. A call that is
usually slow does not fail because another kind is quick, and a quick call
detects a dead connection soon.

>>> timeouts = ResponseTimeouts(min_s=0.5, max_s=2.0)
>>> timeouts.record_timeout("read")
>>> timeouts.of("read"), timeouts.of("renew")
(1.0, 0.5)
>>> timeouts.record_response("renew", after_s=0.004)
>>> timeouts.of("read")
1.0
>>> timeouts.record_response("read", after_s=0.4)
>>> timeouts.of("read")
0.8
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Hashable

RESPONSE_MARGIN: Final = 2.0
"""Multiple of the last response time that a call may take."""


class ResponseTimeouts:
    """Timeouts in seconds by kind of call, within two bounds."""

    __slots__ = ("_max_s", "_min_s", "_timeouts_s")

    def __init__(self, min_s: float, max_s: float) -> None:
        self._min_s = min_s
        self._max_s = max_s
        self._timeouts_s: dict[Hashable, float] = {}

    def of(self, kind: Hashable) -> float:
        """Return the timeout of the next call of a kind."""
        return self._timeouts_s.get(kind, self._min_s)

    def record_response(self, kind: Hashable, after_s: float) -> None:
        """Record how long a response took to begin."""
        self._set(kind, RESPONSE_MARGIN * after_s)

    def record_timeout(self, kind: Hashable) -> None:
        """Double the timeout: the peer may be slow."""
        self._set(kind, 2 * self.of(kind))

    def _set(self, kind: Hashable, timeout_s: float) -> None:
        self._timeouts_s[kind] = min(max(timeout_s, self._min_s), self._max_s)
