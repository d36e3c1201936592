"""Measures what quotas cost a gateway: bytes of notices and processor time.

5,400 accounts of uneven size over 420 gateways at 930 requests/s. The other
gateways do not hear each other here, so that each lists the level of an
account for longer than in a deployment: the figures are upper bounds.

Run it as ``python -m scripts.measure_quota_cost``.
"""

from __future__ import annotations

import random
import time
from itertools import accumulate
from typing import Final

from gooseberrypost.gateway.notices import decode_notice, encode_accounts
from gooseberrypost.policy.accountquota import AccountQuotas
from gooseberrypost.policy.peercontact import PeerContact
from gooseberrypost.state.accounts import Account, Quota
from gooseberrypost.wire.codec import Frame, encode
from gooseberrypost.wire.messages import idl

GATEWAYS: Final = 420
ACCOUNTS: Final = 5_400
REQUESTS_PER_S: Final = 930.0
INTERVAL_S: Final = 0.3
WARM_UP_S: Final = 4.0
DURATION_S: Final = 12.0
SKEW: Final = 0.8
"""Exponent of the distribution of requests over accounts."""


class FullContact(PeerContact):
    """Contact of a gateway that hears all others."""

    def share(self, now_s: float) -> float:
        """Return the whole limit."""
        return 1.0

    def is_quiet(self, now_s: float) -> bool:
        """Return that notices arrive."""
        return False


def gateway(accounts: list[Account]) -> AccountQuotas:
    """Return the quotas of one gateway in full contact."""
    quotas = AccountQuotas(0.0, random.Random(1))
    quotas._contact = FullContact(0.0)
    quotas.set_share(1.0, GATEWAYS)
    quotas.configure(accounts, 0.0)
    return quotas


def frame(number: int, sequence: int, quotas: AccountQuotas, now_s: float):
    """Return the frame of a notice, and its size without accounts."""
    message = idl.LoadNotice(
        name=f"gateway-{number}",
        incarnation=number + 1,
        sequence=sequence,
        servers=[],
        configuration_version=1,
    )
    empty = len(encode(Frame(1, message)))
    for name, values in encode_accounts(quotas.notices(now_s)).items():
        setattr(message, name, values)
    return encode(Frame(1, message)), empty


def main() -> None:
    """Print the figures for one gateway of the deployment."""
    rng = random.Random(1)
    weights = [(number + 1) ** -SKEW for number in range(ACCOUNTS)]
    rates = [1.2 * REQUESTS_PER_S * w / sum(weights) for w in weights]
    accounts = [
        Account(f"account-{n:04}", quota=Quota(max(0.2, r), max(1.0, 2 * r)))
        for n, r in enumerate(rates)
    ]
    cumulative = list(accumulate(weights))
    others = [gateway(accounts) for _ in range(GATEWAYS - 1)]
    own = gateway(accounts)
    size = base = listed = count = 0
    decode_s = record_s = list_s = now_s = 0.0
    sequence = 0
    while now_s < DURATION_S:
        now_s += INTERVAL_S
        sequence += 1
        for account in rng.choices(
            accounts, cum_weights=cumulative, k=int(REQUESTS_PER_S * 0.3)
        ):
            at_s = now_s - INTERVAL_S * rng.random()
            rng.choice([own, *others]).admit(account.name, 1.0, at_s)
        for number, quotas in enumerate(others):
            data, empty = frame(number, sequence, quotas, now_s)
            begun_s = time.process_time()
            notice = decode_notice(data)
            decoded_s = time.process_time()
            own.record_peer(notice.name, notice.accounts, now_s)
            if now_s > WARM_UP_S:
                decode_s += decoded_s - begun_s
                record_s += time.process_time() - decoded_s
                size, base, count = size + len(data), base + empty, count + 1
                listed += len(notice.accounts.uses)
        begun_s = time.process_time()
        own.notices(now_s)
        list_s += time.process_time() - begun_s
    measured_s = DURATION_S - WARM_UP_S
    print(f"accounts in a notice: {listed / count:.1f}")
    print(f"bytes of a notice: {size / count:.0f}, {base / count:.0f} without")
    print(f"KB/s received: {size / measured_s / 1e3:.0f}")
    print(f"KB/s received without accounts: {base / measured_s / 1e3:.0f}")
    print(f"decoding, % of a core: {100 * decode_s / measured_s:.1f}")
    print(f"recording, % of a core: {100 * record_s / measured_s:.1f}")
    print(f"listing, % of a core: {100 * list_s / DURATION_S:.2f}")


if __name__ == "__main__":
    main()
