"""Limits: rate and concurrency of accounts and services, and fair share."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result

from gooseberrypost.errors import AccountLimited, NotRun, ServiceLimited

if TYPE_CHECKING:
    from collections.abc import Sequence

    from gooseberrypost.policy.views import AgentView
    from gooseberrypost.state.records import AccountRecord, ServiceRecord

USAGE_HALF_LIFE_MS: Final = 20_000
"""With 5 s, chance alone put quiet accounts over their share."""
BUSY_PRESSURE: Final = 0.85
"""Occupancy from which accounts are held to multiples of their fair share."""
BUSY_SHARES: Final = 7.0
"""Fair shares that an account may use of a service that gets busy."""
FULL_SHARES: Final = 3.0
"""Fair shares that it may use of a full one. Chance alone puts one account
in twenty over twice its share."""
MIN_SHARE_REQUESTS: Final = 4.0
"""Requests that an account may have used whatever its share: among many
accounts the share of one is less than a request."""
KEPT_ACCOUNTS: Final = 256
IDLE_SHARE: Final = 1e-4
SHARE_RETRY_MS: Final = 1_000
SERVICE_BURST_S: Final = 1.0


class TokenBucket:
    """Allows a rate on average and a burst at once.

    >>> bucket = TokenBucket(rate_per_s=1.0, burst=1, now_ms=0)
    >>> bucket.take(0), bucket.take(0), bucket.take(1_000)
    (True, False, True)
    """

    __slots__ = ("_burst", "_level", "_rate_per_ms", "_updated_ms")

    def __init__(self, rate_per_s: float, burst: float, now_ms: int) -> None:
        self._rate_per_ms = rate_per_s / 1_000
        self._burst = max(1.0, burst)
        self._level = self._burst
        self._updated_ms = now_ms

    def take(self, now_ms: int) -> bool:
        """Take one token if there is one."""
        self._fill(now_ms)
        if self._level < 1:
            return False
        self._level -= 1
        return True

    def put_back(self) -> None:
        """Return a token that was taken but not used."""
        self._level = min(self._burst, self._level + 1)

    def wait_ms(self, now_ms: int) -> int:
        """Time until the next token, in ms."""
        self._fill(now_ms)
        missing = max(0.0, 1 - self._level)
        return math.ceil(missing / self._rate_per_ms)

    def _fill(self, now_ms: int) -> None:
        gained = max(0, now_ms - self._updated_ms) * self._rate_per_ms
        # Guards against a token lost to rounding in many small steps.
        self._level = min(self._burst, round(self._level + gained, 9))
        self._updated_ms = max(now_ms, self._updated_ms)


class _DecayedSum:
    """Sum in which older additions count less."""

    __slots__ = ("_updated_ms", "_value")

    def __init__(self) -> None:
        self._value = 0.0
        self._updated_ms = 0

    def at(self, now_ms: int) -> float:
        """Value at a time."""
        elapsed = max(0, now_ms - self._updated_ms)
        return self._value * 0.5 ** (elapsed / USAGE_HALF_LIFE_MS)

    def add(self, amount: float, now_ms: int) -> None:
        """Add an amount now."""
        self._value = self.at(now_ms) + amount
        self._updated_ms = max(now_ms, self._updated_ms)


class _AccountUse:
    """What one account has in flight and has used lately."""

    __slots__ = ("bucket", "in_flight", "limits", "share", "use")

    def __init__(self) -> None:
        self.bucket: TokenBucket | None = None
        self.limits: tuple[float, int] = (0.0, 0)
        self.in_flight = 0
        self.share = 0.0
        self.use = _DecayedSum()


class Limiter:
    """Limits of one service at one entry.

    ``acquire`` counts a request in; the entry calls ``release`` exactly once
    when the request has ended.

    >>> from gooseberrypost.state.records import AccountRecord, ServiceRecord
    >>> limiter = Limiter(ServiceRecord("booking", max_in_flight=1))
    >>> limiter.acquire(AccountRecord("a"), now_ms=0)
    Ok(None)
    >>> limiter.acquire(AccountRecord("b"), now_ms=0).unwrap_err().code
    'service_limit'
    """

    __slots__ = (
        "_accounts",
        "_bucket",
        "_in_flight",
        "_service",
        "_shares",
        "_total",
    )

    def __init__(self, service: ServiceRecord) -> None:
        self._service = service
        self._accounts: dict[str, _AccountUse] = {}
        self._bucket: TokenBucket | None = None
        self._in_flight = 0
        self._shares = 0.0
        self._total = _DecayedSum()

    @classmethod
    def from_config(cls, service: ServiceRecord) -> Limiter:
        """Build the limiter of a service."""
        return cls(service)

    def reconfigure(self, service: ServiceRecord) -> None:
        """Apply new limits and keep what is in flight."""
        if service.requests_per_s != self._service.requests_per_s:
            self._bucket = None
        self._service = service

    @property
    def in_flight(self) -> int:
        """Requests acquired and not released."""
        return self._in_flight

    def acquire(
        self,
        account: AccountRecord,
        now_ms: int,
        pressure: float = 0.0,
        cost: float = 1.0,
    ) -> Result[None, NotRun]:
        """Count a request in, or refuse it with advice on when to retry.

        ``pressure`` is the occupancy of the service, see
        ``service_pressure``; ``cost`` is what the request uses, in a unit
        that is the same for all accounts.
        """
        use = self._accounts.setdefault(account.name, _AccountUse())
        self._shares += account.share - use.share
        use.share = account.share
        refusal = self._refusal(account, use, now_ms, pressure, cost)
        if refusal is not None:
            return Err(refusal)
        use.in_flight += 1
        use.use.add(cost, now_ms)
        self._total.add(cost, now_ms)
        self._in_flight += 1
        return Ok(None)

    def release(self, account_name: str, now_ms: int) -> None:
        """Count a request out."""
        use = self._accounts.get(account_name)
        if use is None or use.in_flight == 0:
            return
        use.in_flight -= 1
        self._in_flight -= 1
        self._forget_idle(now_ms)

    def _refusal(
        self,
        account: AccountRecord,
        use: _AccountUse,
        now_ms: int,
        pressure: float,
        cost: float,
    ) -> NotRun | None:
        if 0 < account.max_in_flight <= use.in_flight:
            return AccountLimited(
                f"account {account.name!r} has {use.in_flight} in flight",
                retry_after_ms=SHARE_RETRY_MS,
            )
        if 0 < self._service.max_in_flight <= self._in_flight:
            return ServiceLimited(
                f"service {self._service.name!r} has {self._in_flight}"
                " in flight",
                retry_after_ms=SHARE_RETRY_MS,
            )
        if self._over_share(use, now_ms, pressure, cost):
            return AccountLimited(
                f"account {account.name!r} is over its share of a full"
                " service",
                retry_after_ms=SHARE_RETRY_MS,
            )
        return self._rate_refusal(account, use, now_ms)

    def _rate_refusal(
        self, account: AccountRecord, use: _AccountUse, now_ms: int
    ) -> NotRun | None:
        bucket = _account_bucket(account, use, now_ms)
        if bucket is not None and not bucket.take(now_ms):
            return AccountLimited(
                f"account {account.name!r} is over"
                f" {account.requests_per_s:g} requests/s",
                retry_after_ms=bucket.wait_ms(now_ms),
            )
        service_bucket = self._service_bucket(now_ms)
        if service_bucket is not None and not service_bucket.take(now_ms):
            if bucket is not None:
                bucket.put_back()
            return ServiceLimited(
                f"service {self._service.name!r} is over"
                f" {self._service.requests_per_s:g} requests/s",
                retry_after_ms=service_bucket.wait_ms(now_ms),
            )
        return None

    def _service_bucket(self, now_ms: int) -> TokenBucket | None:
        rate = self._service.requests_per_s
        if rate > 0 and self._bucket is None:
            self._bucket = TokenBucket(rate, rate * SERVICE_BURST_S, now_ms)
        return self._bucket

    def _over_share(
        self, use: _AccountUse, now_ms: int, pressure: float, cost: float
    ) -> bool:
        if pressure < BUSY_PRESSURE:
            return False
        fair = self._total.at(now_ms) * use.share / max(self._shares, 1e-9)
        allowed = max(
            allowed_shares(pressure) * fair, MIN_SHARE_REQUESTS * cost
        )
        return use.use.at(now_ms) + cost > allowed

    def _forget_idle(self, now_ms: int) -> None:
        """Drop accounts that used nothing lately, which count as active."""
        if len(self._accounts) < 2 * self._in_flight + KEPT_ACCOUNTS:
            return
        for name, use in list(self._accounts.items()):
            idle = use.use.at(now_ms) < IDLE_SHARE * self._total.at(now_ms)
            if use.in_flight == 0 and idle and use.bucket is None:
                self._shares -= use.share
                del self._accounts[name]


def allowed_shares(pressure: float) -> float:
    """Multiple of its fair share that an account may use.

    >>> allowed_shares(0.85), allowed_shares(1.0)
    (7.0, 3.0)
    """
    free = max(0.0, 1 - pressure) / (1 - BUSY_PRESSURE)
    return FULL_SHARES + (BUSY_SHARES - FULL_SHARES) * min(1.0, free)


def _account_bucket(
    account: AccountRecord, use: _AccountUse, now_ms: int
) -> TokenBucket | None:
    limits = (account.requests_per_s, account.burst)
    if use.limits != limits:
        use.limits = limits
        use.bucket = (
            TokenBucket(account.requests_per_s, account.burst, now_ms)
            if account.requests_per_s > 0
            else None
        )
    return use.bucket


def service_pressure(decode: Sequence[AgentView]) -> float:
    """Occupancy of a service's live decode engines, 0 to 1."""
    live = [a for a in decode if not a.draining]
    slots = sum(a.slots for a in live)
    pieces = sum(a.pieces for a in live)
    if not slots or not pieces:
        return 1.0
    return max(
        sum(a.slots_used for a in live) / slots,
        sum(a.pieces_used for a in live) / pieces,
    )
