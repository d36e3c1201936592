"""Prefill on a decode engine while the prefill engines have a backlog.

A decode engine prefills a prompt in chunks between its decode steps, which
delays the next event of all its streams. It may take a prompt as long as the
longest such pause stays within the routes' objective for gaps.

>>> fits_between_events(5_000, 0.01, event_ms=40.0, gap_objective_ms=300.0)
True
>>> fits_between_events(5_000, 0.03, event_ms=40.0, gap_objective_ms=300.0)
False
"""

from __future__ import annotations

from typing import Final

DECODE_PREFILL_SLOWDOWN: Final = 2.0
"""Factor by which prefill takes longer on a decode engine."""
MAX_GAP_SHARE: Final = 0.8
"""Share of the gap objective that a predicted pause may fill."""


def fits_between_events(
    tokens: int,
    ms_per_token: float,
    *,
    event_ms: float,
    gap_objective_ms: float,
) -> bool:
    """Whether a prompt's prefill delays no event beyond the objective.

    ``ms_per_token`` is the time of a prefill engine of the same speed,
    ``event_ms`` the usual time between two events.
    """
    prefill_ms = DECODE_PREFILL_SLOWDOWN * tokens * ms_per_token
    return prefill_ms + event_ms <= MAX_GAP_SHARE * gap_objective_ms
