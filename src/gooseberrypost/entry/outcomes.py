"""Outcome reported to a caller; ``not-run`` is reported only when proven.

A refusal before the claim proves nothing about a key that the caller sent: a
request with the same key may be running through another entry.
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

TRANSIENT_REFUSALS: Final = (
    AccountLimited,
    DeadlinePassed,
    Draining,
    NoCapacity,
    ServiceLimited,
    TargetUnreachable,
)
"""Refusals that depend on load or time, not on the request alone.

An earlier request with the same key may have been accepted.
"""


def outcome_of(failure: Failure, live: LiveRequest) -> Outcome:
    """Return the outcome of a request from its failure and progress."""
    if failure.outcome is not Outcome.NOT_RUN:
        return failure.outcome
    if live.may_have_run or live.ran_before:
        return Outcome.UNKNOWN
    unclaimed = live.key_from_caller and not live.claim_answered
    if unclaimed and isinstance(failure, TRANSIENT_REFUSALS):
        return Outcome.UNKNOWN
    return Outcome.NOT_RUN
