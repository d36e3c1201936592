"""Retention times of attempt records and reservations."""

from __future__ import annotations

from typing import Final

RECORD_RETENTION_MS: Final = 900_000
"""Time for which the record of an attempt is kept after its deadline.

An entry that was paused for minutes may still ask whether an attempt started.
Without a record the agent would report that it never did.
"""

UNCERTAIN_AFTER_START_MS: Final = 30_000
"""Time after the start of the agent until it trusts its records alone.

Until then, a revocation that does not name the agent's incarnation is not
answered with ``never_started``: the attempt may have reached the previous
agent process.
"""

MAX_RESERVATION_MS: Final = 30_000
"""Upper limit on the lifetime of a reservation."""
