"""What a process remembers of the claims of a shard, as log records.

A key-value service that comes back from an older copy has lost the newest
records of a log. Processes that served the shard still have its claims in
memory. They are passed on as records that recreate each claim.

>>> claim = Claim("booking-17", b"d", False, "e1/1")
>>> claim.attempt, claim.may_have_run = 1_025, True
>>> claim.state = ClaimState.COMPLETED
>>> [record.kind for record in records_of(claim, now_ms=0)]
['claim', 'complete']
>>> parse_records(format_records(records_of(claim, now_ms=0))).unwrap()[1]
... # doctest: +ELLIPSIS
LogRecord(kind='complete', key='booking-17', attempt=1025, ...)
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from gooseberrypost.state.claim import Claim, ClaimState
from gooseberrypost.state.segments import (
    ABANDON,
    CLAIM,
    COMPLETE,
    RENEW,
    InvalidSegment,
    LogRecord,
)
from gooseberrypost.strictjson import parse_json

if TYPE_CHECKING:
    from collections.abc import Sequence


def records_of(
    claim: Claim, now_ms: int, is_answered: bool = True
) -> list[LogRecord]:
    """Return records whose replay recreates a claim.

    A completion that no caller may rely on (``is_answered`` is false) is
    left out: its holder completes the claim again. A grant that was not sent
    is abandoned.
    """
    records = [
        LogRecord(
            CLAIM,
            claim.key,
            claim.renewed_from or claim.attempt,
            claim.digest.hex(),
            claim.holder,
            claim.idempotent,
            max(0, claim.deadline_at_ms - now_ms),
        )
    ]
    if claim.renewed_from:
        records.append(LogRecord(RENEW, claim.key, claim.attempt))
    is_unsent = claim.state is ClaimState.RUNNING and not claim.may_have_run
    if claim.state is ClaimState.COMPLETED and is_answered:
        records.append(LogRecord(COMPLETE, claim.key, claim.attempt))
    elif is_unsent or claim.state in (
        ClaimState.ABANDONED,
        ClaimState.UNKNOWN,
    ):
        not_run = not claim.may_have_run
        records.append(
            LogRecord(ABANDON, claim.key, claim.attempt, not_run=not_run)
        )
    return records


def proves_not_run(records: Sequence[LogRecord]) -> bool:
    """Whether the records of a claim state that no attempt has run."""
    return records[-1].kind == ABANDON and records[-1].not_run


def is_completed(records: Sequence[LogRecord]) -> bool:
    """Whether the records of a claim end with its answer."""
    return records[-1].kind == COMPLETE


def supersede(records: Sequence[LogRecord], claim: Claim) -> bool:
    """Whether the records of a claim are newer than what is known of it."""
    last = records[-1]
    if last.attempt != claim.attempt:
        return last.attempt > claim.attempt
    has_ended = last.kind in (COMPLETE, ABANDON)
    is_open = claim.state in (ClaimState.RUNNING, ClaimState.ORPHANED)
    return has_ended and is_open and records[0].holder == claim.holder


def format_records(records: Sequence[LogRecord]) -> str:
    """Serialise records for a message."""
    return json.dumps(records, separators=(",", ":"))


def parse_records(text: str) -> Result[list[LogRecord], InvalidSegment]:
    """Parse the records of a message."""
    try:
        return Ok([LogRecord(*fields) for fields in parse_json(text)])
    except (ValueError, TypeError) as exc:
        return Err(InvalidSegment(f"records: {exc!r}"))
