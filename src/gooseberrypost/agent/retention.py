"""How long the agent remembers what it ran and refused."""

from __future__ import annotations

from typing import Final

RECORD_RETENTION_MS: Final = 900_000
"""Time after its deadline for which an attempt is remembered.

An entry paused for minutes may still ask for the fate of an attempt; a
forgotten one would be reported as never started.
"""

UNCERTAIN_AFTER_START_MS: Final = 30_000
"""Time after the start of the agent in which a revocation without the agent's
incarnation proves nothing: the attempt may have reached its predecessor."""

MAX_RESERVATION_MS: Final = 30_000
"""Longest time for which a reservation is granted."""
