"""Rate and concurrency limits, and fair sharing among accounts."""

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
"""Half-life of the usage counted for an account, in ms.

With 5 s, random bursts put accounts with little traffic over their share.
"""
BUSY_OCCUPANCY: Final = 0.85
"""Occupancy from which accounts are limited to multiples of their share."""
BUSY_SHARE_MULTIPLE: Final = 7.0
"""Fair shares that an account may use at ``BUSY_OCCUPANCY``."""
FULL_SHARE_MULTIPLE: Final = 3.0
"""Fair shares that an account may use at full occupancy.

Random variation alone puts one account in twenty over twice its share.
"""
MIN_SHARE_REQUESTS: Final = 4.0
"""Requests that an account may have used regardless of its share.

Among many accounts, the share of one is less than a request.
"""
RETAINED_ACCOUNTS: Final = 256
"""Number of accounts tracked before idle ones are dropped.

Two more are tracked for each request in flight.
"""
IDLE_SHARE: Final = 1e-4
"""Share of the service's usage below which an account is idle."""
LIMIT_RETRY_MS: Final = 1_000
"""Retry delay advised at a concurrency or fair-share limit, in ms."""
SERVICE_BURST_S: Final = 1.0
"""Burst of a service, in seconds at its rate limit."""


class TokenBucket:
    """Token bucket: allows an average rate and a burst.

    >>> bucket = TokenBucket(rate_per_s=1.0, burst=1, now_ms=0)
    >>> bucket.take(0), bucket.take(0), bucket.take(1_000)
    (True, False, True)
    """

    __slots__ = (
        "_burst",
        "_min_burst",
        "_rate_per_ms",
        "_tokens",
        "_updated_ms",
    )

    def __init__(
        self,
        rate_per_s: float,
        burst: float,
        now_ms: int,
        min_burst: float = 1.0,
    ) -> None:
        self._rate_per_ms = rate_per_s / 1_000
        self._min_burst = min_burst
        self._burst = max(min_burst, burst)
        self._tokens = self._burst
        self._updated_ms = now_ms

    @property
    def burst(self) -> float:
        """Number of tokens of a full bucket."""
        return self._burst

    def take(self, now_ms: int, count: float = 1) -> bool:
        """Take tokens if that many are available."""
        self._refill(now_ms)
        if self._tokens < count:
            return False
        self._tokens -= count
        return True

    def debit(self, count: float, now_ms: int) -> None:
        """Take tokens whether they are available or not.

        A bucket in debt has no token until it is refilled.
        """
        self._refill(now_ms)
        self._tokens -= count

    def set_rate(self, rate_per_s: float, burst: float, now_ms: int) -> None:
        """Change rate and burst; tokens above the new burst are lost."""
        self._refill(now_ms)
        self._rate_per_ms = rate_per_s / 1_000
        self._burst = max(self._min_burst, burst)
        self._tokens = min(self._burst, self._tokens)

    def refund(self, count: float = 1) -> None:
        """Return tokens that were taken but not used."""
        self._tokens = min(self._burst, self._tokens + count)

    def level(self, now_ms: int) -> float:
        """Return the number of tokens; negative in debt."""
        self._refill(now_ms)
        return self._tokens

    def set_level(self, tokens: float, now_ms: int) -> None:
        """Replace the number of tokens, up to the burst."""
        self._refill(now_ms)
        self._tokens = min(self._burst, tokens)

    def wait_ms(self, now_ms: int, count: float = 1) -> int:
        """Return the time until that many tokens are available, in ms."""
        self._refill(now_ms)
        missing = max(0.0, count - self._tokens)
        return math.ceil(missing / self._rate_per_ms)

    def _refill(self, now_ms: int) -> None:
        gained = max(0, now_ms - self._updated_ms) * self._rate_per_ms
        # Rounding keeps many small steps from losing a token to float error.
        self._tokens = min(self._burst, round(self._tokens + gained, 9))
        self._updated_ms = max(now_ms, self._updated_ms)


