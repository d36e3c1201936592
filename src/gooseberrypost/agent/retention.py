"""Retention times of attempt records and reservations."""

from __future__ import annotations

from typing import Final

RECORD_RETENTION_MS: Final = 900_000
"""Time for which the record of an attempt is kept after its deadline.

An entry that was paused for minutes may still query whether an attempt has
started. Without a record the agent would report that it never did.
"""

RECORDS_INCOMPLETE_MS: Final = 30_000
"""Time after the start of the agent until it relies on its records alone.

Until then, a revocation that does not name the agent's incarnation is not
answered with ``never_started``: the attempt may have reached the previous
agent process.
"""

MAX_RESERVATION_MS: Final = 30_000
"""Upper limit on the lifetime of a reservation."""
