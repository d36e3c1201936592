"""Size of the token bucket that keeps the use of a quota within its bound.

In any window, an account may use its rate and burst, a tenth more, and a
fixed number of tokens if it counts tokens.

>>> quota = Quota(rate_per_s=10.0, burst=20.0)
>>> bucket_burst(quota, share=1.0), bucket_rate_per_s(quota)
(24.0, 10.0)
"""

from __future__ import annotations

from typing import Final

from gooseberrypost.state.accounts import Quota, QuotaUnit

QUOTA_WINDOW_S: Final = 8.0
"""Window in which the use over all gateways is bounded."""
QUOTA_OVERSHOOT: Final = 0.1
"""Use permitted beyond the limit in a window, as a share of it."""
QUOTA_SLACK_TOKENS: Final = 120_000.0
"""Further use permitted in a window to an account that counts tokens."""
SPARE_PART: Final = 0.4
"""Part of the overshoot and slack by which the bucket exceeds the burst.

Without it, an account with a small burst loses tokens between two requests.
The rest is for what is admitted before other gateways know.
"""
SMALL_RATE: Final = 0.98
"""Part of the rate in use where the overshoot is less than one request.

The window then permits one request less to the bucket, which leaves room for
one that two gateways admit at the same moment.
"""
OVERSIZE_SLACK: Final = 0.3
"""Part of the slack by which one request may exceed the burst."""


def permitted_spare(quota: Quota) -> float:
    """Return the cost permitted in a window beyond rate and burst."""
    in_window = QUOTA_WINDOW_S * quota.rate_per_s + _burst(quota)
    if quota.unit is QuotaUnit.TOKENS:
        return QUOTA_OVERSHOOT * in_window + QUOTA_SLACK_TOKENS
    return QUOTA_OVERSHOOT * in_window


def bucket_rate_per_s(quota: Quota) -> float:
    """Return the rate of a bucket that has the whole limit."""
    is_small = permitted_spare(quota) < 1
    return quota.rate_per_s * (SMALL_RATE if is_small else 1.0)


def bucket_burst(quota: Quota, share: float) -> float:
    """Return the burst of a bucket that has a share of the limit."""
    burst, spare = _burst(quota), permitted_spare(quota)
    if spare >= 1:
        burst += SPARE_PART * spare
    return share * burst


def permitted_oversize(quota: Quota) -> float:
    """Return by how much one request may exceed the burst.

    A client may be permitted fewer tokens at once than one request has.
    """
    if quota.unit is QuotaUnit.TOKENS:
        return OVERSIZE_SLACK * QUOTA_SLACK_TOKENS
    return 0.0


def _burst(quota: Quota) -> float:
    """Return the burst, which is one request at least."""
    if quota.unit is QuotaUnit.TOKENS:
        return quota.burst
    return max(1.0, quota.burst)
