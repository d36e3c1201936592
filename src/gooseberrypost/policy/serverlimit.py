"""Rate limits that backend servers name, kept by all gateways together.

A limit applies to the sum over all gateways, and any gateway may use the
whole of it; ``SharedBucket`` has the mechanism.

>>> limits = ServerLimits()
>>> limits.record("i@0", 2.0, now_s=0.0), limits.record("i@0", 2.0, now_s=0.0)
(True, False)
>>> limits.wait_s("i@0", now_s=0.0), limits.wait_s("other@0", now_s=0.0)
(0.5, 0.0)
>>> limits.record_send("i@0", now_s=0.5)
True
>>> notice = LimitNotice("i@0", None, None, sent=1, counted_ms=400)
>>> limits.record_peer("gateway-2", notice, received_s=0.5)
False
>>> limits.wait_s("i@0", now_s=0.5)
1.0
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result

from gooseberrypost.errors import Failure
from gooseberrypost.policy.limits import SERVICE_BURST_S
from gooseberrypost.policy.sharedlimit import (
    PeerReport,
    SharedBucket,
    to_ms,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

MIN_RATE_PER_S: Final = 0.25
"""Lowest rate of requests to a server, however low its limit is.

Only an answer shows that the limit has been raised or withdrawn.
"""
WITHDRAWN_S: Final = 5.0
"""Time for which other gateways are told of a withdrawn limit."""
MAX_NOTICES: Final = 256
"""Limits in one load notice, the newest first; a datagram has 64 KB."""


class InvalidLimit(Failure):
    """A server names a rate limit that is not a decimal number."""

    code = "invalid_limit"


def parse_limit(text: str) -> Result[float, InvalidLimit]:
    """Read the requests per second, or seconds, that a server names.

    >>> parse_limit("2.5"), parse_limit("-1").is_err()
    (Ok(2.5), True)
    """
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value < math.inf:
        return Err(InvalidLimit(f"limit {text[:40]!r}"))
    return Ok(value)


@dataclass(slots=True, frozen=True)
class LimitNotice:
    """What one gateway knows first-hand of a server's limit."""

    identity: str
    per_s: float | None
    """Limit in requests per second; None if it was withdrawn."""
    age_ms: int | None
    """Time since the answer that named or withdrew the limit.

    None if the gateway has no answer since it heard of the limit.
    """
    sent: int
    """Requests sent since the gateway first knew of a limit."""
    counted_ms: int
    """Time since then."""


class _Limit:
    """Limit of one server, and what was sent under it."""

    __slots__ = (
        "answered_s",
        "bucket",
        "counted_since_s",
        "own_answered_s",
        "own_per_s",
        "per_s",
        "sent",
    )

    def __init__(self, now_s: float) -> None:
        self.per_s: float | None = None
        """Limit that the newest answer to any gateway named."""
        self.answered_s = float("-inf")
        """Time of that answer."""
        self.own_per_s: float | None = None
        """Limit that the newest answer to this gateway named."""
        self.own_answered_s = float("-inf")
        """Time of that answer; minus infinity if there was none."""
        self.sent = 0
        self.counted_since_s = now_s
        # The server was busy when it named its limit, so nothing is saved up.
        self.bucket = SharedBucket(MIN_RATE_PER_S, 1.0, now_s)
        self.bucket.debit(1, now_s)


