"""Outcome that a caller is told: ``not-run`` only on proof.

A refusal before the claim proves nothing about a key that the caller brought:
the same key may be running through another entry.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from gooseberrypost.errors import (
    AccountLimited,
    DeadlinePassed,
    Draining,
    Failure,
    NoCapacity,
    Outcome,
    ServiceLimited,
    TargetUnreachable,
)

if TYPE_CHECKING:
    from gooseberrypost.entry.sections import LiveRequest

PASSING: Final = (
    AccountLimited,
    DeadlinePassed,
    Draining,
    NoCapacity,
    ServiceLimited,
    TargetUnreachable,
)
"""Refusals that the same request need not have met when first sent."""


def outcome_of(failure: Failure, live: LiveRequest) -> Outcome:
    """Outcome of a failed request, given how far it came."""
    if failure.outcome is not Outcome.NOT_RUN:
        return failure.outcome
    if live.sent or live.ran_before:
        return Outcome.UNKNOWN
    unclaimed = live.key_from_caller and not live.claim_answered
    if unclaimed and isinstance(failure, PASSING):
        return Outcome.UNKNOWN
    return Outcome.NOT_RUN