class DecayedSum:
    """Sum whose additions decay exponentially with their age."""

    __slots__ = ("_updated_ms", "_value")

    def __init__(self) -> None:
        self._value = 0.0
        self._updated_ms = 0

    def at(self, now_ms: int) -> float:
        """Return the decayed sum at a time."""
        elapsed = max(0, now_ms - self._updated_ms)
        return self._value * 0.5 ** (elapsed / USAGE_HALF_LIFE_MS)

    def add(self, amount: float, now_ms: int) -> None:
        """Add an amount at a time."""
        self._value = self.at(now_ms) + amount
        self._updated_ms = max(now_ms, self._updated_ms)


class _AccountState:
    """Requests in flight, recent usage and rate limit of one account."""

    __slots__ = ("bucket", "in_flight", "limits", "usage", "weight")

    def __init__(self) -> None:
        self.bucket: TokenBucket | None = None
        self.limits: tuple[float, int] = (0.0, 0)
        self.in_flight = 0
        self.weight = 0.0
        self.usage = DecayedSum()


class Limiter:
    """Limits of one service at one entry.

    ``acquire`` counts a request as in flight; the entry calls ``release``
    exactly once when the request has ended.

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
        "_total_weight",
        "_usage",
    )

    def __init__(self, service: ServiceRecord) -> None:
        self._service = service
        self._accounts: dict[str, _AccountState] = {}
        self._bucket: TokenBucket | None = None
        self._in_flight = 0
        self._total_weight = 0.0
        self._usage = DecayedSum()

    @classmethod
    def from_config(cls, service: ServiceRecord) -> Limiter:
        """Build the limiter of a service from its record."""
        return cls(service)

    def reconfigure(self, service: ServiceRecord) -> None:
        """Apply new limits; requests in flight stay counted."""
        if service.requests_per_s != self._service.requests_per_s:
            self._bucket = None
        self._service = service

    @property
    def in_flight(self) -> int:
        """Number of requests acquired and not yet released."""
        return self._in_flight

    def acquire(
        self,
        account: AccountRecord,
        now_ms: int,
        occupancy: float = 0.0,
        cost: float = 1.0,
    ) -> Result[None, NotRun]:
        """Count a request as in flight, or refuse it with a retry delay.

        ``occupancy`` is that of the service's decode engines, see
        ``service_occupancy``. ``cost`` is the request's usage, in a unit that
        is the same for all accounts.
        """
        state = self._accounts.setdefault(account.name, _AccountState())
        self._total_weight += account.share - state.weight
        state.weight = account.share
        refusal = self._refusal(account, state, now_ms, occupancy, cost)
        if refusal is not None:
            return Err(refusal)
        state.in_flight += 1
        state.usage.add(cost, now_ms)
        self._usage.add(cost, now_ms)
        self._in_flight += 1
        return Ok(None)

    def release(self, account_name: str, now_ms: int) -> None:
        """Count a request as ended."""
        state = self._accounts.get(account_name)
        if state is None or state.in_flight == 0:
            return
        state.in_flight -= 1
        self._in_flight -= 1
        self._evict_idle(now_ms)

    def _refusal(
        self,
        account: AccountRecord,
        state: _AccountState,
        now_ms: int,
        occupancy: float,
        cost: float,
    ) -> NotRun | None:
        if 0 < account.max_in_flight <= state.in_flight:
            return AccountLimited(
                f"account {account.name!r} already has {state.in_flight}"
                " requests in flight",
                retry_after_ms=LIMIT_RETRY_MS,
            )
        if 0 < self._service.max_in_flight <= self._in_flight:
            return ServiceLimited(
                f"service {self._service.name!r} already has"
                f" {self._in_flight} requests in flight",
                retry_after_ms=LIMIT_RETRY_MS,
            )
        if self._exceeds_fair_share(state, now_ms, occupancy, cost):
            return AccountLimited(
                f"account {account.name!r} exceeds its fair share of a busy"
                " service",
                retry_after_ms=LIMIT_RETRY_MS,
            )
        return self._rate_refusal(account, state, now_ms)

    def _rate_refusal(
        self, account: AccountRecord, state: _AccountState, now_ms: int
    ) -> NotRun | None:
        bucket = _account_bucket(account, state, now_ms)
        if bucket is not None and not bucket.take(now_ms):
            return AccountLimited(
                f"account {account.name!r} exceeds its rate limit of"
                f" {account.requests_per_s:g} requests/s",
                retry_after_ms=bucket.wait_ms(now_ms),
            )
        service_bucket = self._service_bucket(now_ms)
        if service_bucket is not None and not service_bucket.take(now_ms):
            if bucket is not None:
                bucket.refund()
            return ServiceLimited(
                f"service {self._service.name!r} exceeds its rate limit of"
                f" {self._service.requests_per_s:g} requests/s",
                retry_after_ms=service_bucket.wait_ms(now_ms),
            )
        return None

    def _service_bucket(self, now_ms: int) -> TokenBucket | None:
        rate = self._service.requests_per_s
        if rate > 0 and self._bucket is None:
            self._bucket = TokenBucket(rate, rate * SERVICE_BURST_S, now_ms)
        return self._bucket

    def _exceeds_fair_share(
        self, state: _AccountState, now_ms: int, occupancy: float, cost: float
    ) -> bool:
        if occupancy < BUSY_OCCUPANCY:
            return False
        fair_share = (
            self._usage.at(now_ms)
            * state.weight
            / max(self._total_weight, 1e-9)
        )
        allowed = max(
            allowed_share_multiple(occupancy) * fair_share,
            MIN_SHARE_REQUESTS * cost,
        )
        return state.usage.at(now_ms) + cost > allowed

    def _evict_idle(self, now_ms: int) -> None:
        """Drop accounts without recent usage once many are tracked.

        The weight of every tracked account counts in the fair shares, whether
        the account is in use or not.
        """
        if len(self._accounts) < 2 * self._in_flight + RETAINED_ACCOUNTS:
            return
        for name, state in list(self._accounts.items()):
            idle = state.usage.at(now_ms) < IDLE_SHARE * self._usage.at(now_ms)
            if state.in_flight == 0 and idle and state.bucket is None:
                self._total_weight -= state.weight
                del self._accounts[name]


def allowed_share_multiple(occupancy: float) -> float:
    """Return the multiple of its fair share that an account may use.

    It falls linearly from ``BUSY_OCCUPANCY`` to full occupancy.

    >>> allowed_share_multiple(0.85), allowed_share_multiple(1.0)
    (7.0, 3.0)
    """
    free = max(0.0, 1 - occupancy) / (1 - BUSY_OCCUPANCY)
    return FULL_SHARE_MULTIPLE + (
        BUSY_SHARE_MULTIPLE - FULL_SHARE_MULTIPLE
    ) * min(1.0, free)


def _account_bucket(
    account: AccountRecord, state: _AccountState, now_ms: int
) -> TokenBucket | None:
    limits = (account.requests_per_s, account.burst)
    if state.limits != limits:
        state.limits = limits
        state.bucket = (
            TokenBucket(account.requests_per_s, account.burst, now_ms)
            if account.requests_per_s > 0
            else None
        )
    return state.bucket


def service_occupancy(decode: Sequence[AgentView]) -> float:
    """Return the occupancy of a service's live decode engines, 0 to 1.

    It is the higher of the occupancies of slots and of memory pieces.
    """
    live = [a for a in decode if not a.draining]
    slots = sum(a.slots for a in live)
    pieces = sum(a.pieces for a in live)
    if not slots or not pieces:
        return 1.0
    return max(
        sum(a.slots_used for a in live) / slots,
        sum(a.pieces_used for a in live) / pieces,
    )
