"""Quotas of client accounts, kept by all gateways together.

>>> from gooseberrypost.state.accounts import Account, Quota
>>> quotas = AccountQuotas(now_s=0.0)
>>> quotas.configure([Account("desk", quota=Quota(1.0, 1.0))], now_s=0.0)
>>> charge = quotas.admit("desk", 1.0, now_s=0.0).unwrap()
>>> failure = quotas.admit("desk", 1.0, now_s=0.1).unwrap_err()
>>> failure.code, failure.retry_after_ms >= 400
('quota_exceeded', True)
>>> quotas.refund(charge, now_s=0.2)
>>> quotas.admit("desk", 1.0, now_s=0.2).is_ok()
True
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from result import Err, Ok, Result

from gooseberrypost.errors import NotRun
from gooseberrypost.policy.accountbucket import AccountBucket
from gooseberrypost.policy.accountuse import AccountUse, UseRanking
from gooseberrypost.policy.peercontact import CONTACT_S, PeerContact
from gooseberrypost.policy.sharedlimit import PeerReport
from gooseberrypost.state.accounts import Quota, QuotaUnit

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gooseberrypost.policy.accountuse import AccountsNotice
    from gooseberrypost.state.accounts import Account

MAX_LISTED: Final = 256
"""Accounts in one notice, those nearest to their limits first."""
MAX_LISTED_CHARACTERS: Final = 8_192
"""Characters of the names in one notice; a datagram has 64 KB."""
IDLE_S: Final = 30.0
"""Time without use after which the state of an account may be dropped."""
SWEEP_S: Final = 5.0
"""Interval at which unused state is dropped."""
PEER_S: Final = 10.0
"""Time for which the count of a gateway that is not heard is kept."""


class QuotaExceeded(NotRun):
    """The account has used what its limit permits over all gateways."""

    code = "quota_exceeded"
    http_status = 429

    def __init__(
        self,
        account: str,
        limit_per_s: float,
        known_per_s: float,
        gateways: int,
        retry_after_ms: int,
    ) -> None:
        super().__init__(
            f"account {account!r} has used its quota of {limit_per_s:g}/s",
            retry_after_ms=retry_after_ms,
        )
        self.account = account
        self.limit_per_s = limit_per_s
        self.known_per_s = known_per_s
        """Recent use that this gateway knows of."""
        self.gateways = gateways
        """Gateways whose use is known, this one included."""


@dataclass(slots=True)
class Charge:
    """What a request was charged, for a refund if it does not run."""

    account: str
    cost: float
    charged_s: float
    is_refunded: bool = False


class AccountQuotas:
    """Quotas and recent use of accounts at one gateway."""

    __slots__ = (
        "_accounts",
        "_active",
        "_contact",
        "_rng",
        "_states",
        "_swept_s",
        "_typical",
        "_use",
    )

    def __init__(
        self, now_s: float = 0.0, rng: random.Random | None = None
    ) -> None:
        self._accounts: dict[str, Account] = {}
        self._states: dict[str, AccountBucket] = {}
        """State of the accounts in use."""
        self._active: set[str] = set()
        """Accounts that this gateway may have to list."""
        self._typical = Quota(1.0, 0.0)
        """Mean quota, by which accounts without one are measured."""
        self._contact = PeerContact(now_s)
        self._use = UseRanking()
        self._rng = rng or random.Random()
        self._swept_s = now_s

    def configure(self, accounts: Iterable[Account], now_s: float) -> None:
        """Apply the accounts of a configuration version."""
        self._accounts = {account.name: account for account in accounts}
        self._typical = _typical_quota(
            [a.quota for a in self._accounts.values() if a.quota is not None]
        )
        for name, state in list(self._states.items()):
            account = self._accounts.get(name)
            if account is None:
                del self._states[name]
                self._active.discard(name)
            elif account.quota != state.quota:
                state.set_quota(account.quota, now_s)
        self._use.set_weights(
            {
                name: (account.quota or self._typical).rate_per_s
                for name, account in self._accounts.items()
            },
            now_s,
        )

    def cost(self, account: str, tokens: int | None) -> float:
        """Return the cost of a request; ``tokens`` is None if unknown."""
        known = self._accounts.get(account)
        quota = known.quota if known is not None else None
        return (quota or self._typical).cost(tokens)

    def set_share(self, share: float, gateways: int = 1) -> None:
        """Set the number of gateways, and a bound of the share of limits.

        The share is below 1 while notices of other gateways are missing.
        """
        self._contact.set_gateways(gateways, share)

    def admit(
        self, account: str, cost: float, now_s: float, priority: int = 0
    ) -> Result[Charge, QuotaExceeded]:
        """Charge a request, or refuse it if it is over the limit.

        A lower number is a higher priority.
        """
        if account not in self._accounts:
            return Ok(Charge(account, 0.0, now_s))
        state = self._state(account, now_s)
        state.follow(self._contact, now_s)
        wait_s = state.admit(cost, priority, self._contact, now_s)
        self._active.add(account)
        if wait_s is not None:
            return Err(self._refusal(state, cost, wait_s, now_s))
        self._use.record(account, cost, now_s)
        return Ok(Charge(account, cost, now_s))

    def refund(self, charge: Charge, now_s: float) -> None:
        """Return what a request was charged that was not run."""
        state = self._states.get(charge.account)
        if charge.is_refunded or state is None:
            return
        charge.is_refunded = True
        state.refund(charge.cost, charge.charged_s, now_s)
        self._active.add(charge.account)
        self._use.record(charge.account, -charge.cost, now_s)

    def record_peer(
        self, gateway: str, notice: AccountsNotice, received_s: float
    ) -> None:
        """Record a notice of another gateway, also one without accounts."""
        contact = self._contact
        contact.record(gateway, notice.incarnation, received_s)
        since_s = contact.counted_since_s(gateway)
        for use in notice.uses:
            if use.account not in self._accounts:
                continue
            state = self._state(use.account, received_s)
            report = PeerReport(
                use.admitted, use.counted_ms / 1_000, notice.incarnation
            )
            new = state.record_peer(
                gateway, report, use.refused, received_s, since_s
            )
            if new:
                self._use.record(use.account, new, received_s)
            is_settled = state.level_s >= contact.since_s
            if use.level is not None and (new or not is_settled):
                state.record_level(use.level, contact, received_s)

    def notices(self, now_s: float) -> list[AccountUse]:
        """Return what other gateways are to know of this one's use."""
        if now_s - self._swept_s > SWEEP_S:
            self._sweep(now_s)
        listed = []
        for name in list(self._active):
            state = self._states[name]
            state.follow(self._contact, now_s)
            if state.is_relevant(self._contact.gateways, now_s):
                listed.append(state)
            elif not state.is_counting:
                self._active.discard(name)
        listed.sort(key=lambda state: (state.fullness(now_s), state.name))
        uses, characters = [], 0
        for state in listed[:MAX_LISTED]:
            characters += len(state.name)
            if characters > MAX_LISTED_CHARACTERS:
                break
            uses.append(state.report(self._contact, now_s))
        return uses

    def must_notify(self, charge: Charge, now_s: float) -> bool:
        """Whether other gateways are to hear of a charge at once."""
        state = self._states.get(charge.account)
        return state is not None and state.must_notify(charge.cost, now_s)

    def relative_use(self, account: str, now_s: float) -> float:
        """Return the use by weight, relative to the accounts in use."""
        return self._use.relative(account, now_s)

    def _state(self, account: str, now_s: float) -> AccountBucket:
        state = self._states.get(account)
        if state is None:
            quota = self._accounts[account].quota
            state = AccountBucket(account, quota, now_s)
            if now_s < self._contact.since_s + CONTACT_S:
                # Not all gateways can have told of its use yet.
                state.restrict(self._contact, now_s)
            self._states[account] = state
        return state

    def _refusal(
        self, state: AccountBucket, cost: float, wait_s: float, now_s: float
    ) -> QuotaExceeded:
        assert state.quota is not None
        gateways = self._contact.gateways
        after_s = state.retry_after_s(cost, wait_s, gateways, self._rng, now_s)
        return QuotaExceeded(
            state.name,
            state.quota.rate_per_s,
            state.known.per_s(now_s),
            self._contact.heard(now_s),
            round(1_000 * after_s),
        )

    def _sweep(self, now_s: float) -> None:
        self._swept_s = now_s
        self._contact.drop_before(now_s - IDLE_S)
        for name, state in list(self._states.items()):
            state.drop_peers_before(now_s - PEER_S)
            is_idle = now_s - state.used_s > IDLE_S and state.is_full(now_s)
            if is_idle and name not in self._active:
                del self._states[name]


def _typical_quota(quotas: list[Quota]) -> Quota:
    """Return the mean of the quotas that count requests, else of the others.

    The two units have no common mean.
    """
    by_unit = {
        unit: [quota for quota in quotas if quota.unit is unit]
        for unit in QuotaUnit
    }
    alike = by_unit[QuotaUnit.REQUESTS] or by_unit[QuotaUnit.TOKENS]
    if not alike:
        return Quota(1.0, 0.0)
    return Quota(
        sum(quota.rate_per_s for quota in alike) / len(alike),
        0.0,
        alike[0].unit,
        sum(quota.default_tokens for quota in alike) / len(alike),
    )
