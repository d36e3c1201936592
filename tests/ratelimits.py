"""The bound on requests to a server that names a rate limit.

From ``STABLE_WINDOW_S`` after it first named the limit, a server gets in no
``WINDOW_S`` more than one and a half times what the limit allows, and 5
requests.
"""

from __future__ import annotations

from collections.abc import Iterable

STABLE_WINDOW_S = 3.0
WINDOW_S = 4.0
ALLOWED_SHARE = 1.5
ALLOWED_EXTRA = 5


def most_in_window(times_s: Iterable[float], named_s: float) -> int:
    """Return the largest number of arrivals in a window that counts."""
    late = [at_s for at_s in times_s if at_s >= named_s + STABLE_WINDOW_S]
    return max(
        (sum(at_s <= t < at_s + WINDOW_S for t in late) for at_s in late),
        default=0,
    )


def allowed(limit_per_s: float) -> float:
    """Return the number of requests that a server may get in a window."""
    return ALLOWED_SHARE * limit_per_s * WINDOW_S + ALLOWED_EXTRA
