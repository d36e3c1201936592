"""Measures what a change of the accounts and a look-up of a key cost.

Run with ``python scripts/account_cost.py`` from the root of the repository.
"""

from __future__ import annotations

import json
import time
import tracemalloc
from statistics import median
from typing import TYPE_CHECKING, Final

from gooseberrypost.platform.documents import decode_configuration
from gooseberrypost.state.accounts import AccountTable

if TYPE_CHECKING:
    from gooseberrypost.state.accounts import Account

ACCOUNTS: Final = 5_400
KEYS_PER_ACCOUNT: Final = 3
CHANGES: Final = 50


def decode(changed: int) -> tuple[tuple[Account, ...], float]:
    """Return accounts, one with a changed key, and the time to decode them."""
    tenants = [
        {
            "name": f"account-{number}",
            "api_keys": [
                f"{number}-{key}-{changed * (number == changed)}-{'k' * 32}"
                for key in range(KEYS_PER_ACCOUNT)
            ],
            "unit": "token_count",
            "uncached_tokens": 800,
            "rate_per_s": 100,
            "burst": 500,
        }
        for number in range(ACCOUNTS)
    ]
    document = {"version": 1, "tenants": tenants}
    content = json.dumps(document).encode()
    began_s = time.perf_counter()
    accounts = decode_configuration(content).unwrap().accounts
    return accounts, time.perf_counter() - began_s


def main() -> None:
    """Print the measured figures."""
    accounts, _ = decode(0)
    tracemalloc.start()
    table = AccountTable()
    table.apply(accounts)
    kib = tracemalloc.get_traced_memory()[0] // 1_024
    tracemalloc.stop()
    applies_s, decodes_s = [], []
    for number in range(1, CHANGES + 1):
        changed, took_s = decode(number)
        decodes_s.append(took_s)
        began_s = time.perf_counter()
        table.apply(changed)
        applies_s.append(time.perf_counter() - began_s)
    keys = [key for account in changed for key in account.keys]
    began_s = time.perf_counter()
    for key in keys:
        table.find(key)
    find_s = (time.perf_counter() - began_s) / len(keys)
    print(f"table: {kib} KiB")
    print(f"apply, median of {CHANGES}: {1e3 * median(applies_s):.1f} ms")
    print(f"decode, median of {CHANGES}: {1e3 * median(decodes_s):.0f} ms")
    print(f"find, mean of {len(keys)}: {1e6 * find_s:.1f} us")


if __name__ == "__main__":
    main()