class ServerLimits:
    """Rate limits and pauses by server identity.

    A pause holds for the gateway that was refused alone.
    """

    __slots__ = ("_limits", "_paused_until_s", "_share")

    def __init__(self) -> None:
        self._limits: dict[str, _Limit] = {}
        self._paused_until_s: dict[str, float] = {}
        self._share = 1.0

    def __bool__(self) -> bool:
        """Whether any server has named a limit or a pause."""
        return bool(self._limits or self._paused_until_s)

    def record_pause(
        self, identity: str, pause_s: float, now_s: float
    ) -> None:
        """Record that a server wants no request for some time."""
        until_s = max(now_s + pause_s, self._paused_until_s.get(identity, 0.0))
        self._paused_until_s[identity] = until_s

    def pause_s(self, identity: str, now_s: float) -> float:
        """Return the rest of a server's pause; 0 without one."""
        until_s = self._paused_until_s.get(identity)
        if until_s is None:
            return 0.0
        if until_s <= now_s:
            del self._paused_until_s[identity]
            return 0.0
        return until_s - now_s

    def per_s(self, identity: str) -> float | None:
        """Return a server's limit in requests per second; None without."""
        limit = self._limits.get(identity)
        return None if limit is None else limit.per_s

    def record(self, identity: str, per_s: float | None, now_s: float) -> bool:
        """Record what an answer named and return whether it is a change."""
        if identity not in self._limits and per_s is None:
            return False
        limit = self._limit(identity, now_s)
        limit.own_per_s, limit.own_answered_s = per_s, now_s
        return self._apply(limit, per_s, now_s, now_s)

    def record_peer(
        self, name: str, notice: LimitNotice, received_s: float
    ) -> bool:
        """Record the notice of another gateway; whether it is a change.

        Of several answers to different gateways, the newest one counts.
        """
        if notice.identity not in self._limits and notice.per_s is None:
            return False
        limit = self._limit(notice.identity, received_s)
        report = PeerReport(notice.sent, notice.counted_ms / 1_000)
        limit.bucket.record_peer(
            name, report, received_s, limit.counted_since_s
        )
        if notice.age_ms is None:
            return False
        answered_s = received_s - notice.age_ms / 1_000
        if answered_s <= limit.answered_s:
            return False
        return self._apply(limit, notice.per_s, answered_s, received_s)

    def set_share(self, share: float) -> None:
        """Set the share of the limits that this gateway may use.

        It is below 1 while notices of other gateways are missing, whose
        requests cannot be counted.
        """
        self._share = share

    def wait_s(self, identity: str, now_s: float) -> float:
        """Return the time until a request may be sent; 0 without a limit."""
        pause_s = self.pause_s(identity, now_s)
        limit = self._limits.get(identity)
        if limit is None or limit.per_s is None:
            return pause_s
        self._set_rate(limit, limit.per_s, now_s)
        return max(pause_s, limit.bucket.wait_s(1, now_s))

    def expected_wait_s(
        self, identities: Collection[str], queued: int, now_s: float
    ) -> float:
        """Estimate the wait behind others for any of several servers.

        0 if one of them has neither a limit nor a pause.
        """
        pauses_s = {
            identity: self.pause_s(identity, now_s) for identity in identities
        }
        if pauses_s and all(pauses_s.values()):
            return min(pauses_s.values())
        limits = [
            self.per_s(identity)
            for identity, pause_s in pauses_s.items()
            if not pause_s
        ]
        rates = [limit for limit in limits if limit is not None]
        if not rates or len(rates) < len(limits):
            return 0.0
        return (queued + 1) / max(self._share * sum(rates), MIN_RATE_PER_S)

    def record_send(self, identity: str, now_s: float) -> bool:
        """Count a request and return whether its server has a limit.

        It is counted before the wait for its turn, which makes the next one
        wait longer.
        """
        limit = self._limits.get(identity)
        if limit is None or limit.per_s is None:
            return False
        limit.sent += 1
        limit.bucket.debit(1, now_s)
        return True

    def notices(self, now_s: float) -> list[LimitNotice]:
        """Return what this gateway sent, and knows from answers to itself.

        What it heard from others is left out: passed on in a circle, an
        outdated limit would seem to be new again and again.
        """
        notices = []
        for identity, limit in self._limits.items():
            age_s = now_s - limit.own_answered_s
            is_known = limit.own_per_s is not None or age_s < WITHDRAWN_S
            if not is_known and not (limit.sent and limit.per_s is not None):
                continue
            notices.append(
                LimitNotice(
                    identity,
                    limit.own_per_s if is_known else None,
                    to_ms(age_s) if is_known else None,
                    limit.sent,
                    to_ms(now_s - limit.counted_since_s),
                )
            )
        notices.sort(key=lambda notice: (notice.age_ms or 0, notice.identity))
        return notices[:MAX_NOTICES]

    def retain(self, identities: Iterable[str]) -> None:
        """Drop all other servers."""
        kept = set(identities)
        for identity in self._limits.keys() - kept:
            del self._limits[identity]
        for identity in self._paused_until_s.keys() - kept:
            del self._paused_until_s[identity]

    def _limit(self, identity: str, now_s: float) -> _Limit:
        limit = self._limits.get(identity)
        if limit is None:
            limit = self._limits[identity] = _Limit(now_s)
        return limit

    def _apply(
        self,
        limit: _Limit,
        per_s: float | None,
        answered_s: float,
        now_s: float,
    ) -> bool:
        is_change = per_s != limit.per_s
        limit.per_s, limit.answered_s = per_s, answered_s
        if per_s is not None:
            # A gateway with few requests looks at the bucket only much later.
            self._set_rate(limit, per_s, now_s)
        return is_change

    def _set_rate(self, limit: _Limit, per_s: float, now_s: float) -> None:
        rate_per_s = max(per_s * self._share, MIN_RATE_PER_S)
        limit.bucket.set_rate(rate_per_s, rate_per_s * SERVICE_BURST_S, now_s)
