"""Client accounts: who a key belongs to, and what an account may use.

>>> table = AccountTable()
>>> table.apply([Account("desk", frozenset({"k1", "k2"}))])
[]
>>> table.find("k2").name, table.find("k3")
('desk', None)

>>> quota = Quota(rate_per_s=10.0, burst=20.0)
>>> Account("desk", priority=None, quota=quota).quota.cost(tokens=None)
1.0
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
from dataclasses import dataclass, field, replace
from enum import StrEnum
from typing import TYPE_CHECKING, Final, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

DIGEST_BYTES: Final = 16
"""Size of the digest of a key."""
SECRET_BYTES: Final = 32
"""Size of the secret of a process, from which digests are made."""


class QuotaUnit(StrEnum):
    """What a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"
    """Prompt tokens plus the maximum output tokens of a request."""


@dataclass(slots=True, frozen=True)
class Quota:
    """Limit on the use of an account, over all gateways together."""

    rate_per_s: float
    burst: float
    """Units that may be used at once after a pause."""
    unit: QuotaUnit = QuotaUnit.REQUESTS
    default_tokens: float = 0.0
    """Cost of a request that names no number of tokens."""

    def cost(self, tokens: int | None) -> float:
        """Return the cost of a request; ``tokens`` is None if it names none.

        >>> quota = Quota(5.0, 5.0, QuotaUnit.TOKENS, default_tokens=200.0)
        >>> quota.cost(1_500), quota.cost(None)
        (1500.0, 200.0)
        """
        if self.unit is QuotaUnit.REQUESTS:
            return 1.0
        return self.default_tokens if tokens is None else float(tokens)


@dataclass(slots=True, frozen=True)
class Account:
    """A client account of one configuration version."""

    name: str
    keys: frozenset[str] = field(default=frozenset(), repr=False)
    """Secrets that name the account; they never leave the process."""
    priority: int | None = None
    """Replaces the priority of a route; None if the account has none."""
    quota: Quota | None = None
    """None if the account's use is not limited."""


class SharedKey(NamedTuple):
    """A key that two accounts of one configuration have."""

    holder: str
    """Account that the key belongs to."""
    other: str


class _Entry(NamedTuple):
    digest: bytes
    names: tuple[str, ...]
    """Accounts that have the key; it belongs to the first one."""


class AccountTable:
    """Accounts of the newest configuration, by key and by name.

    Keys are looked up by a digest that depends on a secret of the process,
    and compared in constant time, so that the time of a look-up tells nothing
    of the keys.
    """

    __slots__ = (
        "_by_digest",
        "_by_name",
        "_secret",
        "digests_computed",
        "version",
    )

    def __init__(self) -> None:
        self._secret = secrets.token_bytes(SECRET_BYTES)
        self._by_digest: dict[bytes, _Entry] = {}
        self._by_name: dict[str, Account] = {}
        self.version = 0
        """Increases with each change of an account."""
        self.digests_computed = 0
        """Digests of configured keys computed since the start."""

    @property
    def is_empty(self) -> bool:
        """Whether there are no accounts, so that requests need no key."""
        return not self._by_name

    def apply(self, accounts: Iterable[Account]) -> list[SharedKey]:
        """Replace all accounts; digests are computed for changed keys alone.

        Returns the changed keys that several accounts have. Such a key
        belongs to the account whose name sorts first, which is the same one
        at all gateways whatever versions they have seen before.
        """
        former, named = self._by_name, _by_name(accounts)
        changed = [
            (former.get(name), account)
            for name, account in named.items()
            if former.get(name) != account
        ]
        removed = [former[name] for name in former.keys() - named.keys()]
        if not (changed or removed):
            return []
        for account in removed:
            self._remove_keys(account.name, account.keys)
        for before, account in changed:
            known = before.keys if before else frozenset()
            self._remove_keys(account.name, known - account.keys)
        shared = []
        for before, account in changed:
            known = before.keys if before else frozenset()
            shared += self._add_keys(account.name, account.keys - known)
        self._by_name = named
        self.version += 1
        return shared

    def find(self, key: str) -> Account | None:
        """Return the account that a key belongs to; None if it is unknown."""
        if not key:
            return None
        digest = self._digest(key)
        entry = self._by_digest.get(digest)
        if entry is None or not hmac.compare_digest(entry.digest, digest):
            return None
        return self._by_name[entry.names[0]]

    def get(self, name: str) -> Account | None:
        """Return an account by its name; None if it is not configured."""
        return self._by_name.get(name)

    def _add_keys(self, name: str, keys: Iterable[str]) -> list[SharedKey]:
        """Add keys of an account, and return those that others have too."""
        shared = []
        for key in keys:
            digest = self._digest(key)
            self.digests_computed += 1
            entry = self._by_digest.get(digest)
            names = entry.names if entry else ()
            names = tuple(sorted({*names, name}))
            self._by_digest[digest] = _Entry(digest, names)
            shared += [SharedKey(names[0], other) for other in names[1:]]
        return shared

    def _remove_keys(self, name: str, keys: Iterable[str]) -> None:
        for key in keys:
            digest = self._digest(key)
            self.digests_computed += 1
            entry = self._by_digest.pop(digest)
            names = tuple(other for other in entry.names if other != name)
            if names:
                self._by_digest[digest] = _Entry(digest, names)

    def _digest(self, key: str) -> bytes:
        # A header that is not UTF-8 is read with lone surrogates.
        return hashlib.blake2b(
            key.encode("utf-8", "surrogatepass"),
            digest_size=DIGEST_BYTES,
            key=self._secret,
        ).digest()


def _by_name(accounts: Iterable[Account]) -> dict[str, Account]:
    """Return accounts by name; two entries of one name add up their keys."""
    named: dict[str, Account] = {}
    for account in accounts:
        first = named.setdefault(account.name, account)
        if first is not account:
            named[account.name] = replace(
                first, keys=first.keys | account.keys
            )
    return named
